package edgedispatch_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
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

	"github.com/hickoryfront/hickoryfront/core/retrybudget"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// wholePatience is the time that a caller has when it asks for the first time.
	wholePatience = 5 * time.Second
	promptTokens  = 100
)

type (
	// servers is a fixed list of backend servers.
	servers []serverlist.Server

	// sink keeps an answer.
	sink struct {
		status int
		body   strings.Builder
	}

	nobody struct{}
)

func (s servers) Servers() *registry.Snapshot { return &registry.Snapshot{Version: 1, Servers: s} }
func (s servers) Hosts() int                  { return 1 }

func (nobody) ReportLoss(context.Context, uint64, string) {}
func (nobody) ReportReplaced(context.Context, string)     {}

func (s *sink) Start(status int, _ http.Header) error {
	s.status = status
	return nil
}

func (s *sink) Write(part []byte) error {
	s.body.Write(part)
	return nil
}

// start returns a registered server that is served by f.
func start(t *testing.T, id string, stage serverlist.Stage, f http.HandlerFunc) serverlist.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		f(w, r)
	}))
	t.Cleanup(server.Close)
	return serverlist.Server{ID: id, Service: "s", Stage: stage, Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

// newDispatcher returns a dispatcher of one host.
func newDispatcher(t *testing.T, list servers, repeats float64) *edgedispatch.Dispatcher {
	t.Helper()
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	pool := upstream.NewPool(netip.Addr{}, metrics.NewSet())
	return edgedispatch.New(t.Context(), edgedispatch.Options{Budget: retrybudget.Terms{Slack: repeats}}, list, pool, nobody{}, logger, metrics.NewSet())
}

// serve sends one request through a dispatcher and returns the status that the
// caller gets; 0 is a cut answer.
func serve(t *testing.T, list servers, r route.Route, repeats float64) (int, string) {
	t.Helper()
	return send(t, newDispatcher(t, list, repeats), r, wholePatience)
}

// send sends one request whose caller has so much time left.
func send(t *testing.T, d *edgedispatch.Dispatcher, r route.Route, timeLeft time.Duration) (int, string) {
	t.Helper()
	return sendPrompt(t, d, r, timeLeft, promptTokens)
}

func sendPrompt(t *testing.T, d *edgedispatch.Dispatcher, r route.Route, timeLeft time.Duration, tokens int) (int, string) {
	t.Helper()
	r.Service, r.Timeout, r.TargetLatency = "s", wholePatience, 300*time.Millisecond
	now := time.Now()
	o := &edgedispatch.Request{
		Metadata: platform.Request{ID: "r1", PromptTokens: tokens, MaxOutputTokens: 10, TimeLeft: timeLeft}, Route: &r,
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Request-Id": {"r1"}}, Arrived: now, Deadline: now.Add(timeLeft),
	}
	got := &sink{}
	err := d.Serve(t.Context(), o, got)
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

func unsigned(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "who am I") }

func TestPlain(t *testing.T) {
	safe, unsafe := route.Route{Kind: route.Safe, MaxServers: 2}, route.Route{Kind: route.Unsafe, MaxServers: 1}
	tests := []struct {
		name   string
		route  route.Route
		first  http.HandlerFunc
		want   int
		second int64 // requests at the second server
	}{
		{name: "answered", route: unsafe, first: ok, want: http.StatusOK},
		{name: "not run goes to another server", route: unsafe, first: full, want: http.StatusOK, second: 1},
		{name: "may have run is not repeated", route: unsafe, first: broken, want: http.StatusBadGateway},
		{name: "a server's failure is passed on", route: unsafe, first: failing, want: http.StatusInternalServerError},
		{name: "an answer without signature is none", route: unsafe, first: unsigned, want: http.StatusBadGateway},
		{name: "a safe call is repeated when its answer is lost", route: safe, first: broken, want: http.StatusOK, second: 1},
		{name: "a safe call is repeated after a failure", route: safe, first: failing, want: http.StatusOK, second: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var second atomic.Int64
			first := start(t, "first", serverlist.NoStage, tt.first)
			other := start(t, "second", serverlist.NoStage, func(w http.ResponseWriter, r *http.Request) {
				second.Add(1)
				ok(w, r)
			})
			other.FailureDomain = "elsewhere" // so that the first is preferred
			status, _ := serve(t, servers{first, other}, tt.route, 100)
			if status != tt.want || second.Load() != tt.second {
				t.Errorf("status %d, want %d; %d requests at the second server, want %d", status, tt.want, second.Load(), tt.second)
			}
		})
	}
}

// decoder grants reservations while room is set, and serves runs by f.
func decoder(t *testing.T, id string, room *atomic.Bool, f http.HandlerFunc) serverlist.Server {
	return start(t, id, serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "/hold-take") && room.Load():
			_, _ = io.WriteString(w, `{"hold":"h"}`)
		case strings.HasSuffix(r.URL.Path, "/hold-take"):
			full(w, r)
		case strings.HasPrefix(r.URL.Path, "/hickoryfront/"):
			w.WriteHeader(http.StatusNotFound)
		default:
			f(w, r)
		}
	})
}

