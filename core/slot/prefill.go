package slot

import (
	"errors"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

// maxLinkWait bounds the time for which a finished prefill waits for its
// server's KV link. Engines evict the prefill's result soon after that time.
const maxLinkWait = 400 * time.Millisecond

// ErrBacklog means that the wait for prefill or for the server's link is longer
// than the request allows.
var ErrBacklog = errors.New("prefill backlog is over the request's limit")

type (
	// Prefill is one reserved prefill.
	Prefill struct {
		AttemptID  string
		Holder     Holder
		Work       time.Duration // predicted compute time
		Transfer   time.Duration // predicted time of the KV cache on the server's link
		MaxBacklog time.Duration // longest backlog that the prefill may queue behind
		Deferrable bool          // runs after interactive prefills
		GrantedAt  time.Time
	}

	// PrefillLedger holds the queues of the prefill servers whose home is this
	// daemon. It is not safe for concurrent use.
	PrefillLedger struct {
		servers map[string]*prefillQueue
	}

	// prefillQueue holds the reserved prefills of one server.
	prefillQueue struct {
		reserved  []Prefill // in order of their grants
		headStart time.Time // start of the first prefill
		// linkFreeAt is when the link would be free if the reserved transfers ran one
		// after the other at full rate, each from its reservation on.
		linkFreeAt    time.Time
		lastReport    backend.Load
		leaving       bool // as reported by the server itself
		listedLeaving bool // as stated by the server list
		unreachable   bool // does not respond to its home
	}
)

// NewPrefillLedger returns an empty prefill ledger.
func NewPrefillLedger() *PrefillLedger {
	return &PrefillLedger{servers: map[string]*prefillQueue{}}
}

// Track adds a server or updates whether the server list has it as leaving.
func (l *PrefillLedger) Track(server backend.Server) {
	q, ok := l.servers[server.ID]
	if !ok {
		q = &prefillQueue{}
		l.servers[server.ID] = q
	}
	q.listedLeaving = server.State == backend.StateLeaving
}

// Forget removes a server that is no longer registered or has another home now.
func (l *PrefillLedger) Forget(serverID string) {
	delete(l.servers, serverID)
}

// SetReachable sets whether the server responds to its home. An unreachable
// server gets no new reservations.
func (l *PrefillLedger) SetReachable(serverID string, reachable bool) {
	if q, ok := l.servers[serverID]; ok {
		q.unreachable = !reachable
	}
}

// Observe records a load report. A report of a new incarnation clears the queue
// of the previous one.
func (l *PrefillLedger) Observe(load backend.Load) {
	q, ok := l.servers[load.ServerID]
	if ok && isRestart(q.lastReport, load) {
		*q = prefillQueue{listedLeaving: q.listedLeaving}
	}
	if !ok || load.ObservedAt.Before(q.lastReport.ObservedAt) {
		return
	}
	q.lastReport = load
	q.leaving = q.leaving || load.Leaving
}

// Reserve adds a prefill to the server's queue and returns the predicted time
// until the prefill is done. It fails with ErrBacklog when the backlog is longer
// than MaxBacklog, or when the link is so busy that the result might be evicted
// before its transfer. Reserving for the same attempt again changes nothing. With
// ErrBacklog, and for an attempt that is reserved already, it returns the current
// backlog, which is the predicted time until a new prefill starts.
func (l *PrefillLedger) Reserve(now time.Time, serverID string, p Prefill) (time.Duration, error) {
	q, ok := l.servers[serverID]
	if !ok {
		return 0, ErrUnknownServer
	}
	backlog := q.backlog(now, p.Deferrable)
	if q.find(p.AttemptID) >= 0 {
		return backlog, nil
	}
	if q.leaving || q.listedLeaving {
		return 0, ErrLeaving
	}
	if q.unreachable {
		return 0, ErrServerUnreachable
	}
	ready := now.Add(backlog + p.Work)
	if backlog > p.MaxBacklog || q.linkFreeAt.Sub(ready) > maxLinkWait {
		return backlog, ErrBacklog
	}
	if len(q.reserved) == 0 {
		q.headStart = now
	}
	if q.linkFreeAt.Before(now) {
		q.linkFreeAt = now
	}
	q.linkFreeAt = q.linkFreeAt.Add(p.Transfer)
	p.GrantedAt = now
	q.reserved = append(q.reserved, p)
	return backlog + p.Work, nil
}

// Release removes a finished or cancelled prefill from the queue. Releasing
// twice has no effect.
func (l *PrefillLedger) Release(now time.Time, serverID, attemptID string) {
	q, ok := l.servers[serverID]
	if !ok {
		return
	}
	index := q.find(attemptID)
	if index < 0 {
		return
	}
	q.reserved = append(q.reserved[:index], q.reserved[index+1:]...)
	q.headStart = now
}

// Expire removes the prefills whose holder is not alive and those older than
// limit, which their holder failed to release.
func (l *PrefillLedger) Expire(now time.Time, limit time.Duration, alive func(Holder) bool) {
	for _, q := range l.servers {
		q.reserved = slices.DeleteFunc(q.reserved, func(p Prefill) bool {
			return now.Sub(p.GrantedAt) > limit || !alive(p.Holder)
		})
	}
}

// Load returns the load of a server as the home publishes it.
func (l *PrefillLedger) Load(now time.Time, serverID string) (backend.Load, bool) {
	q, ok := l.servers[serverID]
	if !ok {
		return backend.Load{}, false
	}
	load := q.lastReport
	load.ServerID = serverID
	load.ObservedAt = now
	load.PrefillBacklog = q.backlog(now, true)
	load.LinkBacklog = max(0, q.linkFreeAt.Sub(now))
	load.Leaving = q.leaving
	load.Unreachable = q.unreachable
	return load, true
}

// find returns the index of an attempt's prefill, or -1.
func (q *prefillQueue) find(attemptID string) int {
	for i := range q.reserved {
		if q.reserved[i].AttemptID == attemptID {
			return i
		}
	}
	return -1
}

// backlog returns the predicted time until a new prefill starts. Interactive
// prefills overtake deferrable ones, except the one that runs, so they wait only
// for the reserved work that remains ahead of them. Deferrable prefills wait for
// the larger of all reserved work and the reported backlog, corrected by the
// time since the report and the work reserved since then.
func (q *prefillQueue) backlog(now time.Time, deferrable bool) time.Duration {
	var reserved, sinceReport time.Duration
	for i, p := range q.reserved {
		if i > 0 && p.Deferrable && !deferrable {
			continue
		}
		reserved += p.Work
		if p.GrantedAt.After(q.lastReport.ObservedAt) {
			sinceReport += p.Work
		}
	}
	if len(q.reserved) > 0 {
		reserved -= min(now.Sub(q.headStart), q.reserved[0].Work)
	}
	if !deferrable {
		return reserved
	}
	reported := q.lastReport.PrefillBacklog - now.Sub(q.lastReport.ObservedAt) + sinceReport
	if q.lastReport.ObservedAt.IsZero() {
		reported = 0
	}
	return max(0, reserved, reported)
}
