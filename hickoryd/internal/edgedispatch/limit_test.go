package edgedispatch_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/retrybudget"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlimit"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
)

type (
	// limitList is a list of servers and hosts.
	limitList struct {
		servers
		hosts []netip.AddrPort
	}

	// homes are other hosts that issue permits.
	homes struct {
		noPeers
		permit func(address netip.AddrPort) (serverlimit.Permit, error)
		// reports are the statements that were reported to all hosts.
		reports chan serverlimit.Statement
	}
)

var selfAddress = netip.MustParseAddrPort("10.0.0.1:1")

func (l limitList) Hosts() []netip.AddrPort { return l.hosts }

func (l limitList) Servers() *registry.Snapshot { return l.servers.Servers() }

func (h homes) AcquirePermit(_ context.Context, address netip.AddrPort, _ serverlimit.Statement) (serverlimit.Permit, error) {
	return h.permit(address)
}

func (h homes) ReportLimit(_ context.Context, addresses []netip.AddrPort, statement serverlimit.Statement) {
	if addresses == nil {
		h.reports <- statement
	}
}

// limiting responds to requests and states a limit while it is set.
func limiting(isLimited *atomic.Bool, requests *atomic.Int64, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if isLimited.Load() {
			w.Header().Set("Server-Limit", "2.5")
		}
		f(w, r)
	}
}

// TestLimitedServerGetsRequestsWithPermits guards against requests to a server with a limit
// that no home has issued a permit for, and against hosts that don't tell each other of
// limits.
func TestLimitedServerGetsRequestsWithPermits(t *testing.T) {
	others := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"), netip.MustParseAddrPort("10.0.0.4:1")}
	granted := serverlimit.Permit{IsGranted: true}
	denied := serverlimit.Permit{Wait: 400 * time.Millisecond}
	tests := []struct {
		name   string
		hosts  []netip.AddrPort
		permit func(address netip.AddrPort) (serverlimit.Permit, error)
		// wantRequests is the number of the requests that reach the server, of six.
		wantRequests   int64
		wantRetryAfter time.Duration
	}{
		{name: "homes grant permits", hosts: others, permit: func(netip.AddrPort) (serverlimit.Permit, error) { return granted, nil }, wantRequests: 6},
		{name: "one home grants permits", hosts: others, permit: func(address netip.AddrPort) (serverlimit.Permit, error) {
			if address == others[1] {
				return granted, nil
			}
			return denied, nil
		}, wantRequests: 6},
		{name: "homes deny permits", hosts: others, permit: func(netip.AddrPort) (serverlimit.Permit, error) { return denied, nil }, wantRequests: 1, wantRetryAfter: denied.Wait},
		{name: "no home responds", hosts: others, permit: func(netip.AddrPort) (serverlimit.Permit, error) {
			return serverlimit.Permit{}, errors.New("no response")
		}, wantRequests: 1, wantRetryAfter: time.Second},
		{name: "no host is known", wantRequests: 1, wantRetryAfter: time.Second},
		{name: "the host is the only home", hosts: []netip.AddrPort{selfAddress}, wantRequests: 2, wantRetryAfter: 450 * time.Millisecond}, // the first one needs no permit
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var isLimited atomic.Bool
			var requests atomic.Int64
			isLimited.Store(true)
			server := startServer(t, "limited", serverlist.NoStage, limiting(&isLimited, &requests, ok))
			peers := homes{permit: tt.permit, reports: make(chan serverlimit.Statement, 10)}
			d := newLimitDispatcher(t, limitList{servers{server}, tt.hosts}, peers)
			var retryAfter time.Duration
			for range 6 {
				now := time.Now()
				unsafe := route.Route{Kind: route.Unsafe, Service: "s", MaxServers: 1, LatencyTarget: 300 * time.Millisecond}
				request := &edgedispatch.Request{Route: &unsafe, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}, Arrived: now, Deadline: now.Add(callerTimeout)}
				var failure *edgedispatch.Failure
				if err := d.Serve(t.Context(), request, &sink{}); errors.As(err, &failure) {
					retryAfter = max(retryAfter, failure.RetryAfter)
				} else if err != nil {
					t.Fatal(err)
				}
			}
			if got := requests.Load(); got != tt.wantRequests {
				t.Errorf("%d requests at the server, want %d", got, tt.wantRequests)
			}
			if retryAfter > tt.wantRetryAfter || retryAfter < tt.wantRetryAfter-200*time.Millisecond {
				t.Errorf("Retry-After %v, want %v", retryAfter, tt.wantRetryAfter)
			}
			if s := <-peers.reports; s.Server != "limited" || !s.IsLimited || s.Rate != 2.5 || s.Since.IsZero() {
				t.Errorf("reported %+v, want the limit of 2.5", s)
			}
		})
	}
}

