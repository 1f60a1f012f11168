package edgedispatch_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
)

type (
	// changingServers is a list of backend servers that changes.
	changingServers struct {
		mu      sync.Mutex
		version uint64
		list    servers
	}

	// migrationSource is a decode server that drains while it streams events, and from
	// which the run is migrated.
	migrationSource struct {
		// transferTime and stopTime are how long the server takes to respond to the first
		// transfer of the running run, and to the one that stops the run.
		transferTime, stopTime time.Duration
		transfers              atomic.Int64
		releases               atomic.Int64 // of copies
		// allTransfersTime is how long each transfer of the running run takes besides.
		allTransfersTime time.Duration
		// events is the number of events after which the stream ends, if it is not stopped.
		events int
		// drainAt is the number of the event after which the server drains.
		drainAt int
		// losesAnswer is set if the response to the transfer that stops the run is lost.
		losesAnswer bool
		// created is the number of events that the server reports, or 0 for 1.
		created int
		// isUnframed is set if the stream ends with its connection.
		isUnframed bool
		onDrain    func()
		stopped    chan struct{}
		stopOnce   sync.Once
	}
)

func (c *changingServers) Servers() *registry.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &registry.Snapshot{Version: c.version, Servers: c.list}
}

func (c *changingServers) HostCount() int { return 1 }

func (c *changingServers) Hosts() []netip.AddrPort { return nil }

func (c *changingServers) IsStoreUnreachable() bool { return false }

func (c *changingServers) AreHostsSettled() bool { return true }

func (c *changingServers) set(list servers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.list = list
}

func (s *migrationSource) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasSuffix(r.URL.Path, "/hold-take"):
		_, _ = io.WriteString(w, `{"hold":"h"}`)
	case strings.HasSuffix(r.URL.Path, "/kv-move"):
		s.serveTransfer(w, r)
	case r.Method == http.MethodDelete && strings.HasSuffix(r.URL.Path, "/kv-handle/run"):
		s.releases.Add(1)
	case strings.HasPrefix(r.URL.Path, "/hickoryfront/"):
		w.WriteHeader(http.StatusNotFound)
	default:
		s.stream(w, r)
	}
}

func (s *migrationSource) serveTransfer(w http.ResponseWriter, r *http.Request) {
	var body struct{ Last bool }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch {
	case body.Last:
		s.stopOnce.Do(func() { close(s.stopped) })
		time.Sleep(s.stopTime)
		if s.losesAnswer {
			panic(http.ErrAbortHandler)
		}
	case s.transfers.Add(1) == 1:
		time.Sleep(s.transferTime + s.allTransfersTime)
	default:
		time.Sleep(s.allTransfersTime)
	}
	_, _ = fmt.Fprintf(w, `{"handle":"run","created":%d}`, max(s.created, 1))
}

