package room_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hickoryfront/hickoryfront/core/balance"
	"github.com/hickoryfront/hickoryfront/core/health"
	"github.com/hickoryfront/hickoryfront/core/room"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

const (
	slots       = 6
	serverQueue = 3 // beyond its slots a server keeps as many and sheds the others
	serviceTime = 100 * time.Millisecond
	target      = 900 * time.Millisecond
	hop         = time.Millisecond / 2 // between two hosts, and from a host to a server
	batchPeriod = 50 * time.Millisecond
	retryRatio  = 0.2
	maxReturns  = 3
)

var epoch = time.Unix(1_700_000_000, 0)

type (
	// model plays hosts, a home and servers in virtual time. Hosts choose servers by the
	// ledger, or by their own requests in flight if isLocal is set.
	model struct {
		hosts    int
		isLocal  bool
		duration time.Duration
		servers  []*modelServer
		// rate returns the requests a second at a time, in units of the capacity of all servers.
		rate func(at time.Duration) float64
		// shape sets what varies of a request that arrives at a time.
		shape func(at time.Duration, r *modelRequest)
		// homeLostAt is when the home is lost. Hosts choose themselves for the next 300 ms.
		homeLostAt time.Duration

		random  *rand.Rand
		now     time.Time
		events  eventHeap
		ledger  *room.Ledger
		ledgers int
		// tables are the loads that each host knows, of its own requests.
		tables    []*balance.Table
		listed    []serverlist.Server
		flushedAt []time.Time
		budget    float64
		asking    map[string]*modelRequest
		all       []*modelRequest
		wakeAt    time.Time
	}

	modelServer struct {
		id, domain string
		slowness   float64
		// coldFor is the number of requests at which a server that starts at startsAt takes
		// three times as long.
		coldFor  int
		startsAt time.Duration

		running, most, served, shed int
		waiting                     []func()
	}

	modelRequest struct {
		id, workspace string
		urgency, host int
		arrived       time.Time
		tries         []string
		returns       int
		askedAt       time.Time
		servedAt      time.Time
		endedAt       time.Time // of the last response to the caller
		ledger        int       // that has granted, or -1
	}

	event struct {
		at  time.Time
		run func()
	}
	eventHeap []event
)

func threeServers() []*modelServer {
	return []*modelServer{{id: "a", domain: "z1", slowness: 1}, {id: "b", domain: "z2", slowness: 1}, {id: "c", domain: "z3", slowness: 1}}
}

func (m *model) play() {
	m.random = rand.New(rand.NewPCG(1, uint64(m.hosts)))
	m.now, m.asking = epoch, make(map[string]*modelRequest)
	m.flushedAt = make([]time.Time, m.hosts)
	for range m.hosts {
		m.tables = append(m.tables, balance.NewTable())
	}
	m.startHome()
	for _, s := range m.servers {
		if s.startsAt > 0 {
			m.after(s.startsAt, m.list)
		}
	}
	if m.homeLostAt > 0 {
		m.after(m.homeLostAt, func() { m.ledger = nil })
		m.after(m.homeLostAt+300*time.Millisecond, m.startHome)
	}
	m.after(0, m.arrive)
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
}

func (m *model) after(d time.Duration, run func()) { heap.Push(&m.events, event{m.now.Add(d), run}) }

func (m *model) startHome() {
	m.ledger = room.NewLedger(m.now)
	m.ledgers++
	m.list()
}

// list gives the home and the hosts the servers that have started.
func (m *model) list() {
	var servers []room.Server
	m.listed = nil
	for _, s := range m.servers {
		if started := epoch.Add(s.startsAt); !m.now.Before(started) {
			if s.startsAt == 0 {
				started = epoch.Add(-time.Hour)
			}
			servers = append(servers, room.Server{ID: s.id, FailureDomain: s.domain, Slots: slots, StartedAt: started})
			m.listed = append(m.listed, serverlist.Server{ID: s.id, FailureDomain: s.domain, Slots: slots, StartedAt: started})
		}
	}
	m.ledger.SetServers(m.now, servers)
}

func (m *model) capacity() float64 {
	total := 0.0
	for _, s := range m.servers {
		total += slots / (s.slowness * serviceTime.Seconds())
	}
	return total
}

func (m *model) arrive() {
	at := m.now.Sub(epoch)
	if at >= m.duration {
		return
	}
	r := &modelRequest{id: fmt.Sprint(len(m.all)), arrived: m.now, host: m.random.IntN(m.hosts), ledger: -1}
	if m.shape != nil {
		m.shape(at, r)
	}
	m.all = append(m.all, r)
	m.budget = min(m.budget+retryRatio, 20)
	m.start(r)
	m.after(time.Duration(m.random.ExpFloat64()/(m.rate(at)*m.capacity())*float64(time.Second)), m.arrive)
}

func (m *model) start(r *modelRequest) {
	r.tries, r.ledger, r.askedAt = nil, -1, m.now
	switch {
	case m.isLocal:
		m.sendLocal(r)
	case m.ledger == nil:
		m.after(150*time.Millisecond, func() { m.sendLocal(r) })
	default:
		m.after(hop, func() { m.ask(r) })
	}
}

func (m *model) domain(r *modelRequest) string { return m.servers[r.host%len(m.servers)].domain }

