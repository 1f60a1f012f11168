package serverlimit

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/rendezvous"
)

const (
	// homeRetention is how long a host counts after it has vanished from the host list. The
	// registration of a running host may lapse, and comes back when the host renews its
	// lease and the others read the list again.
	homeRetention = 40 * time.Second
	// observePeriod is the time between two observations of an unchanged list.
	observePeriod = time.Second
)

// Homes chooses the hosts that issue the permits for a server, from the hosts that this host
// has seen lately. It is not safe for concurrent use.
type Homes struct {
	hosts      []netip.AddrPort // at observedAt
	observedAt time.Time
	seenAt     map[netip.AddrPort]time.Time
	byName     map[string]netip.AddrPort
	set        *rendezvous.HostSet
}

// NewHomes returns homes among no hosts.
func NewHomes() *Homes {
	return &Homes{seenAt: make(map[netip.AddrPort]time.Time), set: rendezvous.New(nil)}
}

// Observe records the host list at now.
func (h *Homes) Observe(now time.Time, hosts []netip.AddrPort) {
	if now.Sub(h.observedAt) < observePeriod && slices.Equal(hosts, h.hosts) {
		return
	}
	h.hosts, h.observedAt = hosts, now
	before := len(h.seenAt)
	isChanged := false
	for _, host := range hosts {
		_, ok := h.seenAt[host]
		isChanged = isChanged || !ok
		h.seenAt[host] = now
	}
	for host, seenAt := range h.seenAt {
		if now.Sub(seenAt) > homeRetention {
			delete(h.seenAt, host)
		}
	}
	if isChanged || len(h.seenAt) != before {
		h.build()
	}
}

func (h *Homes) build() {
	h.byName = make(map[string]netip.AddrPort, len(h.seenAt))
	names := make([]string, 0, len(h.seenAt))
	for host := range h.seenAt {
		names = append(names, host.String())
		h.byName[host.String()] = host
	}
	h.set = rendezvous.New(names)
}

// Of returns the homes of a server, fewer than HomeCount if fewer hosts are known.
func (h *Homes) Of(server string) []netip.AddrPort {
	names := h.set.Homes(server, HomeCount)
	homes := make([]netip.AddrPort, len(names))
	for i, name := range names {
		homes[i] = h.byName[name]
	}
	return homes
}
