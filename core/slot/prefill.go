package slot

import (
	"errors"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

// maxLinkWait bounds the time that a finished prefill waits for its server's
// link: engines evict it soon after.
const maxLinkWait = 400 * time.Millisecond

// ErrBacklog means that the prefill queue is longer than the request can wait.
var ErrBacklog = errors.New("prefill queue is too long")

type (
	// Prefill is one reserved prefill.
	Prefill struct {
		RequestID  string
		Holder     Holder
		Work       time.Duration
		Transfer   time.Duration // of the KV cache over the server's link
		MaxBacklog time.Duration // longest queue that the request may join
		Deferrable bool          // runs after interactive prefills
		GrantedAt  time.Time
	}

	// PrefillLedger holds the queues of the prefill servers whose home is this
	// daemon. It is not safe for concurrent use.
	PrefillLedger struct {
		servers map[string]*prefillQueue
	}

	prefillQueue struct {
		granted       []Prefill // in the order of their grants
		headAt        time.Time // start of the first
		linkFree      time.Time // end of the transfers reserved so far, in a fluid model
		reported      backend.Load
		leaving       bool // as it said itself
		listedLeaving bool // the list says that it leaves
		silent        bool // does not answer its home
	}
)

// NewPrefillLedger returns an empty ledger.
func NewPrefillLedger() *PrefillLedger {
	return &PrefillLedger{servers: map[string]*prefillQueue{}}
}

// Track adds a server.
func (l *PrefillLedger) Track(server backend.Server) {
	q, ok := l.servers[server.ID]
	if !ok {
		q = &prefillQueue{}
		l.servers[server.ID] = q
	}
	q.listedLeaving = server.State == backend.StateLeaving
}

// Forget drops a server that is gone or whose home has moved.
func (l *PrefillLedger) Forget(serverID string) {
	delete(l.servers, serverID)
}

// SetReachable marks whether the server answers its home. One that does not
// gets no new reservations.
func (l *PrefillLedger) SetReachable(serverID string, reachable bool) {
	if q, ok := l.servers[serverID]; ok {
		q.silent = !reachable
	}
}

// Observe takes in a load report. A report of a new incarnation ends the queue
// of the one before.
func (l *PrefillLedger) Observe(load backend.Load) {
	q, ok := l.servers[load.ServerID]
	if ok && isRestart(q.reported, load) {
		*q = prefillQueue{listedLeaving: q.listedLeaving}
	}
	if !ok || load.ObservedAt.Before(q.reported.ObservedAt) {
		return
	}
	q.reported = load
	q.leaving = q.leaving || load.Leaving
}

// Reserve puts a prefill into the server's queue and returns the time until it
// is predicted to be done. It fails with ErrBacklog when the queue is longer
// than MaxBacklog, or the link so busy that the result might be evicted. Reserving the same request again changes nothing.
func (l *PrefillLedger) Reserve(now time.Time, serverID string, p Prefill) (time.Duration, error) {
	q, ok := l.servers[serverID]
	if !ok {
		return 0, ErrUnknownServer
	}
	backlog := q.backlog(now, p.Deferrable)
	if q.find(p.RequestID) >= 0 {
		return backlog, nil
	}
	if q.leaving || q.listedLeaving {
		return 0, ErrLeaving
	}
	if q.silent {
		return 0, ErrUnreachable
	}
	ready := now.Add(backlog + p.Work)
	if backlog > p.MaxBacklog || q.linkFree.Sub(ready) > maxLinkWait {
		return backlog, ErrBacklog
	}
	if len(q.granted) == 0 {
		q.headAt = now
	}
	if q.linkFree.Before(now) {
		q.linkFree = now
	}
	q.linkFree = q.linkFree.Add(p.Transfer)
	p.GrantedAt = now
	q.granted = append(q.granted, p)
	return backlog + p.Work, nil
}

// Release takes a finished or cancelled prefill out of the queue. Releasing
// twice is harmless.
func (l *PrefillLedger) Release(now time.Time, serverID, requestID string) {
	q, ok := l.servers[serverID]
	if !ok {
		return
	}
	at := q.find(requestID)
	if at < 0 {
		return
	}
	q.granted = append(q.granted[:at], q.granted[at+1:]...)
	q.headAt = now
}

// Expire drops the prefills whose holder is gone and those older than limit,
// which their holder has forgotten to release.
func (l *PrefillLedger) Expire(now time.Time, limit time.Duration, alive func(Holder) bool) {
	for _, q := range l.servers {
		q.granted = slices.DeleteFunc(q.granted, func(p Prefill) bool {
			return now.Sub(p.GrantedAt) > limit || !alive(p.Holder)
		})
	}
}

// Load returns the digest that the home publishes for a server.
func (l *PrefillLedger) Load(now time.Time, serverID string) (backend.Load, bool) {
	q, ok := l.servers[serverID]
	if !ok {
		return backend.Load{}, false
	}
	load := q.reported
	load.ServerID = serverID
	load.ObservedAt = now
	load.PrefillBacklog = q.backlog(now, true)
	load.LinkBacklog = max(0, q.linkFree.Sub(now))
	load.Leaving = q.leaving
	load.Unreachable = q.silent
	return load, true
}

func (q *prefillQueue) find(requestID string) int {
	for i := range q.granted {
		if q.granted[i].RequestID == requestID {
			return i
		}
	}
	return -1
}

// backlog is the time until a new prefill starts: the larger of what was
// granted and what the server reported, corrected by what was granted since.
// Interactive prefills overtake deferrable ones, but not the running one.
func (q *prefillQueue) backlog(now time.Time, deferrable bool) time.Duration {
	var granted, since time.Duration
	for i, p := range q.granted {
		if i > 0 && p.Deferrable && !deferrable {
			continue
		}
		granted += p.Work
		if p.GrantedAt.After(q.reported.ObservedAt) {
			since += p.Work
		}
	}
	if len(q.granted) > 0 {
		granted -= min(now.Sub(q.headAt), q.granted[0].Work)
	}
	if !deferrable {
		return granted
	}
	reported := q.reported.PrefillBacklog - now.Sub(q.reported.ObservedAt) + since
	if q.reported.ObservedAt.IsZero() {
		reported = 0
	}
	return max(0, granted, reported)
}
