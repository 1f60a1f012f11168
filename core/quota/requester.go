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
	// startTolerance is the part of what the operators tolerate that hosts admit while homes start.
	// Hosts may start twice in a window.
	startTolerance = 0.4
	// maxBooking bounds the time after which a refused caller returns. Workspaces exceed their
	// quotas for some seconds, and callers wait no longer than a third of the time they have left.
	maxBooking = 5 * time.Second
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
		// RetryAfter is the time after which the caller should return, if Step is Refuse.
		RetryAfter time.Duration
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
		startingAt map[netip.AddrPort]time.Time
		cleanedAt  time.Time
	}

	// demand is what a host knows of a workspace that it has requests of.
	demand struct {
		usedAt time.Time
		lease  Lease
		// deniedUntil is until when the homes have no units for a request of deniedUnits.
		deniedUntil time.Time
		deniedUnits float64
		// deniedVersion is that of the document when the homes had no units.
		deniedVersion uint64
		// bookedUntil is the time up to which refused callers have been told to return.
		bookedUntil time.Time
		allowance   *Allowance
		startShare  *startShare
	}
)

// NewRequester returns the requester of the host at self, which has started at started.
func NewRequester(self netip.AddrPort, bounds Bounds, started time.Time, random *rand.Rand) *Requester {
	return &Requester{
		self: self, bounds: bounds, started: started, random: random,
		workspaces: make(map[string]*demand), silentAt: make(map[netip.AddrPort]time.Time), startingAt: make(map[netip.AddrPort]time.Time),
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
	if d.deniedVersion == ask.Version && now.Before(d.deniedUntil) && ask.Units >= d.deniedUnits {
		wait := d.deniedUntil.Sub(now)
		return Decision{Step: Refuse, Wait: wait, RetryAfter: d.book(now, ask, wait)}
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

// Deny records at now that no home that answers has units before wait is over. It returns the
// time after which the caller should return.
func (r *Requester) Deny(now time.Time, ask Ask, wait time.Duration) time.Duration {
	d, ok := r.workspaces[ask.Workspace]
	if !ok {
		return wait
	}
	d.deniedUntil, d.deniedUnits, d.deniedVersion = now.Add(wait), ask.Units, ask.Version
	return d.book(now, ask, wait)
}

// book returns the time after which a refused caller should return. Each further one returns later,
// by the time in which this host's part of the quota has the units for it, so that callers don't
// return together to be refused again.
func (d *demand) book(now time.Time, ask Ask, wait time.Duration) time.Duration {
	if first := now.Add(wait); d.bookedUntil.Before(first) {
		d.bookedUntil = first
	}
	after := d.bookedUntil.Sub(now)
	step := maxBooking
	if seconds := ask.Units * float64(max(ask.Hosts, 1)) / ask.Limit.Rate; seconds < maxBooking.Seconds() {
		step = time.Duration(seconds * float64(time.Second))
	}
	if after+step <= maxBooking {
		d.bookedUntil = d.bookedUntil.Add(step)
	}
	return after
}

// MarkSilent records that a home did not answer at now, or that it does not grant yet if isStarting
// is set.
func (r *Requester) MarkSilent(now time.Time, home netip.AddrPort, isStarting bool) {
	r.silentAt[home] = now
	if isStarting {
		r.startingAt[home] = now
	}
}

// IsStarting reports whether all homes have answered lately that they do not grant yet. A home that
// did not answer may grant to other hosts.
func (r *Requester) IsStarting(now time.Time, homes []netip.AddrPort) bool {
	return len(homes) > 0 && !slices.ContainsFunc(homes, func(home netip.AddrPort) bool {
		at, ok := r.startingAt[home]
		return !ok || now.Sub(at) >= 2*homeRetryPeriod
	})
}

// TakeStartShare reports whether the host may admit a request while the homes of the workspace do
// not grant yet, as after a start of all hosts: each host has an equal part of the rate and of what the
// operators tolerate, and none of the burst. hosts is the number of hosts.
func (r *Requester) TakeStartShare(now time.Time, ask Ask, hosts int) bool {
	d, ok := r.workspaces[ask.Workspace]
	if !ok || hosts == 0 {
		return false
	}
	tolerated := startTolerance * r.bounds.excess(ask.Limit) / float64(hosts)
	if d.allowance != nil { // both admit from what the operators tolerate
		tolerated = max(0, tolerated-d.allowance.admitted.sum(now))
	}
	rate := ask.Limit.Rate / float64(hosts)
	first := tolerated - ask.Units*r.random.Float64()
	if d.startShare == nil {
		d.startShare = &startShare{level: first, filledAt: now}
	} else if now.Sub(d.startShare.filledAt) >= r.windowLength() { // the homes have granted meanwhile
		d.startShare.level = min(d.startShare.level+rate*now.Sub(d.startShare.filledAt).Seconds(), first)
		d.startShare.filledAt = now
	}
	return d.startShare.take(now, ask.Units, rate, tolerated)
}

// TakeAllowance reports whether the host may admit a request although no home answers. hosts
// is the number of hosts.
func (r *Requester) TakeAllowance(now time.Time, ask Ask, hosts int) bool {
	// What this host admitted before it started again is in the window until then, and other
	// hosts may not count it as a host yet.
	if !r.bounds.HasTolerance() || hosts == 0 || now.Sub(r.started) < max(r.windowLength(), joinPeriod) {
		return false
	}
	d, ok := r.workspaces[ask.Workspace]
	if !ok {
		return false
	}
	if d.startShare != nil && now.Sub(d.startShare.filledAt) < r.windowLength() { // it has taken a part of the same tolerance
		return false
	}
	if d.allowance == nil {
		d.allowance = NewAllowance(r.bounds.Window)
	}
	return d.allowance.Take(now, ask.Units, r.bounds.excess(ask.Limit)/float64(hosts))
}

// windowLength returns the time after which what was admitted before has left the window. A
// windowSum includes up to one slot more than the window.
func (r *Requester) windowLength() time.Duration {
	return r.bounds.Window * (slotCount + 1) / slotCount
}

// Return keeps units that were not used, unless they are older than returnPeriod: such units would
// be admitted beside all that homes grant in the present window. It reports whether the units should
// be returned to the home that granted them at grantedAt instead.
func (r *Requester) Return(now, grantedAt time.Time, workspace string, units float64) (toHome bool) {
	if now.Sub(grantedAt) >= returnPeriod {
		return false
	}
	d, ok := r.workspaces[workspace]
	return !ok || !d.lease.giveBack(now, units)
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
	for home, startingAt := range r.startingAt {
		if now.Sub(startingAt) >= 2*homeRetryPeriod {
			delete(r.startingAt, home)
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

// startShare is a host's part of the rate of a workspace while the homes do not grant yet. The level
// starts lower by a random part of a request and may become negative by one request: a part that is
// less than a request is then a request for some of the hosts.
type startShare struct {
	level    float64
	filledAt time.Time
}

func (s *startShare) take(now time.Time, units, rate, tolerated float64) bool {
	s.level = min(s.level+rate*now.Sub(s.filledAt).Seconds(), max(tolerated, rate*minBurst))
	s.filledAt = now
	if s.level <= 0 {
		return false
	}
	s.level -= units
	return true
}
