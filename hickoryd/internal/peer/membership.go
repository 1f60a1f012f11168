package peer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/ring"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	// knownSample bounds the third-party states in one heartbeat.
	knownSample = 16
	// retention keeps dead hosts in the table for reports.
	retention = 10 * time.Minute
)

type (
	// Options tunes the heartbeats.
	Options struct {
		Heartbeat time.Duration
		Timeout   time.Duration
		Fanout    int
		Seeds     []netip.AddrPort
	}

	// Loads publishes the digests of the servers whose home is this daemon.
	Loads interface {
		LocalLoads(now time.Time) []backend.Load
		ObserveRemote(load backend.Load)
	}

	// Membership exchanges heartbeats and keeps the view of the fleet. It is
	// safe for concurrent use.
	Membership struct {
		self    member.Host
		options Options
		pool    *Pool
		logger  log.Interface
		loads   Loads
		beats   *metrics.Counter
		failed  *metrics.Counter
		changes *metrics.Counter

		mu        sync.Mutex
		table     *member.Table
		ring      *ring.Ring
		live      map[string]bool
		lastHeard time.Time

		hurry chan struct{} // asks for a heartbeat now
		news  chan struct{} // a peer announced a newer configuration
	}
)

// NewMembership returns the membership of self.
func NewMembership(self member.Host, options Options, pool *Pool, loads Loads, logger log.Interface, set *metrics.Set) *Membership {
	return &Membership{
		self:    self,
		options: options,
		pool:    pool,
		logger:  logger,
		loads:   loads,
		beats:   set.NewCounter(`hickoryfront_heartbeats_total{result="ok"}`),
		failed:  set.NewCounter(`hickoryfront_heartbeats_total{result="failed"}`),
		changes: set.NewCounter(`hickoryfront_membership_changes_total`),
		table:   member.NewTable(self, options.Timeout),
		ring:    ring.New([]string{self.Name}),
		live:    map[string]bool{self.Name: true},
		hurry:   make(chan struct{}, 1),
		news:    make(chan struct{}, 1),
	}
}

// Self returns this daemon's host.
func (m *Membership) Self() member.Host {
	return m.self
}

// SetSelf updates what the heartbeats announce.
func (m *Membership) SetSelf(revision uint64, draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetSelf(revision, draining)
}

// Observe merges a state learned elsewhere, such as from the platform.
func (m *Membership) Observe(now time.Time, state member.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Observe(state)
	m.refresh(now)
}

// Live returns the hosts that are alive, sorted by name.
func (m *Membership) Live(now time.Time) []member.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Live(now)
}

// Ring returns the homes: the hosts that are alive and do not drain.
func (m *Membership) Ring(now time.Time) *ring.Ring {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(now)
	return m.ring
}

// IsAlive reports whether this life of a host is alive.
func (m *Membership) IsAlive(now time.Time, name string, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.IsAlive(now, name, incarnation)
}

// Majority reports whether at least half of the known hosts are alive.
func (m *Membership) Majority(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Majority(now)
}

// Lookup returns what is known of a host.
func (m *Membership) Lookup(name string) (member.State, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Lookup(name)
}

// LastHeard returns when a peer last answered or asked.
func (m *Membership) LastHeard() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastHeard
}

// Newest returns the live peers that announce a newer configuration than this
// daemon, the newest first.
func (m *Membership) Newest(now time.Time) []member.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.table.Self(now).ConfigRevision
	ahead := slices.DeleteFunc(m.table.Live(now), func(s member.State) bool { return s.ConfigRevision <= held })
	rand.Shuffle(len(ahead), func(i, j int) { ahead[i], ahead[j] = ahead[j], ahead[i] }) // spreads the fetches
	slices.SortStableFunc(ahead, func(a, b member.State) int { return cmp.Compare(b.ConfigRevision, a.ConfigRevision) })
	return ahead
}

// News signals that a peer announced a newer configuration.
func (m *Membership) News() <-chan struct{} {
	return m.news
}

// Hurry sends the next heartbeats at once, so that peers learn of a newer
// configuration without waiting for the period.
func (m *Membership) Hurry() {
	signal(m.hurry)
}

