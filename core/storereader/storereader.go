// Package storereader chooses the hosts that read the platform's store. Each call of the store
// has a price and counts against a rate, so in a large failure domain a few hosts read it and
// the others follow these. The command hickoryd edge uses it.
package storereader

import (
	"net/netip"
	"slices"

	"github.com/hickoryfront/hickoryfront/core/rendezvous"
)

const (
	// Readers is the number of hosts of a failure domain that read the store.
	Readers = 3
	// minHosts is the number of hosts of a failure domain from which on some of them follow
	// readers. In a smaller domain that would save few calls.
	minHosts = 2 * Readers
)

// Host is a host that runs hickoryfront.
type Host struct {
	Address       netip.AddrPort
	FailureDomain string
}

// Role states how a host gets the contents of the store.
type Role struct {
	// Follows are the hosts to follow, the preferred one first. It is empty if the host reads
	// the store itself.
	Follows []netip.AddrPort
	// HasFollowers is set if the host reads the store for others as well.
	HasFollowers bool
}

// RoleOf returns the role of self among hosts. Self reads the store as one of the readers of its
// failure domain, in a small domain, or if hosts does not have self. The followers of a domain
// are spread over its readers.
func RoleOf(self Host, hosts []Host) Role {
	var names []string
	byName := make(map[string]netip.AddrPort)
	for _, h := range hosts {
		if h.FailureDomain == self.FailureDomain {
			names = append(names, h.Address.String())
			byName[h.Address.String()] = h.Address
		}
	}
	if len(names) < minHosts || !slices.Contains(names, self.Address.String()) {
		return Role{}
	}
	readers := rendezvous.New(names).Homes("readers/"+self.FailureDomain, Readers)
	if slices.Contains(readers, self.Address.String()) {
		return Role{HasFollowers: true}
	}
	var role Role
	for _, name := range rendezvous.New(readers).Homes(self.Address.String(), Readers) {
		role.Follows = append(role.Follows, byName[name])
	}
	return role
}
