package edgedispatch_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

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
				upstream.NewPool(netip.Addr{}, metrics.NewSet()), peers, &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, metrics.NewSet())
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
