package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/placement"
)

var (
	now     = time.Unix(1000, 0)
	options = placement.Options{LinkRate: 6_250_000_000}
)

func candidate(id string, role backend.Role, domain string, load backend.Load) placement.Candidate {
	load.ServerID = id
	load.PrefillRate = 16000
	return placement.Candidate{
		Server: backend.Server{ID: id, Role: role, FailureDomain: domain, State: backend.StateLive, Slots: 20},
		Load:   load,
	}
}

func newReserving() *placement.Reserving {
	return placement.NewReserving(options, rand.New(rand.NewPCG(1, 1)).Float64)
}

func first(servers []backend.Server) string {
	if len(servers) == 0 {
		return ""
	}
	return servers[0].ID
}

func TestReservingChoosesDecode(t *testing.T) {
	used := func(n int) backend.Load { return backend.Load{SlotsUsed: n, SlotsTotal: 20} }
	tests := map[string]struct {
		candidates []placement.Candidate
		want       string
	}{
		"near server among equals": {[]placement.Candidate{
			candidate("far", backend.RoleDecode, "howrah", used(10)), candidate("near", backend.RoleDecode, "salt-lake", used(10)),
		}, "near"},
		"far server when the near one is much fuller": {[]placement.Candidate{
			candidate("far", backend.RoleDecode, "howrah", used(8)), candidate("near", backend.RoleDecode, "salt-lake", used(18)),
		}, "far"},
		"not a leaving server": {[]placement.Candidate{
			candidate("leaving", backend.RoleDecode, "salt-lake", backend.Load{Leaving: true}), candidate("full", backend.RoleDecode, "howrah", used(19)),
		}, "full"},
		"not an unreachable server": {[]placement.Candidate{
			candidate("silent", backend.RoleDecode, "salt-lake", backend.Load{Unreachable: true}), candidate("full", backend.RoleDecode, "howrah", used(19)),
		}, "full"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan := newReserving().Plan(now, placement.Request{FailureDomain: "salt-lake", PromptTokens: 500}, test.candidates)
			if got := first(plan.Decode); got != test.want {
				t.Errorf("first decode server %q, want %q", got, test.want)
			}
		})
	}
}

func TestReservingChoosesPrefill(t *testing.T) {
	backlog := func(d time.Duration) backend.Load { return backend.Load{PrefillBacklog: d} }
	cached := func(d time.Duration) placement.Candidate {
		c := candidate("holder", backend.RolePrefill, "salt-lake", backlog(d))
		c.CachedTokens = 6000
		return c
	}
	idle := candidate("idle", backend.RolePrefill, "salt-lake", backlog(0))
	tests := map[string]struct {
		candidates []placement.Candidate
		want       string
	}{
		"server with the prefix and a short backlog":                  {[]placement.Candidate{idle, cached(200 * time.Millisecond)}, "holder"},
		"idle server when the one with the prefix has a long backlog": {[]placement.Candidate{idle, cached(3 * time.Second)}, "idle"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan := newReserving().Plan(now, placement.Request{FailureDomain: "salt-lake", PromptTokens: 8000, Deferrable: true}, test.candidates)
			if got := first(plan.Prefill); got != test.want {
				t.Errorf("first prefill server %q, want %q", got, test.want)
			}
		})
	}
}

// TestMaxBacklog checks that an interactive request is not queued for a prefill
// that can't meet its first token target. A deferrable request may wait, and
// longer where the cache saves work.
func TestMaxBacklog(t *testing.T) {
	candidates := []placement.Candidate{candidate("p", backend.RolePrefill, "salt-lake", backend.Load{})}
	request := placement.Request{PromptTokens: 16000, FirstTokenDeadline: now.Add(500 * time.Millisecond)}
	if got := newReserving().Plan(now, request, candidates).Work[0].MaxBacklog; got >= 0 {
		t.Errorf("interactive prompt of 1 s with 0.5 s left may queue for %v", got)
	}
	request.FirstTokenDeadline = now.Add(2 * time.Second)
	if got := newReserving().Plan(now, request, candidates).Work[0].MaxBacklog; got <= 0 || got >= time.Second {
		t.Errorf("interactive prompt of 1 s with 2 s left may queue for %v", got)
	}
	request.Deferrable = true
	uncached := newReserving().Plan(now, request, candidates).Work[0].MaxBacklog
	candidates[0].CachedTokens = 12000
	if withCache := newReserving().Plan(now, request, candidates).Work[0].MaxBacklog; uncached <= 0 || withCache <= uncached {
		t.Errorf("deferrable prompt may queue for %v where the cache saves nothing and %v where it does", uncached, withCache)
	}
}

func TestDirectPrompts(t *testing.T) {
	decode := func(gap time.Duration) placement.Candidate {
		return candidate("d", backend.RoleDecode, "salt-lake", backend.Load{TokenGap: gap})
	}
	busy := candidate("p", backend.RolePrefill, "salt-lake", backend.Load{PrefillBacklog: time.Second})
	tests := map[string]struct {
		prompt     int
		deferrable bool
		candidates []placement.Candidate
		want       bool
	}{
		"short prompt": {40, false, []placement.Candidate{decode(20 * time.Millisecond), busy}, true},
		"long prompt":  {500, false, []placement.Candidate{decode(20 * time.Millisecond), busy}, false},
		"short prompt that would exceed the token gap": {40, false, []placement.Candidate{decode(28 * time.Millisecond), busy}, false},
		"interactive without a prefill server":         {500, false, []placement.Candidate{decode(20 * time.Millisecond)}, true},
		"long deferrable without a prefill server":     {500, true, []placement.Candidate{decode(20 * time.Millisecond)}, false},
		"short deferrable without a prefill server":    {40, true, []placement.Candidate{decode(20 * time.Millisecond)}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan := newReserving().Plan(now, placement.Request{
				PromptTokens: test.prompt, DirectPrompt: 64, TokenGapTarget: 29 * time.Millisecond, Deferrable: test.deferrable,
			}, test.candidates)
			if plan.Direct != test.want {
				t.Errorf("direct %v, want %v", plan.Direct, test.want)
			}
		})
	}
}

func TestBaselinesSkipUnavailableServers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	policies := map[string]placement.Policy{
		"random": placement.NewRandom(random), "roundRobin": &placement.RoundRobin{}, "twoChoices": placement.NewTwoChoices(random),
	}
	candidates := []placement.Candidate{
		candidate("leaving", backend.RoleDecode, "salt-lake", backend.Load{Leaving: true}),
		candidate("live", backend.RoleDecode, "salt-lake", backend.Load{}),
	}
	for name, policy := range policies {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				if got := first(policy.Plan(now, placement.Request{}, candidates).Decode); got != "live" {
					t.Fatalf("chose %q, want live", got)
				}
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{33, 64, 1000} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			candidates := make([]placement.Candidate, 0, n)
			for i := range n {
				role := backend.RoleDecode
				if i%3 == 0 {
					role = backend.RolePrefill
				}
				candidates = append(candidates, candidate(fmt.Sprint(i), role, "salt-lake", backend.Load{SlotsUsed: i % 20, SlotsTotal: 20}))
			}
			policy := placement.NewReserving(options, rand.Float64)
			request := placement.Request{FailureDomain: "salt-lake", PromptTokens: 2000, FirstTokenDeadline: now.Add(2 * time.Second)}
			b.ReportAllocs()
			for b.Loop() {
				policy.Plan(now, request, candidates)
			}
		})
	}
}
