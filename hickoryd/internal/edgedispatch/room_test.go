package edgedispatch_test

import (
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
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
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/room"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
)

// TestRoom guards against requests that reach a server without room, against grants that are
// not released, and against requests that fail for lack of a home.
func TestRoom(t *testing.T) {
	self := []netip.AddrPort{selfAddress}
	hold := after(500*time.Millisecond, ok) // longer than the target latency
	tests := []struct {
		name   string
		hosts  []netip.AddrPort
		server http.HandlerFunc
		// requests are sent at the same time.
		requests int
		isLarge  bool // the server has more slots than there are requests
		want     map[int]int
		// wantReceived is the number of requests at the server.
		wantReceived int64
	}{
		{name: "granted", hosts: self, server: ok, requests: 1, want: map[int]int{200: 1}, wantReceived: 1},
		{name: "no room before the target", hosts: self, server: hold, requests: 4, want: map[int]int{200: 1, 503: 3}, wantReceived: 1},
		{name: "no host is known", server: hold, requests: 4, want: map[int]int{200: 4}, wantReceived: 4},
		{name: "the server has room", hosts: self, server: hold, requests: 4, isLarge: true, want: map[int]int{200: 4}, wantReceived: 4},
		{name: "the server rejects", hosts: self, server: full, requests: 1, want: map[int]int{503: 1}, wantReceived: 1},
		{name: "the server breaks off", hosts: self, server: broken, requests: 1, want: map[int]int{502: 1}, wantReceived: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var received atomic.Int64
			server := startServer(t, "first", serverlist.NoStage, func(w http.ResponseWriter, r *http.Request) {
				received.Add(1)
				tt.server(w, r)
			})
			server.Slots = 1
			if tt.isLarge {
				server.Slots = 2 * tt.requests
			}
			logger := &log.Logger{Handler: discard.New()}
			list := limitList{servers{server}, tt.hosts}
			rooms := room.New(t.Context(), room.Options{Self: selfAddress}, list, nil, logger, metrics.NewSet())
			d := edgedispatch.New(t.Context(), edgedispatch.Options{Self: selfAddress, Budget: retrybudget.Limits{Slack: 100}, Rooms: rooms},
				list, upstream.NewPool(netip.Addr{}, metrics.NewSet()), noPeers{}, noQuarantine{}, &originStore{}, logger, metrics.NewSet())
			var group sync.WaitGroup
			statuses := make(chan int, tt.requests)
			for range tt.requests {
				group.Go(func() {
					status, _ := send(t, d, route.Route{Kind: route.Unsafe, MaxServers: 1}, callerTimeout)
					statuses <- status
				})
			}
			group.Wait()
			close(statuses)
			got := make(map[int]int)
			for status := range statuses {
				got[status]++
			}
			for status, count := range tt.want {
				if got[status] != count {
					t.Errorf("responses by status %v, want %v", got, tt.want)
				}
			}
			if received.Load() != tt.wantReceived {
				t.Errorf("the server received %d requests, want %d", received.Load(), tt.wantReceived)
			}
			var s hoststate.State
			d.Describe(time.Now(), &s)
			for _, r := range s.Rooms {
				if r.Waiting != 0 || r.Servers[0].Granted != 0 {
					t.Errorf("the home has %+v in the end", r)
				}
			}
		})
	}
}
