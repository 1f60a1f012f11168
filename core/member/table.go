package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// retention is how long dead hosts are kept, so that they are probed again
	// and old updates about them are not taken for new ones.
	retention = 2 * time.Hour
	// minSuspicionDivisor sets the minimum time that a suspect has to refute: the
	// timeout divided by it.
	minSuspicionDivisor = 2
	// hopSuspicionDivisor sets the time that each doubling of the number of known
	// hosts adds, since a refutation then takes one more hop: the timeout divided
	// by it.
	hopSuspicionDivisor = 10
	// finalProbePeriods is the time, in heartbeat periods, that a suspect has to
	// respond to the final probe.
	finalProbePeriods = 2
	// pauseFactor distinguishes a pause of this daemon from a late timer: a gap
	// of that many heartbeat periods between ticks is a pause.
	pauseFactor = 2
)

const (
	finalProbeNone finalProbe = iota
	finalProbeDue
	finalProbeSent
)

type (
	// Table is the membership view of one daemon. It is not safe for concurrent
	// use.
	Table struct {
		self     State
		timeout  time.Duration
		entries  map[string]*entry
		byID     map[ID]*entry
		lastTick time.Time
		version  uint64
	}

	entry struct {
		state     State
		deadline  time.Time // time until which a suspect can refute
		changedAt time.Time
		// silentSince is when the host did not respond for the first time since it was last
		// known to be alive, or zero.
		silentSince time.Time
		transmits   int // heartbeats that have carried the update
		finalProbe  finalProbe
	}

	// finalProbe is the progress of the final probe, which this daemon itself
	// sends to a suspect whose time has run out.
	finalProbe uint8
)

// NewTable returns a table that holds only self. With few hosts, timeout is the
// time within which the failure of a host is noticed.
func NewTable(self Host, timeout time.Duration) *Table {
	return &Table{
		self: State{Host: self}, timeout: timeout, entries: map[string]*entry{}, byID: map[ID]*entry{}, version: 1,
	}
}

// Version changes whenever Live would return other hosts, or one of them starts
// to drain.
func (t *Table) Version() uint64 {
	return t.version
}

// Self returns the state that this daemon announces.
func (t *Table) Self(now time.Time) State {
	s := t.self
	s.LastSeen = now
	return s
}

// SetSelf updates the state that this daemon announces.
func (t *Table) SetSelf(revision uint64, draining bool) {
	t.self.ConfigRevision = revision
	if t.self.Draining != draining {
		t.self.Draining = draining
		t.self.Sequence++
		t.version++
	}
}

// Leave announces that this daemon stops.
func (t *Table) Leave() {
	t.self.Status = StatusLeft
	t.self.Sequence++
}

// Observe merges an update about a host. An update about an older incarnation
// changes nothing. An older one about the same incarnation changes at most the
// configuration revision.
func (t *Table) Observe(now time.Time, s State) {
	if s.Host.Name == t.self.Host.Name {
		t.refute(s)
		return
	}
	held, ok := t.entries[s.Host.Name]
	switch {
	case !ok && !s.IsLive():
		return // a host that is not alive need not be known
	case !ok || s.Host.Incarnation > held.state.Host.Incarnation:
		t.insert(now, s)
	case s.Host.Incarnation == held.state.Host.Incarnation:
		t.update(now, held, s)
	}
}

// ObserveDirectly merges the update of a host about itself, received from that
// host directly.
func (t *Table) ObserveDirectly(now time.Time, s State) {
	t.Observe(now, s)
	held, ok := t.entries[s.Host.Name]
	if ok && held.state.Host.Incarnation == s.Host.Incarnation {
		held.state.LastSeen = now
	}
}

// Suspect records that a host responded neither to this daemon nor to others that
// probed it on behalf of this daemon.
func (t *Table) Suspect(now time.Time, name string, incarnation uint64) {
	held, ok := t.entries[name]
	if !ok || held.state.Host.Incarnation != incarnation || held.state.Status != StatusAlive {
		return
	}
	suspect := held.state
	suspect.Status = StatusSuspect
	t.update(now, held, suspect)
}

