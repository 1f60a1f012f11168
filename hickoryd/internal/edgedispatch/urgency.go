package edgedispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/core/capacitywait"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

// errFull means that a server had no memory or slot for a reservation.
var errFull = fmt.Errorf("%w: no memory or slot is free", errNotRun)

type (
	// rankedServices are the services whose requests have different priorities, by name. It is
	// safe for concurrent use.
	rankedServices struct {
		mu       sync.Mutex
		services map[string]*rankedService
	}

	// rankedService is what this host knows of the requests of a service that wait for memory.
	rankedService struct {
		contention capacitywait.Contention
		line       capacitywait.Line
	}

	// rankedWait is a request that waits for memory at a service whose requests have different
	// priorities. The methods of a nil *rankedWait leave the wait of other requests as it is.
	rankedWait struct {
		ranked   *rankedServices
		service  *rankedService
		place    capacitywait.Place
		priority int
		tokens   int
		lot      float64
	}
)

func newRankedServices() *rankedServices {
	return &rankedServices{services: make(map[string]*rankedService)}
}

// join adds a request that reserves a number of tokens to those that wait, until leave. It returns
// nil if the requests of the service have no ranks.
func (s *rankedServices) join(now time.Time, r *Request, conditions capacitywait.Request, tokens int) *rankedWait {
	if !r.IsRanked {
		return nil
	}
	w := &rankedWait{ranked: s, priority: r.Priority, tokens: tokens, lot: rand.Float64(), place: capacitywait.Place{
		IsStreaming: conditions.IsStreaming, Priority: r.Priority, IsReturn: conditions.FirstArrived.Before(conditions.Arrived),
		Target: conditions.FirstArrived.Add(conditions.LatencyTarget),
	}}
	s.mu.Lock()
	defer s.mu.Unlock()
	service, ok := s.services[r.Route.Service]
	if !ok {
		service = &rankedService{}
		s.services[r.Route.Service] = service
	}
	w.service = service
	service.contention.Observe(now, w.priority, tokens)
	service.line.Join(&w.place)
	return w
}

// leave ends the wait.
func (w *rankedWait) leave() {
	if w == nil {
		return
	}
	w.ranked.mu.Lock()
	defer w.ranked.mu.Unlock()
	w.service.line.Leave(&w.place)
}

// conditions adds the rank and what is known of the service's memory at now to the conditions of
// the wait.
func (w *rankedWait) conditions(now time.Time, r capacitywait.Request) capacitywait.Request {
	if w == nil {
		return r
	}
	w.ranked.mu.Lock()
	defer w.ranked.mu.Unlock()
	r.IsRanked, r.Lot = true, w.lot
	r.Rank, r.IsScarce = w.service.contention.Rank(now, w.priority), w.service.contention.IsScarce(now)
	return r
}

// candidates returns the servers that the request queries at now, in order, out of those that may
// have free capacity: none if it leaves this search to others that wait, and first those that keep
// memory for it if it is a large one.
func (w *rankedWait) candidates(now time.Time, ranked []serverlist.Server) []serverlist.Server {
	if w == nil {
		return ranked
	}
	w.ranked.mu.Lock()
	defer w.ranked.mu.Unlock()
	contention := &w.service.contention
	if contention.IsScarce(now) && !w.place.IsStreaming && !w.service.line.TakeTurn(&w.place) {
		return nil
	}
	if !contention.IsLarge(w.priority, w.tokens) {
		return ranked
	}
	var kept, others []serverlist.Server
	for _, s := range ranked {
		if contention.IsKept(now, s.ID) {
			kept = append(kept, s)
		} else {
			others = append(others, s)
		}
	}
	return slices.Concat(kept, others)
}

// headroom returns the tokens that must stay free at a server that takes the request. late is the
// headroom of a late request without a rank.
func (w *rankedWait) headroom(now time.Time, server serverlist.Server, decision capacitywait.Decision, late int) int {
	if w == nil || w.place.IsStreaming {
		return late
	}
	w.ranked.mu.Lock()
	defer w.ranked.mu.Unlock()
	contention := &w.service.contention
	if decision.IsYielding {
		late += contention.Yield(now, w.priority)
	}
	return contention.Headroom(now, server.ID, w.priority, w.tokens, late)
}

// record records the result of a reservation with the given headroom at a server.
func (w *rankedWait) record(now time.Time, headroom int, err error) {
	if w == nil {
		return
	}
	w.ranked.mu.Lock()
	defer w.ranked.mu.Unlock()
	switch {
	case err == nil:
		w.service.contention.RecordGrant(now, w.priority, w.tokens, headroom)
	case errors.Is(err, errFull) && headroom == 0:
		w.service.contention.RecordRejection(now, w.priority, w.tokens)
	}
}
