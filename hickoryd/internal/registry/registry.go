// Package registry keeps this host's copy of the platform store's contents: the
// operators' configuration, the registrations of backend servers and those of the
// hosts. When the store does not respond to this host, the package fetches the
// contents from other hosts.
package registry

import (
	"bytes"
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/storereader"
	"github.com/hickoryfront/hickoryfront/platform"
)

// maxLoggedKeys bounds the keys of invalid entries that are remembered as logged.
const maxLoggedKeys = 1000

type (
	// Peers are the other hosts.
	Peers interface {
		// Fetch returns the view of the store that other hosts have, without the servers
		// if they are no newer than position.
		Fetch(ctx context.Context, position serverlist.Position) (StoreView, error)
		// FetchConfiguration returns the newest document that other hosts have in force,
		// or nil if it is no newer than version.
		FetchConfiguration(ctx context.Context, version uint64) ([]byte, error)
		// FetchConfigurationFrom returns the document that the host at address has in force,
		// or nil if it is no newer than version.
		FetchConfigurationFrom(ctx context.Context, address netip.AddrPort, version uint64) ([]byte, error)
		// Follow receives the updates of the host at address, at least one in each period,
		// until it can't be followed or receive fails. position is that of the list that this
		// host has.
		Follow(ctx context.Context, address netip.AddrPort, position serverlist.Position, period time.Duration, receive func(Update) error) error
		// SetHosts sets the peer addresses of the hosts.
		SetHosts(hosts []netip.AddrPort)
	}

	// StoreView is a copy of the platform store's servers and hosts: that of one host, or
	// those of several hosts merged.
	StoreView struct {
		// Servers is complete up to Position if HasServers is true, and empty
		// otherwise.
		Servers    []serverlist.Server
		Position   serverlist.Position
		HasServers bool
		Hosts      []netip.AddrPort
		// IsStoreReachable is set if the store is reachable from one of these hosts
		// and responded to that host within the last two poll periods.
		IsStoreReachable bool
	}

	// Options are the settings of a Registry.
	Options struct {
		// Self is this host.
		Self platform.Host
		// Poll is the minimum time between two reads of the registrations. It is
		// halved while the store does not respond.
		Poll time.Duration
		// Timeout is the time without progress after which the store's client cancels a
		// call. Registering this host may take three times as long.
		Timeout time.Duration
		// IsFirstStart is set if no host has run before, so that the hosts find each other
		// while they start.
		IsFirstStart bool
	}

	// Snapshot is the list of registered backend servers. It is immutable.
	Snapshot struct {
		Version uint64
		Servers []serverlist.Server
		// services are the services with servers that are not draining.
		services map[string]bool
	}

	// Registry keeps a copy of the store's contents up to date. It is safe for
	// concurrent use.
	Registry struct {
		options Options
		store   *platform.Store
		peers   Peers
		logger  log.Interface

		table    atomic.Pointer[route.Table]
		snapshot atomic.Pointer[Snapshot]

		mu       sync.Mutex
		document []byte
		list     *serverlist.List
		// expiresAt is the last time for which the removal of missing registrations was
		// scheduled.
		expiresAt time.Time
		hosts     []netip.AddrPort
		// listedHosts are the hosts of the last read from the store, which was the same in
		// the last equalReads reads. areHostsSettled is set once these were enough.
		listedHosts     []storereader.Host
		equalReads      int
		areHostsSettled bool
		// hostsPosition is the position of that read, and reads the number of reads.
		// areReadersKnown is closed after the first one, from which the readers are chosen,
		// and roleKnown once this host follows a reader, or reads the store itself.
		hostsPosition serverlist.Position
		reads         int
		// registeredAt is the revision of this process' first registration of the host, or 0, and
		// wasListed is set if the host was registered before.
		registeredAt    uint64
		wasListed       bool
		areReadersKnown chan struct{}
		roleKnown       chan struct{}
		// changeLog holds the changes of list for the followers, and updated is closed and
		// replaced when there is something to tell them.
		changeLog serverlist.ChangeLog
		updated   chan struct{}
		// followed is the reader that this host follows, or the zero address.
		followed netip.AddrPort
		// announcedVersion is the version of the configuration that a reader has announced,
		// and announced is closed and replaced when it rises.
		announcedVersion uint64
		announced        chan struct{}
		// refusals is the number that FollowedRefusals returns, and refusalsChanged is closed
		// and replaced when it changes.
		refusals        uint64
		refusalsChanged chan struct{}
		// lastResponse is when the store last responded.
		lastResponse  time.Time
		isUnreachable bool
		// changed is closed and replaced when the store becomes unreachable or
		// reachable again, and when the configuration has to be read again.
		changed chan struct{}
		// replaced receives a value when the store has been replaced by a copy of itself,
		// which may lack this host's registration.
		replaced chan struct{}
		// eraBegan is when this host noticed that, or zero.
		eraBegan time.Time
		// loggedKeys are the keys of invalid entries that were logged already.
		loggedKeys map[string]bool

		// followers is the number of hosts that follow this one.
		followers atomic.Int64
		// readerFailedAt is when readers could not be followed. Only RunServers uses it.
		readerFailedAt map[netip.AddrPort]time.Time

		calls    *metrics.Counter
		failures *metrics.Counter
		// configurationFailures is the part of failures that concerns the configuration.
		configurationFailures *metrics.Counter
		peerCalls             *metrics.Counter
	}
)

