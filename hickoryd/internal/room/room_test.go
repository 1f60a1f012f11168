package room_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	coreroom "github.com/hickoryfront/hickoryfront/core/room"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/room"
)

const (
	hostCount = 5
	slots     = 4
	service   = "shop"
	// serviceCount is the number of further services.
	serviceCount = 10
	// waitTimeout ends a wait whose condition never holds.
	waitTimeout = 20 * time.Second
)

type (
	// cluster is some hosts whose calls reach each other in one process.
	cluster struct {
		tb    testing.TB
		hosts []netip.AddrPort
		rooms map[netip.AddrPort]*room.Rooms
		// fault answers for a host in place of its rooms, unless it is nil.
		fault atomic.Pointer[func(ctx context.Context) error]
		calls atomic.Int64
	}

	// list is what one host knows.
	list struct {
		hosts   []netip.AddrPort
		servers []serverlist.Server
	}
)

func (l list) Hosts() []netip.AddrPort     { return l.hosts }
func (l list) Servers() *registry.Snapshot { return &registry.Snapshot{Servers: l.servers, Version: 1} }

func (c *cluster) AcquireRoom(ctx context.Context, address netip.AddrPort, pool coreroom.Pool, request coreroom.Request, inFlight map[string]int) (coreroom.Answer, error) {
	c.calls.Add(1)
	if fault := c.fault.Load(); fault != nil {
		if err := (*fault)(ctx); err != nil {
			return coreroom.Answer{}, err
		}
	}
	return c.rooms[address].AcquireRoom(ctx, pool, request, inFlight), ctx.Err()
}

func (c *cluster) ReleaseRoom(_ context.Context, address netip.AddrPort, pool coreroom.Pool, released []coreroom.Released) error {
	c.rooms[address].ReleaseRoom(pool, released)
	return nil
}

// newCluster starts hosts that know the same servers. Those with an odd number know only the
// first host if isSplit is set.
func newCluster(t *testing.T, isSplit bool) *cluster {
	return newClusterOf(t, isSplit, 1)
}

// newClusterOf is newCluster with a number of homes of each service.
func newClusterOf(t *testing.T, isSplit bool, homes int) *cluster {
	c := &cluster{tb: t, rooms: make(map[netip.AddrPort]*room.Rooms)}
	for i := range hostCount {
		c.hosts = append(c.hosts, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(10 + i)}), 82))
	}
	known := []serverlist.Server{{ID: "a", Service: service, Slots: slots}, {ID: "b", Service: service, Slots: slots}, {ID: "m", Service: "model", Stage: serverlist.Decode, Slots: slots}}
	for i := range serviceCount {
		known = append(known, serverlist.Server{ID: fmt.Sprint("a", i), Service: fmt.Sprint(service, i), Slots: slots})
	}
	for i, address := range c.hosts {
		l := list{c.hosts, known}
		if isSplit && i%2 == 1 {
			l.hosts = c.hosts[:1]
		}
		c.rooms[address] = room.New(t.Context(), room.Options{Self: address, Homes: homes}, l, c, &log.Logger{Handler: discard.New()}, metrics.NewSet())
	}
	return c
}

// home returns the host that grants room, and another one.
func (c *cluster) home() (home, other netip.AddrPort) {
	for _, address := range c.hosts {
		grant, err := c.rooms[address].Acquire(c.tb.Context(), newAsk(time.Second))
		if err != nil {
			c.tb.Fatal(err)
		}
		grant.Release(coreroom.Served, 10*time.Millisecond)
	}
	for _, address := range c.hosts {
		var s hoststate.State
		if c.rooms[address].Describe(&s); len(s.Rooms) > 0 {
			home = address
		} else {
			other = address
		}
	}
	return home, other
}

func newAsk(target time.Duration) room.Ask {
	now := time.Now()
	return room.Ask{Pool: coreroom.Pool{Service: service}, Urgency: 5, Arrived: now, Target: now.Add(target), Deadline: now.Add(2 * target)}
}

// TestOneHomeCountsForAllHosts guards against grants beyond the slots while all hosts ask at
// once, and against grants that are not released.
func TestOneHomeCountsForAllHosts(t *testing.T) {
	c := newCluster(t, false)
	var inFlight, most, served atomic.Int64
	var group sync.WaitGroup
	for i := range 60 {
		group.Go(func() {
			grant, err := c.rooms[c.hosts[i%hostCount]].Acquire(t.Context(), newAsk(waitTimeout))
			if err != nil {
				t.Error(err)
				return
			}
			now := inFlight.Add(1)
			for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
			}
			time.Sleep(20 * time.Millisecond)
			inFlight.Add(-1)
			served.Add(1)
			grant.Release(coreroom.Served, 20*time.Millisecond)
		})
	}
	group.Wait()
	if limit := int64(2 * (slots + slots/2)); served.Load() != 60 || most.Load() > limit {
		t.Errorf("%d of 60 served, at most %d at once, limit %d", served.Load(), most.Load(), limit)
	}
	home, _ := c.home()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		var s hoststate.State
		c.rooms[home].Describe(&s)
		if left := s.Rooms[0].Servers[0].Granted + s.Rooms[0].Servers[1].Granted; left == 0 {
			return
		} else if time.Now().After(deadline) {
			t.Fatalf("%d grants are not released", left)
		}
	}
}

