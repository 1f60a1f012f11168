package prefix

import (
	"maps"
	"slices"
)

const (
	// sampleMask selects the blocks that the index keeps: one in eight, chosen
	// by the hash itself, so that feed and lookup agree without talking.
	sampleMask = 7
	// uncertainty is the share of a hit that is expected while events are missing.
	uncertainty = 0.8
	// maxHoles is the number of missing samples in a row that ends a prefix
	// when events may have been lost.
	maxHoles = 2
)

type (
	// Event says that a server stored or evicted a block.
	Event struct {
		Sequence uint64
		Block    uint64
		Evicted  bool
	}

	// Index holds what is known of the caches of the servers whose home is this
	// daemon. Memory is bounded: each server's oldest blocks make way. It is
	// not safe for concurrent use.
	Index struct {
		limit   int
		servers map[string]*cached
	}

	cached struct {
		blocks    *blockSet
		sequence  uint64
		uncertain bool
	}
)

// NewIndex returns an empty index that keeps at most limit sampled blocks of
// each server.
func NewIndex(limit int) *Index {
	return &Index{limit: max(1, limit), servers: map[string]*cached{}}
}

// Apply takes in events in order of their sequence. newest is the server's
// last sequence number of the reply: numbers that are missing up to it were
// lost, and make the server's entries uncertain until a snapshot.
func (x *Index) Apply(server string, events []Event, newest uint64) {
	c := x.server(server)
	for _, e := range events {
		if e.Sequence <= c.sequence {
			continue
		}
		if e.Sequence != c.sequence+1 {
			c.uncertain = true
		}
		c.sequence = e.Sequence
		c.apply(e)
	}
	if newest > c.sequence {
		c.uncertain = true
		c.sequence = newest
	}
}

// Restore replaces a server's entries by a snapshot as of sequence.
func (x *Index) Restore(server string, sequence uint64, blocks []uint64) {
	delete(x.servers, server)
	c := x.server(server)
	c.sequence = sequence
	for _, block := range blocks {
		c.apply(Event{Block: block})
	}
}

// Forget drops a server.
func (x *Index) Forget(server string) {
	delete(x.servers, server)
}

// Servers returns the ids of the servers that the index holds, in no order.
func (x *Index) Servers() []string {
	return slices.Collect(maps.Keys(x.servers))
}

// Sequence returns the last sequence number taken in from a server.
func (x *Index) Sequence(server string) uint64 {
	if c, ok := x.servers[server]; ok {
		return c.sequence
	}
	return 0
}

// NeedsSnapshot reports whether a server's entries need a snapshot.
func (x *Index) NeedsSnapshot(server string) bool {
	c, ok := x.servers[server]
	return ok && c.uncertain
}

// BlockCount returns the number of sampled blocks held for a server.
func (x *Index) BlockCount(server string) int {
	if c, ok := x.servers[server]; ok {
		return c.blocks.len()
	}
	return 0
}

// SampleHashes returns the hashes of a prompt that the index keeps, and the number of
// blocks that each of them ends.
func SampleHashes(hashes []uint64) (samples []uint64, blocks []int) {
	for i, h := range hashes {
		if h&sampleMask == 0 {
			samples = append(samples, h)
			blocks = append(blocks, i+1)
		}
	}
	return samples, blocks
}

// MatchedSamples returns the number of leading samples that a server is expected to hold.
func (x *Index) MatchedSamples(server string, samples []uint64) int {
	c, ok := x.servers[server]
	if !ok {
		return 0
	}
	deepest, holes := 0, 0
	for i, h := range samples {
		if c.blocks.contains(h) {
			deepest, holes = i+1, 0
			continue
		}
		holes++
		if !c.uncertain || holes > maxHoles {
			break
		}
	}
	if c.uncertain {
		return int(float64(deepest) * uncertainty)
	}
	return deepest
}

// MatchedBlocks returns the number of leading blocks that a server is expected to
// hold of a prompt with these hashes.
func (x *Index) MatchedBlocks(server string, hashes []uint64) int {
	samples, blocks := SampleHashes(hashes)
	hits := x.MatchedSamples(server, samples)
	if hits == 0 {
		return 0
	}
	return blocks[hits-1]
}

func (x *Index) server(id string) *cached {
	if c, ok := x.servers[id]; ok {
		return c
	}
	c := &cached{blocks: newBlockSet(x.limit)}
	x.servers[id] = c
	return c
}

func (c *cached) apply(e Event) {
	if e.Block&sampleMask != 0 {
		return
	}
	if e.Evicted {
		c.blocks.remove(e.Block)
		return
	}
	c.blocks.add(e.Block)
}
