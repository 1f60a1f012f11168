package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/admission"
)

// lineLimit bounds the requests that wait for one model at one daemon.
const lineLimit = 4096

type (
	// lines holds the waiting requests of each model. It is safe for concurrent
	// use.
	lines struct {
		mu      sync.Mutex
		byModel map[string]*line
		costs   *admission.CostModel
		refused *metrics.Counter
	}

	// line is the waiting requests of one model. Each request waits in its own
	// goroutine and is woken when its turn comes.
	line struct {
		owner  *lines
		queue  *admission.Queue
		wakeUp map[string]chan struct{} // by ticket
		passed bool                     // no server took the first interactive ticket just now
	}
)

func newLines(set *metrics.Set) *lines {
	l := &lines{
		byModel: map[string]*line{},
		costs:   admission.NewCostModel(),
		refused: set.NewCounter(`hickoryfront_admissions_refused_total`),
	}
	set.NewGauge(`hickoryfront_requests_waiting`, func() float64 { return float64(l.len()) })
	return l
}

func (l *lines) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, line := range l.byModel {
		total += line.queue.Len()
	}
	return total
}

// cost predicts how long a request of a service holds a slot, in seconds.
func (l *lines) cost(service string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.costs.Cost(service)
}

// observe learns how long a request held its slot.
func (l *lines) observe(service string, held time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.costs.Observe(service, held)
}

// join puts a ticket in line. The error is an *admission.Refusal. A request
// that was admitted before is never refused.
func (l *lines) join(now time.Time, model string, t admission.Entry, again bool) (*line, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.of(model)
	if again {
		line.queue.Reinsert(now, t)
	} else if err := line.queue.Offer(now, t); err != nil {
		l.refused.Inc()
		return nil, err
	}
	line.wakeUp[t.ID] = make(chan struct{}, 1)
	return line, nil
}

func (l *lines) of(model string) *line {
	if held, ok := l.byModel[model]; ok {
		return held
	}
	created := &line{owner: l, queue: admission.NewQueue(lineLimit), wakeUp: map[string]chan struct{}{}}
	l.byModel[model] = created
	return created
}

// isTurn reports whether a ticket may try the servers: it is the first of its
// class, and a deferrable one does not try before the first interactive one.
func (q *line) isTurn(now time.Time, t admission.Entry) bool {
	q.owner.mu.Lock()
	defer q.owner.mu.Unlock()
	first, ok := q.queue.HeadOf(now, t.Deferrable)
	if !ok || first.ID != t.ID {
		return false
	}
	if head, ok := q.queue.Head(now); !t.Deferrable || ok && head.ID == t.ID {
		return true
	}
	passed := q.passed
	q.passed = false
	return passed
}

// pass lets the first deferrable ticket try, as no server took the first
// interactive one.
func (q *line) pass(now time.Time, t admission.Entry) {
	if t.Deferrable {
		return
	}
	q.owner.mu.Lock()
	defer q.owner.mu.Unlock()
	q.passed = true
	if first, ok := q.queue.HeadOf(now, true); ok {
		q.wake(first.ID)
	}
}

// take removes a ticket that got its servers.
func (q *line) take(now time.Time, t admission.Entry) {
	q.owner.mu.Lock()
	defer q.owner.mu.Unlock()
	q.queue.Dequeue(now, t.ID)
	delete(q.wakeUp, t.ID)
	q.wakeHeads(now)
}

// leave removes a ticket that goes without servers.
func (q *line) leave(now time.Time, t admission.Entry) {
	q.owner.mu.Lock()
	defer q.owner.mu.Unlock()
	q.queue.Remove(t.ID)
	delete(q.wakeUp, t.ID)
	q.wakeHeads(now)
}

// advice is the time after which a ticket that waited in vain may come back.
func (q *line) advice(now time.Time, t admission.Entry) time.Duration {
	q.owner.mu.Lock()
	defer q.owner.mu.Unlock()
	return q.queue.RetryAfter(now, t)
}

// wakeHeads wakes the requests whose turn it is. The caller holds mu.
func (q *line) wakeHeads(now time.Time) {
	for _, deferrable := range []bool{false, true} {
		if first, ok := q.queue.HeadOf(now, deferrable); ok {
			q.wake(first.ID)
		}
	}
}

// wake wakes one request. The caller holds mu.
func (q *line) wake(id string) {
	select {
	case q.wakeUp[id] <- struct{}{}:
	default:
	}
}

// released wakes the first in line: a slot may have become free.
func (l *lines) released(now time.Time, model string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if line, ok := l.byModel[model]; ok {
		line.wakeHeads(now)
	}
}

// pollInterval is the time after which a ticket looks again whether it is its
// turn, should nobody wake it.
func (q *line) pollInterval(now time.Time, t admission.Entry) time.Duration {
	q.owner.mu.Lock()
	defer q.owner.mu.Unlock()
	head, ok := q.queue.Head(now)
	if !t.Deferrable {
		head, ok = q.queue.HeadOf(now, false)
	}
	if ok && head.ID == t.ID {
		return slotPollInterval
	}
	return turnCheckInterval
}

// wait returns when a ticket is woken, at its deadline, or after one poll
// interval if it is its turn.
func (q *line) wait(ctx context.Context, now time.Time, t admission.Entry) error {
	q.owner.mu.Lock()
	wake := q.wakeUp[t.ID]
	q.owner.mu.Unlock()
	pause := min(max(time.Millisecond, t.Deadline.Sub(now)), q.pollInterval(now, t))
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wake:
	case <-timer.C:
	}
	return nil
}
