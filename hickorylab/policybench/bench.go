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

	reportLag           = 200 * time.Millisecond
	faultReportLag      = 2 * time.Second
	eventLag            = 500 * time.Millisecond
	faultEventLoss      = 0.2
	heartbeatInterval   = 500 * time.Millisecond
	crashInterval       = 20 * time.Second // between crashes of an engine
	crashDuration       = 5 * time.Second  // downtime of a crashed engine
	suspicionDuration   = 2 * time.Second
	maxDrainDuration    = 10 * time.Minute // after the trace, until deferrable requests have finished
	snapshotInterval    = 2 * time.Second
	callerTimeoutFactor = 2           // callers give up after this many times the first-token target
	callerRetryDelay    = time.Second // before a caller retries a failed deferrable request
	maxAttempts         = 4
	indexLimit          = 1 << 16 // sampled blocks of each engine in the homes' prefix index
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
		base() *baseEngine
	}

	// simulation is the state of one run.
	simulation struct {
		run            Run
		loop           *loop
		random         *rand.Rand
		prefills       [][]*prefillEngine // by pool
		decodes        [][]*decodeEngine  // by pool
		byID           map[string]*baseEngine
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
	s := newSimulation(r)
	for _, request := range s.requests {
		s.loop.after(request.arrivedAt.Sub(epoch), func() { s.call(request) })
		if request.kind.Deferrable {
			s.openDeferrable++
		}
	}
	s.start()
	s.loop.runUntil(s.traceEnd.Add(maxDrainDuration), func() bool {
		return s.openDeferrable == 0 && s.loop.now.After(s.traceEnd.Add(callerTimeoutFactor*firstTokenTarget+2*time.Second))
	})
	s.result.count(s)
	return s.result
}

func (s *simulation) oracle() bool { return s.run.Policy == PolicyOracle }

func (r Run) usesReservations() bool { return r.Policy == PolicyReserving || r.Policy == PolicyOracle }

func (r Run) eventLoss() float64 {
	if r.Faults {
		return faultEventLoss
	}
	return 0
}

func (s *simulation) lag() time.Duration {
	switch {
	case s.oracle():
		return 0
	case s.run.Faults:
		return faultReportLag
	}
	return reportLag
}

func newSimulation(r Run) *simulation {
	routers := r.Routers
	if r.Policy == PolicyOracle {
		routers = 1
	}
	s := &simulation{
		run: r, loop: newLoop(), random: rand.New(rand.NewPCG(r.Seed, 1)), byID: map[string]*baseEngine{},
		requests: r.Deployment.trace(r.Load, r.Length, r.Routers, rand.New(rand.NewPCG(r.Seed, 2))),
		traceEnd: epoch.Add(r.Length),
	}
	s.result.Run = r
	s.homes = newHomes(s)
	for p, pool := range r.Deployment.Pools {
		s.addPool(p, pool)
	}
	for i := range routers {
		s.routers = append(s.routers, newRouter(s, i))
	}
	for _, request := range s.requests {
		request.router %= routers
	}
	return s
}

func (s *simulation) addPool(p int, pool Pool) {
	var prefills []*prefillEngine
	var decodes []*decodeEngine
	for i := range pool.Prefill {
		e := &prefillEngine{baseEngine: s.newBaseEngine(p, i, backend.RolePrefill, pool.Model)}
		e.newCache()
		prefills = append(prefills, e)
		s.byID[e.server.ID] = &e.baseEngine
		s.homes.track(e.server)
	}
	for i := range pool.Decode {
		e := &decodeEngine{baseEngine: s.newBaseEngine(p, i, backend.RoleDecode, pool.Model)}
		decodes = append(decodes, e)
		s.byID[e.server.ID] = &e.baseEngine
		s.homes.track(e.server)
	}
	s.prefills = append(s.prefills, prefills)
	s.decodes = append(s.decodes, decodes)
}

func (s *simulation) newBaseEngine(pool, index int, role backend.Role, model string) baseEngine {
	domains := s.run.Deployment.Domains
	return baseEngine{sim: s, index: index, server: backend.Server{
		ID: fmt.Sprintf("%s-%s-%d", model, role, index), Role: role, Model: model, State: backend.StateLive,
		FailureDomain: domains[(index+pool)%len(domains)], Slots: slotsPerEngine,
	}}
}

// start schedules the periodic activities and the faults.
func (s *simulation) start() {
	s.every(reportInterval, 0, s.report)
	s.every(s.run.homeInterval(), time.Millisecond, s.homes.refresh)
	for _, r := range s.routers {
		phase := time.Duration(s.random.Int64N(int64(heartbeatInterval)))
		r.refresh()
		s.every(heartbeatInterval, phase, r.refresh)
		s.every(placeInterval, phase%placeInterval, r.placeWaiting)
	}
	if s.run.Faults {
		s.every(crashInterval, crashInterval/2, s.crash)
	}
	if s.run.LoseDomain {
		s.loop.after(s.run.Length/3, s.loseDomain)
	}
}

