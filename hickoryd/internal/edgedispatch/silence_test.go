package edgedispatch_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/core/retrybudget"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// pause is longer than the silence timeout.
	pause = 2300 * time.Millisecond
	// endlessSilence is longer than any caller waits.
	endlessSilence = time.Minute
)

var resumable = route.Route{Kind: route.Streaming, IsGeneration: true, IsResumable: true, MaxServers: 2}

// sendEvents sends events and makes sure that they reach the host.
func sendEvents(w http.ResponseWriter, ids ...string) {
	beginEvents(w)
	for _, id := range ids {
		_, _ = io.WriteString(w, "id: "+id+"\n\n")
	}
	_ = http.NewResponseController(w).Flush()
}

// eventsAroundSilence sends the events before, is silent, and goes on with those after.
func eventsAroundSilence(before []string, silence time.Duration, after ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if len(before) > 0 {
			sendEvents(w, before...)
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(silence):
		}
		sendEvents(w, after...)
	}
}

// TestLogNamesSilence checks that the log of a retried stream tells a silent server from
// one that broke off.
func TestLogNamesSilence(t *testing.T) {
	tests := []struct {
		name  string
		first http.HandlerFunc
		want  bool
	}{
		{name: "silent", first: eventsAroundSilence([]string{"1"}, endlessSilence), want: true},
		{name: "broken off", first: eventsThenBreak("1")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var firstHasCapacity, secondHasCapacity atomic.Bool
			firstHasCapacity.Store(true)
			secondHasCapacity.Store(true)
			first := startDecodeServer(t, "first", &firstHasCapacity, tt.first)
			second := startDecodeServer(t, "second", &secondHasCapacity, events("2"))
			second.FailureDomain = "elsewhere" // the first server is preferred
			entries := memory.New()
			d := edgedispatch.New(t.Context(), edgedispatch.Options{Budget: retrybudget.Limits{Slack: 100}}, servers{first, second},
				upstream.NewPool(netip.Addr{}, metrics.NewSet()), noPeers{}, noQuarantine{}, &originStore{}, &log.Logger{Handler: entries, Level: log.InfoLevel}, metrics.NewSet())
			if status, body := send(t, d, resumable, callerTimeout); status != http.StatusOK || body != "id: 1\n\nid: 2\n\n" {
				t.Fatalf("status %d, body %q", status, body)
			}
			var got string
			for _, entry := range entries.Entries {
				if entry.Message == "stream retried on another server" {
					got += entry.Fields.Get("server").(string) + ": " + entry.Fields.Get("error").(string)
				}
			}
			if !strings.HasPrefix(got, "first: ") || strings.Contains(got, "no stream event") != tt.want {
				t.Errorf("logged %q, want the server and, %t, its silence", got, tt.want)
			}
		})
	}
}

// TestSilentServerFinishesItsStream guards against a stream that is truncated because its
// server paused for longer than the silence timeout while no other server could take over.
func TestSilentServerFinishesItsStream(t *testing.T) {
	tests := []struct {
		name   string
		first  http.HandlerFunc
		second http.HandlerFunc // nil: the server has no free capacity
		// prefill is how long a prefill takes; 0: there is no prefill server.
		prefill time.Duration
		// hasNoRetry is set if the retry budget is used up.
		hasNoRetry bool
		want       string
		seconds    int64 // runs at the second server
	}{
		{name: "no other server has capacity", first: eventsAroundSilence([]string{"1"}, pause, "2", "3"), want: "123"},
		{name: "no other server has capacity before the first event", first: eventsAroundSilence(nil, pause, "1", "2"), want: "12"},
		{name: "the retry budget is used up", first: eventsAroundSilence([]string{"1"}, pause, "2"), second: events("2"), hasNoRetry: true, want: "12"},
		{name: "the server goes on while the other server gets the prompt", first: eventsAroundSilence([]string{"1"}, pause, "2", "3"), second: events("2", "3"), prefill: time.Second, want: "123"},
		{name: "another server takes over from one that stays silent", first: eventsAroundSilence([]string{"1"}, endlessSilence), second: events("2", "3"), prefill: 20 * time.Millisecond, want: "123", seconds: 1},
		{name: "another server takes over before the first event", first: eventsAroundSilence(nil, endlessSilence), second: events("1", "2"), want: "12", seconds: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var firstHasCapacity, secondHasCapacity atomic.Bool
			firstHasCapacity.Store(true)
			secondHasCapacity.Store(tt.second != nil)
			first := startDecodeServer(t, "first", &firstHasCapacity, func(w http.ResponseWriter, r *http.Request) {
				firstHasCapacity.Store(false)
				tt.first(w, r)
			})
			var seconds atomic.Int64
			second := startDecodeServer(t, "second", &secondHasCapacity, func(w http.ResponseWriter, r *http.Request) {
				seconds.Add(1)
				tt.second(w, r)
			})
			second.FailureDomain = "elsewhere" // the first server is preferred
			list := servers{first, second}
			if tt.prefill > 0 {
				list = append(list, startServer(t, "prefill", serverlist.Prefill, func(w http.ResponseWriter, r *http.Request) {
					if r.Method != http.MethodDelete {
						time.Sleep(tt.prefill)
						_, _ = io.WriteString(w, `{"handle":"h","tokens":100,"version":1}`)
					}
				}))
			}
			retries := 100.0
			if tt.hasNoRetry {
				retries = 0
			}
			status, body := serve(t, list, resumable, retries)
			got := strings.ReplaceAll(strings.ReplaceAll(body, "id: ", ""), "\n", "")
			if status != http.StatusOK || got != tt.want || seconds.Load() != tt.seconds {
				t.Errorf("status %d, want 200; events %s, want %s; %d runs at the second server, want %d", status, got, tt.want, seconds.Load(), tt.seconds)
			}
		})
	}
}

