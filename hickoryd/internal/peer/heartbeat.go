package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	// maxPartners bounds the hosts that one daemon exchanges heartbeats with.
	maxPartners = 32
	// maxNews bounds the statements about other hosts in one heartbeat.
	maxNews = 12
	// maxNewer bounds the states that answer a digest.
	maxNewer = 512
	// hostsPerDigest sets the period of digests: one heartbeat for each so many
	// hosts, so that the bytes of digests do not grow with the fleet.
	hostsPerDigest = 60
	// helpers is the number of hosts that probe for a daemon whose own probe
	// failed.
	helpers = 3
	// retryDead is the number of periods between heartbeats to a dead host,
	// which may only have been cut off.
	retryDead = 10
	// hurryFanout is the least number of hosts that learn of a change at once. Of
	// a fleet in which each passes it on to four, 2 % are not reached that way.
	hurryFanout = 4
	// leaveFanout is the number of hosts that are told at once that a daemon
	// stops.
	leaveFanout = 8
)

type (
	// schedule decides whom the next heartbeats go to.
	schedule struct {
		round    []member.Host // partners not yet reached in this round
		inFlight map[string]bool
		periods  int
		hurried  bool // the next heartbeats carry a change
	}

	// exchange is one heartbeat to one host. The name is empty when only the
	// address is known.
	exchange struct {
		membership *Membership
		ctx        context.Context
		host       member.Host
		digest     bool
	}

	// farewell is the last heartbeat to a host.
	farewell struct {
		exchange
	}

	// helper asks another host to probe a host.
	helper struct {
		membership *Membership
		ctx        context.Context
		via        member.Host
		target     member.Host
		reached    chan<- bool
	}
)

// Run sends heartbeats until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(m.options.Heartbeat)
	defer ticker.Stop()
	for {
		for _, e := range m.beat(ctx, time.Now()) {
			group.Go(e.run)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.hurry:
			m.setHurried()
		case <-ticker.C:
		}
	}
}

func (m *Membership) setHurried() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.schedule.hurried = true
}

// Leave tells some hosts that this daemon stops; they tell the others. It
// returns when they have answered or ctx ends.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	m.table.Leave()
	partners := m.table.Partners(leaveFanout)
	m.mu.Unlock()
	var group sync.WaitGroup
	for _, host := range partners {
		group.Go(farewell{exchange{membership: m, ctx: ctx, host: host}}.run)
	}
	group.Wait()
}

func (f farewell) run() {
	f.send()
}

// Probe sends a heartbeat to a host on behalf of another daemon and reports
// whether it answered.
func (m *Membership) Probe(ctx context.Context, target member.Host) bool {
	return exchange{membership: m, ctx: ctx, host: target}.send()
}

// beat starts a period: it lets suspicions run out and picks the heartbeats.
func (m *Membership) beat(ctx context.Context, now time.Time) []exchange {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Tick(now, m.options.Heartbeat)
	m.refresh(now)
	m.schedule.periods++
	digest := m.schedule.periods%(1+len(m.live)/hostsPerDigest) == 0
	var exchanges []exchange
	for _, host := range m.targets() {
		m.schedule.inFlight[host.Name] = true
		exchanges = append(exchanges, exchange{membership: m, ctx: ctx, host: host, digest: digest})
		digest = false
	}
	return exchanges
}

// targets picks the hosts of this period: the next partners, suspects whose time
// has run out, now and then a dead host, and the seeds while no other host is known. The caller holds mu.
func (m *Membership) targets() []member.Host {
	targets := m.nextPartners()
	for _, host := range m.table.FinalProbes() {
		if !m.schedule.inFlight[host.Name] && !contains(targets, host.Name) {
			targets = append(targets, host)
		}
	}
	if dead := m.table.Dead(); len(dead) > 0 && m.schedule.periods%retryDead == 0 {
		targets = append(targets, dead[rand.IntN(len(dead))])
	}
	if len(m.live) > 1 {
		return targets
	}
	for _, address := range m.options.Seeds {
		if address != m.self.PeerAddress {
			targets = append(targets, member.Host{PeerAddress: address})
		}
	}
	return targets
}