// New returns an empty registry.
func New(options Options, store *platform.Store, peers Peers, logger log.Interface, set *metrics.Set) *Registry {
	r := &Registry{
		options: options, store: store, peers: peers, logger: logger,
		list: serverlist.NewList(), changed: make(chan struct{}), replaced: make(chan struct{}, 1), loggedKeys: make(map[string]bool),
		updated: make(chan struct{}), announced: make(chan struct{}), refusalsChanged: make(chan struct{}), areReadersKnown: make(chan struct{}), roleKnown: make(chan struct{}), readerFailedAt: make(map[netip.AddrPort]time.Time),
		calls:                 set.NewCounter(`hickoryfront_store_calls_total`),
		failures:              set.NewCounter(`hickoryfront_store_failures_total`),
		configurationFailures: set.NewCounter(`hickoryfront_configuration_read_failures_total`),
		peerCalls:             set.NewCounter(`hickoryfront_store_peer_fetches_total`),
	}
	set.NewGauge(`hickoryfront_configuration_version`, func() float64 { return float64(r.version()) })
	set.NewGauge(`hickoryfront_store_followers`, func() float64 { return float64(r.followers.Load()) })
	set.NewGauge(`hickoryfront_store_is_followed`, r.followsReader)
	r.snapshot.Store(&Snapshot{})
	return r
}

// Table returns the routes in force, or nil before the first configuration.
func (r *Registry) Table() *route.Table {
	return r.table.Load()
}

// Servers returns the registered backend servers.
func (r *Registry) Servers() *Snapshot {
	return r.snapshot.Load()
}

// HasServer reports whether a service has a registered server that is not draining.
func (r *Registry) HasServer(service string) bool {
	return r.snapshot.Load().services[service]
}

// Hosts returns the peer addresses of the hosts of the system, or nil before they are
// known. The caller must not modify the slice.
func (r *Registry) Hosts() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts
}

// HostCount returns the number of hosts of the system, or 0 before it is known.
func (r *Registry) HostCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.hosts)
}

// IsFirstStart reports whether no host has run before.
func (r *Registry) IsFirstStart() bool {
	return r.options.IsFirstStart
}

// AreHostsSettled reports whether the host list was the same in some reads seconds apart.
// While a fleet starts, hosts have read different lists.
func (r *Registry) AreHostsSettled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.areHostsSettled
}

// IsHostListComplete reports whether the host list is unlikely to lack running hosts. After all hosts
// have failed, it lacks those that have not registered again, unless the registrations from
// before have not lapsed: then this host's own was still listed when it started.
func (r *Registry) IsHostListComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.areHostsSettled || r.equalReads >= 2 || r.wasListed && r.reads > 0
}