// TestFurtherPrefillIsOneRetry guards against a prefill that counts as two retries: it was
// a further one of its request, and the host canceled it because the silent server went on.
func TestFurtherPrefillIsOneRetry(t *testing.T) {
	t.Parallel()
	var firstHasCapacity, secondHasCapacity atomic.Bool
	firstHasCapacity.Store(true)
	secondHasCapacity.Store(true)
	first := startDecodeServer(t, "first", &firstHasCapacity, func(w http.ResponseWriter, r *http.Request) {
		firstHasCapacity.Store(false)
		eventsAroundSilence([]string{"1"}, pause, "2")(w, r)
	})
	second := startDecodeServer(t, "second", &secondHasCapacity, events("2"))
	second.FailureDomain = "elsewhere" // the first server is preferred
	var prefills atomic.Int64
	prefill := startServer(t, "prefill", serverlist.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			return
		}
		if prefills.Add(1) > 1 {
			time.Sleep(time.Second)
		}
		_, _ = io.WriteString(w, `{"handle":"h","tokens":100,"version":1}`)
	})
	d := newDispatcher(t, servers{first, second, prefill}, 100)
	if status, body := send(t, d, resumable, callerTimeout); status != http.StatusOK || body != "id: 1\n\nid: 2\n\n" {
		t.Fatalf("status %d, body %q", status, body)
	}
	var state hoststate.State
	for deadline := time.Now().Add(callerTimeout); prefills.Load() < 2 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond) // the canceled preparation ends
	d.Describe(time.Now(), &state)
	if got := state.Budgets[0].Retries; got != 1 || prefills.Load() != 2 {
		t.Errorf("%d retries of %d prefills, want 1 of 2", got, prefills.Load())
	}
	for _, s := range state.Servers {
		if s.Requests != 0 || s.Tokens != 0 {
			t.Errorf("server %s has a load of %d requests and %d tokens, want none", s.ID, s.Requests, s.Tokens)
		}
	}
}

// slowSink keeps a response of which one write takes long.
type slowSink struct {
	sink
	writes    int
	slowWrite time.Duration
}

func (s *slowSink) Write(part []byte) error {
	s.writes++
	if s.writes == 2 {
		time.Sleep(s.slowWrite)
	}
	return s.sink.Write(part)
}

// TestSlowCallerIsNoSilence guards against a server that is given up as silent because its
// caller reads slowly.
func TestSlowCallerIsNoSilence(t *testing.T) {
	t.Parallel()
	var firstHasCapacity, secondHasCapacity atomic.Bool
	firstHasCapacity.Store(true)
	secondHasCapacity.Store(true)
	first := startDecodeServer(t, "first", &firstHasCapacity, func(w http.ResponseWriter, r *http.Request) {
		for id := 1; id <= 30 && r.Context().Err() == nil; id++ {
			sendEvents(w, strconv.Itoa(id))
			time.Sleep(100 * time.Millisecond)
		}
	})
	var seconds atomic.Int64
	second := startDecodeServer(t, "second", &secondHasCapacity, func(http.ResponseWriter, *http.Request) { seconds.Add(1) })
	second.FailureDomain = "elsewhere" // the first server is preferred
	got := &slowSink{slowWrite: pause}
	r := resumable
	r.Service, r.Timeout, r.LatencyTarget = "s", 2*callerTimeout, 300*time.Millisecond
	now := time.Now()
	err := newDispatcher(t, servers{first, second}, 100).Serve(t.Context(), &edgedispatch.Request{
		Metadata: platform.Request{ID: "r1", PromptTokens: promptTokens, MaxOutputTokens: 10, TimeLeft: r.Timeout}, Route: &r,
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Request-Id": {"r1"}}, Arrived: now, Deadline: now.Add(r.Timeout),
	}, got)
	if err != nil || !isWhole(got.body.String()) || seconds.Load() != 0 {
		t.Errorf("error %v, want the whole stream; %d runs at the second server, want none", err, seconds.Load())
	}
}