// Run sends heartbeats until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	ticker := time.NewTicker(m.options.Heartbeat)
	defer ticker.Stop()
	for {
		m.beat(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-m.hurry:
		case <-ticker.C:
		}
	}
}

// Receive answers a heartbeat of another daemon.
func (m *Membership) Receive(now time.Time, request *peerapi.HeartbeatRequest) *peerapi.HeartbeatResponse {
	m.merge(now, request.GetSender(), request.GetKnown(), request.GetLoads())
	self, known := m.announcement(now)
	return &peerapi.HeartbeatResponse{Responder: self, Known: known, Loads: m.wireLoads(now)}
}

func (m *Membership) beat(ctx context.Context, now time.Time) {
	for _, address := range m.targets(now) {
		m.exchange(ctx, now, address)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Forget(now, retention)
	m.refresh(now)
}

func (m *Membership) exchange(ctx context.Context, now time.Time, address netip.AddrPort) {
	client, err := m.pool.Client(address)
	if err != nil {
		m.failed.Inc()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.Heartbeat)
	defer cancel()
	self, known := m.announcement(now)
	response, err := client.Heartbeat(ctx, &peerapi.HeartbeatRequest{Sender: self, Known: known, Loads: m.wireLoads(now)})
	if err != nil {
		m.failed.Inc()
		return
	}
	m.beats.Inc()
	m.merge(now, response.GetResponder(), response.GetKnown(), response.GetLoads())
}

func (m *Membership) merge(now time.Time, sender *peerapi.HostState, known []*peerapi.HostState, loads []*peerapi.ServerLoad) {
	m.mu.Lock()
	m.lastHeard = now
	fresh := stateFromWire(now, sender)
	fresh.LastSeen = now
	m.table.Observe(fresh)
	for _, s := range known {
		m.table.Observe(stateFromWire(now, s))
	}
	if fresh.ConfigRevision > m.table.Self(now).ConfigRevision {
		signal(m.news)
	}
	m.refresh(now)
	m.mu.Unlock()
	for _, l := range loads {
		m.loads.ObserveRemote(LoadFromWire(l))
	}
}

// targets picks the peers of this period: a random few of the known hosts, and
// a seed while no other host is known.
func (m *Membership) targets(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []netip.AddrPort
	for _, s := range m.table.Live(now) {
		if s.Host.Name != m.self.Name {
			addresses = append(addresses, s.Host.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		addresses = m.seeds()
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), m.options.Fanout)]
}

func (m *Membership) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, address := range m.options.Seeds {
		if address != m.self.PeerAddress {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

func (m *Membership) announcement(now time.Time) (*peerapi.HostState, []*peerapi.HostState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.table.Live(now)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	known := make([]*peerapi.HostState, 0, min(len(live), knownSample))
	for _, s := range live {
		if s.Host.Name != m.self.Name && len(known) < knownSample {
			known = append(known, stateToWire(now, s))
		}
	}
	return stateToWire(now, m.table.Self(now)), known
}

func (m *Membership) wireLoads(now time.Time) []*peerapi.ServerLoad {
	loads := m.loads.LocalLoads(now)
	wire := make([]*peerapi.ServerLoad, 0, len(loads))
	for _, l := range loads {
		wire = append(wire, LoadToWire(l))
	}
	return wire
}

// refresh rebuilds the ring when the set of live hosts has changed. The caller
// holds mu.
func (m *Membership) refresh(now time.Time) {
	live := map[string]bool{}
	var homes []string
	for _, s := range m.table.Live(now) {
		live[s.Host.Name] = true
		if !s.Draining {
			homes = append(homes, s.Host.Name)
		}
	}
	m.logChanges(live)
	m.live = live
	if next := ring.New(homes); !next.Equal(m.ring) {
		m.ring = next
	}
}

func (m *Membership) logChanges(live map[string]bool) {
	for name := range live {
		if !m.live[name] {
			m.changes.Inc()
			m.logger.WithField("host", name).Info("host is alive")
		}
	}
	for name := range m.live {
		if !live[name] {
			m.changes.Inc()
			m.logger.WithField("host", name).Warn("host is dead")
		}
	}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // it is signalled already
	}
}