func (m *model) ask(r *modelRequest) {
	if m.ledger == nil {
		m.sendLocal(r)
		return
	}
	id := fmt.Sprint(r.id, "/", r.returns)
	m.asking[id] = r
	inFlight := make(map[string]int)
	for _, s := range m.listed {
		inFlight[s.ID] = m.tables[r.host].Load(m.now, s.ID).Requests
	}
	m.ledger.Observe(m.now, fmt.Sprint(r.host), inFlight)
	m.ledger.Ask(m.now, room.Request{
		ID: id, Requester: fmt.Sprint(r.host), Workspace: r.workspace, Urgency: r.urgency, IsReturn: r.returns > 0,
		Arrived: m.now, Target: r.arrived.Add(target), Deadline: m.now.Add(4 * time.Second), FailureDomain: m.domain(r),
	})
	m.decide()
}

func (m *model) decide() {
	if m.ledger == nil {
		return
	}
	grants, refusals, next := m.ledger.Decide(m.now)
	for _, g := range grants {
		r := m.asking[g.RequestID]
		delete(m.asking, g.RequestID)
		r.ledger = m.ledgers
		m.after(hop, func() { m.send(r, g.Server, g.RequestID) })
	}
	for _, f := range refusals {
		r := m.asking[f.RequestID]
		delete(m.asking, f.RequestID)
		m.after(hop, func() { m.refuse(r, f.RetryAfter) })
	}
	if !next.IsZero() && (!m.wakeAt.After(m.now) || next.Before(m.wakeAt)) {
		m.wakeAt = next
		m.after(next.Sub(m.now), m.wake)
	}
}

// wake decides unless an earlier time was set meanwhile.
func (m *model) wake() {
	if !m.wakeAt.After(m.now) {
		m.decide()
	}
}

func (m *model) refuse(r *modelRequest, retryAfter time.Duration) {
	r.endedAt = m.now
	r.returns++
	if r.returns < maxReturns && m.now.Add(retryAfter).Before(r.arrived.Add(target)) {
		m.after(retryAfter, func() { m.start(r) })
	}
}

// sendLocal sends a request to the server with the least in flight of its own host.
func (m *model) sendLocal(r *modelRequest) {
	s, ok := m.tables[r.host].Pick(m.now, m.listed, balance.Criteria{FailureDomain: m.domain(r), Excluded: r.tries})
	if !ok || len(r.tries) > 0 && m.budget < 1 {
		m.refuse(r, 300*time.Millisecond)
		return
	}
	if len(r.tries) > 0 {
		m.budget--
	}
	m.send(r, s.ID, "")
}

// send sends a request to a server, with a grant unless id is empty.
func (m *model) send(r *modelRequest, server, id string) {
	r.tries = append(r.tries, server)
	m.tables[r.host].Begin(server, 0)
	sentAt := m.now
	for _, s := range m.servers {
		if s.id == server {
			m.after(hop, func() {
				m.receive(s, func(outcome room.Outcome) { m.after(hop, func() { m.end(r, server, id, outcome, sentAt) }) })
			})
		}
	}
}

func (m *model) end(r *modelRequest, server, id string, outcome room.Outcome, sentAt time.Time) {
	table, result := m.tables[r.host], health.Success
	if outcome == room.Shed {
		result = health.Failure
	}
	table.End(server, 0)
	table.Report(m.now, server, result)
	took, ledger := m.now.Sub(sentAt), r.ledger
	if id != "" {
		flush := m.flushedAt[r.host] // of the batch that waits, or the last one
		if !flush.After(m.now) {
			if flush = flush.Add(batchPeriod); flush.Before(m.now) {
				flush = m.now
			}
			m.flushedAt[r.host] = flush
		}
		m.after(flush.Sub(m.now)+hop, func() {
			if m.ledger != nil && ledger == m.ledgers {
				m.ledger.Release(m.now, id, outcome, took)
				m.decide()
			}
		})
	}
	if outcome == room.Shed {
		m.sendLocal(r)
		return
	}
	r.servedAt, r.endedAt = m.now, m.now
}

// receive runs a request at a server, or sheds it.
func (m *model) receive(s *modelServer, done func(room.Outcome)) {
	run := func() {
		took := time.Duration(s.slowness * (0.5 + m.random.Float64()) * float64(serviceTime))
		if s.served < s.coldFor {
			took *= 3
		}
		s.running++
		m.after(took, func() {
			s.running--
			s.served++
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
			done(room.Served)
		})
	}
	switch {
	case s.running < slots:
		run()
	case len(s.waiting) < serverQueue:
		s.waiting = append(s.waiting, run)
	default:
		s.shed++
		done(room.Shed)
	}
	s.most = max(s.most, s.running+len(s.waiting))
}

// share returns the share of the requests that match which were served before their target.
func (m *model) share(match func(r *modelRequest) bool) float64 {
	served, all := 0, 0
	for _, r := range m.all {
		if match == nil || match(r) {
			all++
			if !r.servedAt.IsZero() && r.servedAt.Sub(r.arrived) <= target {
				served++
			}
		}
	}
	return float64(served) / math.Max(float64(all), 1)
}

// counts returns the share of the requests that ended unserved, and the rejections by servers
// as a share of the requests.
func (m *model) counts() (refused, shed float64) {
	for _, r := range m.all {
		if r.servedAt.IsZero() {
			refused++
		}
	}
	for _, s := range m.servers {
		shed += float64(s.shed)
	}
	all := float64(len(m.all))
	return refused / all, shed / all
}

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(element any)  { *h = append(*h, element.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