// TestLastAttemptIsNotGivenUp guards against a stream that is truncated because its server
// pauses in the last attempt that the request may make.
func TestLastAttemptIsNotGivenUp(t *testing.T) {
	t.Parallel()
	var hasCapacity, firstHasCapacity, lastHasCapacity atomic.Bool
	hasCapacity.Store(true)
	firstHasCapacity.Store(true)
	var list servers
	for _, id := range []string{"a", "b", "c", "d"} {
		list = append(list, startDecodeServer(t, id, &hasCapacity, full))
	}
	silent := startDecodeServer(t, "silent", &firstHasCapacity, func(w http.ResponseWriter, r *http.Request) {
		firstHasCapacity.Store(false)
		lastHasCapacity.Store(true)
		eventsAroundSilence([]string{"1"}, pause, "2", "3")(w, r)
	})
	last := startDecodeServer(t, "last", &lastHasCapacity, events("2", "3"))
	silent.FailureDomain, last.FailureDomain = "elsewhere", "elsewhere" // the others are preferred
	status, body := serve(t, append(list, silent, last), resumable, 100)
	if status != http.StatusOK || !isWhole(body) {
		t.Errorf("status %d, want 200; body %q", status, body)
	}
}

// TestBegunStreamReturnsToServer guards against a begun stream that is truncated because
// the servers that could go on with it have turned it away once, or were silent.
func TestBegunStreamReturnsToServer(t *testing.T) {
	tests := []struct {
		name   string
		first  http.HandlerFunc
		second http.HandlerFunc // after it has turned the first run away
	}{
		{name: "the other server has capacity again", first: eventsThenBreak("1"), second: events("2", "3")},
		{name: "the silent server goes on", first: eventsAroundSilence([]string{"1"}, endlessSilence)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var firstHasCapacity, secondHasCapacity atomic.Bool
			firstHasCapacity.Store(true)
			secondHasCapacity.Store(true)
			var firsts, seconds atomic.Int64
			first := startDecodeServer(t, "first", &firstHasCapacity, func(w http.ResponseWriter, r *http.Request) {
				if firsts.Add(1) == 1 {
					firstHasCapacity.Store(false)
					tt.first(w, r)
					return
				}
				events("2", "3")(w, r)
			})
			second := startDecodeServer(t, "second", &secondHasCapacity, func(w http.ResponseWriter, r *http.Request) {
				if seconds.Add(1) == 1 {
					full(w, r)
					if tt.second == nil {
						secondHasCapacity.Store(false)
						firstHasCapacity.Store(true)
					}
					return
				}
				tt.second(w, r)
			})
			second.FailureDomain = "elsewhere" // the first server is preferred
			status, body := serve(t, servers{first, second}, resumable, 100)
			if status != http.StatusOK || !isWhole(body) {
				t.Errorf("status %d, want 200; body %q", status, body)
			}
		})
	}
}

// TestUnusedRetryIsReturned guards against a retry budget that is used up by attempts at
// decode servers that were never reached.
func TestUnusedRetryIsReturned(t *testing.T) {
	t.Parallel()
	var hasCapacity, thirdHasCapacity atomic.Bool
	hasCapacity.Store(true)
	first := startDecodeServer(t, "first", &hasCapacity, func(w http.ResponseWriter, r *http.Request) {
		hasCapacity.Store(false)
		eventsThenBreak("1")(w, r)
	})
	var second *httptest.Server
	second = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		thirdHasCapacity.Store(true)
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, `{"hold":"h"}`)
		second.Listener.Close() // the request can't be sent
	}))
	t.Cleanup(second.Close)
	third := startDecodeServer(t, "third", &thirdHasCapacity, events("2", "3"))
	third.FailureDomain = "elsewhere" // the first server is preferred
	list := servers{first, {ID: "second", Service: "s", Stage: serverlist.Decode, Address: netip.MustParseAddrPort(second.Listener.Addr().String()), FailureDomain: "elsewhere"}, third}
	d := newDispatcher(t, list, 100)
	if status, body := send(t, d, resumable, callerTimeout); status != http.StatusOK || !isWhole(body) {
		t.Fatalf("status %d, body %q", status, body)
	}
	if _, got := describe(d); got != 1 {
		t.Errorf("%d retries in the budget, want 1: only the third server got the request again", got)
	}
}
