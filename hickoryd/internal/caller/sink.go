package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/hickoryfront/hickoryfront/core/prefix"
	"github.com/hickoryfront/hickoryfront/core/tokenstream"
)

const (
	eventPrefix = "data: "
	eventEnd    = "\n\n"
	// limitInterval is the longest time between settings of the limit of writes.
	limitInterval = time.Second
)

// errSlowReader means that the caller has not read its answer for too long.
var errSlowReader = errors.New("caller reads too slowly")

// sink writes one answer to its caller, streamed or whole. What the caller has
// not read yet is kept by its connection only. The time that writes wait for
// the caller is limited over the whole answer, so that a caller which reads a
// byte now and then can't hold an engine's slot either.
type sink struct {
	ctx      context.Context
	to       http.ResponseWriter
	patience time.Duration // for writes, what is left of it
	id       string
	body     parsedBody
	arrived  time.Time
	started  bool
	text     strings.Builder
	tokens   int
	firstAt  time.Time
	previous time.Time
	worstGap time.Duration
	template *chunkTemplate // of a streamed answer, from its first token on
	buffer   []byte
	limited  time.Time // when the limit of writes was set
}

func newSink(ctx context.Context, to http.ResponseWriter, id string, body parsedBody, arrived time.Time, patience time.Duration) *sink {
	return &sink{ctx: ctx, to: to, id: id, body: body, arrived: arrived, patience: patience}
}

// Token implements dispatch.Sink. Streamed tokens go out with the next Flush, or
// when the connection's buffer is full.
func (s *sink) Token(token tokenstream.Token) error {
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
	return s.chunk(token, first)
}

// Flush implements dispatch.Sink.
func (s *sink) Flush() error {
	if !s.started {
		return nil
	}
	return s.flush()
}

// finish completes the answer.
func (s *sink) finish(now time.Time) {
	defer s.limitWrites(time.Time{})
	if s.body.stream {
		_ = s.write(endOfStream) // the caller may be gone
		return
	}
	s.limitWrites(now.Add(s.patience))
	prompt := prefix.EstimateTokens(s.body.prompt)
	counts := usage{PromptTokens: prompt, CompletionTokens: s.tokens, TotalTokens: prompt + s.tokens}
	data, err := json.Marshal(s.body.whole(s.id, now, s.text.String(), counts))
	if err != nil {
		return
	}
	s.to.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = s.to.Write(data) // the caller may be gone
}

func (s *sink) timing(now time.Time, ok bool) Timing {
	t := Timing{WorstGap: s.worstGap, Total: now.Sub(s.arrived), Tokens: s.tokens, OK: ok}
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
	if err := s.send([]byte(eventPrefix + data + eventEnd)); err != nil {
		return err
	}
	return s.flush()
}

// send writes to the connection's buffer, which may have to wait for the caller.
func (s *sink) send(data []byte) error {
	started, err := s.beginWrite()
	if err != nil {
		return err
	}
	defer s.endWrite(started)
	_, err = s.to.Write(data)
	return err
}

func (s *sink) flush() error {
	started, err := s.beginWrite()
	if err != nil {
		return err
	}
	defer s.endWrite(started)
	err = http.NewResponseController(s.to).Flush()
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return s.ctx.Err()
}

// beginWrite limits the writes that follow. The limit moves with the time that
// passes between writes, so it is set again only now and then.
func (s *sink) beginWrite() (time.Time, error) {
	now := time.Now()
	if s.patience <= 0 {
		return now, errSlowReader
	}
	if now.Sub(s.limited) >= min(limitInterval, s.patience/2) {
		s.limited = now
		s.limitWrites(now.Add(s.patience))
	}
	return now, nil
}

func (s *sink) endWrite(started time.Time) {
	s.patience -= time.Since(started)
}

// limitWrites lets writes fail after the deadline. Zero takes the limit away.
func (s *sink) limitWrites(deadline time.Time) {
	_ = http.NewResponseController(s.to).SetWriteDeadline(deadline) // a recording takes no deadline
}
