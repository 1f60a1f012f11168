package policybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/core/prefix"
)

const (
	// PolicyRandom places at random.
	PolicyRandom = "random"
	// PolicyRoundRobin places in turn.
	PolicyRoundRobin = "roundRobin"
	// PolicyTwoChoices takes the less loaded of two, by late reports.
	PolicyTwoChoices = "twoChoices"
	// PolicyReserving is the product's.
	PolicyReserving = "reserving"
	// PolicyOracle is the product's with perfect knowledge and one router.
	PolicyOracle = "oracle"

	normalLag      = 200 * time.Millisecond
	faultLag       = 2 * time.Second
	eventLag       = 500 * time.Millisecond
	faultLoss      = 0.2
	viewInterval   = 500 * time.Millisecond // of the heartbeats
	killInterval   = 20 * time.Second
	deadTime       = 5 * time.Second
	suspectTime    = 2 * time.Second
	settleTime     = 10 * time.Minute // after the trace, for deferrable requests
	snapshotEvery  = 2 * time.Second
	callerPatience = 2           // times the target until a caller gives up
	recallDelay    = time.Second // of a caller whose deferrable request failed
	maxAttempts    = 4
	indexLimit     = 1 << 16
)

type (
	// Run says what one run does.
	Run struct {
		Deployment Deployment
		Policy     string
		Load       float64 // times capacity
		Routers    int
		Faults     bool
		LoseDomain bool // in the middle third, all engines of one failure domain
		Length     time.Duration
		Seed       uint64
	}

	// killable is an engine of either role.
	killable interface {
		kill()
		where() *node
	}

	// bench is the state of one run.
	bench struct {
		run      Run
		loop     *loop
		random   *rand.Rand
		prefills [][]*prefillEngine // by pool
		decodes  [][]*decodeEngine  // by pool
		byID     map[string]*node
		routers  []*router
		homes    *homes
		requests []*request
		open     int // deferrable requests that are not finished
		traceEnd time.Time
		result   Result
	}
)

// Policies returns the policies in the order of the table.
func Policies() []string {
	return []string{PolicyRandom, PolicyRoundRobin, PolicyTwoChoices, PolicyReserving, PolicyOracle}
}

// Execute runs one run to its end.
func Execute(r Run) Result {
	b := newBench(r)
	for _, request := range b.requests {
		b.loop.after(request.arrivedAt.Sub(epoch), func() { b.call(request) })
		if request.kind.Deferrable {
			b.open++
		}
	}
	b.start()
	b.loop.runUntil(b.traceEnd.Add(settleTime), func() bool {
		return b.open == 0 && b.loop.now.After(b.traceEnd.Add(callerPatience*firstTokenTarget+2*time.Second))
	})
	b.result.count(b)
	return b.result
}

func (b *bench) oracle() bool { return b.run.Policy == PolicyOracle }

func (r Run) reserving() bool { return r.Policy == PolicyReserving || r.Policy == PolicyOracle }

func (r Run) eventLoss() float64 {
	if r.Faults {
		return faultLoss
	}
	return 0
}

func (b *bench) lag() time.Duration {
	switch {
	case b.oracle():
		return 0
	case b.run.Faults:
		return faultLag
	}
	return normalLag
}

func newBench(r Run) *bench {
	routers := r.Routers
	if r.Policy == PolicyOracle {
		routers = 1
	}
	b := &bench{
		run: r, loop: newLoop(), random: rand.New(rand.NewPCG(r.Seed, 1)), byID: map[string]*node{},
		requests: r.Deployment.trace(r.Load, r.Length, r.Routers, rand.New(rand.NewPCG(r.Seed, 2))),
		traceEnd: epoch.Add(r.Length),
	}
	b.result.Run = r
	b.homes = newHomes(b)
	for p, pool := range r.Deployment.Pools {
		b.addPool(p, pool)
	}
	for i := range routers {
		b.routers = append(b.routers, newRouter(b, i))
	}
	for _, request := range b.requests {
		request.router %= routers
	}
	return b
}

