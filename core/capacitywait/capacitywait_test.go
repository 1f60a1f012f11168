package capacitywait_test

import (
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/capacitywait"
)

var start = time.Unix(1000, 0)

func isYielding(turn capacitywait.Decision) bool {
	return turn.Pause >= 100*time.Millisecond && turn.Headroom >= 0.5
}

func TestTurnAt(t *testing.T) {
	first := capacitywait.Request{FirstArrived: start, Arrived: start, Deadline: start.Add(14 * time.Second), LatencyTarget: 900 * time.Millisecond}
	returned := first
	returned.Arrived = start.Add(3 * time.Second)
	underWay := first
	underWay.IsStreaming = true
	tests := []struct {
		name         string
		promise      capacitywait.Request
		after        time.Duration
		isOver       bool
		comesBack    bool
		hasToYield   bool // looks less often than a timely one
		shortestBack time.Duration
	}{
		{name: "a timely request looks for room", promise: first, after: 300 * time.Millisecond},
		{name: "one that can't be on time comes back later", promise: first, after: 700 * time.Millisecond, isOver: true, comesBack: true, shortestBack: time.Second},
		{name: "one that came back yields to timely ones", promise: returned, after: 3100 * time.Millisecond, hasToYield: true},
		{name: "its last search leaves nothing to others", promise: returned, after: 5200 * time.Millisecond},
		{name: "one that came back in vain is given up", promise: returned, after: 6 * time.Second, isOver: true},
		{name: "a stream under way goes on looking", promise: underWay, after: 5 * time.Second},
		{name: "but not beyond its deadline", promise: underWay, after: 15 * time.Second, isOver: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := capacitywait.Decide(start.Add(tt.after), tt.promise)
			if got.IsRefused != tt.isOver || (got.RetryAfter > 0) != tt.comesBack || isYielding(got) != tt.hasToYield {
				t.Errorf("turn %+v", got)
			}
			if left := tt.promise.Deadline.Sub(start.Add(tt.after)); tt.comesBack && (got.RetryAfter < tt.shortestBack || got.RetryAfter > left/3) {
				t.Errorf("comes back after %v, with %v left", got.RetryAfter, left)
			}
			if !got.IsRefused && got.Pause <= 0 {
				t.Error("looks for room without a pause")
			}
		})
	}
}
