package crowd_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// sendTime limits the time in which a member of a crowd sends.
	sendTime = 800 * time.Millisecond
	// holdTime is how long a crowd keeps its connections before the host is asked.
	holdTime = 200 * time.Millisecond
)

type (
	// kind is what the members of a crowd do.
	kind struct {
		name string
		// members is the number of connections.
		members int
		// act sends on a connection until its deadline. Member n requests the path.
		act func(socket net.Conn, path string, n int)
	}

	// place is where a crowd connects to.
	place struct {
		name string
		port int
		path string
	}
)

var (
	places = []place{
		{name: "route", port: callerPort, path: "/lookup/a"},
		{name: "no route", port: callerPort, path: "/unknown/a"},
		{name: "readiness", port: readyPort, path: "/hickoryfront/readiness"},
		{name: "operators", port: operatorPort, path: "/metrics"},
	}
	callerKinds = []kind{
		{name: "bodies short of their end", members: 300, act: stopBody},
		{name: "body far over the limit", members: 100, act: sendEndless},
		{name: "short fields, 16 KB", members: 600, act: sendShortFields},
		{name: "short fields, 1 MB", members: 200, act: sendManyFields},
		{name: "requests sent ahead", members: 100, act: sendAhead},
		{name: "slow senders", members: descriptors * 9 / 8, act: sendSlowly},
		{name: "half-way stops", members: descriptors * 9 / 8, act: stopHalfWay},
	}
)

// TestCallers guards against a crowd that makes a host use more memory or descriptors than its
// settings allow, or that leaves it unable to serve others.
func TestCallers(t *testing.T) {
	e := startEnvironment(t)
	for _, k := range callerKinds {
		for _, p := range places {
			t.Run(k.name+"/"+p.name, func(t *testing.T) { e.play(t, k, p) })
		}
	}
	slow := kind{name: "slow readers", members: 300, act: readSlowly}
	t.Run(slow.name, func(t *testing.T) { e.play(t, slow, place{port: callerPort, path: "/long/a"}) })
}

// TestPeers guards against the same at the listener for other hosts.
func TestPeers(t *testing.T) {
	e := startEnvironment(t)
	kinds := []kind{
		{name: "garbage", members: 300, act: sendGarbage},
		{name: "half-way stops", members: descriptors * 9 / 8, act: stopHalfWay},
		{name: "endless headers", members: 100, act: sendEndlessHeaders},
		{name: "unfinished messages", members: 30, act: sendUnfinishedMessages},
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) { e.play(t, k, place{port: peerPort, path: "/"}) })
	}
}

// TestKeptConnections guards against bounds that ordinary callers meet: the smallest host in use
// carries a thousand kept connections, each of which is used again.
func TestKeptConnections(t *testing.T) {
	const connections, smallestDescriptors, senders = 1000, 2870, 8 // senders divides connections
	e := startEnvironment(t)
	h := e.startHostWith(t, smallestDescriptors)
	kept := make([]net.Conn, connections)
	var group sync.WaitGroup
	for first := range senders {
		group.Go(func() {
			for n := first; n < 2*connections; n += senders {
				i := n % connections
				if kept[i] == nil {
					var err error
					if kept[i], err = net.Dial("tcp", e.hostAddress(callerPort)); err != nil {
						t.Error(err)
						return
					}
				}
				write(kept[i], head("GET", "/lookup/kept", n)+"\r\n")
				response, err := http.ReadResponse(bufio.NewReader(kept[i]), nil)
				if err != nil || response.StatusCode != http.StatusOK {
					t.Errorf("connection %d, request %d: response %v, error %v", i, n/connections, response, err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body) // only the status counts
				response.Body.Close()
			}
		})
	}
	group.Wait()
	for _, socket := range kept {
		if socket != nil {
			defer socket.Close()
		}
	}
	if peak := h.peakMB(t); peak > memoryMB {
		t.Errorf("at most %.0f MB resident, want at most %d", peak, memoryMB)
	}
	t.Logf("%d connections: at most %.0f MB, %d descriptors open", connections, h.peakMB(t), h.openDescriptors(t))
}

// play starts a host, connects a crowd and checks the host while the crowd stays connected.
func (e *environment) play(t *testing.T, k kind, p place) {
	t.Helper()
	h := e.startHost(t)
	before := h.peakMB(t)
	var group sync.WaitGroup
	sockets := make([]net.Conn, k.members)
	for n := range k.members {
		group.Go(func() {
			socket, err := net.DialTimeout("tcp", e.hostAddress(p.port), sendTime)
			if err != nil {
				return // the host accepts no more connections
			}
			sockets[n] = socket
			if err := socket.SetDeadline(time.Now().Add(sendTime)); err != nil {
				t.Error(err)
			}
			k.act(socket, p.path, n)
		})
	}
	group.Wait()
	time.Sleep(holdTime)
	open := h.openDescriptors(t)
	await(t, "an ordinary request is answered", func() bool {
		return !h.isAlive() || h.get(callerPort, "/lookup/ordinary") == nil && h.get(readyPort, "/hickoryfront/readiness") == nil
	})
	if !h.isAlive() {
		t.Fatal("the process has ended")
	}
	peak := h.peakMB(t)
	t.Logf("%d members: at most %.0f MB (%.0f before), %d descriptors open", k.members, peak, before, open)
	if peak > memoryMB {
		t.Errorf("at most %.0f MB resident, want at most %d", peak, memoryMB)
	}
	if open > maxDescriptors {
		t.Errorf("%d descriptors open, want at most %d", open, maxDescriptors)
	}
	for _, socket := range sockets {
		if socket != nil {
			socket.Close()
		}
	}
}
