package telemetry

import (
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/caller"
)

// maxServices bounds the number of services that are counted. The names come from the
// configuration, and "" counts the requests whose service is not known. The bound is
// needed because services that operators have deleted stay in the map.
const maxServices = 10_000

type (
	// RequestCounter wraps another recorder and counts the requests of each
	// service. It is safe for concurrent use.
	RequestCounter struct {
		caller.Recorder

		mu       sync.Mutex
		services map[string]requestCount
	}

	requestCount struct {
		answered uint64
		refused  uint64
	}
)

// NewRequestCounter returns a counter that passes each call on to next.
func NewRequestCounter(next caller.Recorder) *RequestCounter {
	return &RequestCounter{Recorder: next, services: map[string]requestCount{}}
}

// Completion implements caller.Recorder.
func (r *RequestCounter) Completion(now time.Time, profile config.Profile, service string, timing caller.Timing) {
	r.add(service, requestCount{answered: 1})
	r.Recorder.Completion(now, profile, service, timing)
}

// Call implements caller.Recorder.
func (r *RequestCounter) Call(now time.Time, profile config.Profile, service string, took time.Duration, ok bool) {
	r.add(service, requestCount{answered: 1})
	r.Recorder.Call(now, profile, service, took, ok)
}

// Refused implements caller.Recorder.
func (r *RequestCounter) Refused(service string, refused *refusal.Refusal) {
	r.add(service, requestCount{refused: 1})
	r.Recorder.Refused(service, refused)
}

// Count returns the numbers of answered and of refused requests of a service.
func (r *RequestCounter) Count(service string) (answered, refused uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := r.services[service]
	return count.answered, count.refused
}

func (r *RequestCounter) add(service string, count requestCount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, ok := r.services[service]
	if !ok && len(r.services) >= maxServices {
		return
	}
	r.services[service] = requestCount{answered: current.answered + count.answered, refused: current.refused + count.refused}
}
