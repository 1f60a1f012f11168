package orders_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/order"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/orders"
)

// settleTime is long enough for every order that is due to be carried out.
const settleTime = 3 * time.Minute

type (
	// leaseKV is a key-value service with leases in memory.
	leaseKV struct {
		mu       sync.Mutex
		index    uint64
		values   map[string]consul.Value
		leases   map[string]time.Time // by lease id: the time at which it expires
		ttl      map[string]time.Duration
		loseNext int // next compare-and-swaps that take effect and whose response is lost
	}

	// cutKV is one daemon's connection to the key-value service, which can be cut.
	cutKV struct {
		*leaseKV
		mu  sync.Mutex
		cut bool
	}

	// engineSet is a set of simulated engines.
	engineSet struct {
		mu         sync.Mutex
		byAddress  map[netip.AddrPort]*testEngine
		loading    int // orders in flight
		maxLoading int // maximum number of orders in flight at once
	}

	testEngine struct {
		server  backend.Server
		state   engine.StateReply
		history []string // versions, in the order in which they were loaded
		refused int
		dead    bool                                      // connections are refused
		silent  bool                                      // connections open and no response arrives
		busy    int                                       // next orders that fail with engine.ErrBusy
		lose    int                                       // next orders that take effect and whose response is lost
		latency func(r engine.OrderRequest) time.Duration // time until an order arrives
	}

	// daemon is the configuration, the homes and the connection of one manager.
	daemon struct {
		mu       sync.Mutex
		document *config.Document
		homes    []string
		kv       *cutKV
		engines  *engineSet
	}
)

func newLeaseKV() *leaseKV {
	return &leaseKV{values: map[string]consul.Value{}, leases: map[string]time.Time{}, ttl: map[string]time.Duration{}}
}

// expire ends the leases that have expired, and deletes their keys. The caller holds mu.
func (k *leaseKV) expire() {
	for id, end := range k.leases {
		if time.Now().After(end) {
			k.deleteLease(id)
		}
	}
}

func (k *leaseKV) deleteLease(id string) {
	delete(k.leases, id)
	for key, v := range k.values {
		if v.Lease == id {
			delete(k.values, key)
		}
	}
}

func (c *cutKV) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

func (c *cutKV) Get(_ context.Context, key string) (consul.Value, error) {
	if c.isCut() {
		return consul.Value{}, consul.ErrUnavailable
	}
	c.leaseKV.mu.Lock()
	defer c.leaseKV.mu.Unlock()
	return c.values[key], nil
}

func (c *cutKV) CompareAndSwap(_ context.Context, key string, data []byte, index uint64) (bool, error) {
	if c.isCut() {
		return false, consul.ErrUnavailable
	}
	c.leaseKV.mu.Lock()
	defer c.leaseKV.mu.Unlock()
	if c.values[key].Index != index {
		return false, nil
	}
	c.index++
	c.values[key] = consul.Value{Key: key, Data: data, Index: c.index}
	if c.loseNext > 0 {
		c.loseNext--
		return false, consul.ErrUnavailable
	}
	return true, nil
}

func (c *cutKV) Acquire(_ context.Context, key string, data []byte, lease string) (bool, error) {
	if c.isCut() {
		return false, consul.ErrUnavailable
	}
	c.leaseKV.mu.Lock()
	defer c.leaseKV.mu.Unlock()
	c.expire()
	if _, ok := c.leases[lease]; !ok || (c.values[key].Lease != "" && c.values[key].Lease != lease) {
		return false, nil
	}
	c.index++
	c.values[key] = consul.Value{Key: key, Data: data, Index: c.index, Lease: lease}
	return true, nil
}

func (c *cutKV) GrantLease(_ context.Context, _ string, ttl time.Duration) (string, error) {
	if c.isCut() {
		return "", consul.ErrUnavailable
	}
	c.leaseKV.mu.Lock()
	defer c.leaseKV.mu.Unlock()
	c.index++
	id := strconv.FormatUint(c.index, 10)
	c.leases[id], c.ttl[id] = time.Now().Add(ttl), ttl
	return id, nil
}

func (c *cutKV) KeepLease(_ context.Context, lease string) error {
	if c.isCut() {
		return consul.ErrUnavailable
	}
	c.leaseKV.mu.Lock()
	defer c.leaseKV.mu.Unlock()
	c.expire()
	if _, ok := c.leases[lease]; !ok {
		return consul.ErrLeaseExpired
	}
	c.leases[lease] = time.Now().Add(c.ttl[lease])
	return nil
}

