package home

import "github.com/hickoryfront/hickoryfront/core/rendezvous"

// ownedServers caches which servers this daemon is the home of, because
// rendezvous hashing takes time proportional to the number of hosts.
type ownedServers struct {
	homes     *rendezvous.HostSet
	self      string
	ownedByID map[string]bool
}

// update clears the cache when the set of homes has changed, or when most cached
// servers are not listed any more.
func (o *ownedServers) update(homes *rendezvous.HostSet, self string, listed int) {
	const staleFactor = 2
	if o.homes == homes && o.self == self && len(o.ownedByID) <= staleFactor*listed {
		return
	}
	o.homes, o.self, o.ownedByID = homes, self, make(map[string]bool, listed)
}

func (o *ownedServers) contains(serverID string) bool {
	owned, ok := o.ownedByID[serverID]
	if !ok {
		owned = o.homes.Home(serverID) == o.self
		o.ownedByID[serverID] = owned
	}
	return owned
}
