package quota

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// homeRetryPeriod is the time for which a home that did not answer is not asked again.
	homeRetryPeriod = time.Second
	// leasePeriod is the time for which units granted ahead may be used. It bounds what hosts
	// admit beyond what homes grant in a window.
	leasePeriod = time.Second
	// returnPeriod is the age up to which units are returned to a home.
	returnPeriod = 2 * time.Second
)

// Results of Requester.Begin.
const (
	// AskHomes means that the homes must be asked.
	AskHomes Step = iota
	// Admit means that the host has the units.
	Admit
	// Refuse means that the homes had no units when they were asked last.
	Refuse
)

type (
	// Step is what a host does with a request.
	Step int

	// Bounds are what the operators tolerate beyond the quotas: in a window, overshoot times
	// what the quota allows in it and slack units, over all hosts together.
	Bounds struct {
		Window    time.Duration
		Overshoot float64
		Slack     float64
	}

	// Decision is the result of Requester.Begin.
	Decision struct {
		Step Step
		// Homes are the homes to ask, in this order. There may be none.
		Homes []netip.AddrPort
		// Ahead are further units to ask for.
		Ahead float64
		// Home is the home that granted the units at GrantedAt, if Step is Admit.
		Home      netip.AddrPort
		GrantedAt time.Time
		// Wait is the time until the homes may have units again, if Step is Refuse.
		Wait time.Duration
	}

	// Requester decides for a host from where it gets the units of its requests. It is not
	// safe for concurrent use.
	Requester struct {
		self       netip.AddrPort
		bounds     Bounds
		started    time.Time
		random     *rand.Rand
		workspaces map[string]*demand
		silentAt   map[netip.AddrPort]time.Time
		cleanedAt  time.Time
	}

	// demand is what a host knows of a workspace that it has requests of.
	demand struct {
		usedAt      time.Time
		lease       Lease
		deniedUntil time.Time
		// deniedVersion is that of the document when the homes had no units.
		deniedVersion uint64
		allowance     *Allowance
	}
)

// NewRequester returns the requester of the host at self, which has started at started.
func NewRequester(self netip.AddrPort, bounds Bounds, started time.Time, random *rand.Rand) *Requester {
	return &Requester{
		self: self, bounds: bounds, started: started, random: random,
		workspaces: make(map[string]*demand), silentAt: make(map[netip.AddrPort]time.Time),
	}
}

// HasTolerance reports whether the bounds allow any units beyond the quota.
func (b Bounds) HasTolerance() bool {
	return b.Overshoot > 0 || b.Slack > 0
}

// excess returns the units that hosts without homes may admit in a window, all together. What
// leases and returned units may add in a window is subtracted.
func (b Bounds) excess(limit Limit) float64 {
	leases := 2 * aheadShare * min(limit.Burst, limit.Rate)
	returned := returnShare * limit.Rate * (1 + returnPeriod.Seconds())
	return max(0, b.Overshoot*(limit.Rate*b.Window.Seconds()+limit.Burst)+b.Slack-leases-returned)
}

// Begin decides at now what to do with a request that needs the units of ask. homes are those
// of the workspace.
func (r *Requester) Begin(now time.Time, ask Ask, homes []netip.AddrPort) Decision {
	r.clean(now)
	d, ok := r.workspaces[ask.Workspace]
	if !ok {
		d = &demand{}
		r.workspaces[ask.Workspace] = d
	}
	d.usedAt = now
	d.lease.observe(now, ask.Units)
	if d.lease.take(now, ask.Units) {
		return Decision{Step: Admit, Home: d.lease.home, GrantedAt: d.lease.askedAt}
	}
	if d.deniedVersion == ask.Version && now.Before(d.deniedUntil) {
		return Decision{Step: Refuse, Wait: d.deniedUntil.Sub(now)}
	}
	asked := slices.DeleteFunc(slices.Clone(homes), func(home netip.AddrPort) bool { return now.Sub(r.silentAt[home]) < homeRetryPeriod })
	r.random.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	if i := slices.Index(asked, r.self); i > 0 {
		asked[0], asked[i] = asked[i], asked[0]
	}
	decision := Decision{Homes: asked}
	if r.bounds.HasTolerance() && len(asked) > 0 && asked[0] != r.self {
		decision.Ahead = d.lease.ahead()
	}
	return decision
}

// Grant records that a home has granted units for an ask that was sent at askedAt.
func (r *Requester) Grant(askedAt time.Time, ask Ask, home netip.AddrPort, granted float64) {
	if d, ok := r.workspaces[ask.Workspace]; ok && granted > ask.Units {
		d.lease.set(askedAt, home, granted-ask.Units)
	}
}