// Tick ends the suspicions whose time has run out, and removes the hosts that have
// not been live for the retention period. The caller calls it once each heartbeat
// period. After a pause of this daemon, all suspects get the length of
// the pause as additional time.
func (t *Table) Tick(now time.Time, period time.Duration) {
	pause := t.pauseLength(now, period)
	t.lastTick = now
	for name, e := range t.entries {
		e.deadline = e.deadline.Add(pause)
		if e.state.Status == StatusSuspect && !now.Before(e.deadline) {
			t.expire(now, e, period)
		}
		if !e.state.IsLive() && now.Sub(e.changedAt) > retention {
			delete(t.entries, name)
			delete(t.byID, e.state.Host.ID())
		}
	}
}

// expire ends a suspicion that was not refuted. A refutation may have been lost
// on its way through other hosts, so the suspect first gets a final probe.
func (t *Table) expire(now time.Time, e *entry, period time.Duration) {
	if e.finalProbe == finalProbeNone {
		e.finalProbe = finalProbeDue
		e.deadline = now.Add(finalProbePeriods * period)
		return
	}
	t.setStatus(now, e, StatusDead)
}

// FinalProbes returns the suspects that are due for a final probe, each of them
// once.
func (t *Table) FinalProbes() []Host {
	var hosts []Host
	for _, e := range t.entries {
		if e.state.Status == StatusSuspect && e.finalProbe == finalProbeDue {
			e.finalProbe = finalProbeSent
			hosts = append(hosts, e.state.Host)
		}
	}
	return hosts
}

// WasPaused reports whether this daemon itself was paused since the last tick.
// Probes without a response prove nothing then.
func (t *Table) WasPaused(now time.Time, period time.Duration) bool {
	return t.pauseLength(now, period) > 0
}

