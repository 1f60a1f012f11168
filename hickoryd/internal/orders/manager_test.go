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
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/orders"
	"github.com/hickoryfront/hickoryfront/hickoryd/platform"
)

const settleTime = 3 * time.Minute

type (
	// leaseKV is a key-value service with leases in memory.
	leaseKV struct {
		mu       sync.Mutex
		index    uint64
		values   map[string]platform.Value
		leases   map[string]time.Time // end
		ttl      map[string]time.Duration
		loseNext int // compare-and-swaps whose answer is lost after the effect
	}

	// cutKV is one daemon's connection to it.
	cutKV struct {
		*leaseKV
		mu  sync.Mutex
		cut bool
	}

	// lab is a set of engines.
	lab struct {
		mu      sync.Mutex
		engines map[netip.AddrPort]*labEngine
		loading int
		most    int
	}

	labEngine struct {
		server  backend.Server
		state   engine.StateReply
		history []string // versions, in the order in which they were loaded
		refused int
		dead    bool                                      // no connection
		silent  bool                                      // connections open and no answer comes
		busy    int                                       // orders to answer with busy
		lose    int                                       // orders whose answer is lost after the effect
		hold    func(r engine.OrderRequest) time.Duration // time that an order spends on its way
	}

	// daemon is one manager with its view of the world.
	daemon struct {
		mu       sync.Mutex
		document *config.Document
		homes    []string
		kv       *cutKV
		lab      *lab
	}
)

func newLeaseKV() *leaseKV {
	return &leaseKV{values: map[string]platform.Value{}, leases: map[string]time.Time{}, ttl: map[string]time.Duration{}}
}

// expire drops the keys of lapsed leases. The caller holds mu.
func (k *leaseKV) expire() {
	for id, end := range k.leases {
		if time.Now().After(end) {
			k.drop(id)
		}
	}
}

func (k *leaseKV) drop(id string) {
	delete(k.leases, id)
	for key, v := range k.values {
		if v.Lease == id {
			delete(k.values, key)
		}
	}
}

func (c *cutKV) down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

func (c *cutKV) Get(_ context.Context, key string) (platform.Value, error) {
	if c.down() {
		return platform.Value{}, platform.ErrUnavailable
	}
	c.leaseKV.mu.Lock()
	defer c.leaseKV.mu.Unlock()
	return c.values[key], nil
}

func (c *cutKV) CompareAndSwap(_ context.Context, key string, data []byte, index uint64) (bool, error) {
	if c.down() {
		return false, platform.ErrUnavailable
	}
	c.leaseKV.mu.Lock()
	defer c.leaseKV.mu.Unlock()
	if c.values[key].Index != index {
		return false, nil
	}
	c.index++
	c.values[key] = platform.Value{Key: key, Data: data, Index: c.index}
	if c.loseNext > 0 {
		c.loseNext--
		return false, platform.ErrUnavailable
	}
	return true, nil
}

func (c *cutKV) Acquire(_ context.Context, key string, data []byte, lease string) (bool, error) {
	if c.down() {
		return false, platform.ErrUnavailable
	}
	c.leaseKV.mu.Lock()
	defer c.leaseKV.mu.Unlock()
	c.expire()
	if _, ok := c.leases[lease]; !ok || (c.values[key].Lease != "" && c.values[key].Lease != lease) {
		return false, nil
	}
	c.index++
	c.values[key] = platform.Value{Key: key, Data: data, Index: c.index, Lease: lease}
	return true, nil
}

func (c *cutKV) GrantLease(_ context.Context, _ string, ttl time.Duration) (string, error) {
	if c.down() {
		return "", platform.ErrUnavailable
	}
	c.leaseKV.mu.Lock()
	defer c.leaseKV.mu.Unlock()
	c.index++
	id := strconv.FormatUint(c.index, 10)
	c.leases[id], c.ttl[id] = time.Now().Add(ttl), ttl
	return id, nil
}

func (c *cutKV) KeepLease(_ context.Context, lease string) error {
	if c.down() {
		return platform.ErrUnavailable
	}
	c.leaseKV.mu.Lock()
	defer c.leaseKV.mu.Unlock()
	c.expire()
	if _, ok := c.leases[lease]; !ok {
		return platform.ErrLeaseLost
	}
	c.leases[lease] = time.Now().Add(c.ttl[lease])
	return nil
}

func (c *cutKV) RevokeLease(_ context.Context, lease string) error {
	c.leaseKV.mu.Lock()
	defer c.leaseKV.mu.Unlock()
	c.drop(lease)
	return nil
}

func newLab(fencing backend.Fencing, n int) *lab {
	l := &lab{engines: map[netip.AddrPort]*labEngine{}}
	for i := range n {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		l.engines[address] = &labEngine{
			server: backend.Server{
				ID: fmt.Sprint("decode-", i), Address: address, Role: backend.RoleDecode, Model: "m",
				FailureDomain: "x", State: backend.StateLive, Fencing: fencing,
			},
			state: engine.StateReply{Role: "decode", Model: "m", Version: "1"},
		}
	}
	return l
}