// Describe fills in the parts of s that concern the store.
func (r *Registry) Describe(s *hoststate.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Store = hoststate.Store{IsUnreachable: r.isUnreachable, LastResponse: r.lastResponse, Followers: int(r.followers.Load())}
	if r.followed.IsValid() {
		s.Store.FollowedHost = r.followed.String()
	}
	s.Hosts = slices.Clone(r.hosts)
	s.AreHostsSettled = r.areHostsSettled
	if table := r.table.Load(); table != nil {
		s.Configuration = hoststate.Configuration{Version: table.Version(), Routes: table.Len()}
	}
}

// IsReady reports whether a configuration and at least one backend server are known.
func (r *Registry) IsReady() bool {
	return r.table.Load() != nil && len(r.snapshot.Load().Servers) > 0
}

// Configuration returns the version and the document of the configuration in force, or 0
// and nil before the first one. The caller must not modify the document.
func (r *Registry) Configuration() (version uint64, document []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version(), r.document
}

// ViewSince returns this host's view of the store, without the servers if they are no
// newer than position.
func (r *Registry) ViewSince(now time.Time, position serverlist.Position) StoreView {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := StoreView{Hosts: r.hosts, IsStoreReachable: !r.isUnreachable && now.Sub(r.lastResponse) < 2*r.options.Poll}
	if position.IsBefore(r.list.Position()) {
		view.Servers, view.Position, view.HasServers = r.list.Servers(), r.list.Position(), true
	}
	return view
}

// applyDocument puts a configuration into force if it is newer than the current one. Malformed
// values of workspaces don't prevent that. The document is kept without keys.
func (r *Registry) applyDocument(document []byte, source string) {
	decoded, err := platform.DecodeConfiguration(document)
	if decoded == nil {
		r.logger.WithError(err).WithField("source", source).Error("can't decode configuration; keeping the current one")
		return
	}
	if !r.isNewer(decoded.Version) {
		return
	}
	kept := bytes.Clone(document)
	if len(decoded.Workspaces) > 0 {
		var keyErr error
		if kept, keyErr = platform.WithoutKeys(document); keyErr != nil {
			r.logger.WithError(keyErr).WithField("source", source).Error("can't remove the keys of a configuration; keeping the current one")
			return
		}
	}
	table := route.NewTable(decoded)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isNewer(decoded.Version) { // another call may have been faster
		return
	}
	r.document = kept
	r.table.Store(table)
	r.notifyUpdate()
	fields := log.Fields{"version": decoded.Version, "routes": len(decoded.Routes), "source": source}
	if len(decoded.Workspaces) > 0 {
		fields["workspaces"] = len(decoded.Workspaces)
	}
	r.logger.WithFields(fields).Info("configuration in force")
	if err != nil {
		r.logger.WithError(err).WithField("version", decoded.Version).Error("configuration has malformed values; ignoring them")
	}
	for _, names := range table.Directory().Ambiguous() {
		r.logger.WithFields(log.Fields{"version": decoded.Version, "workspaces": names}).Error("workspaces share a key, which is refused")
	}
}

// isNewer reports whether a version of the configuration is newer than the one in force.
func (r *Registry) isNewer(version uint64) bool {
	current := r.table.Load()
	return current == nil || version > current.Version()
}

// updateServers changes the list with f and publishes a new snapshot if the list's
// version changed.
func (r *Registry) updateServers(f func(list *serverlist.List)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.list.Version()
	f(r.list)
	r.scheduleExpiry()
	if r.list.Version() == before {
		return
	}
	next := newSnapshot(r.list)
	r.logServerChanges(r.snapshot.Load().Servers, next.Servers)
	r.snapshot.Store(next)
}

func newSnapshot(list *serverlist.List) *Snapshot {
	s := &Snapshot{Version: list.Version(), Servers: list.Servers(), services: make(map[string]bool)}
	for _, server := range s.Servers {
		if !server.IsDraining {
			s.services[server.Service] = true
		}
	}
	return s
}

// scheduleExpiry removes missing registrations in time: the next read of the list may be late. The
// caller holds mu.
func (r *Registry) scheduleExpiry() {
	at, ok := r.list.NextExpiry()
	if !ok || at.Equal(r.expiresAt) {
		return
	}
	r.expiresAt = at
	time.AfterFunc(time.Until(at), r.expire)
}

