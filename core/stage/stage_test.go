package stage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/stage"
)

var start = time.Unix(1000, 0)

// servers returns the servers of a service in three failure domains, prefill servers
// first.
func servers(prefill, decode int) []serverlist.Server {
	var all []serverlist.Server
	for i := range prefill + decode {
		s := serverlist.Server{ID: fmt.Sprintf("i-%02d", i), Service: "m", Stage: serverlist.Decode, FailureDomain: fmt.Sprint(i % 3)}
		if i < prefill {
			s.Stage = serverlist.Prefill
		}
		all = append(all, s)
	}
	return all
}

func TestTargetPrefillServers(t *testing.T) {
	tests := []struct {
		total int
		want  int
	}{{0, 0}, {1, 0}, {2, 1}, {3, 1}, {9, 3}, {18, 5}, {90, 20}}
	for _, tt := range tests {
		if got := stage.TargetPrefillServers(tt.total, 0.18); got != tt.want {
			t.Errorf("%d prefill servers of %d, want %d", got, tt.total, tt.want)
		}
	}
}

// TestTargetPrefillServersAtDefaultShare checks the number of prefill servers
// that the default share gives for 9, 18 and 90 servers. A larger share keeps too
// many servers for prefill. The share is for deployments in which the prefill
// takes 3 % of a stream's time. When all decode servers are full, 12 of 90 servers
// (0.13 * 90) are busy with prefills, so 16 prefill servers are used to three
// quarters. The reserve is larger in proportion where there are fewer servers:
// 2.3 of 4 prefill servers are busy in 18 servers, and 1.2 of 3 in 9.
func TestTargetPrefillServersAtDefaultShare(t *testing.T) {
	const defaultShare = 0.13 // default of the setting stages.prefillShare
	for total, want := range map[int]int{9: 3, 18: 4, 90: 16} {
		if got := stage.TargetPrefillServers(total, defaultShare); got != want {
			t.Errorf("%d prefill servers of %d, want %d", got, total, want)
		}
	}
}

// TestPlan checks that a surplus that does not last, such as while a crashed
// server restarts, changes no stages under load, and that changes to prefill
// are made at startup only.
func TestPlan(t *testing.T) {
	tests := []struct {
		name      string
		servers   []serverlist.Server
		isStartup bool
		after     time.Duration
		want      int
	}{
		{name: "target is met", servers: servers(3, 6), isStartup: true},
		{name: "surplus at startup is changed at once", servers: servers(7, 11), isStartup: true, want: 2},
		{name: "surplus under load must last", servers: servers(7, 11)},
		{name: "surplus that lasts is changed one server at a time", servers: servers(7, 11), after: 11 * time.Second, want: 1},
		{name: "too few prefill servers at startup", servers: servers(1, 8), isStartup: true, want: 2},
		{name: "too few prefill servers under load are accepted", servers: servers(1, 8), after: 11 * time.Second},
		{name: "a single decode server is not changed", servers: servers(0, 1), isStartup: true},
		{name: "a single prefill server is changed to decode", servers: servers(1, 0), isStartup: true, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := stage.NewPlanner(0.18)
			got := p.Plan(start, tt.servers, tt.isStartup)
			if tt.after > 0 {
				got = p.Plan(start.Add(tt.after), tt.servers, tt.isStartup)
			}
			if len(got) != tt.want {
				t.Errorf("%d changes, want %d: %v", len(got), tt.want, got)
			}
		})
	}
}

// TestOrderedChangesAreNotOrderedAgain checks that a change is not ordered
// again while its order is pending. A server takes some seconds to carry out an
// order, and until then it is registered with its old stage.
func TestOrderedChangesAreNotOrderedAgain(t *testing.T) {
	p := stage.NewPlanner(0.18)
	all := servers(4, 5)
	for _, c := range p.Plan(start, all, true) {
		p.MarkOrdered(start, c)
	}
	if got := p.Plan(start.Add(time.Second), all, true); len(got) != 0 {
		t.Errorf("changes ordered again: %v", got)
	}
	// A server may carry out an order for some seconds without having responded.
	// After that the order counts as lost.
	if got := p.Plan(start.Add(20*time.Second), all, true); len(got) != 1 {
		t.Errorf("%d changes after a lost order, want 1", len(got))
	}
}

func TestDrainingServersDoNotCount(t *testing.T) {
	all := servers(4, 5)
	all[8].IsDraining = true
	if got := stage.NewPlanner(0.18).Plan(start, all, true); len(got) != 1 {
		t.Errorf("%d changes, want 1 of 8 servers", len(got))
	}
	all[0].IsDraining = true
	if got := stage.NewPlanner(0.18).Plan(start, all, true); len(got) != 1 {
		t.Errorf("%d changes, want 1 of 7 servers, 3 of them prefill servers", len(got))
	}
}