func events(ids ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Server-Stamp", "stamp")
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
		second http.HandlerFunc // nil: no room there
		want   int
		body   string
		// hasNoRepeat is set where the retry budget is used up.
		hasNoRepeat bool
	}{
		{name: "whole", route: once, first: events("1", "2"), want: http.StatusOK, body: "id: 1\n\nid: 2\n\n"},
		{name: "breaks and may not be resumed", route: once, first: eventsThenBreak("1"), second: events("2"), body: "id: 1\n\n"},
		{name: "is resumed without repeats", route: resumable, first: eventsThenBreak("1", "2"), second: events("2", "3"), want: http.StatusOK, body: "id: 1\n\nid: 2\n\nid: 3\n\n"},
		{name: "a resumed run that leaves out an event is cut", route: resumable, first: eventsThenBreak("1"), second: events("3"), body: "id: 1\n\n"},
		{name: "a run is not called not run when room is lost after it", route: resumable, first: broken, want: http.StatusBadGateway},
		{name: "a stream that has begun is cut when no repeat is left", route: resumable, first: eventsThenBreak("1"), second: events("2"), hasNoRepeat: true, body: "id: 1\n\n"},
		{name: "no room is a refusal", route: once, want: http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var firstRoom, secondRoom atomic.Bool
			firstRoom.Store(tt.first != nil)
			secondRoom.Store(tt.second != nil)
			first := decoder(t, "first", &firstRoom, func(w http.ResponseWriter, r *http.Request) {
				firstRoom.Store(false)
				tt.first(w, r)
			})
			second := decoder(t, "second", &secondRoom, func(w http.ResponseWriter, r *http.Request) { tt.second(w, r) })
			second.FailureDomain = "elsewhere" // so that the first is preferred
			repeats := 100.0
			if tt.hasNoRepeat {
				repeats = 0
			}
			status, body := serve(t, servers{first, second}, tt.route, repeats)
			if status != tt.want || body != tt.body {
				t.Errorf("status %d, want %d; body %q, want %q", status, tt.want, body, tt.body)
			}
		})
	}
}

// TestLateRequestLeavesRoom sends a caller that comes back to a server whose
// memory is enough for one request, or for two. The first is left to those that
// can still be on time, as long as the caller waits.
func TestLateRequestLeavesRoom(t *testing.T) {
	tests := []struct {
		name     string
		memory   int
		timeLeft time.Duration
		prompt   int // tokens, where not the usual ones
		want     int
		// leavesFor is how long the request leaves the room, at least.
		leavesFor time.Duration
	}{
		{name: "a timely request takes the last room", memory: 150, timeLeft: wholePatience, want: http.StatusOK},
		{name: "so does that of a less patient caller", memory: 150, timeLeft: wholePatience * 86 / 100, want: http.StatusOK},
		{name: "a late one leaves it until its last search", memory: 150, timeLeft: wholePatience / 2, want: http.StatusOK, leavesFor: 550 * time.Millisecond},
		{name: "a late one takes what is to spare", memory: 300, timeLeft: wholePatience / 2, want: http.StatusOK},
		{name: "a large late one leaves room for a usual one", memory: 1200, timeLeft: wholePatience / 2, prompt: 1000, want: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var memory, held atomic.Int64
			memory.Store(1 << 20)
			server := start(t, "first", serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
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
			for i := range 20 { // callers of different patience
				left := wholePatience - time.Duration(i%10)*wholePatience/100
				if status, _ := send(t, d, once, left); status != http.StatusOK {
					t.Fatalf("status %d of a first request", status)
				}
			}
			memory.Store(int64(tt.memory))
			sent := time.Now()
			status, _ := sendPrompt(t, d, once, tt.timeLeft, max(tt.prompt, promptTokens))
			if status != tt.want {
				t.Errorf("status %d, want %d", status, tt.want)
			}
			if took := time.Since(sent); took < tt.leavesFor {
				t.Errorf("took room after %v, before %v", took, tt.leavesFor)
			}
			if most := int64(max(tt.prompt, promptTokens)) + promptTokens - 1; status == http.StatusOK && held.Load() > most {
				t.Errorf("%d tokens held, want at most %d", held.Load(), most)
			}
		})
	}
}

// TestReplacedServerGetsNoMoreWork sends two requests where another process has
// taken a server's address and still grants reservations to the old one: it costs
// one request a detour, not each one until the list says so, and no prompt is read
// twice.
func TestReplacedServerGetsNoMoreWork(t *testing.T) {
	var room atomic.Bool
	room.Store(true)
	var misdirected, prompts atomic.Int64
	replaced := decoder(t, "replaced", &room, func(w http.ResponseWriter, _ *http.Request) {
		misdirected.Add(1)
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	other := decoder(t, "other", &room, events("1"))
	other.FailureDomain = "elsewhere" // so that the first is preferred
	reader := start(t, "reader", serverlist.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/hickoryfront/") {
			return // a handle is given back
		}
		prompts.Add(1)
		_, _ = io.WriteString(w, `{"handle":"h","tokens":100,"version":1}`)
	})
	d := newDispatcher(t, servers{replaced, other, reader}, 100)
	once := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
	for range 3 {
		if status, _ := send(t, d, once, wholePatience); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
		time.Sleep(100 * time.Millisecond) // longer than a full server is passed over
	}
	if misdirected.Load() != 1 || prompts.Load() != 3 {
		t.Errorf("%d requests at the replaced server, %d prompts read; want 1 and 3", misdirected.Load(), prompts.Load())
	}
}
