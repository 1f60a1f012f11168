// Package node wires the parts of the daemon together and runs them.
package node

import (
	"sync/atomic"
	"time"

	"github.com/hickoryfront/hickoryfront/core/refusal"
)

type (
	// Freshness tells when the configuration source was last heard.
	Freshness interface {
		LastRead() time.Time
	}

	// PeerFreshness tells when a peer was last heard.
	PeerFreshness interface {
		LastHeard() time.Time
	}

	// ServerList tells whether the host list was ever read.
	ServerList interface {
		Listed() bool
	}

	// Gate decides whether new requests are taken. It is safe for concurrent
	// use.
	Gate struct {
		platform  Freshness
		peers     PeerFreshness
		servers   ServerList
		isolation time.Duration
		draining  atomic.Bool
	}
)

const (
	retryElsewhere = time.Second

	reasonDraining = "draining"
	reasonNoConfig = "no configuration yet"
	reasonNoList   = "no host list yet"
	reasonIsolated = "cut off from platform and peers"
)

// NewGate returns a gate that closes after isolation without news.
func NewGate(platform Freshness, peers PeerFreshness, servers ServerList, isolation time.Duration) *Gate {
	return &Gate{platform: platform, peers: peers, servers: servers, isolation: isolation}
}

// Drain closes the gate for good.
func (g *Gate) Drain() {
	g.draining.Store(true)
}

// Draining reports whether the daemon takes no new requests.
func (g *Gate) Draining() bool {
	return g.draining.Load()
}

// NotReady returns why no new requests are taken, or "".
func (g *Gate) NotReady(now time.Time) string {
	switch {
	case g.Draining():
		return reasonDraining
	case g.platform.LastRead().UnixNano() <= 0:
		return reasonNoConfig
	case !g.servers.Listed():
		return reasonNoList
	case now.Sub(g.platform.LastRead()) > g.isolation && now.Sub(g.peers.LastHeard()) > g.isolation:
		return reasonIsolated
	}
	return ""
}

// Refuse returns the refusal of a new request, or nil.
func (g *Gate) Refuse(now time.Time) *refusal.Refusal {
	reason := g.NotReady(now)
	switch reason {
	case "":
		return nil
	case reasonDraining:
		return refusal.NotRun(refusal.ShuttingDown, "this host is draining; ask again").After(retryElsewhere)
	}
	return refusal.NotRun(refusal.Unavailable, "this host is not ready: %s", reason).After(retryElsewhere)
}
