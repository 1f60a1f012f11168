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

// checkCrashes asks, before each attempt, whether requests like this one have
// crashed servers.
func (r *run) checkCrashes(ctx context.Context) error {
	switch r.models.crashes.Check(ctx, time.Now(), r.fingerprint) {
	case crash.Refuse:
		return errCrashesServers
	case crash.Isolate:
		r.isolated = true
	}
	return timing.Sleep(ctx, crash.RetryDelay(time.Since(r.lostAt), r.lostAfter))
}

// checkLoss reports a server that died while it ran this request, and returns
// whether it did.
func (r *run) checkLoss(ctx context.Context, server backend.Server, started time.Time) bool {
	if !r.isLost(ctx, server, started) {
		return false
	}
	r.models.counters.crashes.Inc()
	now := time.Now()
	if crash.IsSameEvent(now.Sub(r.lostAt), r.lostAfter) {
		return true
	}
	r.lostAt, r.lostAfter = now, max(r.lostAfter, now.Sub(started))
	report, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r.models.crashes.Report(report, now, r.fingerprint, server.ID)
	return true
}

// isLost reports whether a server has died since a call began: it refuses
// connections, or its life is shorter than the call. A process that is just
// ending may still accept a connection and break it, so that is asked again.
func (r *run) isLost(ctx context.Context, server backend.Server, since time.Time) bool {
	probe, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for probe.Err() == nil {
		uptime, err := r.models.engines.Uptime(probe, server)
		switch {
		case err == nil:
			return uptime < time.Since(since)
		case errors.Is(err, engine.ErrNotSent):
			return probe.Err() == nil
		}
		_ = timing.Sleep(probe, probeInterval) // ends with probe at the latest
	}
	return false
}

// endProbation clears the suspicion of a request that has run in isolation for
// long enough, so that others need not wait for its server until its end.
func (a *attempt) endProbation(now time.Time) {
	r := a.run
	if !r.isolated || r.lostAfter == 0 || now.Sub(a.opened) < crash.IsolationPeriod(r.lostAfter) {
		return
	}
	r.survived()
	r.isolated = false
	r.models.slots.UpdateTerms(a.server, a.id, r.terms(now))
}

// survived tells the fingerprint's home of a run in isolation that went well.
func (r *run) survived() {
	if !r.isolated {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	r.models.crashes.ReportSuccess(ctx, time.Now(), r.fingerprint)
}
