package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/admission"
)

// maxWaitingPerModel bounds the requests that wait for one model at one daemon.
const maxWaitingPerModel = 4096

type (
	// waitQueues holds the waiting requests of each model. It is safe for
	// concurrent use.
	waitQueues struct {
		mu      sync.Mutex
		byModel map[string]*waitQueue
		costs   *admission.CostModel
		refused *metrics.Counter
	}

	// waitQueue holds the waiting requests of one model. Each request waits in
	// its own goroutine and is notified when it becomes the head of its class.
	waitQueue struct {
		owner            *waitQueues
		entries          *admission.Queue
		wake             map[string]chan struct{} // by entry ID
		deferrableMayTry bool                     // no server took the first interactive entry at its last attempt
	}
)

func newWaitQueues(set *metrics.Set) *waitQueues {
	w := &waitQueues{
		byModel: map[string]*waitQueue{},
		costs:   admission.NewCostModel(),
		refused: set.NewCounter(`hickoryfront_admissions_refused_total`),
	}
	set.NewGauge(`hickoryfront_requests_waiting`, func() float64 { return float64(w.len()) })
	return w
}

func (w *waitQueues) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for _, queue := range w.byModel {
		total += queue.entries.Len()
	}
	return total
}

// cost predicts how long a request of a service holds a slot, in seconds.
func (w *waitQueues) cost(service string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.costs.Cost(service)
}

// observe updates the prediction for a service with the time that a request
// held its slot.
func (w *waitQueues) observe(service string, held time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.costs.Observe(service, held)
}

// enqueue adds an entry to the queue of its model. The error is an
// *admission.Refusal. A retry was admitted before and is never refused.
func (w *waitQueues) enqueue(now time.Time, model string, e admission.Entry, isRetry bool) (*waitQueue, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queueFor(model)
	if isRetry {
		queue.entries.Reinsert(now, e)
	} else if err := queue.entries.Offer(now, e); err != nil {
		w.refused.Inc()
		return nil, err
	}
	queue.wake[e.ID] = make(chan struct{}, 1)
	return queue, nil
}

func (w *waitQueues) queueFor(model string) *waitQueue {
	if existing, ok := w.byModel[model]; ok {
		return existing
	}
	created := &waitQueue{owner: w, entries: admission.NewQueue(maxWaitingPerModel), wake: map[string]chan struct{}{}}
	w.byModel[model] = created
	return created
}

// isTurn reports whether an entry may try to reserve: it must be the head of
// its class. A deferrable head waits until the first interactive entry has
// tried, unless it is the head of the entire queue.
func (q *waitQueue) isTurn(now time.Time, e admission.Entry) bool {
	q.owner.mu.Lock()
	defer q.owner.mu.Unlock()
	first, ok := q.entries.HeadOf(now, e.Deferrable)
	if !ok || first.ID != e.ID {
		return false
	}
	if head, ok := q.entries.Head(now); !e.Deferrable || ok && head.ID == e.ID {
		return true
	}
	deferrableMayTry := q.deferrableMayTry
	q.deferrableMayTry = false
	return deferrableMayTry
}

// letDeferrableTry lets the first deferrable entry try to reserve, after no
// server took the interactive entry e. It does nothing if e is deferrable.
func (q *waitQueue) letDeferrableTry(now time.Time, e admission.Entry) {
	if e.Deferrable {
		return
	}
	q.owner.mu.Lock()
	defer q.owner.mu.Unlock()
	q.deferrableMayTry = true
	if first, ok := q.entries.HeadOf(now, true); ok {
		q.notify(first.ID)
	}
}

// dequeue removes an entry that got its servers.
func (q *waitQueue) dequeue(now time.Time, e admission.Entry) {
	q.owner.mu.Lock()
	defer q.owner.mu.Unlock()
	q.entries.Dequeue(now, e.ID)
	delete(q.wake, e.ID)
	q.notifyHeads(now)
}

// remove removes an entry that got no servers.
func (q *waitQueue) remove(now time.Time, e admission.Entry) {
	q.owner.mu.Lock()
	defer q.owner.mu.Unlock()
	q.entries.Remove(e.ID)
	delete(q.wake, e.ID)
	q.notifyHeads(now)
}

// retryAfter is the time after which the caller of an entry that got no servers
// may retry.
func (q *waitQueue) retryAfter(now time.Time, e admission.Entry) time.Duration {
	q.owner.mu.Lock()
	defer q.owner.mu.Unlock()
	return q.entries.RetryAfter(now, e)
}

// notifyHeads notifies the head of each class. The caller holds mu.
func (q *waitQueue) notifyHeads(now time.Time) {
	for _, deferrable := range []bool{false, true} {
		if first, ok := q.entries.HeadOf(now, deferrable); ok {
			q.notify(first.ID)
		}
	}
}

// notify notifies one request. The caller holds mu.
func (q *waitQueue) notify(id string) {
	select {
	case q.wake[id] <- struct{}{}:
	default:
	}
}

// notifySlotReleased notifies the heads of a model's queue that a slot may have
// become free.
func (w *waitQueues) notifySlotReleased(now time.Time, model string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if queue, ok := w.byModel[model]; ok {
		queue.notifyHeads(now)
	}
}

// pollInterval is the time after which an entry checks again whether it is its
// turn if it is not notified.
func (q *waitQueue) pollInterval(now time.Time, e admission.Entry) time.Duration {
	q.owner.mu.Lock()
	defer q.owner.mu.Unlock()
	head, ok := q.entries.Head(now)
	if !e.Deferrable {
		head, ok = q.entries.HeadOf(now, false)
	}
	if ok && head.ID == e.ID {
		return slotPollInterval
	}
	return turnCheckInterval
}

// wait returns when the entry is notified, at its deadline, or after one poll
// interval.
func (q *waitQueue) wait(ctx context.Context, now time.Time, e admission.Entry) error {
	q.owner.mu.Lock()
	wake := q.wake[e.ID]
	q.owner.mu.Unlock()
	timeout := min(max(time.Millisecond, e.StartDeadline.Sub(now)), q.pollInterval(now, e))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wake:
	case <-timer.C:
	}
	return nil
}
