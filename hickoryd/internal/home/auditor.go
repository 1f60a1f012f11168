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
	auditTick    = 500 * time.Millisecond
	auditTimeout = 2 * time.Second
	// adoptedLifetime is the lease that a confirmed reservation gets.
	adoptedLifetime = 10 * time.Minute
)

type (
	// RequestLister lists what an engine runs.
	RequestLister interface {
		Requests(ctx context.Context, address netip.AddrPort) ([]engine.RequestInfo, error)
	}

	// Holders asks the holders of attempts.
	Holders interface {
		Confirm(ctx context.Context, now time.Time, question slot.AuditQuery) map[string]slot.AuditResult
	}

	// Auditor compares what the engines run with what is reserved: it adopts
	// what a new home does not know yet, drops what nobody holds, and ends
	// what runs for nobody.
	Auditor struct {
		slots   *Slots
		engines RequestLister
		holders Holders
		failed  *metrics.Counter
		orphans *metrics.Counter

		audited map[string]time.Time // by server
	}

	serverAudit struct {
		auditor *Auditor
		server  backend.Server
	}
)

// NewAuditor returns an auditor of the servers whose home is this daemon.
func NewAuditor(slots *Slots, engines RequestLister, holders Holders, set *metrics.Set) *Auditor {
	return &Auditor{
		slots: slots, engines: engines, holders: holders,
		failed:  set.NewCounter(`hickoryfront_audits_total{result="failed"}`),
		orphans: set.NewCounter(`hickoryfront_orphans_cancelled_total`),
		audited: map[string]time.Time{},
	}
}

// Run audits until ctx ends.
func (a *Auditor) Run(ctx context.Context) {
	ticker := time.NewTicker(auditTick)
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
	a.forget(tracked)
	var group sync.WaitGroup
	for _, server := range tracked {
		if server.Role != backend.RoleDecode || !a.isDue(now, server.ID) {
			continue
		}
		a.audited[server.ID] = now
		audit := serverAudit{auditor: a, server: server}
		group.Go(func() { audit.run(ctx) })
	}
	group.Wait()
}

// isDue is true at once for a server that is new here.
func (a *Auditor) isDue(now time.Time, serverID string) bool {
	last, ok := a.audited[serverID]
	return !ok || now.Sub(last) >= a.slots.auditDue(now, serverID)
}

func (a *Auditor) forget(tracked []backend.Server) {
	kept := make(map[string]time.Time, len(tracked))
	for _, server := range tracked {
		if last, ok := a.audited[server.ID]; ok {
			kept[server.ID] = last
		}
	}
	a.audited = kept
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
	for _, question := range s.auditor.slots.audit(now, s.server.ID, running) {
		for id, verdict := range s.auditor.holders.Confirm(ctx, now, question) {
			if s.auditor.slots.judge(time.Now(), s.server, id, verdict) {
				s.auditor.orphans.Inc()
			}
		}
	}
}
