package callerretry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/callerretry"
)

const whole = 14 * time.Second

// The callers of a deployment have equal patience or patience that is spread
// over 15 %, and some of them come back after a refusal.
func TestSpent(t *testing.T) {
	tests := []struct {
		name   string
		spread float64
		// returned is the part of requests whose caller has come back.
		returned float64
		// patient is the part of callers that wait for four times as long.
		patient float64
	}{
		{name: "equal callers"},
		{name: "equal callers, some come back", returned: 0.3},
		{name: "equal callers, half of them come back", returned: 0.5},
		{name: "callers of different patience", spread: 0.15},
		{name: "callers of different patience, some come back", spread: 0.15, returned: 0.3},
		{name: "a few wait for much longer", patient: 0.03, returned: 0.2},
		{name: "a few wait for much longer, the others differ", spread: 0.15, patient: 0.03},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			e := callerretry.New()
			wrong := 0
			const requests = 2000
			for range requests {
				own := time.Duration(float64(whole) * (1 - tt.spread*random.Float64()))
				if random.Float64() < tt.patient {
					own *= 4
				}
				spent := time.Duration(0)
				if random.Float64() < tt.returned {
					spent = 2700*time.Millisecond + time.Duration(random.Float64()*2.5*float64(time.Second))
				}
				got := e.Observe(own - spent - time.Duration(random.IntN(20))*time.Millisecond)
				if (got > 0) != (spent > 0) && own <= whole {
					wrong++
				}
			}
			if wrong > requests/50 {
				t.Errorf("%d of %d requests misjudged", wrong, requests)
			}
		})
	}
}

func TestSpentSaysHowLongAgo(t *testing.T) {
	e := callerretry.New()
	for range 20 {
		e.Observe(whole)
	}
	if got := e.Observe(whole - 3*time.Second); got != 3*time.Second {
		t.Errorf("asked %v ago", got)
	}
	if got := e.Observe(0); got != 0 {
		t.Errorf("a caller that says nothing asked %v ago", got)
	}
}

func TestFirstRequestsAreFirst(t *testing.T) {
	e := callerretry.New()
	for _, left := range []time.Duration{whole, whole / 2, whole / 3} {
		if got := e.Observe(left); got != 0 {
			t.Errorf("with %v left, before anything is known: asked %v ago", left, got)
		}
	}
}
