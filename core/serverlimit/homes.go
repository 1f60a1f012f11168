package serverlimit

import (
	"net/netip"
	"time"

	"github.com/hickoryfront/hickoryfront/core/homes"
)

// Homes chooses the hosts that issue the permits for a server, from the hosts that this host
// has seen lately. It is not safe for concurrent use.
type Homes struct {
	set *homes.Set
}

// NewHomes returns homes among no hosts.
func NewHomes() *Homes {
	return &Homes{set: homes.New()}
}

// Observe records the host list at now.
func (h *Homes) Observe(now time.Time, hosts []netip.AddrPort) {
	h.set.Observe(now, hosts)
}

// Of returns the homes of a server, fewer than HomeCount if fewer hosts are known.
func (h *Homes) Of(server string) []netip.AddrPort {
	return h.set.Of(server, HomeCount)
}
