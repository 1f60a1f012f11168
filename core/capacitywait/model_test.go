package capacitywait_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/hickoryfront/hickoryfront/core/capacitywait"
)

// The model runs the decisions of many hosts in virtual time: requests search for memory at servers
// that hold it while they run, and callers that are refused retry. It has no network, no prefill
// and no preemption, so its figures compare decisions and predict no deployment.

const (
	modelServers    = 40
	serverTokens    = 12_000
	serversSearched = 16
	skipFull        = 60 * time.Millisecond // as core/balance skips full servers
	callerTimeout   = 14 * time.Second
	burstLength     = 30 * time.Second
)

type (
	// kind is one kind of request. Requests per second are over all hosts.
	kind struct {
		priority  int
		target    time.Duration
		perSecond float64
		tokens    int
		// largeTokens is the size of a tenth of the requests, if it is not 0.
		largeTokens int
	}

	load struct {
		hosts    int
		kinds    []kind
		isRanked bool
	}

	// share is the shares of a kind's requests and of its large ones that were served, the share
	// of its value that was earned, and the reservation calls for each request.
	share struct{ served, value, large, calls float64 }

	modelHost struct {
		contention capacitywait.Contention
		line       capacitywait.Line
		skipUntil  [modelServers]time.Time
	}

	modelRequest struct {
		kind, tokens int
		isLarge      bool
		host         *modelHost
		wait         capacitywait.Request
		place        *capacitywait.Place
	}

	modelEvent struct {
		at time.Time
		do func(now time.Time)
	}

	eventHeap []modelEvent

	model struct {
		load
		random *rand.Rand
		events eventHeap
		free   [modelServers]int
		tally  []struct{ arrived, served, large, largeServed, value, calls float64 }
	}
)

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(modelEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// run returns the shares of each kind of a load.
func (l load) run(seed uint64) []share {
	m := &model{load: l, random: rand.New(rand.NewPCG(seed, 1))}
	m.tally = make([]struct{ arrived, served, large, largeServed, value, calls float64 }, len(l.kinds))
	hosts := make([]*modelHost, l.hosts)
	for i := range hosts {
		hosts[i] = &modelHost{}
		for _, k := range l.kinds {
			for range 40 {
				hosts[i].contention.Observe(start, k.priority, m.size(k))
			}
		}
	}
	for i := range m.free {
		m.free[i] = serverTokens
	}
	for i, k := range l.kinds {
		for at := time.Duration(0); at < burstLength; at += time.Duration(m.random.ExpFloat64() / k.perSecond * float64(time.Second)) {
			r := &modelRequest{kind: i, tokens: m.size(k), host: hosts[m.random.IntN(l.hosts)]}
			if r.isLarge = r.tokens == k.largeTokens; r.isLarge {
				m.tally[i].large++
			}
			m.tally[i].arrived++
			m.at(start.Add(at), func(now time.Time) { m.arrive(now, now, now.Add(callerTimeout), r) })
		}
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		e.do(e.at)
	}
	shares := make([]share, len(l.kinds))
	for i, t := range m.tally {
		shares[i] = share{served: t.served / t.arrived, value: t.value / t.arrived, large: t.largeServed / max(t.large, 1), calls: t.calls / t.arrived}
	}
	return shares
}

// size draws the tokens of a request.
func (m *model) size(k kind) int {
	if k.largeTokens > 0 && m.random.IntN(10) == 0 {
		return k.largeTokens
	}
	return k.tokens
}

func (m *model) at(at time.Time, do func(now time.Time)) {
	heap.Push(&m.events, modelEvent{at, do})
}

func (m *model) arrive(now, first, deadline time.Time, r *modelRequest) {
	k := m.kinds[r.kind]
	r.wait = capacitywait.Request{
		FirstArrived: first, Arrived: now, Deadline: deadline, LatencyTarget: k.target, Jitter: m.random.Float64(),
		IsRanked: m.isRanked, Rank: r.host.contention.Rank(now, k.priority), Lot: m.random.Float64(),
	}
	r.place = &capacitywait.Place{Priority: k.priority, IsReturn: first.Before(now), Target: first.Add(k.target)}
	r.host.line.Join(r.place)
	r.host.contention.Observe(now, k.priority, r.tokens)
	m.search(now, r)
}

func (m *model) search(now time.Time, r *modelRequest) {
	r.wait.IsScarce = r.host.contention.IsScarce(now)
	decision := capacitywait.Decide(now, r.wait)
	if decision.IsRefused || now.After(r.wait.Deadline) {
		r.host.line.Leave(r.place)
		if again := now.Add(decision.RetryAfter); decision.RetryAfter > 0 && again.Before(r.wait.Deadline) {
			m.at(again, func(now time.Time) { m.arrive(now, r.wait.FirstArrived, r.wait.Deadline, r) })
		}
		return
	}
	isTurn := !m.isRanked || !r.wait.IsScarce || r.host.line.TakeTurn(r.place)
	if isTurn && m.reserve(now, r, decision) {
		r.host.line.Leave(r.place)
		return
	}
	m.at(now.Add(decision.Pause), func(now time.Time) { m.search(now, r) })
}

func (m *model) reserve(now time.Time, r *modelRequest, decision capacitywait.Decision) bool {
	tally, searched := &m.tally[r.kind], 0
	c, k := &r.host.contention, m.kinds[r.kind]
	order := m.random.Perm(modelServers)
	if m.isRanked && c.IsLarge(k.priority, r.tokens) {
		others := order[:0:0]
		order = slices.DeleteFunc(order, func(server int) bool {
			isOther := !c.IsKept(now, strconv.Itoa(server))
			if isOther {
				others = append(others, server)
			}
			return isOther
		})
		order = append(order, others...)
	}
	for _, server := range order {
		if now.Before(r.host.skipUntil[server]) {
			continue
		}
		headroom := int(decision.Headroom * float64(k.tokens))
		if decision.IsYielding {
			headroom += c.Yield(now, k.priority)
		}
		if m.isRanked {
			headroom = c.Headroom(now, strconv.Itoa(server), k.priority, r.tokens, headroom)
		}
		if searched++; searched > serversSearched {
			break
		}
		isRejected := m.free[server] < r.tokens+headroom
		tally.calls++
		if isRejected {
			if headroom == 0 {
				c.RecordRejection(now, k.priority, r.tokens)
			}
			r.host.skipUntil[server] = now.Add(skipFull)
			continue
		}
		c.RecordGrant(now, k.priority, r.tokens, headroom)
		if headroom > 0 {
			tally.calls++
		}
		m.free[server] -= r.tokens
		m.at(now.Add(time.Second+time.Duration(m.random.ExpFloat64()*float64(3*time.Second))), func(time.Time) { m.free[server] += r.tokens })
		m.record(now, r)
		return true
	}
	return false
}

// record counts a request that has found memory. A response is worth all of its value until the target
// latency and nothing from four of them on.
func (m *model) record(now time.Time, r *modelRequest) {
	tally := &m.tally[r.kind]
	tally.served++
	late := float64(now.Sub(r.wait.FirstArrived)) / float64(m.kinds[r.kind].target)
	tally.value += min(max((4-late)/3, 0), 1)
	if r.isLarge {
		tally.largeServed++
	}
}