// nextPartners takes the next hosts of the round, in which every partner has
// its turn once.
func (m *Membership) nextPartners() []member.Host {
	var next []member.Host
	fanout := m.options.Fanout
	if m.schedule.hurried {
		fanout = max(fanout, hurryFanout)
		m.schedule.hurried = false
	}
	for refilled := false; len(next) < fanout; {
		if len(m.schedule.round) == 0 {
			if refilled {
				break
			}
			refilled = true
			m.schedule.round = m.table.Partners(maxPartners)
			rand.Shuffle(len(m.schedule.round), m.schedule.swap)
			continue
		}
		host := m.schedule.round[0]
		m.schedule.round = m.schedule.round[1:]
		if _, live := m.live[host.Name]; live && !m.schedule.inFlight[host.Name] && !contains(next, host.Name) {
			next = append(next, host)
		}
	}
	return next
}

func (s *schedule) swap(i, j int) {
	s.round[i], s.round[j] = s.round[j], s.round[i]
}

// run sends the heartbeat. When a live host does not answer, others are asked
// to probe it, and it becomes a suspect when they fail as well.
func (e exchange) run() {
	m := e.membership
	defer m.finish(e.host.Name)
	if e.send() || e.ctx.Err() != nil {
		return
	}
	if !m.IsAlive(time.Now(), e.host.Name, e.host.Incarnation) {
		m.transport.Drop(e.host.PeerAddress)
		return
	}
	if !m.probeThroughOthers(e.ctx, e.host) && e.ctx.Err() == nil {
		m.suspect(time.Now(), e.host)
	}
}

// send exchanges one heartbeat and reports whether it was answered.
func (e exchange) send() bool {
	m := e.membership
	ctx, cancel := context.WithTimeout(e.ctx, m.options.Heartbeat)
	defer cancel()
	response, err := m.transport.Heartbeat(ctx, e.host.PeerAddress, m.request(time.Now(), e.host, e.digest))
	if err != nil {
		m.failed.Inc()
		return false
	}
	m.beats.Inc()
	m.merge(time.Now(), stateFromWire(response.GetResponder()), response.GetKnown(), response.GetLoads())
	m.repeat(response.GetWanted())
	return true
}

func (m *Membership) request(now time.Time, to member.Host, digest bool) *peerapi.HeartbeatRequest {
	loads := m.loads.LocalLoads(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	request := &peerapi.HeartbeatRequest{
		Sender: stateToWire(m.table.Self(now)),
		Known:  statesToWire(m.table.Updates(to.Name, maxNews)),
		Loads:  m.rotation.take(loads, to.Name, m.loadShare(to)),
	}
	if digest {
		request.Digest = m.table.Digest()
	}
	return request
}

// probeThroughOthers asks some hosts to probe the target and reports whether
// one of them reached it.
func (m *Membership) probeThroughOthers(ctx context.Context, target member.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, m.options.Heartbeat)
	defer cancel()
	asked := m.pickHelpers(target.Name)
	reached := make(chan bool, len(asked))
	var group sync.WaitGroup
	defer group.Wait()
	for _, via := range asked {
		group.Go(helper{membership: m, ctx: ctx, via: via, target: target, reached: reached}.run)
	}
	for range asked {
		if <-reached {
			cancel()
			return true
		}
	}
	return false
}

func (m *Membership) pickHelpers(target string) []member.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	var picked []member.Host
	partners := m.table.Partners(maxPartners)
	for _, i := range rand.Perm(len(partners)) {
		if partners[i].Name != target && len(picked) < helpers {
			picked = append(picked, partners[i])
		}
	}
	return picked
}

func (h helper) run() {
	response, err := h.membership.transport.Probe(h.ctx, h.via.PeerAddress, &peerapi.ProbeRequest{Target: HostToWire(h.target)})
	h.reached <- err == nil && response.GetReached()
}

// suspect records that nobody reached a host. What this daemon missed while it
// stood still itself proves nothing.
func (m *Membership) suspect(now time.Time, host member.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.WasPaused(now, m.options.Heartbeat) {
		return
	}
	m.suspected.Inc()
	m.table.Suspect(now, host.Name, host.Incarnation)
}

func (m *Membership) repeat(wanted []uint64) {
	ids := make([]member.ID, 0, len(wanted))
	for _, id := range wanted {
		ids = append(ids, member.ID(id))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Retransmit(ids)
}

func (m *Membership) finish(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.schedule.inFlight, name)
}

func contains(hosts []member.Host, name string) bool {
	for _, h := range hosts {
		if h.Name == name {
			return true
		}
	}
	return false
}
