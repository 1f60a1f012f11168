// Package slot keeps the ledgers of the backend servers: the reserved memory
// slots of decode servers and the queued prefills of prefill servers.
//
// Each server has a home, the daemon that owns the server's ledger. A daemon
// that places a request reserves a slot at the home and is then the holder of
// the reservation. A slot is memory for one running request; a request may run
// in several attempts, each under an AttemptID of its own. The home regularly
// audits its ledger: it compares the ledger with the requests that the server's
// engine runs and queries the holders about the differences.
//
// The command hickoryd serve uses this package, for the engines of a platform with the
// Consul HTTP API. In hickoryd edge, core/capacitywait decides how a request waits for
// memory, and core/prefillqueue estimates the queues of the prefill servers.
package slot

import (
	"errors"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

var (
	// ErrFull means that the server has no slot free for the reservation now.
	ErrFull = errors.New("server has no free slot")
	// ErrLeaving means that the server takes no new work.
	ErrLeaving = errors.New("server is leaving and takes no new work")
	// ErrServerUnreachable means that the server does not respond to its home.
	ErrServerUnreachable = errors.New("server does not respond to its home")
	// ErrHomeUnreachable means that the home of the server can't be asked now.
	ErrHomeUnreachable = errors.New("home of the server does not respond")
	// ErrUnknownServer means that the ledger does not track the server.
	ErrUnknownServer = errors.New("server is not tracked by this ledger")
)

type (
	// Holder is the incarnation of a daemon that holds a reservation.
	Holder struct {
		Host        string
		Incarnation uint64
	}

	// Terms are the terms of the reservation that a holder requests.
	Terms struct {
		Lifetime       time.Duration
		Isolated       bool          // the server may run no other isolated request meanwhile
		Deferrable     bool          // leaves the headroom to interactive requests
		Aged           bool          // deferrable, and has waited for long
		Lead           time.Duration // until the request needs the slot
		Overcommit     float64       // share of the slots predicted to become free by then that it may count on
		TokenGapTarget time.Duration // target time between tokens, which limits the batch; 0: none
	}

	// Reservation is one granted slot.
	Reservation struct {
		AttemptID      string
		Holder         Holder
		GrantedAt      time.Time
		Deadline       time.Time
		KVBytes        uint64
		Isolated       bool
		Deferrable     bool
		Aged           bool
		Lead           time.Duration
		Overcommit     float64
		TokenGapTarget time.Duration
		renewedAt      time.Time
	}

	// Ledger holds the slots of the servers whose home is this daemon. It is
	// not safe for concurrent use.
	Ledger struct {
		servers map[string]*serverSlots
	}

	// serverSlots holds the slots of one server.
	serverSlots struct {
		server            backend.Server
		reservations      map[string]Reservation // by attempt ID
		lastReport        backend.Load
		leaving           bool      // as reported by the server itself; server.State may be leaving too
		batchLimit        int       // 0: the server's slots
		releases          eventRate // of reservations
		interactiveGrants eventRate
		overtakes         int // interactive grants since the last grant to an aged request
		external          externalLoad
		unreachable       bool
		hasUnanswered     bool                 // a query of the last audit has no response
		running           map[string]bool      // attempts of this system, as of the last audit
		queriedAt         map[string]time.Time // time of the last query, by attempt ID
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{servers: map[string]*serverSlots{}}
}

// Track adds a server or updates its description.
func (l *Ledger) Track(server backend.Server) {
	s, ok := l.servers[server.ID]
	if !ok {
		s = &serverSlots{reservations: map[string]Reservation{}, queriedAt: map[string]time.Time{}}
		l.servers[server.ID] = s
	}
	s.server = server
}

// Forget removes a server that is no longer registered or has another home now.
// It returns the reservations that were open.
func (l *Ledger) Forget(serverID string) []Reservation {
	s, ok := l.servers[serverID]
	if !ok {
		return nil
	}
	delete(l.servers, serverID)
	open := make([]Reservation, 0, len(s.reservations))
	for _, r := range s.reservations {
		open = append(open, r)
	}
	return open
}

// Servers returns the IDs of the tracked servers, in no particular order.
func (l *Ledger) Servers() []string {
	ids := make([]string, 0, len(l.servers))
	for id := range l.servers {
		ids = append(ids, id)
	}
	return ids
}

// SetLeaving marks a server that takes no new work.
func (l *Ledger) SetLeaving(serverID string) {
	if s, ok := l.servers[serverID]; ok {
		s.leaving = true
	}
}

// SetReachable sets whether the server responds to its home. An unreachable
// server gets no new work.
func (l *Ledger) SetReachable(serverID string, reachable bool) {
	if s, ok := l.servers[serverID]; ok {
		s.unreachable = !reachable
	}
}

// Observe records a load report of the server. A report of a new incarnation
// frees the slots of the previous one, whose memory no longer exists.
func (l *Ledger) Observe(load backend.Load) {
	s, ok := l.servers[load.ServerID]
	if !ok {
		return
	}
	if isRestart(s.lastReport, load) {
		clear(s.reservations)
		s.leaving = false
		s.lastReport = backend.Load{}
		s.external = externalLoad{}
	}
	if load.ObservedAt.Before(s.lastReport.ObservedAt) {
		return
	}
	s.lastReport = load
	s.observeExternal(load)
	if load.Leaving {
		s.leaving = true
	}
}

// Reserve grants one slot of the server until the deadline of r. Reserving for
// the same attempt again succeeds and changes nothing.
func (l *Ledger) Reserve(now time.Time, serverID string, r Reservation) error {
	s, ok := l.servers[serverID]
	if !ok {
		return ErrUnknownServer
	}
	if _, granted := s.reservations[r.AttemptID]; granted {
		return nil
	}
	if s.leaving || s.server.State == backend.StateLeaving {
		return ErrLeaving
	}
	if s.unreachable {
		return ErrServerUnreachable
	}
	if s.free(now, r) <= 0 || r.Isolated && s.holdsIsolated() {
		return ErrFull
	}
	s.recordGrant(now, r)
	r.GrantedAt = now
	s.reservations[r.AttemptID] = r
	return nil
}

// RecordForced records a slot that a holder took without asking the home.
func (l *Ledger) RecordForced(now time.Time, serverID string, r Reservation) {
	s, ok := l.servers[serverID]
	if !ok {
		return
	}
	r.GrantedAt = now
	s.reservations[r.AttemptID] = r
}

// Release ends a reservation. Releasing twice has no effect.
func (l *Ledger) Release(now time.Time, serverID, attemptID string) {
	if s, ok := l.servers[serverID]; ok {
		s.release(now, attemptID)
	}
}

// Load returns the load of a server as the home publishes it.
func (l *Ledger) Load(now time.Time, serverID string) (backend.Load, bool) {
	s, ok := l.servers[serverID]
	if !ok {
		return backend.Load{}, false
	}
	return backend.Load{
		ServerID:       serverID,
		Incarnation:    s.lastReport.Incarnation,
		ObservedAt:     now,
		SlotsUsed:      s.used(),
		SlotsTotal:     s.capacity(),
		PrefillBacklog: s.lastReport.PrefillBacklog,
		PrefillRate:    s.lastReport.PrefillRate,
		Batch:          s.lastReport.Batch,
		TokenGap:       s.lastReport.TokenGap,
		Leaving:        s.leaving,
		Unreachable:    s.unreachable,
	}, true
}

// isRestart reports whether two consecutive load reports come from different
// incarnations of a server.
func isRestart(before, now backend.Load) bool {
	return before.Incarnation != "" && now.Incarnation != "" && now.Incarnation != before.Incarnation
}

func (s *serverSlots) holdsIsolated() bool {
	for _, r := range s.reservations {
		if r.Isolated {
			return true
		}
	}
	return false
}
