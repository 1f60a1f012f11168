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
}

// New returns the set of the given host names. The order of the names does not
// matter.
func New(hosts []string) *HostSet {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return &HostSet{hosts: sorted, hashes: rendezvous.New(sorted, xxhash.Sum64String)}
}

// Home returns the host to which key is assigned, or "" when the set is empty.
func (s *HostSet) Home(key string) string {
	if len(s.hosts) == 0 {
		return ""
	}
	return s.hashes.Lookup(key)
}

// Hosts returns the sorted host names. The caller must not modify the slice.
func (s *HostSet) Hosts() []string {
	return s.hosts
}

// Equal reports whether both sets contain the same hosts.
func (s *HostSet) Equal(other *HostSet) bool {
	return slices.Equal(s.hosts, other.hosts)
}
