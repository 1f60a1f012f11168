package peer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"google.golang.org/protobuf/proto"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	heartbeat = 500 * time.Millisecond
	timeout   = 3 * time.Second
	fanout    = 2
	domains   = 4
	latency   = 2 * time.Millisecond
)

var errRefused = errors.New("connection refused")

type (
	// network carries heartbeats between daemons in memory.
	network struct {
		tb     testing.TB
		mu     sync.Mutex
		nodes  map[netip.AddrPort]*node
		blocks map[link]bool // one way
		delay  map[netip.AddrPort]time.Duration
		bytes  atomic.Uint64
	}

	link struct{ from, to netip.AddrPort }

	// node is one daemon's membership.
	node struct {
		*peer.Membership
		network *network
		host    member.Host
		stop    context.CancelFunc
		done    chan struct{}
		gone    bool // refuses connections
		paused  bool // accepts connections and does not answer
		servers atomic.Int64
	}
)

func newNetwork(t *testing.T, size int) (*network, []*node) {
	n := &network{tb: t, nodes: map[netip.AddrPort]*node{}, blocks: map[link]bool{}, delay: map[netip.AddrPort]time.Duration{}}
	nodes := make([]*node, size)
	for i := range nodes {
		nodes[i] = n.start(i, 1)
	}
	t.Cleanup(n.stop)
	return n, nodes
}

func (n *network) start(number int, incarnation uint64) *node {
	host := member.Host{
		Name: fmt.Sprintf("host-%03d", number), Incarnation: incarnation, FailureDomain: fmt.Sprintf("domain-%d", number%domains),
		PeerAddress: addressOf(number),
	}
	logger := &log.Logger{Handler: json.New(io.Discard), Level: log.InfoLevel}
	added := &node{network: n, host: host}
	added.Membership = peer.NewMembership(host, peer.Options{
		Heartbeat: heartbeat, Timeout: timeout, Fanout: fanout, Seeds: []netip.AddrPort{addressOf(0), addressOf(1)},
	}, added, added, logger, metrics.NewSet())
	n.mu.Lock()
	n.nodes[host.PeerAddress] = added
	n.mu.Unlock()
	added.resume()
	return added
}

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(number >> 8), byte(number)}), 1)
}

func (n *network) stop() {
	for _, node := range n.nodes {
		if !node.paused {
			node.halt()
		}
	}
}

// kill ends a daemon: its connections are refused from now on.
func (x *node) kill() {
	x.network.mu.Lock()
	x.gone = true
	x.network.mu.Unlock()
	x.halt()
}

// pause stops a daemon without closing its connections.
func (x *node) pause() {
	x.network.mu.Lock()
	x.paused = true
	x.network.mu.Unlock()
	x.halt()
}

func (x *node) halt() {
	x.stop()
	<-x.done
}

// resume starts the heartbeats of a new or paused daemon.
func (x *node) resume() {
	x.network.mu.Lock()
	x.paused = false
	x.network.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	x.done = make(chan struct{})
	go x.run(ctx, x.done)
}

func (x *node) run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	x.Run(ctx)
}

// Heartbeat implements peer.Transport.
func (x *node) Heartbeat(ctx context.Context, to netip.AddrPort, request *peerapi.HeartbeatRequest) (*peerapi.HeartbeatResponse, error) {
	target, err := x.network.carry(ctx, x.host.PeerAddress, to, request)
	if err != nil {
		return nil, err
	}
	response := target.Receive(time.Now(), request)
	_, err = x.network.carry(ctx, to, x.host.PeerAddress, response)
	return response, err
}

// Probe implements peer.Transport.
func (x *node) Probe(ctx context.Context, to netip.AddrPort, request *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error) {
	target, err := x.network.carry(ctx, x.host.PeerAddress, to, request)
	if err != nil {
		return nil, err
	}
	response := &peerapi.ProbeResponse{Reached: target.Membership.Probe(ctx, peer.HostFromWire(request.GetTarget()))}
	_, err = x.network.carry(ctx, to, x.host.PeerAddress, response)
	return response, err
}

// Drop implements peer.Transport.
func (x *node) Drop(netip.AddrPort) {}

// LocalLoads implements peer.Loads.
func (x *node) LocalLoads(now time.Time) []backend.Load {
	loads := make([]backend.Load, x.servers.Load())
	for i := range loads {
		loads[i] = backend.Load{ServerID: fmt.Sprintf("decode-%s-%03d", x.host.Name, i), SlotsUsed: 17, SlotsTotal: 20, ObservedAt: now}
	}
	return loads
}

// ObserveRemote implements peer.Loads.
func (x *node) ObserveRemote(backend.Load) {}

