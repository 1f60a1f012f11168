// Package orders reconciles the engines with the pools of the configuration. An
// order is a fenced command to an engine, such as to load a model version. The
// engines of one pool in one failure domain form a group, whose orders come from one
// daemon: the owner, which holds a lease of the platform and an epoch, from which it
// builds the fencing tokens of its orders. Only the home of the group, chosen by
// rendezvous hashing, tries to become the owner.
package orders

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/order"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
)

const (
	stepInterval = time.Second
	// ownershipRetryInterval is the time between attempts to take the ownership of a
	// group that another daemon still owns.
	ownershipRetryInterval = 5 * time.Second
	readTimeout            = 3 * time.Second
	weightLoadInterval     = time.Second // between the orders of this daemon to load weights
	weightLoadBurst        = 4
)

type (
	// KV is the part of the platform that the manager uses: key-value calls and leases.
	KV interface {
		Get(ctx context.Context, key string) (consul.Value, error)
		CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error)
		Acquire(ctx context.Context, key string, data []byte, lease string) (bool, error)
		GrantLease(ctx context.Context, name string, ttl time.Duration) (string, error)
		KeepLease(ctx context.Context, lease string) error
		RevokeLease(ctx context.Context, lease string) error
	}

	// Engines sends orders to engines and reads their states.
	Engines interface {
		Order(ctx context.Context, address netip.AddrPort, request engine.OrderRequest) error
		State(ctx context.Context, address netip.AddrPort) (engine.StateReply, error)
	}

	// Config returns the configuration in force.
	Config interface {
		Current() *config.Document
	}

	// Fleet returns the hosts that can be homes.
	Fleet interface {
		HomeHosts(now time.Time) *rendezvous.HostSet
	}

	// Directory is the view of the backend servers.
	Directory interface {
		Candidates(model string) []placement.Candidate
	}

	// Manager sends the orders to the engines of the groups that this daemon owns. It
	// is safe for concurrent use.
	Manager struct {
		self           member.Host
		kv             KV
		engines        Engines
		config         Config
		fleet          Fleet
		directory      Directory
		logger         log.Interface
		limiter        *rate.Limiter
		resultCounters map[order.Result]*metrics.Counter
		tasks          sync.WaitGroup
		leaseNeeded    chan struct{} // signals that the first group needs a lease

		// homeGroups is the number of groups whose home is this daemon.
		homeGroups atomic.Int64

		mu         sync.Mutex
		lease      string
		leaseUntil time.Time
		groups     map[groupKey]*groupEntry
	}

	// groupEntry is one group whose home is this daemon. group is nil until the
	// ownership is taken.
	groupEntry struct {
		group       *order.Group
		nextAttempt time.Time
	}

	// poolWork is one pool with its groups whose home is this daemon.
	poolWork struct {
		pool     config.Pool
		revision uint64
		groups   map[groupKey][]backend.Server
		roles    map[string]backend.Role
		busy     map[string]bool // server ids of the engines that run requests
	}

	// task performs one action on one engine: it reads the state or sends an order.
	task struct {
		manager *Manager
		key     groupKey
		group   *order.Group
		action  order.Action
	}
)

// New returns a manager that owns nothing yet.
func New(self member.Host, kv KV, engines Engines, configuration Config, fleet Fleet, directory Directory, logger log.Interface, set *metrics.Set) *Manager {
	return &Manager{
		self: self, kv: kv, engines: engines, config: configuration, fleet: fleet, directory: directory, logger: logger,
		limiter: rate.NewLimiter(rate.Every(weightLoadInterval), weightLoadBurst),
		resultCounters: map[order.Result]*metrics.Counter{
			order.Done:       set.NewCounter(`hickoryfront_orders_total{result="done"}`),
			order.NoResponse: set.NewCounter(`hickoryfront_orders_total{result="lost"}`),
			order.Deferred:   set.NewCounter(`hickoryfront_orders_total{result="busy"}`),
			order.Fenced:     set.NewCounter(`hickoryfront_orders_total{result="fenced"}`),
			order.Refused:    set.NewCounter(`hickoryfront_orders_total{result="refused"}`),
		},
		groups:      map[groupKey]*groupEntry{},
		leaseNeeded: make(chan struct{}, 1),
	}
}

// Run sends orders until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var background sync.WaitGroup
	background.Go(func() { m.leaseLoop(ctx) })
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.step(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	m.tasks.Wait()
	background.Wait()
	m.revokeLease()
}

