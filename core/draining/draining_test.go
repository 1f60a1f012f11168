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
		want          bool
	}{
		{name: "a call whose deadline is before the end", deadline: time.Second, end: 2 * time.Second, want: true},
		{name: "a call whose deadline is at the end", deadline: time.Second, end: time.Second},
		{name: "a call with a long deadline", deadline: time.Minute, end: 30 * time.Second},
		{name: "a stream of typical length", deadline: time.Minute, end: 6 * time.Second, isStream: true, want: true},
		{name: "a stream that would be cut", deadline: time.Minute, end: 5 * time.Second, isStream: true},
		{name: "a stream with a short deadline", deadline: time.Second, end: 2 * time.Second, isStream: true, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := draining.CanFinish(now, now.Add(tt.deadline), now.Add(tt.end), tt.isStream); got != tt.want {
				t.Errorf("can finish: %t, want %t", got, tt.want)
			}
		})
	}
	if end := now.Add(time.Second); !draining.LastAnswers(end).Before(end) {
		t.Error("the last answers have no time to reach their callers")
	}
}