// carry takes a message one way.
func (n *network) carry(ctx context.Context, from, to netip.AddrPort, message proto.Message) (*node, error) {
	n.mu.Lock()
	n.bytes.Add(uint64(proto.Size(message)))
	target, wait := n.nodes[to], latency+n.delay[to]+n.delay[from]
	refused := target == nil || target.gone
	lost := !refused && (n.blocks[link{from, to}] || target.paused)
	n.mu.Unlock()
	if refused {
		return nil, errRefused
	}
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
		return target, nil
	}
}

// block cuts or heals the way from one host to another.
func (n *network) block(from, to *node, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocks[link{from.host.PeerAddress, to.host.PeerAddress}] = cut
}

func (n *network) slow(x *node, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[x.host.PeerAddress] = delay
}

// await waits until the condition holds and returns how long that took.
func (n *network) await(limit time.Duration, condition func() bool) time.Duration {
	n.tb.Helper()
	const step = 50 * time.Millisecond
	begin := time.Now()
	for !condition() {
		if time.Since(begin) > limit {
			n.tb.Fatalf("not within %s", limit)
		}
		time.Sleep(step)
	}
	return time.Since(begin)
}

// agree reports whether all nodes hold exactly the live ones for alive.
func agree(nodes, live []*node) bool {
	for _, x := range nodes {
		if len(x.Live(time.Now())) != len(live) {
			return false
		}
	}
	return true
}

func agreement(nodes, live []*node) func() bool {
	return func() bool { return agree(nodes, live) }
}

// TestFleetForms lets daemons that know two seeds find each other, and checks
// how many bytes the heartbeats take then.
func TestFleetForms(t *testing.T) {
	// maxBytes is what the users allow one node to spend on control.
	const maxBytes = 19_000
	tests := map[string]struct{ size, servers int }{
		"7 daemons":   {7, 6},
		"40 daemons":  {40, 33},
		"100 daemons": {100, 33},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, nodes := newNetwork(t, test.size)
				took := n.await(30*time.Second, agreement(nodes, nodes))
				for _, x := range nodes {
					x.servers.Store(int64(test.servers))
				}
				time.Sleep(30 * time.Second) // most news of the start ends
				const period = 10 * time.Second
				before := n.bytes.Load()
				time.Sleep(period)
				// Each byte is sent by one daemon and received by another.
				rate := 2 * float64(n.bytes.Load()-before) / period.Seconds() / float64(test.size)
				t.Logf("formed in %s; %.0f bytes/s sent and received by each daemon", took, rate)
				if rate > maxBytes {
					t.Errorf("%.0f bytes/s for each daemon, allowed are %d", rate, maxBytes)
				}
				if !agree(nodes, nodes) {
					t.Error("a daemon was given up without a cause")
				}
			})
		})
	}
}

// TestDeathsAreNoticed kills daemons and measures until every other one knows.
//
// proof: daemon killed | reserve | 1
// proof: failure domain lost | reserve | 1
func TestDeathsAreNoticed(t *testing.T) {
	// maxDetection is "a few seconds".
	const maxDetection = 8 * time.Second
	tests := map[string]struct {
		size  int
		fails func(number int) bool
		fail  func(*node)
	}{
		"killed of 7":          {7, func(i int) bool { return i == 3 }, (*node).kill},
		"killed of 40":         {40, func(i int) bool { return i == 3 }, (*node).kill},
		"paused of 7":          {7, func(i int) bool { return i == 3 }, (*node).pause},
		"paused of 40":         {40, func(i int) bool { return i == 3 }, (*node).pause},
		"failure domain of 7":  {7, func(i int) bool { return i%domains == 0 }, (*node).pause},
		"failure domain of 40": {40, func(i int) bool { return i%domains == 0 }, (*node).pause},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, nodes := newNetwork(t, test.size)
				n.await(30*time.Second, agreement(nodes, nodes))
				time.Sleep(10 * time.Second)
				var rest []*node
				for i, x := range nodes {
					if test.fails(i) {
						test.fail(x)
					} else {
						rest = append(rest, x)
					}
				}
				took := n.await(maxDetection, agreement(rest, rest))
				t.Logf("every daemon knew after %s", took)
				time.Sleep(20 * time.Second)
				if !agree(rest, rest) {
					t.Error("the living disagree later")
				}
			})
		})
	}
}

// TestLivingAreNotGivenUp disturbs daemons without stopping them.
//
// proof: daemon paused | reserve | 1
// proof: daemons cut off | reserve | 1
func TestLivingAreNotGivenUp(t *testing.T) {
	tests := map[string]struct {
		size    int
		disturb func(n *network, nodes []*node)
	}{
		"one-way link": {7, func(n *network, nodes []*node) {
			n.block(nodes[2], nodes[3], true)
			time.Sleep(time.Minute)
		}},
		"link cut both ways": {7, func(n *network, nodes []*node) {
			n.block(nodes[2], nodes[3], true)
			n.block(nodes[3], nodes[2], true)
			time.Sleep(time.Minute)
		}},
		"slow daemon": {7, func(n *network, nodes []*node) {
			n.slow(nodes[2], 150*time.Millisecond)
			time.Sleep(time.Minute)
		}},
		"paused for a second": {40, func(_ *network, nodes []*node) {
			nodes[2].pause()
			time.Sleep(time.Second)
			nodes[2].resume()
			time.Sleep(time.Minute)
		}},
		"idle for ten minutes": {7, func(*network, []*node) { time.Sleep(10 * time.Minute) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, nodes := newNetwork(t, test.size)
				n.await(30*time.Second, agreement(nodes, nodes))
				watch := &watcher{nodes: nodes, done: make(chan struct{})}
				go watch.run()
				test.disturb(n, nodes)
				close(watch.done)
				synctest.Wait()
				if watch.disagreements > 0 {
					t.Errorf("a living daemon was held for dead in %d of %d looks", watch.disagreements, watch.looks)
				}
			})
		})
	}
}

