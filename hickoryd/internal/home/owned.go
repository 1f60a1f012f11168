package home

import "github.com/hickoryfront/hickoryfront/core/rendezvous"

// ownedServers remembers which servers this daemon is the home of, since asking
// the ring costs a step for each host of the fleet.
type ownedServers struct {
	ring  *rendezvous.HostSet
	self  string
	known map[string]bool
}

// follow forgets all answers when the ring is another one, or when most of them
// are about servers that are not listed any more.
func (o *ownedServers) follow(homes *rendezvous.HostSet, self string, listed int) {
	const staleFactor = 2
	if o.ring == homes && o.self == self && len(o.known) <= staleFactor*listed {
		return
	}
	o.ring, o.self, o.known = homes, self, make(map[string]bool, listed)
}

func (o *ownedServers) has(serverID string) bool {
	owned, ok := o.known[serverID]
	if !ok {
		owned = o.ring.Home(serverID) == o.self
		o.known[serverID] = owned
	}
	return owned
}
