package edgedispatch_test

import (
	"encoding/json"
	"errors"
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

// sendRanked sends a generation of a priority and returns the status that the caller gets, and the
// delay after which it is told to retry.
func sendRanked(t *testing.T, d *edgedispatch.Dispatcher, priority int, isRanked bool) (int, time.Duration) {
	t.Helper()
	now := time.Now()
	got := &sink{}
	err := d.Serve(t.Context(), &edgedispatch.Request{
		Metadata: platform.Request{ID: "r1", PromptTokens: promptTokens, MaxOutputTokens: 10, TimeLeft: callerTimeout},
		Route:    &route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1, Service: "s", Timeout: callerTimeout, LatencyTarget: 300 * time.Millisecond},
		Method:   http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Request-Id": {"r1"}, "Request-Urgency": {"0"}}, Arrived: now, Deadline: now.Add(callerTimeout),
		Priority: priority, IsRanked: isRanked,
	}, got)
	if failure := (*edgedispatch.Failure)(nil); errors.As(err, &failure) {
		return failure.Status, failure.RetryAfter
	}
	return got.status, 0
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
			if status, _ := sendRanked(t, newDispatcher(t, servers{decode, prefill}, 100), 3, name == "ranked"); status != http.StatusOK {
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

// TestLessUrgentRequestsReturnLater guards against refused callers of a less urgent kind that return
// when those of the most urgent kind do.
func TestLessUrgentRequestsReturnLater(t *testing.T) {
	var hasCapacity atomic.Bool
	d := newDispatcher(t, servers{startDecodeServer(t, "decode", &hasCapacity, events("1"))}, 100)
	_, urgent := sendRanked(t, d, 1, true)
	_, less := sendRanked(t, d, 4, true)
	if _, unranked := sendRanked(t, d, 4, false); urgent <= 0 || urgent >= unranked || less <= urgent {
		t.Errorf("told to retry after %v, less urgent %v, without a rank %v", urgent, less, unranked)
	}
}

// TestCalmReservations guards against calls that less urgent requests cost while memory is free.
func TestCalmReservations(t *testing.T) {
	var reservations atomic.Int64
	var hasCapacity atomic.Bool
	hasCapacity.Store(true)
	serve := decodeHandler(&hasCapacity, events("1"))
	d := newDispatcher(t, servers{startServer(t, "decode", serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/hold-take") {
			reservations.Add(1)
		}
		serve(w, r)
	})}, 100)
	for i := range 10 {
		if status, _ := sendRanked(t, d, i%2, true); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
	if reservations.Load() != 10 {
		t.Errorf("%d reservations for 10 requests", reservations.Load())
	}
}

// TestLessUrgentRequestsLeaveMemory guards against less urgent requests that all take memory that only
// one request fits in, after more urgent ones found none. A part of them yields to none: with one
// chance in 65,000 all eight do.
func TestLessUrgentRequestsLeaveMemory(t *testing.T) {
	var memory atomic.Int64
	d := newDispatcher(t, servers{startServer(t, "decode", serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Tokens int64 }
		switch {
		case strings.HasSuffix(r.URL.Path, "/hold-take") && json.NewDecoder(r.Body).Decode(&body) == nil && body.Tokens <= memory.Load():
			_, _ = io.WriteString(w, `{"hold":"h"}`)
		case strings.HasSuffix(r.URL.Path, "/hold-take"):
			full(w, r)
		case !strings.HasPrefix(r.URL.Path, "/hickoryfront/"):
			events("1")(w, r)
		}
	})}, 100)
	for range 3 {
		sendRanked(t, d, 0, true)
	}
	memory.Store(150)
	served := 0
	for range 8 {
		if status, _ := sendRanked(t, d, 1, true); status == http.StatusOK {
			served++
		}
	}
	if served == 8 {
		t.Error("all of 8 less urgent requests took memory for one request")
	}
	if status, _ := sendRanked(t, d, 0, true); status != http.StatusOK {
		t.Errorf("status %d of the most urgent request, want 200", status)
	}
}
