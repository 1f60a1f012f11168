package capacitywait_test

import (
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/capacitywait"
)

var start = time.Unix(1000, 0)

// isYielding reports whether a decision lets requests that are on time go first.
func isYielding(decision capacitywait.Decision) bool {
	return decision.Pause >= 100*time.Millisecond && decision.Headroom >= 0.5
}

// TestDecide checks that, under a burst, late requests do not take the memory
// that requests on time need, and do not search without end.
func TestDecide(t *testing.T) {
	first := capacitywait.Request{FirstArrived: start, Arrived: start, Deadline: start.Add(14 * time.Second), LatencyTarget: 900 * time.Millisecond}
	retry := first
	retry.Arrived = start.Add(3 * time.Second)
	streaming := first
	streaming.IsStreaming = true
	tests := []struct {
		name          string
		request       capacitywait.Request
		after         time.Duration
		isRefused     bool
		isToldToRetry bool
		mustYield     bool // searches less often than a request that is on time
		minRetryAfter time.Duration
	}{
		{name: "a request on time searches", request: first, after: 300 * time.Millisecond},
		{name: "a late first attempt is told to retry", request: first, after: 700 * time.Millisecond, isRefused: true, isToldToRetry: true, minRetryAfter: time.Second},
		{name: "a late retry yields to requests on time", request: retry, after: 3100 * time.Millisecond, mustYield: true},
		{name: "its last search leaves no headroom", request: retry, after: 5200 * time.Millisecond},
		{name: "a retry that has waited too long is refused", request: retry, after: 6 * time.Second, isRefused: true},
		{name: "a stream that has begun searches on", request: streaming, after: 5 * time.Second},
		{name: "a stream that has begun is refused after its deadline", request: streaming, after: 15 * time.Second, isRefused: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := capacitywait.Decide(start.Add(tt.after), tt.request)
			if got.IsRefused != tt.isRefused || (got.RetryAfter > 0) != tt.isToldToRetry || isYielding(got) != tt.mustYield {
				t.Errorf("decision %+v", got)
			}
			if left := tt.request.Deadline.Sub(start.Add(tt.after)); tt.isToldToRetry && (got.RetryAfter < tt.minRetryAfter || got.RetryAfter > left/3) {
				t.Errorf("told to retry after %v, with %v left", got.RetryAfter, left)
			}
			if !got.IsRefused && got.Pause <= 0 {
				t.Error("searches without a pause")
			}
		})
	}
}