// stream sends events until the run is stopped or ends.
func (s *migrationSource) stream(w http.ResponseWriter, r *http.Request) {
	send := func(id string) { sendEvents(w, id) }
	if s.isUnframed {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err) // only for a server that can't be hijacked
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\nServer-Stamp: stamp\r\n\r\n")
		send = func(id string) { _, _ = io.WriteString(conn, "id: "+id+"\n\n") }
	}
	for id := 1; id <= s.events; id++ {
		send(fmt.Sprint(id))
		if id == s.drainAt {
			s.onDrain()
		}
		select {
		case <-s.stopped:
			if s.isUnframed {
				return
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestMigrationOutlastsSilence guards against a stream that is truncated because the
// server that its run is migrated off pauses while it stops the run.
func TestMigrationOutlastsSilence(t *testing.T) {
	const pause = 1700 * time.Millisecond
	tests := []struct {
		name                   string
		transferTime, stopTime time.Duration
		allTransfersTime       time.Duration
		events                 int
		transfers              int64 // least number of transfers before the run is stopped
		isEnding               bool  // the run ends at its own server, before it is migrated
		isUnframed             bool  // the stream ends with its connection
	}{
		{name: "the server pauses when it has stopped the run", stopTime: pause, events: 1000},
		{name: "the server pauses during the first transfer", transferTime: pause, events: 1000},
		{name: "the run ends during the first transfer", transferTime: pause, events: 5, isEnding: true},
		{name: "all transfers are slow", allTransfersTime: 300 * time.Millisecond, events: 100, transfers: 2},
		{name: "the first transfer is slow", transferTime: 500 * time.Millisecond, events: 1000, transfers: 2},
		{name: "the stream ends with its connection", events: 1000, isUnframed: true},
		{name: "the stream ends with its connection, and the server pauses then", stopTime: pause, events: 1000, isUnframed: true},
		{name: "the run ends with its connection during the first transfer", transferTime: pause, events: 5, isEnding: true, isUnframed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var resumed atomic.Bool
			list := &changingServers{}
			source := &migrationSource{transferTime: tt.transferTime, stopTime: tt.stopTime, allTransfersTime: tt.allTransfersTime, events: tt.events, drainAt: 2, isUnframed: tt.isUnframed, stopped: make(chan struct{})}
			first := startServer(t, "first", serverlist.Decode, source.ServeHTTP)
			second := startServer(t, "second", serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
				last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				if err != nil || !strings.HasSuffix(r.Header.Get("Kv-Source"), "/run") {
					full(w, r)
					return
				}
				resumed.Store(true)
				sendEvents(w, fmt.Sprint(last+1), fmt.Sprint(last+2))
			})
			source.onDrain = func() {
				draining := first
				draining.IsDraining = true
				list.set(servers{draining, second})
			}
			list.set(servers{first})
			d := newDispatcher(t, list, 100)
			started := time.Now()
			status, body := send(t, d, route.Route{Kind: route.Streaming, IsGeneration: true, MaxServers: 1}, callerTimeout)
			if status != http.StatusOK || !isWhole(body) || resumed.Load() == tt.isEnding {
				t.Errorf("status %d, want 200; resumed %t, want %t; body ends with %q", status, resumed.Load(), !tt.isEnding, body[max(0, len(body)-30):])
			}
			if got := source.transfers.Load(); got < tt.transfers {
				t.Errorf("the run was stopped after %d transfers, want at least %d", got, tt.transfers)
			}
			if took := time.Since(started); tt.isEnding && took > pause/2 {
				t.Errorf("the response ended after %v, although the run had ended", took)
			}
		})
	}
}

// TestLostAnswerToLastTransfer guards against a stream that looks complete although its server has
// stopped the run, when only the end of the connection ends the stream and the answer that tells
// of the stop is lost.
func TestLostAnswerToLastTransfer(t *testing.T) {
	list := &changingServers{}
	source := &migrationSource{events: 1000, drainAt: 2, isUnframed: true, losesAnswer: true, stopped: make(chan struct{})}
	first := startServer(t, "first", serverlist.Decode, source.ServeHTTP)
	second := startServer(t, "second", serverlist.Decode, full)
	source.onDrain = func() {
		draining := first
		draining.IsDraining = true
		list.set(servers{draining, second})
	}
	list.set(servers{first})
	status, body := send(t, newDispatcher(t, list, 100), route.Route{Kind: route.Streaming, IsGeneration: true, MaxServers: 1}, callerTimeout)
	if status != 0 || !isWhole(body) {
		t.Errorf("status %d, body %q; want a truncated response", status, body)
	}
}

// TestMigratedRunEndsEarly guards against a stream that looks complete although the server at which
// its run was to go on ended it before the number of events that the run's own server has reported.
func TestMigratedRunEndsEarly(t *testing.T) {
	const created = 50
	for name, tt := range map[string]struct {
		last int // number of the last event
		want int // status, 0: truncated
	}{
		"before":  {last: created - 2},
		"there":   {last: created, want: http.StatusOK},
		"later":   {last: created + 5, want: http.StatusOK},
		"at once": {},
	} {
		t.Run(name, func(t *testing.T) {
			list := &changingServers{}
			source := &migrationSource{events: 1000, drainAt: 2, created: created, stopped: make(chan struct{})}
			first := startServer(t, "first", serverlist.Decode, source.ServeHTTP)
			second := startServer(t, "second", serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
				first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				beginEvents(w)
				for number := first + 1; number <= tt.last; number++ {
					sendEvents(w, strconv.Itoa(number))
				}
			})
			source.onDrain = func() {
				draining := first
				draining.IsDraining = true
				list.set(servers{draining, second})
			}
			list.set(servers{first})
			status, body := send(t, newDispatcher(t, list, 100), route.Route{Kind: route.Streaming, IsGeneration: true, MaxServers: 1}, callerTimeout)
			if status != tt.want || !isWhole(body) {
				t.Errorf("status %d, want %d; body %q", status, tt.want, body)
			}
		})
	}
}

