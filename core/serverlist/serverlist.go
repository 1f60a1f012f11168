// Package serverlist holds what a host believes about the backend servers: which
// exist, and whether a registration that vanished still counts.
package serverlist

import (
	"net/netip"
	"time"
)

// Stages of a model server.
const (
	// NoStage is the stage of a plain server.
	NoStage Stage = ""
	// Prefill servers read prompts.
	Prefill Stage = "prefill"
	// Decode servers generate tokens.
	Decode Stage = "decode"
)

// ReregistrationPeriod is the time after an outage of the store in which registrations
// that lapsed meanwhile may come back; the platform states about two seconds.
const ReregistrationPeriod = 2500 * time.Millisecond

type (
	// Stage is the part of a model server.
	Stage string

	// Server is the registration of a backend server.
	Server struct {
		// ID names one incarnation of the server.
		ID      string
		Service string
		Address netip.AddrPort
		// FailureDomain is the domain that the server runs in.
		FailureDomain string
		Stage         Stage
		// Slots is the number of requests that it runs at once.
		Slots int
		// IsDraining is set where the server takes no new work.
		IsDraining bool
		// CreateRevision is the revision at which the registration first appeared.
		CreateRevision uint64
	}

	// Change is one change of the list. A nil Server means that the registration
	// was removed.
	Change struct {
		ID       string
		Server   *Server
		Revision uint64
	}

	// List is the list of registrations. It is not safe for concurrent use.
	List struct {
		servers map[string]entry
		// revision is the newest revision that is known in full.
		revision  uint64
		isDown    bool
		restored  time.Time
		version   uint64
		hasOutage bool
	}

	entry struct {
		server   Server
		revision uint64
		// vanished is when a registration was removed while that proved nothing.
		vanished time.Time
	}
)

// NewList returns an empty list.
func NewList() *List {
	return &List{servers: make(map[string]entry)}
}

// Version changes with each change of the servers.
func (l *List) Version() uint64 {
	return l.version
}

// Revision is the newest revision of the store that is known in full.
func (l *List) Revision() uint64 {
	return l.revision
}

// MarkStoreUnavailable notes that the store does not answer.
func (l *List) MarkStoreUnavailable() {
	l.isDown = true
}

// MarkStoreAvailable notes at now that the store answers.
func (l *List) MarkStoreAvailable(now time.Time) {
	if l.isDown {
		l.isDown = false
		l.hasOutage = true
		l.restored = now
	}
}

// Apply takes in changes up to a revision.
func (l *List) Apply(now time.Time, changes []Change, revision uint64) {
	for _, c := range changes {
		l.apply(now, c)
	}
	l.revision = max(l.revision, revision)
	l.expire(now)
}

// Replace takes in the whole list as of a revision. What is missing counts as
// removed.
func (l *List) Replace(now time.Time, servers []Change, revision uint64) {
	if revision < l.revision {
		return
	}
	present := make(map[string]bool, len(servers))
	for _, c := range servers {
		present[c.ID] = true
		l.apply(now, c)
	}
	for id := range l.servers {
		if !present[id] {
			l.apply(now, Change{ID: id, Revision: revision})
		}
	}
	l.revision = max(l.revision, revision)
	l.expire(now)
}

// Expire drops registrations that have not come back in time.
func (l *List) Expire(now time.Time) {
	l.expire(now)
}

// Servers returns all servers that are registered.
func (l *List) Servers() []Server {
	servers := make([]Server, 0, len(l.servers))
	for _, e := range l.servers {
		servers = append(servers, e.server)
	}
	return servers
}

func (l *List) apply(now time.Time, c Change) {
	held, isHeld := l.servers[c.ID]
	if isHeld && c.Revision < held.revision {
		return
	}
	if c.Server == nil {
		l.remove(now, c, held, isHeld)
		return
	}
	next := entry{server: *c.Server, revision: c.Revision}
	held.keepDrain(&next.server)
	if !isHeld || held.server != next.server {
		l.version++
	}
	l.servers[c.ID] = next
}

// keepDrain marks a newer view of the same registration as draining where the one
// held, if any, is: a drain is final.
func (e entry) keepDrain(next *Server) {
	if e.server.IsDraining && e.server.CreateRevision == next.CreateRevision {
		next.IsDraining = true
	}
}

func (l *List) remove(now time.Time, c Change, held entry, isHeld bool) {
	if !isHeld {
		return
	}
	if l.isUncertain(now) {
		if held.vanished.IsZero() {
			held.vanished = now
			l.servers[c.ID] = held
		}
		return
	}
	delete(l.servers, c.ID)
	l.version++
}

// isUncertain reports whether a registration that is missing at now may come
// back.
func (l *List) isUncertain(now time.Time) bool {
	return l.isDown || (l.hasOutage && now.Sub(l.restored) < ReregistrationPeriod)
}

// expire removes what vanished around an outage and has not come back.
func (l *List) expire(now time.Time) {
	if l.isUncertain(now) {
		return
	}
	for id, e := range l.servers {
		if !e.vanished.IsZero() {
			delete(l.servers, id)
			l.version++
		}
	}
}

// Adopt takes over the list of another host as of a revision. That host has
// judged which registrations still count.
func (l *List) Adopt(servers []Server, revision uint64) {
	if revision <= l.revision {
		return
	}
	next := make(map[string]entry, len(servers))
	for _, s := range servers {
		held, isHeld := l.servers[s.ID]
		held.keepDrain(&s)
		if !isHeld || held.server != s {
			l.version++
		}
		next[s.ID] = entry{server: s, revision: revision}
	}
	if len(next) != len(l.servers) {
		l.version++
	}
	l.servers, l.revision = next, revision
}
