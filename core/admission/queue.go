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
	// minRetryAfter is the shortest time after which a refused caller may retry.
	minRetryAfter = time.Second
	// maxRetryAfter bounds every predicted wait and every retry time. It is the
	// predicted wait while nothing drains at all.
	maxRetryAfter = 5 * time.Minute
	// maxBooking bounds the time that is booked for one refused caller, so that a
	// stall does not delay all later callers by minutes.
	maxBooking = 2 * time.Second
	// agedTurnInterval gives every second turn to an aged deferrable entry while
	// interactive ones wait.
	agedTurnInterval = 2
	// defaultShare is the weight of a workspace without a share of its own.
	defaultShare = 1
)

var (
	// ErrOverloaded means that the request would wait beyond its deadline.
	ErrOverloaded = errors.New("predicted wait is over the limit")
	// ErrQueueFull means that the queue holds its maximum number of requests.
	ErrQueueFull = errors.New("waiting queue is full")
)

type (
	// Entry is one request that waits for servers.
	Entry struct {
		ID            string
		Workspace     string
		Share         float64 // weight of the workspace
		Deferrable    bool
		Cost          float64 // predicted slot time in seconds
		ArrivedAt     time.Time
		AgeAfter      time.Duration // wait after which a deferrable entry takes turns with interactive ones
		StartDeadline time.Time     // latest start
	}

	// Refusal is the error for an entry that is not accepted.
	Refusal struct {
		Reason     error
		Predicted  time.Duration // predicted wait
		RetryAfter time.Duration
	}

	// Queue orders the waiting requests of one model at one daemon. It is not
	// safe for concurrent use.
	Queue struct {
		limit       int
		interactive classQueue
		deferrable  classQueue
		arrivals    []*item // deferrable entries in order of arrival
		byID        map[string]*item
		turns       int
		drain       drainRate // of both classes
	}

	// classQueue holds the entries of one class in order of their start tags. It
	// is a start-time fair queue between workspaces.
	classQueue struct {
		heap        itemHeap
		virtualTime float64
		finishTags  map[string]float64 // last finish tag, by workspace
		cost        float64            // of all entries
		bookedUntil time.Time          // end of the time booked for refused callers
		drain       drainRate
	}

	item struct {
		entry     Entry
		startTag  float64
		index     int // in the heap
		isRemoved bool
	}

	itemHeap []*item

	// drainRate measures the cost that leaves a queue per second of busy time.
	drainRate struct {
		rate      float64
		updatedAt time.Time
		observed  float64 // share of drainWindow that was observed, 0 to 1
	}
)

// IsAged reports whether a deferrable entry has waited so long that it takes
// turns with interactive ones.
func (e Entry) IsAged(now time.Time) bool {
	return e.Deferrable && e.AgeAfter > 0 && now.Sub(e.ArrivedAt) >= e.AgeAfter
}

// Error implements error.
func (r *Refusal) Error() string {
	return r.Reason.Error()
}

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error {
	return r.Reason
}

