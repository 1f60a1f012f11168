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
	// PolicyRandom places requests at random.
	PolicyRandom = "random"
	// PolicyRoundRobin places requests on the engines in turn.
	PolicyRoundRobin = "roundRobin"
	// PolicyTwoChoices takes the less loaded of two random engines, by delayed
	// load reports.
	PolicyTwoChoices = "twoChoices"
	// PolicyReserving is the policy of hickoryfront, which reserves capacity at
	// the homes of the engines.
	PolicyReserving = "reserving"
	// PolicyOracle is the reserving policy with undelayed, exact load and cache
	// information and a single router.
	PolicyOracle = "oracle"

	reportLag            = 200 * time.Millisecond
	faultReportLag       = 2 * time.Second
	eventLag             = 500 * time.Millisecond
	faultEventLoss       = 0.2
	heartbeatInterval    = 500 * time.Millisecond
	crashInterval        = 20 * time.Second // between crashes of an engine
	crashDuration        = 5 * time.Second  // downtime of a crashed engine
	suspicionDuration    = 2 * time.Second
	maxDrainDuration     = 10 * time.Minute // after the trace, until deferrable requests have finished
	snapshotInterval     = 2 * time.Second
	callerTimeoutTargets = 2           // callers give up after this many times the first-token target
	callerRetryDelay     = time.Second // before a caller retries a failed deferrable request
	maxAttempts          = 4
	indexLimit           = 1 << 16
)

type (
	// Run is the configuration of one run.
	Run struct {
		Deployment Deployment
		Policy     string
		Load       float64 // times capacity
		Routers    int
		Faults     bool
		LoseDomain bool // crash all engines of one failure domain during the middle third
		Length     time.Duration
		Seed       uint64
	}

	// crashable is an engine of either role.
	crashable interface {
		crash()
		baseNode() *node
	}

	// bench is the state of one run.
	bench struct {
		run            Run
		loop           *loop
		random         *rand.Rand
		prefills       [][]*prefillEngine // by pool
		decodes        [][]*decodeEngine  // by pool
		byID           map[string]*node
		routers        []*router
		homes          *homes
		requests       []*request
		openDeferrable int // number of unfinished deferrable requests
		traceEnd       time.Time
		result         Result
	}
)

// Policies returns the policies in the order of the report table.
func Policies() []string {
	return []string{PolicyRandom, PolicyRoundRobin, PolicyTwoChoices, PolicyReserving, PolicyOracle}
}

// Execute executes a run to completion and returns its result.
func Execute(r Run) Result {
	b := newBench(r)
	for _, request := range b.requests {
		b.loop.after(request.arrivedAt.Sub(epoch), func() { b.call(request) })
		if request.kind.Deferrable {
			b.openDeferrable++
		}
	}
	b.start()
	b.loop.runUntil(b.traceEnd.Add(maxDrainDuration), func() bool {
		return b.openDeferrable == 0 && b.loop.now.After(b.traceEnd.Add(callerTimeoutTargets*firstTokenTarget+2*time.Second))
	})
	b.result.count(b)
	return b.result
}

func (b *bench) oracle() bool { return b.run.Policy == PolicyOracle }

func (r Run) usesReservations() bool { return r.Policy == PolicyReserving || r.Policy == PolicyOracle }

func (r Run) eventLoss() float64 {
	if r.Faults {
		return faultEventLoss
	}
	return 0
}

func (b *bench) lag() time.Duration {
	switch {
	case b.oracle():
		return 0
	case b.run.Faults:
		return faultReportLag
	}
	return reportLag
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

// start schedules the periodic activities and the faults.
func (b *bench) start() {
	b.every(reportInterval, 0, b.report)
	b.every(b.run.homeInterval(), time.Millisecond, b.homes.refresh)
	for _, r := range b.routers {
		phase := time.Duration(b.random.Int64N(int64(heartbeatInterval)))
		r.refresh()
		b.every(heartbeatInterval, phase, r.refresh)
		b.every(placeInterval, phase%placeInterval, r.placeWaiting)
	}
	if b.run.Faults {
		b.every(crashInterval, crashInterval/2, b.crash)
	}
	if b.run.LoseDomain {
		b.loop.after(b.run.Length/3, b.loseDomain)
	}
}

// loseDomain crashes all engines of the first failure domain for a third of
// the trace.
func (b *bench) loseDomain() {
	for _, e := range b.allEngines() {
		if e.baseNode().server.FailureDomain == b.run.Deployment.Domains[0] {
			b.crashFor(e, b.run.Length/3)
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

// crash crashes a random engine for crashDuration, as long as the trace lasts.
func (b *bench) crash() {
	if b.loop.now.After(b.traceEnd) {
		return
	}
	allEngines := b.allEngines()
	// The random choice is seeded by the run and the time only, so that all
	// policies get the same faults.
	step := uint64(b.loop.now.Sub(epoch) / crashInterval)
	b.crashFor(allEngines[rand.New(rand.NewPCG(b.run.Seed, step)).IntN(len(allEngines))], crashDuration)
}

func (b *bench) crashFor(e crashable, d time.Duration) {
	n := e.baseNode()
	e.crash()
	b.homes.reset(n.server.ID)
	b.loop.after(d, func() { n.crashed = false })
}

// allEngines returns all engines, pool by pool.
func (b *bench) allEngines() []crashable {
	var allEngines []crashable
	for p := range b.prefills {
		for _, e := range b.prefills[p] {
			allEngines = append(allEngines, e)
		}
		for _, e := range b.decodes[p] {
			allEngines = append(allEngines, e)
		}
	}
	return allEngines
}

// recordToken counts a generated token and reports whether it was the last of
// the request.
func (b *bench) recordToken(r *request) bool {
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
		b.openDeferrable--
	}
}

// call makes a caller's first call for a request, or a retry after a refusal
// or a timeout.
func (b *bench) call(r *request) {
	r.callAt = b.loop.now
	r.attempts = 0
	r.gaveUp = false
	call := r.calls
	b.loop.after(b.callerTimeout(r), func() {
		if r.calls == call && r.tokens == 0 && !r.finished {
			b.giveUp(r)
		}
	})
	b.routers[r.router].arrive(r)
}

func (b *bench) callerTimeout(r *request) time.Duration {
	return callerTimeoutTargets * b.firstTokenLimit(r)
}

// firstTokenLimit returns the target of the first token. For a deferrable request
// it includes the maximum queue wait.
func (b *bench) firstTokenLimit(r *request) time.Duration {
	if r.kind.Deferrable {
		return b.run.Deployment.MaxWait + firstTokenTarget
	}
	return firstTokenTarget
}

func (b *bench) giveUp(r *request) {
	b.result.GaveUp++
	r.gaveUp = true
	b.routers[r.router].removeWaiting(r)
	if a := r.active; a != nil && a.stage != stageOver {
		b.end(a)
		b.routers[r.router].release(a)
	}
	b.retryCall(r, callerRetryDelay)
}

// refuse refuses a call immediately.
func (b *bench) refuse(r *request, retryAfter time.Duration) {
	b.result.Refused++
	r.refused = true
	b.retryCall(r, retryAfter)
}

// retryCall schedules a retry of a deferrable call. Callers of interactive
// requests don't retry.
func (b *bench) retryCall(r *request, wait time.Duration) {
	r.calls++ // invalidates the timeout of the previous call
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

// eventsAfter returns the cache events after a sequence number that are at least
// lag old and not lost, and the sequence number of the newest visible event.
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
