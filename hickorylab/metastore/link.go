package metastore

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"
)

// partBytes is the size of the parts in which a response is sent over a slow link.
const partBytes = 16 << 10

type (
	// link is a caller's link to the store. The responses that are sent at the same time
	// share its bandwidth.
	link struct {
		bytesPerSecond int

		mu     sync.Mutex
		freeAt time.Time
	}

	// bufferedResponse holds a response that is sent over a link.
	bufferedResponse struct {
		header http.Header
		status int
		body   bytes.Buffer
	}
)

// send sends a response and returns early if ctx ends. A nil link has no limit.
func (l *link) send(ctx context.Context, w http.ResponseWriter, r *bufferedResponse) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.WriteHeader(r.status)
	if l == nil {
		_, _ = w.Write(r.body.Bytes()) // the caller may have disconnected
		return
	}
	for r.body.Len() > 0 {
		part := r.body.Next(partBytes)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(l.reserve(len(part)))):
		}
		_, _ = w.Write(part) // the caller may have disconnected
		_ = http.NewResponseController(w).Flush()
	}
}

// reserve returns the time at which a part has passed the link.
func (l *link) reserve(size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
	return l.freeAt
}

func newBufferedResponse() *bufferedResponse {
	return &bufferedResponse{header: make(http.Header), status: http.StatusOK}
}

// Header implements http.ResponseWriter.
func (r *bufferedResponse) Header() http.Header {
	return r.header
}

// WriteHeader implements http.ResponseWriter.
func (r *bufferedResponse) WriteHeader(status int) {
	r.status = status
}

// Write implements http.ResponseWriter.
func (r *bufferedResponse) Write(part []byte) (int, error) {
	return r.body.Write(part)
}
