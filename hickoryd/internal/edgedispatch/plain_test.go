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
)

// longBody is the length of a body of which less than half is buffered.
const longBody = 1 << 20

// after delays a handler. It does nothing if the caller disconnects first.
func after(delay time.Duration, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(delay):
			f(w, r)
		}
	}
}

// trickle responds with a body that is too long to be buffered and takes 400 ms.
func trickle(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Server-Stamp", "stamp")
	_, _ = io.WriteString(w, strings.Repeat("x", longBody/2))
	for range 4 {
		_ = http.NewResponseController(w).Flush()
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, strings.Repeat("x", longBody/8))
	}
}

// TestSilentServerFinishesItsRequest guards against a safe request that fails because its
// server paused for longer than a part of the target latency while no other server could
// serve it.
func TestSilentServerFinishesItsRequest(t *testing.T) {
	const (
		pause     = 400 * time.Millisecond // the target latency is 300 ms
		anyNumber = -1
	)
	tests := []struct {
		name   string
		first  http.HandlerFunc
		second http.HandlerFunc // nil: there is no second server
		// hasNoRetry is set if the retry budget is used up.
		hasNoRetry bool
		seconds    int64 // requests at the second server, or anyNumber
		isFast     bool  // the response comes before that of the first server
		length     int
	}{
		{name: "there is no other server", first: after(pause, ok), length: 2},
		{name: "the other server is full", first: after(pause, ok), second: full, seconds: 1, length: 2},
		{name: "the other server breaks off", first: after(pause, ok), second: broken, seconds: 1, length: 2},
		{name: "the other server fails", first: after(pause, ok), second: failing, seconds: 1, length: 2},
		{name: "the retry budget is used up", first: after(pause, ok), second: ok, hasNoRetry: true, length: 2},
		{name: "the other server responds first", first: after(pause, ok), second: ok, seconds: 1, isFast: true, length: 2},
		{name: "a long response goes on", first: trickle, second: after(endlessSilence, ok), seconds: anyNumber, length: longBody},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var seconds atomic.Int64
			list := servers{startServer(t, "first", serverlist.NoStage, tt.first)}
			if tt.second != nil {
				second := startServer(t, "second", serverlist.NoStage, func(w http.ResponseWriter, r *http.Request) {
					seconds.Add(1)
					tt.second(w, r)
				})
				second.FailureDomain = "elsewhere" // the first server is preferred
				list = append(list, second)
			}
			retries := 100.0
			if tt.hasNoRetry {
				retries = 0
			}
			started := time.Now()
			status, body := serve(t, list, route.Route{Kind: route.Safe, MaxServers: 2}, retries)
			took := time.Since(started)
			if status != http.StatusOK || len(body) != tt.length || tt.seconds != anyNumber && seconds.Load() != tt.seconds {
				t.Errorf("status %d, want 200; %d bytes, want %d; %d requests at the second server, want %d", status, len(body), tt.length, seconds.Load(), tt.seconds)
			}
			if tt.isFast && took >= pause {
				t.Errorf("the response took %v, want less than the %v of the first server", took, pause)
			}
		})
	}
}
