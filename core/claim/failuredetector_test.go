package claim_test

import (
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/claim"
)

// TestFailureDetector replays what a daemon sees of one other host in steps of 100 ms. A
// daemon that has just started, or was paused, must not treat a live host as
// failed.
//
// proof: daemon paused | claim | 5
func TestFailureDetector(t *testing.T) {
	const step = 100 * time.Millisecond
	tests := []struct {
		name       string
		running    time.Duration // time for which this process runs before the other host is first seen as dead
		aliveAgain time.Duration // time after which the other host is seen as alive again; 0: never
		pause      time.Duration // pause of this process just before the other host is first seen as dead
		after      time.Duration // time from then until the last report
		want       bool
	}{
		{name: "just seen dead", running: time.Minute},
		{name: "seen dead for long", running: time.Minute, after: 600 * time.Millisecond, want: true},
		{name: "seen alive in between", running: time.Minute, aliveAgain: 400 * time.Millisecond, after: 800 * time.Millisecond},
		{name: "this process has just started", after: time.Second},
		{name: "this process started some time ago", after: 5 * time.Second, want: true},
		{name: "this process was stopped", running: time.Minute, pause: 10 * time.Second, after: time.Second},
		{name: "this process was stopped some time ago", running: time.Minute, pause: 10 * time.Second, after: 5 * time.Second, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			detector := claim.NewFailureDetector()
			now := start
			for range test.running/step + 1 {
				now = now.Add(step)
				detector.Tick(now)
			}
			now = now.Add(test.pause)
			dead := false
			for since := time.Duration(0); since <= test.after; since += step {
				detector.Tick(now)
				dead = detector.ReportDead(now, "h1")
				if test.aliveAgain != 0 && since == test.aliveAgain {
					detector.ReportAlive("h1")
				}
				now = now.Add(step)
			}
			if dead != test.want {
				t.Errorf("dead %v, want %v", dead, test.want)
			}
		})
	}
}
