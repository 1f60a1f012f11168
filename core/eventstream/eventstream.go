// Package eventstream reads the events of a text/event-stream and joins the
// streams of several runs into one without gaps or duplicates. A run is one
// execution of a request on one backend server. The command hickoryd edge uses it, for
// the backend servers of the users' platform. In hickoryd serve, core/tokenstream
// assembles the streams.
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
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// bufferBytes is the size of a reader's buffer, which holds a few events.
	bufferBytes = 1 << 10
	// keptBytes is the size of an event up to which its memory is used for the next one.
	keptBytes = 8 << 10
)

var (
	// ErrTooLong means that an event exceeds maxEventBytes.
	ErrTooLong = fmt.Errorf("event longer than %d bytes", maxEventBytes)
	// ErrNoMemory means that there is no memory for an event.
	ErrNoMemory = errors.New("no memory left for an event")
	// ErrGap means that a run left out an event.
	ErrGap = errors.New("event missing from the stream")
	// ErrNoID means that a run sent something else than events: the text of an error, or the
	// head of another response.
	ErrNoID = errors.New("event without an ID")
)

type (
	// Event is one event with its bytes as received.
	Event struct {
		Bytes []byte
		// ID is the event's number. It is valid when HasID is set.
		ID    uint64
		HasID bool
		// IsComment is set if the event has only comments, or nothing. It is no part of the
		// stream's content.
		IsComment bool
	}

	// Memory counts the memory that an event takes.
	Memory interface {
		// Hold counts size bytes as held from now on. It reports false if there is no memory for
		// them.
		Hold(size int64) bool
	}

	// Reader reads events. It never returns part of an event.
	Reader struct {
		reader *bufio.Reader
		memory Memory
		event  []byte
	}

	// Relay tracks which events of a stream the caller has received, while one
	// run after another supplies the stream.
	Relay struct {
		last      uint64
		isResumed bool
	}
)

// NewReader returns a reader of the events of body, which takes the memory of its events from memory.
func NewReader(body io.Reader, memory Memory) *Reader {
	return &Reader{reader: bufio.NewReaderSize(body, bufferBytes), memory: memory}
}

// Next returns the next complete event. Its bytes are valid until the next call.
func (r *Reader) Next() (Event, error) {
	r.event = r.event[:0]
	if cap(r.event) > keptBytes {
		r.event = nil
		r.memory.Hold(0)
	}
	for {
		line, err := r.reader.ReadSlice('\n')
		if len(r.event)+len(line) > maxEventBytes {
			return Event{}, ErrTooLong
		}
		if !r.append(line) {
			return Event{}, ErrNoMemory
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return Event{}, err
		}
		if isEnd(r.event) {
			return parseEvent(r.event), nil
		}
	}
}

// append adds bytes to the event, and reports false if there is no memory for them.
func (r *Reader) append(line []byte) bool {
	if size := len(r.event) + len(line); size > cap(r.event) {
		size = max(size, 2*cap(r.event))
		if !r.memory.Hold(int64(size)) {
			return false
		}
		r.event = append(make([]byte, 0, size), r.event...)
	}
	r.event = append(r.event, line...)
	return true
}

// IsComplete reports whether an error of Next means that the stream ended between
// events and not inside one.
func (r *Reader) IsComplete(err error) bool {
	return errors.Is(err, io.EOF) && len(r.event) == 0
}

// isEnd reports whether the bytes end with an empty line.
func isEnd(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) || string(event) == "\n" || string(event) == "\r\n"
}

func parseEvent(event []byte) Event {
	parsed := Event{Bytes: event, IsComment: true}
	for line := range bytes.Lines(event) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			parsed.IsComment = false
		}
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			parsed.ID, parsed.HasID = id, true
		}
	}
	return parsed
}

// NewRelay returns a relay. If isResumed is set, the caller has received the
// events up to the one with the ID last.
func NewRelay(last uint64, isResumed bool) *Relay {
	return &Relay{last: last, isResumed: isResumed}
}

// Accept reports whether an event is to be sent to the caller. It returns false
// for an event that the caller already has, ErrGap when an event is missing
// before this one, and ErrNoID for an event that can't belong to the stream.
func (r *Relay) Accept(e Event) (bool, error) {
	switch {
	case e.IsComment:
		return true, nil
	case !e.HasID:
		return false, fmt.Errorf("%w: %.80q", ErrNoID, e.Bytes)
	}
	if r.isResumed && e.ID <= r.last {
		return false, nil
	}
	if r.isResumed && e.ID != r.last+1 {
		return false, fmt.Errorf("%w: event %d follows event %d", ErrGap, e.ID, r.last)
	}
	r.last, r.isResumed = e.ID, true
	return true, nil
}

// LastID returns the ID of the newest event that the caller has.
func (r *Relay) LastID() uint64 {
	return r.last
}

// IsResumed reports whether the next run must continue after LastID. Otherwise
// the run starts the stream.
func (r *Relay) IsResumed() bool {
	return r.isResumed
}
