package admission

import (
	"container/heap"
	"errors"
	"math"
	"time"
)

const (
	// drainWindow is the busy time over which the drain rate is averaged.
	drainWindow = 5 * time.Second
	// minRetryAfter is the least time after which a refused caller may return.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the advice when nothing drains at all.
	maxRetryAfter = 5 * time.Minute
	// maxBooking bounds the time promised to one refused caller, so that a
	// standstill does not put all later ones off for minutes.
	maxBooking = 2 * time.Second
	// agedTurn lets every second turn go to an aged deferrable request while
	// interactive ones wait.
	agedTurn = 2
	// defaultShare is the weight of a workspace without a share of its own.
	defaultShare = 1
)

var (
	// ErrOverloaded means that the request would wait longer than it may.
	ErrOverloaded = errors.New("predicted wait is over the limit")
	// ErrQueueFull means that the queue holds as many requests as it may.
	ErrQueueFull = errors.New("waiting queue is full")
)

type (
	// Entry is one request that waits for servers.
	Entry struct {
		ID         string
		Workspace  string
		Share      float64 // weight of the workspace
		Deferrable bool
		Cost       float64 // predicted slot time in seconds
		ArrivedAt  time.Time
		AgeAfter   time.Duration // wait after which a deferrable request takes turns with interactive ones
		Deadline   time.Time     // latest start
	}

	// Refusal says why a ticket is not taken and when to come back.
	Refusal struct {
		Reason     error
		Predicted  time.Duration
		RetryAfter time.Duration
	}

	// Queue orders the waiting requests of one model at one daemon. It is not
	// safe for concurrent use.
	Queue struct {
		limit       int
		interactive lane
		deferrable  lane
		arrivals    []*item // deferrable tickets in order of arrival
		byID        map[string]*item
		turn        int
		drained     drain // of both classes
	}

	// lane holds the tickets of one class by their start tags: start-time fair
	// queueing between workspaces.
	lane struct {
		heap    itemHeap
		virtual float64
		finish  map[string]float64 // last finish tag, by workspace
		cost    float64            // of all tickets
		booked  time.Time          // end of the time promised to refused callers
		drained drain
	}

	item struct {
		ticket Entry
		start  float64
		index  int
		gone   bool
	}

	itemHeap []*item

	// drain measures the cost that leaves a lane per second of busy time.
	drain struct {
		rate float64
		at   time.Time
		seen float64 // cost so far, up to a window's worth of evidence
	}
)

// IsAged reports whether a deferrable ticket has waited so long that it takes
// turns with interactive ones.
func (t Entry) IsAged(now time.Time) bool {
	return t.Deferrable && t.AgeAfter > 0 && now.Sub(t.ArrivedAt) >= t.AgeAfter
}

// Error implements error.
func (r *Refusal) Error() string {
	return r.Reason.Error()
}

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error {
	return r.Reason
}

