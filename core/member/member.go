// Package member keeps one daemon's view of the other daemons: who is alive,
// in which life, at which configuration revision, and who drains.
package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

type (
	// Host is one life of one daemon.
	Host struct {
		Name            string
		Incarnation     uint64
		FailureDomain   string
		PeerAddress     netip.AddrPort
		OperatorAddress netip.AddrPort
	}

	// State is what is known of a host.
	State struct {
		Host           Host
		ConfigRevision uint64
		Draining       bool
		LastSeen       time.Time
	}

	// Table is the view of one daemon. It is not safe for concurrent use.
	Table struct {
		self    State
		timeout time.Duration
		states  map[string]State
	}
)

// NewTable returns a table that holds self only. A host counts as dead when
// nothing was heard of it for timeout.
func NewTable(self Host, timeout time.Duration) *Table {
	return &Table{self: State{Host: self}, timeout: timeout, states: map[string]State{}}
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
	t.self.Draining = draining
}

// Observe merges evidence about a host. Evidence of an older life, or older
// evidence of the same life, changes nothing.
func (t *Table) Observe(s State) {
	if s.Host.Name == t.self.Host.Name {
		return
	}
	held, ok := t.states[s.Host.Name]
	if ok && s.Host.Incarnation < held.Host.Incarnation {
		return
	}
	if ok && s.Host.Incarnation == held.Host.Incarnation {
		s.ConfigRevision = max(s.ConfigRevision, held.ConfigRevision)
		s.Draining = s.Draining || held.Draining
		if s.LastSeen.Before(held.LastSeen) {
			s.LastSeen = held.LastSeen
		}
	}
	t.states[s.Host.Name] = s
}

// Remove drops a host that has said that it stops.
func (t *Table) Remove(name string, incarnation uint64) {
	if s, ok := t.states[name]; ok && s.Host.Incarnation == incarnation {
		delete(t.states, name)
	}
}

// Live returns the hosts that are alive, this one included, sorted by name.
func (t *Table) Live(now time.Time) []State {
	live := []State{t.Self(now)}
	for _, s := range t.states {
		if now.Sub(s.LastSeen) <= t.timeout {
			live = append(live, s)
		}
	}
	slices.SortFunc(live, func(a, b State) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return live
}

// IsAlive reports whether this life of the host is alive.
func (t *Table) IsAlive(now time.Time, name string, incarnation uint64) bool {
	if name == t.self.Host.Name {
		return incarnation == t.self.Host.Incarnation
	}
	s, ok := t.states[name]
	return ok && s.Host.Incarnation == incarnation && now.Sub(s.LastSeen) <= t.timeout
}

// Majority reports whether at least half of the known hosts are alive, this
// one included. Hosts that drained before they fell silent do not count. A
// daemon without a majority may be cut off, or may just have been paused.
func (t *Table) Majority(now time.Time) bool {
	live, known := 1, 1
	for _, s := range t.states {
		alive := now.Sub(s.LastSeen) <= t.timeout
		if alive {
			live++
		}
		if alive || !s.Draining {
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
	s, ok := t.states[name]
	return s, ok
}

// Forget drops hosts that have been dead for longer than retention.
func (t *Table) Forget(now time.Time, retention time.Duration) {
	for name, s := range t.states {
		if now.Sub(s.LastSeen) > t.timeout+retention {
			delete(t.states, name)
		}
	}
}
