// Package node wires the parts of the daemon together and runs them.
package node

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/refusal"
)

type (
	// ConfigSource tells the configuration in force and when the platform was last
	// read.
	ConfigSource interface {
		Current() *config.Document
		LastRead() time.Time
	}

	// PeerView tells which peers are alive and when one was last heard.
	PeerView interface {
		Live(now time.Time) []member.State
		LastHeard() time.Time
	}

	// ServerList tells whether the host list was ever read.
	ServerList interface {
		IsLoaded() bool
	}

	// Gate decides whether new requests are taken. It is safe for concurrent
	// use.
	Gate struct {
		platform  ConfigSource
		peers     PeerView
		servers   ServerList
		seeds     []netip.AddrPort // of the other daemons
		isolation time.Duration
		draining  atomic.Bool
		caughtUp  atomic.Bool // stays true
		lastTick  atomic.Int64
		suspended atomic.Bool // stalled, and not yet verified again
		minority  atomic.Bool // most of the fleet is not heard any more

		// fleet is the most hosts that were alive lately, last seen at fleetAt.
		// Only Observe touches them.
		fleet   int
		fleetAt time.Time
	}
)

const (
	retryElsewhere = time.Second
	// stallLimit is the time without a tick after which the process counts as
	// paused. It is longer than any step of the loop that ticks.
	stallLimit = 5 * time.Second

	// fleetMemory is how long hosts that are gone still count as part of the
	// fleet. It is longer than a cut takes to be noticed, and than operators take
	// to replace a few hosts.
	fleetMemory = 10 * time.Minute

	reasonDraining = "draining"
	reasonNoConfig = "no configuration yet"
	reasonNoList   = "no host list yet"
	reasonBehind   = "configuration older than a peer's"
	reasonPaused   = "was paused and has to check its configuration"
	reasonIsolated = "cut off from platform and peers"
	reasonMinority = "cut off from the platform and from most peers"
)

// NewGate returns a gate that closes after isolation without news. seeds are
// the peers that a new daemon must hear while the platform can't be read.
func NewGate(platform ConfigSource, peers PeerView, servers ServerList, seeds []netip.AddrPort, isolation time.Duration) *Gate {
	return &Gate{platform: platform, peers: peers, servers: servers, seeds: seeds, isolation: isolation}
}

// Drain closes the gate for good.
func (g *Gate) Drain() {
	g.draining.Store(true)
}

// IsDraining reports whether the daemon takes no new requests.
func (g *Gate) IsDraining() bool {
	return g.draining.Load()
}

// Tick tells the gate that the process runs. It returns false when the process
// was paused: the configuration may have changed meanwhile, and the gate stays
// closed until Verified.
func (g *Gate) Tick(now time.Time) bool {
	if g.stalled(now) {
		g.suspended.Store(true)
	}
	g.lastTick.Store(now.UnixNano())
	return !g.suspended.Load()
}

// MarkVerified opens the gate of a process that was paused: its configuration was
// compared with the platform's or a peer's since.
func (g *Gate) MarkVerified() {
	g.suspended.Store(false)
}

// UpdateMinority compares the hosts that are alive with the fleet of the last minutes,
// and reports whether they are the smaller part. The smaller part can't know
// what the other changes, unless it reads the platform. One goroutine calls it.
func (g *Gate) UpdateMinority(now time.Time) bool {
	live := len(g.peers.Live(now))
	forgotten := now.Sub(g.fleetAt) > fleetMemory && now.Sub(g.platform.LastRead()) <= g.isolation
	if live >= g.fleet || forgotten {
		g.fleet, g.fleetAt = live, now
	}
	minority := 2*live < g.fleet
	g.minority.Store(minority)
	return minority
}

func (g *Gate) stalled(now time.Time) bool {
	last := g.lastTick.Load()
	return last > 0 && now.Sub(time.Unix(0, last)) > stallLimit
}

// NotReadyReason returns why no new requests are taken, or "".
func (g *Gate) NotReadyReason(now time.Time) string {
	if g.IsDraining() {
		return reasonDraining
	}
	if !g.caughtUp.Load() {
		if reason := g.behind(now); reason != "" {
			return reason
		}
		g.caughtUp.Store(true)
	}
	switch {
	case g.suspended.Load() || g.stalled(now):
		return reasonPaused
	case !g.servers.IsLoaded():
		return reasonNoList
	case now.Sub(g.platform.LastRead()) > g.isolation && now.Sub(g.peers.LastHeard()) > g.isolation:
		return reasonIsolated
	case g.minority.Load() && now.Sub(g.platform.LastRead()) > g.isolation:
		return reasonMinority
	}
	return ""
}

// behind returns why a new daemon can't know that its configuration is the
// newest, or "". The platform knows it; while it can't be read, the peers
// suffice only if all seeds are among them and one has a configuration.
func (g *Gate) behind(now time.Time) string {
	held := g.platform.Current().Revision
	heard := map[netip.AddrPort]bool{}
	for _, s := range g.peers.Live(now) {
		if s.ConfigRevision > held {
			return reasonBehind
		}
		heard[s.Host.PeerAddress] = true
	}
	if g.platform.LastRead().UnixNano() > 0 {
		return ""
	}
	for _, seed := range g.seeds {
		if !heard[seed] {
			return reasonNoConfig
		}
	}
	if held == 0 || len(g.seeds) == 0 {
		return reasonNoConfig
	}
	return ""
}

// Refuse returns the refusal of a new request, or nil.
func (g *Gate) Refuse(now time.Time) *refusal.Refusal {
	reason := g.NotReadyReason(now)
	switch reason {
	case "":
		return nil
	case reasonDraining:
		return refusal.NotRun(refusal.ShuttingDown, "this host is draining; ask again").WithRetryAfter(retryElsewhere)
	}
	return refusal.NotRun(refusal.Unavailable, "this host is not ready: %s", reason).WithRetryAfter(retryElsewhere)
}
