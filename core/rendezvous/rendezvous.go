// Package rendezvous assigns each key to one host, its home, by rendezvous
// hashing (highest random weight). When a host fails, only the keys of that host
// move.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// HostSet is an immutable set of hosts among which keys are distributed.
type HostSet struct {
	hosts  []string
	hashes *rendezvous.Rendezvous
	// seeds are the hashes of hosts, in the same order.
	seeds []uint64
}

// weighted is a host with its weight for a key.
type weighted struct {
	host   string
	weight uint64
}

// New returns the set of the given host names. The order of the names does not
// matter.
func New(hosts []string) *HostSet {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	seeds := make([]uint64, len(sorted))
	for i, host := range sorted {
		seeds[i] = xxhash.Sum64String(host)
	}
	return &HostSet{hosts: sorted, hashes: rendezvous.New(sorted, xxhash.Sum64String), seeds: seeds}
}

// Home returns the host to which key is assigned, or "" when the set is empty.
func (s *HostSet) Home(key string) string {
	if len(s.hosts) == 0 {
		return ""
	}
	return s.hashes.Lookup(key)
}

// Homes returns the n hosts with the highest weights for key, highest first, or all hosts
// if there are fewer. The first one is the home. When a host leaves, the hosts behind it
// move up by one place and the others keep theirs.
func (s *HostSet) Homes(key string, n int) []string {
	n = min(n, len(s.hosts))
	if n <= 0 {
		return nil
	}
	hash := xxhash.Sum64String(key)
	best := make([]weighted, 0, n+1)
	for i, host := range s.hosts {
		weight := mix(hash ^ s.seeds[i])
		if len(best) == n && weight <= best[n-1].weight {
			continue
		}
		place := slices.IndexFunc(best, func(b weighted) bool { return b.weight < weight })
		if place < 0 {
			place = len(best)
		}
		best = slices.Insert(best, place, weighted{host, weight})
		best = best[:min(len(best), n)]
	}
	homes := make([]string, n)
	for i, b := range best {
		homes[i] = b.host
	}
	return homes
}

// mix is the xorshift* step by which package go-rendezvous, and so Home, turns a hash into
// a weight.
func mix(x uint64) uint64 {
	x ^= x >> 12
	x ^= x << 25
	x ^= x >> 27
	return x * 2685821657736338717
}

// Hosts returns the sorted host names. The caller must not modify the slice.
func (s *HostSet) Hosts() []string {
	return s.hosts
}

// Equal reports whether both sets contain the same hosts.
func (s *HostSet) Equal(other *HostSet) bool {
	return slices.Equal(s.hosts, other.hosts)
}
