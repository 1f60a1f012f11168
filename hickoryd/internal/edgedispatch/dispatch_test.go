package edgedispatch_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/retrybudget"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlimit"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/streamorigin"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// callerTimeout is the timeout of a caller, at its first attempt.
	callerTimeout = 5 * time.Second
	promptTokens  = 100
)

type (
	// servers is a fixed list of backend servers.
	servers []serverlist.Server

	// sink keeps a response.
	sink struct {
		status int
		body   strings.Builder
	}

	// noPeers are the peers of a host that is alone.
	noPeers struct{}

	// noQuarantine refuses no request.
	noQuarantine struct{}
)

func (s servers) Servers() *registry.Snapshot { return &registry.Snapshot{Version: 1, Servers: s} }
func (s servers) HostCount() int              { return 1 }
func (s servers) Hosts() []netip.AddrPort     { return nil }
func (s servers) IsStoreUnreachable() bool    { return false }
func (s servers) AreHostsSettled() bool       { return true }

func (noPeers) ReportLoss(context.Context, uint64, string) {}
func (noPeers) ReportReplaced(context.Context, string)     {}

func (noPeers) ReportOrigins(context.Context, netip.AddrPort, []streamorigin.Origin) {}

func (noPeers) FindOrigin(context.Context, []netip.AddrPort, string, string, time.Duration) (streamorigin.Finding, error) {
	return streamorigin.Finding{}, nil
}

func (noPeers) ReportLimit(context.Context, []netip.AddrPort, serverlimit.Statement) {}

func (noPeers) AcquirePermit(context.Context, netip.AddrPort, serverlimit.Statement) (serverlimit.Permit, error) {
	return serverlimit.Permit{}, errors.New("no other host")
}

func (noPeers) Relay(context.Context, netip.AddrPort, *edgedispatch.Request, edgedispatch.Sink) error {
	return edgedispatch.ErrRelayRejected
}

func (noQuarantine) Check(time.Time, string, []string) (time.Time, bool) {
	return time.Time{}, false
}

func (noQuarantine) IsRefused(time.Time, uint64) bool { return false }

func (noQuarantine) RecordRequestLoss(time.Time, uint64, crash.Failure) {}

func (noQuarantine) ReportRequestLoss(time.Time, uint64, crash.Failure) {}

func (noQuarantine) RecordRequestCompletion(time.Time, uint64) {}

func (noQuarantine) RecordStart(time.Time, string, []string) {}

func (noQuarantine) RecordLoss(context.Context, time.Time, crash.PartLoss) {}

func (s *sink) Start(status int, _ http.Header) error {
	s.status = status
	return nil
}

func (s *sink) Write(part []byte) error {
	s.body.Write(part)
	return nil
}

// startServer returns a registered server that is served by f.
func startServer(t *testing.T, id string, stage serverlist.Stage, f http.HandlerFunc) serverlist.Server {
	t.Helper()
	server, _ := startServerWithListener(t, id, stage, f)
	return server
}

// startServerWithListener is startServer and returns the server's listener as well.
func startServerWithListener(t *testing.T, id string, stage serverlist.Stage, f http.HandlerFunc) (serverlist.Server, net.Listener) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		f(w, r)
	}))
	t.Cleanup(server.Close)
	return serverlist.Server{ID: id, Service: "s", Stage: stage, Address: netip.MustParseAddrPort(server.Listener.Addr().String())}, server.Listener
}

// newDispatcher returns the dispatcher of a single host with a budget of the given
// number of retries.
func newDispatcher(t *testing.T, list edgedispatch.Registry, retries float64) *edgedispatch.Dispatcher {
	t.Helper()
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	pool := upstream.NewPool(netip.Addr{}, metrics.NewSet())
	return edgedispatch.New(t.Context(), edgedispatch.Options{Budget: retrybudget.Limits{Slack: retries}}, list, pool, noPeers{}, noQuarantine{}, &originStore{}, logger, metrics.NewSet())
}

