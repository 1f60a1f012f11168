package callerretry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/callerretry"
)

const timeout = 14 * time.Second

// TestObserve guards against first attempts that count as retries, and retries
// that count as first attempts. Both happen if the estimate of the timeout is
// wrong. In the cases, the callers' timeouts are equal or vary by 15 %, some
// callers retry after a refusal, and a few have much longer timeouts.
func TestObserve(t *testing.T) {
	tests := []struct {
		name   string
		spread float64
		// retried is the part of requests that are retries.
		retried float64
		// longTimeouts is the part of callers with four times the timeout.
		longTimeouts float64
	}{
		{name: "equal timeouts"},
		{name: "equal timeouts, some retries", retried: 0.3},
		{name: "equal timeouts, half are retries", retried: 0.5},
		{name: "varying timeouts", spread: 0.15},
		{name: "varying timeouts, some retries", spread: 0.15, retried: 0.3},
		{name: "a few long timeouts", longTimeouts: 0.03, retried: 0.2},
		{name: "a few long timeouts, the others vary", spread: 0.15, longTimeouts: 0.03},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			e := callerretry.New()
			wrong := 0
			const requests = 2000
			for range requests {
				own := time.Duration(float64(timeout) * (1 - tt.spread*random.Float64()))
				if random.Float64() < tt.longTimeouts {
					own *= 4
				}
				elapsed := time.Duration(0)
				if random.Float64() < tt.retried {
					elapsed = 2700*time.Millisecond + time.Duration(random.Float64()*2.5*float64(time.Second))
				}
				got := e.Observe(own - elapsed - time.Duration(random.IntN(20))*time.Millisecond)
				if (got > 0) != (elapsed > 0) && own <= timeout {
					wrong++
				}
			}
			if wrong > requests/50 {
				t.Errorf("%d of %d requests misclassified", wrong, requests)
			}
		})
	}
}

func TestObserveReturnsElapsedTime(t *testing.T) {
	e := callerretry.New()
	for range 20 {
		e.Observe(timeout)
	}
	if got := e.Observe(timeout - 3*time.Second); got != 3*time.Second {
		t.Errorf("first attempt %v ago, want 3s", got)
	}
	if got := e.Observe(0); got != 0 {
		t.Errorf("first attempt %v ago for a caller that states no time left, want 0", got)
	}
}

// TestNoRetriesBeforeEnoughSamples checks that no request counts as a retry
// until there are enough samples. With few samples the estimated timeout may
// come from a single caller.
func TestNoRetriesBeforeEnoughSamples(t *testing.T) {
	e := callerretry.New()
	for _, left := range []time.Duration{timeout, timeout / 2, timeout / 3} {
		if got := e.Observe(left); got != 0 {
			t.Errorf("with %v left and too few samples: first attempt %v ago, want 0", left, got)
		}
	}
}