// NewQueue returns an empty queue of at most limit tickets.
func NewQueue(limit int) *Queue {
	return &Queue{
		limit:       max(1, limit),
		interactive: lane{finish: map[string]float64{}},
		deferrable:  lane{finish: map[string]float64{}},
		byID:        map[string]*item{},
	}
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int {
	return len(q.byID)
}

// Offer takes a ticket in or refuses it at once with a *Refusal.
func (q *Queue) Offer(now time.Time, t Entry) error {
	if _, ok := q.byID[t.ID]; ok {
		return nil
	}
	predicted := q.PredictWait(now, t.Deferrable)
	allowed := t.Deadline.Sub(now)
	if predicted > allowed {
		return &Refusal{Reason: ErrOverloaded, Predicted: predicted, RetryAfter: q.book(now, t, predicted-allowed)}
	}
	if len(q.byID) >= q.limit {
		return &Refusal{Reason: ErrQueueFull, Predicted: predicted, RetryAfter: q.book(now, t, predicted)}
	}
	q.put(now, t)
	return nil
}

func (q *Queue) put(now time.Time, t Entry) {
	if t.Share <= 0 {
		t.Share = defaultShare
	}
	if len(q.byID) == 0 {
		q.drained.idle(now)
	}
	e := q.lane(t.Deferrable).push(now, t)
	q.byID[t.ID] = e
	if t.Deferrable {
		q.arrivals = append(q.arrivals, e)
	}
}

// Reinsert takes a ticket back in that had its turn before, such as after its
// server died. It is never refused.
func (q *Queue) Reinsert(now time.Time, t Entry) {
	if _, ok := q.byID[t.ID]; !ok {
		q.put(now, t)
	}
}

// RetryAfter returns the time after which a ticket whose deadline has passed may
// come back.
func (q *Queue) RetryAfter(now time.Time, t Entry) time.Duration {
	return q.book(now, t, q.PredictWait(now, t.Deferrable)-t.Deadline.Sub(t.ArrivedAt))
}

// book promises a refused caller the first time that is neither taken by the
// backlog nor promised to another, so that refused callers don't all come back
// at once.
func (q *Queue) book(now time.Time, t Entry, over time.Duration) time.Duration {
	l := q.lane(t.Deferrable)
	start := now.Add(max(0, over))
	if l.booked.After(start) {
		start = l.booked
	}
	l.booked = start.Add(min(maxBooking, q.drainOf(t.Deferrable).time(now, t.Cost)))
	return clampRetryAfter(start.Sub(now))
}

// PredictWait returns the wait that a new ticket of a class has before it.
// Interactive tickets go first and so drain at the rate of both classes;
// deferrable ones get what is left.
func (q *Queue) PredictWait(now time.Time, deferrable bool) time.Duration {
	return q.drainOf(deferrable).time(now, q.lane(deferrable).cost)
}

func (q *Queue) drainOf(deferrable bool) *drain {
	if deferrable {
		return &q.deferrable.drained
	}
	return &q.drained
}

// Head returns the ticket whose turn it is. It stays in the queue until Take or
// Remove.
func (q *Queue) Head(now time.Time) (Entry, bool) {
	aged := q.aged(now)
	switch {
	case aged != nil && (q.interactive.empty() || q.turn%agedTurn == agedTurn-1):
		return aged.ticket, true
	case !q.interactive.empty():
		return q.interactive.heap[0].ticket, true
	case !q.deferrable.empty():
		return q.deferrable.heap[0].ticket, true
	}
	return Entry{}, false
}

// HeadOf returns the ticket whose turn it is within one class.
func (q *Queue) HeadOf(now time.Time, deferrable bool) (Entry, bool) {
	if aged := q.aged(now); deferrable && aged != nil {
		return aged.ticket, true
	}
	l := q.lane(deferrable)
	if l.empty() {
		return Entry{}, false
	}
	return l.heap[0].ticket, true
}

// Dequeue removes a ticket that got its servers.
func (q *Queue) Dequeue(now time.Time, id string) {
	e, ok := q.byID[id]
	if !ok {
		return
	}
	q.turn++
	l := q.lane(e.ticket.Deferrable)
	l.virtual = max(l.virtual, e.start)
	l.drained.add(now, e.ticket.Cost)
	q.drained.add(now, e.ticket.Cost)
	q.remove(e)
}

// Remove drops a ticket whose caller is gone.
func (q *Queue) Remove(id string) {
	if e, ok := q.byID[id]; ok {
		q.remove(e)
	}
}

// Expire removes and returns the tickets whose deadline has passed, so that
// they are refused at once.
func (q *Queue) Expire(now time.Time) []Entry {
	var expired []Entry
	for _, l := range []*lane{&q.interactive, &q.deferrable} {
		for _, e := range append(itemHeap(nil), l.heap...) {
			if now.After(e.ticket.Deadline) {
				expired = append(expired, e.ticket)
				q.remove(e)
			}
		}
	}
	return expired
}

func (q *Queue) lane(deferrable bool) *lane {
	if deferrable {
		return &q.deferrable
	}
	return &q.interactive
}

func (q *Queue) remove(e *item) {
	e.gone = true
	delete(q.byID, e.ticket.ID)
	q.lane(e.ticket.Deferrable).remove(e)
}

// aged returns the oldest deferrable ticket if it has waited long enough.
func (q *Queue) aged(now time.Time) *item {
	for len(q.arrivals) > 0 && q.arrivals[0].gone {
		q.arrivals = q.arrivals[1:]
	}
	if len(q.arrivals) == 0 {
		return nil
	}
	oldest := q.arrivals[0]
	if !oldest.ticket.IsAged(now) {
		return nil
	}
	return oldest
}

func (l *lane) empty() bool {
	return len(l.heap) == 0
}

func (l *lane) push(now time.Time, t Entry) *item {
	if l.empty() {
		l.drained.idle(now)
		l.cost = 0
		clear(l.finish)
		l.virtual = 0
	}
	start := max(l.virtual, l.finish[t.Workspace])
	l.finish[t.Workspace] = start + t.Cost/t.Share
	e := &item{ticket: t, start: start}
	heap.Push(&l.heap, e)
	l.cost += t.Cost
	return e
}

func (l *lane) remove(e *item) {
	heap.Remove(&l.heap, e.index)
	l.cost -= e.ticket.Cost
}

// idle marks that the lane was empty until now: idle time does not count.
func (d *drain) idle(now time.Time) {
	d.at = now
}

func (d *drain) add(now time.Time, cost float64) {
	decay := math.Exp(-max(0, now.Sub(d.at).Seconds()) / drainWindow.Seconds())
	d.rate = d.rate*decay + cost/drainWindow.Seconds()
	d.seen = d.seen*decay + 1 - decay
	d.at = now
}

// time predicts how long a cost takes to drain. Without evidence it is 0.
func (d *drain) time(now time.Time, cost float64) time.Duration {
	const enoughEvidence = 0.1
	if d.seen < enoughEvidence || cost <= 0 {
		return 0
	}
	decay := math.Exp(-max(0, now.Sub(d.at).Seconds()) / drainWindow.Seconds())
	evidence := d.seen*decay + 1 - decay
	rate := d.rate * decay / evidence
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration(cost/rate*float64(time.Second)))
}

func clampRetryAfter(over time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, over))
}

// Len implements heap.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].ticket.ArrivedAt.Before(h[j].ticket.ArrivedAt)
}

// Swap implements heap.Interface.
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	e := x.(*item)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
