package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	probeTimeout  = 300 * time.Millisecond
	probeInterval = 10 * time.Millisecond
	reportTimeout = time.Second
)

// checkCrashes looks up, before each attempt, whether requests with the same
// fingerprint have crashed servers. It isolates the request or returns
// errCrashesServers.
func (g *generation) checkCrashes(ctx context.Context) error {
	switch g.models.crashes.Check(ctx, time.Now(), g.fingerprint) {
	case crash.Refuse:
		return errCrashesServers
	case crash.Isolate:
		g.isolated = true
	}
	return nil
}

// awaitDomainFailure waits before a retry on a server until its failure would no longer
// count as the loss of the failure domain of the previous server.
func (g *generation) awaitDomainFailure(ctx context.Context, server backend.Server) error {
	if server.FailureDomain != g.lastFailureDomain {
		return nil
	}
	return timing.Sleep(ctx, crash.RetryDelay(time.Since(g.lastFailureAt), g.longestFailedRun))
}

// checkServerFailure reports to the crash table a server that failed while it
// ran this request, and returns whether the server failed.
func (g *generation) checkServerFailure(ctx context.Context, server backend.Server, started time.Time) bool {
	if !g.hasServerFailed(ctx, server, started) {
		return false
	}
	g.models.counters.crashes.Inc()
	now := time.Now()
	g.lastFailureAt, g.lastFailureDomain, g.longestFailedRun = now, server.FailureDomain, max(g.longestFailedRun, now.Sub(started))
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	g.models.crashes.Report(reportCtx, now, g.fingerprint, server)
	return true
}

// hasServerFailed reports whether a server has failed since a call began: the
// server refuses connections, or its uptime is shorter than the call. A process
// that is exiting may still accept a connection and break it, so the probe is
// repeated on such an error.
func (g *generation) hasServerFailed(ctx context.Context, server backend.Server, since time.Time) bool {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for probeCtx.Err() == nil {
		uptime, err := g.models.engines.Uptime(probeCtx, server)
		switch {
		case err == nil:
			return uptime < time.Since(since)
		case errors.Is(err, engine.ErrNotSent):
			return probeCtx.Err() == nil
		}
		_ = timing.Sleep(probeCtx, probeInterval) // returns early when probeCtx ends
	}
	return false
}

// endIsolation clears the suspicion of a request that has run in isolation for
// long enough. Other isolated requests then need not wait for this run to end
// before they may use its server.
func (a *attempt) endIsolation(now time.Time) {
	g := a.generation
	if !g.isolated || g.longestFailedRun == 0 || now.Sub(a.opened) < crash.IsolationPeriod(g.longestFailedRun) {
		return
	}
	g.reportSuccess()
	g.isolated = false
	g.models.slots.UpdateTerms(a.server, a.id, g.terms(now))
}

// reportSuccess reports a successful run in isolation to the home of the
// fingerprint.
func (g *generation) reportSuccess() {
	if !g.isolated {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	g.models.crashes.ReportSuccess(ctx, time.Now(), g.fingerprint)
}
