package claim_test

import (
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/claim"
)

// TestDeaths plays what a daemon sees of one other host, in steps of 100 ms.
//
// proof: daemon paused | claim | 5
func TestDeaths(t *testing.T) {
	const step = 100 * time.Millisecond
	tests := []struct {
		name  string
		awake time.Duration // before the other is seen dead for the first time
		back  time.Duration // seen alive again at this time after that; 0: never
		stall time.Duration // of this process, just before
		after time.Duration
		want  bool
	}{
		{name: "just seen dead", awake: time.Minute},
		{name: "seen dead for long", awake: time.Minute, after: 600 * time.Millisecond, want: true},
		{name: "seen alive in between", awake: time.Minute, back: 400 * time.Millisecond, after: 800 * time.Millisecond},
		{name: "this process has just started", after: time.Second},
		{name: "this process started some time ago", after: 5 * time.Second, want: true},
		{name: "this process was stopped", awake: time.Minute, stall: 10 * time.Second, after: time.Second},
		{name: "this process was stopped some time ago", awake: time.Minute, stall: 10 * time.Second, after: 5 * time.Second, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			deaths := claim.NewFailureDetector()
			now := start
			for range test.awake/step + 1 {
				now = now.Add(step)
				deaths.Tick(now)
			}
			now = now.Add(test.stall)
			dead := false
			for since := time.Duration(0); since <= test.after; since += step {
				deaths.Tick(now)
				dead = deaths.ReportDead(now, "h1")
				if test.back != 0 && since == test.back {
					deaths.ReportAlive("h1")
				}
				now = now.Add(step)
			}
			if dead != test.want {
				t.Errorf("dead %v, want %v", dead, test.want)
			}
		})
	}
}