// Deny records at now that no home that answers has units before wait is over.
func (r *Requester) Deny(now time.Time, ask Ask, wait time.Duration) {
	if d, ok := r.workspaces[ask.Workspace]; ok {
		d.deniedUntil, d.deniedVersion = now.Add(wait), ask.Version
	}
}

// MarkSilent records that a home did not answer at now, or does not grant.
func (r *Requester) MarkSilent(now time.Time, home netip.AddrPort) {
	r.silentAt[home] = now
}

// TakeAllowance reports whether the host may admit a request although no home answers. hosts
// is the number of hosts.
func (r *Requester) TakeAllowance(now time.Time, ask Ask, hosts int) bool {
	// What this host admitted before it started again is in the window until then, and other
	// hosts may not count it as a host yet.
	if !r.bounds.HasTolerance() || hosts == 0 || now.Sub(r.started) < max(r.bounds.Window*(slotCount+1)/slotCount, joinPeriod) {
		return false
	}
	d, ok := r.workspaces[ask.Workspace]
	if !ok {
		return false
	}
	if d.allowance == nil {
		d.allowance = NewAllowance(r.bounds.Window)
	}
	return d.allowance.Take(now, ask.Units, r.bounds.excess(ask.Limit)/float64(hosts))
}

// Return keeps units that were not used. It reports whether they should be returned to the
// home that granted them at grantedAt instead.
func (r *Requester) Return(now, grantedAt time.Time, workspace string, units float64) (toHome bool) {
	if d, ok := r.workspaces[workspace]; ok && d.lease.giveBack(now, units) {
		return false
	}
	return now.Sub(grantedAt) < returnPeriod
}

// clean removes the workspaces without requests of late, and the homes that may be asked again.
func (r *Requester) clean(now time.Time) {
	if now.Sub(r.cleanedAt) < idlePeriod/4 {
		return
	}
	r.cleanedAt = now
	for name, d := range r.workspaces {
		if now.Sub(d.usedAt) >= max(idlePeriod, 2*r.bounds.Window) { // the allowance counts a window
			delete(r.workspaces, name)
		}
	}
	for home, silentAt := range r.silentAt {
		if now.Sub(silentAt) >= homeRetryPeriod {
			delete(r.silentAt, home)
		}
	}
}

// Lease holds units that a home has granted ahead, and measures how many the host uses.
type Lease struct {
	units   float64
	home    netip.AddrPort
	askedAt time.Time
	// used and usedBefore are the units of the requests in the present and the last period.
	used, usedBefore float64
	count, before    int // of these requests
	periodAt         time.Time
}

func (l *Lease) observe(now time.Time, units float64) {
	if elapsed := now.Sub(l.periodAt); elapsed >= leasePeriod {
		l.usedBefore, l.before = l.used, l.count
		if elapsed >= 2*leasePeriod {
			l.usedBefore, l.before = 0, 0
		}
		l.used, l.count, l.periodAt = 0, 0, now
	}
	l.used += units
	l.count++
}

// ahead returns the units that the host is likely to need in the next period. A host with a
// single request in a period would let them expire.
func (l *Lease) ahead() float64 {
	if l.before < 2 {
		return 0
	}
	return l.usedBefore
}

func (l *Lease) take(now time.Time, units float64) bool {
	if !l.lasts(now) || l.units < units {
		return false
	}
	l.units -= units
	return true
}

// set replaces the units. Those left are dropped, as they expire earlier.
func (l *Lease) set(askedAt time.Time, home netip.AddrPort, units float64) {
	l.askedAt, l.home, l.units = askedAt, home, units
}

func (l *Lease) lasts(now time.Time) bool {
	return now.Sub(l.askedAt) < leasePeriod
}

func (l *Lease) giveBack(now time.Time, units float64) bool {
	if !l.lasts(now) {
		return false
	}
	l.units += units
	return true
}

// Allowance is what a host may admit of a workspace without a home, in each sliding window.
type Allowance struct {
	admitted windowSum
}

// NewAllowance returns an allowance of which nothing is used.
func NewAllowance(window time.Duration) *Allowance {
	return &Allowance{admitted: newWindowSum(window)}
}

// Take admits units at now if no more than share units are admitted in the window then.
func (a *Allowance) Take(now time.Time, units, share float64) bool {
	if a.admitted.sum(now)+units > share {
		return false
	}
	a.admitted.add(now, units)
	return true
}
