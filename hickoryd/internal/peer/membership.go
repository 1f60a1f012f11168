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
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/peerapi"
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

	// Transport carries messages to other daemons.
	Transport interface {
		Heartbeat(ctx context.Context, to netip.AddrPort, request *peerapi.HeartbeatRequest) (*peerapi.HeartbeatResponse, error)
		Probe(ctx context.Context, to netip.AddrPort, request *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error)
		// Drop closes the connection to a daemon that is gone.
		Drop(to netip.AddrPort)
	}

	// Membership exchanges heartbeats and keeps the view of the fleet. It is
	// safe for concurrent use.
	Membership struct {
		self      member.Host
		options   Options
		transport Transport
		logger    log.Interface
		loads     Loads
		beats     *metrics.Counter
		failed    *metrics.Counter
		suspected *metrics.Counter
		changes   *metrics.Counter
		hurry     chan struct{} // asks for a heartbeat now
		news      chan struct{} // a peer announced a newer configuration

		mu        sync.Mutex
		table     *member.Table
		version   uint64 // of the table, for which ring and live were built
		ring      *rendezvous.HostSet
		live      map[string]member.Host
		lastHeard time.Time
		schedule  schedule
		rotation  loadRotation
	}
)

// NewMembership returns the membership of self.
func NewMembership(self member.Host, options Options, transport Transport, loads Loads, logger log.Interface, set *metrics.Set) *Membership {
	return &Membership{
		self:      self,
		options:   options,
		transport: transport,
		logger:    logger,
		loads:     loads,
		beats:     set.NewCounter(`hickoryfront_heartbeats_total{result="ok"}`),
		failed:    set.NewCounter(`hickoryfront_heartbeats_total{result="failed"}`),
		suspected: set.NewCounter(`hickoryfront_suspicions_total`),
		changes:   set.NewCounter(`hickoryfront_membership_changes_total`),
		hurry:     make(chan struct{}, 1),
		news:      make(chan struct{}, 1),
		table:     member.NewTable(self, options.Timeout),
		ring:      rendezvous.New([]string{self.Name}),
		live:      map[string]member.Host{self.Name: self},
		schedule:  schedule{inFlight: map[string]bool{}},
		rotation:  loadRotation{next: map[string]string{}},
	}
}

// Self returns this daemon's host.
func (m *Membership) Self() member.Host {
	return m.self
}

// SetSelf updates what the heartbeats announce. Others learn at once that this
// daemon drains, so that what it is the home of moves.
func (m *Membership) SetSelf(revision uint64, draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetSelf(revision, draining)
	if m.refresh(time.Now()) {
		m.HeartbeatNow()
	}
}

// Observe merges a state learned elsewhere, such as from the platform.
func (m *Membership) Observe(now time.Time, state member.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Observe(now, state)
	m.refresh(now)
}

// Live returns the hosts that are alive, sorted by name.
func (m *Membership) Live(now time.Time) []member.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Live(now)
}

// HomeHosts returns the homes: the hosts that are alive and do not drain.
func (m *Membership) HomeHosts(time.Time) *rendezvous.HostSet {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ring
}

// IsAlive reports whether this life of a host is alive.
func (m *Membership) IsAlive(now time.Time, name string, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.IsAlive(now, name, incarnation)
}

// HasQuorum reports whether at least half of the known hosts are alive; exactly
// half is enough.
func (m *Membership) HasQuorum(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.HasQuorum(now)
}

// Lookup returns what is known of a host.
func (m *Membership) Lookup(name string) (member.State, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Lookup(name)
}

// LastContact returns when a peer last answered or asked.
func (m *Membership) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastHeard
}

// PeersWithNewerConfig returns the live peers that announce a newer configuration than this
// daemon, the newest first.
func (m *Membership) PeersWithNewerConfig(now time.Time) []member.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.table.Self(now).ConfigRevision
	ahead := slices.DeleteFunc(m.table.Live(now), func(s member.State) bool { return s.ConfigRevision <= held })
	rand.Shuffle(len(ahead), func(i, j int) { ahead[i], ahead[j] = ahead[j], ahead[i] }) // spreads the fetches
	slices.SortStableFunc(ahead, func(a, b member.State) int { return cmp.Compare(b.ConfigRevision, a.ConfigRevision) })
	return ahead
}

// ConfigAnnounced signals that a peer announced a newer configuration.
func (m *Membership) ConfigAnnounced() <-chan struct{} {
	return m.news
}

// HeartbeatNow sends the next heartbeats at once, so that peers learn of a change
// without waiting for the period.
func (m *Membership) HeartbeatNow() {
	signal(m.hurry)
}

// Receive answers a heartbeat of another daemon.
func (m *Membership) Receive(now time.Time, request *peerapi.HeartbeatRequest) *peerapi.HeartbeatResponse {
	sender := stateFromWire(request.GetSender())
	m.merge(now, sender, request.GetKnown(), request.GetLoads())
	loads := m.loads.LocalLoads(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	newer, unknown := m.mergeDigest(now, request.GetDigest())
	known := append(newer, m.table.Updates(sender.Host.Name, maxNews)...)
	return &peerapi.HeartbeatResponse{
		Responder: stateToWire(m.table.Self(now)),
		Known:     statesToWire(known),
		Wanted:    unknown,
		Loads:     m.rotation.take(loads, sender.Host.Name, m.loadShare(sender.Host)),
	}
}

// merge takes in what a peer says of itself and of others.
func (m *Membership) merge(now time.Time, sender member.State, known []*peerapi.HostState, loads []*peerapi.ServerLoad) {
	m.mu.Lock()
	m.lastHeard = now
	m.table.ObserveDirectly(now, sender)
	for _, s := range known {
		m.table.Observe(now, stateFromWire(s))
	}
	if sender.ConfigRevision > m.table.Self(now).ConfigRevision {
		signal(m.news)
	}
	m.refresh(now)
	m.mu.Unlock()
	for _, l := range loads {
		m.loads.ObserveRemote(LoadFromWire(l))
	}
}

// mergeDigest takes in the digest of a peer. The caller holds mu.
func (m *Membership) mergeDigest(now time.Time, digest []byte) ([]member.State, []uint64) {
	if len(digest) == 0 {
		return nil, nil
	}
	newer, unknown, err := m.table.MergeDigest(now, digest, maxNewer)
	if err != nil {
		m.failed.Inc()
		return nil, nil
	}
	m.refresh(now)
	ids := make([]uint64, 0, len(unknown))
	for _, id := range unknown {
		ids = append(ids, uint64(id))
	}
	return newer, ids
}

// refresh rebuilds the ring when the set of live hosts has changed, and reports
// whether it has. The caller holds mu.
func (m *Membership) refresh(now time.Time) bool {
	if m.table.Version() == m.version {
		return false
	}
	m.version = m.table.Version()
	live := map[string]member.Host{}
	var homes []string
	for _, s := range m.table.Live(now) {
		live[s.Host.Name] = s.Host
		if !s.Draining {
			homes = append(homes, s.Host.Name)
		}
	}
	m.logChanges(live)
	m.live = live
	if next := rendezvous.New(homes); !next.Equal(m.ring) {
		m.ring = next
	}
	return true
}

func (m *Membership) logChanges(live map[string]member.Host) {
	for name := range live {
		if _, ok := m.live[name]; !ok {
			m.changes.Inc()
			m.logger.WithField("host", name).Info("host is alive")
		}
	}
	for name, host := range m.live {
		if _, ok := live[name]; !ok {
			m.changes.Inc()
			m.rotation.forget(name)
			m.transport.Drop(host.PeerAddress)
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
