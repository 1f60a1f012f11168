package health_test

import (
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/health"
)

var start = time.Unix(1000, 0)

// TestEjection checks that a failing server is ejected after few results, and
// not because of errors that callers cause themselves. No ejection may last for
// a minute.
func TestEjection(t *testing.T) {
	tests := []struct {
		name    string
		results []health.Result
		want    bool
	}{
		{name: "no result"},
		{name: "one unreachable", results: []health.Result{health.Unreachable}, want: true},
		{name: "one broken response", results: []health.Result{health.Broken}},
		{name: "two broken responses", results: []health.Result{health.Broken, health.Broken}, want: true},
		{name: "errors caused by callers", results: []health.Result{
			health.Failure, health.Success, health.Success, health.Failure, health.Success, health.Success, health.Failure,
		}},
		{name: "four failures", results: []health.Result{health.Failure, health.Failure, health.Failure, health.Failure}, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := health.NewTable()
			for _, r := range tt.results {
				table.Report(start, "a", r)
			}
			if got := table.IsEjected(start, "a"); got != tt.want {
				t.Errorf("ejected %t, want %t", got, tt.want)
			}
			if table.IsEjected(start.Add(time.Minute), "a") {
				t.Error("still ejected after a minute")
			}
		})
	}
}

func TestEjectionsDouble(t *testing.T) {
	table := health.NewTable()
	now := start
	var periods []time.Duration
	for range 5 {
		table.Report(now, "a", health.Unreachable)
		from := now
		for table.IsEjected(now, "a") {
			now = now.Add(100 * time.Millisecond)
		}
		periods = append(periods, now.Sub(from))
	}
	for i, want := range []time.Duration{1, 2, 4, 8, 8} {
		if periods[i] != want*time.Second {
			t.Errorf("ejection %d lasts %v, want %v", i+1, periods[i], want*time.Second)
		}
	}
}

func TestRetainRemoves(t *testing.T) {
	table := health.NewTable()
	table.Report(start, "a", health.Unreachable)
	table.Retain(func(string) bool { return false })
	if table.IsEjected(start, "a") || table.FailureRate("a") != 0 {
		t.Error("a removed server is still in the table")
	}
}
