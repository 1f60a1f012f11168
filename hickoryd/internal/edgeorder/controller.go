// Package edgeorder orders model servers to change their stage, as core/stage plans it:
// the initial setup gives each service its target number of prefill servers, and later
// only surplus prefill servers change to decode. Only one host at a time gives orders: the
// leader, which holds platform.LeaderKey in the platform's store. The era of the store and
// the revision of the key make the fencing token of the leader's orders.
package edgeorder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/stage"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// planInterval is the time between two checks of the stages.
	planInterval = 500 * time.Millisecond
	// leaseLifetime is the lifetime of the leader's lease on the key. The lease is not
	// renewed.
	leaseLifetime = 10 * time.Second
	// orderTime is the part of leaseLifetime in which a leader gives orders, so that
	// those of the next leader come well after its last one.
	orderTime = 6 * time.Second
	// handoverWait is how long a new leader waits, so that orders of the previous one
	// that are still in flight arrive first.
	handoverWait = 4 * time.Second
	// attemptInterval is the time between two attempts of a host to become the leader. In
	// the meantime the host leaves the changes to the current leader.
	attemptInterval = 15 * time.Second
	// callTimeout limits a call of the store or of a server.
	callTimeout = time.Second
	// candidates is the number of hosts that try to become the leader at once when changes
	// are due. The others do so if the changes are still due after standbyWait.
	candidates  = 3
	standbyWait = 12 * time.Second
	// listSettleTime is how long the server list must be unchanged before changes are
	// planned. It is a little more than the time between two registrations of servers.
	listSettleTime = 1500 * time.Millisecond
	// initialSetupTime is the time after the start in which the stages of servers that
	// have no traffic yet are set up.
	initialSetupTime = 10 * time.Second
)

// errNotLeader means that another host is the leader.
var errNotLeader = errors.New("another host is the leader")

type (
	// Registry lists the backend servers.
	Registry interface {
		Servers() *registry.Snapshot
		// Hosts returns the peer addresses of all hosts.
		Hosts() []netip.AddrPort
		// IsStoreUnreachable reports whether the platform's store is unreachable.
		IsStoreUnreachable() bool
		// Era returns the era of the store, and when this host noticed that the store had
		// been replaced by a copy of itself, or the zero time.
		Era() (era uint64, began time.Time)
	}

	// Store is the part of the platform's store that a Controller uses.
	Store interface {
		Get(ctx context.Context, key string) (platform.Page, error)
		NewLease(ctx context.Context, lifetime time.Duration) (uint64, time.Duration, error)
		Commit(ctx context.Context, t platform.Transaction) (serverlist.Position, error)
	}

	// Controller orders the changes of stages that its planner plans.
	Controller struct {
		name       string
		self       netip.AddrPort
		registry   Registry
		store      Store
		pool       *upstream.Pool
		planner    *stage.Planner
		logger     log.Interface
		orderCount *metrics.Counter
		started    time.Time
		// nextAttempt is when this host may try to become the leader again.
		nextAttempt time.Time
		// dueSince is since when changes have been due, or zero.
		dueSince time.Time
		// version is the version of the server list seen last, and versionSince when
		// it was first seen.
		version      uint64
		versionSince time.Time
	}

	// term is the time in which this host is the leader.
	term struct {
		// era is the era of the store in which the term began. It ends with the era: the
		// store has forgotten it then.
		era uint64
		// token is the fencing token of the term.
		token uint64
		// ends is when the leader stops giving orders.
		ends time.Time
		// isFirst is set if no host has been the leader before.
		isFirst bool
	}
)

// New returns a controller for services where prefillShare of the model servers are busy
// with prefills at the peak. With share 0 it orders no changes. name and self are the name and
// the peer address of this host.
func New(name string, self netip.AddrPort, prefillShare float64, r Registry, store Store, pool *upstream.Pool, logger log.Interface, set *metrics.Set) *Controller {
	return &Controller{
		name: name, self: self, registry: r, store: store, pool: pool, planner: stage.NewPlanner(prefillShare), logger: logger,
		orderCount: set.NewCounter(`hickoryfront_edge_orders_total`), started: time.Now(),
	}
}

// Run plans changes and orders them, whenever this host becomes the leader, until ctx
// ends.
func (c *Controller) Run(ctx context.Context) {
	for timing.Sleep(ctx, planInterval) == nil {
		now := time.Now()
		if now.Before(c.nextAttempt) || c.registry.IsStoreUnreachable() {
			continue
		}
		if _, began := c.registry.Era(); now.Sub(began) < leaseLifetime {
			continue // a leader that the store has forgotten may still give orders
		}
		if !c.isListStable(now) {
			continue
		}
		isStarting := now.Sub(c.started) < initialSetupTime
		if len(c.planner.Plan(now, c.registry.Servers().Servers, isStarting)) == 0 {
			c.dueSince = time.Time{}
			continue
		}
		if c.dueSince.IsZero() {
			c.dueSince = now
		}
		if !c.isCandidate() && now.Sub(c.dueSince) < standbyWait {
			continue // each attempt takes calls of the store
		}
		c.nextAttempt = now.Add(attemptInterval)
		if err := c.lead(ctx, isStarting); err != nil && !errors.Is(err, errNotLeader) {
			c.logger.WithError(err).Warn("can't change the stages of backend servers; retrying")
		}
	}
}

