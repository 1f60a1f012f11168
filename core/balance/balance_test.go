package balance_test

import (
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
		{name: "own failure domain", arrange: func(*balance.Table) {}, want: "near"},
		{
			name: "less load", want: "far",
			arrange: func(b *balance.Table) {
				for range 3 {
					b.Begin("near", 0)
				}
			},
		},
		{
			name: "not the one that fails", want: "far",
			arrange: func(b *balance.Table) {
				for range 2 {
					b.Report(start, "near", health.Failure)
				}
			},
		},
		{name: "not one that was tried", arrange: func(*balance.Table) {}, excluded: []string{"near"}, want: "far"},
		{name: "never one that leaves", arrange: func(*balance.Table) {}, excluded: []string{"near", "far"}},
		{
			name: "an ejected one rather than none", excluded: []string{"far"}, want: "near",
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

func TestOrderPassesOverFullServers(t *testing.T) {
	b := balance.NewTable()
	b.MarkFull(start, "near")
	want := balance.Criteria{Service: "s", FailureDomain: "x"}
	if got := b.Rank(start, servers, want); len(got) != 1 || got[0].ID != "far" {
		t.Errorf("order %v", got)
	}
	if got := b.Rank(start.Add(time.Second), servers, want); len(got) != 2 {
		t.Errorf("order a second later %v", got)
	}
}

func TestGoneServersGetNothing(t *testing.T) {
	table := balance.NewTable()
	servers := []serverlist.Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}
	want := balance.Criteria{Service: "s"}
	table.MarkEnded(start, "a")
	if got := table.Rank(start, servers, want); len(got) != 1 || got[0].ID != "b" {
		t.Errorf("order %v", got)
	}
	table.MarkEnded(start, "b")
	if got, ok := table.Pick(start, servers, want); ok {
		t.Errorf("picked %s", got.ID)
	}
	if _, ok := table.Pick(start.Add(time.Minute), servers, want); !ok {
		t.Error("left out for a minute")
	}
	table.Retain(nil)
	if _, ok := table.Pick(start, servers, want); !ok {
		t.Error("what has left the list is remembered")
	}
}

func TestChangingServersArePassedOverForLonger(t *testing.T) {
	b := balance.NewTable()
	b.MarkChangingStage(start, "near")
	b.MarkFull(start, "near")
	want := balance.Criteria{Service: "s", FailureDomain: "x"}
	if got := b.Rank(start.Add(time.Second), servers, want); len(got) != 1 || got[0].ID != "far" {
		t.Errorf("order a second later %v", got)
	}
}
