package retry_test

import (
	"testing"

	"github.com/hickoryfront/hickoryfront/core/retry"
)

// TestBudget checks that a service gets its burst, then only the retries that its
// first attempts pay for, and that services do not share a bucket.
func TestBudget(t *testing.T) {
	b := retry.NewBudget()
	for i := range retry.Burst {
		if !b.Take("briefs") {
			t.Fatalf("retry %d of the burst is refused", i)
		}
	}
	if b.Take("briefs") {
		t.Error("a retry beyond the burst is allowed")
	}
	if !b.Take("pings") {
		t.Error("a service has used the budget of another")
	}
	for range 3 {
		b.Deposit("briefs", 0.5)
	}
	if !b.Take("briefs") || b.Take("briefs") {
		t.Error("three first attempts at ratio 0.5 must allow exactly one retry")
	}
	for range 1000 {
		b.Deposit("briefs", 1)
	}
	for i := range retry.Burst {
		if !b.Take("briefs") {
			t.Fatalf("retry %d of the refilled burst is refused", i)
		}
	}
	if b.Take("briefs") {
		t.Error("the bucket holds more than its burst")
	}
}