// serve sends one request through a new dispatcher and returns the status and body
// that the caller gets. Status 0 is a truncated response.
func serve(t *testing.T, list servers, r route.Route, retries float64) (int, string) {
	t.Helper()
	return send(t, newDispatcher(t, list, retries), r, callerTimeout)
}

// send sends one request whose caller has timeLeft of its timeout left.
func send(t *testing.T, d *edgedispatch.Dispatcher, r route.Route, timeLeft time.Duration) (int, string) {
	t.Helper()
	return sendPrompt(t, d, r, timeLeft, promptTokens)
}

// sendPrompt is send with a prompt of the given number of tokens.
func sendPrompt(t *testing.T, d *edgedispatch.Dispatcher, r route.Route, timeLeft time.Duration, tokens int) (int, string) {
	t.Helper()
	return sendRequest(t, d, "r1", r, timeLeft, tokens)
}

// sendRequest is sendPrompt with an ID.
func sendRequest(t *testing.T, d *edgedispatch.Dispatcher, id string, r route.Route, timeLeft time.Duration, tokens int) (int, string) {
	t.Helper()
	return run(t, d, newRequest(id, r, timeLeft, tokens))
}

func newRequest(id string, r route.Route, timeLeft time.Duration, tokens int) *edgedispatch.Request {
	r.Service, r.Timeout, r.LatencyTarget = "s", callerTimeout, 300*time.Millisecond
	now := time.Now()
	return &edgedispatch.Request{
		Metadata: platform.Request{ID: id, PromptTokens: tokens, MaxOutputTokens: 10, TimeLeft: timeLeft}, Route: &r,
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Request-Id": {id}}, Arrived: now, Deadline: now.Add(timeLeft),
	}
}

// run sends a request and returns what its caller gets, as serve does.
func run(t *testing.T, d *edgedispatch.Dispatcher, request *edgedispatch.Request) (int, string) {
	t.Helper()
	got := &sink{}
	err := d.Serve(t.Context(), request, got)
	var failure *edgedispatch.Failure
	switch {
	case err == nil:
		return got.status, got.body.String()
	case errors.As(err, &failure):
		return failure.Status, ""
	default:
		return 0, got.body.String()
	}
}

func ok(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Server-Stamp", "stamp")
	_, _ = io.WriteString(w, "ok")
}

func full(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func failing(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Server-Stamp", "stamp")
	w.WriteHeader(http.StatusInternalServerError)
}

func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func unstamped(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "who am I") }

func TestPlain(t *testing.T) {
	safe, unsafe := route.Route{Kind: route.Safe, MaxServers: 2}, route.Route{Kind: route.Unsafe, MaxServers: 1}
	tests := []struct {
		name   string
		route  route.Route
		first  http.HandlerFunc
		want   int
		second int64 // requests at the second server
	}{
		{name: "the response is forwarded", route: unsafe, first: ok, want: http.StatusOK},
		{name: "a request that was not run goes to another server", route: unsafe, first: full, want: http.StatusOK, second: 1},
		{name: "an unsafe request that may have run is not retried", route: unsafe, first: broken, want: http.StatusBadGateway},
		{name: "a server's error response is forwarded", route: unsafe, first: failing, want: http.StatusInternalServerError},
		{name: "a response without a stamp is rejected", route: unsafe, first: unstamped, want: http.StatusBadGateway},
		{name: "a safe request is retried when its response is lost", route: safe, first: broken, want: http.StatusOK, second: 1},
		{name: "a safe request is retried after an error response", route: safe, first: failing, want: http.StatusOK, second: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var second atomic.Int64
			first := startServer(t, "first", serverlist.NoStage, tt.first)
			other := startServer(t, "second", serverlist.NoStage, func(w http.ResponseWriter, r *http.Request) {
				second.Add(1)
				ok(w, r)
			})
			other.FailureDomain = "elsewhere" // the first server is preferred
			status, _ := serve(t, servers{first, other}, tt.route, 100)
			if status != tt.want || second.Load() != tt.second {
				t.Errorf("status %d, want %d; %d requests at the second server, want %d", status, tt.want, second.Load(), tt.second)
			}
		})
	}
}

