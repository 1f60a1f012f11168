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
	// ConfigSource provides the configuration in force and the time of the last
	// successful read from the platform.
	ConfigSource interface {
		Current() *config.Document
		LastRead() time.Time
	}

	// PeerView lists the live hosts, this one included, and provides the time of
	// the last message from a peer.
	PeerView interface {
		Live(now time.Time) []member.State
		LastContact() time.Time
	}

	// ServerList reports whether the platform's server list has
	// been read at least once.
	ServerList interface {
		IsLoaded() bool
	}

	// Gate decides whether the daemon accepts new requests. A daemon must not serve
	// with a configuration that may be outdated. The gate is therefore closed while
	// the daemon starts, after the process was paused, and while the daemon is cut
	// off from the platform and from its peers. It is also closed while the daemon
	// drains. A Gate is safe for concurrent use.
	Gate struct {
		platform   ConfigSource
		peers      PeerView
		servers    ServerList
		seeds      []netip.AddrPort // of the other daemons
		isolation  time.Duration
		draining   atomic.Bool
		caughtUp   atomic.Bool // never reset: only a starting daemon has to catch up
		lastTick   atomic.Int64
		suspended  atomic.Bool // the process was paused and MarkVerified was not called since
		inMinority atomic.Bool // less than half of the recent fleet is alive

		// maxLive is the highest recent number of live hosts, last reached or reset
		// at maxLiveAt. Only UpdateMinority accesses the two.
		maxLive   int
		maxLiveAt time.Time
	}
)

const (
	// refusalRetryAfter is the Retry-After of refusals. It is short, as the retry can
	// go to another host, which may accept it.
	refusalRetryAfter = time.Second
	// stallTimeout is the time without a tick after which the process counts as
	// paused. It is longer than one iteration of ConfigSync.Run, which calls Tick
	// once: three steps of at most stepTimeout each, and a wait of at most
	// syncInterval.
	stallTimeout = 5 * time.Second

	// fleetRetention is how long failed hosts still count as part of the fleet. It
	// is longer than it takes to detect a network partition, and longer than
	// operators take to replace a few hosts.
	fleetRetention = 10 * time.Minute

	reasonDraining = "draining"
	reasonNoConfig = "no configuration yet"
	reasonNoList   = "no host list yet"
	reasonBehind   = "configuration older than a peer's"
	reasonPaused   = "was paused and has to check its configuration"
	reasonIsolated = "cut off from platform and peers"
	reasonMinority = "cut off from the platform and from most peers"
)

// NewGate returns a gate that closes when for the duration isolation the platform
// was not read and no message from a peer arrived. seeds are the peers that must be
// alive before a starting daemon is ready while the platform can't be read.
func NewGate(platform ConfigSource, peers PeerView, servers ServerList, seeds []netip.AddrPort, isolation time.Duration) *Gate {
	return &Gate{platform: platform, peers: peers, servers: servers, seeds: seeds, isolation: isolation}
}

// Drain closes the gate permanently.
func (g *Gate) Drain() {
	g.draining.Store(true)
}

// IsDraining reports whether Drain was called.
func (g *Gate) IsDraining() bool {
	return g.draining.Load()
}

// Tick records that the process is running. It returns false if the process was
// paused: the configuration may have changed during the pause, and the gate
// stays closed until MarkVerified is called.
func (g *Gate) Tick(now time.Time) bool {
	if g.isStalled(now) {
		g.suspended.Store(true)
	}
	g.lastTick.Store(now.UnixNano())
	return !g.suspended.Load()
}

// MarkVerified reopens the gate after a pause of the process. The caller has
// compared the configuration with that of the platform or of a peer since the
// pause.
func (g *Gate) MarkVerified() {
	g.suspended.Store(false)
}

// UpdateMinority compares the number of live hosts with the highest number within
// fleetRetention and reports whether less than half of the fleet is alive. Such a
// minority can't know of changes that the majority makes, unless it reads the
// platform. The highest number expires only while the platform can be read. Only
// one goroutine may call UpdateMinority.
func (g *Gate) UpdateMinority(now time.Time) bool {
	live := len(g.peers.Live(now))
	expired := now.Sub(g.maxLiveAt) > fleetRetention && now.Sub(g.platform.LastRead()) <= g.isolation
	if live >= g.maxLive || expired {
		g.maxLive, g.maxLiveAt = live, now
	}
	inMinority := 2*live < g.maxLive
	g.inMinority.Store(inMinority)
	return inMinority
}

func (g *Gate) isStalled(now time.Time) bool {
	last := g.lastTick.Load()
	return last > 0 && now.Sub(time.Unix(0, last)) > stallTimeout
}

// NotReadyReason returns why the gate is closed, or "" if it is open.
func (g *Gate) NotReadyReason(now time.Time) string {
	if g.IsDraining() {
		return reasonDraining
	}
	if !g.caughtUp.Load() {
		if reason := g.catchUpReason(now); reason != "" {
			return reason
		}
		g.caughtUp.Store(true)
	}
	switch {
	case g.suspended.Load() || g.isStalled(now):
		return reasonPaused
	case !g.servers.IsLoaded():
		return reasonNoList
	case now.Sub(g.platform.LastRead()) > g.isolation && now.Sub(g.peers.LastContact()) > g.isolation:
		return reasonIsolated
	case g.inMinority.Load() && now.Sub(g.platform.LastRead()) > g.isolation:
		return reasonMinority
	}
	return ""
}

// catchUpReason returns why a starting daemon can't be sure that its
// configuration is the newest, or "" if it can. Reading the platform is enough,
// unless a live peer has a newer revision. While the platform can't be read, the
// peers are enough only if all seeds are among them and this daemon has fetched a
// configuration.
func (g *Gate) catchUpReason(now time.Time) string {
	revision := g.platform.Current().Revision
	live := map[netip.AddrPort]bool{}
	for _, s := range g.peers.Live(now) {
		if s.ConfigRevision > revision {
			return reasonBehind
		}
		live[s.Host.PeerAddress] = true
	}
	if g.platform.LastRead().UnixNano() > 0 {
		return ""
	}
	for _, seed := range g.seeds {
		if !live[seed] {
			return reasonNoConfig
		}
	}
	if revision == 0 || len(g.seeds) == 0 {
		return reasonNoConfig
	}
	return ""
}

// Refuse returns the refusal for a new request, or nil if the gate is open.
func (g *Gate) Refuse(now time.Time) *refusal.Refusal {
	reason := g.NotReadyReason(now)
	switch reason {
	case "":
		return nil
	case reasonDraining:
		return refusal.NotRun(refusal.ShuttingDown, "this host is draining; ask again").WithRetryAfter(refusalRetryAfter)
	}
	return refusal.NotRun(refusal.Unavailable, "this host is not ready: %s", reason).WithRetryAfter(refusalRetryAfter)
}
