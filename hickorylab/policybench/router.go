package policybench

import (
	"errors"
	"strconv"
	"time"

	"github.com/hickoryfront/hickoryfront/core/admission"
	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/core/slot"
)

const (
	placeInterval = 20 * time.Millisecond
	// reserveDelay is the round-trip time of a reservation at a home.
	reserveDelay = 3 * time.Millisecond
	// replyDelay is the time from the end of a prefill until the router's request
	// reaches the decode engine.
	replyDelay          = 3 * time.Millisecond
	queueLimit          = 4096
	reservationLifetime = 10 * time.Minute
)

// router models one daemon. It receives load reports with a delay and places the
// requests of its own callers.
type router struct {
	sim             *simulation
	index           int
	domain          string
	policy          placement.Policy
	loads           map[string]backend.Load
	suspectUntil    map[string]time.Time
	queues          []*admission.Queue // by pool
	waiting         map[string]*request
	costs           *admission.CostModel
	attemptCount    int
	candidateBuffer []placement.Candidate
}

func newRouter(s *simulation, index int) *router {
	domains := s.run.Deployment.Domains
	r := &router{
		sim: s, index: index, domain: domains[index%len(domains)], policy: s.newPolicy(index),
		loads: map[string]backend.Load{}, suspectUntil: map[string]time.Time{}, waiting: map[string]*request{},
		costs: admission.NewCostModel(),
	}
	for range s.run.Deployment.Pools {
		r.queues = append(r.queues, admission.NewQueue(queueLimit))
	}
	return r
}

// refresh updates the loads and suspicions from heartbeats and load reports.
func (r *router) refresh() {
	for p := range r.sim.prefills {
		for _, e := range r.sim.engines(p) {
			r.loads[e.server.ID] = r.loadOf(e)
			r.suspectUntil[e.server.ID] = time.Time{}
			if e.crashed { // a crashed engine sends no load report
				r.suspectUntil[e.server.ID] = r.sim.loop.now.Add(suspicionDuration)
			}
		}
	}
}

func (r *router) loadOf(e *baseEngine) backend.Load {
	if r.sim.run.usesReservations() {
		return r.sim.homes.load(e.server)
	}
	return e.reportedLoad(r.sim.lag())
}

func (r *router) arrive(q *request) {
	if !r.sim.run.usesReservations() {
		r.placeUnreserved(q)
		return
	}
	entry := r.entry(q)
	err := r.queues[q.pool].Offer(r.sim.loop.now, entry)
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		r.sim.refuse(q, refusal.RetryAfter)
		return
	}
	r.waiting[entry.ID] = q
	r.placeWaitingInPool(q.pool)
}

func (r *router) entry(q *request) admission.Entry {
	wait := interactiveWait
	if q.kind.Deferrable {
		wait = r.sim.run.Deployment.MaxWait
	}
	cost := r.costs.Cost(q.kind.Name)
	if r.sim.oracle() {
		cost = float64(q.output) * 0.025 // seconds that the request holds a slot, at 25 ms per generated token
	}
	return admission.Entry{
		ID: strconv.Itoa(q.id), Workspace: strconv.Itoa(q.workspace), Share: 1, Deferrable: q.kind.Deferrable,
		Cost: cost, ArrivedAt: q.callAt, AgeAfter: r.sim.run.Deployment.AgeAfter, StartDeadline: q.callAt.Add(wait),
	}
}

// placeWaiting refuses the waiting requests whose deadlines have passed and places
// the others as capacity allows.
func (r *router) placeWaiting() {
	for p, queue := range r.queues {
		if queue.Len() == 0 {
			continue
		}
		for _, entry := range queue.Expire(r.sim.loop.now) {
			q := r.waiting[entry.ID]
			delete(r.waiting, entry.ID)
			r.sim.refuse(q, queue.RetryAfter(r.sim.loop.now, entry))
		}
		r.placeWaitingInPool(p)
	}
}

func (r *router) placeWaitingInPool(pool int) {
	for r.placeNext(pool) {
	}
}

// placeNext places the request at the head of the queue. If no server has capacity
// for it, placeNext tries the head of the other class, deferrable or interactive.
func (r *router) placeNext(pool int) bool {
	queue := r.queues[pool]
	now := r.sim.loop.now
	first, ok := queue.Head(now)
	if !ok {
		return false
	}
	if r.tryPlace(queue, first) {
		return true
	}
	other, ok := queue.HeadOf(now, !first.Deferrable)
	return ok && r.tryPlace(queue, other)
}

func (r *router) tryPlace(queue *admission.Queue, entry admission.Entry) bool {
	if !r.place(r.waiting[entry.ID], entry) {
		return false
	}
	queue.Dequeue(r.sim.loop.now, entry.ID)
	delete(r.waiting, entry.ID)
	return true
}

// removeWaiting removes a request from the queue.
func (r *router) removeWaiting(q *request) {
	id := strconv.Itoa(q.id)
	r.queues[q.pool].Remove(id)
	delete(r.waiting, id)
}

