package retrybudget_test

import (
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/retrybudget"
)

var start = time.Unix(1000, 0)

func TestTake(t *testing.T) {
	terms := retrybudget.Limits{Ratio: 0.2, Slack: 70}
	tests := []struct {
		name     string
		requests int
		hosts    int
		after    time.Duration
		want     int
	}{
		{name: "slack is shared by the hosts", hosts: 7, want: 8},
		{name: "a host that knows no other has all of it", hosts: 0, want: 56},
		{name: "requests add their ratio", requests: 100, hosts: 7, want: 24},
		{name: "requests leave the window", requests: 100, hosts: 7, after: retrybudget.Window + time.Second, want: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := retrybudget.New(start, terms)
			for range tt.requests {
				b.RecordRequest(start)
			}
			now := start.Add(tt.after)
			got := 0
			for b.Allow(now, tt.hosts) {
				got++
			}
			if got != tt.want {
				t.Errorf("%d repeats were allowed, want %d", got, tt.want)
			}
		})
	}
}

// In no window of ten seconds may all hosts together send more than the budget,
// whenever they start to repeat.
func TestNoWindowExceedsTheBudget(t *testing.T) {
	const hosts = 7
	terms := retrybudget.Limits{Ratio: 0.2, Slack: 54}
	var repeats []time.Duration
	requests := 0
	shares := make([]*retrybudget.Budget, hosts)
	for i := range shares {
		shares[i] = retrybudget.New(start, terms)
	}
	for step := range 600 {
		at := time.Duration(step) * 50 * time.Millisecond
		for i, b := range shares {
			if step%10 == i {
				b.RecordRequest(start.Add(at))
				requests++
			}
			for b.Allow(start.Add(at), hosts) {
				repeats = append(repeats, at)
			}
		}
	}
	perWindow := float64(requests) / 30 * 10
	allowed := terms.Ratio*perWindow + terms.Slack
	for i, first := range repeats {
		count := 0
		for _, at := range repeats[i:] {
			if at-first < retrybudget.Window {
				count++
			}
		}
		if float64(count) > allowed {
			t.Fatalf("%d repeats in the window from %v, allowed %.0f", count, first, allowed)
		}
	}
}

func TestSpendBeyondTheBudgetIsOwed(t *testing.T) {
	b := retrybudget.New(start, retrybudget.Limits{Slack: 10})
	for range 9 {
		b.RecordRetry(start)
	}
	if b.CanRetry(start, 1) {
		t.Error("a budget that was overspent allows a repeat")
	}
	if !b.CanRetry(start.Add(retrybudget.Window+time.Second), 1) {
		t.Error("a budget allows nothing after its window")
	}
}