func (c *cutKV) RevokeLease(_ context.Context, lease string) error {
	c.leaseKV.mu.Lock()
	defer c.leaseKV.mu.Unlock()
	c.deleteLease(lease)
	return nil
}

func newEngineSet(fencing backend.Fencing, n int) *engineSet {
	s := &engineSet{byAddress: map[netip.AddrPort]*testEngine{}}
	for i := range n {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		s.byAddress[address] = &testEngine{
			server: backend.Server{
				ID: fmt.Sprint("decode-", i), Address: address, Role: backend.RoleDecode, Model: "m",
				FailureDomain: "x", State: backend.StateLive, Fencing: fencing,
			},
			state: engine.StateReply{Role: "decode", Model: "m", Version: "1"},
		}
	}
	return s
}

func (s *engineSet) Candidates(string) []placement.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []placement.Candidate
	for _, e := range s.byAddress {
		candidates = append(candidates, placement.Candidate{Server: e.server})
	}
	return candidates
}

func (s *engineSet) State(ctx context.Context, address netip.AddrPort) (engine.StateReply, error) {
	if err := s.connect(ctx, address); err != nil {
		return engine.StateReply{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byAddress[address].state, nil
}

// connect fails for a dead engine and blocks until ctx ends for a silent one.
func (s *engineSet) connect(ctx context.Context, address netip.AddrPort) error {
	s.mu.Lock()
	dead, silent := s.byAddress[address].dead, s.byAddress[address].silent
	s.mu.Unlock()
	switch {
	case dead:
		return engine.ErrNotSent
	case silent:
		<-ctx.Done()
		return engine.ErrBroken
	}
	return nil
}

// forEach calls change for every engine.
func (s *engineSet) forEach(change func(*testEngine)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.byAddress {
		change(e)
	}
}

// Order applies an order after its latency, even if the call of the sender has timed out
// by then.
func (s *engineSet) Order(ctx context.Context, address netip.AddrPort, r engine.OrderRequest) error {
	if err := s.connect(ctx, address); err != nil {
		return err
	}
	s.mu.Lock()
	e := s.byAddress[address]
	latency := e.latency
	s.loading++
	s.maxLoading = max(s.maxLoading, s.loading)
	s.mu.Unlock()
	delay := time.Second
	if latency != nil {
		delay = latency(r)
	}
	arrived := make(chan error, 1)
	time.AfterFunc(delay, func() { arrived <- s.apply(e, r) })
	defer s.finish()
	select {
	case err := <-arrived:
		return err
	case <-ctx.Done():
		return engine.ErrBroken
	}
}

func (s *engineSet) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading--
}

func (s *engineSet) apply(e *testEngine, r engine.OrderRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.busy > 0 {
		e.busy--
		return engine.ErrBusy
	}
	if e.server.Fencing == backend.FencingChecked && r.Fence < e.state.Fence {
		e.refused++
		return engine.ErrFenced
	}
	e.state.Fence = max(e.state.Fence, r.Fence)
	if order.Kind(r.Kind) == order.LoadVersion {
		e.state.Version = r.Argument
		e.history = append(e.history, r.Argument)
	}
	if e.lose > 0 {
		e.lose--
		return engine.ErrBroken
	}
	return nil
}

// check fails if an engine does not run the version, or if it has loaded an older version
// after a newer one.
func (s *engineSet) check(t *testing.T, version string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.byAddress {
		if e.state.Version != version || !slices.IsSorted(e.history) {
			t.Errorf("%s runs version %s after loading %v, want %s and no older version after a newer one", e.server.ID, e.state.Version, e.history, version)
		}
	}
}

func (d *daemon) Current() *config.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.document
}

func (d *daemon) HomeHosts(time.Time) *rendezvous.HostSet {
	d.mu.Lock()
	defer d.mu.Unlock()
	return rendezvous.New(d.homes)
}

func (d *daemon) set(version int, homes ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version > 0 {
		d.document = documentAt(version)
	}
	d.homes = homes
}

func (d *daemon) setCut(cut bool) {
	d.kv.mu.Lock()
	defer d.kv.mu.Unlock()
	d.kv.cut = cut
}

// documentAt returns a configuration whose pool has the given version. The version is
// also the revision.
func documentAt(version int) *config.Document {
	text := fmt.Sprintf("[pool]\nmodel = m\nversion = %d\nloadShare = 0.5\n", version)
	d, err := config.FromEntries(uint64(version), []config.Entry{{Kind: config.KindPool, Name: "p", Text: text, Revision: uint64(version)}})
	if err != nil {
		panic(err)
	}
	return d
}

