package dispatch

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/core/slot"
)

// isolatedWait is the longest wait of an isolated request, which must find a
// server without another one.
const isolatedWait = time.Minute

// waitUntil is the time at which an attempt gives up waiting for a slot. A
// later attempt continues an answer that has begun, so it waits anew.
func (r *run) waitUntil(now time.Time) time.Time {
	limit := r.request.Profile.MaxWait
	if r.isolated {
		limit = max(limit, isolatedWait)
	}
	if r.assembly.Peek() == 1 {
		return r.request.ArrivedAt.Add(limit)
	}
	return now.Add(limit)
}

// force takes a slot on one of the servers whose homes do not answer: the
// better of two by the load that was last known. The lost home costs accuracy,
// never the request.
func (r *run) force(requestID string, silent []backend.Server) (backend.Server, bool) {
	if len(silent) == 0 {
		return backend.Server{}, false
	}
	free := map[string]int{}
	for _, c := range r.models.directory.Candidates(r.request.Service.Model) {
		free[c.Server.ID] = max(c.Server.Slots, c.Load.SlotsTotal) - c.Load.SlotsUsed
	}
	first, second := silent[rand.IntN(len(silent))], silent[rand.IntN(len(silent))]
	if free[second.ID] > free[first.ID] {
		first = second
	}
	if free[first.ID] <= 0 {
		return backend.Server{}, false
	}
	r.models.slots.Force(first, requestID, r.terms(time.Now()))
	return first, true
}

// isHomeSilent reports whether a reservation failed for want of a home.
func isHomeSilent(err error) bool {
	return errors.Is(err, slot.ErrHomeUnreachable)
}

// noSlotError tells full servers from none that could be asked.
func noSlotError(plan placement.Plan) error {
	if len(plan.Decode) == 0 {
		return errNoServer
	}
	return errNoSlot
}
