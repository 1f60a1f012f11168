package stage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/stage"
)

var start = time.Unix(1000, 0)

// servers returns a service of so many prefill and decode servers in three
// failure domains.
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

func TestWanted(t *testing.T) {
	tests := []struct {
		total int
		want  int
	}{{0, 0}, {1, 0}, {2, 1}, {3, 1}, {9, 3}, {18, 5}, {90, 20}}
	for _, tt := range tests {
		if got := stage.TargetPrefillServers(tt.total, 0.18); got != tt.want {
			t.Errorf("%d of %d servers read prompts, want %d", got, tt.total, tt.want)
		}
	}
}

// A deployment in which a prompt takes 3 % of its stream's time keeps more of
// its servers for generation: 12 of 100 read prompts when all decode servers are
// full, so 16 of 90 are used for three quarters, as 4 of 18 are.
func TestWantedAtTheSettingsStandard(t *testing.T) {
	const standard = 0.13 // of the setting stages.prefillShare
	for total, want := range map[int]int{9: 3, 18: 4, 90: 16} {
		if got := stage.TargetPrefillServers(total, standard); got != want {
			t.Errorf("%d of %d servers read prompts, want %d", got, total, want)
		}
	}
}

func TestPlan(t *testing.T) {
	tests := []struct {
		name    string
		servers []serverlist.Server
		isFirst bool
		after   time.Duration
		want    int
	}{
		{name: "as planned", servers: servers(3, 6), isFirst: true},
		{name: "surplus at the start is changed at once", servers: servers(7, 11), isFirst: true, want: 2},
		{name: "later a surplus must last", servers: servers(7, 11)},
		{name: "a surplus that lasted is changed one by one", servers: servers(7, 11), after: 11 * time.Second, want: 1},
		{name: "too few prefill servers at the start", servers: servers(1, 8), isFirst: true, want: 2},
		{name: "too few prefill servers under load are borne", servers: servers(1, 8), after: 11 * time.Second},
		{name: "one decode server is left as it is", servers: servers(0, 1), isFirst: true},
		{name: "one prefill server alone serves nothing", servers: servers(1, 0), isFirst: true, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := stage.NewPlanner(0.18)
			got := p.Plan(start, tt.servers, tt.isFirst)
			if tt.after > 0 {
				got = p.Plan(start.Add(tt.after), tt.servers, tt.isFirst)
			}
			if len(got) != tt.want {
				t.Errorf("%d changes, want %d: %v", len(got), tt.want, got)
			}
		})
	}
}

func TestOrderedChangesAreNotOrderedAgain(t *testing.T) {
	p := stage.NewPlanner(0.18)
	all := servers(4, 5)
	for _, c := range p.Plan(start, all, true) {
		p.MarkOrdered(start, c)
	}
	if got := p.Plan(start.Add(time.Second), all, true); len(got) != 0 {
		t.Errorf("ordered again: %v", got)
	}
	// An order without an answer may be carried out for some seconds; then it is
	// taken as lost.
	if got := p.Plan(start.Add(20*time.Second), all, true); len(got) != 1 {
		t.Errorf("%d changes after an order that was lost, want 1", len(got))
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
		t.Errorf("%d changes, want 1 of 7 servers, 3 of them for prompts", len(got))
	}
}