// watcher looks again and again whether a living daemon is held for dead.
type watcher struct {
	nodes         []*node
	done          chan struct{}
	looks         int
	disagreements int
}

func (w *watcher) run() {
	const interval = 100 * time.Millisecond
	for {
		select {
		case <-w.done:
			return
		case <-time.After(interval):
		}
		w.looks++
		if !agree(w.nodes, w.nodes) {
			w.disagreements++
		}
	}
}

// TestPausedDaemonComesBack checks that a daemon that was held for dead is
// alive again when it goes on, in the same life, and that it does not give up
// the others for the time that it missed.
//
// proof: daemon paused | accept | 1
func TestPausedDaemonComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, nodes := newNetwork(t, 7)
		n.await(30*time.Second, agreement(nodes, nodes))
		rest := append(append([]*node{}, nodes[:2]...), nodes[3:]...)
		nodes[2].pause()
		n.await(8*time.Second, agreement(rest, rest))
		time.Sleep(time.Minute)
		nodes[2].resume()
		if !agree(nodes[2:3], nodes) {
			t.Error("the resumed daemon gave up the others at once")
		}
		took := n.await(10*time.Second, agreement(nodes, nodes))
		t.Logf("alive for all after %s", took)
		if !nodes[0].IsAlive(time.Now(), nodes[2].host.Name, 1) {
			t.Error("the daemon is alive in another life")
		}
	})
}

// TestHalvesFindEachOther cuts the fleet in two for a while.
//
// proof: daemons cut off | config spread | 8
func TestHalvesFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, nodes := newNetwork(t, 8)
		n.await(30*time.Second, agreement(nodes, nodes))
		cut := func(state bool) {
			for i, a := range nodes {
				for j, b := range nodes {
					if i < 4 && j >= 4 {
						n.block(a, b, state)
						n.block(b, a, state)
					}
				}
			}
		}
		cut(true)
		n.await(8*time.Second, func() bool { return agree(nodes[:4], nodes[:4]) && agree(nodes[4:], nodes[4:]) })
		time.Sleep(10 * time.Minute)
		nodes[0].SetSelf(9, false)
		cut(false)
		took := n.await(30*time.Second, func() bool {
			return agree(nodes, nodes) && len(nodes[7].PeersWithNewerConfig(time.Now())) > 0
		})
		t.Logf("whole again, with the newer revision, after %s", took)
	})
}

// TestDrainAndLeaveAreTold checks that homes move before a daemon stops, and
// that its end is no surprise.
//
// proof: daemon killed | drain | 7
func TestDrainAndLeaveAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, nodes := newNetwork(t, 40)
		n.await(30*time.Second, agreement(nodes, nodes))
		time.Sleep(10 * time.Second)
		rest := nodes[1:]
		nodes[0].SetSelf(0, true)
		drained := n.await(5*time.Second, func() bool {
			for _, x := range rest {
				if len(x.HomeHosts(time.Now()).Hosts()) != len(rest) {
					return false
				}
			}
			return true
		})
		nodes[0].Leave(t.Context())
		nodes[0].kill()
		left := n.await(5*time.Second, agreement(rest, rest))
		t.Logf("homes moved after %s, the daemon was gone for all after %s", drained, left)
		if state, _ := rest[0].Lookup(nodes[0].host.Name); state.Status != member.StatusLeft {
			t.Errorf("status %d, want left", state.Status)
		}
	})
}

// TestRestartIsANewLife checks that the reservations and claims of the old
// life are not taken for those of the new one.
//
// proof: daemon killed | claim | 5
func TestRestartIsANewLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, nodes := newNetwork(t, 7)
		n.await(30*time.Second, agreement(nodes, nodes))
		nodes[3].kill()
		again := n.start(3, 2)
		rest := append(append([]*node{}, nodes[:3]...), nodes[4:]...)
		n.await(10*time.Second, func() bool {
			for _, x := range rest {
				now := time.Now()
				if x.IsAlive(now, again.host.Name, 1) || !x.IsAlive(now, again.host.Name, 2) {
					return false
				}
			}
			return agree([]*node{again}, nodes)
		})
	})
}
