package order

import (
	"math"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
)

const (
	// MaxOrderDuration limits the time for which an order can be in flight.
	MaxOrderDuration = 30 * time.Second
	// RereadInterval is the time between reads of the state of an engine that
	// runs what the pool specifies.
	RereadInterval = 15 * time.Second

	firstEpoch    = 1
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
)

const (
	// Done means that the engine has carried out the order.
	Done Result = iota
	// NoResponse means that no response arrived; the order may have taken effect.
	NoResponse
	// Deferred means that the engine has not carried out the order: the order was
	// not sent, or the weight store has no transfer rate left.
	Deferred
	// Fenced means that the engine has accepted an order of a newer owner.
	Fenced
	// Refused means that the engine does not understand the order.
	Refused
)

type (
	// Result is the outcome of an order.
	Result int

	// Action is one call to an engine: a read of its state, or an order.
	Action struct {
		Server backend.Server
		Order  *Order // nil: read the state
	}

	// Group tracks the progress of one owner with the engines of one pool in one
	// failure domain: the known states of the engines and the steps in flight. It
	// is not safe for concurrent use.
	Group struct {
		ownership         Ownership
		sequence          uint64
		unfencedNotBefore time.Time // engines that ignore fencing tokens get no order before this time
		engines           map[string]*engine
	}

	engine struct {
		state        State
		isStateKnown bool // the state was read after the last order
		inFlight     bool
		loading      bool
		notBefore    time.Time
		failures     int
	}
)

// NewGroup returns the group of a new owner. previousLease is the lifetime of the
// lease that the previous owner may still assume to hold. Engines that ignore
// fencing tokens get no order until that lifetime and MaxOrderDuration have
// passed. The first owner has no previous owner to wait for.
func NewGroup(now time.Time, ownership Ownership, previousLease time.Duration) *Group {
	g := &Group{ownership: ownership, unfencedNotBefore: now, engines: map[string]*engine{}}
	if ownership.Epoch > firstEpoch {
		g.unfencedNotBefore = now.Add(previousLease + MaxOrderDuration)
	}
	return g
}

// Ownership returns the record under which the group acts.
func (g *Group) Ownership() Ownership {
	return g.ownership
}

// SetOwnership replaces the record by one that was stored with a newer revision
// of the pool.
func (g *Group) SetOwnership(ownership Ownership) {
	g.ownership = ownership
}

// NextActions returns the steps that are due. leaseUntil is when the owner's
// lease may expire; no order is sent from then on. runsRequests reports whether an
// engine runs requests; such an engine keeps its role.
func (g *Group) NextActions(now, leaseUntil time.Time, pool config.Pool, servers []backend.Server, roles map[string]backend.Role, runsRequests func(id string) bool) []Action {
	g.dropUnlisted(servers)
	var actions []Action
	limit := maxLoads(pool.LoadShare, len(servers))
	for _, server := range servers {
		e := g.engine(server.ID)
		if e.inFlight || now.Before(e.notBefore) {
			continue
		}
		if !e.isStateKnown {
			e.inFlight = true
			actions = append(actions, Action{Server: server})
			continue
		}
		order, needed := Next(pool, roles[server.ID], e.state)
		if !needed {
			e.isStateKnown, e.notBefore = false, now.Add(RereadInterval)
			continue
		}
		allowed := g.loadingCount() < limit
		if !order.LoadsWeights() {
			allowed = !runsRequests(server.ID)
		}
		if allowed && g.canSend(now, leaseUntil, server) {
			actions = append(actions, Action{Server: server, Order: g.issue(e, order)})
		}
	}
	return actions
}

// issue assigns the next fencing token to an order and marks the order as in
// flight.
func (g *Group) issue(e *engine, order Order) *Order {
	g.sequence++
	order.Fence = FenceOf(g.ownership.Epoch, g.sequence)
	e.inFlight, e.loading, e.isStateKnown = true, order.LoadsWeights(), false
	return &order
}

// canSend reports whether a server may get an order now. A server that checks
// fencing tokens refuses outdated orders itself. A server that ignores them may
// still get orders of the previous owner until unfencedNotBefore.
func (g *Group) canSend(now, leaseUntil time.Time, server backend.Server) bool {
	if !now.Before(leaseUntil) {
		return false
	}
	return server.Fencing == backend.FencingChecked || !now.Before(g.unfencedNotBefore)
}

// RecordState records an engine's state, or that the state could not be read.
func (g *Group) RecordState(now time.Time, id string, state State, ok bool) {
	e := g.engine(id)
	e.inFlight = false
	if !ok {
		e.backOff(now)
		return
	}
	e.state, e.isStateKnown = state, true
}

// RecordResult records the outcome of an order. It returns false when there is a
// newer owner: the caller must then give up the group. After an order without a
// response the state is read before another order is sent; a server that ignores
// fencing tokens gets neither until the order without a response cannot arrive any
// more.
func (g *Group) RecordResult(now time.Time, server backend.Server, result Result) bool {
	e := g.engine(server.ID)
	e.inFlight, e.loading, e.isStateKnown = false, false, false
	switch result {
	case Done:
		e.failures = 0
	case NoResponse:
		e.backOff(now)
		if server.Fencing != backend.FencingChecked {
			e.notBefore = now.Add(MaxOrderDuration)
		}
	case Deferred, Refused:
		e.backOff(now)
	case Fenced:
		return false
	}
	return true
}

func (g *Group) engine(id string) *engine {
	e, ok := g.engines[id]
	if !ok {
		e = &engine{}
		g.engines[id] = e
	}
	return e
}

// dropUnlisted removes the engines that are no longer in the server list and have
// nothing in flight.
func (g *Group) dropUnlisted(servers []backend.Server) {
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
	}
	for id, e := range g.engines {
		if !listed[id] && !e.inFlight {
			delete(g.engines, id)
		}
	}
}

// loadingCount returns how many engines are loading weights.
func (g *Group) loadingCount() int {
	loads := 0
	for _, e := range g.engines {
		if e.loading {
			loads++
		}
	}
	return loads
}

// backOff delays the next step after a failure, longer with each failure in a
// row.
func (e *engine) backOff(now time.Time) {
	delay := min(maxRetryDelay, minRetryDelay<<min(e.failures, 5))
	e.failures++
	e.notBefore = now.Add(delay)
}

// maxLoads returns how many of n engines may load weights at once: the given
// share, but at least one.
func maxLoads(share float64, n int) int {
	return max(1, int(math.Floor(share*float64(n))))
}
