// Package rendezvous maps keys to the hosts that are their homes by rendezvous
// hashing, so that the loss of one host moves only that host's keys.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// HostSet is an immutable set of hosts.
type HostSet struct {
	hosts []string
	table *rendezvous.Rendezvous
}

// New returns a ring of the given host names. The order does not matter.
func New(hosts []string) *HostSet {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return &HostSet{hosts: sorted, table: rendezvous.New(sorted, xxhash.Sum64String)}
}

// Home returns the host that owns key, or "" when the ring is empty.
func (r *HostSet) Home(key string) string {
	if len(r.hosts) == 0 {
		return ""
	}
	return r.table.Lookup(key)
}

// Hosts returns the sorted host names. The caller must not change them.
func (r *HostSet) Hosts() []string {
	return r.hosts
}

// Equal reports whether both rings hold the same hosts.
func (r *HostSet) Equal(other *HostSet) bool {
	return slices.Equal(r.hosts, other.hosts)
}
