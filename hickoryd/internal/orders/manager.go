// Package orders brings the engines to what the pools of the configuration
// want. The engines of one pool in one failure domain get their orders from one
// daemon, which holds a lease of the platform and a fencing number.
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
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/platform"
)

const (
	stepInterval = time.Second
	// ownRetry is the time between attempts at a group that another daemon
	// still owns.
	ownRetry     = 5 * time.Second
	readTimeout  = 3 * time.Second
	loadInterval = time.Second // between the load orders of this daemon
	loadBurst    = 4
)

type (
	// KV is what orders need of the platform.
	KV interface {
		Get(ctx context.Context, key string) (platform.Value, error)
		CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error)
		Acquire(ctx context.Context, key string, data []byte, lease string) (bool, error)
		GrantLease(ctx context.Context, name string, ttl time.Duration) (string, error)
		KeepLease(ctx context.Context, lease string) error
		RevokeLease(ctx context.Context, lease string) error
	}

	// Engines gives orders.
	Engines interface {
		Order(ctx context.Context, address netip.AddrPort, request engine.OrderRequest) error
		State(ctx context.Context, address netip.AddrPort) (engine.StateReply, error)
	}

	// Config is the configuration in force.
	Config interface {
		Current() *config.Document
	}

	// Fleet tells which daemons are homes.
	Fleet interface {
		HomeHosts(now time.Time) *rendezvous.HostSet
	}

	// Directory is the view of the backend servers.
	Directory interface {
		Candidates(model string) []placement.Candidate
	}

	// Manager gives the orders of the groups that this daemon owns. It is safe
	// for concurrent use.
	Manager struct {
		self      member.Host
		kv        KV
		engines   Engines
		config    Config
		fleet     Fleet
		directory Directory
		logger    log.Interface
		limiter   *rate.Limiter
		orders    map[order.Result]*metrics.Counter
		tasks     sync.WaitGroup
		first     chan struct{} // signals the first group

		// wanted is the number of groups whose home is this daemon.
		wanted atomic.Int64

		mu         sync.Mutex
		lease      string
		leaseUntil time.Time
		groups     map[groupKey]*owned
	}

	// owned is one group; group is nil until the ownership is taken.
	owned struct {
		group   *order.Group
		nextTry time.Time
	}

	// work is what this daemon has to do for one pool.
	work struct {
		pool     config.Pool
		revision uint64
		groups   map[groupKey][]backend.Server
		roles    map[string]backend.Role
		busy     map[string]bool // engines that run requests
	}

	// task carries out one step towards an engine.
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
		limiter: rate.NewLimiter(rate.Every(loadInterval), loadBurst),
		orders: map[order.Result]*metrics.Counter{
			order.Done:    set.NewCounter(`hickoryfront_orders_total{result="done"}`),
			order.Lost:    set.NewCounter(`hickoryfront_orders_total{result="lost"}`),
			order.Busy:    set.NewCounter(`hickoryfront_orders_total{result="busy"}`),
			order.Fenced:  set.NewCounter(`hickoryfront_orders_total{result="fenced"}`),
			order.Refused: set.NewCounter(`hickoryfront_orders_total{result="refused"}`),
		},
		groups: map[groupKey]*owned{},
		first:  make(chan struct{}, 1),
	}
}

// Run gives orders until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { m.leaseLoop(ctx) })
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
	group.Wait()
	m.release()
}