func (b *bench) addPool(p int, pool Pool) {
	var prefills []*prefillEngine
	var decodes []*decodeEngine
	for i := range pool.Prefill {
		e := &prefillEngine{node: b.node(p, i, backend.RolePrefill, pool.Model)}
		e.newCache()
		prefills = append(prefills, e)
		b.byID[e.server.ID] = &e.node
		b.homes.track(e.server)
	}
	for i := range pool.Decode {
		e := &decodeEngine{node: b.node(p, i, backend.RoleDecode, pool.Model)}
		decodes = append(decodes, e)
		b.byID[e.server.ID] = &e.node
		b.homes.track(e.server)
	}
	b.prefills = append(b.prefills, prefills)
	b.decodes = append(b.decodes, decodes)
}

func (b *bench) node(pool, index int, role backend.Role, model string) node {
	domains := b.run.Deployment.Domains
	return node{bench: b, index: index, server: backend.Server{
		ID: fmt.Sprintf("%s-%s-%d", model, role, index), Role: role, Model: model, State: backend.StateLive,
		FailureDomain: domains[(index+pool)%len(domains)], Slots: slotsPerEngine,
	}}
}

// start begins the periodic activities.
func (b *bench) start() {
	b.every(reportInterval, 0, b.report)
	b.every(b.run.homeInterval(), time.Millisecond, b.homes.refresh)
	for _, r := range b.routers {
		phase := time.Duration(b.random.Int64N(int64(viewInterval)))
		r.refresh()
		b.every(viewInterval, phase, r.refresh)
		b.every(pumpInterval, phase%pumpInterval, r.pump)
	}
	if b.run.Faults {
		b.every(killInterval, killInterval/2, b.kill)
	}
	if b.run.LoseDomain {
		b.loop.after(b.run.Length/3, b.loseDomain)
	}
}

// loseDomain kills all engines of the first failure domain for a third of the
// trace.
func (b *bench) loseDomain() {
	for _, e := range b.all() {
		if e.where().server.FailureDomain == b.run.Deployment.Domains[0] {
			b.killFor(e, b.run.Length/3)
		}
	}
}

func (r Run) homeInterval() time.Duration {
	const interval = 200 * time.Millisecond
	if r.Policy == PolicyOracle {
		return reportInterval
	}
	return interval
}

func (b *bench) every(interval, phase time.Duration, run func()) {
	b.loop.after(phase, func() {
		run()
		b.every(interval, interval, run)
	})
}

func (b *bench) report() {
	for p := range b.prefills {
		for _, e := range b.prefills[p] {
			e.report(e.load())
		}
		for _, e := range b.decodes[p] {
			e.report(e.load())
		}
	}
}

// kill kills one engine for a while.
func (b *bench) kill() {
	if b.loop.now.After(b.traceEnd) {
		return
	}
	all := b.all()
	// The choice depends on the time alone, so that all policies meet the same faults.
	step := uint64(b.loop.now.Sub(epoch) / killInterval)
	b.killFor(all[rand.New(rand.NewPCG(b.run.Seed, step)).IntN(len(all))], deadTime)
}

func (b *bench) killFor(e killable, d time.Duration) {
	n := e.where()
	e.kill()
	b.homes.lost(n.server.ID)
	b.loop.after(d, func() { n.dead = false })
}

// all returns all engines, pool by pool.
func (b *bench) all() []killable {
	var all []killable
	for p := range b.prefills {
		for _, e := range b.prefills[p] {
			all = append(all, e)
		}
		for _, e := range b.decodes[p] {
			all = append(all, e)
		}
	}
	return all
}

// token counts a generated token and reports whether it was the last.
func (b *bench) token(r *request) bool {
	now := b.loop.now
	if r.tokens == 0 {
		r.firstAt = now
	} else {
		r.gaps++
		if now.Sub(r.lastAt) > tokenGapTarget {
			r.slowGaps++
		}
	}
	r.tokens++
	r.lastAt = now
	if r.tokens < r.output {
		return false
	}
	b.finish(r)
	return true
}