// startDecodeServer returns a decode server that grants reservations while hasCapacity
// is set, and serves runs by f.
func startDecodeServer(t *testing.T, id string, hasCapacity *atomic.Bool, f http.HandlerFunc) serverlist.Server {
	return startServer(t, id, serverlist.Decode, decodeHandler(hasCapacity, f))
}

// decodeHandler returns the handler of a decode server.
func decodeHandler(hasCapacity *atomic.Bool, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "/hold-take") && hasCapacity.Load():
			_, _ = io.WriteString(w, `{"hold":"h"}`)
		case strings.HasSuffix(r.URL.Path, "/hold-take"):
			full(w, r)
		case strings.HasPrefix(r.URL.Path, "/hickoryfront/"):
			w.WriteHeader(http.StatusNotFound)
		default:
			f(w, r)
		}
	}
}

// beginEvents sets the headers of a stream. Without a content type the HTTP server would state
// the one that the first bytes look like.
func beginEvents(w http.ResponseWriter) {
	w.Header().Set("Server-Stamp", "stamp")
	w.Header().Set("Content-Type", "text/event-stream")
}

func events(ids ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		beginEvents(w)
		for _, id := range ids {
			_, _ = io.WriteString(w, "id: "+id+"\n\n")
		}
	}
}

func eventsThenBreak(ids ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		events(ids...)(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func TestStreams(t *testing.T) {
	once := route.Route{Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
	resumable := route.Route{Kind: route.Streaming, IsGeneration: true, IsResumable: true, MaxServers: 2}
	tests := []struct {
		name   string
		route  route.Route
		first  http.HandlerFunc
		second http.HandlerFunc // nil: the server has no free capacity
		want   int
		body   string
		// hasNoRetry is set if the retry budget is used up.
		hasNoRetry bool
	}{
		{name: "complete", route: once, first: events("1", "2"), want: http.StatusOK, body: "id: 1\n\nid: 2\n\n"},
		{name: "a broken stream that is not resumable is truncated", route: once, first: eventsThenBreak("1"), second: events("2"), body: "id: 1\n\n"},
		{name: "a resumed stream has no duplicate events", route: resumable, first: eventsThenBreak("1", "2"), second: events("2", "3"), want: http.StatusOK, body: "id: 1\n\nid: 2\n\nid: 3\n\n"},
		{name: "a resumed run that skips an event is truncated", route: resumable, first: eventsThenBreak("1"), second: events("3"), body: "id: 1\n\n"},
		{name: "a request that may have run is not refused as not run when capacity runs out", route: resumable, first: broken, want: http.StatusBadGateway},
		{name: "a stream that has started is truncated when the retry budget is used up", route: resumable, first: eventsThenBreak("1"), second: events("2"), hasNoRetry: true, body: "id: 1\n\n"},
		{name: "a request without free capacity is refused", route: once, want: http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var firstHasCapacity, secondHasCapacity atomic.Bool
			firstHasCapacity.Store(tt.first != nil)
			secondHasCapacity.Store(tt.second != nil)
			first := startDecodeServer(t, "first", &firstHasCapacity, func(w http.ResponseWriter, r *http.Request) {
				firstHasCapacity.Store(false)
				tt.first(w, r)
			})
			second := startDecodeServer(t, "second", &secondHasCapacity, func(w http.ResponseWriter, r *http.Request) { tt.second(w, r) })
			second.FailureDomain = "elsewhere" // the first server is preferred
			retries := 100.0
			if tt.hasNoRetry {
				retries = 0
			}
			status, body := serve(t, servers{first, second}, tt.route, retries)
			if status != tt.want || body != tt.body {
				t.Errorf("status %d, want %d; body %q, want %q", status, tt.want, body, tt.body)
			}
		})
	}
}

// TestLateRequestLeavesCapacity sends a caller's retry to a server whose memory is
// enough for one request or for two. If there is memory for one only, a late request
// must leave it to requests that can still meet the target latency, until its last
// search. Otherwise it would take memory from them and make them late too.
func TestLateRequestLeavesCapacity(t *testing.T) {
	tests := []struct {
		name     string
		memory   int
		timeLeft time.Duration
		prompt   int // tokens; 0 is promptTokens
		want     int
		// minWait is the shortest time until the request may take the capacity.
		minWait time.Duration
	}{
		{name: "a request that can be on time takes the last capacity", memory: 150, timeLeft: callerTimeout, want: http.StatusOK},
		{name: "so does that of a caller with a shorter timeout", memory: 150, timeLeft: callerTimeout * 86 / 100, want: http.StatusOK},
		{name: "a late one leaves it until its last search", memory: 150, timeLeft: callerTimeout / 2, want: http.StatusOK, minWait: 550 * time.Millisecond},
		{name: "a late one takes spare capacity", memory: 300, timeLeft: callerTimeout / 2, want: http.StatusOK},
		{name: "a large late one leaves capacity for an average one", memory: 1200, timeLeft: callerTimeout / 2, prompt: 1000, want: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var memory, held atomic.Int64
			memory.Store(1 << 20)
			server := startServer(t, "first", serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
				var body struct{ Tokens int64 }
				switch {
				case strings.HasSuffix(r.URL.Path, "/hold-take") && json.NewDecoder(r.Body).Decode(&body) == nil && body.Tokens <= memory.Load():
					held.Store(body.Tokens)
					_, _ = io.WriteString(w, `{"hold":"h"}`)
				case strings.HasSuffix(r.URL.Path, "/hold-take"):
					full(w, r)
				case strings.HasPrefix(r.URL.Path, "/hickoryfront/"):
					w.WriteHeader(http.StatusOK)
				default:
					events("1")(w, r)
				}
			})
			d := newDispatcher(t, servers{server}, 100)
			once := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
			for i := range 20 { // callers with different timeouts
				left := callerTimeout - time.Duration(i%10)*callerTimeout/100
				if status, _ := send(t, d, once, left); status != http.StatusOK {
					t.Fatalf("status %d of a first attempt, want 200", status)
				}
			}
			memory.Store(int64(tt.memory))
			sent := time.Now()
			status, _ := sendPrompt(t, d, once, tt.timeLeft, max(tt.prompt, promptTokens))
			if status != tt.want {
				t.Errorf("status %d, want %d", status, tt.want)
			}
			if took := time.Since(sent); took < tt.minWait {
				t.Errorf("reserved capacity after %v, want at least %v", took, tt.minWait)
			}
			if maxHeld := int64(max(tt.prompt, promptTokens)) + promptTokens - 1; status == http.StatusOK && held.Load() > maxHeld {
				t.Errorf("%d tokens held, want at most %d", held.Load(), maxHeld)
			}
		})
	}
}

