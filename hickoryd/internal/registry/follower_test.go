package registry_test

import (
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
	"github.com/hickoryfront/hickoryfront/core/storereader"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/idletimeout"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	followPoll    = 800 * time.Millisecond
	followTimeout = 300 * time.Millisecond
	// drainTimeout is what edge.Settings.StorePoll makes followPoll of.
	drainTimeout = followPoll*100/85 + 2*followTimeout
	followHosts  = 8
)

type (
	// fleet is a failure domain whose followers and readers are in one process.
	fleet struct {
		store *store
		all   []storereader.Host

		mu         sync.Mutex
		registries map[netip.AddrPort]*registry.Registry
		// calls are the reads of servers and configuration by each host, and cut makes the
		// store refuse all its calls.
		calls  map[netip.AddrPort]int
		cut    map[netip.AddrPort]bool
		silent map[netip.AddrPort]bool
		ended  map[netip.AddrPort]context.CancelFunc
	}

	// fleetPeers are the other hosts as one host calls them.
	fleetPeers struct {
		peers
		fleet *fleet
	}
)

func (p *fleetPeers) FetchConfigurationFrom(_ context.Context, address netip.AddrPort, version uint64) ([]byte, error) {
	p.fleet.mu.Lock()
	r := p.fleet.registries[address]
	p.fleet.mu.Unlock()
	if newest, document := r.Configuration(); newest > version {
		return document, nil
	}
	return nil, nil
}

func (p *fleetPeers) Follow(ctx context.Context, address netip.AddrPort, position serverlist.Position, period time.Duration, receive func(registry.Update) error) error {
	p.fleet.mu.Lock()
	r, ok := p.fleet.registries[address]
	p.fleet.mu.Unlock()
	if !ok {
		return errNoPeer
	}
	return r.Follow(ctx, position, period, func(update registry.Update) error {
		if p.fleet.isSilent(address) {
			<-ctx.Done()
			return ctx.Err()
		}
		return receive(update)
	})
}

func (f *fleet) isSilent(address netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[address]
}

// handler is the store as one host sees it.
func (f *fleet) handler(host netip.AddrPort) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		if name := path.Base(r.URL.Path); name == "kv-watch" || name == "kv-key" {
			f.calls[host]++
		}
		isCut := f.cut[host]
		f.mu.Unlock()
		if isCut {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.store.ServeHTTP(w, r)
	})
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		store:      &store{revision: 5, version: 1, servers: map[string]string{"a": "ready"}, isWatchLive: true},
		registries: make(map[netip.AddrPort]*registry.Registry), calls: make(map[netip.AddrPort]int), cut: make(map[netip.AddrPort]bool), silent: make(map[netip.AddrPort]bool), ended: make(map[netip.AddrPort]context.CancelFunc),
	}
	for i := range followHosts {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))
		f.all = append(f.all, storereader.Host{Address: address, FailureDomain: "z"})
		value, err := json.Marshal(platform.Host{Name: address.String(), Peer: address, FailureDomain: "z"})
		if err != nil {
			t.Fatal(err)
		}
		f.store.hosts = append(f.store.hosts, map[string]any{"key": platform.HostsPrefix + address.String(), "value": value, "revision": 1, "created": 1})
	}
	return f
}

// start starts a host.
func (f *fleet) start(t *testing.T, host storereader.Host) *registry.Registry {
	t.Helper()
	server := httptest.NewServer(f.handler(host.Address))
	t.Cleanup(server.Close)
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	r := registry.New(registry.Options{
		Self: platform.Host{Name: host.Address.String(), Peer: host.Address, FailureDomain: host.FailureDomain}, Poll: followPoll, Timeout: followTimeout,
	}, platform.NewStore(&http.Client{Transport: idletimeout.NewTransport(&http.Transport{}, followTimeout)}, netip.MustParseAddrPort(server.Listener.Addr().String())),
		&fleetPeers{fleet: f}, logger, metrics.NewSet())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f.mu.Lock()
	f.registries[host.Address], f.ended[host.Address] = r, cancel
	f.mu.Unlock()
	go r.RunServers(ctx)
	go r.RunConfiguration(ctx)
	go r.RunHosts(ctx)
	return r
}

