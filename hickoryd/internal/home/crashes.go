package home

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	// maxFingerprints limits the fingerprints in the crash table of one daemon.
	maxFingerprints     = 10_000
	checkCrashesTimeout = 30 * time.Millisecond
)

// Crashes records the fingerprints of the requests that were running on a backend
// server when the server crashed. It reports a crash to the home of the fingerprint
// and to the host that becomes its home when the first one fails. It is safe for
// concurrent use.
type Crashes struct {
	peers        Peers
	pool         *peer.Pool
	unresponsive unresponsiveHomes
	logger       log.Interface

	mu    sync.Mutex
	table *crash.Table
}

// NewCrashes returns an empty table.
func NewCrashes(peers Peers, pool *peer.Pool, logger log.Interface, set *metrics.Set) *Crashes {
	c := &Crashes{peers: peers, pool: pool, logger: logger, table: crash.NewTable(maxFingerprints)}
	set.NewGauge(`hickoryfront_crash_suspects`, func() float64 { return float64(c.Len()) })
	return c
}

// Len returns the number of fingerprints held.
func (c *Crashes) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}

// Check queries the homes of a fingerprint for how requests with it may run. Without
// a response it returns the decision of this daemon's own table.
func (c *Crashes) Check(ctx context.Context, now time.Time, fingerprint uint64) crash.Decision {
	known := c.CheckLocal(now, fingerprint)
	if known == crash.Refuse {
		return known
	}
	for _, home := range c.homes(now, fingerprint) {
		if home == c.peers.Self().Name {
			return known
		}
		if c.unresponsive.contains(now, home) {
			continue
		}
		decision, err := c.query(ctx, home, fingerprint)
		if err == nil {
			return max(known, decision)
		}
		if ctx.Err() != nil {
			return known
		}
		c.unresponsive.add(now, home)
	}
	return known
}

// Report reports to the homes that a server failed while it ran a request with the
// fingerprint.
func (c *Crashes) Report(ctx context.Context, now time.Time, fingerprint uint64, server backend.Server) {
	c.ReportLocal(now, fingerprint, server.ID, server.FailureDomain)
	c.publish(ctx, now, &peerapi.ReportCrashRequest{Fingerprint: fingerprint, ServerId: server.ID, FailureDomain: server.FailureDomain, BatchSize: 1})
}

// ReportSuccess reports to the homes that a request with the fingerprint has run
// in isolation without a crash of its server.
func (c *Crashes) ReportSuccess(ctx context.Context, now time.Time, fingerprint uint64) {
	c.ReportSuccessLocal(now, fingerprint)
	c.publish(ctx, now, &peerapi.ReportCrashRequest{Fingerprint: fingerprint, Survived: true})
}

// CheckLocal returns the decision of this daemon's own table.
func (c *Crashes) CheckLocal(now time.Time, fingerprint uint64) crash.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Check(now, fingerprint)
}

// ReportLocal records a crash in this daemon's own table.
func (c *Crashes) ReportLocal(now time.Time, fingerprint uint64, serverID, domain string) crash.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	decision := c.table.Report(now, fingerprint, serverID, domain)
	c.logger.WithFields(log.Fields{
		"fingerprint": strconv.FormatUint(fingerprint, 16), "server": serverID, "verdict": decision.String(),
	}).Info("backend server failed with a request in flight")
	return decision
}

// ReportSuccessLocal records a run in isolation without a crash in this daemon's
// own table.
func (c *Crashes) ReportSuccessLocal(now time.Time, fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.ReportSuccess(now, fingerprint)
}

func (c *Crashes) query(ctx context.Context, home string, fingerprint uint64) (crash.Decision, error) {
	client, err := clientOf(c.peers, c.pool, home)
	if err != nil {
		return crash.Clear, err
	}
	ctx, cancel := context.WithTimeout(ctx, checkCrashesTimeout)
	defer cancel()
	response, err := client.CheckFingerprint(ctx, &peerapi.CheckFingerprintRequest{Fingerprint: fingerprint})
	switch {
	case err != nil:
		return crash.Clear, err
	case response.GetRefused():
		return crash.Refuse, nil
	case response.GetIsolate():
		return crash.Isolate, nil
	}
	return crash.Clear, nil
}

func (c *Crashes) publish(ctx context.Context, now time.Time, report *peerapi.ReportCrashRequest) {
	for _, home := range c.homes(now, report.GetFingerprint()) {
		if home == c.peers.Self().Name {
			continue
		}
		client, err := clientOf(c.peers, c.pool, home)
		if err != nil {
			continue
		}
		_, _ = client.ReportCrash(ctx, report) // the other home and this daemon have the report too
	}
}

// homes returns the home of a fingerprint and the host that becomes its home when
// the first one fails.
func (c *Crashes) homes(now time.Time, fingerprint uint64) []string {
	key := "fingerprint/" + strconv.FormatUint(fingerprint, 16)
	all := c.peers.HomeHosts(now)
	first := all.Home(key)
	rest := slices.DeleteFunc(slices.Clone(all.Hosts()), func(host string) bool { return host == first })
	if len(rest) == 0 {
		return []string{first}
	}
	return []string{first, rendezvous.New(rest).Home(key)}
}
