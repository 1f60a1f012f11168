package registry_test

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/idletimeout"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/platform"
)

// testTimeout ends a wait whose condition never becomes true. It is no bound on
// speed.
const testTimeout = 20 * time.Second

// storeTimeout is the setting of the hosts.
const storeTimeout = time.Second

var errNoPeer = errors.New("no such host")

// store is a fake platform store whose contents and failures a test sets.
type store struct {
	mu sync.Mutex
	// revision is that of all keys, history the oldest revision that is not
	// compacted.
	revision, history uint64
	version           int
	servers           map[string]string // state by ID
	isWatchEmpty      bool              // watches return no events
	isWatchLive       bool              // a watch of the configuration returns its changes
	calls             int
	configRevision    uint64 // revision of the configuration; 0: the newest
	isDown            bool
	documentTime      time.Duration // how long the configuration takes to arrive
	hosts             []any         // registrations of hosts
	// transfers is the number of configurations of which a part has been sent. With
	// isListStarved, calls that concern the servers are refused meanwhile.
	transfers     int
	isListStarved bool
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *store) currentVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.isDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch path.Base(r.URL.Path) {
	case "kv-key":
		s.writeDocument(w, r, s.configuration())
	case "kv-range":
		items := s.hosts
		if prefix := r.URL.Query().Get("path-prefix"); prefix != platform.HostsPrefix {
			items = s.items(prefix)
		}
		write(w, map[string]any{"items": items, "at": s.revision})
	case "kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var after uint64
	_ = json.Unmarshal([]byte(r.URL.Query().Get("after")), &after)
	if after < s.history {
		w.WriteHeader(http.StatusGone)
		return
	}
	isServers := r.URL.Query().Get("path-prefix") == "servers/"
	if isServers && s.isListStarved && s.transfers > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.isWatchEmpty || after >= s.revision || !isServers {
		if !isServers && s.awaitChange(r, after) { // a watch of the configuration without events waits
			s.writeDocument(w, r, map[string]any{"events": []any{s.configuration()}, "at": s.revision})
			return
		}
		write(w, map[string]any{"events": []any{}, "at": s.revision})
		return
	}
	write(w, map[string]any{"events": s.items("servers/"), "at": s.revision})
}

// awaitChange waits until a watch of the configuration has an event, and reports false if
// the caller disconnects before. The caller holds mu.
func (s *store) awaitChange(r *http.Request, after uint64) bool {
	for !s.isWatchLive || after >= s.revision {
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			s.mu.Lock()
			return false
		case <-time.After(5 * time.Millisecond):
			s.mu.Lock()
		}
	}
	return true
}

// writeDocument writes a response with the configuration, a part of it now and then so that
// it is complete after documentTime. The caller holds mu.
func (s *store) writeDocument(w http.ResponseWriter, r *http.Request, body any) {
	if s.documentTime == 0 {
		write(w, body)
		return
	}
	const parts = 20
	pause := s.documentTime / parts
	s.mu.Unlock()
	text := encode(body)
	for i := range parts {
		_, _ = w.Write(text[len(text)*i/parts : len(text)*(i+1)/parts]) // the caller may have disconnected
		_ = http.NewResponseController(w).Flush()
		if i == 0 {
			s.set(func() { s.transfers++ })
			defer func() { s.transfers-- }()
		}
		select {
		case <-r.Context().Done():
		case <-time.After(pause):
		}
	}
	s.mu.Lock()
}

// configuration returns the key of the configuration. The caller holds mu.
func (s *store) configuration() map[string]any {
	return map[string]any{"key": "op/config", "value": encode(map[string]any{"version": s.version}), "revision": cmp.Or(s.configRevision, s.revision), "at": s.revision}
}

func (s *store) items(prefix string) []any {
	items := []any{}
	for id, state := range s.servers {
		value := encode(map[string]any{"service": "s", "address": "127.0.0.1:1", "state": state})
		items = append(items, map[string]any{"key": prefix + id, "value": value, "revision": s.revision, "created": 1})
	}
	return items
}

func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // only for values that have no JSON
	}
	return text
}

func write(w http.ResponseWriter, body any) {
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}

// peers is a fake of the other hosts.
type peers struct {
	mu   sync.Mutex
	view registry.StoreView
	// document is the configuration of the other hosts, or nil.
	document []byte
}

