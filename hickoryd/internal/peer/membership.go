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
	// Options configures the heartbeats.
	Options struct {
		Heartbeat time.Duration
		Timeout   time.Duration
		Fanout    int
		Seeds     []netip.AddrPort
	}

	// Loads provides the loads of the servers whose home is this daemon and receives
	// those of other homes.
	Loads interface {
		LocalLoads(now time.Time) []backend.Load
		ObserveLoad(load backend.Load)
	}

	// Transport sends messages to other daemons.
	Transport interface {
		Heartbeat(ctx context.Context, to netip.AddrPort, request *peerapi.HeartbeatRequest) (*peerapi.HeartbeatResponse, error)
		Probe(ctx context.Context, to netip.AddrPort, request *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error)
		// Drop closes the connection to a daemon that has failed or left.
		Drop(to netip.AddrPort)
	}

	// Membership exchanges heartbeats and maintains the view of the fleet. It is
	// safe for concurrent use.
	Membership struct {
		self      member.Host
		options   Options
		transport Transport
		logger    log.Interface
		loads     Loads
		succeeded *metrics.Counter
		failed    *metrics.Counter
		suspected *metrics.Counter
		changes   *metrics.Counter
		immediate chan struct{} // requests the next heartbeats at once
		announced chan struct{} // signals that a peer announced a newer configuration

		mu          sync.Mutex
		table       *member.Table
		version     uint64 // of the table from which homes and live were built
		homes       *rendezvous.HostSet
		live        map[string]member.Host
		lastContact time.Time
		schedule    schedule
		rotation    loadRotation
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
		succeeded: set.NewCounter(`hickoryfront_heartbeats_total{result="ok"}`),
		failed:    set.NewCounter(`hickoryfront_heartbeats_total{result="failed"}`),
		suspected: set.NewCounter(`hickoryfront_suspicions_total`),
		changes:   set.NewCounter(`hickoryfront_membership_changes_total`),
		immediate: make(chan struct{}, 1),
		announced: make(chan struct{}, 1),
		table:     member.NewTable(self, options.Timeout),
		homes:     rendezvous.New([]string{self.Name}),
		live:      map[string]member.Host{self.Name: self},
		schedule:  schedule{inFlight: map[string]bool{}},
		rotation:  loadRotation{lastSent: map[string]string{}},
	}
}

// Self returns this daemon's host.
func (m *Membership) Self() member.Host {
	return m.self
}

// SetSelf updates the state that the heartbeats announce. Peers are notified at
// once when this daemon starts to drain, so that the keys and servers whose home
// it is move to other homes.
func (m *Membership) SetSelf(revision uint64, draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetSelf(revision, draining)
	if m.refresh(time.Now()) {
		m.HeartbeatNow()
	}
}

// Observe merges the state of a host from another source than heartbeats, such as
// the platform.
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

// HomeHosts returns the hosts that can be a home: those that are alive and not
// draining.
func (m *Membership) HomeHosts(time.Time) *rendezvous.HostSet {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.homes
}

// IsAlive reports whether the given incarnation of a host is alive.
func (m *Membership) IsAlive(now time.Time, name string, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.IsAlive(now, name, incarnation)
}

// HasFailed reports whether the given incarnation of a host may be taken for failed.
func (m *Membership) HasFailed(now time.Time, name string, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.HasFailed(now, name, incarnation)
}

// HasMajority reports whether this daemon has heard from a majority of the known hosts since
// the given time.
func (m *Membership) HasMajority(since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.HasMajority(since)
}

// Lookup returns what is known of a host.
func (m *Membership) Lookup(name string) (member.State, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Lookup(name)
}

// LastContact returns when this daemon last received a heartbeat or a response to
// one from a peer.
func (m *Membership) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact
}

// PeersWithNewerConfig returns the live peers that announce a newer configuration
// than that of this daemon, the newest first.
func (m *Membership) PeersWithNewerConfig(now time.Time) []member.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.table.Self(now).ConfigRevision
	ahead := slices.DeleteFunc(m.table.Live(now), func(s member.State) bool { return s.ConfigRevision <= own })
	rand.Shuffle(len(ahead), func(i, j int) { ahead[i], ahead[j] = ahead[j], ahead[i] }) // spreads the fetches over equally new peers
	slices.SortStableFunc(ahead, func(a, b member.State) int { return cmp.Compare(b.ConfigRevision, a.ConfigRevision) })
	return ahead
}

// ConfigAnnounced signals that a peer announced a newer configuration.
func (m *Membership) ConfigAnnounced() <-chan struct{} {
	return m.announced
}

// HeartbeatNow sends the next heartbeats at once instead of at the end of the
// period, so that peers are notified of a change early.
func (m *Membership) HeartbeatNow() {
	signal(m.immediate)
}

// Receive merges a heartbeat of another daemon and returns the response to it.
func (m *Membership) Receive(now time.Time, request *peerapi.HeartbeatRequest) *peerapi.HeartbeatResponse {
	sender := stateFromWire(request.GetSender())
	m.merge(now, sender, request.GetKnown(), request.GetLoads())
	loads := m.loads.LocalLoads(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	newer, unknown := m.mergeDigest(now, request.GetDigest())
	known := append(newer, m.table.Updates(sender.Host.Name, maxUpdates)...)
	return &peerapi.HeartbeatResponse{
		Responder: stateToWire(m.table.Self(now)),
		Known:     statesToWire(known),
		Wanted:    unknown,
		Loads:     m.rotation.take(loads, sender.Host.Name, m.maxLoadsTo(sender.Host)),
	}
}

// merge merges the updates of a peer about itself and about other hosts, and the
// server loads that it sent.
func (m *Membership) merge(now time.Time, sender member.State, known []*peerapi.HostState, loads []*peerapi.ServerLoad) {
	m.mu.Lock()
	m.lastContact = now
	m.table.ObserveDirectly(now, sender)
	for _, s := range known {
		m.table.Observe(now, stateFromWire(s))
	}
	if sender.ConfigRevision > m.table.Self(now).ConfigRevision {
		signal(m.announced)
	}
	m.refresh(now)
	m.mu.Unlock()
	for _, l := range loads {
		m.loads.ObserveLoad(LoadFromWire(l))
	}
}

// mergeDigest merges the digest of a peer. It returns the states that are newer
// here or missing from the digest, and the ids of live hosts that are not known
// here. The caller holds mu.
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

// refresh rebuilds the set of homes if the live hosts have changed or one of them
// has started to drain, and reports whether that is so. The caller holds mu.
func (m *Membership) refresh(now time.Time) bool {
	if m.table.Version() == m.version {
		return false
	}
	m.version = m.table.Version()
	live := map[string]member.Host{}
	var homeNames []string
	for _, s := range m.table.Live(now) {
		live[s.Host.Name] = s.Host
		if !s.Draining {
			homeNames = append(homeNames, s.Host.Name)
		}
	}
	m.logChanges(live)
	m.live = live
	if next := rendezvous.New(homeNames); !next.Equal(m.homes) {
		m.homes = next
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
			m.logger.WithField("host", name).Warn("host is no longer alive")
		}
	}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal is already pending
	}
}
