package edgedispatch_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"golang.org/x/sys/unix"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/core/retrybudget"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
)

// lossPeers counts the reported losses of servers.
type lossPeers struct {
	noPeers
	losses chan string
}

func (p lossPeers) ReportLoss(_ context.Context, _ uint64, server string) { p.losses <- server }

// describe returns the state of the servers by ID, and the retries taken from the budget.
func describe(d *edgedispatch.Dispatcher) (map[string]hoststate.Server, int) {
	var state hoststate.State
	d.Describe(time.Now(), &state)
	byID := make(map[string]hoststate.Server)
	for _, s := range state.Servers {
		byID[s.ID] = s
	}
	retries := 0
	for _, b := range state.Budgets {
		retries += b.Retries
	}
	return byID, retries
}

// startCrashingServer returns a server that sends size bytes of a response, waits for
// proceed and crashes.
func startCrashingServer(t *testing.T, size int, proceed <-chan struct{}) serverlist.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Stamp", "stamp")
		_, _ = io.WriteString(w, strings.Repeat("x", size))
		_ = http.NewResponseController(w).Flush()
		<-proceed
		_ = listener.Close()
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return serverlist.Server{ID: "first", Service: "s", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

// TestCrashInLongResponseIsRecorded guards against a server that crashes while a response
// too long to be buffered is forwarded and that is neither reported to the other hosts nor
// counted as failed, or whose request is not counted as load until then.
func TestCrashInLongResponseIsRecorded(t *testing.T) {
	for name, size := range map[string]int{"buffered": 1 << 10, "long": longBody} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proceed := make(chan struct{})
			peers := lossPeers{losses: make(chan string, 1)}
			d := edgedispatch.New(t.Context(), edgedispatch.Options{Budget: retrybudget.Limits{Slack: 100}}, servers{startCrashingServer(t, size, proceed)},
				upstream.NewPool(netip.Addr{}, metrics.NewSet()), peers, noQuarantine{}, &originStore{}, &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, metrics.NewSet())
			time.AfterFunc(200*time.Millisecond, func() {
				if got, _ := describe(d); got["first"].Requests != 1 {
					t.Errorf("%d requests counted at the server before its crash, want 1", got["first"].Requests)
				}
				close(proceed)
			})
			send(t, d, route.Route{Kind: route.Unsafe, MaxServers: 1}, callerTimeout)
			select {
			case <-peers.losses:
			case <-time.After(2 * time.Second):
				t.Error("the crash was not reported")
			}
			if got, _ := describe(d); got["first"].FailureRate == 0 || got["first"].Requests != 0 {
				t.Errorf("failure rate %v, %d requests after the crash; want more than 0 and none", got["first"].FailureRate, got["first"].Requests)
			}
		})
	}
}

// TestLongErrorResponseLeavesNoLoad guards against a long error response that another
// server's response replaces, and that is counted as load forever.
func TestLongErrorResponseLeavesNoLoad(t *testing.T) {
	first := startServer(t, "first", serverlist.NoStage, func(w http.ResponseWriter, r *http.Request) {
		failing(w, r)
		_, _ = io.WriteString(w, strings.Repeat("x", longBody))
	})
	second := startServer(t, "second", serverlist.NoStage, ok)
	second.FailureDomain = "elsewhere" // the first server is preferred
	d := newDispatcher(t, servers{first, second}, 100)
	if status, _ := send(t, d, route.Route{Kind: route.Safe, MaxServers: 2}, callerTimeout); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	got, _ := describe(d)
	if got["first"].Requests != 0 || got["second"].Requests != 0 || got["first"].FailureRate == 0 {
		t.Errorf("after the response: %+v, want no requests and a failure of the first server", got)
	}
}

// TestLoserOfHedgeIsCanceled guards against a slow server that works on a safe request until
// the whole response of another server is forwarded.
func TestLoserOfHedgeIsCanceled(t *testing.T) {
	canceled := make(chan struct{})
	first := startServer(t, "first", serverlist.NoStage, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(canceled)
	})
	second := startServer(t, "second", serverlist.NoStage, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Server-Stamp", "stamp")
		_, _ = io.WriteString(w, strings.Repeat("x", longBody/2))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-canceled:
		case <-time.After(2 * time.Second):
			t.Error("the first server still works 2 s after the response of the second one has begun")
		}
		_, _ = io.WriteString(w, strings.Repeat("x", longBody/2))
	})
	second.FailureDomain = "elsewhere" // the first server is preferred
	status, body := serve(t, servers{first, second}, route.Route{Kind: route.Safe, MaxServers: 2}, 100)
	if status != http.StatusOK || len(body) != longBody {
		t.Errorf("status %d, %d bytes; want 200 and %d", status, len(body), longBody)
	}
}

