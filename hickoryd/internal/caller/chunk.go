package caller

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/hickoryfront/hickoryfront/core/tokenstream"
)

// textMark stands for a token's text while a template is made. The text comes
// after all values of callers, so the last mark is the text's.
const textMark = "\u0001text\u0001"

// chunkTemplate is the events of one streamed answer with a gap for the text,
// so that only the text is encoded for each token.
type chunkTemplate struct {
	first  splitEvent
	middle splitEvent
	last   splitEvent
	only   splitEvent
}

// splitEvent is one event before and after its text.
type splitEvent struct {
	head, tail []byte
}

func newChunkTemplate(body parsedBody, id string, created time.Time) (chunkTemplate, error) {
	var t chunkTemplate
	for _, part := range []struct {
		event       *splitEvent
		first, last bool
	}{{&t.first, true, false}, {&t.middle, false, false}, {&t.last, false, true}, {&t.only, true, true}} {
		data, err := json.Marshal(body.chunk(id, created, textMark, part.first, part.last))
		if err != nil {
			return t, err
		}
		mark, err := json.Marshal(textMark)
		if err != nil {
			return t, err
		}
		at := bytes.LastIndex(data, mark)
		part.event.head, part.event.tail = data[:at], data[at+len(mark):]
	}
	return t, nil
}

// appendEvent adds the event of one token to buffer.
func (t *chunkTemplate) appendEvent(buffer []byte, text string, first, last bool) ([]byte, error) {
	event := t.pick(first, last)
	encoded, err := json.Marshal(text)
	if err != nil {
		return buffer, err
	}
	buffer = append(buffer, event.head...)
	buffer = append(buffer, encoded...)
	return append(buffer, event.tail...), nil
}

// chunk writes the event of one token.
func (s *sink) chunk(token tokenstream.Token, first bool) error {
	if s.template == nil {
		made, err := newChunkTemplate(s.body, s.id, s.arrived)
		if err != nil {
			return err
		}
		s.template = &made
	}
	var err error
	s.buffer = append(s.buffer[:0], eventPrefix...)
	if s.buffer, err = s.template.appendEvent(s.buffer, token.Text, first, token.Last); err != nil {
		return err
	}
	s.buffer = append(s.buffer, eventEnd...)
	return s.send(s.buffer)
}

func (t *chunkTemplate) pick(first, last bool) *splitEvent {
	switch {
	case first && last:
		return &t.only
	case first:
		return &t.first
	case last:
		return &t.last
	}
	return &t.middle
}
