package capacitywait

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// priorities is the number of priorities that are distinguished: larger ones count as the
	// last.
	priorities = 10
	// kindLifetime is how long a priority counts as one of the service after its last request.
	// It is long because with hundreds of hosts each sees few requests of a kind.
	kindLifetime = 10 * time.Minute
	// scarcityWeight is the weight of the newest reservation in the share of rejected ones:
	// five rejections in a row, a third of a search, are scarcity.
	scarcityWeight = 0.15
	// scarcityDecay is the time constant with which that share decays without reservations.
	// With 300 hosts each sees a request of the service only every few seconds.
	scarcityDecay = 30 * time.Second
	// scarceShare is the share of rejected reservations from which memory is scarce. Below it
	// a search finds memory at its second server.
	scarceShare = 0.5
	// sizeWeight is the weight of the newest request in the moving averages of sizes.
	sizeWeight = 0.05
	// largeFactor is the size of a large request, in average requests of its priority.
	largeFactor = 1.5
	// keptServers is the number of servers of which one keeps its memory for large requests
	// while these find none, and keptPeriod the time for which it does: several running
	// requests end in it, so that the memory of a large one becomes free.
	keptServers = 5
	keptPeriod  = 4 * time.Second
)

type (
	// Contention is what this host has observed of the contention for the memory of one
	// service: the priorities and sizes of its requests, and how often decode servers reject
	// reservations. It is not safe for concurrent use.
	Contention struct {
		kinds [priorities]requestKind
		large requestKind
	}

	// requestKind is what was observed of the requests of a priority, or of the large ones.
	requestKind struct {
		seen time.Time
		// size is the moving average of the tokens that requests reserve.
		size float64
		// rejected is the moving average of rejected reservations at the time observed.
		rejected float64
		observed time.Time
	}
)

// Observe records a request of a priority, 0 the most urgent, that reserves a number of tokens.
func (c *Contention) Observe(now time.Time, priority, tokens int) {
	c.kinds[index(priority)].observe(now, tokens)
	if c.IsLarge(priority, tokens) {
		c.large.observe(now, tokens)
	}
}

// Rank returns the rank of a priority among those that the service's requests have had: 0 for
// the most urgent, 1 for the least urgent, and the others at equal distances between them.
func (c *Contention) Rank(now time.Time, priority int) float64 {
	above, below := 0, 0
	for i := range c.kinds {
		switch {
		case i == index(priority) || !c.kinds[i].isCurrent(now):
		case i < index(priority):
			above++
		default:
			below++
		}
	}
	if above == 0 {
		return 0
	}
	return float64(above) / float64(above+below)
}

// RecordRejection records that a decode server has rejected the reservation of a request for lack of
// memory. A rejection of more memory than the request itself needs shows nothing and must not be
// recorded: requests that leave headroom would prolong the scarcity for which they leave it.
func (c *Contention) RecordRejection(now time.Time, priority, tokens int) {
	c.kindOf(priority, tokens).record(now, true)
}

// RecordGrant records that a decode server has granted the reservation of a request, and that
// headroom stayed free there: then it had room for any kind of request that is not larger.
func (c *Contention) RecordGrant(now time.Time, priority, tokens, headroom int) {
	own := c.kindOf(priority, tokens)
	own.record(now, false)
	for _, k := range c.all() {
		if k != own && k.isCurrent(now) && headroom > 0 && k.size <= float64(headroom) {
			k.record(now, false)
		}
	}
}

// IsScarce reports whether memory is scarce: most of the recent reservations for requests of some
// priority were rejected, of those that are not large.
func (c *Contention) IsScarce(now time.Time) bool {
	return c.isScarceFor(now, math.Inf(1))
}

// isScarceFor reports whether memory for requests of a size is scarce.
func (c *Contention) isScarceFor(now time.Time, size float64) bool {
	return slices.ContainsFunc(c.kinds[:], func(k requestKind) bool { return k.isScarce(now) && k.size <= largeFactor*size })
}

// IsLarge reports whether a request is large among those of its priority.
func (c *Contention) IsLarge(priority, tokens int) bool {
	return float64(tokens) > largeFactor*c.kinds[index(priority)].size
}

// IsKept reports whether a server keeps its memory for large requests at now. All hosts keep the
// same servers, in turn.
func (c *Contention) IsKept(now time.Time, server string) bool {
	if !c.large.isCurrent(now) || !c.large.isScarce(now) && !c.IsScarce(now) {
		return false
	}
	id := xxhash.Sum64String(server)
	offset := int64(id % uint64(keptPeriod)) // so that servers don't take turns all at once
	turn := uint64((now.UnixNano() + offset) / int64(keptPeriod))
	return (id+turn)%keptServers == 0
}

// Yield returns the tokens that a request which yields to more urgent ones leaves free at a server:
// those of one request of each more urgent priority for which memory is scarce.
func (c *Contention) Yield(now time.Time, priority int) int {
	sum := 0.0
	for i := range index(priority) {
		if k := &c.kinds[i]; k.isCurrent(now) && c.isScarceFor(now, k.size) {
			sum += c.kinds[i].size
		}
	}
	return int(sum)
}

// Headroom returns the tokens that must stay free at a server that takes a request, in place of
// headroom: those of a large request at a server that is kept, for which a large one leaves none.
func (c *Contention) Headroom(now time.Time, server string, priority, tokens, headroom int) int {
	switch {
	case !c.IsKept(now, server):
		return headroom
	case c.IsLarge(priority, tokens):
		return 0
	default:
		return max(int(c.large.size), headroom)
	}
}

// kindOf returns the kind that a reservation counts for.
func (c *Contention) kindOf(priority, tokens int) *requestKind {
	if c.IsLarge(priority, tokens) {
		return &c.large
	}
	return &c.kinds[index(priority)]
}

func (c *Contention) all() []*requestKind {
	kinds := []*requestKind{&c.large}
	for i := range c.kinds {
		kinds = append(kinds, &c.kinds[i])
	}
	return kinds
}

func (k *requestKind) observe(now time.Time, tokens int) {
	if !k.isCurrent(now) {
		k.size = float64(tokens)
	}
	k.size += (float64(tokens) - k.size) * sizeWeight
	k.seen = now
}

func (k *requestKind) isCurrent(now time.Time) bool {
	return !k.seen.IsZero() && now.Sub(k.seen) <= kindLifetime
}

func (k *requestKind) record(now time.Time, isRejected bool) {
	k.rejected = (1 - scarcityWeight) * k.rejectedAt(now)
	if isRejected {
		k.rejected += scarcityWeight
	}
	k.observed = now
}

func (k *requestKind) isScarce(now time.Time) bool {
	return k.rejectedAt(now) >= scarceShare
}

func (k *requestKind) rejectedAt(now time.Time) float64 {
	return k.rejected * math.Exp(-float64(max(now.Sub(k.observed), 0))/float64(scarcityDecay))
}

func index(priority int) int {
	return min(max(priority, 0), priorities-1)
}