// expire removes the registrations that are missing for too long.
func (r *Registry) expire() {
	r.updateServers(func(list *serverlist.List) { list.Expire(time.Now()) })
}

func (r *Registry) logServerChanges(before, after []serverlist.Server) {
	known := make(map[string]serverlist.Server, len(before))
	for _, s := range before {
		known[s.ID] = s
	}
	for _, s := range after {
		if old, ok := known[s.ID]; !ok || old != s {
			r.logger.WithFields(log.Fields{
				"server": s.ID, "service": s.Service, "address": s.Address, "stage": s.Stage,
				"softwareVersion": s.SoftwareVersion, "draining": s.IsDraining, "known": ok,
			}).Info("backend server registered")
		}
		delete(known, s.ID)
	}
	for id := range known {
		r.logger.WithField("server", id).Info("backend server removed")
	}
}

// markStoreReachable records a response of the store.
func (r *Registry) markStoreReachable(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastResponse = now
	r.list.MarkStoreAvailable(now)
	r.scheduleExpiry()
	if !r.isUnreachable {
		return
	}
	r.isUnreachable = false
	r.notifyChange()
	r.logger.Info("store is reachable again")
}

// markStoreUnreachable records that the store does not respond to this host.
func (r *Registry) markStoreUnreachable(now time.Time, err error) {
	r.failures.Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.MarkStoreUnavailable()
	if r.isUnreachable {
		return
	}
	r.isUnreachable = true
	r.notifyChange()
	r.notifyUpdate()
	r.logger.WithError(err).WithField("lastAnswer", now.Sub(r.lastResponse).String()).Warn("store is unreachable; reading from other hosts")
}

// beginEra records at now the era that the store has stated. It reports whether the store
// has been replaced by a copy of itself.
func (r *Registry) beginEra(now time.Time, era uint64) bool {
	isReplaced := false
	r.updateServers(func(list *serverlist.List) { isReplaced = list.BeginEra(now, era) })
	if !isReplaced {
		return false
	}
	r.logger.WithField("era", era).Warn("store has been replaced by an older copy; reading all servers and the configuration again")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eraBegan = now
	r.notifyChange()
	select {
	case r.replaced <- struct{}{}:
	default: // a value waits already
	}
	return true
}

// Era returns the era of the store, and when this host noticed that the store had been
// replaced by a copy of itself, or the zero time.
func (r *Registry) Era() (uint64, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Position().Era, r.eraBegan
}

// rereadConfiguration makes RunConfiguration cancel its watch and read the document
// again.
func (r *Registry) rereadConfiguration() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifyChange()
}

func (r *Registry) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// storeState returns whether the store is unreachable, and a channel that is closed
// when this changes or the configuration has to be read again.
func (r *Registry) storeState() (bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isUnreachable, r.changed
}

// decodeServers decodes registrations. Each invalid one is logged once and ignored.
func (r *Registry) decodeServers(items []platform.Item) []serverlist.Change {
	changes := make([]serverlist.Change, 0, len(items))
	for _, item := range items {
		if item.IsDeleted {
			changes = append(changes, serverlist.Change{ID: platform.ServerID(item.Key), Revision: item.ModRevision})
			continue
		}
		server, err := platform.DecodeServer(item)
		if err != nil {
			r.logInvalid(item, err)
			continue
		}
		changes = append(changes, serverlist.Change{ID: server.ID, Server: &server, Revision: item.ModRevision})
	}
	return changes
}

func (r *Registry) logInvalid(item platform.Item, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.loggedKeys) > maxLoggedKeys || r.loggedKeys[item.Key] {
		return
	}
	r.loggedKeys[item.Key] = true
	r.logger.WithError(err).WithFields(log.Fields{"key": item.Key, "revision": item.ModRevision}).Warn("can't decode registration; ignoring it")
}

// IsStoreUnreachable reports whether the store does not respond to this host.
func (r *Registry) IsStoreUnreachable() bool {
	isUnreachable, _ := r.storeState()
	return isUnreachable
}
