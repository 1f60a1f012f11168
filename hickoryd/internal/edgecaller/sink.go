package edgecaller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/platform"
)

// sink writes an answer to a caller.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	handler    *Handler
	id         string
	status     int
	bytes      int
	first      time.Time
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
	if s.first.IsZero() {
		s.first = time.Now()
	}
	n, err := s.writer.Write(part)
	s.bytes += n
	if err != nil {
		return err
	}
	return s.controller.Flush()
}

// fail sends an answer of the system's own.
func (s *sink) fail(f *edgedispatch.Failure) {
	header := s.writer.Header()
	if s.id != "" {
		platform.SetRequestID(header, s.id)
	}
	if f.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	s.begin(f.Status)
	_, _ = s.writer.Write([]byte(f.Reason + "\n")) // the caller may have left
}

func (s *sink) begin(status int) {
	s.status = status
	if s.handler.leaving.Load() != nil {
		s.writer.Header().Set("Connection", "close")
	}
	s.writer.WriteHeader(status)
}
