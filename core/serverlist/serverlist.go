// Package serverlist holds the backend servers that a host knows from the platform's
// store.
//
// A registration is a server's record in the store. The server renews its
// registration, and the store removes one that is not renewed. Servers cannot renew
// while the store is down, so a registration that goes missing during or shortly
// after an outage does not prove that its server has stopped.
//
// The store may also be replaced by a copy of itself that is some seconds old. Revisions go
// back then and are given out again; the era of the store tells them apart.
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

// removalRetention is how long a removed registration is remembered, so that an older copy
// of the store does not bring it back. Copies are some seconds old.
const removalRetention = time.Minute

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

	// Position is a point in the history of the store. Positions of different eras are in
	// the order of the eras.
	Position struct {
		// Era rises each time the store is replaced by a copy of itself. It is 0 if the
		// store states none.
		Era      uint64
		Revision uint64
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
		// removed are the registrations that were removed lately, by ID.
		removed map[string]removal
		// position is the newest position of the store up to which the list is complete.
		position Position
		// eraBegan is when the store was last replaced by a copy of itself, as far as this
		// host has noticed, or zero.
		eraBegan    time.Time
		isStoreDown bool
		restoredAt  time.Time
		version     uint64
		hadOutage   bool
	}

	removal struct {
		server Server
		at     time.Time
	}

	entry struct {
		server   Server
		revision uint64
		// missingSince is when the registration went missing during or shortly
		// after an outage. It is zero if the registration is not missing.
		missingSince time.Time
	}
)

// HasRestarted reports whether the server has started again since the incarnation that
// started at the given time. It reports false if one of the times is not registered.
func (s Server) HasRestarted(since time.Time) bool {
	return !s.StartedAt.IsZero() && !since.IsZero() && !s.StartedAt.Equal(since)
}

// NewList returns an empty list.
func NewList() *List {
	return &List{servers: make(map[string]entry), removed: make(map[string]removal)}
}

// Version returns a number that changes with each change of the servers.
func (l *List) Version() uint64 {
	return l.version
}

// Position returns the newest position of the store up to which the list is complete.
func (l *List) Position() Position {
	return l.position
}

// IsBefore reports whether a position is before another one.
func (p Position) IsBefore(other Position) bool {
	return p.Era < other.Era || p.Era == other.Era && p.Revision < other.Revision
}

// BeginEra records at now that the store is in the given era. It reports whether the store
// has been replaced by a copy of itself since. The list is incomplete then until Replace or
// Adopt: the copy may lack registrations, which their servers write again, as after an
// outage, and it may have such that have been removed.
func (l *List) BeginEra(now time.Time, era uint64) bool {
	isReplaced := l.position.Era != 0 && era > l.position.Era
	if era > l.position.Era {
		l.position.Era = era
	}
	if !isReplaced {
		return false
	}
	l.position.Revision = 0
	for id, e := range l.servers {
		e.revision = 0
		l.servers[id] = e
	}
	l.hadOutage, l.restoredAt, l.eraBegan = true, now, now
	return true
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
	l.position.Revision = max(l.position.Revision, revision)
	l.removeMissing(now)
}

// Replace replaces the list with the store's complete list as of revision. Servers
// that are not in it count as removed. A list older than the current one is ignored.
func (l *List) Replace(now time.Time, servers []Change, revision uint64) {
	if revision < l.position.Revision {
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
	l.position.Revision = max(l.position.Revision, revision)
	l.removeMissing(now)
}

// NextExpiry returns when Expire removes registrations that are missing. It returns false if none
// is missing, or if that time isn't known, since the store is down.
func (l *List) NextExpiry() (time.Time, bool) {
	if l.isStoreDown {
		return time.Time{}, false
	}
	for _, e := range l.servers {
		if !e.missingSince.IsZero() {
			return l.restoredAt.Add(ReregistrationPeriod), true
		}
	}
	return time.Time{}, false
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
	if !isHeld && l.wasRemoved(now, *c.Server) {
		return
	}
	next := entry{server: *c.Server, revision: c.Revision}
	held.carryOver(&next.server)
	if !isHeld || held.server != next.server {
		l.version++
	}
	l.servers[c.ID] = next
}

// carryOver keeps in next what e, an older view of the same registration, has. A
// registration that drains never takes work again, unless the server has started again. The
// time of its start is missing in lists from hosts of older versions.
func (e entry) carryOver(next *Server) {
	if e.server.CreateRevision != next.CreateRevision || next.HasRestarted(e.server.StartedAt) {
		return
	}
	if next.StartedAt.IsZero() {
		next.StartedAt = e.server.StartedAt
	}
	if e.server.IsDraining {
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
	l.delete(now, c.ID)
}

// delete deletes a registration and remembers it.
func (l *List) delete(now time.Time, id string) {
	for removedID, r := range l.removed {
		if now.Sub(r.at) > removalRetention {
			delete(l.removed, removedID)
		}
	}
	l.removed[id] = removal{l.servers[id].server, now}
	delete(l.servers, id)
	l.version++
}

// wasRemoved reports whether a registration was removed before the store was replaced by
// a copy that still has it. A server that registers again has another CreateRevision.
func (l *List) wasRemoved(now time.Time, s Server) bool {
	r, ok := l.removed[s.ID]
	return ok && r.at.Before(l.eraBegan) && now.Sub(l.eraBegan) <= removalRetention &&
		r.server.CreateRevision == s.CreateRevision && !s.HasRestarted(r.server.StartedAt)
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
			l.delete(now, id)
		}
	}
}

// Adopt replaces the list with the list of another host as of position, unless the
// own list is as new. The other host has decided which registrations still count, so
// servers that are not in its list are removed at once.
func (l *List) Adopt(now time.Time, servers []Server, position Position) {
	if !l.position.IsBefore(position) {
		return
	}
	l.BeginEra(now, position.Era)
	next := make(map[string]entry, len(servers))
	for _, s := range servers {
		held, isHeld := l.servers[s.ID]
		if !isHeld && l.wasRemoved(now, s) {
			continue
		}
		held.carryOver(&s)
		if !isHeld || held.server != s {
			l.version++
		}
		next[s.ID] = entry{server: s, revision: position.Revision}
	}
	for id := range l.servers {
		if _, isKept := next[id]; !isKept {
			l.delete(now, id)
		}
	}
	l.servers, l.position.Revision = next, position.Revision
}
