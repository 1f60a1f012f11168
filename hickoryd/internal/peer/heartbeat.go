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
	// maxUpdates bounds the updates about other hosts in one heartbeat.
	maxUpdates = 12
	// maxNewer bounds the states in the response to a digest.
	maxNewer = 512
	// hostsPerDigest sets the interval between digests in periods: 1, and 1 more
	// for each hostsPerDigest live hosts. A digest grows with the fleet, so the
	// longer interval keeps the bytes of digests per second from growing with it.
	hostsPerDigest = 60
	// indirectProbes is the number of hosts that are asked to probe a host that
	// this daemon can't reach.
	indirectProbes = 3
	// deadRetryPeriods is the number of periods between heartbeats to a dead host,
	// which may only have been cut off.
	deadRetryPeriods = 10
	// changeFanout is the minimum number of hosts that are notified of a change at
	// once. When each host of a fleet forwards a change to four others, about 2 % of
	// the hosts are not reached that way.
	changeFanout = 4
	// leaveFanout is the number of hosts that are notified at once when a daemon
	// stops.
	leaveFanout = 8
)

type (
	// schedule selects the hosts that get the next heartbeats.
	schedule struct {
		round     []member.Host // partners without a heartbeat in this round
		inFlight  map[string]bool
		periods   int
		hasChange bool // the next heartbeats carry a change
	}

	// exchange is one heartbeat to one host and the response to it. The name of the
	// host is empty when only its address is known.
	exchange struct {
		membership *Membership
		ctx        context.Context
		host       member.Host
		digest     bool
	}

	// leaveNotice is the last heartbeat to a host before this daemon stops.
	leaveNotice struct {
		exchange
	}

	// indirectProbe asks the host via to probe the target.
	indirectProbe struct {
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
		for _, e := range m.startPeriod(ctx, time.Now()) {
			group.Go(e.run)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.immediate:
			m.markChange()
		case <-ticker.C:
		}
	}
}

func (m *Membership) markChange() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.schedule.hasChange = true
}

// Leave notifies some hosts that this daemon stops; they notify the others. Leave
// returns when these hosts have responded or ctx ends.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	m.table.Leave()
	partners := m.table.Partners(leaveFanout)
	m.mu.Unlock()
	var group sync.WaitGroup
	for _, host := range partners {
		group.Go(leaveNotice{exchange{membership: m, ctx: ctx, host: host}}.run)
	}
	group.Wait()
}

func (n leaveNotice) run() {
	n.send()
}

// Probe sends a heartbeat to a host on behalf of another daemon and reports
// whether the host responded.
func (m *Membership) Probe(ctx context.Context, target member.Host) bool {
	return exchange{membership: m, ctx: ctx, host: target}.send()
}

// startPeriod applies the suspicion timeouts and returns the heartbeats of the new
// period.
func (m *Membership) startPeriod(ctx context.Context, now time.Time) []exchange {
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

// targets returns the hosts that get a heartbeat in this period: the next partners,
// the suspects that are due for a final probe, every deadRetryPeriods a dead host,
// and the seeds while no other live host is known. The caller holds mu.
func (m *Membership) targets() []member.Host {
	targets := m.nextPartners()
	for _, host := range m.table.FinalProbes() {
		if !m.schedule.inFlight[host.Name] && !contains(targets, host.Name) {
			targets = append(targets, host)
		}
	}
	if dead := m.table.Dead(); len(dead) > 0 && m.schedule.periods%deadRetryPeriods == 0 {
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

// nextPartners removes the next hosts from the round and returns them. Each partner
// is in a round once.
func (m *Membership) nextPartners() []member.Host {
	var next []member.Host
	fanout := m.options.Fanout
	if m.schedule.hasChange {
		fanout = max(fanout, changeFanout)
		m.schedule.hasChange = false
	}
	for refilled := false; len(next) < fanout; {
		if len(m.schedule.round) == 0 {
			if refilled {
				break
			}
			refilled = true
			m.schedule.round = m.table.Partners(member.MaxPartners)
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

// run sends the heartbeat. If a live host does not respond, other hosts are asked to
// probe it; if they don't reach it either, it becomes a suspect.
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
	if !m.probeIndirectly(e.ctx, e.host) && e.ctx.Err() == nil {
		m.suspect(time.Now(), e.host)
	}
}

// send sends one heartbeat, merges the response, and reports whether there was one.
func (e exchange) send() bool {
	m := e.membership
	ctx, cancel := context.WithTimeout(e.ctx, m.options.Heartbeat)
	defer cancel()
	response, err := m.transport.Heartbeat(ctx, e.host.PeerAddress, m.request(time.Now(), e.host, e.digest))
	if err != nil {
		m.failed.Inc()
		return false
	}
	m.succeeded.Inc()
	m.merge(time.Now(), stateFromWire(response.GetResponder()), response.GetKnown(), response.GetLoads())
	m.retransmit(response.GetWanted())
	return true
}

func (m *Membership) request(now time.Time, to member.Host, digest bool) *peerapi.HeartbeatRequest {
	loads := m.loads.LocalLoads(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	request := &peerapi.HeartbeatRequest{
		Sender: stateToWire(m.table.Self(now)),
		Known:  statesToWire(m.table.Updates(to.Name, maxUpdates)),
		Loads:  m.rotation.take(loads, to.Name, m.maxLoadsTo(to)),
	}
	if digest {
		request.Digest = m.table.Digest()
	}
	return request
}

// probeIndirectly asks some other hosts to probe the target and reports whether one
// of them reached it.
func (m *Membership) probeIndirectly(ctx context.Context, target member.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, m.options.Heartbeat)
	defer cancel()
	probers := m.pickProbers(target.Name)
	reached := make(chan bool, len(probers))
	var group sync.WaitGroup
	defer group.Wait()
	for _, via := range probers {
		group.Go(indirectProbe{membership: m, ctx: ctx, via: via, target: target, reached: reached}.run)
	}
	for range probers {
		if <-reached {
			cancel()
			return true
		}
	}
	return false
}

func (m *Membership) pickProbers(target string) []member.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	var picked []member.Host
	partners := m.table.Partners(member.MaxPartners)
	for _, i := range rand.Perm(len(partners)) {
		if partners[i].Name != target && len(picked) < indirectProbes {
			picked = append(picked, partners[i])
		}
	}
	return picked
}

func (p indirectProbe) run() {
	response, err := p.membership.transport.Probe(p.ctx, p.via.PeerAddress, &peerapi.ProbeRequest{Target: HostToWire(p.target)})
	p.reached <- err == nil && response.GetReached()
}

// suspect records that neither this daemon nor the hosts that it asked have reached
// the host. A missing response proves nothing if this daemon itself was paused, so
// suspect does nothing then.
func (m *Membership) suspect(now time.Time, host member.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.WasPaused(now, m.options.Heartbeat) {
		return
	}
	m.suspected.Inc()
	m.table.Suspect(now, host.Name, host.Incarnation)
}

func (m *Membership) retransmit(wanted []uint64) {
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