func startDaemon(t *testing.T, name string, kv *leaseKV, engines *engineSet) *daemon {
	t.Helper()
	d := &daemon{document: documentAt(2), kv: &cutKV{leaseKV: kv}, engines: engines}
	manager := orders.New(member.Host{Name: name, Incarnation: 1}, d.kv, engines, d, d, engines, &log.Logger{Handler: discard.Default}, metrics.NewSet())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	t.Cleanup(func() { cancel(); <-done })
	go runManager(ctx, manager, done)
	return d
}

func runManager(ctx context.Context, manager *orders.Manager, done chan<- struct{}) {
	defer close(done)
	manager.Run(ctx)
}

func forBothFencings(t *testing.T, test func(t *testing.T, fencing backend.Fencing)) {
	for _, fencing := range []backend.Fencing{backend.FencingChecked, backend.FencingIgnored} {
		t.Run("fencing "+string(fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, fencing) })
		})
	}
}

// TestOrdersReachEveryEngine checks that all engines get to the version of the pool, and
// that no more of them load weights at once than the pool's load share allows.
func TestOrdersReachEveryEngine(t *testing.T) {
	forBothFencings(t, func(t *testing.T, fencing backend.Fencing) {
		engines := newEngineSet(fencing, 6)
		a := startDaemon(t, "a", newLeaseKV(), engines)
		a.set(0, "a")
		time.Sleep(settleTime)
		engines.check(t, "2")
		a.set(3, "a")
		time.Sleep(settleTime)
		engines.check(t, "3")
		if engines.maxLoading > 3 {
			t.Errorf("%d of 6 engines loaded at once, want at most half", engines.maxLoading)
		}
	})
}

// TestOldOrderArrivesLate guards against an engine that goes back to an old version. An
// owner sends an order and is paused or cut off while the order is in flight. Its lease
// expires, a new owner orders a newer version, and then the old order arrives.
//
// proof: daemon paused | order | 8
// proof: lease lapsed | order | 8
// proof: daemons cut off + lease lapsed | order | 8
func TestOldOrderArrivesLate(t *testing.T) {
	forBothFencings(t, func(t *testing.T, fencing backend.Fencing) {
		engines := newEngineSet(fencing, 2)
		for _, e := range engines.byAddress {
			e.latency = func(r engine.OrderRequest) time.Duration {
				if r.Argument == "2" {
					return order.MaxOrderDuration // the maximum time that an order may be in flight
				}
				return time.Second
			}
		}
		kv := newLeaseKV()
		a, b := startDaemon(t, "a", kv, engines), startDaemon(t, "b", kv, engines)
		a.set(0, "a")
		b.set(0, "a")
		time.Sleep(2 * time.Second) // the order of version 2 is in flight
		a.setCut(true)
		b.set(3, "b")
		time.Sleep(settleTime)
		engines.check(t, "3")
		a.setCut(false)
		time.Sleep(settleTime) // the old owner is connected again and still has version 2 in its configuration
		engines.check(t, "3")
	})
}

// TestTwoDaemonsActAsHome guards against orders from two daemons to the same engines
// when each assumes that it is the home of the group and they have different
// configurations.
//
// proof: operators race | order | 8
// proof: daemons cut off | order | 8
func TestTwoDaemonsActAsHome(t *testing.T) {
	forBothFencings(t, func(t *testing.T, fencing backend.Fencing) {
		engines, kv := newEngineSet(fencing, 4), newLeaseKV()
		a, b := startDaemon(t, "a", kv, engines), startDaemon(t, "b", kv, engines)
		a.set(2, "a")
		b.set(3, "b")
		time.Sleep(settleTime)
		a.set(3, "a")
		time.Sleep(settleTime)
		engines.check(t, "3")
	})
}

// TestNewOwnerLagsBehind guards against a new owner with an older configuration that
// orders a version which the previous owner has already replaced.
//
// proof: daemon killed | order | 8
func TestNewOwnerLagsBehind(t *testing.T) {
	forBothFencings(t, func(t *testing.T, fencing backend.Fencing) {
		engines, kv := newEngineSet(fencing, 2), newLeaseKV()
		a, b := startDaemon(t, "a", kv, engines), startDaemon(t, "b", kv, engines)
		a.set(3, "a")
		b.set(2, "a")
		time.Sleep(settleTime)
		engines.check(t, "3")
		a.set(0) // a is no longer a home
		a.setCut(true)
		b.set(0, "b")
		time.Sleep(settleTime)
		engines.check(t, "3")
		b.set(4, "b")
		time.Sleep(settleTime)
		engines.check(t, "4")
	})
}

