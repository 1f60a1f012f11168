// Package service is a stand-in for the plain services beside the engines, such as
// cart holds, stock lookups and delivery confirmations. It logs each call that it
// runs.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

type (
	// Run is an entry of the run log: one call that the service ran.
	Run struct {
		Key       string    `json:"key"`
		RequestID string    `json:"requestId"`
		Method    string    `json:"method"`
		Path      string    `json:"path"`
		At        time.Time `json:"at"`
	}

	// Service is the stand-in, an http.Handler. It is safe for concurrent use.
	Service struct {
		name    string
		latency time.Duration

		mu   sync.Mutex
		runs []Run
	}
)

// New returns a service that takes latency for each call.
func New(name string, latency time.Duration) *Service {
	return &Service{name: name, latency: latency}
}

// Runs returns the run log of the service.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/lab/log" {
		_ = json.NewEncoder(w).Encode(s.Runs()) // the client may have disconnected
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	number := s.record(r)
	time.Sleep(s.latency)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"service":%q,"run":%d,"path":%q,"bytes":%d}`+"\n", s.name, number, r.URL.Path, len(body))
}

// record adds a call to the run log and returns its number, from 1.
func (s *Service) record(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{
		Key: r.Header.Get("Idempotency-Key"), RequestID: r.Header.Get("X-Request-Id"),
		Method: r.Method, Path: r.URL.Path, At: time.Now(),
	})
	return len(s.runs)
}
