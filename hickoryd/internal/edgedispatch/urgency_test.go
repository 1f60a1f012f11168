package edgedispatch_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/platform"
)

// sendRanked sends a generation of a priority and returns the status that the caller gets.
func sendRanked(t *testing.T, d *edgedispatch.Dispatcher, priority int, isRanked bool) int {
	t.Helper()
	now := time.Now()
	got := &sink{}
	err := d.Serve(t.Context(), &edgedispatch.Request{
		Metadata: platform.Request{ID: "r1", PromptTokens: promptTokens, MaxOutputTokens: 10, TimeLeft: callerTimeout},
		Route:    &route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1, Service: "s", Timeout: callerTimeout, LatencyTarget: 300 * time.Millisecond},
		Method:   http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Request-Id": {"r1"}, "Request-Urgency": {"0"}}, Arrived: now, Deadline: now.Add(callerTimeout),
		Priority: priority, IsRanked: isRanked,
	}, got)
	if err != nil {
		t.Logf("not served: %v", err)
	}
	return got.status
}

// TestUrgencyAtModelServers guards against prefills and runs that model servers admit without
// regard to their urgency, and against requests without a rank that carry one.
func TestUrgencyAtModelServers(t *testing.T) {
	for name, want := range map[string]string{"ranked": "3", "not ranked": ""} {
		t.Run(name, func(t *testing.T) {
			var hasCapacity atomic.Bool
			hasCapacity.Store(true)
			seen := make(chan string, 2)
			decode := startDecodeServer(t, "decode", &hasCapacity, func(w http.ResponseWriter, r *http.Request) {
				seen <- r.Header.Get("Request-Urgency")
				events("1")(w, r)
			})
			prefill := startServer(t, "prefill", serverlist.Prefill, func(w http.ResponseWriter, r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, "/hickoryfront/") {
					seen <- r.Header.Get("Request-Urgency")
					_, _ = io.WriteString(w, `{"handle":"h","tokens":100,"version":1}`)
				}
			})
			if status := sendRanked(t, newDispatcher(t, servers{decode, prefill}, 100), 3, name == "ranked"); status != http.StatusOK {
				t.Fatalf("status %d, want 200", status)
			}
			for _, call := range []string{"prefill", "decode"} {
				if got := <-seen; got != want {
					t.Errorf("urgency %q at the %s server, want %q", got, call, want)
				}
			}
		})
	}
}
