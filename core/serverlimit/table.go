// Package serverlimit keeps hosts to the limits that backend servers state. A server in need
// states in its responses how many requests a second it takes from all hosts together, until
// a response states none. The command hickoryd edge uses it, for the backend servers of the
// users' platform.
//
// A host that has heard of a limit sends a request to the server only with a permit. A few
// hosts, the server's homes, issue these at the rate of the limit. A host that reaches none
// of them sends the server nothing.
package serverlimit

import (
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

// retention is how long the limit of a server is remembered after the server has vanished
// from the list. In an outage of the store its registration may lapse and come back.
const retention = 2 * time.Minute

// Results of Table.Update.
const (
	// Unchanged means that the limit is the same as before.
	Unchanged Change = iota
	// Began means that the server had no limit before.
	Began
	// RateChanged means that the server had another limit before.
	RateChanged
	// Ended means that the server has no limit any more.
	Ended
)

type (
	// Change is how a statement has changed the limit of a server.
	Change int

	// Statement is what an incarnation of a server has stated about its limit.
	Statement struct {
		Server string
		// ServerStarted is when the incarnation started, or zero if that is not registered.
		ServerStarted time.Time
		// IsLimited is set if the server has a limit, which is Rate requests a second from
		// all hosts together.
		IsLimited bool
		Rate      float64
		// At is when the response with the limit arrived. For a response without one it is
		// when its request was sent, as the response may have overtaken a newer one.
		At time.Time
		// Since is when the server first stated its present limit, or an earlier one without
		// a response that states none in between. For a statement that a host has just
		// received it is At. It is zero without a limit.
		Since time.Time
	}

	// Table holds the newest statement of each server that has had a limit. It is not safe
	// for concurrent use.
	Table struct {
		servers map[string]Statement
	}
)

// NewTable returns a table in which no server has a limit.
func NewTable() *Table {
	return &Table{servers: make(map[string]Statement)}
}

// Update records a statement. It returns Unchanged if the table has a newer one.
func (t *Table) Update(s Statement) Change {
	current, ok := t.servers[s.Server]
	if ok && s.isOtherIncarnation(current) {
		if s.ServerStarted.Before(current.ServerStarted) {
			return Unchanged
		}
		current, ok = Statement{}, false
	}
	if ok && s.At.Before(current.At) {
		return Unchanged
	}
	if !s.IsLimited {
		return t.end(s, current)
	}
	if current.IsLimited && current.Since.Before(s.Since) {
		s.Since = current.Since
	}
	if s.ServerStarted.IsZero() {
		s.ServerStarted = current.ServerStarted
	}
	t.servers[s.Server] = s
	switch {
	case !current.IsLimited:
		return Began
	case current.Rate != s.Rate:
		return RateChanged
	default:
		return Unchanged
	}
}

// end records a statement without a limit. It is kept only where there was a limit, so that
// an older statement does not bring that back.
func (t *Table) end(s, current Statement) Change {
	if current.At.IsZero() {
		delete(t.servers, s.Server) // the limit was that of an earlier incarnation
		return Unchanged
	}
	t.servers[s.Server] = s
	if current.IsLimited {
		return Ended
	}
	return Unchanged
}

// isOtherIncarnation reports whether both statements are known to be of different
// incarnations of a server.
func (s Statement) isOtherIncarnation(other Statement) bool {
	return !s.ServerStarted.IsZero() && !other.ServerStarted.IsZero() && !s.ServerStarted.Equal(other.ServerStarted)
}

// Newest returns the newest statement of a server. It returns false if the server has had
// no limit.
func (t *Table) Newest(server string) (Statement, bool) {
	s, ok := t.servers[server]
	return s, ok
}

// Limit returns the newest statement of a server. It returns false if the server has no
// limit.
func (t *Table) Limit(server string) (Statement, bool) {
	s, ok := t.servers[server]
	return s, ok && s.IsLimited
}

// Retain removes at now the statements of servers that have started again since, and of
// those that are not among servers any more.
func (t *Table) Retain(now time.Time, servers []serverlist.Server) {
	listed := make(map[string]serverlist.Server, len(servers))
	for _, s := range servers {
		listed[s.ID] = s
	}
	for id, statement := range t.servers {
		server, isListed := listed[id]
		if isListed && server.HasRestarted(statement.ServerStarted) || !isListed && now.Sub(statement.At) > retention {
			delete(t.servers, id)
		}
	}
}