// TestLimitEnds guards against a limit that a host keeps after the server states none any
// more, and against one that ends with a rejection.
func TestLimitEnds(t *testing.T) {
	tests := []struct {
		name   string
		answer http.HandlerFunc
		want   bool // whether the limit has ended
	}{
		{name: "response", answer: ok, want: true},
		{name: "error response", answer: failing, want: true},
		{name: "rejection", answer: full},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var isLimited atomic.Bool
			var requests atomic.Int64
			isLimited.Store(true)
			server := startServer(t, "limited", serverlist.NoStage, limiting(&isLimited, &requests, func(w http.ResponseWriter, r *http.Request) {
				if isLimited.Load() {
					ok(w, r)
					return
				}
				tt.answer(w, r)
			}))
			granted := serverlimit.Permit{IsGranted: true}
			peers := homes{permit: func(netip.AddrPort) (serverlimit.Permit, error) { return granted, nil }, reports: make(chan serverlimit.Statement, 10)}
			d := newLimitDispatcher(t, limitList{servers{server}, []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1")}}, peers)
			unsafe := route.Route{Kind: route.Unsafe, MaxServers: 1}
			send(t, d, unsafe, callerTimeout)
			isLimited.Store(false)
			send(t, d, unsafe, callerTimeout)
			close(peers.reports)
			hasEnded := false
			for s := range peers.reports {
				hasEnded = !s.IsLimited
			}
			if hasEnded != tt.want {
				t.Errorf("limit has ended: %v, want %v", hasEnded, tt.want)
			}
		})
	}
}

func newLimitDispatcher(t *testing.T, list edgedispatch.Registry, peers edgedispatch.Peers) *edgedispatch.Dispatcher {
	t.Helper()
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	options := edgedispatch.Options{Self: selfAddress, Budget: retrybudget.Limits{Slack: 100}}
	return edgedispatch.New(t.Context(), options, list, upstream.NewPool(netip.Addr{}, metrics.NewSet()), peers, noQuarantine{}, &originStore{}, logger, metrics.NewSet())
}

// TestFurtherAttemptsNeedPermits guards against retries and hedges that are sent to a server
// with a limit without a permit.
func TestFurtherAttemptsNeedPermits(t *testing.T) {
	safe := route.Route{Kind: route.Safe, MaxServers: 2}
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(1500 * time.Millisecond) // longer than the part of the target latency after which a hedge is sent
		ok(w, r)
	}
	tests := []struct {
		name   string
		first  http.HandlerFunc
		permit serverlimit.Permit
		want   int // status
		// wantRequests is the number of requests at the limited server.
		wantRequests int64
	}{
		{name: "retry without a permit", first: failing, permit: serverlimit.Permit{Wait: time.Second}, want: http.StatusInternalServerError},
		{name: "retry with a permit", first: failing, permit: serverlimit.Permit{IsGranted: true}, want: http.StatusOK, wantRequests: 1},
		{name: "request that was rejected, without a permit", first: full, permit: serverlimit.Permit{Wait: time.Second}, want: http.StatusServiceUnavailable},
		{name: "hedge without a permit", first: slow, permit: serverlimit.Permit{Wait: time.Second}, want: http.StatusOK},
		{name: "hedge with a permit", first: slow, permit: serverlimit.Permit{IsGranted: true}, want: http.StatusOK, wantRequests: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			var isLimited atomic.Bool
			isLimited.Store(true)
			limited := startServer(t, "limited", serverlist.NoStage, limiting(&isLimited, &requests, ok))
			limited.FailureDomain = "elsewhere" // the first server is preferred
			first := startServer(t, "first", serverlist.NoStage, tt.first)
			peers := homes{permit: func(netip.AddrPort) (serverlimit.Permit, error) { return tt.permit, nil }, reports: make(chan serverlimit.Statement, 10)}
			d := newLimitDispatcher(t, limitList{servers{first, limited}, []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1")}}, peers)
			now := time.Now()
			d.ReportLimit(serverlimit.Statement{Server: "limited", IsLimited: true, Rate: 1, At: now, Since: now})
			if status, _ := send(t, d, safe, callerTimeout); status != tt.want {
				t.Errorf("status %d, want %d", status, tt.want)
			}
			if got := requests.Load(); got != tt.wantRequests {
				t.Errorf("%d requests at the limited server, want %d", got, tt.wantRequests)
			}
		})
	}
}
