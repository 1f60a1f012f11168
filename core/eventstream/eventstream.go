// Package eventstream reads the events of a text/event-stream and joins the streams
// of several runs into one without gaps or repeats.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
	// initialBuffer is the size of a reader's buffer in bytes: a few events.
	initialBuffer = 1 << 10
)

var (
	// ErrTooLong means that an event exceeds the limit.
	ErrTooLong = errors.New("event is too long")
	// ErrGap means that a run left out an event.
	ErrGap = errors.New("the stream lacks an event")
)

type (
	// Event is one event with its bytes as they came.
	Event struct {
		Bytes []byte
		// ID is the event's number, where HasID is set.
		ID    uint64
		HasID bool
	}

	// Reader reads events. It never returns a part of an event.
	Reader struct {
		reader *bufio.Reader
		event  []byte
	}

	// Relay keeps the position in a stream that several runs make up.
	Relay struct {
		last      uint64
		isResumed bool
	}
)

// NewReader returns a reader of the events of body.
func NewReader(body io.Reader) *Reader {
	return &Reader{reader: bufio.NewReaderSize(body, initialBuffer)}
}

// Next returns the next whole event. Its bytes are valid until the next call.
func (r *Reader) Next() (Event, error) {
	r.event = r.event[:0]
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, line...)
		if len(r.event) > maxEvent {
			return Event{}, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return Event{}, err
		}
		if isEnd(r.event) {
			return decode(r.event), nil
		}
	}
}

// IsComplete reports whether an error of Next is the clean end of the stream.
func (r *Reader) IsComplete(err error) bool {
	return errors.Is(err, io.EOF) && len(r.event) == 0
}

// isEnd reports whether the bytes end with an empty line.
func isEnd(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) || string(event) == "\n" || string(event) == "\r\n"
}

func decode(event []byte) Event {
	decoded := Event{Bytes: event}
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			decoded.ID, decoded.HasID = id, true
		}
	}
	return decoded
}

// NewRelay returns a relay that goes on after the event last, if isResumed.
func NewRelay(last uint64, isResumed bool) *Relay {
	return &Relay{last: last, isResumed: isResumed}
}

// Accept reports whether the caller gets an event. Events that it has already
// are passed over; one that is missing is ErrGap.
func (r *Relay) Accept(e Event) (bool, error) {
	if !e.HasID {
		return true, nil
	}
	if r.isResumed && e.ID <= r.last {
		return false, nil
	}
	if r.isResumed && e.ID != r.last+1 {
		return false, fmt.Errorf("%w: %d after %d", ErrGap, e.ID, r.last)
	}
	r.last, r.isResumed = e.ID, true
	return true, nil
}

// LastID is the newest event that the caller has.
func (r *Relay) LastID() uint64 {
	return r.last
}

// IsResumed reports whether a run goes on after Last.
func (r *Relay) IsResumed() bool {
	return r.isResumed
}
