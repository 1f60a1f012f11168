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
	// network delivers heartbeats between daemons in memory.
	network struct {
		tb      testing.TB
		mu      sync.Mutex
		nodes   map[netip.AddrPort]*node
		blocked map[link]bool // in one direction
		delay   map[netip.AddrPort]time.Duration
		bytes   atomic.Uint64
	}

	link struct{ from, to netip.AddrPort }

	// node is one daemon's membership.
	node struct {
		*peer.Membership
		network *network
		host    member.Host
		stop    context.CancelFunc
		done    chan struct{}
		refuses bool // refuses connections
		paused  bool // accepts connections and does not respond
		servers atomic.Int64
	}
)

func newNetwork(t *testing.T, size int) (*network, []*node) {
	n := &network{tb: t, nodes: map[netip.AddrPort]*node{}, blocked: map[link]bool{}, delay: map[netip.AddrPort]time.Duration{}}
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

// kill ends a daemon: connections to it are refused from then on.
func (x *node) kill() {
	x.network.mu.Lock()
	x.refuses = true
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
	target, err := x.network.deliver(ctx, x.host.PeerAddress, to, request)
	if err != nil {
		return nil, err
	}
	response := target.Receive(time.Now(), request)
	_, err = x.network.deliver(ctx, to, x.host.PeerAddress, response)
	return response, err
}

// Probe implements peer.Transport.
func (x *node) Probe(ctx context.Context, to netip.AddrPort, request *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error) {
	target, err := x.network.deliver(ctx, x.host.PeerAddress, to, request)
	if err != nil {
		return nil, err
	}
	response := &peerapi.ProbeResponse{Reached: target.Membership.Probe(ctx, peer.HostFromWire(request.GetTarget()))}
	_, err = x.network.deliver(ctx, to, x.host.PeerAddress, response)
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

// ObserveLoad implements peer.Loads.
func (x *node) ObserveLoad(backend.Load) {}

// deliver waits for the time that a message takes in one direction and returns the
// node that receives it.
func (n *network) deliver(ctx context.Context, from, to netip.AddrPort, message proto.Message) (*node, error) {
	n.mu.Lock()
	n.bytes.Add(uint64(proto.Size(message)))
	target, wait := n.nodes[to], latency+n.delay[to]+n.delay[from]
	refused := target == nil || target.refuses
	lost := !refused && (n.blocked[link{from, to}] || target.paused)
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

// block cuts or restores the link in the direction from one host to another.
func (n *network) block(from, to *node, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[link{from.host.PeerAddress, to.host.PeerAddress}] = cut
}

func (n *network) setDelay(x *node, delay time.Duration) {
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
			n.tb.Fatalf("condition not met within %s", limit)
		}
		time.Sleep(step)
	}
	return time.Since(begin)
}

// agree reports whether each of the nodes lists as many live hosts as there are live
// ones.
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

// TestFleetForms checks that daemons that know two seeds find all others, and that
// the heartbeats stay within the bytes per second that each daemon may use.
func TestFleetForms(t *testing.T) {
	// maxBytes is the users' limit for the control traffic of one daemon, in bytes per
	// second.
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
				time.Sleep(30 * time.Second) // by then most updates about the start are no longer sent
				const period = 10 * time.Second
				before := n.bytes.Load()
				time.Sleep(period)
				// Each byte is sent by one daemon and received by another.
				rate := 2 * float64(n.bytes.Load()-before) / period.Seconds() / float64(test.size)
				t.Logf("formed in %s; %.0f bytes/s sent and received by each daemon", took, rate)
				if rate > maxBytes {
					t.Errorf("each daemon sends and receives %.0f bytes/s, limit is %d", rate, maxBytes)
				}
				if !agree(nodes, nodes) {
					t.Error("the daemons do not all list each other as alive, although none has failed")
				}
			})
		})
	}
}

// TestFailedDaemonsAreListedAsDead checks that the other daemons list a killed or paused
// daemon, or those of a whole failure domain, as dead within a few seconds, and that they
// still agree later.
//
// proof: daemon killed | reserve | 1
// proof: failure domain lost | reserve | 1
func TestFailedDaemonsAreListedAsDead(t *testing.T) {
	// maxDetection is the limit for "within a few seconds".
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
				t.Logf("every other daemon listed the failed ones as dead after %s", took)
				time.Sleep(20 * time.Second)
				if !agree(rest, rest) {
					t.Error("20 s later the live daemons do not agree on who is alive")
				}
			})
		})
	}
}

