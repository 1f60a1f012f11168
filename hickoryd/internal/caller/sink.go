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
	// deadlineInterval is the age from which a write renews the write deadline. Half
	// of the remaining budget counts instead if it is shorter.
	deadlineInterval = time.Second
)

// errSlowReader means that the caller's reading has delayed writes for longer
// than allowed.
var errSlowReader = errors.New("caller reads too slowly")

// sink writes one response to its caller, streamed or in one piece. Bytes that
// the caller has not read yet are held only in the buffers of its connection.
// The time that writes wait for the caller is limited over the entire response,
// so that a caller which reads a byte now and then can't hold an engine's slot
// either.
type sink struct {
	ctx             context.Context
	to              http.ResponseWriter
	writeBudget     time.Duration // remaining time that writes may wait for the caller
	id              string
	body            parsedBody
	arrivedAt       time.Time
	started         bool
	text            strings.Builder
	tokens          int
	firstTokenAt    time.Time
	previousTokenAt time.Time
	worstGap        time.Duration
	template        *eventTemplate // of a streamed response, set at its first token
	buffer          []byte
	deadlineSetAt   time.Time // when the write deadline was last set
	// deadlineEndsWaits is set if a write deadline that passes between two writes
	// ends the response, as it does with HTTP/2.
	deadlineEndsWaits bool
}

func newSink(ctx context.Context, to http.ResponseWriter, id string, body parsedBody, arrivedAt time.Time, writeBudget time.Duration) *sink {
	return &sink{ctx: ctx, to: to, id: id, body: body, arrivedAt: arrivedAt, writeBudget: writeBudget}
}

// Token implements dispatch.Sink. Streamed tokens are sent with the next Flush,
// or when the connection's buffer is full.
func (s *sink) Token(token tokenstream.Token) error {
	now := time.Now()
	first := s.tokens == 0
	if first {
		s.firstTokenAt = now
	} else {
		s.worstGap = max(s.worstGap, now.Sub(s.previousTokenAt))
	}
	s.previousTokenAt = now
	s.tokens++
	if !s.body.stream {
		s.text.WriteString(token.Text)
		return s.ctx.Err()
	}
	if !s.started {
		s.writeHead()
	}
	return s.writeTokenEvent(token, first)
}

// Flush implements dispatch.Sink.
func (s *sink) Flush() error {
	if !s.started {
		return nil
	}
	return s.flush()
}

// finish completes the response.
func (s *sink) finish(now time.Time) {
	defer s.setWriteDeadline(time.Time{})
	if s.body.stream {
		_ = s.writeData(endOfStream) // the caller may have disconnected
		return
	}
	s.setWriteDeadline(now.Add(s.writeBudget))
	prompt := prefix.EstimateTokens(s.body.prompt)
	counts := usage{PromptTokens: prompt, CompletionTokens: s.tokens, TotalTokens: prompt + s.tokens}
	data, err := json.Marshal(s.body.fullCompletion(s.id, now, s.text.String(), counts))
	if err != nil {
		return
	}
	s.to.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = s.to.Write(data) // the caller may have disconnected
}

func (s *sink) timing(now time.Time, ok bool) Timing {
	t := Timing{WorstGap: s.worstGap, Total: now.Sub(s.arrivedAt), Tokens: s.tokens, OK: ok}
	if s.tokens > 0 {
		t.FirstToken = s.firstTokenAt.Sub(s.arrivedAt)
	}
	return t
}

func (s *sink) writeHead() {
	s.started = true
	header := s.to.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.to.WriteHeader(http.StatusOK)
}

func (s *sink) writeEvent(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.writeData(string(data))
}

func (s *sink) writeData(data string) error {
	if err := s.writeBuffered([]byte(eventPrefix + data + eventEnd)); err != nil {
		return err
	}
	return s.flush()
}

// writeBuffered writes to the connection's buffer. The write may have to wait
// for the caller.
func (s *sink) writeBuffered(data []byte) error {
	started, err := s.beginWrite()
	if err != nil {
		return err
	}
	defer s.endWrite(started)
	_, err = s.to.Write(data)
	return err
}

// flush sends the buffered bytes. The wait for the engine that may follow counts
// for no deadline.
func (s *sink) flush() error {
	started, err := s.beginWrite()
	if err != nil {
		return err
	}
	defer s.endWrite(started)
	if s.deadlineEndsWaits {
		defer s.clearWriteDeadline()
	}
	err = http.NewResponseController(s.to).Flush()
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return s.ctx.Err()
}

// beginWrite sets the deadline of the writes that follow. The deadline moves
// with the time that passes between writes, so it is updated only once per
// deadlineInterval, or per half of the remaining budget if that is shorter.
func (s *sink) beginWrite() (time.Time, error) {
	now := time.Now()
	if s.writeBudget <= 0 {
		return now, errSlowReader
	}
	if now.Sub(s.deadlineSetAt) >= min(deadlineInterval, s.writeBudget/2) {
		s.deadlineSetAt = now
		s.setWriteDeadline(now.Add(s.writeBudget))
	}
	return now, nil
}

func (s *sink) endWrite(started time.Time) {
	s.writeBudget -= time.Since(started)
}

func (s *sink) clearWriteDeadline() {
	s.deadlineSetAt = time.Time{}
	s.setWriteDeadline(s.deadlineSetAt)
}

// setWriteDeadline sets the deadline for writes. A zero deadline removes it.
func (s *sink) setWriteDeadline(deadline time.Time) {
	_ = http.NewResponseController(s.to).SetWriteDeadline(deadline) // a recording supports no deadline
}