// leaseLoop renews the lease on a goroutine of its own, because a step of Run may take
// long: it calls the platform for each group whose ownership it takes or updates.
func (m *Manager) leaseLoop(ctx context.Context) {
	ticker := time.NewTicker(leaseTTL / 3)
	defer ticker.Stop()
	for {
		if m.homeGroups.Load() > 0 {
			m.renew(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.leaseNeeded:
		case <-ticker.C:
		}
	}
}

func (m *Manager) revokeLease() {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	_ = m.kv.RevokeLease(ctx, lease) // the lease expires otherwise
}

// collectWork returns the pools that have a group whose home is this daemon.
func (m *Manager) collectWork(now time.Time) []poolWork {
	document := m.config.Current()
	homes := m.fleet.HomeHosts(now)
	var all []poolWork
	for name, pool := range document.Pools {
		candidates := m.directory.Candidates(pool.Model)
		groups := m.groupsAtHome(homes, name, candidates)
		if len(groups) == 0 {
			continue
		}
		revision := document.Entries[config.EntryKey{Kind: config.KindPool, Name: name}].Revision
		all = append(all, poolWork{pool: pool, revision: revision, groups: groups, roles: rolesOf(pool, candidates), busy: busyOf(candidates)})
	}
	return all
}

// groupsAtHome returns the live engines of the groups whose home is this daemon.
// The home is looked up once for each failure domain.
func (m *Manager) groupsAtHome(homes *rendezvous.HostSet, pool string, candidates []placement.Candidate) map[groupKey][]backend.Server {
	groups := map[groupKey][]backend.Server{}
	isHome := map[string]bool{}
	for _, c := range candidates {
		key := groupKey{pool, c.Server.FailureDomain}
		if _, known := isHome[key.failureDomain]; !known {
			isHome[key.failureDomain] = homes.Home(keyPrefix+key.String()) == m.self.Name
		}
		if isHome[key.failureDomain] && c.Server.State == backend.StateLive {
			groups[key] = append(groups[key], c.Server)
		}
	}
	for _, servers := range groups {
		slices.SortFunc(servers, func(a, b backend.Server) int { return strings.Compare(a.ID, b.ID) })
	}
	return groups
}

func rolesOf(pool config.Pool, candidates []placement.Candidate) map[string]backend.Role {
	if pool.Prefill == 0 {
		return nil
	}
	var live []backend.Server
	for _, c := range candidates {
		if c.Server.State == backend.StateLive {
			live = append(live, c.Server)
		}
	}
	return order.Roles(pool, live)
}

func busyOf(candidates []placement.Candidate) map[string]bool {
	busy := map[string]bool{}
	for _, c := range candidates {
		if c.Load.SlotsUsed > 0 || c.Load.PrefillBacklog > 0 {
			busy[c.Server.ID] = true
		}
	}
	return busy
}

func (m *Manager) step(ctx context.Context) {
	now := time.Now()
	all := m.collectWork(now)
	m.dropGroups(all)
	if !m.holdsLease(now) {
		return
	}
	for _, w := range all {
		for key, servers := range w.groups {
			m.stepGroup(ctx, w, key, servers)
		}
	}
}

// dropGroups removes the groups whose home is no longer this daemon, and signals when
// the first group needs a lease.
func (m *Manager) dropGroups(all []poolWork) {
	wanted := map[groupKey]bool{}
	for _, w := range all {
		for key := range w.groups {
			wanted[key] = true
		}
	}
	if m.homeGroups.Swap(int64(len(wanted))) == 0 && len(wanted) > 0 {
		select {
		case m.leaseNeeded <- struct{}{}:
		default: // a signal is already pending
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.groups, func(key groupKey, _ *groupEntry) bool { return !wanted[key] })
}

func (m *Manager) holdsLease(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease != "" && now.Before(m.leaseUntil)
}

func (m *Manager) stepGroup(ctx context.Context, w poolWork, key groupKey, servers []backend.Server) {
	group := m.ownedGroup(ctx, key, w.revision)
	if group == nil {
		return
	}
	m.mu.Lock()
	actions := group.NextActions(time.Now(), m.leaseUntil, w.pool, servers, w.roles, func(id string) bool { return w.busy[id] })
	m.mu.Unlock()
	for _, action := range actions {
		t := &task{manager: m, key: key, group: group, action: action}
		m.tasks.Go(func() { t.run(ctx) })
	}
}

// ownedGroup returns the group if the stored ownership covers the pool's revision. It
// tries to take or update the ownership otherwise, and returns nil if that fails or is
// not due yet.
func (m *Manager) ownedGroup(ctx context.Context, key groupKey, revision uint64) *order.Group {
	entry, group, due := m.entry(key, time.Now())
	if group != nil && group.Ownership().Revision >= revision {
		return group
	}
	if !due {
		return nil
	}
	ownership, err := m.updateOwnership(ctx, key, group, revision)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		entry.nextAttempt = time.Now().Add(ownershipRetryInterval)
		if errors.Is(err, errNotOwner) {
			entry.group = nil
		}
		return nil
	}
	if group == nil {
		group = order.NewGroup(time.Now(), ownership, leaseTTL)
		entry.group = group
		m.logger.WithField("group", key.String()).WithField("epoch", ownership.Epoch).Info("this daemon now sends the orders to the engines of the group")
	}
	group.SetOwnership(ownership)
	return group
}

// entry returns the entry of a group, the group itself if this daemon owns it, and
// whether an attempt to take the ownership is due.
func (m *Manager) entry(key groupKey, now time.Time) (entry *groupEntry, group *order.Group, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.groups[key]
	if !ok {
		entry = &groupEntry{}
		m.groups[key] = entry
	}
	return entry, entry.group, !now.Before(entry.nextAttempt)
}

// updateOwnership takes the ownership of a group, or stores a newer revision of its pool
// in the ownership that this daemon already has.
func (m *Manager) updateOwnership(ctx context.Context, key groupKey, group *order.Group, revision uint64) (order.Ownership, error) {
	if group == nil {
		return m.takeOwnership(ctx, key, revision)
	}
	return m.raiseRevision(ctx, key, group.Ownership(), revision)
}

// run performs the action.
func (t *task) run(ctx context.Context) {
	if t.action.Order == nil {
		t.readState(ctx)
		return
	}
	t.sendOrder(ctx)
}

func (t *task) readState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply, err := t.manager.engines.State(ctx, t.action.Server.Address)
	t.manager.mu.Lock()
	defer t.manager.mu.Unlock()
	t.group.RecordState(time.Now(), t.action.Server.ID, order.State{
		Role: backend.Role(reply.Role), Model: reply.Model, Version: reply.Version, Adapters: reply.Adapters,
	}, err == nil)
}

