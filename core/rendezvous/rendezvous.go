// Package rendezvous maps keys to the hosts that are their homes by rendezvous
// hashing, so that the loss of one host moves only that host's keys.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Ring is an immutable set of hosts.
type Ring struct {
	hosts []string
	table *rendezvous.Rendezvous
}

// New returns a ring of the given host names. The order does not matter.
func New(hosts []string) *Ring {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return &Ring{hosts: sorted, table: rendezvous.New(sorted, xxhash.Sum64String)}
}

// Home returns the host that owns key, or "" when the ring is empty.
func (r *Ring) Home(key string) string {
	if len(r.hosts) == 0 {
		return ""
	}
	return r.table.Lookup(key)
}

// Hosts returns the sorted host names. The caller must not change them.
func (r *Ring) Hosts() []string {
	return r.hosts
}

// Equal reports whether both rings hold the same hosts.
func (r *Ring) Equal(other *Ring) bool {
	return slices.Equal(r.hosts, other.hosts)
}
