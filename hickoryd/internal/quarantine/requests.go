package quarantine

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// maxRequests is the maximum number of fingerprints of requests that are kept.
	maxRequests = 4096
	// maxPendingRequests is the number of fingerprints that wait to be written to the store.
	// Further ones are not written.
	maxPendingRequests = 1024
	// maxRequestsWritten is the number of fingerprints in one transaction, which has up to three
	// entries for each.
	maxRequestsWritten = 10
	// minWriteDelay is the maximum time for which a host collects failures before it writes them: the
	// requests of a failed server, and the servers of a failure domain, end within a moment.
	// delayPerHost spreads the writes of many hosts, up to maxWriteDelay.
	minWriteDelay = 300 * time.Millisecond
	delayPerHost  = 5 * time.Millisecond
	maxWriteDelay = 1500 * time.Millisecond
)

// IsRefused reports whether requests with a fingerprint are refused at now.
func (q *Quarantine) IsRefused(now time.Time, fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	isRefused := q.requests.Check(now, fingerprint) == crash.Refuse
	if isRefused {
		q.requestsRefused.Inc()
	}
	return isRefused
}

// RecordRequestLoss records at now that a server failed while it ran a request of this host, and
// writes that to the store: a host that has not heard of it, or starts later, finds it there when
// a server fails with the same request once more.
func (q *Quarantine) RecordRequestLoss(now time.Time, fingerprint uint64, failure crash.Failure) {
	q.ReportRequestLoss(now, fingerprint, failure)
	select {
	case q.pendingRequests <- fingerprint:
	default:
		q.logger.WithField("fingerprint", fingerprint).Warn("too many failed requests; one is not written to the store")
	}
}

// ReportRequestLoss receives another host's report that a server failed while it ran a request.
func (q *Quarantine) ReportRequestLoss(now time.Time, fingerprint uint64, failure crash.Failure) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.requests.Record(now, fingerprint, failure)
}

// RecordRequestCompletion records that a server completed a request at now.
func (q *Quarantine) RecordRequestCompletion(now time.Time, fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.requests.RecordCompletion(now, fingerprint)
}

// RunRequestWrites writes the failures of servers with requests to the store until ctx ends. It
// takes up what other hosts have written of the same requests, and writes the refusals that follow.
func (q *Quarantine) RunRequestWrites(ctx context.Context) {
	var lease storeLease
	for ctx.Err() == nil {
		pending := q.awaitRequests(ctx)
		revisions := make(map[string]uint64)
		for len(pending) > 0 && ctx.Err() == nil && !q.writeRequests(ctx, pending, revisions, &lease) {
			_ = timing.Sleep(ctx, retryDelay+rand.N(retryDelay)) // the loop condition checks ctx
		}
	}
}

// awaitRequests returns the fingerprints that wait, at least one unless ctx has ended.
func (q *Quarantine) awaitRequests(ctx context.Context) []uint64 {
	var pending []uint64
	select {
	case <-ctx.Done():
		return nil
	case fingerprint := <-q.pendingRequests:
		pending = append(pending, fingerprint)
	}
	delay := min(max(minWriteDelay, time.Duration(q.registry.HostCount())*delayPerHost), maxWriteDelay)
	_ = timing.Sleep(ctx, rand.N(delay)) // the caller checks ctx
	for len(pending) < maxRequestsWritten {
		select {
		case fingerprint := <-q.pendingRequests:
			pending = append(pending, fingerprint)
		default:
			return pending
		}
	}
	return pending
}

