package retrybudget_test

import (
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/retrybudget"
)

var start = time.Unix(1000, 0)

func TestAllow(t *testing.T) {
	limits := retrybudget.Limits{Ratio: 0.2, Slack: 70}
	tests := []struct {
		name     string
		requests int
		hosts    int
		after    time.Duration
		want     int
	}{
		{name: "hosts share the slack", hosts: 7, want: 8},
		{name: "a host that knows no others has all of the slack", hosts: 0, want: 56},
		{name: "requests add their ratio", requests: 100, hosts: 7, want: 24},
		{name: "requests leave the window", requests: 100, hosts: 7, after: retrybudget.Window + time.Second, want: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := retrybudget.New(start, limits)
			for range tt.requests {
				b.RecordRequest(start)
			}
			now := start.Add(tt.after)
			got := 0
			for b.Allow(now, tt.hosts) {
				got++
			}
			if got != tt.want {
				t.Errorf("%d retries allowed, want %d", got, tt.want)
			}
		})
	}
}

// TestNoWindowExceedsTheBudget checks that all hosts together do not exceed the
// budget in any window of ten seconds, whenever they start to retry. Each host
// counts for itself and in buckets of time, so their shares could add up to
// more.
func TestNoWindowExceedsTheBudget(t *testing.T) {
	const hosts = 7
	limits := retrybudget.Limits{Ratio: 0.2, Slack: 54}
	var retries []time.Duration
	requests := 0
	shares := make([]*retrybudget.Budget, hosts)
	for i := range shares {
		shares[i] = retrybudget.New(start, limits)
	}
	for step := range 600 {
		at := time.Duration(step) * 50 * time.Millisecond
		for i, b := range shares {
			if step%10 == i {
				b.RecordRequest(start.Add(at))
				requests++
			}
			for b.Allow(start.Add(at), hosts) {
				retries = append(retries, at)
			}
		}
	}
	perWindow := float64(requests) / 30 * 10
	allowed := limits.Ratio*perWindow + limits.Slack
	for i, first := range retries {
		count := 0
		for _, at := range retries[i:] {
			if at-first < retrybudget.Window {
				count++
			}
		}
		if float64(count) > allowed {
			t.Fatalf("%d retries in the window from %v, allowed %.0f", count, first, allowed)
		}
	}
}

// TestReturnRetry checks that a retry that was not sent may be taken again, and that the
// return of one that has left the window adds nothing to the budget.
func TestReturnRetry(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		want  int
	}{
		{name: "returned at once", want: 1},
		{name: "returned later", after: 700 * time.Millisecond, want: 1},
		{name: "returned at the end of the window", after: retrybudget.Window - time.Second, want: 1},
		{name: "returned after the window", after: retrybudget.Window + time.Second, want: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := retrybudget.New(start, retrybudget.Limits{Slack: 10})
			for b.Allow(start, 1) {
			}
			now := start.Add(tt.after)
			b.CanRetry(now, 1)
			b.ReturnRetry(start)
			got := 0
			for b.Allow(now, 1) {
				got++
			}
			if got != tt.want {
				t.Errorf("%d retries allowed after the return, want %d", got, tt.want)
			}
		})
	}
}

// TestRecordRetryBeyondTheBudget exceeds the budget by RecordRetry, which
// counts retries that are sent without a check. Further retries must then be
// denied until the window has passed, and no longer.
func TestRecordRetryBeyondTheBudget(t *testing.T) {
	b := retrybudget.New(start, retrybudget.Limits{Slack: 10})
	for range 9 {
		b.RecordRetry(start)
	}
	if b.CanRetry(start, 1) {
		t.Error("an exceeded budget allows a retry")
	}
	if !b.CanRetry(start.Add(retrybudget.Window+time.Second), 1) {
		t.Error("a budget allows no retry after the window in which it was exceeded")
	}
}
