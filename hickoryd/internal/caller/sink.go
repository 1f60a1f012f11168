package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/hickoryfront/hickoryfront/core/answer"
	"github.com/hickoryfront/hickoryfront/core/prefix"
)

// sink writes one answer to its caller, streamed or whole.
type sink struct {
	context  *gin.Context
	id       string
	body     parsedBody
	arrived  time.Time
	started  bool
	text     strings.Builder
	tokens   int
	firstAt  time.Time
	previous time.Time
	worstGap time.Duration
}

func newSink(c *gin.Context, id string, body parsedBody, arrived time.Time) *sink {
	return &sink{context: c, id: id, body: body, arrived: arrived}
}

// Token implements dispatch.Sink.
func (s *sink) Token(token answer.Token) error {
	now := time.Now()
	first := s.tokens == 0
	if first {
		s.firstAt = now
	} else {
		s.worstGap = max(s.worstGap, now.Sub(s.previous))
	}
	s.previous = now
	s.tokens++
	if !s.body.stream {
		s.text.WriteString(token.Text)
		return s.context.Request.Context().Err()
	}
	if !s.started {
		s.begin()
	}
	return s.event(s.body.chunk(s.id, s.arrived, token.Text, first, token.Last))
}

// finish completes the answer.
func (s *sink) finish(now time.Time) {
	if s.body.stream {
		s.write(endOfStream)
		return
	}
	prompt := prefix.Tokens(s.body.prompt)
	counts := usage{PromptTokens: prompt, CompletionTokens: s.tokens, TotalTokens: prompt + s.tokens}
	s.context.JSON(http.StatusOK, s.body.whole(s.id, now, s.text.String(), counts))
}

func (s *sink) timing(now time.Time, ok bool) Timing {
	t := Timing{WorstGap: s.worstGap, Whole: now.Sub(s.arrived), Tokens: s.tokens, OK: ok}
	if s.tokens > 0 {
		t.FirstToken = s.firstAt.Sub(s.arrived)
	}
	return t
}

func (s *sink) begin() {
	s.started = true
	header := s.context.Writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.context.Writer.WriteHeader(http.StatusOK)
}

func (s *sink) event(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.write(string(data))
}

func (s *sink) write(data string) error {
	if _, err := s.context.Writer.WriteString("data: " + data + "\n\n"); err != nil {
		return err
	}
	s.context.Writer.Flush()
	return s.context.Request.Context().Err()
}