// leaseLoop keeps the lease apart from the orders, which may take long.
func (m *Manager) leaseLoop(ctx context.Context) {
	ticker := time.NewTicker(leaseTTL / 3)
	defer ticker.Stop()
	for {
		if m.wanted.Load() > 0 {
			m.renew(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.first: // a lease is needed now
		case <-ticker.C:
		}
	}
}

func (m *Manager) release() {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	_ = m.kv.RevokeLease(ctx, lease) // it lapses otherwise
}

// survey returns the work of the pools that have a group whose home is this
// daemon.
func (m *Manager) survey(now time.Time) []work {
	document := m.config.Current()
	homes := m.fleet.HomeHosts(now)
	var all []work
	for name, pool := range document.Pools {
		candidates := m.directory.Candidates(pool.Model)
		groups := m.ownGroups(homes, name, candidates)
		if len(groups) == 0 {
			continue
		}
		revision := document.Entries[config.EntryKey{Kind: config.KindPool, Name: name}].Revision
		all = append(all, work{pool: pool, revision: revision, groups: groups, roles: rolesOf(pool, candidates), busy: busyOf(candidates)})
	}
	return all
}

// ownGroups returns the live engines of the groups whose home is this daemon.
// The home is looked up once for each failure domain.
func (m *Manager) ownGroups(homes *rendezvous.HostSet, pool string, candidates []placement.Candidate) map[groupKey][]backend.Server {
	groups := map[groupKey][]backend.Server{}
	mine := map[string]bool{}
	for _, c := range candidates {
		key := groupKey{pool, c.Server.FailureDomain}
		if _, known := mine[key.failureDomain]; !known {
			mine[key.failureDomain] = homes.Home(keyPrefix+key.String()) == m.self.Name
		}
		if mine[key.failureDomain] && c.Server.State == backend.StateLive {
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
	all := m.survey(now)
	m.drop(all)
	if !m.holdsLease(now) {
		return
	}
	for _, w := range all {
		for key, servers := range w.groups {
			m.stepGroup(ctx, w, key, servers)
		}
	}
}

// drop gives up the groups whose home moved.
func (m *Manager) drop(all []work) {
	wanted := map[groupKey]bool{}
	for _, w := range all {
		for key := range w.groups {
			wanted[key] = true
		}
	}
	if m.wanted.Swap(int64(len(wanted))) == 0 && len(wanted) > 0 {
		select {
		case m.first <- struct{}{}:
		default: // it is signalled already
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.groups, func(key groupKey, _ *owned) bool { return !wanted[key] })
}

func (m *Manager) holdsLease(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease != "" && now.Before(m.leaseUntil)
}

func (m *Manager) stepGroup(ctx context.Context, w work, key groupKey, servers []backend.Server) {
	group := m.prepare(ctx, key, w.revision)
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

// prepare returns the group once its ownership covers the pool's revision, and
// nil before.
func (m *Manager) prepare(ctx context.Context, key groupKey, revision uint64) *order.Group {
	held, group, due := m.entry(key, time.Now())
	if group != nil && group.Ownership().Revision >= revision {
		return group
	}
	if !due {
		return nil
	}
	ownership, err := m.claim(ctx, key, group, revision)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		held.nextTry = time.Now().Add(ownRetry)
		if errors.Is(err, errNotOwner) {
			held.group = nil
		}
		return nil
	}
	if group == nil {
		group = order.NewGroup(time.Now(), ownership, leaseTTL)
		held.group = group
		m.logger.WithField("group", key.String()).WithField("epoch", ownership.Epoch).Info("gives orders to engines")
	}
	group.SetOwnership(ownership)
	return group
}

// entry returns what is held of a group, its progress, and whether its
// ownership may be tried now.
func (m *Manager) entry(key groupKey, now time.Time) (held *owned, group *order.Group, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, ok := m.groups[key]
	if !ok {
		held = &owned{}
		m.groups[key] = held
	}
	return held, held.group, !now.Before(held.nextTry)
}

// claim takes the ownership of a group, or stores a newer revision of its pool.
func (m *Manager) claim(ctx context.Context, key groupKey, group *order.Group, revision uint64) (order.Ownership, error) {
	if group == nil {
		return m.own(ctx, key, revision)
	}
	return m.raise(ctx, key, group.Ownership(), revision)
}

// run carries out the step.
func (t *task) run(ctx context.Context) {
	if t.action.Order == nil {
		t.read(ctx)
		return
	}
	t.send(ctx)
}

func (t *task) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply, err := t.manager.engines.State(ctx, t.action.Server.Address)
	t.manager.mu.Lock()
	defer t.manager.mu.Unlock()
	t.group.RecordState(time.Now(), t.action.Server.ID, order.State{
		Role: backend.Role(reply.Role), Model: reply.Model, Version: reply.Version, Adapters: reply.Adapters,
	}, err == nil)
}

func (t *task) send(ctx context.Context) {
	m, o := t.manager, t.action.Order
	result := order.Busy
	if !o.LoadsWeights() || m.limiter.Allow() {
		result = t.order(ctx)
	}
	m.orders[result].Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !t.group.RecordResult(time.Now(), t.action.Server, result) {
		if held, ok := m.groups[t.key]; ok && held.group == t.group {
			held.group, held.nextTry = nil, time.Now().Add(ownRetry)
		}
		m.logger.WithField("group", t.key.String()).Warn("another daemon gives orders to engines")
	}
}

// order sends the order, unless the lease may have lapsed since it was decided.
// The order ends with the longest time that an order may be in flight.
func (t *task) order(ctx context.Context) order.Result {
	o, server := t.action.Order, t.action.Server
	ctx, cancel := context.WithTimeout(ctx, order.MaxOrderDuration)
	defer cancel()
	if !t.manager.holdsLease(time.Now()) {
		return order.Busy // not sent; decided again under a new lease
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
		return order.Busy
	case errors.Is(err, engine.ErrInvalid):
		return order.Refused
	}
	return order.Lost
}
