package home_test

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/prefix"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/home"
)

var cachingServer = backend.Server{ID: "prefill-1", Role: backend.RolePrefill, Model: "m", State: backend.StateLive}

// fakeCachingCluster fakes one prefill server with a prefix cache. One of its cache events
// can be lost.
type fakeCachingCluster struct {
	fakeCluster
	cacheMu   sync.Mutex
	blocks    []uint64
	lost      int // sequence number of the event that does not arrive; 0: none
	snapshots int
}

func (l *fakeCachingCluster) Version() uint64           { return 1 }
func (l *fakeCachingCluster) Servers() []backend.Server { return []backend.Server{cachingServer} }

func (l *fakeCachingCluster) Load(context.Context, backend.Server) (backend.Load, error) {
	return backend.Load{ServerID: cachingServer.ID, ObservedAt: time.Now()}, nil
}

func (l *fakeCachingCluster) CacheEvents(_ context.Context, _ netip.AddrPort, after uint64) (engine.CacheEventsReply, error) {
	l.cacheMu.Lock()
	defer l.cacheMu.Unlock()
	reply := engine.CacheEventsReply{Newest: uint64(len(l.blocks))}
	for i, block := range l.blocks {
		if sequence := uint64(i + 1); sequence > after && i+1 != l.lost {
			reply.Events = append(reply.Events, engine.CacheEvent{Sequence: sequence, Block: block})
		}
	}
	return reply, nil
}

func (l *fakeCachingCluster) CacheSnapshot(context.Context, netip.AddrPort) (engine.CacheSnapshotReply, error) {
	l.cacheMu.Lock()
	defer l.cacheMu.Unlock()
	l.snapshots++
	return engine.CacheSnapshotReply{Sequence: uint64(len(l.blocks)), Blocks: l.blocks}, nil
}

// TestPrefixesFollowCacheEvents checks that a home indexes the prefix caches of its
// servers from their events, and reads a snapshot when an event was lost.
func TestPrefixesFollowCacheEvents(t *testing.T) {
	hashes := prefix.Hashes(strings.Repeat("an order history that goes on; ", 300))
	tests := map[string]struct {
		lost          int
		wantSnapshots int
	}{
		"all events arrive":    {0, 0},
		"one event is lost":    {7, 1},
		"the last one is lost": {len(hashes), 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &fakeCachingCluster{blocks: hashes, lost: test.lost}
				set := metrics.NewSet()
				slots := home.NewSlots(l, l, l, &log.Logger{Handler: discard.New()}, set)
				view := loneView{}
				slots.SetMembership(view)
				prefixes := home.NewPrefixes(slots, view, nil, l, set)
				ctx, stop := context.WithCancel(t.Context())
				var group sync.WaitGroup
				group.Go(func() { slots.Run(ctx) })
				time.Sleep(100 * time.Millisecond)
				group.Go(func() { prefixes.Run(ctx) })
				time.Sleep(time.Second)
				cached := prefixes.CachedTokens(t.Context(), time.Now(), "m", l.Servers(), hashes)
				if got, total := cached[cachingServer.ID], len(hashes)*prefix.BlockTokens; got > total || got < total*8/10 {
					t.Errorf("%d of %d tokens predicted in the cache, want 80 %% to 100 %%", got, total)
				}
				if got := prefixes.CachedTokens(t.Context(), time.Now(), "other", l.Servers(), hashes); len(got) != 0 {
					t.Errorf("hits %v for another model", got)
				}
				if l.snapshots != test.wantSnapshots {
					t.Errorf("%d snapshots, want %d", l.snapshots, test.wantSnapshots)
				}
				stop()
				group.Wait()
			})
		})
	}
}
