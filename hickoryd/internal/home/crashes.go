package home

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	// maxFingerprints bounds the suspects that one daemon holds.
	maxFingerprints     = 10_000
	checkCrashesTimeout = 30 * time.Millisecond
)

// Crashes knows the requests that crash the servers that run them. A crash is
// told to the home of its fingerprint and to the host that would be the home
// after it. It is safe for concurrent use.
type Crashes struct {
	peers  Peers
	pool   *peer.Pool
	quiet  quietHomes
	logger log.Interface

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

// Check asks the homes of a fingerprint how it may run. Without an answer it
// returns what is known here.
func (c *Crashes) Check(ctx context.Context, now time.Time, fingerprint uint64) crash.Decision {
	known := c.CheckLocal(now, fingerprint)
	if known == crash.Refuse {
		return known
	}
	for _, home := range c.homes(now, fingerprint) {
		if home == c.peers.Self().Name {
			return known
		}
		if c.quiet.holds(now, home) {
			continue
		}
		verdict, err := c.ask(ctx, home, fingerprint)
		if err == nil {
			return max(known, verdict)
		}
		if ctx.Err() != nil {
			return known
		}
		c.quiet.add(now, home)
	}
	return known
}

// Report tells the homes that a server was lost with the fingerprint in
// flight.
func (c *Crashes) Report(ctx context.Context, now time.Time, fingerprint uint64, serverID string) {
	c.ReportLocal(now, fingerprint, serverID)
	c.tell(ctx, now, &peerapi.ReportCrashRequest{Fingerprint: fingerprint, ServerId: serverID, BatchSize: 1})
}

// Survived tells the homes that the fingerprint ran alone to its end.
func (c *Crashes) Survived(ctx context.Context, now time.Time, fingerprint uint64) {
	c.SurvivedLocal(now, fingerprint)
	c.tell(ctx, now, &peerapi.ReportCrashRequest{Fingerprint: fingerprint, Survived: true})
}

// CheckLocal returns what this daemon knows.
func (c *Crashes) CheckLocal(now time.Time, fingerprint uint64) crash.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Check(now, fingerprint)
}

// ReportLocal takes in a crash.
func (c *Crashes) ReportLocal(now time.Time, fingerprint uint64, serverID string) crash.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict := c.table.Report(now, fingerprint, serverID)
	c.logger.WithFields(log.Fields{
		"fingerprint": strconv.FormatUint(fingerprint, 16), "server": serverID, "verdict": verdict.String(),
	}).Info("backend server lost with a request in flight")
	return verdict
}

// SurvivedLocal takes in a whole run.
func (c *Crashes) SurvivedLocal(now time.Time, fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.ReportSuccess(now, fingerprint)
}

func (c *Crashes) ask(ctx context.Context, home string, fingerprint uint64) (crash.Decision, error) {
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

func (c *Crashes) tell(ctx context.Context, now time.Time, report *peerapi.ReportCrashRequest) {
	for _, home := range c.homes(now, report.GetFingerprint()) {
		if home == c.peers.Self().Name {
			continue
		}
		client, err := clientOf(c.peers, c.pool, home)
		if err != nil {
			continue
		}
		_, _ = client.ReportCrash(ctx, report) // the other home and this daemon know too
	}
}

// homes returns the home of a fingerprint and the home after it.
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