// TestFollowerKeepsToTheBounds starts a host that follows readers of the store, and lets the
// reader that it follows fail in different ways just before a server drains and the
// configuration changes. Both must be known within the drain timeout all the same.
func TestFollowerKeepsToTheBounds(t *testing.T) {
	tests := []struct {
		name string
		fail func(f *fleet, reader netip.AddrPort)
	}{
		{name: "the reader is sound", fail: func(*fleet, netip.AddrPort) {}},
		{name: "the reader is silent", fail: func(f *fleet, reader netip.AddrPort) { f.silent[reader] = true }},
		{name: "the store turns the reader away", fail: func(f *fleet, reader netip.AddrPort) { f.cut[reader] = true }},
		{name: "the reader stops reading", fail: func(f *fleet, reader netip.AddrPort) { f.ended[reader]() }},
		{name: "all readers are silent", fail: func(f *fleet, _ netip.AddrPort) {
			for address := range f.registries {
				f.silent[address] = true
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			var follower *registry.Registry
			var self storereader.Host
			var readers []netip.AddrPort
			for _, h := range f.all {
				if readers = storereader.RoleOf(h, f.all).Follows; len(readers) > 0 {
					self = h
					break
				}
			}
			for _, reader := range readers {
				f.start(t, storereader.Host{Address: reader, FailureDomain: "z"})
			}
			follower = f.start(t, self)
			await(t, "the host follows a reader", func() bool { _, _, isFollowing := follower.FollowedRefusals(); return isFollowing })
			time.Sleep(2 * followPoll) // a call of the store that was in progress has ended
			f.mu.Lock()
			before := f.calls[self.Address]
			f.mu.Unlock()
			time.Sleep(2 * followPoll)
			f.mu.Lock()
			made := f.calls[self.Address] - before
			tt.fail(f, readers[0])
			f.mu.Unlock()
			if made > 0 {
				t.Errorf("%d reads of the store in %v while following, want none", made, 2*followPoll)
			}
			changedAt := time.Now()
			f.store.set(func() { f.store.version, f.store.revision, f.store.servers["a"] = 2, 7, "draining" })
			await(t, "the drain is known", func() bool { return isDraining(follower, "a") })
			drainedAfter := time.Since(changedAt)
			await(t, "the configuration is in force", func() bool { return follower.Table().Version() == 2 })
			t.Logf("drain known after %v, configuration after %v, bound %v", drainedAfter, time.Since(changedAt), drainTimeout)
			if drainedAfter > drainTimeout || time.Since(changedAt) > drainTimeout+followTimeout {
				t.Errorf("drain known after %v, configuration after %v; want %v and %v", drainedAfter, time.Since(changedAt), drainTimeout, drainTimeout+followTimeout)
			}
		})
	}
}

// TestFollowerIsNotFollowed guards against hosts that follow each other and take what neither of
// them reads for new.
func TestFollowerIsNotFollowed(t *testing.T) {
	f := newFleet(t)
	for _, h := range f.all {
		f.start(t, h)
	}
	await(t, "five hosts follow", func() bool {
		following := 0
		for _, r := range f.registries {
			if _, _, isFollowing := r.FollowedRefusals(); isFollowing {
				following++
			}
		}
		return following == followHosts-storereader.Readers
	})
	for address, r := range f.registries {
		_, _, isFollowing := r.FollowedRefusals()
		ctx, cancel := context.WithTimeout(t.Context(), followPoll)
		isFollowed := false
		_ = r.Follow(ctx, serverlist.Position{}, followPoll, func(registry.Update) error { // ends with ctx
			isFollowed = true
			return nil
		})
		cancel()
		if isFollowed == isFollowing {
			t.Errorf("host %v follows %t and is followed %t", address, isFollowing, isFollowed)
		}
	}
}