// candidates appends the available engines of the request's pool that have the
// given role to the candidate buffer and returns the buffer.
func (r *router) candidates(q *request, role backend.Role) []placement.Candidate {
	now := r.sim.loop.now
	for _, e := range r.sim.engines(q.pool) {
		if e.server.Role != role || now.Before(r.suspectUntil[e.server.ID]) || r.sim.oracle() && e.crashed {
			continue
		}
		load := r.loads[e.server.ID]
		if r.sim.oracle() {
			load = r.sim.homes.load(e.server)
		}
		c := placement.Candidate{Server: e.server, Load: load}
		if role == backend.RolePrefill && r.sim.run.usesReservations() {
			c.CachedTokens = r.sim.homes.cachedTokens(r.sim.prefillByID(q.pool, e.server.ID), q)
		}
		r.candidateBuffer = append(r.candidateBuffer, c)
	}
	return r.candidateBuffer
}

func (r *router) plan(q *request, candidates []placement.Candidate) placement.Plan {
	d := r.sim.run.Deployment
	return r.policy.Plan(r.sim.loop.now, placement.Request{
		FailureDomain: r.domain, PromptTokens: q.prompt + q.tokens, MaxTokens: q.output, KVBytes: int64(q.prompt+q.tokens) * kvBytesPerToken, PrefixHashes: q.hashes,
		ArrivedAt: q.callAt, FirstTokenDeadline: r.deadline(q), Deferrable: q.kind.Deferrable,
		TokenGapTarget: tokenGapTarget, DirectPrompt: d.DirectPrompt, GoodputWeight: d.GoodputWeight, WasteWeight: d.WasteWeight,
	}, candidates)
}

// deadline returns the time by which the next token is due. After a failed attempt
// the target starts again from the current time, since an accepted request must be
// completed.
func (r *router) deadline(q *request) time.Time {
	if q.attempts > 0 {
		return r.sim.loop.now.Add(firstTokenTarget)
	}
	return q.callAt.Add(r.sim.firstTokenLimit(q))
}

// place reserves a decode slot and a prefill and starts the request. It returns
// false if a reservation fails and the request has to stay in the queue.
func (r *router) place(q *request, entry admission.Entry) bool {
	r.candidateBuffer = r.candidateBuffer[:0]
	a := r.newAttempt(q)
	delay, ok := r.reserveDecode(a, r.plan(q, r.candidates(q, backend.RoleDecode)).Decode)
	if !ok {
		return false
	}
	r.candidateBuffer = append(r.candidateBuffer[:0], placement.Candidate{Server: a.decode.server, Load: r.loads[a.decode.server.ID]})
	plan := r.plan(q, r.candidates(q, backend.RolePrefill))
	if plan.Direct {
		r.sim.loop.after(delay, func() { r.startDecode(a) })
		return true
	}
	prefillDelay, ok := r.reservePrefill(a, plan)
	if !ok {
		r.sim.homes.slots.Release(r.sim.loop.now, a.decode.server.ID, a.id)
		return false
	}
	r.sim.loop.after(delay+prefillDelay, func() { r.startPrefill(a) })
	return true
}

func (r *router) newAttempt(q *request) *attempt {
	r.attemptCount++
	a := &attempt{request: q, id: strconv.Itoa(r.index) + "." + strconv.Itoa(r.attemptCount), prompt: q.prompt + q.tokens}
	a.onFailure = func(err error) { r.onFailure(a, err) }
	a.onDone = func() { r.onDone(a) }
	a.onPrefilled = func() { r.onPrefilled(a) }
	return a
}

func (r *router) reserveDecode(a *attempt, servers []backend.Server) (time.Duration, bool) {
	var delay time.Duration
	for _, server := range servers {
		delay += r.reserveDelay()
		err := r.sim.homes.slots.Reserve(r.sim.loop.now, server.ID, slot.Reservation{
			AttemptID: a.id, Holder: r.holder(), Deadline: r.sim.loop.now.Add(reservationLifetime), Deferrable: a.deferrable(),
			Aged: r.entry(a.request).IsAged(r.sim.loop.now), Lead: time.Duration(float64(a.prompt) / prefillRate * float64(time.Second)), Overcommit: r.overcommit(),
		})
		r.loads[server.ID] = r.sim.homes.load(server)
		if err == nil {
			a.decode = r.sim.decodeByID(a.request.pool, server.ID)
			return delay, true
		}
	}
	return delay, false
}

func (r *router) overcommit() float64 {
	d := r.sim.run.Deployment
	return placement.Request{GoodputWeight: d.GoodputWeight, WasteWeight: d.WasteWeight}.Overcommit()
}

func (r *router) reservePrefill(a *attempt, plan placement.Plan) (time.Duration, bool) {
	var delay time.Duration
	for i, server := range plan.Prefill {
		delay += r.reserveDelay()
		_, err := r.sim.homes.queues.Reserve(r.sim.loop.now, server.ID, slot.Prefill{
			AttemptID: a.id, Holder: r.holder(), Work: plan.Work[i].Compute, Transfer: plan.Work[i].Transfer, Deferrable: a.deferrable(),
			MaxBacklog: plan.Work[i].MaxBacklog,
		})
		r.loads[server.ID] = r.sim.homes.load(server)
		if err == nil {
			a.prefill = r.sim.prefillByID(a.request.pool, server.ID)
			return delay, true
		}
	}
	return delay, false
}

