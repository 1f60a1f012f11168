package balance_test

import (
	"slices"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/balance"
	"github.com/hickoryfront/hickoryfront/core/health"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

var (
	start   = time.Unix(1000, 0)
	servers = []serverlist.Server{
		{ID: "near", Service: "s", FailureDomain: "x"},
		{ID: "far", Service: "s", FailureDomain: "y"},
		{ID: "leaving", Service: "s", FailureDomain: "x", IsDraining: true},
		{ID: "other", Service: "t", FailureDomain: "x"},
	}
)

func TestPick(t *testing.T) {
	tests := []struct {
		name     string
		arrange  func(b *balance.Table)
		excluded []string
		want     string
	}{
		{name: "preferred failure domain", arrange: func(*balance.Table) {}, want: "near"},
		{
			name: "less load", want: "far",
			arrange: func(b *balance.Table) {
				for range 3 {
					b.Begin("near", 0)
				}
			},
		},
		{
			name: "not the failing server", want: "far",
			arrange: func(b *balance.Table) {
				for range 2 {
					b.Report(start, "near", health.Failure)
				}
			},
		},
		{name: "not an excluded server", arrange: func(*balance.Table) {}, excluded: []string{"near"}, want: "far"},
		{name: "never a draining server", arrange: func(*balance.Table) {}, excluded: []string{"near", "far"}},
		{
			name: "an ejected server rather than none", excluded: []string{"far"}, want: "near",
			arrange: func(b *balance.Table) { b.Report(start, "near", health.Unreachable) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := balance.NewTable()
			tt.arrange(b)
			got, _ := b.Pick(start, servers, balance.Criteria{Service: "s", FailureDomain: "x", Excluded: tt.excluded})
			if got.ID != tt.want {
				t.Errorf("picked %q, want %q", got.ID, tt.want)
			}
		})
	}
}

func TestSoftwareVersionIsRequired(t *testing.T) {
	versions := []serverlist.Server{
		{ID: "a", Service: "s", SoftwareVersion: "v1"},
		{ID: "b", Service: "s", SoftwareVersion: "v2"},
		{ID: "c", Service: "s", SoftwareVersion: "v10"},
		{ID: "d", Service: "s"},
	}
	tests := []struct {
		name     string
		version  string
		excluded []string
		want     []string
	}{
		{name: "any version", want: []string{"a", "b", "c", "d"}},
		{name: "one version", version: "v1", want: []string{"a"}},
		{name: "no server of the version", version: "v3"},
		{name: "only server of the version excluded", version: "v2", excluded: []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := balance.NewTable()
			b.Report(start, "a", health.Failure) // a failing server of the version comes before others
			criteria := balance.Criteria{Service: "s", SoftwareVersion: tt.version, Excluded: tt.excluded}
			var ranked []string
			for _, s := range b.Rank(start, versions, criteria) {
				ranked = append(ranked, s.ID)
			}
			slices.Sort(ranked)
			if !slices.Equal(ranked, tt.want) {
				t.Errorf("ranked %v, want %v", ranked, tt.want)
			}
			picked, ok := b.Pick(start, versions, criteria)
			if ok != (len(tt.want) > 0) || (ok && !slices.Contains(tt.want, picked.ID)) {
				t.Errorf("picked %q, %v; want one of %v", picked.ID, ok, tt.want)
			}
		})
	}
}

// An ejected server of the required version must not be replaced by a server of
// another version.
func TestEjectedServerKeepsSoftwareVersion(t *testing.T) {
	b := balance.NewTable()
	b.Report(start, "a", health.Unreachable)
	versions := []serverlist.Server{{ID: "a", Service: "s", SoftwareVersion: "v1"}, {ID: "b", Service: "s", SoftwareVersion: "v2"}}
	criteria := balance.Criteria{Service: "s", SoftwareVersion: "v1"}
	if got, _ := b.Pick(start, versions, criteria); got.ID != "a" {
		t.Errorf("picked %q, want a", got.ID)
	}
	if got := b.Rank(start, versions, criteria); len(got) != 0 {
		t.Errorf("ranking %v, want none", got)
	}
}