// writeRequests writes the failures with each of the fingerprints, and the refusals that follow
// from them, in one transaction. revisions are those of the keys in the store, which are known
// only after a conflict. It reports whether everything is written.
func (q *Quarantine) writeRequests(ctx context.Context, fingerprints []uint64, revisions map[string]uint64, lease *storeLease) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	const maxConflicts = 3 // other hosts may write at the same time
	for range maxConflicts {
		if !q.renew(ctx, lease) {
			return false
		}
		transaction := q.requestTransaction(time.Now(), fingerprints, revisions, lease.id)
		if len(transaction.Puts) == 0 {
			return true
		}
		_, err := q.store.Commit(ctx, transaction)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return true
		case errors.As(err, &conflict):
			q.mergeRequests(ctx, fingerprints, revisions, conflict.Items)
		default:
			if errors.Is(err, platform.ErrNotFound) {
				lease.id = 0
			}
			q.logger.WithError(err).Debug("failures with requests not written; retrying")
			return false
		}
	}
	return false
}

// requestTransaction returns the transaction that writes what is known of the fingerprints at now.
func (q *Quarantine) requestTransaction(now time.Time, fingerprints []uint64, revisions map[string]uint64, lease uint64) platform.Transaction {
	var transaction platform.Transaction
	put := func(item platform.Item, err error) {
		if err != nil {
			q.logger.WithError(err).Error("can't encode failures with requests for the store")
			return
		}
		transaction.Puts = append(transaction.Puts, platform.Put{Key: item.Key, Value: item.Value, Lease: lease})
	}
	isWritten := make(map[uint64]bool)
	for _, fingerprint := range fingerprints {
		q.mu.Lock()
		failures := q.requests.Failures(now, fingerprint)
		isRefused := q.requests.Check(now, fingerprint) == crash.Refuse
		q.mu.Unlock()
		if len(failures) == 0 || isWritten[fingerprint] {
			continue
		}
		isWritten[fingerprint] = true
		key := platform.RequestFailuresKey(fingerprint)
		transaction.Conditions = append(transaction.Conditions, platform.Condition{Key: key, Revision: revisions[key]})
		put(platform.EncodeRequestFailures(platform.RequestFailures{Fingerprint: fingerprint, Failures: failures}))
		if isRefused {
			newest := failures[len(failures)-1]
			q.logger.WithFields(log.Fields{"fingerprint": fingerprint, "failures": len(failures), "newest": newest.Server}).Warn("a request crashes backend servers; refusing it")
			put(platform.EncodeRequestRefusal(platform.RequestRefusal{Fingerprint: fingerprint, At: newest.At}))
		}
	}
	return transaction
}

// mergeRequests adds the failures that the store has, and their revisions.
func (q *Quarantine) mergeRequests(ctx context.Context, fingerprints []uint64, revisions map[string]uint64, items []platform.Item) {
	if len(items) == 0 {
		items = q.readRequests(ctx, fingerprints)
	}
	clear(revisions) // a key that is not among the items does not exist
	now := time.Now()
	for _, item := range items {
		revisions[item.Key] = item.ModRevision
		found, err := platform.DecodeRequestFailures(item)
		if err != nil {
			q.logger.WithError(err).Warn("can't decode failures with requests; replacing them")
			continue
		}
		for _, failure := range found.Failures {
			q.mu.Lock()
			q.requests.Merge(now, found.Fingerprint, failure)
			q.mu.Unlock()
		}
	}
}

// readRequests reads the failures with each of the fingerprints, for a store that states no items
// with a conflict.
func (q *Quarantine) readRequests(ctx context.Context, fingerprints []uint64) []platform.Item {
	var items []platform.Item
	for _, fingerprint := range fingerprints {
		page, err := q.store.Get(ctx, platform.RequestFailuresKey(fingerprint))
		if err == nil {
			items = append(items, page.Items...)
		}
	}
	return items
}

// applyRequestRefusal applies the refusal of a request from the store.
func (q *Quarantine) applyRequestRefusal(now time.Time, item platform.Item) {
	refusal, err := platform.DecodeRequestRefusal(item)
	if err != nil {
		q.logger.WithError(err).Warn("can't decode the refusal of a request; ignoring it")
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.requests.Refuse(now.Add(-ageOf(now, refusal.At)), refusal.Fingerprint)
}
