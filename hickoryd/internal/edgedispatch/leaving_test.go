package edgedispatch_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

// A server may say that it is leaving before the server list does. It must get no request
// after that, while another one takes them.
func TestServerThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	tests := []struct {
		name  string
		route route.Route
		stage serverlist.Stage
		serve http.HandlerFunc
		// isLeaving selects the responses that say so.
		isLeaving func(r *http.Request) bool
		// wantRequests is the number of requests that the server gets.
		wantRequests int64
	}{
		{
			name: "plain response", route: route.Route{Kind: route.Unsafe, MaxServers: 1}, serve: ok,
			isLeaving: func(*http.Request) bool { return true }, wantRequests: 1,
		},
		{
			name: "rejection", route: route.Route{Kind: route.Unsafe, MaxServers: 1}, serve: full,
			isLeaving: func(*http.Request) bool { return true }, wantRequests: 1,
		},
		{
			name:  "stream",
			route: route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1}, stage: serverlist.Decode, serve: events("1"),
			isLeaving:    func(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/hickoryfront/") },
			wantRequests: 1,
		},
		{
			name:  "reservation for a stream",
			route: route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1}, stage: serverlist.Decode, serve: events("1"),
			isLeaving: func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/hold-take") },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var requests atomic.Int64
			var hasCapacity atomic.Bool
			hasCapacity.Store(true)
			answer := func(id string) serverlist.Server {
				return startDecodeServer(t, id, &hasCapacity, events("1"))
			}
			if tt.stage == serverlist.NoStage {
				answer = func(id string) serverlist.Server { return startServer(t, id, serverlist.NoStage, ok) }
			}
			stay := answer("stays")
			stay.FailureDomain = "elsewhere" // the other server is preferred
			granting := decodeHandler(&hasCapacity, func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				tt.serve(w, r)
			})
			leaver := startServer(t, "leaves", tt.stage, func(w http.ResponseWriter, r *http.Request) {
				if tt.isLeaving(r) {
					w.Header().Set("Server-Leaving", "1")
				}
				granting(w, r)
			})
			d := newDispatcher(t, servers{leaver, stay}, 100)
			for range 5 {
				if status, _ := send(t, d, tt.route, callerTimeout); status != http.StatusOK {
					t.Errorf("status %d", status)
				}
			}
			if got := requests.Load(); got != tt.wantRequests {
				t.Errorf("%d requests at the leaving server, want %d", got, tt.wantRequests)
			}
		})
	}
}
