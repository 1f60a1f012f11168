package slot

import (
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

const (
	// externalWindow is the time over which the maximum of the external load is
	// taken. A single report may miss external requests: slots that are granted
	// and not yet used hide them.
	externalWindow = 3 * time.Second
	// minHeldTime is the time below which a released reservation counts as
	// withdrawn: its request did not run.
	minHeldTime = 100 * time.Millisecond
)

type (
	// externalLoad is the load that other routers, such as older scripts, put on
	// a server: the reported slots less those granted at the time of the report.
	externalLoad struct {
		samples  []externalSample
		released []releasedGrant
	}

	externalSample struct {
		at    time.Time
		slots int
	}

	// releasedGrant is a released reservation that a late report may still
	// include.
	releasedGrant struct {
		grantedAt  time.Time
		releasedAt time.Time
	}
)

// used returns the number of slots that are reserved or used by other routers.
func (s *serverSlots) used() int {
	return len(s.reservations) + s.external.slots()
}

// observeExternal derives the external load from a report and the reservations
// that existed when the report was taken, including those released since then.
func (s *serverSlots) observeExternal(load backend.Load) {
	own := 0
	for _, r := range s.reservations {
		if !r.GrantedAt.After(load.ObservedAt) {
			own++
		}
	}
	own += s.external.releasedHeldAt(load.ObservedAt)
	s.external.add(load.ObservedAt, max(0, load.SlotsUsed-own))
}

// release ends a reservation. Only a reservation held for longer than
// minHeldTime counts in the rate at which the server's slots become free.
func (s *serverSlots) release(now time.Time, attemptID string) {
	r, ok := s.reservations[attemptID]
	if !ok {
		return
	}
	delete(s.reservations, attemptID)
	s.external.released = append(s.external.released, releasedGrant{grantedAt: r.GrantedAt, releasedAt: now})
	if now.Sub(r.GrantedAt) > minHeldTime {
		s.releases.add(now)
	}
}

// releasedHeldAt returns the number of released grants that were held at a
// time. It discards those that no later report can include.
func (e *externalLoad) releasedHeldAt(at time.Time) int {
	kept := e.released[:0]
	held := 0
	for _, g := range e.released {
		if g.releasedAt.Before(at) {
			continue
		}
		kept = append(kept, g)
		if !g.grantedAt.After(at) {
			held++
		}
	}
	e.released = kept
	return held
}

func (e *externalLoad) add(at time.Time, slots int) {
	kept := e.samples[:0]
	for _, s := range e.samples {
		if at.Sub(s.at) < externalWindow {
			kept = append(kept, s)
		}
	}
	e.samples = append(kept, externalSample{at: at, slots: slots})
}

func (e *externalLoad) slots() int {
	largest := 0
	for _, s := range e.samples {
		largest = max(largest, s.slots)
	}
	return largest
}