func TestRankSkipsFullServers(t *testing.T) {
	b := balance.NewTable()
	b.MarkFull(start, "near")
	criteria := balance.Criteria{Service: "s", FailureDomain: "x"}
	if got := b.Rank(start, servers, criteria); len(got) != 1 || got[0].ID != "far" {
		t.Errorf("ranking %v, want only far", got)
	}
	if got := b.Rank(start.Add(time.Second), servers, criteria); len(got) != 2 {
		t.Errorf("ranking a second later %v, want two servers", got)
	}
}

// TestEndedServersAreExcluded checks that a server that has ended is excluded
// although the server list, which lags behind, still holds it. The exclusion
// lasts until the list has had time to catch up, or no longer holds the server.
func TestEndedServersAreExcluded(t *testing.T) {
	table := balance.NewTable()
	servers := []serverlist.Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}
	criteria := balance.Criteria{Service: "s"}
	table.MarkEnded(start, "a")
	if got := table.Rank(start, servers, criteria); len(got) != 1 || got[0].ID != "b" {
		t.Errorf("ranking %v, want only b", got)
	}
	table.MarkEnded(start, "b")
	if got, ok := table.Pick(start, servers, criteria); ok {
		t.Errorf("picked %s, want none", got.ID)
	}
	if _, ok := table.Pick(start.Add(time.Minute), servers, criteria); !ok {
		t.Error("still excluded after a minute")
	}
	table.Retain(start, nil)
	if _, ok := table.Pick(start, servers, criteria); !ok {
		t.Error("still excluded after its removal from the list")
	}
}

// TestServerChangingStageIsSkippedForLonger marks a server that refuses work during a
// change of stage as full too. The shorter mark must not end the longer one.
func TestServerChangingStageIsSkippedForLonger(t *testing.T) {
	b := balance.NewTable()
	b.MarkChangingStage(start, "near")
	b.MarkFull(start, "near")
	criteria := balance.Criteria{Service: "s", FailureDomain: "x"}
	if got := b.Rank(start.Add(time.Second), servers, criteria); len(got) != 1 || got[0].ID != "far" {
		t.Errorf("ranking a second later %v, want only far", got)
	}
}

// A server that starts again may keep its ID. What is known of the incarnation before must
// not keep the new one from work.
func TestRestartedServerTakesWork(t *testing.T) {
	table := balance.NewTable()
	server := serverlist.Server{ID: "a", Service: "s", StartedAt: time.Unix(100, 0)}
	criteria := balance.Criteria{Service: "s"}
	table.Retain(start, []serverlist.Server{server})
	table.MarkEnded(start, "a")
	for range 5 {
		table.Report(start, "a", health.Unreachable)
	}
	server.StartedAt = server.StartedAt.Add(time.Minute)
	table.Retain(start, []serverlist.Server{server})
	if ranked := table.Rank(start, []serverlist.Server{server}, criteria); len(ranked) != 1 {
		t.Error("the new incarnation is excluded")
	}
	if got := table.Load(start, "a"); got.FailureRate != 0 || got.IsEjected {
		t.Errorf("the new incarnation has the failure rate %.1f, ejected %t", got.FailureRate, got.IsEjected)
	}
}

