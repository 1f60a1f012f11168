package edgecaller

import (
	"net/http"
	"sync"

	"github.com/hickoryfront/hickoryfront/core/memoryledger"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
)

const (
	// responseWeight is the weight of the newest response in a route's usual size.
	responseWeight = 1. / 8
	// maxRoutes bounds the routes whose usual size is kept; names may change with each
	// configuration.
	maxRoutes = 4096
)

var errTooManyResponses = &edgedispatch.Failure{Status: http.StatusServiceUnavailable, RetryAfter: startRetryAfter, Reason: "too many responses held"}

// responses counts the parts of responses that callers have not taken. A request takes the usual
// size of its route's responses before it is sent to a server, because a response that has
// arrived can't be refused any more. It is safe for concurrent use.
type responses struct {
	ledger *memoryledger.Ledger // or nil

	mu sync.Mutex
	// usual is the mean size of the largest part of a response, in bytes, by route.
	usual map[string]float64
}

// CountResponses makes the handler count responses in a ledger and refuse requests that it has no
// room for. It must be called before the handler serves.
func (h *Handler) CountResponses(ledger *memoryledger.Ledger) {
	h.responses.ledger = ledger
	h.responses.usual = make(map[string]float64)
}

// admit takes the usual size of the response to a request.
func (r *responses) admit(s *sink, route string) error {
	if r.ledger == nil {
		return nil
	}
	r.mu.Lock()
	size := int64(r.usual[route])
	r.mu.Unlock()
	if !r.ledger.Acquire(size) {
		return errTooManyResponses
	}
	s.route, s.held = route, size
	return nil
}

// hold counts a part of a response that is longer than those before.
func (r *responses) hold(s *sink, size int64) {
	s.largest = max(s.largest, size)
	if r.ledger != nil && size > s.held {
		r.ledger.Take(size - s.held)
		s.held = size
	}
}

// release gives up what a response has taken.
func (r *responses) release(s *sink) {
	if r.ledger == nil {
		return
	}
	r.ledger.Release(s.held)
	s.held = 0
	if s.largest == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.usual) >= maxRoutes {
		clear(r.usual)
	}
	if usual, ok := r.usual[s.route]; ok {
		r.usual[s.route] = usual + responseWeight*(float64(s.largest)-usual)
	} else {
		r.usual[s.route] = float64(s.largest)
	}
}
