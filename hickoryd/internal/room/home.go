package room

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/core/room"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
)

// abandonPeriod is the time after which a request is cancelled for which its host doesn't ask
// any more.
const abandonPeriod = time.Second

type (
	// home grants the room of one pool of servers to all hosts.
	home struct {
		pool room.Pool
		// usedAt is when a host last asked. The mutex of Rooms guards it.
		usedAt time.Time

		mu     sync.Mutex
		ledger *room.Ledger
		// version is the version of the server list that the ledger has.
		version uint64
		hasList bool
		// listedPart is the part of the servers that the ledger has.
		listedPart part
		// waiters are the requests whose hosts have no grant or refusal yet.
		waiters map[string]*waiter
		checked time.Time
		// timer runs run at the time that the ledger has stated.
		timer *time.Timer
	}

	// part is one of count equal parts of the room of a pool.
	part struct {
		number, count int
	}

	waiter struct {
		// answer receives one answer.
		answer chan room.Answer
		// askedAt is when the host last asked or was answered, and asks the number of its
		// asks that are in progress.
		askedAt time.Time
		asks    int
	}
)

func newHome(now time.Time, pool room.Pool) *home {
	return &home{pool: pool, ledger: room.NewLedger(now), waiters: make(map[string]*waiter), checked: now}
}

func (h *home) acquire(ctx context.Context, request room.Request, inFlight map[string]int, snapshot *registry.Snapshot, p part) room.Answer {
	w := h.ask(time.Now(), request, inFlight, snapshot, p)
	timer := time.NewTimer(holdPeriod)
	defer timer.Stop()
	select {
	case answer := <-w.answer:
		h.forget(request.ID)
		return answer
	case <-timer.C:
		h.leave(time.Now(), w)
		return room.Answer{}
	case <-ctx.Done():
		h.release(time.Now(), []room.Released{{RequestID: request.ID, Outcome: room.Unused}})
		return room.Answer{}
	}
}

// ask returns the waiter of a request, which is new or waits already.
func (h *home) ask(now time.Time, request room.Request, inFlight map[string]int, snapshot *registry.Snapshot, p part) *waiter {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Another ask may have brought a newer list.
	if !h.hasList || h.version < snapshot.Version || h.version == snapshot.Version && h.listedPart != p {
		h.ledger.SetServers(now, servers(snapshot, h.pool, p))
		h.version, h.hasList, h.listedPart = snapshot.Version, true, p
	}
	w, ok := h.waiters[request.ID]
	if !ok {
		w = &waiter{answer: make(chan room.Answer, 1)}
		h.waiters[request.ID] = w
		h.ledger.Observe(now, request.Requester, inFlight)
		h.ledger.Ask(now, request)
	}
	w.askedAt = now
	w.asks++
	if !ok {
		h.decide(now)
	}
	return w
}

func (h *home) forget(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiters, id)
}

// leave records that an ask has ended without an answer for the request.
func (h *home) leave(now time.Time, w *waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.asks--
	w.askedAt = now
}

// release records at now that requests have ended. One that was not sent may still wait.
func (h *home) release(now time.Time, released []room.Released) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range released {
		if r.Outcome == room.Unused {
			delete(h.waiters, r.RequestID)
			h.ledger.Cancel(now, r.RequestID)
		} else {
			h.ledger.Release(now, r.RequestID, r.Outcome, r.Took)
		}
	}
	h.decide(now)
}

// decide passes the ledger's decisions on, and sets the timer. The caller holds mu.
func (h *home) decide(now time.Time) {
	h.dropAbandoned(now)
	grants, refusals, next := h.ledger.Decide(now)
	for _, g := range grants {
		h.respond(g.RequestID, room.Answer{Server: g.Server})
	}
	for _, r := range refusals {
		h.respond(r.RequestID, room.Answer{RetryAfter: r.RetryAfter, Reason: r.Reason})
	}
	switch {
	case next.IsZero():
	case h.timer == nil:
		h.timer = time.AfterFunc(next.Sub(now), h.run)
	default:
		h.timer.Reset(next.Sub(now))
	}
}

func (h *home) respond(id string, answer room.Answer) {
	if w, ok := h.waiters[id]; ok {
		w.answer <- answer // has room for the only answer
	}
}

// run decides at the time that the ledger has stated.
func (h *home) run() {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decide(now)
}

// dropAbandoned cancels requests whose hosts don't ask for them any more. Each decision calls it:
// while asks arrive without a pause, the timer is set again before it runs. The caller holds mu.
func (h *home) dropAbandoned(now time.Time) {
	if now.Sub(h.checked) <= abandonPeriod {
		return
	}
	h.checked = now
	for id, w := range h.waiters {
		if w.asks == 0 && now.Sub(w.askedAt) > abandonPeriod {
			delete(h.waiters, id)
			h.ledger.Cancel(now, id)
		}
	}
}

func (h *home) describe() hoststate.Room {
	h.mu.Lock()
	defer h.mu.Unlock()
	described := hoststate.Room{Service: h.pool.Service, Stage: string(h.pool.Stage), Waiting: h.ledger.Waiting()}
	for _, l := range h.ledger.Loads() {
		described.Servers = append(described.Servers, hoststate.RoomServer{
			ID: l.Server, Limit: l.Limit, Granted: l.Granted, Foreign: l.Foreign,
			ServiceTimeMs: float64(l.ServiceTime) / float64(time.Millisecond), IsFailing: l.IsFailing,
		})
	}
	return described
}

// allHomes returns the ledgers that this host has, by service and stage.
func (r *Rooms) allHomes() []*home {
	r.mu.Lock()
	defer r.mu.Unlock()
	homes := make([]*home, 0, len(r.homes))
	for _, h := range r.homes {
		homes = append(homes, h)
	}
	slices.SortFunc(homes, func(a, b *home) int {
		return cmp.Or(cmp.Compare(a.pool.Service, b.pool.Service), cmp.Compare(a.pool.Stage, b.pool.Stage))
	})
	return homes
}

// waiting returns the number of requests in the queues of this host.
func (r *Rooms) waiting() float64 {
	waiting := 0
	for _, h := range r.allHomes() {
		waiting += h.describe().Waiting
	}
	return float64(waiting)
}

// writeLimits writes the concurrency limit of each server of which this host is the home.
func (r *Rooms) writeLimits(w io.Writer) {
	for _, h := range r.allHomes() {
		if h.pool.Stage != serverlist.NoStage {
			continue // model servers are too many for time series of their own
		}
		for _, s := range h.describe().Servers {
			metrics.WriteGaugeUint64(w, fmt.Sprintf(`hickoryfront_edge_room_limit{service=%q,server=%q}`, h.pool.Service, s.ID), uint64(s.Limit))
		}
	}
}