// TestLiveDaemonsAreNotListedAsDead checks that no daemon lists a live one as dead when a link is
// cut in one or both directions, or when a daemon is slow, briefly paused or idle.
//
// proof: daemon paused | reserve | 1
// proof: daemons cut off | reserve | 1
func TestLiveDaemonsAreNotListedAsDead(t *testing.T) {
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
			n.setDelay(nodes[2], 150*time.Millisecond)
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
				checker := &agreementChecker{nodes: nodes, done: make(chan struct{})}
				go checker.run()
				test.disturb(n, nodes)
				close(checker.done)
				synctest.Wait()
				if checker.disagreements > 0 {
					t.Errorf("a live daemon was listed as dead in %d of %d checks", checker.disagreements, checker.checks)
				}
			})
		})
	}
}

// agreementChecker checks at intervals whether all nodes list each other as alive.
type agreementChecker struct {
	nodes         []*node
	done          chan struct{}
	checks        int
	disagreements int
}

func (c *agreementChecker) run() {
	const interval = 100 * time.Millisecond
	for {
		select {
		case <-c.done:
			return
		case <-time.After(interval):
		}
		c.checks++
		if !agree(c.nodes, c.nodes) {
			c.disagreements++
		}
	}
}

// TestResumedDaemonRejoins checks that a daemon that was listed as dead during a long
// pause is listed as alive again when it continues, with the same incarnation, and that
// it does not list the others as dead because it received nothing during its pause.
//
// proof: daemon paused | accept | 1
func TestResumedDaemonRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, nodes := newNetwork(t, 7)
		n.await(30*time.Second, agreement(nodes, nodes))
		rest := append(append([]*node{}, nodes[:2]...), nodes[3:]...)
		nodes[2].pause()
		n.await(8*time.Second, agreement(rest, rest))
		time.Sleep(time.Minute)
		nodes[2].resume()
		if !agree(nodes[2:3], nodes) {
			t.Error("the resumed daemon lists live daemons as dead")
		}
		took := n.await(10*time.Second, agreement(nodes, nodes))
		t.Logf("listed as alive by all after %s", took)
		if !nodes[0].IsAlive(time.Now(), nodes[2].host.Name, 1) {
			t.Error("the resumed daemon is not alive with its old incarnation")
		}
	})
}

// TestMembershipConvergesAfterPartition checks that the halves of a fleet that were cut off
// from each other for ten minutes list each other as alive again after the links are
// restored, and that a configuration revision reached in one half is announced in the other.
//
// proof: daemons cut off | config spread | 8
func TestMembershipConvergesAfterPartition(t *testing.T) {
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
		t.Logf("complete again, with the newer revision announced, after %s", took)
	})
}

// TestDrainAndLeaveAreAnnounced checks that a draining daemon is no longer a home for any
// other daemon before it stops, and that its stop is known as an announced one instead
// of a failure.
//
// proof: daemon killed | drain | 7
func TestDrainAndLeaveAreAnnounced(t *testing.T) {
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
		t.Logf("the daemon was no home after %s and not alive for all others after %s", drained, left)
		if state, _ := rest[0].Lookup(nodes[0].host.Name); state.Status != member.StatusLeft {
			t.Errorf("status %d, want left", state.Status)
		}
	})
}

// TestRestartReplacesIncarnation checks that after a restart only the new incarnation of a daemon
// counts as alive. Otherwise the reservations and claims of the old incarnation would be
// taken for those of the new one.
//
// proof: daemon killed | claim | 5
func TestRestartReplacesIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, nodes := newNetwork(t, 7)
		n.await(30*time.Second, agreement(nodes, nodes))
		nodes[3].kill()
		restarted := n.start(3, 2)
		rest := append(append([]*node{}, nodes[:3]...), nodes[4:]...)
		n.await(10*time.Second, func() bool {
			for _, x := range rest {
				now := time.Now()
				if x.IsAlive(now, restarted.host.Name, 1) || !x.IsAlive(now, restarted.host.Name, 2) {
					return false
				}
			}
			return agree([]*node{restarted}, nodes)
		})
	})
}
