package caller

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/hickoryfront/hickoryfront/core/tokenstream"
)

// textPlaceholder stands for a token's text while a template is made. The text
// follows all values that come from callers, so the last occurrence is the
// text's.
const textPlaceholder = "\u0001text\u0001"

// eventTemplate holds the encoded events of one streamed response without the
// text, so that only the text is encoded for each token.
type eventTemplate struct {
	first  splitEvent
	middle splitEvent
	last   splitEvent
	only   splitEvent
}

// splitEvent is one event, split into the parts before and after its text.
type splitEvent struct {
	head, tail []byte
}

func newEventTemplate(body parsedBody, id string, created time.Time) (eventTemplate, error) {
	var t eventTemplate
	for _, part := range []struct {
		event       *splitEvent
		first, last bool
	}{{&t.first, true, false}, {&t.middle, false, false}, {&t.last, false, true}, {&t.only, true, true}} {
		data, err := json.Marshal(body.tokenEvent(id, created, textPlaceholder, part.first, part.last))
		if err != nil {
			return t, err
		}
		placeholder, err := json.Marshal(textPlaceholder)
		if err != nil {
			return t, err
		}
		at := bytes.LastIndex(data, placeholder)
		part.event.head, part.event.tail = data[:at], data[at+len(placeholder):]
	}
	return t, nil
}

// appendEvent appends the event of one token to buffer.
func (t *eventTemplate) appendEvent(buffer []byte, text string, first, last bool) ([]byte, error) {
	event := t.eventFor(first, last)
	encoded, err := json.Marshal(text)
	if err != nil {
		return buffer, err
	}
	buffer = append(buffer, event.head...)
	buffer = append(buffer, encoded...)
	return append(buffer, event.tail...), nil
}

// writeTokenEvent writes the event of one token.
func (s *sink) writeTokenEvent(token tokenstream.Token, first bool) error {
	if s.template == nil {
		made, err := newEventTemplate(s.body, s.id, s.arrivedAt)
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
	return s.writeBuffered(s.buffer)
}

func (t *eventTemplate) eventFor(first, last bool) *splitEvent {
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