func (p *peers) Fetch(context.Context, serverlist.Position) (registry.StoreView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view, nil
}

func (p *peers) FetchConfiguration(context.Context, uint64) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.document, nil
}

func (p *peers) SetHosts([]netip.AddrPort) {}

func (p *peers) FetchConfigurationFrom(context.Context, netip.AddrPort, uint64) ([]byte, error) {
	return nil, errNoPeer
}

func (p *peers) Follow(context.Context, netip.AddrPort, serverlist.Position, time.Duration, func(registry.Update) error) error {
	return errNoPeer
}

func start(t *testing.T, s *store, p *peers) *registry.Registry {
	t.Helper()
	return startPolling(t, s, p, 20*time.Millisecond)
}

// startPolling is start with a poll interval.
func startPolling(t *testing.T, s *store, p *peers, poll time.Duration) *registry.Registry {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	r := registry.New(registry.Options{Poll: poll, Timeout: storeTimeout},
		platform.NewStore(&http.Client{Transport: idletimeout.NewTransport(http.DefaultTransport, storeTimeout)}, address), p, logger, metrics.NewSet())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.RunServers(ctx)
	go r.RunConfiguration(ctx)
	await(t, "the host is ready", r.IsReady)
	return r
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func isDraining(r *registry.Registry, id string) bool {
	for _, s := range r.Servers().Servers {
		if s.ID == id {
			return s.IsDraining
		}
	}
	return false
}

// A watch may return no events while changes are made, and the store may compact
// the history of those changes before the next watch. If the watch went on from the
// store's current revision, the registry would never read them.
func TestCompactedChangesAreRead(t *testing.T) {
	s := &store{revision: 5, version: 1, servers: map[string]string{"a": "ready"}}
	r := start(t, s, &peers{})
	s.set(func() { s.isWatchEmpty, s.version, s.revision, s.servers["a"] = true, 2, 7, "draining" })
	time.Sleep(100 * time.Millisecond) // some polls return no events
	s.set(func() { s.isWatchEmpty, s.history = false, 7 })
	await(t, "the drain is known", func() bool { return isDraining(r, "a") })
	await(t, "the configuration is in force", func() bool { return r.Table().Version() == 2 })
}

// The configuration may be older than the history that the store keeps. If the
// watch started from the configuration's own revision, each watch would fail as
// compacted, and the registry would read the configuration again each time.
func TestOldConfigurationIsNotReadInALoop(t *testing.T) {
	s := &store{revision: 90, history: 80, version: 1, servers: map[string]string{"a": "ready"}, configRevision: 5}
	start(t, s, &peers{})
	var before int
	s.set(func() { before = s.calls })
	time.Sleep(400 * time.Millisecond)
	s.set(func() {
		if made := s.calls - before; made > 40 { // one poll each 20 ms, with a margin
			t.Errorf("%d calls in 400 ms, want at most 40", made)
		}
	})
}

// While the store fails this host's calls, the host takes the servers and the
// configuration from other hosts. A store that returns with an older revision must
// not replace them.
func TestUnreachableStoreIsReplacedByPeers(t *testing.T) {
	s := &store{revision: 5, version: 1, servers: map[string]string{"a": "ready"}}
	p := &peers{}
	r := start(t, s, p)
	p.mu.Lock()
	p.document = []byte(`{"version":3}`)
	p.view = registry.StoreView{
		Position: serverlist.Position{Revision: 9}, HasServers: true,
		Servers: []serverlist.Server{{ID: "a", Service: "s", CreateRevision: 1, IsDraining: true}},
	}
	p.mu.Unlock()
	s.set(func() { s.isDown = true })
	await(t, "the drain is known", func() bool { return isDraining(r, "a") })
	await(t, "the configuration is in force", func() bool { return r.Table().Version() == 3 })
	s.set(func() { s.isDown, s.revision = false, 8 })
	await(t, "the store is reachable again", func() bool { return !r.IsStoreUnreachable() })
	if r.Table().Version() != 3 || !isDraining(r, "a") {
		t.Error("an older revision of the store replaced the state from other hosts")
	}
}

func TestHostsFromPeers(t *testing.T) {
	s := &store{revision: 5, version: 1, servers: map[string]string{"a": "ready"}}
	p := &peers{}
	r := start(t, s, p)
	if got := r.Hosts(); got != nil {
		t.Errorf("hosts %v before any is known, want none", got)
	}
	want := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.1:1")}
	p.mu.Lock()
	p.view = registry.StoreView{Hosts: want}
	p.mu.Unlock()
	s.set(func() { s.isDown = true })
	await(t, "the hosts are known", func() bool { return slices.Equal(r.Hosts(), want) })
}

// Backend servers can't renew their registrations while the store is down, so the
// registrations expire although the servers run. Servers that are missing when the
// store is reachable again must be kept.
func TestOutageKeepsServers(t *testing.T) {
	s := &store{revision: 5, version: 1, servers: map[string]string{"a": "ready"}}
	r := start(t, s, &peers{})
	s.set(func() { s.isDown = true })
	await(t, "the store is unreachable", r.IsStoreUnreachable)
	s.set(func() { s.isDown, s.revision, s.history, s.servers = false, 9, 9, map[string]string{} })
	await(t, "the store is reachable again", func() bool { return !r.IsStoreUnreachable() })
	if !r.IsReady() {
		t.Error("the servers were removed when the store became reachable again")
	}
}

// TestMissingServerExpiresInTime guards against work for a server that left around an outage of the
// store: it stayed in the list until the next read after the time in which it could have come back.
func TestMissingServerExpiresInTime(t *testing.T) {
	const slack = 300 * time.Millisecond
	s := &store{revision: 5, version: 1, servers: map[string]string{"a": "ready", "b": "ready"}}
	r := startPolling(t, s, &peers{}, 2*time.Second)
	s.set(func() { s.isDown = true })
	await(t, "the store is unreachable", r.IsStoreUnreachable)
	s.set(func() { s.isDown, s.revision, s.history, s.servers = false, 9, 9, map[string]string{"b": "ready"} })
	await(t, "the store is reachable again", func() bool { return !r.IsStoreUnreachable() })
	reachableAt := time.Now()
	await(t, "the missing server is removed", func() bool { return len(r.Servers().Servers) == 1 })
	if took := time.Since(reachableAt); took < serverlist.ReregistrationPeriod-slack || took > serverlist.ReregistrationPeriod+slack {
		t.Errorf("removed after %v, want %v", took, serverlist.ReregistrationPeriod)
	}
}

// Servers and hosts are read concurrently, and both lists may have invalid entries.
// The race detector finds unguarded access to the keys that both loops log.
func TestInvalidEntriesOfBothLists(t *testing.T) {
	s := &store{revision: 5, version: 1, servers: map[string]string{"a": "ready"}}
	for i := range 300 {
		s.servers[fmt.Sprint("odd-", i)] = "odd"
	}
	r := start(t, s, &peers{})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { r.RunHosts(ctx) })
	for ctx.Err() == nil {
		s.set(func() { s.history, s.revision = s.revision+1, s.revision+2 }) // the server list is read again
		time.Sleep(time.Millisecond)
	}
	group.Wait()
	if !r.IsReady() {
		t.Error("not ready with one valid server")
	}
}

// A configuration may take longer to arrive than the store may take to respond. If the time
// limit held for the whole response, a host with a slow link would never have it in force.
func TestLargeConfigurationOverSlowLink(t *testing.T) {
	tests := []struct {
		name    string
		isFirst bool // the slow configuration is the first one
		change  func(s *store)
	}{
		{name: "at the start", isFirst: true, change: func(*store) {}},
		{name: "change after a compaction", change: func(s *store) { s.version, s.revision, s.history = 2, 7, 7 }},
		{name: "change during a watch", change: func(s *store) { s.version, s.revision, s.isWatchLive = 2, 7, true }},
		{name: "the server list fails meanwhile", change: func(s *store) { s.version, s.revision, s.isWatchLive, s.isListStarved = 2, 7, true, true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := &store{revision: 5, version: 1, servers: map[string]string{"a": "ready"}}
			if tt.isFirst {
				s.documentTime = 2 * storeTimeout
			}
			r := start(t, s, &peers{})
			s.set(func() {
				s.documentTime = 2 * storeTimeout
				tt.change(s)
			})
			await(t, "the configuration is in force", func() bool { return int(r.Table().Version()) == s.currentVersion() })
		})
	}
}
