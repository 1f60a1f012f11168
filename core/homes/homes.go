// Package homes chooses the hosts that decide about a key, such as a server with a limit or a
// group of workspaces, from the list of hosts. The command hickoryd edge uses it.
package homes

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/rendezvous"
)

const (
	// retention is how long a host counts after it has vanished from the host list. The
	// registration of a running host may lapse, and comes back when the host renews its
	// lease and the others read the list again.
	retention = 40 * time.Second
	// observePeriod is the time between two observations of an unchanged list.
	observePeriod = time.Second
)

// Set holds the hosts that this host has seen lately. It is not safe for concurrent use.
type Set struct {
	hosts      []netip.AddrPort // at observedAt
	observedAt time.Time
	// seenAt holds the hosts of the set. For those of hosts, observedAt is when they were seen.
	seenAt map[netip.AddrPort]time.Time
	byName map[string]netip.AddrPort
	set    *rendezvous.HostSet
}

// New returns a set of no hosts.
func New() *Set {
	return &Set{seenAt: make(map[netip.AddrPort]time.Time), set: rendezvous.New(nil)}
}

// Observe records the host list at now. It reports whether the set has changed.
func (h *Set) Observe(now time.Time, hosts []netip.AddrPort) bool {
	isSame := slices.Equal(hosts, h.hosts)
	if isSame && now.Sub(h.observedAt) < observePeriod {
		return false
	}
	if isSame && len(h.seenAt) == len(hosts) { // no host has vanished
		h.observedAt = now
		return false
	}
	for _, host := range h.hosts {
		h.seenAt[host] = h.observedAt
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
		if now.Sub(seenAt) > retention {
			delete(h.seenAt, host)
		}
	}
	if !isChanged && len(h.seenAt) == before {
		return false
	}
	h.build()
	return true
}

// Len returns the number of hosts.
func (h *Set) Len() int {
	return len(h.seenAt)
}

func (h *Set) build() {
	h.byName = make(map[string]netip.AddrPort, len(h.seenAt))
	names := make([]string, 0, len(h.seenAt))
	for host := range h.seenAt {
		names = append(names, host.String())
		h.byName[host.String()] = host
	}
	h.set = rendezvous.New(names)
}

// Of returns the homes of a key, fewer than count if fewer hosts are known.
func (h *Set) Of(key string, count int) []netip.AddrPort {
	names := h.set.Homes(key, count)
	homes := make([]netip.AddrPort, len(names))
	for i, name := range names {
		homes[i] = h.byName[name]
	}
	return homes
}
