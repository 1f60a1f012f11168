package engine

import (
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	wire "github.com/hickoryfront/hickoryfront/hickoryd/engine"
)

const maxEvents = 4096

type (
	// blockCache holds the cached blocks of prompts and the events about them.
	blockCache struct {
		blocks   *lru.Cache[uint64, struct{}]
		events   []cacheEvent
		sequence uint64
		loss     float64
		random   *rand.Rand
	}

	cacheEvent struct {
		wire.CacheEvent
		at   time.Time
		lost bool
	}
)

func newBlockCache(size int, loss float64, random *rand.Rand) *blockCache {
	c := &blockCache{loss: loss, random: random}
	blocks, err := lru.NewWithEvict(max(1, size), func(block uint64, _ struct{}) { c.record(time.Now(), block, true) })
	if err != nil {
		panic(err) // the size is above zero
	}
	c.blocks = blocks
	return c
}

// hit returns the number of leading blocks that are cached.
func (c *blockCache) hit(hashes []uint64) int {
	for i, h := range hashes {
		if !c.blocks.Contains(h) {
			return i
		}
	}
	return len(hashes)
}

func (c *blockCache) store(now time.Time, hashes []uint64) {
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
		lost:       c.random.Float64() < c.loss,
	})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the events after a sequence number that are older than lag.
func (c *blockCache) after(now time.Time, sequence uint64, lag time.Duration) wire.CacheEventsReply {
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
