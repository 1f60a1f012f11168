package home

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/prefix"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	eventInterval    = 250 * time.Millisecond
	eventTimeout     = time.Second
	snapshotInterval = 2 * time.Second // minimum time between snapshots of one server
	// lookupTimeout limits the wait for the lookups at other homes. A lookup
	// without a response can cost a cache hit, but never the request.
	lookupTimeout = 10 * time.Millisecond
	// maxSampledBlocks limits the blocks that the index holds for one server.
	maxSampledBlocks = 40_000
	// minSamples is the number of sampled blocks of a prompt below which a lookup
	// costs more than a cache hit saves.
	minSamples = 2
)

type (
	// CacheReader reads the events and snapshots of the engines' prefix caches.
	CacheReader interface {
		CacheEvents(ctx context.Context, address netip.AddrPort, after uint64) (engine.CacheEventsReply, error)
		CacheSnapshot(ctx context.Context, address netip.AddrPort) (engine.CacheSnapshotReply, error)
	}

	// Prefixes indexes the prefix caches of the servers whose home is this daemon,
	// and looks up prompts at the other homes. It is safe for concurrent use.
	Prefixes struct {
		slots   *Slots
		peers   Peers
		pool    *peer.Pool
		engines CacheReader
		gaps    *metrics.Counter
		missed  *metrics.Counter

		mu         sync.Mutex
		index      *prefix.Index
		snapshotAt map[string]time.Time
	}

	// cacheFeed reads the cache events of one server.
	cacheFeed struct {
		prefixes *Prefixes
		server   backend.Server
	}

	// prefixQuery looks up a prompt at one home.
	prefixQuery struct {
		prefixes *Prefixes
		home     string
		samples  []uint64
		mu       *sync.Mutex
		hits     map[string]int
	}
)

// NewPrefixes returns an empty index.
func NewPrefixes(slots *Slots, peers Peers, pool *peer.Pool, engines CacheReader, set *metrics.Set) *Prefixes {
	return &Prefixes{
		slots: slots, peers: peers, pool: pool, engines: engines,
		gaps:       set.NewCounter(`hickoryfront_cache_event_gaps_total`),
		missed:     set.NewCounter(`hickoryfront_prefix_lookups_total{result="missed"}`),
		index:      prefix.NewIndex(maxSampledBlocks),
		snapshotAt: map[string]time.Time{},
	}
}

// Run reads cache events until ctx ends.
func (p *Prefixes) Run(ctx context.Context) {
	ticker := time.NewTicker(eventInterval)
	defer ticker.Stop()
	for {
		p.readEvents(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// LocalHits returns the number of leading samples that each server of this home
// probably has cached. One sample covers several blocks. Servers without any are left
// out.
func (p *Prefixes) LocalHits(model string, samples []uint64) map[string]int {
	hits := map[string]int{}
	servers := p.slots.tracked()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range servers {
		if server.Model != model {
			continue
		}
		if n := p.index.MatchedSamples(server.ID, samples); n > 0 {
			hits[server.ID] = n
		}
	}
	return hits
}

// CachedTokens returns the number of a prompt's tokens that each of the servers
// probably has cached. It queries each home once and waits at most lookupTimeout.
func (p *Prefixes) CachedTokens(ctx context.Context, now time.Time, model string, servers []backend.Server, hashes []uint64) map[string]int {
	samples, blocks := prefix.SampleHashes(hashes)
	if len(samples) < minSamples {
		return nil
	}
	hits := p.lookup(ctx, now, model, servers, samples)
	for id, n := range hits {
		hits[id] = blocks[min(n, len(blocks))-1] * prefix.BlockTokens
	}
	return hits
}

func (p *Prefixes) lookup(ctx context.Context, now time.Time, model string, servers []backend.Server, samples []uint64) map[string]int {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	homes := p.peers.HomeHosts(now)
	self := p.peers.Self().Name
	hits := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	queriedHomes := map[string]bool{}
	for _, server := range servers {
		home := homes.Home(server.ID)
		if queriedHomes[home] {
			continue
		}
		queriedHomes[home] = true
		if home == self {
			merge(&mu, hits, p.LocalHits(model, samples))
			continue
		}
		query := prefixQuery{prefixes: p, home: home, samples: samples, mu: &mu, hits: hits}
		group.Go(func() { query.run(ctx, model) })
	}
	group.Wait()
	return hits
}

func (q prefixQuery) run(ctx context.Context, model string) {
	client, err := clientOf(q.prefixes.peers, q.prefixes.pool, q.home)
	if err != nil {
		q.prefixes.missed.Inc()
		return
	}
	response, err := client.LookupPrefix(ctx, &peerapi.LookupPrefixRequest{Model: model, BlockHashes: q.samples})
	if err != nil {
		q.prefixes.missed.Inc()
		return
	}
	found := map[string]int{}
	for _, holder := range response.GetHolders() {
		if n := int(holder.GetBlocks()); n > 0 {
			found[holder.GetServerId()] = n
		}
	}
	merge(q.mu, q.hits, found)
}

func merge(mu *sync.Mutex, into, from map[string]int) {
	mu.Lock()
	defer mu.Unlock()
	for id, n := range from {
		into[id] = n
	}
}

func (p *Prefixes) readEvents(ctx context.Context) {
	var group sync.WaitGroup
	listed := map[string]bool{}
	for _, server := range p.slots.tracked() {
		if server.Role != backend.RolePrefill {
			continue
		}
		listed[server.ID] = true
		feed := cacheFeed{prefixes: p, server: server}
		group.Go(func() { feed.run(ctx) })
	}
	group.Wait()
	p.removeUnlisted(listed)
}

// removeUnlisted removes the servers that this daemon is not the home of any more
// from the index.
func (p *Prefixes) removeUnlisted(listed map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.index.Servers() {
		if !listed[id] {
			p.index.Forget(id)
			delete(p.snapshotAt, id)
		}
	}
}

func (f cacheFeed) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	p := f.prefixes
	p.mu.Lock()
	after := p.index.Sequence(f.server.ID)
	p.mu.Unlock()
	reply, err := p.engines.CacheEvents(ctx, f.server.Address, after)
	if err != nil {
		return
	}
	if p.apply(time.Now(), f.server.ID, reply) {
		f.restore(ctx)
	}
}

// apply adds events to the index and reports whether a snapshot is due.
func (p *Prefixes) apply(now time.Time, serverID string, reply engine.CacheEventsReply) bool {
	events := make([]prefix.Event, 0, len(reply.Events))
	for _, e := range reply.Events {
		events = append(events, prefix.Event{Sequence: e.Sequence, Block: e.Block, Evicted: e.Evicted})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index.Apply(serverID, events, reply.Newest)
	if !p.index.NeedsSnapshot(serverID) || now.Sub(p.snapshotAt[serverID]) < snapshotInterval {
		return false
	}
	p.gaps.Inc()
	p.snapshotAt[serverID] = now
	return true
}

func (f cacheFeed) restore(ctx context.Context) {
	reply, err := f.prefixes.engines.CacheSnapshot(ctx, f.server.Address)
	if err != nil {
		return
	}
	f.prefixes.mu.Lock()
	defer f.prefixes.mu.Unlock()
	f.prefixes.index.Restore(f.server.ID, reply.Sequence, reply.Blocks)
}
