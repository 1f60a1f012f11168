package slot

import (
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

const (
	// foreignWindow is the time for which the largest foreign load is kept. A
	// single report may miss foreign requests behind slots that were granted
	// and not yet used.
	foreignWindow = 3 * time.Second
	// withdrawnWithin is the time within which a reservation that ends did not
	// run.
	withdrawnWithin = 100 * time.Millisecond
)

type (
	// foreignLoad is what other routers, such as the old scripts, run on a
	// server: the reported load less the slots that were granted at that time.
	foreignLoad struct {
		samples []foreignSample
		former  []formerGrant
	}

	foreignSample struct {
		at    time.Time
		slots int
	}

	// formerGrant is a reservation that may still be part of a late report.
	formerGrant struct {
		grantedAt  time.Time
		releasedAt time.Time
	}
)

// used is the number of slots granted and those used by others.
func (a *account) used() int {
	return len(a.granted) + a.foreign.slots()
}

// observeForeign compares a report with the grants that existed when it was
// taken. Slots that were given back since then were among them.
func (a *account) observeForeign(load backend.Load) {
	own := 0
	for _, r := range a.granted {
		if !r.GrantedAt.After(load.ObservedAt) {
			own++
		}
	}
	own += a.foreign.formerAt(load.ObservedAt)
	a.foreign.add(load.ObservedAt, max(0, load.SlotsUsed-own))
}

// drop ends a reservation. One that was held for a while tells how often the
// server's slots become free; a shorter one was withdrawn.
func (a *account) drop(now time.Time, requestID string) {
	r, ok := a.granted[requestID]
	if !ok {
		return
	}
	delete(a.granted, requestID)
	a.foreign.former = append(a.foreign.former, formerGrant{grantedAt: r.GrantedAt, releasedAt: now})
	if now.Sub(r.GrantedAt) > withdrawnWithin {
		a.released.add(now)
	}
}

// formerAt counts the former grants that were held at a time, and forgets
// those that no later report can include.
func (f *foreignLoad) formerAt(at time.Time) int {
	kept := f.former[:0]
	held := 0
	for _, g := range f.former {
		if g.releasedAt.Before(at) {
			continue
		}
		kept = append(kept, g)
		if !g.grantedAt.After(at) {
			held++
		}
	}
	f.former = kept
	return held
}

func (f *foreignLoad) add(at time.Time, slots int) {
	kept := f.samples[:0]
	for _, s := range f.samples {
		if at.Sub(s.at) < foreignWindow {
			kept = append(kept, s)
		}
	}
	f.samples = append(kept, foreignSample{at: at, slots: slots})
}

func (f *foreignLoad) slots() int {
	largest := 0
	for _, s := range f.samples {
		largest = max(largest, s.slots)
	}
	return largest
}
