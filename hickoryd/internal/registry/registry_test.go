package registry_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/platform"
)

// hangGuard ends a wait that would never end; it is no bound on speed.
const hangGuard = 20 * time.Second

// store is a store whose answers a test sets.
type store struct {
	mu sync.Mutex
	// revision of everything, and the oldest revision with history.
	revision, history uint64
	version           int
	servers           map[string]string // id to state
	isDeaf            bool              // watches hear nothing
	calls             int
	configuredAt      uint64 // revision of the configuration; 0: the newest
	isDown            bool
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
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
		write(w, map[string]any{"key": "op/config", "value": encode(map[string]any{"version": s.version}), "revision": cmp.Or(s.configuredAt, s.revision), "at": s.revision})
	case "kv-range":
		write(w, map[string]any{"items": s.items(r.URL.Query().Get("path-prefix")), "at": s.revision})
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
	if s.isDeaf || after >= s.revision || !isServers {
		if !isServers { // a watch of the configuration that hears nothing waits
			s.mu.Unlock()
			<-r.Context().Done()
			s.mu.Lock()
		}
		write(w, map[string]any{"events": []any{}, "at": s.revision})
		return
	}
	write(w, map[string]any{"events": s.items("servers/"), "at": s.revision})
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
		panic(err) // only for values that a test can't mean
	}
	return text
}

func write(w http.ResponseWriter, body any) {
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

// peers answers for other hosts.
type peers struct {
	mu    sync.Mutex
	known registry.StoreView
}

func (p *peers) Fetch(context.Context, uint64, uint64) (registry.StoreView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known, nil
}

func (p *peers) SetHosts([]netip.AddrPort) {}

func start(t *testing.T, s *store, p *peers) *registry.Registry {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	r := registry.New(registry.Options{Poll: 20 * time.Millisecond, Timeout: time.Second},
		platform.NewStore(http.DefaultClient, address), p, logger, metrics.NewSet())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.RunServers(ctx)
	go r.RunConfiguration(ctx)
	await(t, "the host is ready", r.IsReady)
	return r
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(hangGuard)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain until %s", what)
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

// Watches may hear nothing while changes are made whose history is then gone.
func TestChangesWithLostHistoryAreRead(t *testing.T) {
	s := &store{revision: 5, version: 1, servers: map[string]string{"a": "ready"}}
	r := start(t, s, &peers{})
	s.set(func() { s.isDeaf, s.version, s.revision, s.servers["a"] = true, 2, 7, "draining" })
	time.Sleep(100 * time.Millisecond) // some polls hear nothing
	s.set(func() { s.isDeaf, s.history = false, 7 })
	await(t, "the drain is known", func() bool { return isDraining(r, "a") })
	await(t, "the configuration is in force", func() bool { return r.Table().Version() == 2 })
}

// The configuration is older than the history that the store keeps.
func TestOldConfigurationIsNotReadOverAndOver(t *testing.T) {
	s := &store{revision: 90, history: 80, version: 1, servers: map[string]string{"a": "ready"}, configuredAt: 5}
	start(t, s, &peers{})
	var before int
	s.set(func() { before = s.calls })
	time.Sleep(400 * time.Millisecond)
	s.set(func() {
		if made := s.calls - before; made > 40 { // a poll each 20 ms, and a margin
			t.Errorf("%d calls in 400 ms", made)
		}
	})
}

// A host that the store turns away learns from other hosts.
func TestOtherHostsTellWhatTheStoreDoesNot(t *testing.T) {
	s := &store{revision: 5, version: 1, servers: map[string]string{"a": "ready"}}
	p := &peers{}
	r := start(t, s, p)
	p.mu.Lock()
	p.known = registry.StoreView{
		Document: []byte(`{"version":3}`), Revision: 9, HasServers: true,
		Servers: []serverlist.Server{{ID: "a", Service: "s", CreateRevision: 1, IsDraining: true}},
	}
	p.mu.Unlock()
	s.set(func() { s.isDown = true })
	await(t, "the drain is known", func() bool { return isDraining(r, "a") })
	await(t, "the configuration is in force", func() bool { return r.Table().Version() == 3 })
	s.set(func() { s.isDown, s.revision = false, 8 })
	await(t, "the store is regained", func() bool { return !r.IsStoreLost() })
	if r.Table().Version() != 3 || !isDraining(r, "a") {
		t.Error("an older view of the store undoes what other hosts told")
	}
}

// Registrations that lapse while the store is down prove nothing.
func TestOutageKeepsServers(t *testing.T) {
	s := &store{revision: 5, version: 1, servers: map[string]string{"a": "ready"}}
	r := start(t, s, &peers{})
	s.set(func() { s.isDown = true })
	await(t, "the store is lost", r.IsStoreLost)
	s.set(func() { s.isDown, s.revision, s.history, s.servers = false, 9, 9, map[string]string{} })
	await(t, "the store is regained", func() bool { return !r.IsStoreLost() })
	if !r.IsReady() {
		t.Error("servers are forgotten with the return of the store")
	}
}

// Servers and hosts are read side by side, and both lists may hold what can't be
// read: the race detector sees whether they share more than they may.
func TestUnreadableEntriesOfBothLists(t *testing.T) {
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
		s.set(func() { s.history, s.revision = s.revision+1, s.revision+2 }) // the list of servers is read anew
		time.Sleep(time.Millisecond)
	}
	group.Wait()
	if !r.IsReady() {
		t.Error("one readable server is not enough")
	}
}