func (t *task) sendOrder(ctx context.Context) {
	m, o := t.manager, t.action.Order
	result := order.Deferred
	if !o.LoadsWeights() || m.limiter.Allow() {
		result = t.callEngine(ctx)
	}
	m.resultCounters[result].Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !t.group.RecordResult(time.Now(), t.action.Server, result) {
		if entry, ok := m.groups[t.key]; ok && entry.group == t.group {
			entry.group, entry.nextAttempt = nil, time.Now().Add(ownershipRetryInterval)
		}
		m.logger.WithField("group", t.key.String()).Warn("an engine refused an order: another daemon sends the orders to the engines of the group")
	}
}

// callEngine sends the order, unless the lease may have expired since the order was
// decided. The call times out after the maximum time that an order may be in flight.
func (t *task) callEngine(ctx context.Context) order.Result {
	o, server := t.action.Order, t.action.Server
	ctx, cancel := context.WithTimeout(ctx, order.MaxOrderDuration)
	defer cancel()
	if !t.manager.holdsLease(time.Now()) {
		return order.Deferred // not sent; the order is decided again under a new lease
	}
	err := t.manager.engines.Order(ctx, server.Address, engine.OrderRequest{Fence: o.Fence, Kind: string(o.Kind), Argument: o.Argument})
	result := resultOf(err)
	t.manager.logger.WithField("server", server.ID).WithField("order", string(o.Kind)).WithField("argument", o.Argument).
		WithField("fence", o.Fence).WithError(err).Debug("order sent")
	return result
}

func resultOf(err error) order.Result {
	switch {
	case err == nil:
		return order.Done
	case errors.Is(err, engine.ErrFenced):
		return order.Fenced
	case errors.Is(err, engine.ErrBusy), errors.Is(err, engine.ErrNotSent):
		return order.Deferred
	case errors.Is(err, engine.ErrInvalid):
		return order.Refused
	}
	return order.NoResponse
}
