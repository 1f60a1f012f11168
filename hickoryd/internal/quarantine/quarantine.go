// Package quarantine keeps requests, and parts of prompts, that crash backend servers away from
// them, on all hosts. Hosts report to each other which requests servers failed on, and write the
// same to the platform's store: it reaches hosts that can't reach each other, and those that start
// later.
package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/platform"
)

type (
	// Peers are the other hosts.
	Peers interface {
		// ReportPartLoss reports a loss to all other hosts.
		ReportPartLoss(ctx context.Context, loss crash.PartLoss)
		// ReportRefusal reports to all other hosts that requests are refused, or not any
		// more.
		ReportRefusal(ctx context.Context, refusal crash.PartRefusal, isLifted bool)
		// FindStarts returns the time since a server last began to answer a request with
		// each of the parts, for those for which another host has one.
		FindStarts(ctx context.Context, service string, parts []string) map[string]time.Duration
	}

	// Registry is the host's copy of the store's contents.
	Registry interface {
		// IsStoreUnreachable reports whether the store does not respond to this host.
		IsStoreUnreachable() bool
		// HostCount returns the number of hosts, or 0 if it is not known.
		HostCount() int
		// FollowedRefusals returns a number that changes with the refusals in the store, as a
		// host that reads them has told this one, and a channel that is closed when it
		// changes. isFollowing is false while this host reads the store itself.
		FollowedRefusals() (refusals uint64, changed <-chan struct{}, isFollowing bool)
		// AwaitRole waits until it is known whether this host reads the store itself, but not
		// longer than limit.
		AwaitRole(ctx context.Context, limit time.Duration)
		// IsFirstStart reports whether no host has run before, so that the store has no
		// refusals when this host starts.
		IsFirstStart() bool
		// NotifyRefusals tells the hosts that follow this one that the refusals have changed.
		NotifyRefusals()
		// List reads all keys with a prefix, and returns the position after which changes
		// may have been missed.
		List(ctx context.Context, prefix string) (items []platform.Item, position serverlist.Position, err error)
	}

	// Quarantine decides which requests are refused. It is safe for concurrent use.
	Quarantine struct {
		// background ends with the process.
		background context.Context
		store      *platform.Store
		peers      Peers
		registry   Registry
		logger     log.Interface
		refused    *metrics.Counter
		writes     chan write
		// refusalsRead is the number that a reader of the store has told for the refusals that
		// were read last. Only RunRefusals uses it.
		refusalsRead uint64

		requestsRefused *metrics.Counter
		// pendingRequests are the fingerprints whose failures wait to be written to the store.
		pendingRequests chan uint64

		mu    sync.Mutex
		table *crash.PartTable
		// requests are the whole requests that servers have failed with.
		requests *crash.Table
	}
)

// New returns an empty quarantine. Its background work ends with the context background.
func New(background context.Context, store *platform.Store, peers Peers, registry Registry, logger log.Interface, set *metrics.Set) *Quarantine {
	q := &Quarantine{
		background: background, store: store, peers: peers, registry: registry, logger: logger, table: crash.NewPartTable(),
		refused: set.NewCounter(`hickoryfront_edge_part_refusals_total`), writes: make(chan write, maxWrites),
		requestsRefused: set.NewCounter(`hickoryfront_edge_request_refusals_total`), requests: crash.NewTable(maxRequests), pendingRequests: make(chan uint64, maxPendingRequests),
	}
	set.NewGauge(`hickoryfront_edge_refused_parts`, func() float64 { return float64(len(q.Refusals(time.Now()))) })
	return q
}

// Check returns when the refusal of a request with the given parts ends. It returns false
// if the request is not refused at now.
func (q *Quarantine) Check(now time.Time, service string, parts []string) (until time.Time, isRefused bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	until, isRefused = q.table.Check(now, service, parts)
	if isRefused {
		q.refused.Inc()
	}
	return until, isRefused
}

// Refusals returns the refusals that are in force at now, with the rest of their duration.
func (q *Quarantine) Refusals(now time.Time) []crash.PartRefusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Refusals(now)
}

