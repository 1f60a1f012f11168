package edgecaller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/platform"
)

// sink writes a response to a caller.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	handler    *Handler
	id         string
	// status is 0 until the response has started.
	status int
	bytes  int
	// held is what the response has taken in the ledger of responses, and largest the size of
	// its largest part.
	held, largest int64
	// route is the name under which its size is recorded.
	route string
	// firstByteAt is when the first part of the body was written.
	firstByteAt time.Time
}

// Start implements edgedispatch.Sink.
func (s *sink) Start(status int, header http.Header) error {
	for name, values := range header {
		s.writer.Header()[name] = values
	}
	s.begin(status)
	return nil
}

// Write implements edgedispatch.Sink.
func (s *sink) Write(part []byte) error {
	if s.firstByteAt.IsZero() {
		s.firstByteAt = time.Now()
	}
	s.handler.responses.hold(s, int64(len(part)))
	n, err := s.writer.Write(part)
	s.bytes += n
	if err != nil {
		return err
	}
	return s.controller.Flush()
}

// fail sends an error response that this host generates.
func (s *sink) fail(f *edgedispatch.Failure) {
	header := s.writer.Header()
	if s.id != "" {
		platform.SetRequestID(header, s.id)
	}
	if f.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if f.Status == http.StatusUnauthorized {
		platform.SetChallenge(header)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	s.begin(f.Status)
	_, _ = s.writer.Write([]byte(f.Reason + "\n")) // the caller may have disconnected
}

// begin sends the status and the headers. On a draining host the connection is closed
// after the response.
func (s *sink) begin(status int) {
	s.status = status
	if s.handler.stop.Load() != nil {
		s.writer.Header().Set("Connection", "close")
	}
	s.writer.WriteHeader(status)
}