// TestHostsDoWithoutHome guards against requests that are refused, or wait, for lack of a home,
// and against asking a home that has not responded again and again.
func TestHostsDoWithoutHome(t *testing.T) {
	silent := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	tests := []struct {
		name  string
		fault func(ctx context.Context) error
		// wantAtLeast is the least time until the host chooses itself.
		wantAtLeast time.Duration
	}{
		{"the home is dead", func(context.Context) error { return errors.New("connection refused") }, 0},
		{"the home is silent", silent, 150 * time.Millisecond},
		{"the home is slow", func(ctx context.Context) error {
			select {
			case <-time.After(time.Second):
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}, 150 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, false)
			_, other := c.home()
			c.fault.Store(&tt.fault)
			c.calls.Store(0)
			began := time.Now()
			// The target is far away: a host must not wait for it.
			_, err := c.rooms[other].Acquire(t.Context(), newAsk(waitTimeout))
			if took := time.Since(began); !errors.Is(err, room.ErrNoHome) || took < tt.wantAtLeast || took > waitTimeout/2 {
				t.Errorf("error %v after %v", err, took)
			}
			t.Logf("the host chooses itself after %v", time.Since(began))
			if _, err := c.rooms[other].Acquire(t.Context(), newAsk(waitTimeout)); !errors.Is(err, room.ErrNoHome) || c.calls.Load() != 1 {
				t.Errorf("error %v, %d calls, want 1", err, c.calls.Load())
			}
			c.fault.Store(nil)
			for deadline := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
				if _, err := c.rooms[other].Acquire(t.Context(), newAsk(waitTimeout)); err == nil {
					return
				} else if time.Now().After(deadline) {
					t.Fatalf("error %v after the home has recovered", err)
				}
			}
		})
	}
}

// TestRefusal checks what a host gets that asks for more than the servers can do, and that a
// caller who disconnects leaves the queue.
func TestRefusal(t *testing.T) {
	c := newCluster(t, false)
	_, other := c.home()
	var held []*room.Grant
	var refusal *room.Refusal
	for range 4 * slots {
		grant, err := c.rooms[other].Acquire(t.Context(), newAsk(300*time.Millisecond))
		if errors.As(err, &refusal) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, grant)
	}
	if refusal == nil || refusal.RetryAfter < coreroom.MinRetryAfter {
		t.Fatalf("refusal %+v after %d grants", refusal, len(held))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := c.rooms[other].Acquire(ctx, newAsk(waitTimeout)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v of a caller who disconnects", err)
	}
}

// TestHostsDisagree guards against requests that fail or wait while hosts have different lists,
// and against two homes that grant the same room where the asked one knows of the other.
func TestHostsDisagree(t *testing.T) {
	c := newCluster(t, true)
	granted, own := 0, 0
	for _, address := range c.hosts {
		for i := range serviceCount {
			ask := newAsk(waitTimeout)
			ask.Pool.Service = fmt.Sprint(service, i)
			grant, err := c.rooms[address].Acquire(t.Context(), ask)
			switch {
			case err == nil:
				granted++
				grant.Release(coreroom.Served, time.Millisecond)
			case errors.Is(err, room.ErrNoHome):
				own++
			default:
				t.Errorf("error %v", err)
			}
		}
	}
	if granted == 0 || own == 0 {
		t.Errorf("%d requests granted, %d left to their hosts; want some of each", granted, own)
	}
}

// TestHomesShareSlots guards against homes that grant more together than the servers take, and
// against a home that gets the asks of all hosts.
func TestHomesShareSlots(t *testing.T) {
	c := newClusterOf(t, false, 3)
	var grants []*room.Grant
	for i := range 100 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		if grant, err := c.rooms[c.hosts[i%hostCount]].Acquire(ctx, newAsk(waitTimeout)); err == nil {
			grants = append(grants, grant)
		}
		cancel()
	}
	homes, listed := 0, 0
	for _, address := range c.hosts {
		var s hoststate.State
		if c.rooms[address].Describe(&s); len(s.Rooms) > 0 {
			homes++
			for _, server := range s.Rooms[0].Servers {
				listed += server.Granted
			}
		}
	}
	// Three parts of the slots of two servers, each rounded up and with one request in advance.
	if most := 2 * (slots + 2 + 3); len(grants) < slots || len(grants) > most || listed != len(grants) || homes < 2 {
		t.Errorf("%d grants, %d listed at %d homes, want at most %d at several homes", len(grants), listed, homes, most)
	}
	for _, grant := range grants {
		grant.Release(coreroom.Served, time.Millisecond)
	}
}
