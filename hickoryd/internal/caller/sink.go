package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/hickoryfront/hickoryfront/core/answer"
	"github.com/hickoryfront/hickoryfront/core/prefix"
)

// sink writes one answer to its caller, streamed or whole.
type sink struct {
	ctx      context.Context
	to       http.ResponseWriter
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

func newSink(ctx context.Context, to http.ResponseWriter, id string, body parsedBody, arrived time.Time) *sink {
	return &sink{ctx: ctx, to: to, id: id, body: body, arrived: arrived}
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
		return s.ctx.Err()
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
	data, err := json.Marshal(s.body.whole(s.id, now, s.text.String(), counts))
	if err != nil {
		return
	}
	s.to.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = s.to.Write(data) // the caller may be gone
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
	header := s.to.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.to.WriteHeader(http.StatusOK)
}

func (s *sink) event(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.write(string(data))
}

func (s *sink) write(data string) error {
	if _, err := s.to.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	if flusher, ok := s.to.(http.Flusher); ok {
		flusher.Flush()
	}
	return s.ctx.Err()
}