// isWhole reports whether body has the events 1, 2, 3 and so on.
func isWhole(body string) bool {
	var want strings.Builder
	for id := 1; want.Len() < len(body); id++ {
		fmt.Fprintf(&want, "id: %d\n\n", id)
	}
	return body != "" && body == want.String()
}

// TestLastTransferIsRepeated guards against a run that stays on a leaving server because
// the server was unreachable for a moment when the run was to be stopped.
func TestLastTransferIsRepeated(t *testing.T) {
	t.Parallel()
	const absence = 500 * time.Millisecond
	var resumed atomic.Bool
	list := &changingServers{}
	source := &migrationSource{events: 100, drainAt: 2, stopped: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	var server *http.Server
	server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if strings.HasSuffix(r.URL.Path, "/kv-move") || strings.HasSuffix(r.URL.Path, "/hold-take") {
			w.Header().Set("Connection", "close")
		}
		if strings.HasSuffix(r.URL.Path, "/kv-move") && source.transfers.Load() == 0 {
			listener.Close()
			time.AfterFunc(absence, func() {
				if again, err := net.Listen("tcp", address); err == nil {
					go func() { _ = server.Serve(again) }() // ends when the test closes the server
				}
			})
		}
		source.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }() // ends when the listener is closed
	t.Cleanup(func() { _ = server.Close() })
	first := serverlist.Server{ID: "first", Service: "s", Stage: serverlist.Decode, Address: netip.MustParseAddrPort(address)}
	second := startServer(t, "second", serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		resumed.Store(true)
		sendEvents(w, fmt.Sprint(last+1))
	})
	source.onDrain = func() {
		draining := first
		draining.IsDraining = true
		list.set(servers{draining, second})
	}
	list.set(servers{first})
	status, body := send(t, newDispatcher(t, list, 100), route.Route{Kind: route.Streaming, IsGeneration: true, MaxServers: 1}, callerTimeout)
	if status != http.StatusOK || !isWhole(body) || !resumed.Load() {
		t.Errorf("status %d, want 200; resumed %t, want true; body ends with %q", status, resumed.Load(), body[max(0, len(body)-30):])
	}
}

// TestUnusedCopyIsFreed guards against the copy of a run that occupies memory at another
// server although the run isn't resumed there: a server that stays silent while it stops
// the run is replaced by a new run.
func TestUnusedCopyIsFreed(t *testing.T) {
	t.Parallel()
	list := &changingServers{}
	source := &migrationSource{stopTime: callerTimeout, events: 1000, drainAt: 2, stopped: make(chan struct{})}
	first := startServer(t, "first", serverlist.Decode, source.ServeHTTP)
	second := startServer(t, "second", serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "/hold-take"):
			_, _ = io.WriteString(w, `{"hold":"h"}`)
		case strings.HasPrefix(r.URL.Path, "/hickoryfront/"):
			w.WriteHeader(http.StatusNotFound)
		default:
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			sendEvents(w, fmt.Sprint(last+1))
		}
	})
	source.onDrain = func() {
		draining := first
		draining.IsDraining = true
		list.set(servers{draining, second})
	}
	list.set(servers{first})
	status, body := send(t, newDispatcher(t, list, 100), resumable, callerTimeout)
	if status != http.StatusOK || !isWhole(body) {
		t.Errorf("status %d, want 200; body ends with %q", status, body[max(0, len(body)-30):])
	}
	for deadline := time.Now().Add(callerTimeout); source.releases.Load() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the copy was not freed")
		}
	}
}