// TestOnlySlowLoserOfHedgeIsMarked guards against a sound server that is counted as failed
// because another server responded first. Only a server that was slow, and slower than one
// that got the request later, has failed.
func TestOnlySlowLoserOfHedgeIsMarked(t *testing.T) {
	never := after(endlessSilence, ok) // a request is sent to another server every 180 ms
	tests := []struct {
		name     string
		handlers []http.HandlerFunc // in the order in which the servers get the request
		failed   []bool
	}{
		{name: "slow, and another server is faster", handlers: []http.HandlerFunc{never, ok}, failed: []bool{true, false}},
		{name: "second and not slow, beaten by a long response", handlers: []http.HandlerFunc{after(250*time.Millisecond, trickle), never}, failed: []bool{false, false}},
		{name: "second and slow, beaten by the first", handlers: []http.HandlerFunc{after(480*time.Millisecond, ok), never}, failed: []bool{false, false}},
		{name: "not slow, beaten by a third", handlers: []http.HandlerFunc{after(120*time.Millisecond, failing), never, ok}, failed: []bool{true, false, false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			// The servers get the request in order, whichever of them is picked.
			var list servers
			var mu sync.Mutex
			var order []string
			for i := range tt.handlers {
				id := string(rune('a' + i))
				list = append(list, startServer(t, id, serverlist.NoStage, func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					handler := tt.handlers[len(order)]
					order = append(order, id)
					mu.Unlock()
					handler(w, r)
				}))
			}
			d := newDispatcher(t, list, 100)
			if status, _ := send(t, d, route.Route{Kind: route.Safe, MaxServers: len(list)}, callerTimeout); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
			got, _ := describe(d)
			mu.Lock()
			defer mu.Unlock()
			if len(order) != len(list) {
				t.Fatalf("%d servers got the request, want %d", len(order), len(list))
			}
			for i, id := range order {
				if failed := got[id].FailureRate > 0; failed != tt.failed[i] {
					t.Errorf("server %d is counted as failed: %t, want %t", i+1, failed, tt.failed[i])
				}
			}
		})
	}
}

// startUnreachableServer returns a server that never accepts a connection: its queue of
// connections is full.
func startUnreachableServer(t *testing.T, id string) serverlist.Server {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(socket) })
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(socket, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	bound := name.(*unix.SockaddrInet4)
	address := netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port))
	for {
		connection, err := net.DialTimeout("tcp4", address.String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = connection.Close() })
	}
	return serverlist.Server{ID: id, Service: "s", Address: address, FailureDomain: "elsewhere"}
}

// startClosedServer returns a server that refuses connections.
func startClosedServer(t *testing.T, id string) serverlist.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return serverlist.Server{ID: id, Service: "s", Address: netip.MustParseAddrPort(listener.Addr().String()), FailureDomain: "elsewhere"}
}

// TestRetryThatIsNotSentIsReturned guards against a retry budget that is used up by attempts
// that never reached a server.
func TestRetryThatIsNotSentIsReturned(t *testing.T) {
	const pause = 500 * time.Millisecond // a request is sent to another server every 180 ms
	tests := []struct {
		name  string
		first http.HandlerFunc // nil: the server never accepts a connection
		// others start the servers that are less preferred.
		others []func(*testing.T, string) serverlist.Server
		want   int
	}{
		{name: "two servers refuse connections", first: after(pause, ok), others: []func(*testing.T, string) serverlist.Server{startClosedServer, startClosedServer}},
		{name: "a server responds while another is connected to", first: after(pause, ok), others: []func(*testing.T, string) serverlist.Server{startUnreachableServer}},
		{name: "only the second attempt reaches a server", others: []func(*testing.T, string) serverlist.Server{startOK}},
		{name: "two servers get the request", first: after(pause, ok), others: []func(*testing.T, string) serverlist.Server{startOK}, want: 1},
		{name: "a server that has failed is replaced", first: broken, others: []func(*testing.T, string) serverlist.Server{startOK}, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var first serverlist.Server
			if tt.first != nil {
				first = startServer(t, "first", serverlist.NoStage, tt.first)
			} else {
				first = startUnreachableServer(t, "first")
				first.FailureDomain = ""
			}
			list := servers{first}
			for i, start := range tt.others {
				list = append(list, start(t, string(rune('a'+i))))
			}
			d := newDispatcher(t, list, 100)
			if status, _ := send(t, d, route.Route{Kind: route.Safe, MaxServers: 4}, callerTimeout); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
			if _, got := describe(d); got != tt.want {
				t.Errorf("%d retries in the budget, want %d", got, tt.want)
			}
		})
	}
}

func startOK(t *testing.T, id string) serverlist.Server {
	server := startServer(t, id, serverlist.NoStage, ok)
	server.FailureDomain = "elsewhere"
	return server
}

// TestRunningRequestIsNotRefused guards against a request that is answered at its deadline as
// if no server had run it, because another attempt ended first that never reached a server.
func TestRunningRequestIsNotRefused(t *testing.T) {
	first := startServer(t, "first", serverlist.NoStage, after(endlessSilence, ok))
	second := startUnreachableServer(t, "second")
	for range 40 { // which attempt ends first differs
		t.Run("", func(t *testing.T) {
			t.Parallel()
			d := newDispatcher(t, servers{first, second}, 100)
			status, _ := send(t, d, route.Route{Kind: route.Safe, MaxServers: 2}, 400*time.Millisecond)
			if status != http.StatusGatewayTimeout {
				t.Errorf("status %d, want 504", status)
			}
		})
	}
}
