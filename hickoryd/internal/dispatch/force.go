package dispatch

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/core/slot"
)

// maxIsolatedWait is how long an isolated request may wait even if its profile's
// maxWait is shorter: it needs a server that runs no other isolated request.
const maxIsolatedWait = time.Minute

// waitDeadline is the time at which an attempt stops waiting for a slot. The
// wait of a later attempt starts anew, because the first attempt had a slot.
func (g *generation) waitDeadline(now time.Time) time.Time {
	limit := g.request.Profile.MaxWait
	if g.isolated {
		limit = max(limit, maxIsolatedWait)
	}
	if g.assembly.NextAttempt() == 1 {
		return g.request.ArrivedAt.Add(limit)
	}
	return now.Add(limit)
}

// forceSlot takes a slot without a grant on one of the servers whose homes do
// not respond. It draws two servers at random and takes the one with more free
// slots by the last known load. An unreachable home makes the slot count less
// accurate, but does not fail the request by itself: the attempt ends with
// errNoSlot only if the last known load shows no free slot on the chosen server.
func (g *generation) forceSlot(attemptID string, unreachable []backend.Server) (backend.Server, bool) {
	if len(unreachable) == 0 {
		return backend.Server{}, false
	}
	freeSlots := map[string]int{}
	for _, c := range g.models.directory.Candidates(g.request.Service.Model) {
		freeSlots[c.Server.ID] = max(c.Server.Slots, c.Load.SlotsTotal) - c.Load.SlotsUsed
	}
	chosen, other := unreachable[rand.IntN(len(unreachable))], unreachable[rand.IntN(len(unreachable))]
	if freeSlots[other.ID] > freeSlots[chosen.ID] {
		chosen = other
	}
	if freeSlots[chosen.ID] <= 0 {
		return backend.Server{}, false
	}
	g.models.slots.Force(chosen, attemptID, g.terms(time.Now()))
	return chosen, true
}

// isHomeUnreachable reports whether a reservation failed because the server's
// home did not respond.
func isHomeUnreachable(err error) bool {
	return errors.Is(err, slot.ErrHomeUnreachable)
}

// noSlotError distinguishes full servers from an empty plan.
func noSlotError(plan placement.Plan) error {
	if len(plan.Decode) == 0 {
		return errNoServer
	}
	return errNoSlot
}
