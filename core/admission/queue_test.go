package admission_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/admission"
)

var start = time.Unix(1000, 0)

func newEntry(id, workspace string, deferrable bool, at time.Time) admission.Entry {
	return admission.Entry{
		ID: id, Workspace: workspace, Share: 1, Deferrable: deferrable, Cost: 1, ArrivedAt: at,
		AgeAfter: 5 * time.Second, StartDeadline: at.Add(time.Minute),
	}
}

func offer(t interface{ Fatal(...any) }, q *admission.Queue, now time.Time, entries ...admission.Entry) {
	for _, e := range entries {
		if err := q.Offer(now, e); err != nil {
			t.Fatal(err)
		}
	}
}

func dequeueHead(q *admission.Queue, now time.Time) string {
	head, ok := q.Head(now)
	if !ok {
		return ""
	}
	q.Dequeue(now, head.ID)
	return head.ID
}

func TestInteractiveGoesFirst(t *testing.T) {
	q := admission.NewQueue(10)
	offer(t, q, start, newEntry("brief", "a", true, start), newEntry("ping", "a", false, start.Add(time.Millisecond)))
	if got := dequeueHead(q, start); got != "ping" {
		t.Errorf("first is %q, want ping", got)
	}
	if got := dequeueHead(q, start); got != "brief" {
		t.Errorf("second is %q, want brief", got)
	}
}

// TestAgedRequestsDoNotStarve checks that a deferrable request is served within
// a second of its age limit even under a steady stream of interactive requests,
// which have precedence.
func TestAgedRequestsDoNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admission.NewQueue(1000)
		offer(t, q, start, newEntry("old", "a", true, start))
		perStep := rapid.IntRange(1, 4).Draw(t, "interactive requests per step")
		now := start
		for step := range 1000 {
			now = now.Add(100 * time.Millisecond)
			for i := range perStep {
				offer(t, q, now, newEntry(fmt.Sprintf("ping-%d-%d", step, i), "b", false, now))
			}
			for range perStep {
				if dequeueHead(q, now) == "old" {
					if waited := now.Sub(start); waited > 6*time.Second {
						t.Fatalf("served after %v, want at most 6s", waited)
					}
					return
				}
			}
		}
		t.Fatal("never served")
	})
}

// TestFairSharesBound checks that, while two workspaces have requests waiting,
// the cost served for each follows its share, to within the cost of one request
// of each workspace.
func TestFairSharesBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := map[string]float64{
			"a": float64(rapid.IntRange(1, 5).Draw(t, "share of a")),
			"b": float64(rapid.IntRange(1, 5).Draw(t, "share of b")),
		}
		const maxCost = 4
		q := admission.NewQueue(1000)
		costs := map[string]float64{}
		for i := range 200 {
			for workspace, share := range shares {
				e := newEntry(fmt.Sprintf("%s-%d", workspace, i), workspace, false, start)
				e.Share = share
				e.Cost = float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
				costs[e.ID] = e.Cost
				offer(t, q, start, e)
			}
		}
		served := map[string]float64{}
		for range 100 {
			id := dequeueHead(q, start)
			served[id[:1]] += costs[id]
			difference := served["a"]/shares["a"] - served["b"]/shares["b"]
			if bound := maxCost/shares["a"] + maxCost/shares["b"]; difference > bound || -difference > bound {
				t.Fatalf("served %v with shares %v: %v apart, at most %v allowed", served, shares, difference, bound)
			}
		}
	})
}

// TestRefusesOnArrival checks that a request that can't start before its
// deadline is refused on arrival, so that its caller doesn't wait for a request
// that can't be served. The retry time is that by which the backlog has fallen
// far enough.
func TestRefusesOnArrival(t *testing.T) {
	q := admission.NewQueue(1000)
	now := start
	for i := range 40 {
		offer(t, q, now, newEntry(fmt.Sprint(i), "a", true, now))
	}
	for range 10 { // two each second
		now = now.Add(500 * time.Millisecond)
		dequeueHead(q, now)
	}
	late := newEntry("late", "a", true, now)
	late.StartDeadline = now.Add(2 * time.Second)
	err := q.Offer(now, late)
	var refused *admission.Refusal
	if !errors.As(err, &refused) || !errors.Is(err, admission.ErrOverloaded) {
		t.Fatalf("got %v, want ErrOverloaded", err)
	}
	if refused.Predicted < 10*time.Second || refused.Predicted > 25*time.Second {
		t.Errorf("predicted wait of 30 requests at two a second is %v", refused.Predicted)
	}
	if refused.RetryAfter != refused.Predicted-2*time.Second {
		t.Errorf("retry after %v with %v predicted and 2 s allowed", refused.RetryAfter, refused.Predicted)
	}
}

// TestRetryAfterSpreads checks that retry times are booked one after the other,
// so that refused callers don't all retry at once: a later caller never gets an
// earlier time than the one before, and none gets less than a second.
func TestRetryAfterSpreads(t *testing.T) {
	q := admission.NewQueue(1)
	offer(t, q, start, newEntry("first", "a", true, start))
	var before time.Duration
	for i := range 5 {
		var refused *admission.Refusal
		if err := q.Offer(start, newEntry(fmt.Sprint(i), "a", true, start)); !errors.As(err, &refused) || !errors.Is(err, admission.ErrQueueFull) {
			t.Fatalf("got %v, want ErrQueueFull", err)
		}
		if refused.RetryAfter < before || refused.RetryAfter < time.Second {
			t.Errorf("caller %d may retry after %v, the one before after %v", i, refused.RetryAfter, before)
		}
		before = refused.RetryAfter
	}
}

func TestExpireReturnsEntriesPastDeadline(t *testing.T) {
	q := admission.NewQueue(10)
	offer(t, q, start, newEntry("a", "a", true, start), newEntry("b", "a", false, start.Add(time.Minute)))
	expired := q.Expire(start.Add(61 * time.Second))
	if len(expired) != 1 || expired[0].ID != "a" {
		t.Fatalf("expired %v, want a", expired)
	}
	if q.Len() != 1 {
		t.Errorf("%d entries wait, want 1", q.Len())
	}
}

func TestGapModelLimitsBatch(t *testing.T) {
	tests := map[string]struct {
		slope time.Duration
		want  int
	}{
		"newer engine": {840 * time.Microsecond, 20},
		"older engine": {1060 * time.Microsecond, 16},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var m admission.GapModel
			for i := range 500 {
				batch := 5 + i%16
				m.Observe(batch, 12*time.Millisecond+time.Duration(batch-1)*test.slope)
			}
			if got := m.MaxBatch(29*time.Millisecond, 20); got != test.want {
				t.Errorf("batch limit %d, want %d", got, test.want)
			}
		})
	}
	t.Run("without samples", func(t *testing.T) {
		var m admission.GapModel
		if got := m.MaxBatch(29*time.Millisecond, 20); got != 20 {
			t.Errorf("batch limit %d, want 20", got)
		}
	})
}