func (r *router) reserveDelay() time.Duration {
	if r.sim.oracle() || len(r.sim.routers) == 1 {
		return 0
	}
	return reserveDelay
}

func (r *router) holder() slot.Holder {
	return slot.Holder{Host: strconv.Itoa(r.index)}
}

// placeUnreserved sends a request to engines without reservations.
func (r *router) placeUnreserved(q *request) {
	r.candidateBuffer = r.candidateBuffer[:0]
	r.candidates(q, backend.RoleDecode)
	plan := r.plan(q, r.candidates(q, backend.RolePrefill))
	if len(plan.Decode) == 0 || len(plan.Prefill) == 0 {
		r.sim.refuse(q, callerRetryDelay)
		return
	}
	a := r.newAttempt(q)
	a.decode = r.sim.decodeByID(q.pool, plan.Decode[0].ID)
	a.prefill = r.sim.prefillByID(q.pool, plan.Prefill[0].ID)
	r.startPrefill(a)
}

func (r *router) startPrefill(a *attempt) {
	if a.stage == stageEnded {
		return
	}
	if a.request.gaveUp {
		r.release(a)
		return
	}
	a.request.active = a
	a.prefill.enqueue(a)
}

func (r *router) onPrefilled(a *attempt) {
	if r.sim.run.usesReservations() {
		r.sim.homes.queues.Release(r.sim.loop.now, a.prefill.server.ID, a.id)
	}
	r.sim.loop.after(replyDelay, func() { r.startDecode(a) })
}

func (r *router) startDecode(a *attempt) {
	if a.stage == stageEnded {
		return
	}
	if a.request.gaveUp {
		r.sim.end(a)
		r.release(a)
		return
	}
	a.request.active = a
	a.decode.submit(a)
}

func (r *router) onDone(a *attempt) {
	now := r.sim.loop.now
	r.costs.Observe(a.request.kind.Name, now.Sub(a.request.firstAt))
	if r.sim.run.usesReservations() {
		r.sim.homes.slots.Release(now, a.decode.server.ID, a.id)
		r.placeWaitingInPool(a.request.pool)
	}
}

// release releases the reservations of an attempt at the homes.
func (r *router) release(a *attempt) {
	if !r.sim.run.usesReservations() {
		return
	}
	if a.prefill != nil {
		r.sim.homes.queues.Release(r.sim.loop.now, a.prefill.server.ID, a.id)
	}
	r.sim.homes.slots.Release(r.sim.loop.now, a.decode.server.ID, a.id)
}

// onFailure reschedules the request of a failed attempt on other engines, up to
// maxAttempts attempts.
func (r *router) onFailure(a *attempt, err error) {
	now := r.sim.loop.now
	r.release(a)
	if errors.Is(err, errTransfer) {
		r.suspectUntil[a.decode.server.ID] = now.Add(suspicionDuration)
		if r.retryDecode(a) {
			return
		}
		r.sim.end(a)
	}
	if errors.Is(err, errEngineCrashed) {
		for _, e := range r.enginesOf(a) {
			if e.crashed {
				r.suspectUntil[e.server.ID] = now.Add(suspicionDuration)
			}
		}
	}
	q := a.request
	q.attempts++
	if q.gaveUp || q.finished {
		return
	}
	if q.attempts >= maxAttempts {
		r.sim.refuse(q, callerRetryDelay)
		return
	}
	r.reschedule(q)
}

// retryDecode moves an attempt whose KV cache can still be fetched to another decode
// engine. Policies without reservations repeat the prefill instead.
func (r *router) retryDecode(a *attempt) bool {
	if !r.sim.run.usesReservations() || a.request.gaveUp {
		return false
	}
	r.candidateBuffer = r.candidateBuffer[:0]
	delay, ok := r.reserveDecode(a, r.plan(a.request, r.candidates(a.request, backend.RoleDecode)).Decode)
	if ok {
		r.sim.loop.after(delay, func() { r.startDecode(a) })
	}
	return ok
}

func (r *router) enginesOf(a *attempt) []*baseEngine {
	engines := []*baseEngine{&a.decode.baseEngine}
	if a.prefill != nil {
		engines = append(engines, &a.prefill.baseEngine)
	}
	return engines
}

// reschedule places an already admitted request again, or puts it back into the
// queue.
func (r *router) reschedule(q *request) {
	if !r.sim.run.usesReservations() {
		r.placeUnreserved(q)
		return
	}
	entry := r.entry(q)
	if r.place(q, entry) {
		return
	}
	entry.StartDeadline = r.sim.loop.now.Add(r.sim.run.Deployment.MaxWait)
	r.queues[q.pool].Reinsert(r.sim.loop.now, entry)
	r.waiting[entry.ID] = q
}
