package backends_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/backends"
)

const ownDomain = "domain-0"

// fixedList is a server list that never changes.
type fixedList []backend.Server

func (l fixedList) Servers(context.Context) ([]backend.Server, []string, error) { return l, nil, nil }

func listOf(servers, domains int) fixedList {
	var l fixedList
	for i := range servers {
		role := backend.RoleDecode
		if i%3 == 0 {
			role = backend.RolePrefill
		}
		l = append(l, backend.Server{
			ID: fmt.Sprintf("server-%d", i), Role: role, Model: "m", State: backend.StateLive, Slots: 20,
			FailureDomain: fmt.Sprintf("domain-%d", i%domains),
		})
	}
	return l
}

func directoryOf(l fixedList) *backends.Directory {
	logger := &log.Logger{Handler: discard.Default, Level: log.ErrorLevel}
	d := backends.New(l, ownDomain, time.Hour, logger, metrics.NewSet())
	ctx, stop := context.WithCancel(context.Background())
	stop()
	d.Run(ctx) // reads the list once
	return d
}

// TestCandidatesAreAllOfASmallPool guards against a small pool that is sampled
// although it could be considered completely.
func TestCandidatesAreAllOfASmallPool(t *testing.T) {
	d := directoryOf(listOf(33, 4))
	seen := map[string]bool{}
	for _, c := range d.Candidates("m") {
		seen[c.Server.ID] = true
	}
	if len(seen) != 33 {
		t.Errorf("got %d of 33 servers as candidates", len(seen))
	}
	if got := d.Candidates("other"); len(got) != 0 {
		t.Errorf("got %d candidates for a model without servers, want 0", len(got))
	}
}

// TestCandidatesOfALargePoolAreBounded guards against placement decisions whose
// cost grows with the number of servers, and against samples without the own
// failure domain.
func TestCandidatesOfALargePoolAreBounded(t *testing.T) {
	d := directoryOf(listOf(12000, 19))
	for range 100 {
		near := map[backend.Role]int{}
		all := map[backend.Role]int{}
		for _, c := range d.Candidates("m") {
			all[c.Server.Role]++
			if c.Server.FailureDomain == ownDomain {
				near[c.Server.Role]++
			}
		}
		for _, role := range []backend.Role{backend.RoleDecode, backend.RolePrefill} {
			if all[role] != 24 || near[role] != 12 {
				t.Fatalf("%s: %d candidates, %d near; want 24 and 12", role, all[role], near[role])
			}
		}
	}
}

// TestCandidatesMarkLeavingServers guards against new work for a server that has
// reported that it is leaving while the list still shows it as live.
func TestCandidatesMarkLeavingServers(t *testing.T) {
	d := directoryOf(listOf(3, 1))
	d.SetLeaving("server-1")
	for _, c := range d.Candidates("m") {
		if leaving := c.Server.State == backend.StateLeaving; leaving != (c.Server.ID == "server-1") {
			t.Errorf("%s leaving: %v", c.Server.ID, leaving)
		}
	}
}

// TestRestartClearsLeaving guards against a restarted server that gets no more
// work because its earlier incarnation was leaving.
func TestRestartClearsLeaving(t *testing.T) {
	d := directoryOf(listOf(1, 1))
	now := time.Unix(1000, 0)
	observe := func(seconds int, incarnation string, leaving bool) backend.State {
		d.ObserveLoad(backend.Load{ServerID: "server-0", ObservedAt: now.Add(time.Duration(seconds) * time.Second), Incarnation: incarnation, Leaving: leaving})
		server, _ := d.Lookup("server-0")
		return server.State
	}
	steps := []struct {
		incarnation string
		leaving     bool
		want        backend.State
	}{
		{"1", false, backend.StateLive},
		{"1", true, backend.StateLeaving},
		{"1", false, backend.StateLeaving},
		{"2", false, backend.StateLive},
		{"2", true, backend.StateLeaving},
	}
	for i, step := range steps {
		if got := observe(i, step.incarnation, step.leaving); got != step.want {
			t.Errorf("step %d: %s, want %s", i, got, step.want)
		}
	}
}

// BenchmarkDecision measures one placement decision: Candidates and the plan of
// the policy.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{33, 1000, 12000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			d := directoryOf(listOf(servers, 19))
			policy := placement.NewReserving(placement.Options{}, rand.Float64)
			request := placement.Request{FailureDomain: ownDomain, PromptTokens: 2000}
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for b.Loop() {
				policy.Plan(now, request, d.Candidates("m"))
			}
		})
	}
}

// TestVersionFollowsTheServers guards against callers that miss a leaving server:
// the version changes exactly when the result of Servers changes.
func TestVersionFollowsTheServers(t *testing.T) {
	const id = "server-1"
	load := func(at int64, incarnation string, leaving bool) backend.Load {
		return backend.Load{ServerID: id, ObservedAt: time.Unix(at, 0), Incarnation: incarnation, Leaving: leaving}
	}
	d := directoryOf(listOf(3, 1))
	steps := []struct {
		name    string
		step    func()
		changes bool
	}{
		{"load report", func() { d.ObserveLoad(load(1, "a", false)) }, false},
		{"server reports that it is leaving", func() { d.SetLeaving(id) }, true},
		{"server reports it again", func() { d.SetLeaving(id) }, false},
		{"new incarnation of the server", func() { d.ObserveLoad(load(2, "b", false)) }, true},
		{"load report of a leaving server", func() { d.ObserveLoad(load(3, "b", true)) }, true},
		{"older load report", func() { d.ObserveLoad(load(2, "c", false)) }, false},
	}
	for _, s := range steps {
		version, state := d.Version(), stateOf(d, id)
		s.step()
		changed := stateOf(d, id) != state
		if changed != s.changes || (d.Version() != version) != s.changes {
			t.Errorf("%s: servers changed %v, version changed %v, want %v", s.name, changed, d.Version() != version, s.changes)
		}
	}
}

func stateOf(d *backends.Directory, id string) backend.State {
	for _, s := range d.Servers() {
		if s.ID == id {
			return s.State
		}
	}
	return ""
}