func (b *bench) finish(r *request) {
	r.finished = true
	if r.kind.Deferrable {
		b.open--
	}
}

// call is a caller's call: the first, or one more after a refusal.
func (b *bench) call(r *request) {
	r.callAt = b.loop.now
	r.attempts = 0
	r.gaveUp = false
	call := r.calls
	b.loop.after(b.patience(r), func() {
		if r.calls == call && r.tokens == 0 && !r.finished {
			b.giveUp(r)
		}
	})
	b.routers[r.router].arrive(r)
}

func (b *bench) patience(r *request) time.Duration {
	return callerPatience * b.firstTokenLimit(r)
}

// firstTokenLimit is the target of the first token, after the wait that a
// deferrable request may have.
func (b *bench) firstTokenLimit(r *request) time.Duration {
	if r.kind.Deferrable {
		return b.run.Deployment.MaxWait + firstTokenTarget
	}
	return firstTokenTarget
}

func (b *bench) giveUp(r *request) {
	b.result.GaveUp++
	r.gaveUp = true
	b.routers[r.router].forget(r)
	if a := r.active; a != nil && a.stage != stageOver {
		b.end(a)
		b.routers[r.router].release(a)
	}
	b.callAgain(r, recallDelay)
}

// refuse answers a call at once.
func (b *bench) refuse(r *request, retryAfter time.Duration) {
	b.result.Refused++
	r.refused = true
	b.callAgain(r, retryAfter)
}

// callAgain repeats deferrable calls; callers of the others go away.
func (b *bench) callAgain(r *request, wait time.Duration) {
	r.calls++ // the old call's patience no longer counts
	if !r.kind.Deferrable {
		return
	}
	jitter := 1 + 0.2*b.random.Float64()
	b.loop.after(time.Duration(float64(wait)*jitter), func() { b.call(r) })
}

// newPolicy returns the placement policy of one router.
func (b *bench) newPolicy(router int) placement.Policy {
	random := rand.New(rand.NewPCG(b.run.Seed, uint64(100+router)))
	switch b.run.Policy {
	case PolicyRandom:
		return placement.NewRandom(random)
	case PolicyRoundRobin:
		return &placement.RoundRobin{}
	case PolicyTwoChoices:
		return placement.NewTwoChoices(random)
	}
	return placement.NewReserving(placement.Options{LinkRate: linkRate}, random.Float64)
}

func (b *bench) engines(pool int) []*node {
	nodes := make([]*node, 0, len(b.prefills[pool])+len(b.decodes[pool]))
	for _, e := range b.prefills[pool] {
		nodes = append(nodes, &e.node)
	}
	for _, e := range b.decodes[pool] {
		nodes = append(nodes, &e.node)
	}
	return nodes
}

func (b *bench) prefillByID(pool int, id string) *prefillEngine {
	at := slices.IndexFunc(b.prefills[pool], func(e *prefillEngine) bool { return e.server.ID == id })
	return b.prefills[pool][at]
}

func (b *bench) decodeByID(pool int, id string) *decodeEngine {
	at := slices.IndexFunc(b.decodes[pool], func(e *decodeEngine) bool { return e.server.ID == id })
	return b.decodes[pool][at]
}

// eventsAfter returns a prefill engine's events that are late enough to be seen.
func (e *prefillEngine) eventsAfter(sequence uint64, lag time.Duration) ([]prefix.Event, uint64) {
	var seen []prefix.Event
	newest := sequence
	first := sort.Search(len(e.events), func(i int) bool { return e.events[i].Sequence > sequence })
	for _, event := range e.events[first:] {
		if e.bench.loop.now.Sub(event.at) < lag {
			break
		}
		newest = event.Sequence
		if !event.lost {
			seen = append(seen, event.Event)
		}
	}
	return seen, newest
}