// isCandidate reports whether this host tries to become the leader at once.
func (c *Controller) isCandidate() bool {
	var hosts []string
	for _, host := range c.registry.Hosts() {
		hosts = append(hosts, host.String())
	}
	return slices.Contains(rendezvous.New(hosts).Homes(platform.LeaderKey, candidates), c.self.String())
}

// isListStable reports whether the server list has been unchanged for
// listSettleTime. After a start, servers register one after the other.
func (c *Controller) isListStable(now time.Time) bool {
	if version := c.registry.Servers().Version; version != c.version {
		c.version, c.versionSince = version, now
	}
	return now.Sub(c.versionSince) >= listSettleTime
}

// lead makes this host the leader and orders the changes that are due until the end of
// its term. With isStarting, the first leader orders all changes at once, without waiting
// for a surplus to last.
func (c *Controller) lead(ctx context.Context, isStarting bool) error {
	t, err := c.acquire(ctx)
	if err != nil {
		return err
	}
	isStartup := isStarting && t.isFirst
	if !t.isFirst {
		if err := timing.Sleep(ctx, handoverWait); err != nil {
			return err
		}
		t.ends = t.ends.Add(handoverWait)
	}
	for time.Now().Before(t.ends) && c.isInEra(t) {
		for _, change := range c.planner.Plan(time.Now(), c.registry.Servers().Servers, isStartup) {
			if err := c.order(ctx, t, change); err != nil {
				c.logger.WithError(err).WithField("server", change.Server.ID).Warn("stage order failed")
			}
		}
		if err := timing.Sleep(ctx, planInterval); err != nil {
			return err
		}
	}
	return nil
}

// acquire makes this host the leader by taking the leader's key. A second key,
// platform.LastLeaderKey, has no lease and so outlives the terms: it shows whether there
// was a leader before.
func (c *Controller) acquire(ctx context.Context) (term, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begin := time.Now()
	lease, _, err := c.store.NewLease(ctx, leaseLifetime)
	if err != nil {
		return term{}, fmt.Errorf("request leader lease: %w", err)
	}
	position, err := c.commitKey(ctx, lease, 0)
	if err == nil {
		return c.newTerm(position, begin, true)
	}
	if !errors.Is(err, platform.ErrConflict) {
		return term{}, fmt.Errorf("write leader key: %w", err)
	}
	last, err := c.store.Get(ctx, platform.LastLeaderKey)
	if err != nil {
		return term{}, fmt.Errorf("read key of the last leader: %w", err)
	}
	position, err = c.commitKey(ctx, lease, last.Items[0].ModRevision)
	if errors.Is(err, platform.ErrConflict) {
		return term{}, errNotLeader
	}
	if err != nil {
		return term{}, fmt.Errorf("write leader key: %w", err)
	}
	return c.newTerm(position, begin, false)
}

// newTerm returns the term that began at begin with a transaction at position. The error is
// errNotLeader if the store has been replaced by a copy without this host having noticed.
func (c *Controller) newTerm(position serverlist.Position, begin time.Time, isFirst bool) (term, error) {
	t := term{era: position.Era, token: fencingToken(position), ends: begin.Add(orderTime), isFirst: isFirst}
	if !c.isInEra(t) {
		return term{}, errNotLeader // a leader that the store has forgotten may still give orders
	}
	return t, nil
}

// isInEra reports whether the store is in the era in which a term began.
func (c *Controller) isInEra(t term) bool {
	era, _ := c.registry.Era()
	return era == t.era
}

// fencingToken returns a number that rises with the position. It can be written as a JSON
// number without loss.
func fencingToken(p serverlist.Position) uint64 {
	const revisionBits = 40
	return p.Era<<revisionBits | p.Revision
}

// commitKey takes the leader's key if the key is free and if platform.LastLeaderKey has
// the revision lastRevision. Revision 0 means that there was no leader yet. commitKey
// returns the position of the transaction, of which the fencing token is made.
func (c *Controller) commitKey(ctx context.Context, lease, lastRevision uint64) (serverlist.Position, error) {
	return c.store.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: platform.LeaderKey}, {Key: platform.LastLeaderKey, Revision: lastRevision}},
		Puts: []platform.Put{
			{Key: platform.LeaderKey, Value: []byte(c.name), Lease: lease},
			{Key: platform.LastLeaderKey, Value: []byte(c.name)},
		},
	})
}

// order orders one change. The server carries the order out only if the number of
// orders that it has accepted before is the expected one.
func (c *Controller) order(ctx context.Context, t term, change stage.Change) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.pool.Call(ctx, change.Server.Address, platform.ReportCall(change.Server.ID))
	if err != nil || reply.Status != http.StatusOK {
		return fmt.Errorf("state report returned status %d: %w", reply.Status, err)
	}
	report, err := platform.DecodeReport(reply.Body)
	if err != nil {
		return err
	}
	if report.IsSwitching || report.Stage == change.To {
		return nil
	}
	call, err := platform.OrderCall(change.Server.ID, platform.Order{
		Stage: change.To, Holder: c.name, Token: t.token, ExpectedOrders: report.AcceptedOrders,
	})
	if err != nil {
		return err
	}
	c.orderCount.Inc()
	c.planner.MarkOrdered(time.Now(), change)
	reply, err = c.pool.Call(ctx, change.Server.Address, call)
	c.logger.WithFields(log.Fields{
		"server": change.Server.ID, "stage": string(change.To), "token": t.token, "expected": report.AcceptedOrders, "status": reply.Status, "error": fmt.Sprint(err),
	}).Info("stage ordered")
	return err
}
