package order

import (
	"math"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
)

const (
	// MaxOrderDuration bounds the time for which an order can be in flight.
	MaxOrderDuration = 30 * time.Second
	// RereadInterval is the time between looks at an engine that runs what it
	// should.
	RereadInterval = 15 * time.Second

	firstEpoch = 1
	firstRetry = time.Second
	maxRetry   = 30 * time.Second
)

const (
	// Done means that the engine has carried the order out.
	Done Result = iota
	// Lost means that no answer came: the order may have taken effect.
	Lost
	// Busy means that the weight store has no rate left.
	Busy
	// Fenced means that the engine has taken an order of a newer owner.
	Fenced
	// Refused means that the engine does not understand the order.
	Refused
)

type (
	// Result is what became of an order.
	Result int

	// Action is one step towards an engine: a look at its state, or an order.
	Action struct {
		Server backend.Server
		Order  *Order // nil: read the state
	}

	// Group is the progress of one owner with the engines of one pool in one
	// failure domain. It is not safe for concurrent use.
	Group struct {
		ownership  Ownership
		sequence   uint64
		quietUntil time.Time // engines that ignore fencing get no order before
		engines    map[string]*engine
	}

	engine struct {
		state     State
		known     bool // state was read after the last order
		inFlight  bool
		loading   bool
		notBefore time.Time
		failures  int
	}
)

// NewGroup returns the progress of a new owner. oldLease is the lifetime of
// the lease that the last owner may still believe in: engines that ignore
// fencing numbers get no order before it and the longest order are over. The
// first owner of all has nobody to wait for.
func NewGroup(now time.Time, ownership Ownership, oldLease time.Duration) *Group {
	g := &Group{ownership: ownership, quietUntil: now, engines: map[string]*engine{}}
	if ownership.Epoch > firstEpoch {
		g.quietUntil = now.Add(oldLease + MaxOrderDuration)
	}
	return g
}

// Ownership returns the record that the group acts under.
func (g *Group) Ownership() Ownership {
	return g.ownership
}

// SetOwnership takes a record that was stored with a newer revision of the
// pool.
func (g *Group) SetOwnership(ownership Ownership) {
	g.ownership = ownership
}

// NextActions returns the steps that are due. leaseUntil is when the owner's lease may
// lapse; no order is sent after it. busy tells which engines run requests; they
// keep their role.
func (g *Group) NextActions(now, leaseUntil time.Time, pool config.Pool, servers []backend.Server, roles map[string]backend.Role, busy func(id string) bool) []Action {
	g.forget(servers)
	var actions []Action
	limit := maxLoads(pool.LoadShare, len(servers))
	for _, server := range servers {
		e := g.engine(server.ID)
		if e.inFlight || now.Before(e.notBefore) {
			continue
		}
		if !e.known {
			e.inFlight = true
			actions = append(actions, Action{Server: server})
			continue
		}
		order, needed := Next(pool, roles[server.ID], e.state)
		if !needed {
			e.known, e.notBefore = false, now.Add(RereadInterval)
			continue
		}
		allowed := g.loading() < limit
		if !order.LoadsWeights() {
			allowed = !busy(server.ID)
		}
		if allowed && g.maySend(now, leaseUntil, server) {
			actions = append(actions, Action{Server: server, Order: g.issue(e, order)})
		}
	}
	return actions
}

// issue gives an order its fencing number and marks it as on its way.
func (g *Group) issue(e *engine, order Order) *Order {
	g.sequence++
	order.Fence = FenceOf(g.ownership.Epoch, g.sequence)
	e.inFlight, e.loading, e.known = true, order.LoadsWeights(), false
	return &order
}

// maySend reports whether a server may get an order now. A server that checks
// fencing numbers refuses what is out of date itself. One that ignores them may
// still get orders of the last owner until the quiet time is over.
func (g *Group) maySend(now, leaseUntil time.Time, server backend.Server) bool {
	if !now.Before(leaseUntil) {
		return false
	}
	return server.Fencing == backend.FencingChecked || !now.Before(g.quietUntil)
}

// RecordState takes in an engine's state, or that it could not be read.
func (g *Group) RecordState(now time.Time, id string, state State, ok bool) {
	e := g.engine(id)
	e.inFlight = false
	if !ok {
		e.retry(now)
		return
	}
	e.state, e.known = state, true
}

// RecordResult takes in what became of an order. It returns false when another owner
// is newer: the group has to be given up. After a lost answer the state is read
// before anything is sent again; a server that ignores fencing numbers is left
// alone until the lost order can't arrive any more.
func (g *Group) RecordResult(now time.Time, server backend.Server, result Result) bool {
	e := g.engine(server.ID)
	e.inFlight, e.loading, e.known = false, false, false
	switch result {
	case Done:
		e.failures = 0
	case Lost:
		e.retry(now)
		if server.Fencing != backend.FencingChecked {
			e.notBefore = now.Add(MaxOrderDuration)
		}
	case Busy, Refused:
		e.retry(now)
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

// forget drops engines that left the list and have nothing in flight.
func (g *Group) forget(servers []backend.Server) {
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

func (g *Group) loading() int {
	loads := 0
	for _, e := range g.engines {
		if e.loading {
			loads++
		}
	}
	return loads
}

func (e *engine) retry(now time.Time) {
	wait := min(maxRetry, firstRetry<<min(e.failures, 5))
	e.failures++
	e.notBefore = now.Add(wait)
}

// maxLoads returns how many of n engines may load weights at once: at least
// one, and no more than the share.
func maxLoads(share float64, n int) int {
	return max(1, int(math.Floor(share*float64(n))))
}
