package engine

import (
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	wire "github.com/hickoryfront/hickoryfront/hickoryd/engine"
)

// maxCacheEvents is the number of cache events that are kept. Older events are
// dropped.
const maxCacheEvents = 4096

type (
	// blockCache is an LRU cache of prompt blocks with a log of its changes. An
	// event is lost with probability lossRate, which means that it is never
	// reported.
	blockCache struct {
		blocks   *lru.Cache[uint64, struct{}]
		events   []cacheEvent
		sequence uint64
		lossRate float64
		random   *rand.Rand
	}

	cacheEvent struct {
		wire.CacheEvent
		at   time.Time
		lost bool
	}
)

func newBlockCache(size int, lossRate float64, random *rand.Rand) *blockCache {
	c := &blockCache{lossRate: lossRate, random: random}
	blocks, err := lru.NewWithEvict(max(1, size), func(block uint64, _ struct{}) { c.record(time.Now(), block, true) })
	if err != nil {
		panic(err) // can't happen: the size is above zero
	}
	c.blocks = blocks
	return c
}

// matchedBlocks returns the number of leading blocks that are cached.
func (c *blockCache) matchedBlocks(hashes []uint64) int {
	for i, h := range hashes {
		if !c.blocks.Contains(h) {
			return i
		}
	}
	return len(hashes)
}

func (c *blockCache) add(now time.Time, hashes []uint64) {
	for _, h := range hashes {
		if _, ok := c.blocks.Get(h); ok {
			continue
		}
		c.blocks.Add(h, struct{}{})
		c.record(now, h, false)
	}
}

func (c *blockCache) record(now time.Time, block uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, cacheEvent{
		CacheEvent: wire.CacheEvent{Sequence: c.sequence, Block: block, Evicted: evicted},
		at:         now,
		lost:       c.random.Float64() < c.lossRate,
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after a sequence number that are at least lag old
// and not lost.
func (c *blockCache) eventsAfter(now time.Time, sequence uint64, lag time.Duration) wire.CacheEventsReply {
	reply := wire.CacheEventsReply{Events: []wire.CacheEvent{}}
	for _, e := range c.events {
		if now.Sub(e.at) < lag {
			break
		}
		reply.Newest = e.Sequence
		if e.Sequence > sequence && !e.lost {
			reply.Events = append(reply.Events, e.CacheEvent)
		}
	}
	return reply
}
