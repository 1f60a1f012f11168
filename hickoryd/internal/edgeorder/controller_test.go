package edgeorder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgeorder"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

// testTimeout ends a wait whose condition never becomes true. It is no bound on speed.
const testTimeout = 20 * time.Second

// self is the peer address of the host.
var self = netip.MustParseAddrPort("127.0.0.1:1")

// fakeRegistry lists model servers of which too many are prefill servers.
type fakeRegistry struct {
	servers []serverlist.Server
	// others are the hosts beside self.
	others []netip.AddrPort

	mu       sync.Mutex
	era      uint64
	eraBegan time.Time
}

func (r *fakeRegistry) Servers() *registry.Snapshot {
	return &registry.Snapshot{Version: 1, Servers: r.servers}
}

func (r *fakeRegistry) IsStoreUnreachable() bool { return false }

func (r *fakeRegistry) Hosts() []netip.AddrPort { return append(r.others, self) }

func (r *fakeRegistry) Era() (uint64, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era, r.eraBegan
}

func (r *fakeRegistry) setEra(era uint64, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era, r.eraBegan = era, began
}

// fakeStore makes each host the leader, at a position.
type fakeStore struct {
	position serverlist.Position
	// committed is closed at the first transaction.
	committed chan struct{}
	once      sync.Once
}

func (s *fakeStore) Get(context.Context, string) (platform.Page, error) {
	return platform.Page{}, platform.ErrNotFound
}

func (s *fakeStore) NewLease(context.Context, time.Duration) (uint64, time.Duration, error) {
	return 1, time.Minute, nil
}

func (s *fakeStore) Commit(context.Context, platform.Transaction) (serverlist.Position, error) {
	s.once.Do(func() { close(s.committed) })
	return s.position, nil
}

// orders collects the fencing tokens of the orders that a server gets.
type orders struct {
	mu     sync.Mutex
	tokens []uint64
}

func (o *orders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/report") {
		_, _ = w.Write([]byte(`{"stage":"prefill"}`))
		return
	}
	var order struct {
		Token uint64 `json:"fencing-token"`
	}
	_ = json.NewDecoder(r.Body).Decode(&order)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tokens = append(o.tokens, order.Token)
	w.WriteHeader(http.StatusAccepted)
}

func (o *orders) all() []uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]uint64(nil), o.tokens...)
}

// startController runs a controller on a host whose store and registry have the given eras.
func startController(t *testing.T, position serverlist.Position, era uint64, eraBegan time.Time) (*orders, *fakeStore) {
	t.Helper()
	return startControllerAmong(t, nil, position, era, eraBegan)
}

// startControllerAmong is startController with other hosts.
func startControllerAmong(t *testing.T, others []netip.AddrPort, position serverlist.Position, era uint64, eraBegan time.Time) (*orders, *fakeStore) {
	t.Helper()
	received := &orders{}
	server := httptest.NewServer(received)
	t.Cleanup(server.Close)
	r := &fakeRegistry{others: others, servers: []serverlist.Server{{ID: "i-1", Service: "m", Stage: serverlist.Prefill, Address: netip.MustParseAddrPort(server.Listener.Addr().String())}}}
	r.setEra(era, eraBegan)
	store := &fakeStore{position: position, committed: make(chan struct{})}
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	controller := edgeorder.New("host-1", self, 0.13, r, store, upstream.NewPool(netip.Addr{}, metrics.NewSet()), logger, metrics.NewSet())
	go controller.Run(t.Context())
	return received, store
}

func awaitOrder(t *testing.T, received *orders) uint64 {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		if tokens := received.all(); len(tokens) > 0 {
			return tokens[0]
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timed out waiting for an order")
	return 0
}

// In a large fleet only a few hosts may call the store when changes are due: each attempt to
// become the leader takes several calls.
func TestFewHostsTryToLead(t *testing.T) {
	t.Parallel()
	var others []netip.AddrPort
	for i := range 200 {
		others = append(others, netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)))
	}
	_, many := startControllerAmong(t, others, serverlist.Position{Era: 1, Revision: 5}, 1, time.Time{})
	_, alone := startController(t, serverlist.Position{Era: 1, Revision: 5}, 1, time.Time{})
	select {
	case <-alone.committed:
	case <-time.After(testTimeout):
		t.Fatal("a host without others has not tried to become the leader")
	}
	select {
	case <-many.committed:
		t.Error("a host that is no candidate has tried to become the leader at once")
	case <-time.After(2 * time.Second):
	}
}

// Revisions go back when the store is replaced by an older copy. Fencing tokens must not, or
// servers reject the orders of the new leader, or obey those of the one before.
func TestFencingTokensRiseAcrossEras(t *testing.T) {
	t.Parallel()
	before, _ := startController(t, serverlist.Position{Era: 1, Revision: 1 << 30}, 1, time.Time{})
	after, _ := startController(t, serverlist.Position{Era: 2, Revision: 5}, 2, time.Now().Add(-time.Hour))
	if first, second := awaitOrder(t, before), awaitOrder(t, after); second <= first || second >= 1<<53 {
		t.Errorf("token %d of the next era follows %d; want a higher one that a JSON number can hold", second, first)
	}
}

// A leader that the store has forgotten may still give orders, so that no other one may
// begin while the store's era is young, or not noticed yet.
func TestNoOrdersInYoungEra(t *testing.T) {
	t.Parallel()
	young, youngStore := startController(t, serverlist.Position{Era: 2, Revision: 5}, 2, time.Now())
	unnoticed, unnoticedStore := startController(t, serverlist.Position{Era: 2, Revision: 5}, 1, time.Time{})
	select {
	case <-unnoticedStore.committed:
	case <-time.After(testTimeout):
		t.Fatal("the host whose registry has not noticed the era has not tried to become the leader")
	}
	time.Sleep(time.Second) // an order would follow at once
	if tokens := unnoticed.all(); len(tokens) > 0 {
		t.Errorf("orders with the tokens %v in an era that was not noticed", tokens)
	}
	select {
	case <-youngStore.committed:
		t.Error("a host has become the leader in a young era")
	default:
	}
	if tokens := young.all(); len(tokens) > 0 {
		t.Errorf("orders with the tokens %v in a young era", tokens)
	}
}
