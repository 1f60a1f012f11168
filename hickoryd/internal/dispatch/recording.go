package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/refusal"
)

const (
	// maxRecordingBytes bounds one response while it is recorded.
	maxRecordingBytes = 16 << 20
	// maxFinishedRecordings bounds the number of finished recordings that are
	// kept, and maxFinishedBytes their total size.
	maxFinishedRecordings = 20_000
	maxFinishedBytes      = 16 << 20
)

var (
	// ErrNotRecorded means that this daemon has no recording of a request: it never
	// had one, or has dropped it.
	ErrNotRecorded = errors.New("no record of this request")
	// ErrResponseDropped means that the request ended and its response was too
	// large, or too old, to keep. It is not returned at present: Finish drops the
	// entire recording, which is then ErrNotRecorded.
	ErrResponseDropped = errors.New("answer is no longer kept")

	errResponseTooLong = errors.New("answer is too long to record")
)

type (
	// Part is the next part of a response.
	Part struct {
		Status  int            // set in the first part
		Headers []claim.Header // set in the first part
		Body    []byte
		Refusal *refusal.Refusal // the request ended without a response
		Done    bool
	}

	// Recording is the response of one request with an idempotency key, from
	// its first byte. It is written once, as an http.ResponseWriter, and read
	// by any number of callers. It is safe for concurrent use.
	Recording struct {
		id     string
		header http.Header

		mu             sync.Mutex
		status         int
		headers        []claim.Header
		body           []byte
		done           bool
		dropped        bool // not set at present; see ErrResponseDropped
		refusal        *refusal.Refusal
		readers        int
		lastDetachedAt time.Time     // when the last reader detached; zero: no reader has detached yet
		changed        chan struct{} // closed and replaced at every change
	}

	// Recordings holds the responses that this daemon is producing or has
	// produced. It is safe for concurrent use.
	Recordings struct {
		maxResponseBytes int

		mu            sync.Mutex
		byID          map[string]*Recording
		finished      []*Recording // oldest first
		finishedBytes int          // bytes of the finished recordings
	}
)

// NewRecordings returns an empty set. Its Response method returns responses of
// at most maxResponseBytes.
func NewRecordings(maxResponseBytes int) *Recordings {
	return &Recordings{maxResponseBytes: maxResponseBytes, byID: map[string]*Recording{}}
}

// Begin starts the recording of a request.
func (r *Recordings) Begin(id string) *Recording {
	recording := &Recording{id: id, header: http.Header{}, changed: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = recording
	return recording
}

// Find returns the recording of a request.
func (r *Recordings) Find(id string) (*Recording, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if recording, ok := r.byID[id]; ok {
		return recording, nil
	}
	return nil, ErrNotRecorded
}

// Finish ends a recording, with a refusal when there is no complete response.
// It then drops the oldest recordings beyond maxFinishedRecordings or
// maxFinishedBytes, so that a large response drops more of them. Find does not
// find a dropped recording, but readers that are attached can still read it.
func (r *Recordings) Finish(recording *Recording, end *refusal.Refusal) {
	recording.finish(end)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = append(r.finished, recording)
	r.finishedBytes += recording.size()
	for len(r.finished) > maxFinishedRecordings || r.finishedBytes > maxFinishedBytes {
		oldest := r.finished[0]
		r.finished = r.finished[1:]
		r.finishedBytes -= oldest.size()
		delete(r.byID, oldest.id)
	}
}

// Response returns the complete response if it is small enough to store.
func (r *Recordings) Response(recording *Recording) *claim.Response {
	recording.mu.Lock()
	defer recording.mu.Unlock()
	if !recording.done || recording.refusal != nil || len(recording.body) > r.maxResponseBytes {
		return nil
	}
	return &claim.Response{Status: recording.status, Headers: recording.headers, Body: recording.body}
}

// Header implements http.ResponseWriter.
func (r *Recording) Header() http.Header {
	return r.header
}

// WriteHeader implements http.ResponseWriter.
func (r *Recording) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin(status)
}

// Write implements http.ResponseWriter.
func (r *Recording) Write(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin(http.StatusOK)
	if len(r.body)+len(data) > maxRecordingBytes {
		return 0, errResponseTooLong
	}
	r.body = append(r.body, data...)
	r.notifyReaders()
	return len(data), nil
}

// Flush implements http.Flusher. It does nothing: readers see every write at
// once.
func (r *Recording) Flush() {}

// Attach counts a reader until the returned function is called.
func (r *Recording) Attach() (detach func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	return sync.OnceFunc(r.detach)
}

// IsAbandoned reports whether the recording has been without a reader for the
// given time.
func (r *Recording) IsAbandoned(now time.Time, grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.done && r.readers == 0 && !r.lastDetachedAt.IsZero() && now.Sub(r.lastDetachedAt) >= grace
}

// Next waits for bytes after offset or for the end of the response.
func (r *Recording) Next(ctx context.Context, offset int) (Part, error) {
	for {
		part, changed, err := r.part(offset)
		if err != nil || changed == nil {
			return part, err
		}
		select {
		case <-ctx.Done():
			return Part{}, ctx.Err()
		case <-changed:
		}
	}
}

// part returns the bytes after offset, or the channel that is closed at the
// next change. It does not return ErrResponseDropped at present, because dropped
// is not set.
func (r *Recording) part(offset int) (Part, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropped {
		return Part{}, nil, ErrResponseDropped
	}
	if offset > len(r.body) {
		return Part{}, nil, io.ErrUnexpectedEOF
	}
	if !r.done && (r.status == 0 || offset == len(r.body)) {
		return Part{}, r.changed, nil
	}
	part := Part{Body: slices.Clone(r.body[offset:]), Done: r.done, Refusal: r.refusal}
	if offset == 0 {
		part.Status, part.Headers = r.status, r.headers
	}
	return part, nil, nil
}

// begin fixes the status and headers. The caller holds mu.
func (r *Recording) begin(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	for name, values := range r.header {
		for _, value := range values {
			r.headers = append(r.headers, claim.Header{Name: name, Value: value})
		}
	}
	r.notifyReaders()
}

func (r *Recording) finish(end *refusal.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done, r.refusal = true, end
	r.notifyReaders()
}

func (r *Recording) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.lastDetachedAt = time.Now()
}

func (r *Recording) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.body)
}

// notifyReaders wakes the readers after a change. The caller holds mu.
func (r *Recording) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}