// Live returns the hosts that are alive, including this one, sorted by name.
func (t *Table) Live(now time.Time) []State {
	live := make([]State, 0, len(t.entries)+1)
	live = append(live, t.Self(now))
	for _, e := range t.entries {
		if e.state.IsLive() {
			live = append(live, e.state)
		}
	}
	slices.SortFunc(live, func(a, b State) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return live
}

// IsAlive reports whether this incarnation of the host is alive.
func (t *Table) IsAlive(_ time.Time, name string, incarnation uint64) bool {
	if name == t.self.Host.Name {
		return incarnation == t.self.Host.Incarnation
	}
	e, ok := t.entries[name]
	return ok && e.state.Host.Incarnation == incarnation && e.state.IsLive()
}

// HasFailed reports whether this incarnation of a host may be taken for failed: it is not
// alive, and this daemon has heard from a majority of the known hosts since the host fell
// silent. A daemon that hears no majority may be cut off itself, and its own silence explains
// all that it observes.
func (t *Table) HasFailed(now time.Time, name string, incarnation uint64) bool {
	if t.IsAlive(now, name, incarnation) {
		return false
	}
	e, ok := t.entries[name]
	if !ok {
		return false
	}
	if e.state.Host.Incarnation != incarnation {
		return e.state.Host.Incarnation > incarnation
	}
	return t.HasMajority(e.silentSince)
}

// HasMajority reports whether this daemon has heard directly, since the given time, from so
// many hosts that they are a majority of the known ones together with this daemon. Exactly
// half is a majority on the side of the host with the lowest name, so that of two halves of a
// fleet only one has it. Hosts that drained or left before they stopped responding do not
// count.
//
// In a large fleet a daemon exchanges heartbeats with some of the hosts only. Those of its own
// failure domain and those of the others are then taken for samples of all hosts there.
func (t *Table) HasMajority(since time.Time) bool {
	var local, remote []Host
	lowest := t.self.Host.Name
	for _, e := range t.entries {
		if !e.state.IsLive() && (e.state.Status != StatusDead || e.state.Draining) {
			continue
		}
		lowest = min(lowest, e.state.Host.Name)
		if e.state.Host.FailureDomain == t.self.Host.FailureDomain {
			local = append(local, e.state.Host)
		} else {
			remote = append(remote, e.state.Host)
		}
	}
	known := float64(1 + len(local) + len(remote))
	localSample, remoteSample := t.sample(MaxPartners, local, remote)
	heard := 1 + t.heardOf(localSample, len(local), since) + t.heardOf(remoteSample, len(remote), since)
	if heard*2 == known {
		return lowest == t.self.Host.Name || t.hasHeard(lowest, since)
	}
	return heard*2 > known
}

// heardOf returns how many of total hosts this daemon hears, of which it exchanges heartbeats
// with those of sample.
func (t *Table) heardOf(sample []Host, total int, since time.Time) float64 {
	heard := 0
	for _, h := range sample {
		if t.hasHeard(h.Name, since) {
			heard++
		}
	}
	return float64(total*heard) / float64(max(len(sample), 1))
}

func (t *Table) hasHeard(name string, since time.Time) bool {
	e, ok := t.entries[name]
	return ok && e.state.LastSeen.After(since)
}

// Lookup returns the known state of a host, alive or not.
func (t *Table) Lookup(name string) (State, bool) {
	if name == t.self.Host.Name {
		return t.self, true
	}
	e, ok := t.entries[name]
	if !ok {
		return State{}, false
	}
	return e.state, true
}

// SuspicionTimeout returns how long a suspect has to refute. The time grows with
// the logarithm of the number of known hosts.
func (t *Table) SuspicionTimeout() time.Duration {
	hops := bits.Len(uint(len(t.entries) + 1))
	return max(t.timeout/minSuspicionDivisor, time.Duration(hops)*t.timeout/hopSuspicionDivisor)
}

func (t *Table) insert(now time.Time, s State) {
	if held, ok := t.entries[s.Host.Name]; ok {
		delete(t.byID, held.state.Host.ID())
	}
	e := &entry{state: s, changedAt: now, deadline: now.Add(t.SuspicionTimeout())}
	if s.Status != StatusAlive {
		e.silentSince = now
	}
	t.entries[s.Host.Name] = e
	t.byID[s.Host.ID()] = e
	t.version++
}

func (t *Table) update(now time.Time, held *entry, s State) {
	held.state.ConfigRevision = max(held.state.ConfigRevision, s.ConfigRevision)
	if !s.supersedes(held.state) {
		return
	}
	if held.state.Draining != s.Draining {
		held.state.Draining = s.Draining
		t.version++
	}
	held.state.Sequence = s.Sequence
	held.transmits = 0
	t.setStatus(now, held, s.Status)
}

func (t *Table) setStatus(now time.Time, e *entry, status Status) {
	wasLive := e.state.IsLive()
	e.state.Status = status
	e.changedAt = now
	e.transmits = 0
	e.finalProbe = finalProbeNone
	switch {
	case status == StatusAlive:
		e.silentSince = time.Time{}
	case e.silentSince.IsZero():
		e.silentSince = now
	}
	if status == StatusSuspect {
		e.deadline = now.Add(t.SuspicionTimeout())
	}
	if e.state.IsLive() != wasLive {
		t.version++
	}
}

// refute raises the sequence of this daemon above that of an update which reports
// that the daemon is not alive, or which carries a sequence of this incarnation
// that the daemon does not remember.
func (t *Table) refute(s State) {
	if s.Host.Incarnation != t.self.Host.Incarnation || !s.supersedes(t.self) {
		return
	}
	t.self.Sequence = s.Sequence + 1
}

// pauseLength returns how long this daemon was paused since the last tick, or 0
// when it was not.
func (t *Table) pauseLength(now time.Time, period time.Duration) time.Duration {
	if t.lastTick.IsZero() {
		return 0
	}
	gap := now.Sub(t.lastTick)
	if gap < pauseFactor*period {
		return 0
	}
	return gap
}
