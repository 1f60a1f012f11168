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
	pumpInterval = 20 * time.Millisecond
	// reserveDelay is a round trip to a home.
	reserveDelay = 3 * time.Millisecond
	// replyDelay is the way of an engine's reply to the router and on.
	replyDelay = 3 * time.Millisecond
	queueLimit = 4096
	lifetime   = 10 * time.Minute
)

// router is one daemon: it sees loads late and places its own requests.
type router struct {
	bench   *bench
	index   int
	domain  string
	policy  placement.Policy
	view    map[string]backend.Load
	suspect map[string]time.Time
	queues  []*admission.Queue // by pool
	waiting map[string]*request
	costs   *admission.CostModel
	attempt int
	scratch []placement.Candidate
}

func newRouter(b *bench, index int) *router {
	domains := b.run.Deployment.Domains
	r := &router{
		bench: b, index: index, domain: domains[index%len(domains)], policy: b.newPolicy(index),
		view: map[string]backend.Load{}, suspect: map[string]time.Time{}, waiting: map[string]*request{},
		costs: admission.NewCostModel(),
	}
	for range b.run.Deployment.Pools {
		r.queues = append(r.queues, admission.NewQueue(queueLimit))
	}
	return r
}

// refresh takes in what heartbeats and reports bring.
func (r *router) refresh() {
	for p := range r.bench.prefills {
		for _, n := range r.bench.engines(p) {
			r.view[n.server.ID] = r.loadOf(n)
			r.suspect[n.server.ID] = time.Time{}
			if n.dead { // its report can't be read
				r.suspect[n.server.ID] = r.bench.loop.now.Add(suspectTime)
			}
		}
	}
}

func (r *router) loadOf(n *node) backend.Load {
	if r.bench.run.reserving() {
		return r.bench.homes.load(n.server)
	}
	return n.reported(r.bench.lag())
}

func (r *router) arrive(q *request) {
	if !r.bench.run.reserving() {
		r.placeBlind(q)
		return
	}
	ticket := r.ticket(q)
	err := r.queues[q.pool].Offer(r.bench.loop.now, ticket)
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		r.bench.refuse(q, refusal.RetryAfter)
		return
	}
	r.waiting[ticket.ID] = q
	r.pumpPool(q.pool)
}

func (r *router) ticket(q *request) admission.Entry {
	wait := interactiveWait
	if q.kind.Deferrable {
		wait = r.bench.run.Deployment.MaxWait
	}
	cost := r.costs.Cost(q.kind.Name)
	if r.bench.oracle() {
		cost = float64(q.output) * 0.025
	}
	return admission.Entry{
		ID: strconv.Itoa(q.id), Workspace: strconv.Itoa(q.workspace), Share: 1, Deferrable: q.kind.Deferrable,
		Cost: cost, ArrivedAt: q.callAt, AgeAfter: r.bench.run.Deployment.AgeAfter, Deadline: q.callAt.Add(wait),
	}
}

// pump places waiting requests and refuses those whose time is over.
func (r *router) pump() {
	for p, queue := range r.queues {
		if queue.Len() == 0 {
			continue
		}
		for _, t := range queue.Expire(r.bench.loop.now) {
			q := r.waiting[t.ID]
			delete(r.waiting, t.ID)
			r.bench.refuse(q, queue.RetryAfter(r.bench.loop.now, t))
		}
		r.pumpPool(p)
	}
}

func (r *router) pumpPool(pool int) {
	for r.placeNext(pool) {
	}
}