// TestReplacedServerGetsNoMoreWork sends requests while another process has taken a
// server's address and still grants reservations for the old server. Only the first
// request may reach that process and be retried elsewhere, not each one until the
// server list is updated, and no prompt may be prefilled twice.
func TestReplacedServerGetsNoMoreWork(t *testing.T) {
	var hasCapacity atomic.Bool
	hasCapacity.Store(true)
	var misdirected, prefills atomic.Int64
	replaced := startDecodeServer(t, "replaced", &hasCapacity, func(w http.ResponseWriter, _ *http.Request) {
		misdirected.Add(1)
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	other := startDecodeServer(t, "other", &hasCapacity, events("1"))
	other.FailureDomain = "elsewhere" // the first server is preferred
	prefill := startServer(t, "reader", serverlist.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/hickoryfront/") {
			return // a handle is released
		}
		prefills.Add(1)
		_, _ = io.WriteString(w, `{"handle":"h","tokens":100,"version":1}`)
	})
	d := newDispatcher(t, servers{replaced, other, prefill}, 100)
	once := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
	for range 3 {
		if status, _ := send(t, d, once, callerTimeout); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
		time.Sleep(100 * time.Millisecond) // longer than the time for which a full server is skipped
	}
	if misdirected.Load() != 1 || prefills.Load() != 3 {
		t.Errorf("%d requests at the replaced server, %d prefills; want 1 and 3", misdirected.Load(), prefills.Load())
	}
}
