package edgedispatch_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

// arrivals counts what reaches backend servers, by request.
type arrivals struct {
	mu sync.Mutex
	// counted are all arrivals that count against the budget, the first one of each
	// request included: runs, and prefills without the first that was accepted.
	counted map[string]int
	runs    map[string]int
	// isPrefilled holds the requests of which a prefill was accepted.
	isPrefilled map[string]bool
}

func newArrivals() *arrivals {
	return &arrivals{counted: make(map[string]int), runs: make(map[string]int), isPrefilled: make(map[string]bool)}
}

// countRun reports whether the run is the first one of its request.
func (a *arrivals) countRun(r *http.Request) (isFirst bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := r.Header.Get("Request-Id")
	a.counted[id]++
	a.runs[id]++
	return a.runs[id] == 1
}

func (a *arrivals) countPrefill(r *http.Request, isAccepted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := r.Header.Get("Request-Id")
	if isAccepted && !a.isPrefilled[id] {
		a.isPrefilled[id] = true
		return
	}
	a.counted[id]++
}

// beyondFirst returns the arrivals beyond the first of their request.
func (a *arrivals) beyondFirst() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := 0
	for _, count := range a.counted {
		sum += count - 1
	}
	return sum
}

// A budget that is checked before a send and charged after it is overdrawn by requests that
// are sent at the same time, and one that charges a retry as one arrival is overdrawn by
// retries that need another prefill.
func TestRetryBudgetIsNotOverdrawn(t *testing.T) {
	const (
		requests, retries = 40, 10
		// sendTime is so long that many requests are sent before the first one ends.
		sendTime = 50 * time.Millisecond
	)
	tests := []struct {
		name              string
		prefill           http.HandlerFunc
		isPrefillAccepted bool
		firstRun, nextRun http.HandlerFunc
	}{
		{name: "prefills are rejected", prefill: full, firstRun: events("1", "2"), nextRun: events("1", "2")},
		{name: "prefills are broken off", prefill: broken, firstRun: events("1", "2"), nextRun: events("1", "2")},
		{name: "runs are broken off", prefill: acceptPrefill, isPrefillAccepted: true, firstRun: broken, nextRun: events("1", "2")},
		{name: "all runs are rejected", prefill: acceptPrefill, isPrefillAccepted: true, firstRun: full, nextRun: full},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			counts := newArrivals()
			var hasCapacity atomic.Bool
			hasCapacity.Store(true)
			var list servers
			for i := range 4 {
				list = append(list, startServer(t, fmt.Sprint("prefill-", i), serverlist.Prefill, func(w http.ResponseWriter, r *http.Request) {
					if strings.HasPrefix(r.URL.Path, "/hickoryfront/") {
						return // the release of a handle
					}
					counts.countPrefill(r, tt.isPrefillAccepted)
					time.Sleep(sendTime)
					tt.prefill(w, r)
				}))
				list = append(list, startDecodeServer(t, fmt.Sprint("decode-", i), &hasCapacity, func(w http.ResponseWriter, r *http.Request) {
					isFirst := counts.countRun(r)
					time.Sleep(sendTime)
					if isFirst {
						tt.firstRun(w, r)
						return
					}
					tt.nextRun(w, r)
				}))
			}
			d := newDispatcher(t, list, retries)
			resumable := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, IsResumable: true, MaxServers: 3}
			var group sync.WaitGroup
			for i := range requests {
				group.Go(func() { sendRequest(t, d, fmt.Sprint("r", i), resumable, callerTimeout, promptTokens) })
			}
			group.Wait()
			if got := counts.beyondFirst(); got > retries {
				t.Errorf("%d arrivals beyond the first of their request, allowed %d", got, retries)
			}
		})
	}
}

func acceptPrefill(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, `{"handle":"k","tokens":100}`)
}