func (l *lab) Candidates(string) []placement.Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	var candidates []placement.Candidate
	for _, e := range l.engines {
		candidates = append(candidates, placement.Candidate{Server: e.server})
	}
	return candidates
}

func (l *lab) State(ctx context.Context, address netip.AddrPort) (engine.StateReply, error) {
	if err := l.connect(ctx, address); err != nil {
		return engine.StateReply{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines[address].state, nil
}

// connect fails for a dead engine and waits in vain for a silent one.
func (l *lab) connect(ctx context.Context, address netip.AddrPort) error {
	l.mu.Lock()
	dead, silent := l.engines[address].dead, l.engines[address].silent
	l.mu.Unlock()
	switch {
	case dead:
		return engine.ErrNotSent
	case silent:
		<-ctx.Done()
		return engine.ErrBroken
	}
	return nil
}

// change changes every engine.
func (l *lab) change(change func(*labEngine)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.engines {
		change(e)
	}
}

// Order carries an order out after its time on the way, also when the sender
// has given up meanwhile.
func (l *lab) Order(ctx context.Context, address netip.AddrPort, r engine.OrderRequest) error {
	if err := l.connect(ctx, address); err != nil {
		return err
	}
	l.mu.Lock()
	e := l.engines[address]
	hold := e.hold
	l.loading++
	l.most = max(l.most, l.loading)
	l.mu.Unlock()
	travel := time.Second
	if hold != nil {
		travel = hold(r)
	}
	arrived := make(chan error, 1)
	time.AfterFunc(travel, func() { arrived <- l.carryOut(e, r) })
	defer l.finish()
	select {
	case err := <-arrived:
		return err
	case <-ctx.Done():
		return engine.ErrBroken
	}
}

func (l *lab) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loading--
}

func (l *lab) carryOut(e *labEngine, r engine.OrderRequest) error {
	l.mu.Lock()
	defer l.mu.Unlock()
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

// check fails if an engine does not run the version, or went back to an older
// one on the way.
func (l *lab) check(t *testing.T, version string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.engines {
		if e.state.Version != version || !slices.IsSorted(e.history) {
			t.Errorf("%s runs version %s after loading %v, want %s and never back", e.server.ID, e.state.Version, e.history, version)
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

// documentAt returns the configuration whose pool wants the version, which is
// also its revision.
func documentAt(version int) *config.Document {
	text := fmt.Sprintf("[pool]\nmodel = m\nversion = %d\nloadShare = 0.5\n", version)
	d, err := config.FromEntries(uint64(version), []config.Entry{{Kind: config.KindPool, Name: "p", Text: text, Revision: uint64(version)}})
	if err != nil {
		panic(err)
	}
	return d
}

func startDaemon(t *testing.T, name string, kv *leaseKV, l *lab) *daemon {
	t.Helper()
	d := &daemon{document: documentAt(2), kv: &cutKV{leaseKV: kv}, lab: l}
	manager := orders.New(member.Host{Name: name, Incarnation: 1}, d.kv, l, d, d, l, &log.Logger{Handler: discard.Default}, metrics.NewSet())
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

func forBoth(t *testing.T, test func(t *testing.T, fencing backend.Fencing)) {
	for _, fencing := range []backend.Fencing{backend.FencingChecked, backend.FencingIgnored} {
		t.Run("fencing "+string(fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, fencing) })
		})
	}
}

func TestOrdersReachEveryEngine(t *testing.T) {
	forBoth(t, func(t *testing.T, fencing backend.Fencing) {
		l := newLab(fencing, 6)
		a := startDaemon(t, "a", newLeaseKV(), l)
		a.set(0, "a")
		time.Sleep(settleTime)
		l.check(t, "2")
		a.set(3, "a")
		time.Sleep(settleTime)
		l.check(t, "3")
		if l.most > 3 {
			t.Errorf("%d of 6 engines loaded at once, want at most half", l.most)
		}
	})
}

// An owner sends an order and is paused or cut off while it is on its way. Its
// lease lapses, a new owner orders a newer version, and the old order arrives.
//
// proof: daemon paused | order | 8
// proof: lease lapsed | order | 8
// proof: daemons cut off + lease lapsed | order | 8
func TestOldOrderArrivesLate(t *testing.T) {
	forBoth(t, func(t *testing.T, fencing backend.Fencing) {
		l := newLab(fencing, 2)
		for _, e := range l.engines {
			e.hold = func(r engine.OrderRequest) time.Duration {
				if r.Argument == "2" {
					return order.MaxOrderDuration // the longest that an order may be in flight
				}
				return time.Second
			}
		}
		kv := newLeaseKV()
		a, b := startDaemon(t, "a", kv, l), startDaemon(t, "b", kv, l)
		a.set(0, "a")
		b.set(0, "a")
		time.Sleep(2 * time.Second) // the order of version 2 is on its way
		a.setCut(true)
		b.set(3, "b")
		time.Sleep(settleTime)
		l.check(t, "3")
		a.setCut(false)
		time.Sleep(settleTime) // the old owner is back and still believes in version 2
		l.check(t, "3")
	})
}

// proof: operators race | order | 8
// proof: daemons cut off | order | 8
func TestTwoDaemonsBelieveToBeHome(t *testing.T) {
	forBoth(t, func(t *testing.T, fencing backend.Fencing) {
		l, kv := newLab(fencing, 4), newLeaseKV()
		a, b := startDaemon(t, "a", kv, l), startDaemon(t, "b", kv, l)
		a.set(2, "a")
		b.set(3, "b")
		time.Sleep(settleTime)
		a.set(3, "a")
		time.Sleep(settleTime)
		l.check(t, "3")
	})
}

// A new owner whose configuration lags must not order what was replaced.
//
// proof: daemon killed | order | 8
func TestNewOwnerLagsBehind(t *testing.T) {
	forBoth(t, func(t *testing.T, fencing backend.Fencing) {
		l, kv := newLab(fencing, 2), newLeaseKV()
		a, b := startDaemon(t, "a", kv, l), startDaemon(t, "b", kv, l)
		a.set(3, "a")
		b.set(2, "a")
		time.Sleep(settleTime)
		l.check(t, "3")
		a.set(0) // a is no home any more
		a.setCut(true)
		b.set(0, "b")
		time.Sleep(settleTime)
		l.check(t, "3")
		b.set(4, "b")
		time.Sleep(settleTime)
		l.check(t, "4")
	})
}

// proof: answer lost | order | 8
func TestAnswerOfOrderLost(t *testing.T) {
	forBoth(t, func(t *testing.T, fencing backend.Fencing) {
		l, kv := newLab(fencing, 2), newLeaseKV()
		kv.loseNext = 1 // of the fencing number, too
		for _, e := range l.engines {
			e.lose = 1
		}
		a := startDaemon(t, "a", kv, l)
		a.set(0, "a")
		time.Sleep(settleTime)
		l.check(t, "2")
		for _, e := range l.engines {
			if len(e.history) != 1 {
				t.Errorf("%s loaded %v: the order was repeated without a look at the state", e.server.ID, e.history)
			}
		}
	})
}

// proof: platform slow | order | 8
func TestWeightStoreAtItsLimit(t *testing.T) {
	forBoth(t, func(t *testing.T, fencing backend.Fencing) {
		l := newLab(fencing, 4)
		for _, e := range l.engines {
			e.busy = 3
		}
		a := startDaemon(t, "a", newLeaseKV(), l)
		a.set(0, "a")
		time.Sleep(settleTime)
		l.check(t, "2")
	})
}

// proof: platform down | order | 8
func TestNoOrdersWithoutLease(t *testing.T) {
	forBoth(t, func(t *testing.T, fencing backend.Fencing) {
		l := newLab(fencing, 2)
		a := startDaemon(t, "a", newLeaseKV(), l)
		a.set(0, "a")
		time.Sleep(settleTime)
		a.setCut(true)
		time.Sleep(time.Minute)
		a.set(3, "a")
		time.Sleep(settleTime)
		l.check(t, "2") // no order without a lease
		a.setCut(false)
		time.Sleep(settleTime)
		l.check(t, "3")
	})
}

// Engines die, go silent, leave or come back as they were while orders are due.
//
// proof: backend server killed | order | 8
// proof: silent connection | order | 8
// proof: backend server leaving | order | 6
// proof: failure domain lost | order | 8
func TestEnginesFailDuringOrders(t *testing.T) {
	tests := []struct {
		name  string
		fail  func(*labEngine)
		heal  func(*labEngine)
		while string // version that the engines run while they fail
	}{
		{name: "killed", fail: func(e *labEngine) { e.dead = true }, heal: func(e *labEngine) { e.dead = false }, while: "2"},
		{
			name: "killed and started with the old version", while: "1",
			fail: func(e *labEngine) { e.dead, e.state.Version, e.state.Fence, e.history = true, "1", 0, nil },
			heal: func(e *labEngine) { e.dead = false },
		},
		{name: "silent", fail: func(e *labEngine) { e.silent = true }, heal: func(e *labEngine) { e.silent = false }, while: "2"},
		{
			name: "leaving", while: "2",
			fail: func(e *labEngine) { e.server.State = backend.StateLeaving },
			heal: func(e *labEngine) { e.server.State = backend.StateLive },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			forBoth(t, func(t *testing.T, fencing backend.Fencing) {
				l := newLab(fencing, 3)
				a := startDaemon(t, "a", newLeaseKV(), l)
				a.set(0, "a")
				time.Sleep(settleTime)
				l.check(t, "2")
				l.change(tt.fail)
				a.set(3, "a")
				time.Sleep(settleTime)
				l.change(func(e *labEngine) {
					if e.state.Version != tt.while {
						t.Errorf("%s runs version %s while it fails, want %s", e.server.ID, e.state.Version, tt.while)
					}
				})
				l.change(tt.heal)
				time.Sleep(settleTime)
				l.check(t, "3")
			})
		})
	}
}