// TestOrderResponseLost guards against repeating an order whose response was lost, without
// reading the state of the engine first. The response to the write of the ownership is
// lost as well.
//
// proof: answer lost | order | 8
func TestOrderResponseLost(t *testing.T) {
	forBothFencings(t, func(t *testing.T, fencing backend.Fencing) {
		engines, kv := newEngineSet(fencing, 2), newLeaseKV()
		kv.loseNext = 1 // the write of the ownership
		for _, e := range engines.byAddress {
			e.lose = 1
		}
		a := startDaemon(t, "a", kv, engines)
		a.set(0, "a")
		time.Sleep(settleTime)
		engines.check(t, "2")
		for _, e := range engines.byAddress {
			if len(e.history) != 1 {
				t.Errorf("%s loaded %v: the order was retried without reading the state first", e.server.ID, e.history)
			}
		}
	})
}

// TestWeightStoreAtItsLimit checks that engines that refuse orders as busy at first, because
// the store of the weights is at its limit, get to the version of the pool later.
//
// proof: platform slow | order | 8
func TestWeightStoreAtItsLimit(t *testing.T) {
	forBothFencings(t, func(t *testing.T, fencing backend.Fencing) {
		engines := newEngineSet(fencing, 4)
		for _, e := range engines.byAddress {
			e.busy = 3
		}
		a := startDaemon(t, "a", newLeaseKV(), engines)
		a.set(0, "a")
		time.Sleep(settleTime)
		engines.check(t, "2")
	})
}

// TestNoOrdersWithoutLease checks that an owner that is cut off from the platform sends no
// orders after its lease has expired, and sends them again when it has a new lease.
//
// proof: platform down | order | 8
func TestNoOrdersWithoutLease(t *testing.T) {
	forBothFencings(t, func(t *testing.T, fencing backend.Fencing) {
		engines := newEngineSet(fencing, 2)
		a := startDaemon(t, "a", newLeaseKV(), engines)
		a.set(0, "a")
		time.Sleep(settleTime)
		a.setCut(true)
		time.Sleep(time.Minute)
		a.set(3, "a")
		time.Sleep(settleTime)
		engines.check(t, "2") // no order without a lease
		a.setCut(false)
		time.Sleep(settleTime)
		engines.check(t, "3")
	})
}

// TestEnginesFailDuringOrders checks that engines that are killed, become silent, leave or
// restart with an old version while orders are due get to the new version afterwards.
//
// proof: backend server killed | order | 8
// proof: silent connection | order | 8
// proof: backend server leaving | order | 6
// proof: failure domain lost | order | 8
func TestEnginesFailDuringOrders(t *testing.T) {
	tests := []struct {
		name  string
		fail  func(*testEngine)
		heal  func(*testEngine)
		while string // version that the engines run while they fail
	}{
		{name: "killed", fail: func(e *testEngine) { e.dead = true }, heal: func(e *testEngine) { e.dead = false }, while: "2"},
		{
			name: "killed and started with the old version", while: "1",
			fail: func(e *testEngine) { e.dead, e.state.Version, e.state.Fence, e.history = true, "1", 0, nil },
			heal: func(e *testEngine) { e.dead = false },
		},
		{name: "silent", fail: func(e *testEngine) { e.silent = true }, heal: func(e *testEngine) { e.silent = false }, while: "2"},
		{
			name: "leaving", while: "2",
			fail: func(e *testEngine) { e.server.State = backend.StateLeaving },
			heal: func(e *testEngine) { e.server.State = backend.StateLive },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			forBothFencings(t, func(t *testing.T, fencing backend.Fencing) {
				engines := newEngineSet(fencing, 3)
				a := startDaemon(t, "a", newLeaseKV(), engines)
				a.set(0, "a")
				time.Sleep(settleTime)
				engines.check(t, "2")
				engines.forEach(tt.fail)
				a.set(3, "a")
				time.Sleep(settleTime)
				engines.forEach(func(e *testEngine) {
					if e.state.Version != tt.while {
						t.Errorf("%s runs version %s while it fails, want %s", e.server.ID, e.state.Version, tt.while)
					}
				})
				engines.forEach(tt.heal)
				time.Sleep(settleTime)
				engines.check(t, "3")
			})
		})
	}
}
