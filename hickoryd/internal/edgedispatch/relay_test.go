package edgedispatch_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
)

// relayPeers are other hosts that requests are passed to.
type relayPeers struct {
	noPeers
	relay func(request *edgedispatch.Request, sink edgedispatch.Sink) error

	mu     sync.Mutex
	offers int
}

func (p *relayPeers) Relay(_ context.Context, _ netip.AddrPort, request *edgedispatch.Request, sink edgedispatch.Sink) error {
	p.mu.Lock()
	p.offers++
	p.mu.Unlock()
	return p.relay(request, sink)
}

func (p *relayPeers) offerCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.offers
}

var otherHosts = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"), netip.MustParseAddrPort("10.0.0.4:1"), netip.MustParseAddrPort("10.0.0.5:1")}

func manyHosts(count int) []netip.AddrPort {
	hosts := make([]netip.AddrPort, count)
	for i := range hosts {
		hosts[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1)
	}
	return hosts
}

// unreachableServer returns a server that no process serves.
func unreachableServer(id string, stage serverlist.Stage) serverlist.Server {
	return serverlist.Server{ID: id, Service: "s", Stage: stage, Address: netip.MustParseAddrPort("127.0.0.1:1")}
}

// respond returns a relay that serves requests.
func respond(body string) func(*edgedispatch.Request, edgedispatch.Sink) error {
	return func(_ *edgedispatch.Request, sink edgedispatch.Sink) error {
		if err := sink.Start(http.StatusOK, http.Header{}); err != nil {
			return err
		}
		if body == "" {
			return nil
		}
		return sink.Write([]byte(body))
	}
}

func reject(*edgedispatch.Request, edgedispatch.Sink) error { return edgedispatch.ErrRelayRejected }

// TestRelayOfLostPaths guards against requests that are refused although another host has paths
// to the servers, and against offers without end if none has.
func TestRelayOfLostPaths(t *testing.T) {
	stream := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
	unsafe := route.Route{Name: "r", Kind: route.Unsafe, MaxServers: 1}
	tests := []struct {
		name   string
		route  route.Route
		server serverlist.Server
		hosts  []netip.AddrPort
		relay  func(*edgedispatch.Request, edgedispatch.Sink) error
		want   int // status
		// maxOffers bounds the offers of ten requests.
		maxOffers int
	}{
		{name: "plain request", route: unsafe, server: unreachableServer("a", serverlist.NoStage), hosts: otherHosts, relay: respond("ok"), want: http.StatusOK, maxOffers: 10},
		{name: "generation", route: stream, server: unreachableServer("a", serverlist.Decode), hosts: otherHosts, relay: respond("id: 1\n\n"), want: http.StatusOK, maxOffers: 10},
		{name: "no host has paths", route: unsafe, server: unreachableServer("a", serverlist.NoStage), hosts: otherHosts, relay: reject, want: http.StatusServiceUnavailable, maxOffers: 2 * len(otherHosts)},
		{name: "no host has paths for a generation", route: stream, server: unreachableServer("a", serverlist.Decode), hosts: otherHosts, relay: reject, want: http.StatusServiceUnavailable, maxOffers: 2 * len(otherHosts)},
		{name: "none of many hosts has paths", route: unsafe, server: unreachableServer("a", serverlist.NoStage), hosts: manyHosts(60), relay: reject, want: http.StatusServiceUnavailable, maxOffers: 2 * 12},
		{name: "no other host", route: unsafe, server: unreachableServer("a", serverlist.NoStage), relay: reject, want: http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			peers := &relayPeers{relay: tt.relay}
			d := newLimitDispatcher(t, limitList{servers{tt.server}, tt.hosts}, peers)
			for range 10 {
				if status, _ := send(t, d, tt.route, callerTimeout); status != tt.want {
					t.Errorf("status %d, want %d", status, tt.want)
				}
			}
			if offers := peers.offerCount(); offers > tt.maxOffers {
				t.Errorf("%d offers to other hosts, want at most %d", offers, tt.maxOffers)
			}
		})
	}
}

// TestRelayedRequestIsNotRelayed guards against a request that hosts without paths pass on to
// each other.
func TestRelayedRequestIsNotRelayed(t *testing.T) {
	peers := &relayPeers{relay: respond("ok")}
	d := newLimitDispatcher(t, limitList{servers{unreachableServer("a", serverlist.NoStage)}, otherHosts}, peers)
	now := time.Now()
	unsafe := route.Route{Kind: route.Unsafe, Service: "s", MaxServers: 1}
	for range 3 {
		request := &edgedispatch.Request{Route: &unsafe, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}, Arrived: now, Deadline: now.Add(callerTimeout), IsRelayed: true}
		if err := d.Serve(t.Context(), request, &sink{}); err == nil {
			t.Error("served without a path")
		}
	}
	if offers := peers.offerCount(); offers > 0 {
		t.Errorf("%d offers to other hosts, want none", offers)
	}
}

// TestBrokenStreamIsRelayed guards against a stream that ends with its server although another
// host could go on with it, and against a retry that is used up if none takes it.
func TestBrokenStreamIsRelayed(t *testing.T) {
	tests := []struct {
		name        string
		relay       func(*edgedispatch.Request, edgedispatch.Sink) error
		wantStatus  int // 0: truncated
		wantBody    string
		wantRetries int
	}{
		{name: "another host goes on", relay: respond("id: 2\n\nid: 3\n\n"), wantStatus: http.StatusOK, wantBody: "id: 1\n\nid: 2\n\nid: 3\n\n", wantRetries: 1},
		{name: "another host has no further event", relay: respond(""), wantBody: "id: 1\n\n", wantRetries: 1},
		{name: "no host takes it", relay: reject, wantBody: "id: 1\n\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var hasCapacity atomic.Bool
			hasCapacity.Store(true)
			var isContinued atomic.Bool
			peers := &relayPeers{relay: func(request *edgedispatch.Request, sink edgedispatch.Sink) error {
				isContinued.Store(request.IsContinued && request.Metadata.LastEventID == 1 && request.Route.MaxServers == 1)
				return tt.relay(request, sink)
			}}
			server := startStoppingDecodeServer(t, "a", &hasCapacity, eventsThenBreak("1"))
			d := newLimitDispatcher(t, limitList{servers{server}, otherHosts}, peers)

			resumable := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, IsResumable: true, MaxServers: 2}
			status, body := send(t, d, resumable, callerTimeout)
			if status != tt.wantStatus || body != tt.wantBody {
				t.Errorf("status %d, body %q; want %d and %q", status, body, tt.wantStatus, tt.wantBody)
			}
			if !isContinued.Load() {
				t.Error("the request was not passed on as a stream that has begun")
			}
			if _, got := describe(d); got != tt.wantRetries {
				t.Errorf("%d retries in the budget, want %d", got, tt.wantRetries)
			}
		})
	}
}

// startStoppingDecodeServer is startDecodeServer for a server that accepts no connection after
// its first run.
func startStoppingDecodeServer(t *testing.T, id string, hasCapacity *atomic.Bool, f http.HandlerFunc) serverlist.Server {
	t.Helper()
	var listener net.Listener
	server, listener := startServerWithListener(t, id, serverlist.Decode, decodeHandler(hasCapacity, func(w http.ResponseWriter, r *http.Request) {
		listener.Close()
		f(w, r)
	}))
	return server
}
