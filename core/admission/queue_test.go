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

func ticket(id, workspace string, deferrable bool, at time.Time) admission.Entry {
	return admission.Entry{
		ID: id, Workspace: workspace, Share: 1, Deferrable: deferrable, Cost: 1, ArrivedAt: at,
		AgeAfter: 5 * time.Second, Deadline: at.Add(time.Minute),
	}
}

func offer(t interface{ Fatal(...any) }, q *admission.Queue, now time.Time, tickets ...admission.Entry) {
	for _, ticket := range tickets {
		if err := q.Offer(now, ticket); err != nil {
			t.Fatal(err)
		}
	}
}

func takeHead(q *admission.Queue, now time.Time) string {
	head, ok := q.Head(now)
	if !ok {
		return ""
	}
	q.Dequeue(now, head.ID)
	return head.ID
}

func TestInteractiveGoesFirst(t *testing.T) {
	q := admission.NewQueue(10)
	offer(t, q, start, ticket("brief", "a", true, start), ticket("ping", "a", false, start.Add(time.Millisecond)))
	if got := takeHead(q, start); got != "ping" {
		t.Errorf("first is %q, want ping", got)
	}
	if got := takeHead(q, start); got != "brief" {
		t.Errorf("second is %q, want brief", got)
	}
}

// A deferrable request is served although interactive ones never end.
func TestAgeingNeverStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admission.NewQueue(1000)
		offer(t, q, start, ticket("old", "a", true, start))
		perStep := rapid.IntRange(1, 4).Draw(t, "interactive requests per step")
		now := start
		for step := range 1000 {
			now = now.Add(100 * time.Millisecond)
			for i := range perStep {
				offer(t, q, now, ticket(fmt.Sprintf("ping-%d-%d", step, i), "b", false, now))
			}
			for range perStep {
				if takeHead(q, now) == "old" {
					if waited := now.Sub(start); waited > 6*time.Second {
						t.Fatalf("served after %v", waited)
					}
					return
				}
			}
		}
		t.Fatal("never served")
	})
}

// While two workspaces have requests waiting, each gets its share of the cost
// served, within the cost of one request of each.
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
				x := ticket(fmt.Sprintf("%s-%d", workspace, i), workspace, false, start)
				x.Share = share
				x.Cost = float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
				costs[x.ID] = x.Cost
				offer(t, q, start, x)
			}
		}
		served := map[string]float64{}
		for range 100 {
			id := takeHead(q, start)
			served[id[:1]] += costs[id]
			difference := served["a"]/shares["a"] - served["b"]/shares["b"]
			if bound := maxCost/shares["a"] + maxCost/shares["b"]; difference > bound || -difference > bound {
				t.Fatalf("served %v with shares %v: %v apart, at most %v allowed", served, shares, difference, bound)
			}
		}
	})
}

// What can't be started before its deadline is refused when it arrives, with a
// time after which the backlog has fallen.
func TestRefusesAtOnce(t *testing.T) {
	q := admission.NewQueue(1000)
	now := start
	for i := range 40 {
		offer(t, q, now, ticket(fmt.Sprint(i), "a", true, now))
	}
	for range 10 { // two each second
		now = now.Add(500 * time.Millisecond)
		takeHead(q, now)
	}
	late := ticket("late", "a", true, now)
	late.Deadline = now.Add(2 * time.Second)
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

// Refused callers are not all told the same time.
func TestRetryAfterSpreads(t *testing.T) {
	q := admission.NewQueue(1)
	offer(t, q, start, ticket("first", "a", true, start))
	var before time.Duration
	for i := range 5 {
		var refused *admission.Refusal
		if err := q.Offer(start, ticket(fmt.Sprint(i), "a", true, start)); !errors.As(err, &refused) || !errors.Is(err, admission.ErrQueueFull) {
			t.Fatalf("got %v, want ErrQueueFull", err)
		}
		if refused.RetryAfter < before || refused.RetryAfter < time.Second {
			t.Errorf("caller %d may return after %v, the one before after %v", i, refused.RetryAfter, before)
		}
		before = refused.RetryAfter
	}
}

func TestExpireReturnsWhatIsTooLate(t *testing.T) {
	q := admission.NewQueue(10)
	offer(t, q, start, ticket("a", "a", true, start), ticket("b", "a", false, start.Add(time.Minute)))
	expired := q.Expire(start.Add(61 * time.Second))
	if len(expired) != 1 || expired[0].ID != "a" {
		t.Fatalf("expired %v, want a", expired)
	}
	if q.Len() != 1 {
		t.Errorf("%d tickets wait, want 1", q.Len())
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