// Describe fills in the part of s that concerns refused parts, as of now.
func (q *Quarantine) Describe(now time.Time, s *hoststate.State) {
	for _, refusal := range q.Refusals(now) {
		s.RefusedParts = append(s.RefusedParts, hoststate.RefusedParts{Service: refusal.Service, Parts: refusal.Parts, Until: now.Add(refusal.Duration)})
	}
}

// RecordStart records that a server has begun at now to answer a request with the given
// parts.
func (q *Quarantine) RecordStart(now time.Time, service string, parts []string) {
	q.mu.Lock()
	lifted, narrowed := q.table.RecordStart(now, service, parts)
	q.mu.Unlock()
	for _, refusal := range narrowed {
		go q.runAnnounce(refusal, false)
	}
	for _, refusal := range lifted {
		go q.runAnnounce(refusal, true)
	}
}

// RecordLoss records at now that a server failed before it began to answer a request, and
// reports that to all hosts. It returns when it is decided whether requests are refused.
func (q *Quarantine) RecordLoss(ctx context.Context, now time.Time, loss crash.PartLoss) {
	q.mu.Lock()
	q.table.RecordLoss(now, loss)
	q.mu.Unlock()
	q.peers.ReportPartLoss(q.background, loss)
	q.enqueueLoss(now, loss)
	q.decide(ctx, loss)
}

// ReportPartLoss receives another host's report. The reporting host decides whether
// requests are refused, unless the store does not respond: then losses that are known only
// here may count as well.
func (q *Quarantine) ReportPartLoss(now time.Time, loss crash.PartLoss) {
	q.mu.Lock()
	q.table.RecordLoss(now, loss)
	q.mu.Unlock()
	if q.registry.IsStoreUnreachable() {
		go q.runDecide(loss)
	}
}

// ReportRefusal receives another host's decision.
func (q *Quarantine) ReportRefusal(now time.Time, refusal crash.PartRefusal, isLifted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if isLifted {
		q.table.Lift(refusal)
		return
	}
	q.table.Add(now, refusal)
}

// FindStarts returns the time since a server last began to answer a request with each of
// the parts, as far as this host has seen one.
func (q *Quarantine) FindStarts(now time.Time, service string, parts []string) map[string]time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	ages := make(map[string]time.Duration)
	for _, part := range parts {
		if last, ok := q.table.LastStart(service, part); ok {
			ages[part] = now.Sub(last)
		}
	}
	return ages
}

func (q *Quarantine) runDecide(loss crash.PartLoss) {
	q.decide(q.background, loss)
}

// decide refuses the parts of a lost request if the losses known are cause enough and no
// host has seen that servers can answer them.
func (q *Quarantine) decide(ctx context.Context, loss crash.PartLoss) {
	q.mu.Lock()
	suspects := q.table.Suspects(time.Now(), loss.Service, loss.Parts)
	q.mu.Unlock()
	if suspects == nil {
		return
	}
	ages := q.peers.FindStarts(ctx, loss.Service, suspects)
	refusal, isRefused := q.refuse(time.Now(), loss, ages)
	if !isRefused {
		return
	}
	q.runAnnounce(refusal, false)
}

// refuse takes the starts that other hosts have seen into account and refuses the parts
// that are still suspects.
func (q *Quarantine) refuse(now time.Time, loss crash.PartLoss, ages map[string]time.Duration) (crash.PartRefusal, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for part, age := range ages {
		q.table.RecordStart(now.Add(-age), loss.Service, []string{part})
	}
	suspects := q.table.Suspects(now, loss.Service, loss.Parts)
	if suspects == nil {
		return crash.PartRefusal{}, false
	}
	return q.table.Refuse(now, loss.Service, suspects), true
}

// runAnnounce reports to all hosts that requests are refused, or not any more.
func (q *Quarantine) runAnnounce(refusal crash.PartRefusal, isLifted bool) {
	entry := q.logger.WithFields(log.Fields{"service": refusal.Service, "parts": refusal.Parts, "for": refusal.Duration.String()})
	if isLifted {
		entry.Info("a backend server answers refused prompt parts; refusing them no longer")
	} else {
		entry.Warn("prompt parts crash backend servers; refusing requests with all of them")
	}
	q.peers.ReportRefusal(q.background, refusal, isLifted)
	q.enqueueRefusal(time.Now(), refusal, isLifted)
}
