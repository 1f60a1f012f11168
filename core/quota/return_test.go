package quota_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/quota"
)

// TestBoundHoldsAfterFailures guards against units of requests that waited for longer than a window
// without having run, and that hosts use again beside what homes grant then.
func TestBoundHoldsAfterFailures(t *testing.T) {
	for _, hosts := range []int{7, 75} {
		for _, after := range []time.Duration{time.Second / 2, 3 * time.Second / 2, 9 * time.Second} {
			for _, load := range []float64{0.5, 0.9, 3} {
				t.Run(fmt.Sprintf("%d hosts, after %v, load %v", hosts, after, load), func(t *testing.T) {
					t.Parallel()
					w := large(0.9)
					w.failsAfter = after
					s := newSimulation(1, hosts, w)
					s.run(40*time.Second, func(second int) {
						w.load, w.failures = load, 1
						if second >= 20 {
							w.load, w.failures = 3, 0
						}
					})
					most := w.most(start)
					t.Logf("at most %.3f of what is allowed", most/allowed(w.limit))
					if most > allowed(w.limit) {
						t.Errorf("%.0f units in %v, allowed %.0f", most, bounds.Window, allowed(w.limit))
					}
				})
			}
		}
	}
}

// TestOldUnitsAreNotUsedAgain guards against units that a host keeps although they were granted
// long ago: they add to what the homes grant in the present window.
func TestOldUnitsAreNotUsedAgain(t *testing.T) {
	ask := quota.Ask{Workspace: "w", Version: 1, Limit: large(1).limit, Units: 100}
	home := netip.MustParseAddrPort("127.0.0.2:1")
	for _, tt := range []struct {
		age  time.Duration
		want quota.Step
	}{{time.Second, quota.Admit}, {9 * time.Second, quota.AskHomes}} {
		r := quota.NewRequester(netip.AddrPort{}, bounds, start, rand.New(rand.NewPCG(1, 2)))
		r.Begin(start, ask, []netip.AddrPort{home})
		r.Grant(start, ask, home, 150)
		r.Return(start, start.Add(-tt.age), ask.Workspace, ask.Units)
		if d := r.Begin(start, ask, []netip.AddrPort{home}); d.Step != tt.want {
			t.Errorf("units granted %v ago: step %v, want %v", tt.age, d.Step, tt.want)
		}
	}
}