// placeNext places the request whose turn it is, or, when no server takes it,
// the next one of the other class.
func (r *router) placeNext(pool int) bool {
	queue := r.queues[pool]
	now := r.bench.loop.now
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

func (r *router) tryPlace(queue *admission.Queue, t admission.Entry) bool {
	if !r.place(r.waiting[t.ID], t) {
		return false
	}
	queue.Dequeue(r.bench.loop.now, t.ID)
	delete(r.waiting, t.ID)
	return true
}

// forget drops a request that waits.
func (r *router) forget(q *request) {
	id := strconv.Itoa(q.id)
	r.queues[q.pool].Remove(id)
	delete(r.waiting, id)
}

// candidates returns the engines of the request's pool with one of the roles.
func (r *router) candidates(q *request, role backend.Role) []placement.Candidate {
	now := r.bench.loop.now
	for _, n := range r.bench.engines(q.pool) {
		if n.server.Role != role || now.Before(r.suspect[n.server.ID]) || r.bench.oracle() && n.dead {
			continue
		}
		load := r.view[n.server.ID]
		if r.bench.oracle() {
			load = r.bench.homes.load(n.server)
		}
		c := placement.Candidate{Server: n.server, Load: load}
		if role == backend.RolePrefill && r.bench.run.reserving() {
			c.CachedTokens = r.bench.homes.hit(r.bench.prefillByID(q.pool, n.server.ID), q)
		}
		r.scratch = append(r.scratch, c)
	}
	return r.scratch
}

func (r *router) plan(q *request, candidates []placement.Candidate) placement.Plan {
	d := r.bench.run.Deployment
	return r.policy.Plan(r.bench.loop.now, placement.Request{
		FailureDomain: r.domain, PromptTokens: q.prompt + q.tokens, MaxTokens: q.output, KVBytes: int64(q.prompt+q.tokens) * kvBytesPerToken, PrefixHashes: q.hashes,
		ArrivedAt: q.callAt, Deadline: r.deadline(q), Deferrable: q.kind.Deferrable,
		TokenGap: tokenGapTarget, DirectPrompt: d.DirectPrompt, GoodputWeight: d.GoodputWeight, WasteWeight: d.WasteWeight,
	}, candidates)
}

// deadline is the time by which a token is due. A request that lost its server
// is due from then on: it was accepted and has to be answered.
func (r *router) deadline(q *request) time.Time {
	if q.attempts > 0 {
		return r.bench.loop.now.Add(firstTokenTarget)
	}
	return q.callAt.Add(r.bench.firstTokenLimit(q))
}

// place reserves a decode slot and a prefill and starts the request. It
// reports whether the request has left the queue.
func (r *router) place(q *request, t admission.Entry) bool {
	r.scratch = r.scratch[:0]
	a := r.newAttempt(q)
	delay, ok := r.reserveDecode(a, r.plan(q, r.candidates(q, backend.RoleDecode)).Decode)
	if !ok {
		return false
	}
	r.scratch = append(r.scratch[:0], placement.Candidate{Server: a.decode.server, Load: r.view[a.decode.server.ID]})
	plan := r.plan(q, r.candidates(q, backend.RolePrefill))
	if plan.Direct {
		r.bench.loop.after(delay, func() { r.startDecode(a) })
		return true
	}
	more, ok := r.reservePrefill(a, plan)
	if !ok {
		r.bench.homes.slots.Release(r.bench.loop.now, a.decode.server.ID, a.id)
		return false
	}
	r.bench.loop.after(delay+more, func() { r.startPrefill(a) })
	return true
}

func (r *router) newAttempt(q *request) *attempt {
	r.attempt++
	a := &attempt{request: q, id: strconv.Itoa(r.index) + "." + strconv.Itoa(r.attempt), prompt: q.prompt + q.tokens}
	a.failed = func(err error) { r.failed(a, err) }
	a.done = func() { r.finished(a) }
	a.ready = func() { r.prefilled(a) }
	return a
}

func (r *router) reserveDecode(a *attempt, servers []backend.Server) (time.Duration, bool) {
	var delay time.Duration
	for _, server := range servers {
		delay += r.reserveDelay()
		err := r.bench.homes.slots.Reserve(r.bench.loop.now, server.ID, slot.Reservation{
			RequestID: a.id, Holder: r.holder(), Deadline: r.bench.loop.now.Add(lifetime), Deferrable: a.deferrable(),
			Aged: r.ticket(a.request).IsAged(r.bench.loop.now), Lead: time.Duration(float64(a.prompt) / prefillRate * float64(time.Second)), Overcommit: r.overcommit(),
		})
		r.view[server.ID] = r.bench.homes.load(server)
		if err == nil {
			a.decode = r.bench.decodeByID(a.request.pool, server.ID)
			return delay, true
		}
	}
	return delay, false
}

func (r *router) overcommit() float64 {
	d := r.bench.run.Deployment
	return placement.Request{GoodputWeight: d.GoodputWeight, WasteWeight: d.WasteWeight}.Overcommit()
}

func (r *router) reservePrefill(a *attempt, plan placement.Plan) (time.Duration, bool) {
	var delay time.Duration
	for i, server := range plan.Prefill {
		delay += r.reserveDelay()
		_, err := r.bench.homes.queues.Reserve(r.bench.loop.now, server.ID, slot.Prefill{
			RequestID: a.id, Holder: r.holder(), Work: plan.Work[i].Compute, Transfer: plan.Work[i].Transfer, Deferrable: a.deferrable(),
			MaxBacklog: plan.Work[i].MaxBacklog,
		})
		r.view[server.ID] = r.bench.homes.load(server)
		if err == nil {
			a.prefill = r.bench.prefillByID(a.request.pool, server.ID)
			return delay, true
		}
	}
	return delay, false
}

func (r *router) reserveDelay() time.Duration {
	if r.bench.oracle() || len(r.bench.routers) == 1 {
		return 0
	}
	return reserveDelay
}

func (r *router) holder() slot.Holder {
	return slot.Holder{Host: strconv.Itoa(r.index)}
}

// placeBlind sends a request to engines without asking homes.
func (r *router) placeBlind(q *request) {
	r.scratch = r.scratch[:0]
	r.candidates(q, backend.RoleDecode)
	plan := r.plan(q, r.candidates(q, backend.RolePrefill))
	if len(plan.Decode) == 0 || len(plan.Prefill) == 0 {
		r.bench.refuse(q, recallDelay)
		return
	}
	a := r.newAttempt(q)
	a.decode = r.bench.decodeByID(q.pool, plan.Decode[0].ID)
	a.prefill = r.bench.prefillByID(q.pool, plan.Prefill[0].ID)
	r.startPrefill(a)
}

func (r *router) startPrefill(a *attempt) {
	if a.stage == stageOver {
		return
	}
	if a.request.gaveUp {
		r.release(a)
		return
	}
	a.request.active = a
	a.prefill.enqueue(a)
}

func (r *router) prefilled(a *attempt) {
	if r.bench.run.reserving() {
		r.bench.homes.queues.Release(r.bench.loop.now, a.prefill.server.ID, a.id)
	}
	r.bench.loop.after(replyDelay, func() { r.startDecode(a) })
}

func (r *router) startDecode(a *attempt) {
	if a.stage == stageOver {
		return
	}
	if a.request.gaveUp {
		r.bench.end(a)
		r.release(a)
		return
	}
	a.request.active = a
	a.decode.submit(a)
}

func (r *router) finished(a *attempt) {
	now := r.bench.loop.now
	r.costs.Observe(a.request.kind.Name, now.Sub(a.request.firstAt))
	if r.bench.run.reserving() {
		r.bench.homes.slots.Release(now, a.decode.server.ID, a.id)
		r.pumpPool(a.request.pool)
	}
}

// release gives back what an attempt holds at the homes.
func (r *router) release(a *attempt) {
	if !r.bench.run.reserving() {
		return
	}
	if a.prefill != nil {
		r.bench.homes.queues.Release(r.bench.loop.now, a.prefill.server.ID, a.id)
	}
	r.bench.homes.slots.Release(r.bench.loop.now, a.decode.server.ID, a.id)
}

// failed tries again elsewhere, as long as attempts are left.
func (r *router) failed(a *attempt, err error) {
	now := r.bench.loop.now
	r.release(a)
	if errors.Is(err, errTransfer) {
		r.suspect[a.decode.server.ID] = now.Add(suspectTime)
		if r.fetchElsewhere(a) {
			return
		}
		r.bench.end(a)
	}
	if errors.Is(err, errEngineDead) {
		for _, n := range r.nodes(a) {
			if n.dead {
				r.suspect[n.server.ID] = now.Add(suspectTime)
			}
		}
	}
	q := a.request
	q.attempts++
	if q.gaveUp || q.finished {
		return
	}
	if q.attempts >= maxAttempts {
		r.bench.refuse(q, recallDelay)
		return
	}
	r.again(q)
}

// fetchElsewhere hands an attempt whose KV cache is still there to another
// decode engine. The baselines prefill again.
func (r *router) fetchElsewhere(a *attempt) bool {
	if !r.bench.run.reserving() || a.request.gaveUp {
		return false
	}
	r.scratch = r.scratch[:0]
	delay, ok := r.reserveDecode(a, r.plan(a.request, r.candidates(a.request, backend.RoleDecode)).Decode)
	if ok {
		r.bench.loop.after(delay, func() { r.startDecode(a) })
	}
	return ok
}

func (r *router) nodes(a *attempt) []*node {
	nodes := []*node{&a.decode.node}
	if a.prefill != nil {
		nodes = append(nodes, &a.prefill.node)
	}
	return nodes
}

// again places a request that was admitted before.
func (r *router) again(q *request) {
	if !r.bench.run.reserving() {
		r.placeBlind(q)
		return
	}
	t := r.ticket(q)
	if r.place(q, t) {
		return
	}
	t.Deadline = r.bench.loop.now.Add(r.bench.run.Deployment.MaxWait)
	r.queues[q.pool].Reinsert(r.bench.loop.now, t)
	r.waiting[t.ID] = q
}
