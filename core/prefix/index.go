package prefix

import (
	"maps"
	"slices"
)

const (
	// sampleMask selects the blocks that the index holds: one in eight, chosen by
	// the hash itself, so that cache events and lookups select the same blocks
	// without coordination.
	sampleMask = 7
	// uncertainShare is the share of the matched samples that a server is expected
	// to hold while cache events are missing.
	uncertainShare = 0.8
	// maxMissing is the number of consecutive missing samples that a match may
	// span while cache events are missing.
	maxMissing = 2
)

type (
	// Event reports that a server stored or evicted a block.
	Event struct {
		Sequence uint64
		Block    uint64
		Evicted  bool
	}

	// Index holds the known cache contents of the servers whose home is this
	// daemon. Its memory is bounded by evicting each server's oldest blocks. It
	// is not safe for concurrent use.
	Index struct {
		limit   int
		servers map[string]*serverCache
	}

	// serverCache is the known cache content of one server.
	serverCache struct {
		blocks    *blockSet
		sequence  uint64 // of the last event applied
		uncertain bool   // events are missing
	}
)

// NewIndex returns an empty index that holds at most limit sampled blocks of
// each server.
func NewIndex(limit int) *Index {
	return &Index{limit: max(1, limit), servers: map[string]*serverCache{}}
}

// Apply applies events in order of their sequence. newest is the server's last
// sequence number when it sent the events. Numbers missing up to newest are lost
// events, which make the server's entries uncertain until a snapshot.
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

// Restore replaces a server's entries with a snapshot as of sequence.
func (x *Index) Restore(server string, sequence uint64, blocks []uint64) {
	delete(x.servers, server)
	c := x.server(server)
	c.sequence = sequence
	for _, block := range blocks {
		c.apply(Event{Block: block})
	}
}

// Forget removes a server and its entries.
func (x *Index) Forget(server string) {
	delete(x.servers, server)
}

// Servers returns the IDs of the servers in the index, in no particular order.
func (x *Index) Servers() []string {
	return slices.Collect(maps.Keys(x.servers))
}

// Sequence returns the sequence number of the last event applied of a server.
func (x *Index) Sequence(server string) uint64 {
	if c, ok := x.servers[server]; ok {
		return c.sequence
	}
	return 0
}

// NeedsSnapshot reports whether events of a server are missing, so that its
// entries are uncertain until a snapshot.
func (x *Index) NeedsSnapshot(server string) bool {
	c, ok := x.servers[server]
	return ok && c.uncertain
}

// BlockCount returns the number of sampled blocks that the index holds of a
// server.
func (x *Index) BlockCount(server string) int {
	if c, ok := x.servers[server]; ok {
		return c.blocks.len()
	}
	return 0
}

// SampleHashes returns those of a prompt's block hashes that the index samples
// and, for each of them, the number of blocks that the hash covers.
func SampleHashes(hashes []uint64) (samples []uint64, blocks []int) {
	for i, h := range hashes {
		if h&sampleMask == 0 {
			samples = append(samples, h)
			blocks = append(blocks, i+1)
		}
	}
	return samples, blocks
}

// MatchedSamples returns the number of leading samples of a prompt that a server
// is expected to hold.
func (x *Index) MatchedSamples(server string, samples []uint64) int {
	c, ok := x.servers[server]
	if !ok {
		return 0
	}
	matched, missing := 0, 0
	for i, h := range samples {
		if c.blocks.contains(h) {
			matched, missing = i+1, 0
			continue
		}
		missing++
		if !c.uncertain || missing > maxMissing {
			break
		}
	}
	if c.uncertain {
		return int(float64(matched) * uncertainShare)
	}
	return matched
}

// MatchedBlocks returns the number of leading blocks of a prompt with these
// hashes that a server is expected to hold.
func (x *Index) MatchedBlocks(server string, hashes []uint64) int {
	samples, blocks := SampleHashes(hashes)
	matched := x.MatchedSamples(server, samples)
	if matched == 0 {
		return 0
	}
	return blocks[matched-1]
}

func (x *Index) server(id string) *serverCache {
	if c, ok := x.servers[id]; ok {
		return c
	}
	c := &serverCache{blocks: newBlockSet(x.limit)}
	x.servers[id] = c
	return c
}

func (c *serverCache) apply(e Event) {
	if e.Block&sampleMask != 0 {
		return
	}
	if e.Evicted {
		c.blocks.remove(e.Block)
		return
	}
	c.blocks.add(e.Block)
}