// TestMigratedRunIsNotRunAgain guards against a stream that runs a second time after its
// migrated run was turned away: the caller of a stream that must run once gets events of two
// runs, or is told that the request has not run.
func TestMigratedRunIsNotRunAgain(t *testing.T) {
	once := route.Route{Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
	misdirected := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	targets := []struct {
		name     string
		turnAway http.HandlerFunc // nil: the target can't be reached
	}{
		{"421", misdirected},
		{"503 not run", full},
		{"200 without a stamp", unstamped},
		{"silence", silent},
		{"connection refused", nil},
	}
	for _, target := range targets {
		for _, r := range []route.Route{once, resumable} {
			t.Run(fmt.Sprintf("%s, resumable %t", target.name, r.IsResumable), func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int64
				list := &changingServers{}
				source := &migrationSource{events: 1000, drainAt: 2, stopped: make(chan struct{})}
				first := startServer(t, "first", serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Kv-Source") != "" {
						full(w, r) // the run's KV cache has expired
						return
					}
					if !strings.HasPrefix(r.URL.Path, "/hickoryfront/") {
						runs.Add(1)
					}
					source.ServeHTTP(w, r)
				})
				second := startServer(t, "second", serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
					if target.turnAway != nil && !strings.HasPrefix(r.URL.Path, "/hickoryfront/") {
						target.turnAway(w, r)
					}
				})
				if target.turnAway == nil {
					second.Address = startVanishingServer(t)
				}
				third := startServer(t, "third", serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
					if strings.HasPrefix(r.URL.Path, "/hickoryfront/") {
						_, _ = io.WriteString(w, `{"hold":"h"}`)
						return
					}
					runs.Add(1)
					last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
					sendEvents(w, fmt.Sprint(last+1))
				})
				third.FailureDomain = "elsewhere" // the second server is preferred
				source.onDrain = func() {
					draining := first
					draining.IsDraining = true
					list.set(servers{draining, second, third})
				}
				list.set(servers{first})
				status, body := send(t, newDispatcher(t, list, 100), r, callerTimeout)
				if r.IsResumable {
					if status != http.StatusOK || !isWhole(body) || runs.Load() != 2 {
						t.Errorf("status %d, want 200; %d runs, want 2; body ends with %q", status, runs.Load(), body[max(0, len(body)-30):])
					}
					return
				}
				if status != 0 || runs.Load() != 1 || !isWhole(body) {
					t.Errorf("status %d, want a truncated response; %d runs, want 1; body ends with %q", status, runs.Load(), body[max(0, len(body)-30):])
				}
			})
		}
	}
}