// loseDomain crashes all engines of the first failure domain for a third of
// the trace.
func (s *simulation) loseDomain() {
	for _, e := range s.allEngines() {
		if e.base().server.FailureDomain == s.run.Deployment.Domains[0] {
			s.crashFor(e, s.run.Length/3)
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

func (s *simulation) every(interval, phase time.Duration, run func()) {
	s.loop.after(phase, func() {
		run()
		s.every(interval, interval, run)
	})
}

func (s *simulation) report() {
	for p := range s.prefills {
		for _, e := range s.prefills[p] {
			e.report(e.load())
		}
		for _, e := range s.decodes[p] {
			e.report(e.load())
		}
	}
}

// crash crashes a random engine for crashDuration, as long as the trace lasts.
func (s *simulation) crash() {
	if s.loop.now.After(s.traceEnd) {
		return
	}
	allEngines := s.allEngines()
	// The random choice is seeded by the run and the time only, so that all
	// policies get the same faults.
	step := uint64(s.loop.now.Sub(epoch) / crashInterval)
	s.crashFor(allEngines[rand.New(rand.NewPCG(s.run.Seed, step)).IntN(len(allEngines))], crashDuration)
}

func (s *simulation) crashFor(e crashable, d time.Duration) {
	base := e.base()
	e.crash()
	s.homes.reset(base.server.ID)
	s.loop.after(d, func() { base.crashed = false })
}

// allEngines returns all engines, pool by pool.
func (s *simulation) allEngines() []crashable {
	var allEngines []crashable
	for p := range s.prefills {
		for _, e := range s.prefills[p] {
			allEngines = append(allEngines, e)
		}
		for _, e := range s.decodes[p] {
			allEngines = append(allEngines, e)
		}
	}
	return allEngines
}

// recordToken counts a generated token and reports whether it was the last of
// the request.
func (s *simulation) recordToken(r *request) bool {
	now := s.loop.now
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
	s.finish(r)
	return true
}

func (s *simulation) finish(r *request) {
	r.finished = true
	if r.kind.Deferrable {
		s.openDeferrable--
	}
}

// call makes a caller's first call for a request, or a retry after a refusal
// or a timeout.
func (s *simulation) call(r *request) {
	r.callAt = s.loop.now
	r.attempts = 0
	r.gaveUp = false
	call := r.calls
	s.loop.after(s.callerTimeout(r), func() {
		if r.calls == call && r.tokens == 0 && !r.finished {
			s.giveUp(r)
		}
	})
	s.routers[r.router].arrive(r)
}

func (s *simulation) callerTimeout(r *request) time.Duration {
	return callerTimeoutFactor * s.firstTokenLimit(r)
}

// firstTokenLimit returns the target of the first token. For a deferrable request
// it includes the maximum queue wait.
func (s *simulation) firstTokenLimit(r *request) time.Duration {
	if r.kind.Deferrable {
		return s.run.Deployment.MaxWait + firstTokenTarget
	}
	return firstTokenTarget
}

func (s *simulation) giveUp(r *request) {
	s.result.GaveUp++
	r.gaveUp = true
	s.routers[r.router].removeWaiting(r)
	if a := r.active; a != nil && a.stage != stageEnded {
		s.end(a)
		s.routers[r.router].release(a)
	}
	s.retryCall(r, callerRetryDelay)
}

// refuse refuses a call immediately.
func (s *simulation) refuse(r *request, retryAfter time.Duration) {
	s.result.Refused++
	r.refused = true
	s.retryCall(r, retryAfter)
}

// retryCall schedules a retry of a deferrable call. Callers of interactive
// requests don't retry.
func (s *simulation) retryCall(r *request, wait time.Duration) {
	r.calls++ // invalidates the timeout of the previous call
	if !r.kind.Deferrable {
		return
	}
	jitter := 1 + 0.2*s.random.Float64()
	s.loop.after(time.Duration(float64(wait)*jitter), func() { s.call(r) })
}

// newPolicy returns the placement policy of one router.
func (s *simulation) newPolicy(router int) placement.Policy {
	random := rand.New(rand.NewPCG(s.run.Seed, uint64(100+router)))
	switch s.run.Policy {
	case PolicyRandom:
		return placement.NewRandom(random)
	case PolicyRoundRobin:
		return &placement.RoundRobin{}
	case PolicyTwoChoices:
		return placement.NewTwoChoices(random)
	}
	return placement.NewReserving(placement.Options{LinkRate: linkRate}, random.Float64)
}

func (s *simulation) engines(pool int) []*baseEngine {
	engines := make([]*baseEngine, 0, len(s.prefills[pool])+len(s.decodes[pool]))
	for _, e := range s.prefills[pool] {
		engines = append(engines, &e.baseEngine)
	}
	for _, e := range s.decodes[pool] {
		engines = append(engines, &e.baseEngine)
	}
	return engines
}

func (s *simulation) prefillByID(pool int, id string) *prefillEngine {
	at := slices.IndexFunc(s.prefills[pool], func(e *prefillEngine) bool { return e.server.ID == id })
	return s.prefills[pool][at]
}

func (s *simulation) decodeByID(pool int, id string) *decodeEngine {
	at := slices.IndexFunc(s.decodes[pool], func(e *decodeEngine) bool { return e.server.ID == id })
	return s.decodes[pool][at]
}

// eventsAfter returns the cache events after a sequence number that are at least
// lag old and not lost, and the sequence number of the newest visible event.
func (e *prefillEngine) eventsAfter(sequence uint64, lag time.Duration) ([]prefix.Event, uint64) {
	var seen []prefix.Event
	newest := sequence
	first := sort.Search(len(e.events), func(i int) bool { return e.events[i].Sequence > sequence })
	for _, event := range e.events[first:] {
		if e.sim.loop.now.Sub(event.at) < lag {
			break
		}
		newest = event.Sequence
		if !event.lost {
			seen = append(seen, event.Event)
		}
	}
	return seen, newest
}
