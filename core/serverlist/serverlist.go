// Package serverlist holds the backend servers that a host knows from the platform's
// store.
//
// A registration is a server's record in the store. The server renews its
// registration, and the store removes one that is not renewed. Servers cannot renew
// while the store is down, so a registration that goes missing during or shortly
// after an outage does not prove that its server has stopped.
//
// The command hickoryd edge uses this package, for the users' platform. The servers of
// a platform with the Consul HTTP API, which hickoryd serve uses, are in core/backend.
package serverlist

import (
	"net/netip"
	"time"
)

// Stages of a model server.
const (
	// NoStage is the stage of a plain server.
	NoStage Stage = ""
	// Prefill servers compute the KV cache of prompts.
	Prefill Stage = "prefill"
	// Decode servers generate tokens.
	Decode Stage = "decode"
)

// ReregistrationPeriod is the time after an outage of the store in which servers
// whose registration lapsed during the outage may register again. The platform states
// about two seconds.
const ReregistrationPeriod = 2500 * time.Millisecond

type (
	// Stage is the phase of generation that a model server runs: prefill or decode.
	Stage string

	// Server is the registration of a backend server.
	Server struct {
		// ID names the server. A server that starts again may keep its ID.
		ID      string
		Service string
		Address netip.AddrPort
		// FailureDomain is the domain that the server runs in.
		FailureDomain string
		Stage         Stage
		// SoftwareVersion is the version of the server's software, or empty if it is
		// not registered. Versions have no order.
		SoftwareVersion string
		// StartedAt is when the server's incarnation started, or zero if that is not
		// registered.
		StartedAt time.Time
		// Slots is the number of requests that the server runs at once.
		Slots int
		// IsDraining is set if the server takes no new work.
		IsDraining bool
		// CreateRevision is the store's revision at which the registration was
		// created. With StartedAt it distinguishes two incarnations under the same ID.
		CreateRevision uint64
	}

	// Change is one change of a registration. A nil Server means that the
	// registration was removed.
	Change struct {
		ID       string
		Server   *Server
		Revision uint64
	}

	// List is the list of registrations. It is not safe for concurrent use.
	List struct {
		servers map[string]entry
		// revision is the newest revision of the store up to which the list is
		// complete.
		revision    uint64
		isStoreDown bool
		restoredAt  time.Time
		version     uint64
		hadOutage   bool
	}

	entry struct {
		server   Server
		revision uint64
		// missingSince is when the registration went missing during or shortly
		// after an outage. It is zero if the registration is not missing.
		missingSince time.Time
	}
)

// NewList returns an empty list.
func NewList() *List {
	return &List{servers: make(map[string]entry)}
}

// Version returns a number that changes with each change of the servers.
func (l *List) Version() uint64 {
	return l.version
}

// Revision returns the newest revision of the store up to which the list is complete.
func (l *List) Revision() uint64 {
	return l.revision
}

// MarkStoreUnavailable records that the store does not respond.
func (l *List) MarkStoreUnavailable() {
	l.isStoreDown = true
}

// MarkStoreAvailable records that the store responds at now.
func (l *List) MarkStoreAvailable(now time.Time) {
	if l.isStoreDown {
		l.isStoreDown = false
		l.hadOutage = true
		l.restoredAt = now
	}
}

// Apply applies changes that make the list complete up to revision.
func (l *List) Apply(now time.Time, changes []Change, revision uint64) {
	for _, c := range changes {
		l.apply(now, c)
	}
	l.revision = max(l.revision, revision)
	l.removeMissing(now)
}

// Replace replaces the list with the store's complete list as of revision. Servers
// that are not in it count as removed. A list older than the current one is ignored.
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
	l.removeMissing(now)
}

// Expire removes registrations that went missing around an outage and were not
// created again within ReregistrationPeriod.
func (l *List) Expire(now time.Time) {
	l.removeMissing(now)
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

// keepDrain marks next as draining if e, an older view of the same registration, is
// draining: a registration that drains never takes work again, unless the server has
// started again.
func (e entry) keepDrain(next *Server) {
	if e.server.IsDraining && e.server.CreateRevision == next.CreateRevision && e.server.StartedAt.Equal(next.StartedAt) {
		next.IsDraining = true
	}
}

func (l *List) remove(now time.Time, c Change, held entry, isHeld bool) {
	if !isHeld {
		return
	}
	if l.isRemovalUncertain(now) {
		if held.missingSince.IsZero() {
			held.missingSince = now
			l.servers[c.ID] = held
		}
		return
	}
	delete(l.servers, c.ID)
	l.version++
}

// isRemovalUncertain reports whether the server of a registration that is missing at
// now may register again.
func (l *List) isRemovalUncertain(now time.Time) bool {
	return l.isStoreDown || (l.hadOutage && now.Sub(l.restoredAt) < ReregistrationPeriod)
}

// removeMissing removes the registrations that went missing around an outage, unless
// their servers may still register again.
func (l *List) removeMissing(now time.Time) {
	if l.isRemovalUncertain(now) {
		return
	}
	for id, e := range l.servers {
		if !e.missingSince.IsZero() {
			delete(l.servers, id)
			l.version++
		}
	}
}

// Adopt replaces the list with the list of another host as of revision, unless the
// own list is as new. The other host has decided which registrations still count, so
// servers that are not in its list are removed at once.
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
