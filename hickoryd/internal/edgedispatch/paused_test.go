package edgedispatch_test

import (
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
)

// A server may state with a rejection for how long it wants no request from this host.
func TestServerThatWantsNoRequestsGetsNone(t *testing.T) {
	plain, stream := route.Route{Kind: route.Safe, MaxServers: 3}, route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
	tests := []struct {
		name  string
		route route.Route
		stage serverlist.Stage
		path  string // of the requests that are rejected
		// wantRequests is the number of requests and calls that the server gets.
		wantRequests int64
	}{
		{name: "plain request", route: plain, path: "/x", wantRequests: 1},
		{name: "reservation", route: stream, stage: serverlist.Decode, path: "/hickoryfront/hold-take", wantRequests: 1},
		{name: "run", route: stream, stage: serverlist.Decode, path: "/x", wantRequests: 2}, // and its reservation
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var requests atomic.Int64
			var hasCapacity atomic.Bool
			hasCapacity.Store(true)
			other := startDecodeServer(t, "other", &hasCapacity, events("1"))
			if tt.stage == serverlist.NoStage {
				other = startServer(t, "other", serverlist.NoStage, ok)
			}
			other.FailureDomain = "elsewhere" // the server that wants no requests is preferred
			handler := decodeHandler(&hasCapacity, events("1"))
			paused := startServer(t, "paused", tt.stage, func(w http.ResponseWriter, r *http.Request) {
				if !strings.Contains(r.URL.Path, "/hold-drop/") { // the release of a reservation follows at once
					requests.Add(1)
				}
				if r.URL.Path == tt.path {
					w.Header().Set("Retry-After", "30")
					full(w, r)
					return
				}
				handler(w, r)
			})
			d := newDispatcher(t, servers{paused, other}, 100)
			for range 20 {
				if status, _ := send(t, d, tt.route, callerTimeout); status != http.StatusOK {
					t.Errorf("status %d", status)
				}
				time.Sleep(10 * time.Millisecond) // longer in all than a full server is skipped
			}
			if got := requests.Load(); got != tt.wantRequests {
				t.Errorf("%d requests at the server, want %d", got, tt.wantRequests)
			}
		})
	}
}

// If no server takes requests, callers must be told when one does again.
func TestRetryAfterOfPausedServers(t *testing.T) {
	paused := startServer(t, "paused", serverlist.NoStage, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "7.5")
		full(w, r)
	})
	d := newDispatcher(t, servers{paused}, 100)
	for range 2 { // the second request is not sent to a server
		now := time.Now()
		unsafe := route.Route{Kind: route.Unsafe, Service: "s", MaxServers: 1, LatencyTarget: 300 * time.Millisecond}
		request := &edgedispatch.Request{Route: &unsafe, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}, Arrived: now, Deadline: now.Add(callerTimeout)}
		var failure *edgedispatch.Failure
		if err := d.Serve(t.Context(), request, &sink{}); !errors.As(err, &failure) {
			t.Fatalf("error %v, want a refusal", err)
		}
		if failure.Status != http.StatusServiceUnavailable || failure.RetryAfter < 6*time.Second || failure.RetryAfter > 7500*time.Millisecond {
			t.Errorf("status %d, retry after %v; want 503 and 7.5s", failure.Status, failure.RetryAfter)
		}
	}
}