// NewQueue returns an empty queue of at most limit entries.
func NewQueue(limit int) *Queue {
	return &Queue{
		limit:       max(1, limit),
		interactive: classQueue{finishTags: map[string]float64{}},
		deferrable:  classQueue{finishTags: map[string]float64{}},
		byID:        map[string]*item{},
	}
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int {
	return len(q.byID)
}

// Offer adds an entry, or refuses it at once with a *Refusal.
func (q *Queue) Offer(now time.Time, e Entry) error {
	if _, ok := q.byID[e.ID]; ok {
		return nil
	}
	predicted := q.PredictWait(now, e.Deferrable)
	allowed := e.StartDeadline.Sub(now)
	if predicted > allowed {
		return &Refusal{Reason: ErrOverloaded, Predicted: predicted, RetryAfter: q.bookRetry(now, e, predicted-allowed)}
	}
	if len(q.byID) >= q.limit {
		return &Refusal{Reason: ErrQueueFull, Predicted: predicted, RetryAfter: q.bookRetry(now, e, predicted)}
	}
	q.insert(now, e)
	return nil
}

func (q *Queue) insert(now time.Time, e Entry) {
	if e.Share <= 0 {
		e.Share = defaultShare
	}
	if len(q.byID) == 0 {
		q.drain.skipIdle(now)
	}
	added := q.class(e.Deferrable).push(now, e)
	q.byID[e.ID] = added
	if e.Deferrable {
		q.arrivals = append(q.arrivals, added)
	}
}

// Reinsert adds an entry that was dequeued before, for example after its server
// failed. It never refuses the entry.
func (q *Queue) Reinsert(now time.Time, e Entry) {
	if _, ok := q.byID[e.ID]; !ok {
		q.insert(now, e)
	}
}

// RetryAfter returns the time after which the caller of an entry whose deadline
// has passed may retry.
func (q *Queue) RetryAfter(now time.Time, e Entry) time.Duration {
	return q.bookRetry(now, e, q.PredictWait(now, e.Deferrable)-e.StartDeadline.Sub(e.ArrivedAt))
}

// bookRetry books for a refused caller the first time that is neither taken by
// the backlog nor booked for another caller, so that refused callers don't all
// retry at once.
func (q *Queue) bookRetry(now time.Time, e Entry, excess time.Duration) time.Duration {
	c := q.class(e.Deferrable)
	start := now.Add(max(0, excess))
	if c.bookedUntil.After(start) {
		start = c.bookedUntil
	}
	c.bookedUntil = start.Add(min(maxBooking, q.drainOf(e.Deferrable).timeFor(now, e.Cost)))
	return clampRetryAfter(start.Sub(now))
}

// PredictWait returns the wait of a new entry of a class. Interactive entries
// take precedence and so drain at the rate of both classes; deferrable entries
// drain at the rate that is left.
func (q *Queue) PredictWait(now time.Time, deferrable bool) time.Duration {
	return q.drainOf(deferrable).timeFor(now, q.class(deferrable).cost)
}

func (q *Queue) drainOf(deferrable bool) *drainRate {
	if deferrable {
		return &q.deferrable.drain
	}
	return &q.drain
}

// Head returns the entry whose turn it is. The entry stays in the queue until
// Dequeue or Remove.
func (q *Queue) Head(now time.Time) (Entry, bool) {
	aged := q.oldestAged(now)
	switch {
	case aged != nil && (q.interactive.empty() || q.turns%agedTurnInterval == agedTurnInterval-1):
		return aged.entry, true
	case !q.interactive.empty():
		return q.interactive.heap[0].entry, true
	case !q.deferrable.empty():
		return q.deferrable.heap[0].entry, true
	}
	return Entry{}, false
}

// HeadOf returns the entry whose turn it is within one class.
func (q *Queue) HeadOf(now time.Time, deferrable bool) (Entry, bool) {
	if aged := q.oldestAged(now); deferrable && aged != nil {
		return aged.entry, true
	}
	c := q.class(deferrable)
	if c.empty() {
		return Entry{}, false
	}
	return c.heap[0].entry, true
}

// Dequeue removes an entry that was placed on servers.
func (q *Queue) Dequeue(now time.Time, id string) {
	x, ok := q.byID[id]
	if !ok {
		return
	}
	q.turns++
	c := q.class(x.entry.Deferrable)
	c.virtualTime = max(c.virtualTime, x.startTag)
	c.drain.add(now, x.entry.Cost)
	q.drain.add(now, x.entry.Cost)
	q.remove(x)
}

// Remove removes an entry that is not to be placed, for example because its
// caller has disconnected.
func (q *Queue) Remove(id string) {
	if x, ok := q.byID[id]; ok {
		q.remove(x)
	}
}

// Expire removes and returns the entries whose deadline has passed, so that
// they are refused at once.
func (q *Queue) Expire(now time.Time) []Entry {
	var expired []Entry
	for _, c := range []*classQueue{&q.interactive, &q.deferrable} {
		for _, x := range append(itemHeap(nil), c.heap...) {
			if now.After(x.entry.StartDeadline) {
				expired = append(expired, x.entry)
				q.remove(x)
			}
		}
	}
	return expired
}

func (q *Queue) class(deferrable bool) *classQueue {
	if deferrable {
		return &q.deferrable
	}
	return &q.interactive
}

func (q *Queue) remove(x *item) {
	x.isRemoved = true
	delete(q.byID, x.entry.ID)
	q.class(x.entry.Deferrable).remove(x)
}

// oldestAged returns the oldest deferrable entry if it has aged, or nil.
func (q *Queue) oldestAged(now time.Time) *item {
	for len(q.arrivals) > 0 && q.arrivals[0].isRemoved {
		q.arrivals = q.arrivals[1:]
	}
	if len(q.arrivals) == 0 {
		return nil
	}
	oldest := q.arrivals[0]
	if !oldest.entry.IsAged(now) {
		return nil
	}
	return oldest
}

func (c *classQueue) empty() bool {
	return len(c.heap) == 0
}

func (c *classQueue) push(now time.Time, e Entry) *item {
	if c.empty() {
		c.drain.skipIdle(now)
		c.cost = 0
		clear(c.finishTags)
		c.virtualTime = 0
	}
	startTag := max(c.virtualTime, c.finishTags[e.Workspace])
	c.finishTags[e.Workspace] = startTag + e.Cost/e.Share
	x := &item{entry: e, startTag: startTag}
	heap.Push(&c.heap, x)
	c.cost += e.Cost
	return x
}

func (c *classQueue) remove(x *item) {
	heap.Remove(&c.heap, x.index)
	c.cost -= x.entry.Cost
}

// skipIdle leaves out the time until now, in which the queue was empty.
func (d *drainRate) skipIdle(now time.Time) {
	d.updatedAt = now
}

func (d *drainRate) add(now time.Time, cost float64) {
	decay := math.Exp(-max(0, now.Sub(d.updatedAt).Seconds()) / drainWindow.Seconds())
	d.rate = d.rate*decay + cost/drainWindow.Seconds()
	d.observed = d.observed*decay + 1 - decay
	d.updatedAt = now
}

// timeFor predicts how long a cost takes to drain. It returns 0 while too little
// was observed.
func (d *drainRate) timeFor(now time.Time, cost float64) time.Duration {
	const minObserved = 0.1
	if d.observed < minObserved || cost <= 0 {
		return 0
	}
	decay := math.Exp(-max(0, now.Sub(d.updatedAt).Seconds()) / drainWindow.Seconds())
	weight := d.observed*decay + 1 - decay
	rate := d.rate * decay / weight
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration(cost/rate*float64(time.Second)))
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// Len implements heap.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].entry.ArrivedAt.Before(h[j].entry.ArrivedAt)
}

// Swap implements heap.Interface.
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(element any) {
	x := element.(*item)
	x.index = len(*h)
	*h = append(*h, x)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
