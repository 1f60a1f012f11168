package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// retention keeps dead hosts, so that they are tried again and their old
	// statements are not taken for news.
	retention = 2 * time.Hour
	// suspicionShare is the least part of the timeout that a suspect has to
	// refute.
	suspicionShare = 2
	// suspicionStep is the part of the timeout that each doubling of the fleet
	// adds, since a refutation then takes one more hop.
	suspicionStep = 10
	// lastCallPeriods is the time, in periods, that a suspect has to answer the
	// last call.
	lastCallPeriods = 2
	// pauseFactor tells a pause of this daemon from a late timer.
	pauseFactor = 2
)

const (
	lastCallNone lastCall = iota
	lastCallDue
	lastCallMade
)

type (
	// Table is the view of one daemon. It is not safe for concurrent use.
	Table struct {
		self    State
		timeout time.Duration
		entries map[string]*entry
		byID    map[ID]*entry
		ticked  time.Time
		version uint64
	}

	entry struct {
		state     State
		deadline  time.Time // of a suspect's refutation
		changedAt time.Time
		transmits int // heartbeats that have carried the statement
		lastCall  lastCall
	}

	// lastCall is how far a suspect whose time has run out has been asked once
	// more by this daemon itself.
	lastCall uint8
)

// NewTable returns a table that holds self only. timeout is the time in which
// the death of a host is noticed in a small fleet.
func NewTable(self Host, timeout time.Duration) *Table {
	return &Table{
		self: State{Host: self}, timeout: timeout, entries: map[string]*entry{}, byID: map[ID]*entry{}, version: 1,
	}
}

// Version changes whenever Live would return other hosts, or one of them
// starts to drain.
func (t *Table) Version() uint64 {
	return t.version
}

// Self returns the state that this daemon announces.
func (t *Table) Self(now time.Time) State {
	s := t.self
	s.LastSeen = now
	return s
}

// SetSelf updates what this daemon announces.
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

// Observe merges a statement about a host. Statements about an older life, or
// older ones about the same life, change nothing but the revision.
func (t *Table) Observe(now time.Time, s State) {
	if s.Host.Name == t.self.Host.Name {
		t.refute(s)
		return
	}
	held, ok := t.entries[s.Host.Name]
	switch {
	case !ok && !s.IsLive():
		return // nothing is lost by not knowing it
	case !ok || s.Host.Incarnation > held.state.Host.Incarnation:
		t.adopt(now, s)
	case s.Host.Incarnation == held.state.Host.Incarnation:
		t.update(now, held, s)
	}
}

// ObserveDirectly merges the statement of a host about itself, got from it directly.
func (t *Table) ObserveDirectly(now time.Time, s State) {
	t.Observe(now, s)
	held, ok := t.entries[s.Host.Name]
	if ok && held.state.Host.Incarnation == s.Host.Incarnation {
		held.state.LastSeen = now
	}
}

// Suspect records that a host answered neither this daemon nor others on its
// behalf.
func (t *Table) Suspect(now time.Time, name string, incarnation uint64) {
	held, ok := t.entries[name]
	if !ok || held.state.Host.Incarnation != incarnation || held.state.Status != StatusAlive {
		return
	}
	suspect := held.state
	suspect.Status = StatusSuspect
	t.update(now, held, suspect)
}

// Tick lets suspicions run out. It is called once each period. A daemon that
// was paused itself gives all suspects the time of its pause.
func (t *Table) Tick(now time.Time, period time.Duration) {
	pause := t.pause(now, period)
	t.ticked = now
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
// on its way through other hosts, so the suspect is asked once more first.
func (t *Table) expire(now time.Time, e *entry, period time.Duration) {
	if e.lastCall == lastCallNone {
		e.lastCall = lastCallDue
		e.deadline = now.Add(lastCallPeriods * period)
		return
	}
	t.change(now, e, StatusDead)
}

// FinalProbes returns the suspects to ask once more, each once.
func (t *Table) FinalProbes() []Host {
	var hosts []Host
	for _, e := range t.entries {
		if e.state.Status == StatusSuspect && e.lastCall == lastCallDue {
			e.lastCall = lastCallMade
			hosts = append(hosts, e.state.Host)
		}
	}
	return hosts
}

// WasPaused reports whether this daemon itself has stood still since the last
// tick, so that unanswered probes prove nothing.
func (t *Table) WasPaused(now time.Time, period time.Duration) bool {
	return t.pause(now, period) > 0
}

// Live returns the hosts that are alive, this one included, sorted by name.
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

// IsAlive reports whether this life of the host is alive.
func (t *Table) IsAlive(_ time.Time, name string, incarnation uint64) bool {
	if name == t.self.Host.Name {
		return incarnation == t.self.Host.Incarnation
	}
	e, ok := t.entries[name]
	return ok && e.state.Host.Incarnation == incarnation && e.state.IsLive()
}

// Majority reports whether at least half of the known hosts are alive, this
// one included. Hosts that drained or left before they fell silent do not
// count. A daemon without a majority may be cut off, or may just have been
// paused.
func (t *Table) Majority(time.Time) bool {
	live, known := 1, 1
	for _, e := range t.entries {
		if e.state.IsLive() {
			live++
			known++
		} else if e.state.Status == StatusDead && !e.state.Draining {
			known++
		}
	}
	return live*2 >= known
}

// Lookup returns what is known of a host, alive or not.
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

// SuspicionTimeout returns how long a suspect has to refute. It grows with the
// logarithm of the fleet.
func (t *Table) SuspicionTimeout() time.Duration {
	hops := bits.Len(uint(len(t.entries) + 1))
	return max(t.timeout/suspicionShare, time.Duration(hops)*t.timeout/suspicionStep)
}

func (t *Table) adopt(now time.Time, s State) {
	if held, ok := t.entries[s.Host.Name]; ok {
		delete(t.byID, held.state.Host.ID())
	}
	e := &entry{state: s, changedAt: now, deadline: now.Add(t.SuspicionTimeout())}
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
	t.change(now, held, s.Status)
}

func (t *Table) change(now time.Time, e *entry, status Status) {
	before := e.state.IsLive()
	e.state.Status = status
	e.changedAt = now
	e.transmits = 0
	e.lastCall = lastCallNone
	if status == StatusSuspect {
		e.deadline = now.Add(t.SuspicionTimeout())
	}
	if e.state.IsLive() != before {
		t.version++
	}
}

// refute answers a statement that this daemon is not alive, or one of this
// life that it does not remember.
func (t *Table) refute(s State) {
	if s.Host.Incarnation != t.self.Host.Incarnation || !s.supersedes(t.self) {
		return
	}
	t.self.Sequence = s.Sequence + 1
}

func (t *Table) pause(now time.Time, period time.Duration) time.Duration {
	if t.ticked.IsZero() {
		return 0
	}
	gap := now.Sub(t.ticked)
	if gap < pauseFactor*period {
		return 0
	}
	return gap
}
