package capacitywait_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/capacitywait"
)

// loadOf returns a load of three kinds of the given number of requests per second each. A tenth of the
// most urgent are three times as large as the others. The servers have room for about 19 of each.
func loadOf(hosts int, perSecond float64, isRanked bool) load {
	return load{hosts: hosts, isRanked: isRanked, kinds: []kind{
		{priority: 0, target: 800 * time.Millisecond, perSecond: perSecond, tokens: 2000, largeTokens: 6000},
		{priority: 1, target: time.Second, perSecond: perSecond, tokens: 2000},
		{priority: 2, target: 2 * time.Second, perSecond: perSecond, tokens: 2000},
	}}
}

// log logs the shares of each kind, as in docs/design/workspaces-and-load.md.
func log(t *testing.T, l load, shares []share) {
	t.Helper()
	for i, s := range shares {
		t.Logf("| %d | %.0f | %t | %d | %.2f | %.2f | %.2f | %.1f |", l.hosts, l.kinds[i].perSecond, l.isRanked, i, s.served, s.value, s.large, s.calls)
	}
}

// TestKindsInABurst guards against a kind that is served less, or earns less of its value, than a less
// urgent one with a longer target, against large requests that find no memory beside small ones, and
// against a least urgent kind that starves. The load is a burst of 1.6 and 2.1 times what fits, at
// hosts that each have few requests.
func TestKindsInABurst(t *testing.T) {
	for _, tt := range []struct {
		hosts     int
		perSecond float64
	}{{8, 40}, {75, 40}, {300, 30}, {300, 40}} {
		t.Run(fmt.Sprintf("%d hosts, %.0f a second", tt.hosts, tt.perSecond), func(t *testing.T) {
			if unranked := loadOf(tt.hosts, tt.perSecond, false); testing.Verbose() {
				log(t, unranked, unranked.run(1)) // for the comparison
			}
			ranked := loadOf(tt.hosts, tt.perSecond, true)
			shares := ranked.run(1)
			log(t, ranked, shares)
			all := (shares[0].served + shares[1].served + shares[2].served) / 3
			for i, s := range shares {
				for j, less := range shares[i+1:] {
					if s.served < less.served-0.05 || s.value < 0.85*less.value {
						t.Errorf("kind %d is served %.2f and earns %.2f, kind %d %.2f and %.2f", i, s.served, s.value, i+1+j, less.served, less.value)
					}
				}
				if s.served < all/4 {
					t.Errorf("kind %d is served %.2f, all %.2f", i, s.served, all)
				}
			}
			if shares[0].large < shares[0].served/2 {
				t.Errorf("large requests are served %.2f, their kind %.2f", shares[0].large, shares[0].served)
			}
		})
	}
}

// TestCalm guards against calls that ranked requests cost while memory is free.
func TestCalm(t *testing.T) {
	for _, hosts := range []int{8, 300} {
		before, after := loadOf(hosts, 10, false).run(1), loadOf(hosts, 10, true).run(1)
		if !slices.Equal(before, after) {
			t.Errorf("%d hosts: without ranks %+v, with ranks %+v", hosts, before, after)
		}
	}
}

// TestScarcityEnds guards against headroom that prolongs the scarcity for which it is left: after a
// burst, one grant that leaves headroom must count for the kinds that it was left for.
func TestScarcityEnds(t *testing.T) {
	c := &capacitywait.Contention{}
	for priority := range 2 {
		c.Observe(start, priority, 100)
	}
	for range 20 {
		c.RecordRejection(start, 0, 100)
	}
	if !c.IsScarce(start) || c.Yield(start, 1) != 100 || c.Yield(start, 0) != 0 {
		t.Errorf("scarce %t, the less urgent kind yields %d tokens and the urgent one %d; want true, 100 and 0", c.IsScarce(start), c.Yield(start, 1), c.Yield(start, 0))
	}
	for range 5 {
		c.RecordGrant(start, 1, 100, 100)
	}
	if c.IsScarce(start) {
		t.Error("memory is scarce after five servers had room for two requests")
	}
}

// TestRankedRetryAfter guards against refused callers of a less urgent kind that return before those
// of a more urgent one, and take the memory that becomes free.
func TestRankedRetryAfter(t *testing.T) {
	var latest time.Duration
	for _, rank := range []float64{0, 0.5, 1} {
		for _, jitter := range []float64{0, 1} {
			got := capacitywait.Decide(start.Add(3*time.Second), capacitywait.Request{
				FirstArrived: start, Arrived: start, Deadline: start.Add(17 * time.Second), LatencyTarget: time.Second, IsRanked: true, Rank: rank, Jitter: jitter,
			})
			if !got.IsRefused || got.RetryAfter <= 0 || got.RetryAfter < latest {
				t.Errorf("rank %v, jitter %v: %+v, after %v", rank, jitter, got, latest)
			}
			latest = got.RetryAfter
		}
	}
}

// TestLine guards against a request that searches before a more urgent one of the same host, or before
// one whose caller returns, and against a first request that finds nothing and stops all others.
func TestLine(t *testing.T) {
	places := []*capacitywait.Place{
		{Priority: 2, IsStreaming: true},
		{Priority: 0, Target: start.Add(time.Second)},
		{Priority: 1, IsReturn: true, Target: start.Add(2 * time.Second)},
		{Priority: 1, Target: start},
		{Priority: 1, Target: start.Add(time.Second)},
	}
	line := &capacitywait.Line{}
	for _, i := range []int{3, 0, 4, 2, 1} {
		line.Join(places[i])
	}
	for i, first := range places {
		taken := make([]int, len(places))
		for range 4 {
			for j := i; j < len(places); j++ {
				if line.TakeTurn(places[j]) {
					taken[j]++
				}
			}
		}
		want := slices.Repeat([]int{1}, len(places))
		want[i] = 4
		if diff := cmp.Diff(want[i:], taken[i:]); diff != "" {
			t.Errorf("searches of four turns from place %d (-want +got):\n%s", i, diff)
		}
		line.Leave(first)
	}
}