// TestMigratedRunGoesOnAtItsOwnServer guards against a stream that is truncated because the
// server with the copy of its run turns the run away, and against a resumed run whose KV cache
// is looked for at another server than the run's own.
func TestMigratedRunGoesOnAtItsOwnServer(t *testing.T) {
	turnAway := []struct {
		name string
		how  http.HandlerFunc // nil: the server can't be reached
	}{
		{"421", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }},
		{"503 not run", full},
		{"connection refused", nil},
		{"silence", silent},
		{"204", raw("204 No Content", "\r\n")},
		{"500", failing},
		{"200 without a stamp", unstamped},
		{"200 with JSON", raw("200 OK", "Content-Type: application/json\r\n"+chunked("{}"))},
		{"resumed", func(w http.ResponseWriter, r *http.Request) { sendRest(w, r) }},
	}
	for _, target := range turnAway {
		for _, r := range []route.Route{{Kind: route.Streaming, IsGeneration: true, MaxServers: 1}, resumable} {
			t.Run(fmt.Sprintf("%s, resumable %t", target.name, r.IsResumable), func(t *testing.T) {
				t.Parallel()
				list := &changingServers{}
				run := &migrationSource{events: 1000, drainAt: 2, stopped: make(chan struct{})}
				var ownAddress atomic.Value
				resume := func(next http.HandlerFunc) http.HandlerFunc {
					return func(w http.ResponseWriter, r *http.Request) {
						if source := r.Header.Get("Kv-Source"); source != ownAddress.Load() {
							t.Errorf("resumed with the KV cache of %q, want %q", source, ownAddress.Load())
						}
						next(w, r)
					}
				}
				own := startServer(t, "own", serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Kv-Source") != "" {
						resume(sendRest)(w, r)
						return
					}
					run.ServeHTTP(w, r)
				})
				ownAddress.Store(own.Address.String() + "/run")
				second := startServer(t, "second", serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
					if !strings.HasPrefix(r.URL.Path, "/hickoryfront/") {
						resume(target.how)(w, r)
					}
				})
				if target.how == nil {
					second.Address = startVanishingServer(t)
				}
				run.onDrain = func() {
					draining := own
					draining.IsDraining = true
					list.set(servers{draining, second})
				}
				list.set(servers{own})
				status, body := send(t, newDispatcher(t, list, 100), r, callerTimeout)
				if status != http.StatusOK || !strings.HasSuffix(body, restEvent) {
					t.Errorf("status %d, want 200; body ends with %q, want the rest of the run", status, body[max(0, len(body)-30):])
				}
			})
		}
	}
}

// startVanishingServer returns the address of a server that responds once, and then refuses
// connections.
func startVanishingServer(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		listener.Close()
		w.Header().Set("Connection", "close")
	})}
	t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(listener) }() // returns when the listener is closed
	return netip.MustParseAddrPort(listener.Addr().String())
}

// restEvent ends the last event of a resumed run.
const restEvent = "data: rest\n\n"

// sendRest resumes a run with one more event.
func sendRest(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	beginEvents(w)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	fmt.Fprintf(w, "id: %d\n%s", last+1, restEvent)
}

// TestServerThatBeginsToLeaveGetsNoRequest guards against a request that is sent to a server
// long after the server has begun to leave, because its prompt was read meanwhile.
func TestServerThatBeginsToLeaveGetsNoRequest(t *testing.T) {
	t.Parallel()
	var hasCapacity atomic.Bool
	hasCapacity.Store(true)
	var late atomic.Int64
	list := &changingServers{}
	leaving := startDecodeServer(t, "leaving", &hasCapacity, func(w http.ResponseWriter, r *http.Request) {
		late.Add(1)
		events("1")(w, r)
	})
	other := startDecodeServer(t, "other", &hasCapacity, events("1"))
	other.FailureDomain = "elsewhere" // the leaving server is preferred
	var prefills atomic.Int64
	prefill := startServer(t, "prefill", serverlist.Prefill, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			return
		}
		prefills.Add(1)
		draining := leaving
		draining.IsDraining = true
		list.set(append(servers{draining}, list.Servers().Servers[1:]...))
		_, _ = io.WriteString(w, `{"handle":"h","tokens":100,"version":1}`)
	})
	list.set(servers{leaving, other, prefill})
	status, body := send(t, newDispatcher(t, list, 100), route.Route{Kind: route.Streaming, IsGeneration: true, MaxServers: 1}, callerTimeout)
	if status != http.StatusOK || body != "id: 1\n\n" || late.Load() != 0 || prefills.Load() != 1 {
		t.Errorf("status %d, want 200; %d requests at the leaving server, want none; %d prefills, want 1", status, late.Load(), prefills.Load())
	}
}