// A server that has said that it is leaving must get no work, also after its registration
// has lapsed and come back, until it has started again.
func TestLeavingServersAreExcluded(t *testing.T) {
	const lapse = time.Minute
	server := serverlist.Server{ID: "a", Service: "s", StartedAt: time.Unix(100, 0)}
	restarted := server
	restarted.StartedAt = server.StartedAt.Add(time.Minute)
	criteria := balance.Criteria{Service: "s"}
	table := balance.NewTable()
	table.Retain(start, []serverlist.Server{server})
	if !table.MarkLeaving(start, "a") || table.MarkLeaving(start, "a") {
		t.Error("the first mark is not new, or the second one is")
	}
	table.Retain(start.Add(time.Second), nil)
	table.Retain(start.Add(lapse), []serverlist.Server{server})
	now := start.Add(lapse)
	if _, ok := table.Pick(now, []serverlist.Server{server}, criteria); ok || !table.TakesNoWork(now, "a") {
		t.Error("picked though it is leaving")
	}
	if ranked := table.Rank(now, []serverlist.Server{server}, criteria); len(ranked) > 0 {
		t.Error("ranked though it is leaving")
	}
	unknown := server
	unknown.StartedAt = time.Time{}
	table.Retain(now, []serverlist.Server{unknown})
	if !table.TakesNoWork(now, "a") {
		t.Error("takes work after a list without the time of its start")
	}
	table.Retain(now, []serverlist.Server{restarted})
	if _, ok := table.Pick(now, []serverlist.Server{restarted}, criteria); !ok || table.TakesNoWork(now, "a") {
		t.Error("the new incarnation gets no work")
	}
}

// A server that has asked for no work must get none until the time is over. If all servers
// have, callers must be told when the first one takes work again.
func TestPausedServersAreExcluded(t *testing.T) {
	list := []serverlist.Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "other"}}
	criteria := balance.Criteria{Service: "s"}
	table := balance.NewTable()
	table.MarkPaused(start, "a", 4*time.Second)
	table.MarkPaused(start, "a", time.Second) // a shorter time must not end the longer one
	if got, ok := table.Pick(start.Add(3*time.Second), list, criteria); !ok || got.ID != "b" {
		t.Errorf("picked %q, want b", got.ID)
	}
	if left := table.PauseLeft(start, list, criteria); left != 0 {
		t.Errorf("%v left though b takes work", left)
	}
	table.MarkPaused(start, "b", 6*time.Second)
	now := start.Add(time.Second)
	if got, ok := table.Pick(now, list, criteria); ok {
		t.Errorf("picked %q, want none", got.ID)
	}
	if ranked := table.Rank(now, list, criteria); len(ranked) > 0 {
		t.Errorf("ranked %v, want none", ranked)
	}
	if left := table.PauseLeft(now, list, criteria); left != 3*time.Second {
		t.Errorf("%v left, want 3s", left)
	}
	if got, ok := table.Pick(start.Add(4*time.Second), list, criteria); !ok || got.ID != "a" {
		t.Errorf("picked %q after the pause, want a", got.ID)
	}
	table.MarkPaused(start, "a", 24*time.Hour)
	if _, ok := table.Pick(start.Add(time.Hour), list, criteria); !ok {
		t.Error("a server is excluded for a day")
	}
}

// TestServerWithoutPermit guards against requests to a server that has no permit left, and
// against a Retry-After that ends before there is one.
func TestServerWithoutPermit(t *testing.T) {
	criteria := balance.Criteria{Service: "s"}
	list := []serverlist.Server{{ID: "a", Service: "s"}}
	table := balance.NewTable()
	table.MarkNoPermit(start, "a", time.Second)
	if _, ok := table.Pick(start, list, criteria); !ok {
		t.Error("a server without a limit needs no permit")
	}
	table.SetLimited("a", true)
	table.MarkNoPermit(start, "a", time.Second)
	if _, ok := table.Pick(start, list, criteria); ok || len(table.Rank(start, list, criteria)) > 0 {
		t.Error("picked a server that has no permit left")
	}
	if left := table.PauseLeft(start, list, criteria); left != time.Second {
		t.Errorf("%v left, want 1s", left)
	}
	if table.TakesNoWork(start, "a") {
		t.Error("a request that has a permit must be sent")
	}
	if _, ok := table.Pick(start.Add(time.Second), list, criteria); !ok {
		t.Error("no server picked when there may be a permit again")
	}
	table.MarkNoPermit(start, "a", time.Second)
	table.SetLimited("a", false)
	if _, ok := table.Pick(start, list, criteria); !ok {
		t.Error("no server picked after the limit has ended")
	}
}
