package draining_test

import (
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/draining"
)

func TestCanFinish(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name          string
		deadline, end time.Duration // from now
		isStream      bool
		isLate        bool // it arrives when the host is out of rotation
		want          bool
	}{
		{name: "a call whose deadline is before the end", deadline: time.Second, end: 2 * time.Second, want: true},
		{name: "a call whose deadline is at the end", deadline: time.Second, end: time.Second},
		{name: "a call with a long deadline", deadline: time.Minute, end: 30 * time.Second},
		{name: "a stream of typical length", deadline: time.Minute, end: 6 * time.Second, isStream: true, want: true},
		{name: "a stream that would be cut", deadline: time.Minute, end: 5 * time.Second, isStream: true},
		{name: "a stream with a short deadline", deadline: time.Second, end: 2 * time.Second, isStream: true, want: true},
		{name: "a late stream that may last longer than a typical one", deadline: time.Minute, end: 6 * time.Second, isStream: true, isLate: true},
		{name: "a late stream with a short deadline", deadline: time.Second, end: 2 * time.Second, isStream: true, isLate: true, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stop := draining.Stop{OutOfRotation: now.Add(time.Millisecond), End: now.Add(tt.end)}
			if tt.isLate {
				stop.OutOfRotation = now
			}
			if got := stop.CanFinish(now, now, now.Add(tt.deadline), tt.isStream); got != tt.want {
				t.Errorf("can finish: %t, want %t", got, tt.want)
			}
		})
	}
	if stop := (draining.Stop{End: now.Add(time.Second)}); !stop.LastAnswers().Before(stop.End) {
		t.Error("the last answers have no time to reach their callers")
	}
}
