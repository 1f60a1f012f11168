package home

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
)

const (
	auditCheckInterval = 500 * time.Millisecond
	auditTimeout       = 2 * time.Second
	// confirmedLifetime is how long a reservation stays valid after its holder has
	// confirmed it in an audit.
	confirmedLifetime = 10 * time.Minute
)

type (
	// RequestLister lists the requests that an engine runs.
	RequestLister interface {
		Requests(ctx context.Context, address netip.AddrPort) ([]engine.RequestInfo, error)
	}

	// Holders queries daemons for the attempts that they still hold.
	Holders interface {
		Confirm(ctx context.Context, now time.Time, query slot.AuditQuery) map[string]slot.AuditResult
	}

	// Auditor compares the requests that the engines run with the reservations
	// of the ledger. It adds the reservations that a new home does not have yet,
	// removes reservations without a holder, and cancels running attempts that no
	// daemon holds.
	Auditor struct {
		slots   *Slots
		engines RequestLister
		holders Holders
		failed  *metrics.Counter
		orphans *metrics.Counter

		lastAudits map[string]time.Time // by server
	}

	serverAudit struct {
		auditor *Auditor
		server  backend.Server
	}
)

// NewAuditor returns an auditor of the decode servers whose home is this daemon.
func NewAuditor(slots *Slots, engines RequestLister, holders Holders, set *metrics.Set) *Auditor {
	return &Auditor{
		slots: slots, engines: engines, holders: holders,
		failed:     set.NewCounter(`hickoryfront_audits_total{result="failed"}`),
		orphans:    set.NewCounter(`hickoryfront_orphans_cancelled_total`),
		lastAudits: map[string]time.Time{},
	}
}

// Run audits until ctx ends.
func (a *Auditor) Run(ctx context.Context) {
	ticker := time.NewTicker(auditCheckInterval)
	defer ticker.Stop()
	for {
		a.Audit(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Audit runs the audits that are due at now.
func (a *Auditor) Audit(ctx context.Context, now time.Time) {
	tracked := a.slots.tracked()
	a.removeUntracked(tracked)
	var group sync.WaitGroup
	for _, server := range tracked {
		if server.Role != backend.RoleDecode || !a.isDue(now, server.ID) {
			continue
		}
		a.lastAudits[server.ID] = now
		audit := serverAudit{auditor: a, server: server}
		group.Go(func() { audit.run(ctx) })
	}
	group.Wait()
}

// isDue reports whether an audit of the server is due. A server that has not been
// audited by this home is due at once.
func (a *Auditor) isDue(now time.Time, serverID string) bool {
	last, ok := a.lastAudits[serverID]
	return !ok || now.Sub(last) >= a.slots.auditInterval(now, serverID)
}

func (a *Auditor) removeUntracked(tracked []backend.Server) {
	kept := make(map[string]time.Time, len(tracked))
	for _, server := range tracked {
		if last, ok := a.lastAudits[server.ID]; ok {
			kept[server.ID] = last
		}
	}
	a.lastAudits = kept
}

func (s serverAudit) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	listed, err := s.auditor.engines.Requests(ctx, s.server.Address)
	if err != nil {
		s.auditor.failed.Inc()
		return
	}
	running := make([]string, 0, len(listed))
	for _, r := range listed {
		running = append(running, r.RequestID)
	}
	now := time.Now()
	for _, query := range s.auditor.slots.audit(now, s.server.ID, running) {
		for id, result := range s.auditor.holders.Confirm(ctx, now, query) {
			if s.auditor.slots.applyAuditResult(time.Now(), s.server, id, result) {
				s.auditor.orphans.Inc()
			}
		}
	}
}
