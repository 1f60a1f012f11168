// Package edgeorder orders model servers to change their stage. One host at a
// time may order: the holder of a key in the platform's store, whose revision is
// the fencing token.
package edgeorder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/stage"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// planPeriod is the time between two looks at the stages.
	planPeriod = 500 * time.Millisecond
	// holderLifetime is how long the key is held; it is not renewed.
	holderLifetime = 10 * time.Second
	// orderPeriod is the part of it in which orders are given, so that the next
	// holder's come well after.
	orderPeriod = 6 * time.Second
	// handoverPeriod is how long a new holder waits for orders of the one before.
	handoverPeriod = 4 * time.Second
	// refusedPeriod is how long a host leaves the matter to the holder.
	refusedPeriod = 15 * time.Second
	// callTimeout is the longest wait for an answer of the store or a server.
	callTimeout = time.Second
	// listPeriod is how long the list of servers must be unchanged: a little more
	// than the time between two registrations of a server.
	listPeriod = 1500 * time.Millisecond
	// firstPeriod is the time after the start in which a fleet without traffic is
	// set up.
	firstPeriod = 10 * time.Second
)

// errNotHolder means that another host gives the orders.
var errNotHolder = errors.New("another host gives the orders")

type (
	// Registry knows the backend servers.
	Registry interface {
		Servers() *registry.Snapshot
		IsStoreLost() bool
	}

	// Store is the part of the platform's store that is used.
	Store interface {
		Get(ctx context.Context, key string) (platform.Page, error)
		NewLease(ctx context.Context, lifetime time.Duration) (uint64, time.Duration, error)
		Commit(ctx context.Context, t platform.Transaction) (uint64, error)
	}

	// Controller keeps the planned share of prefill servers.
	Controller struct {
		name    string
		fleet   Registry
		store   Store
		pool    *upstream.Pool
		planner *stage.Planner
		logger  log.Interface
		orders  *metrics.Counter
		started time.Time
		// until is when this host may try to become the holder again.
		until time.Time
		// version is the list's, changed since when.
		version uint64
		changed time.Time
	}

	// mandate is the right to give orders for a while.
	mandate struct {
		token uint64
		ends  time.Time
		// isFirst is set where no host has given orders before.
		isFirst bool
	}
)

// New returns a keeper of the given share of prefill servers.
func New(name string, share float64, f Registry, store Store, pool *upstream.Pool, logger log.Interface, set *metrics.Set) *Controller {
	return &Controller{
		name: name, fleet: f, store: store, pool: pool, planner: stage.NewPlanner(share), logger: logger,
		orders: set.NewCounter(`hickoryfront_edge_orders_total`), started: time.Now(),
	}
}

// Run plans and orders until ctx ends.
func (k *Controller) Run(ctx context.Context) {
	for timing.Sleep(ctx, planPeriod) == nil {
		now := time.Now()
		if now.Before(k.until) || k.fleet.IsStoreLost() {
			continue
		}
		if !k.isSettled(now) {
			continue
		}
		isFirst := now.Sub(k.started) < firstPeriod
		if len(k.planner.Plan(now, k.fleet.Servers().Servers, isFirst)) == 0 {
			continue
		}
		k.until = now.Add(refusedPeriod)
		if err := k.change(ctx, isFirst); err != nil && !errors.Is(err, errNotHolder) {
			k.logger.WithError(err).Warn("stages not changed")
		}
	}
}

// isSettled reports whether the list of servers has not changed for a while:
// after a start, servers register one after the other.
func (k *Controller) isSettled(now time.Time) bool {
	if version := k.fleet.Servers().Version; version != k.version {
		k.version, k.changed = version, now
	}
	return now.Sub(k.changed) >= listPeriod
}

// change becomes the holder and orders what is due by then.
func (k *Controller) change(ctx context.Context, isStarting bool) error {
	m, err := k.become(ctx)
	if err != nil {
		return err
	}
	isFirst := isStarting && m.isFirst
	if !m.isFirst {
		if err := timing.Sleep(ctx, handoverPeriod); err != nil {
			return err
		}
		m.ends = m.ends.Add(handoverPeriod)
	}
	for time.Now().Before(m.ends) {
		for _, c := range k.planner.Plan(time.Now(), k.fleet.Servers().Servers, isFirst) {
			if err := k.order(ctx, m, c); err != nil {
				k.logger.WithError(err).WithField("server", c.Server.ID).Warn("order failed")
			}
		}
		if err := timing.Sleep(ctx, planPeriod); err != nil {
			return err
		}
	}
	return nil
}

// become takes the key of the holder. A second key without a lease tells whether
// there was a holder before.
func (k *Controller) become(ctx context.Context) (mandate, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := time.Now()
	lease, _, err := k.store.NewLease(ctx, holderLifetime)
	if err != nil {
		return mandate{}, fmt.Errorf("lease: %w", err)
	}
	token, err := k.take(ctx, lease, 0)
	if err == nil {
		return mandate{token: token, ends: begun.Add(orderPeriod), isFirst: true}, nil
	}
	if !errors.Is(err, platform.ErrConflict) {
		return mandate{}, fmt.Errorf("key of the holder: %w", err)
	}
	last, err := k.store.Get(ctx, platform.LastOrdererKey)
	if err != nil {
		return mandate{}, fmt.Errorf("last holder: %w", err)
	}
	token, err = k.take(ctx, lease, last.Items[0].Revision)
	if errors.Is(err, platform.ErrConflict) {
		return mandate{}, errNotHolder
	}
	if err != nil {
		return mandate{}, fmt.Errorf("key of the holder: %w", err)
	}
	return mandate{token: token, ends: begun.Add(orderPeriod)}, nil
}

func (k *Controller) take(ctx context.Context, lease, last uint64) (uint64, error) {
	return k.store.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: platform.OrdererKey}, {Key: platform.LastOrdererKey, Revision: last}},
		Puts: []platform.Put{
			{Key: platform.OrdererKey, Value: []byte(k.name), Lease: lease},
			{Key: platform.LastOrdererKey, Value: []byte(k.name)},
		},
	})
}

// order gives one order, guarded by the number of orders that the server has
// taken.
func (k *Controller) order(ctx context.Context, m mandate, c stage.Change) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, body, err := k.pool.Call(ctx, c.Server.Address, platform.ReportCall(c.Server.ID))
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("report answered %d: %w", status, err)
	}
	report, err := platform.DecodeReport(body)
	if err != nil {
		return err
	}
	if report.IsSwitching || report.Stage == c.To {
		return nil
	}
	call, err := platform.StageCall(c.Server.ID, platform.Order{
		Stage: c.To, Holder: k.name, Token: m.token, Expected: report.Orders,
	})
	if err != nil {
		return err
	}
	k.orders.Inc()
	k.planner.Ordered(time.Now(), c)
	status, _, err = k.pool.Call(ctx, c.Server.Address, call)
	k.logger.WithFields(log.Fields{
		"server": c.Server.ID, "stage": string(c.To), "token": m.token, "expected": report.Orders, "status": status, "error": fmt.Sprint(err),
	}).Info("stage ordered")
	return err
}
