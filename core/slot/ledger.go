// Package slot keeps the ledger of a decode server's memory slots at the
// server's home: what was granted, to whom, and what the server reports.
package slot

import (
	"errors"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

var (
	// ErrFull means that the server has no free slot now.
	ErrFull = errors.New("no free slot")
	// ErrLeaving means that the server takes no new work.
	ErrLeaving = errors.New("server is leaving")
	// ErrUnreachable means that the server does not answer its home.
	ErrUnreachable = errors.New("server does not answer")
	// ErrHomeUnreachable means that the home of the server can't be asked now.
	ErrHomeUnreachable = errors.New("home of the server does not answer")
	// ErrUnknownServer means that the ledger does not hold the server.
	ErrUnknownServer = errors.New("unknown server")
)

type (
	// Holder is one life of the daemon that holds a reservation.
	Holder struct {
		Host        string
		Incarnation uint64
	}

	// Terms are what a holder asks of a reservation.
	Terms struct {
		Lifetime   time.Duration
		Isolated   bool          // no other isolated request may use the server meanwhile
		Deferrable bool          // leaves the last slots to interactive requests
		Aged       bool          // deferrable, and has waited long
		Lead       time.Duration // until the request needs the slot
		Overcommit float64       // share of the slots predicted free by then that it may count on
		TokenGap   time.Duration // target, to which the batch is limited; 0: none
	}

	// Reservation is one granted slot.
	Reservation struct {
		RequestID  string
		Holder     Holder
		GrantedAt  time.Time
		Deadline   time.Time
		KVBytes    uint64
		Isolated   bool
		Deferrable bool
		Aged       bool
		Lead       time.Duration
		Overcommit float64
		TokenGap   time.Duration
		renewedAt  time.Time
	}

	// Ledger holds the slots of the servers whose home is this daemon. It is
	// not safe for concurrent use.
	Ledger struct {
		servers map[string]*account
	}

	account struct {
		server      backend.Server
		granted     map[string]Reservation
		reported    backend.Load
		leaving     bool      // as it said itself; the list may say so besides
		limit       int       // of the batch; 0: the server's slots
		released    eventRate // of slots
		interactive eventRate // grants
		overtaken   int       // interactive grants since one to an aged request
		foreign     foreignLoad
		unreachable bool
		unanswered  bool                 // a question of the last audit
		running     map[string]bool      // attempts of this system, as of the last audit
		asked       map[string]time.Time // newest question about an attempt
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{servers: map[string]*account{}}
}

// Track adds a server or updates its description.
func (l *Ledger) Track(server backend.Server) {
	a, ok := l.servers[server.ID]
	if !ok {
		a = &account{granted: map[string]Reservation{}, asked: map[string]time.Time{}}
		l.servers[server.ID] = a
	}
	a.server = server
}

// Forget drops a server that is gone or whose home has moved. It returns the
// reservations that were open.
func (l *Ledger) Forget(serverID string) []Reservation {
	a, ok := l.servers[serverID]
	if !ok {
		return nil
	}
	delete(l.servers, serverID)
	open := make([]Reservation, 0, len(a.granted))
	for _, r := range a.granted {
		open = append(open, r)
	}
	return open
}

// Servers returns the ids of the tracked servers, in no order.
func (l *Ledger) Servers() []string {
	ids := make([]string, 0, len(l.servers))
	for id := range l.servers {
		ids = append(ids, id)
	}
	return ids
}

// SetLeaving marks a server that takes no new work.
func (l *Ledger) SetLeaving(serverID string) {
	if a, ok := l.servers[serverID]; ok {
		a.leaving = true
	}
}

// SetReachable says whether the server answers its home. A server that does
// not gets no new work.
func (l *Ledger) SetReachable(serverID string, reachable bool) {
	if a, ok := l.servers[serverID]; ok {
		a.unreachable = !reachable
	}
}

// Observe takes in a load report of the server. A report of a new incarnation
// frees the slots of the one before, whose memory is gone.
func (l *Ledger) Observe(load backend.Load) {
	a, ok := l.servers[load.ServerID]
	if !ok {
		return
	}
	if isRestart(a.reported, load) {
		clear(a.granted)
		a.leaving = false
		a.reported = backend.Load{}
		a.foreign = foreignLoad{}
	}
	if load.ObservedAt.Before(a.reported.ObservedAt) {
		return
	}
	a.reported = load
	a.observeForeign(load)
	if load.Leaving {
		a.leaving = true
	}
}

// Reserve grants one slot of the server until deadline. Granting the same
// request again returns the reservation it already has.
func (l *Ledger) Reserve(now time.Time, serverID string, r Reservation) error {
	a, ok := l.servers[serverID]
	if !ok {
		return ErrUnknownServer
	}
	if _, again := a.granted[r.RequestID]; again {
		return nil
	}
	if a.leaving || a.server.State == backend.StateLeaving {
		return ErrLeaving
	}
	if a.unreachable {
		return ErrUnreachable
	}
	if a.room(now, r) <= 0 || r.Isolated && a.holdsIsolated() {
		return ErrFull
	}
	a.noteGrant(now, r)
	r.GrantedAt = now
	a.granted[r.RequestID] = r
	return nil
}

// RecordForced records a slot that a holder took without asking.
func (l *Ledger) RecordForced(now time.Time, serverID string, r Reservation) {
	a, ok := l.servers[serverID]
	if !ok {
		return
	}
	r.GrantedAt = now
	a.granted[r.RequestID] = r
}

// Release gives a slot back. Releasing twice is harmless.
func (l *Ledger) Release(now time.Time, serverID, requestID string) {
	if a, ok := l.servers[serverID]; ok {
		a.drop(now, requestID)
	}
}

// Load returns the digest that the home publishes for a server.
func (l *Ledger) Load(now time.Time, serverID string) (backend.Load, bool) {
	a, ok := l.servers[serverID]
	if !ok {
		return backend.Load{}, false
	}
	return backend.Load{
		ServerID:       serverID,
		Incarnation:    a.reported.Incarnation,
		ObservedAt:     now,
		SlotsUsed:      a.used(),
		SlotsTotal:     a.capacity(),
		PrefillBacklog: a.reported.PrefillBacklog,
		PrefillRate:    a.reported.PrefillRate,
		Batch:          a.reported.Batch,
		TokenGap:       a.reported.TokenGap,
		Leaving:        a.leaving,
		Unreachable:    a.unreachable,
	}, true
}

// isRestart reports whether a report comes from another life of the server than
// the one before.
func isRestart(before, now backend.Load) bool {
	return before.Incarnation != "" && now.Incarnation != "" && now.Incarnation != before.Incarnation
}

func (a *account) holdsIsolated() bool {
	for _, r := range a.granted {
		if r.Isolated {
			return true
		}
	}
	return false
}
