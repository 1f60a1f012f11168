package route_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/identity"
	"github.com/hickoryfront/hickoryfront/core/route"
)

const sessions = 20_000

// shares returns the number of sessions of each service and the service of each session.
func shares(split []route.Share, available ...string) (map[string]int, []string) {
	r := &route.Route{Service: "unused", Split: split}
	counts, services := make(map[string]int), make([]string, sessions)
	for i := range services {
		services[i] = r.Choose(fmt.Sprint("s-", i), func(service string) bool {
			for _, name := range available {
				if name == service {
					return true
				}
			}
			return false
		}).Service
		counts[services[i]]++
	}
	return counts, services
}

// TestChooseShares guards against shares that don't follow the weights, and against sessions
// that are sent to a service without servers or with weight 0 while others have servers.
func TestChooseShares(t *testing.T) {
	split := []route.Share{{Service: "a", Weight: 6}, {Service: "b", Weight: 3}, {Service: "c", Weight: 1}, {Service: "zero"}}
	tests := []struct {
		name      string
		split     []route.Share
		available []string
		want      map[string]float64
	}{
		{name: "all have servers", split: split, available: []string{"a", "b", "c", "zero"}, want: map[string]float64{"a": 0.6, "b": 0.3, "c": 0.1}},
		{name: "one has no servers", split: split, available: []string{"b", "c", "zero"}, want: map[string]float64{"b": 0.75, "c": 0.25}},
		{name: "only weight 0 has servers", split: split, available: []string{"zero"}, want: map[string]float64{"zero": 1}},
		{name: "none has servers", split: split, want: map[string]float64{"a": 0.6, "b": 0.3, "c": 0.1}},
		{name: "extreme weights", split: []route.Share{{Service: "a", Weight: math.MaxFloat64}, {Service: "b", Weight: math.SmallestNonzeroFloat64}}, available: []string{"a", "b"}, want: map[string]float64{"a": 1}},
		{name: "no weights and no servers", split: []route.Share{{Service: "zero"}}, want: map[string]float64{"zero": 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			counts, _ := shares(tt.split, tt.available...)
			for service, n := range counts {
				if got := float64(n) / sessions; math.Abs(got-tt.want[service]) > 0.02 {
					t.Errorf("share of %s is %.3f, want %.3f", service, got, tt.want[service])
				}
			}
		})
	}
}

// TestChangedWeightMovesFewSessions guards against a changed weight that moves sessions between
// services whose weights have not changed, or more than the change requires.
func TestChangedWeightMovesFewSessions(t *testing.T) {
	names := []string{"a", "b", "c"}
	before := []route.Share{{Service: "a", Weight: 50}, {Service: "b", Weight: 30}, {Service: "c", Weight: 20}}
	after := []route.Share{{Service: "c", Weight: 20}, {Service: "a", Weight: 80}, {Service: "b", Weight: 30}}
	_, old := shares(before, names...)
	_, next := shares(after, names...)
	moved := 0
	for i := range old {
		if old[i] == next[i] {
			continue
		}
		moved++
		if next[i] != "a" {
			t.Fatalf("session %d moved from %s to %s, although only the weight of a rose", i, old[i], next[i])
		}
	}
	if share, want := float64(moved)/sessions, 80.0/130-0.5; math.Abs(share-want) > 0.02 {
		t.Errorf("%.3f of the sessions moved, want %.3f", share, want)
	}
}

// TestRanksRequests guards against servers that get priorities although all requests have the
// same one, and against some that don't although they differ.
func TestRanksRequests(t *testing.T) {
	generation := func(service string, priority int) route.Route {
		return route.Route{Service: service, Priority: priority, IsGeneration: true}
	}
	workspaces := func(priorities ...int) []identity.Workspace {
		workspaces := []identity.Workspace{{Name: "none"}}
		for _, p := range priorities {
			workspaces = append(workspaces, identity.Workspace{Priority: &p})
		}
		return workspaces
	}
	tests := []struct {
		name          string
		configuration route.Configuration
		want          bool
	}{
		{name: "no routes", configuration: route.Configuration{Workspaces: workspaces(1, 2)}},
		{name: "equal routes", configuration: route.Configuration{Routes: []route.Route{generation("s", 1), generation("s", 1), generation("other", 2)}}},
		{name: "plain route", configuration: route.Configuration{Routes: []route.Route{generation("s", 1), {Service: "s", Priority: 2}}}},
		{name: "different routes", configuration: route.Configuration{Routes: []route.Route{generation("s", 1), generation("s", 2)}}, want: true},
		{name: "split route", configuration: route.Configuration{Routes: []route.Route{generation("s", 1), {Split: []route.Share{{Service: "x"}, {Service: "s"}}, IsGeneration: true}}}, want: true},
		{name: "equal workspaces", configuration: route.Configuration{Routes: []route.Route{generation("s", 1)}, Workspaces: workspaces(1, 1)}},
		{name: "workspace differs from the route", configuration: route.Configuration{Routes: []route.Route{generation("s", 1)}, Workspaces: workspaces(0)}, want: true},
		{name: "workspaces differ", configuration: route.Configuration{Routes: []route.Route{generation("s", 1)}, Workspaces: workspaces(1, 2)}, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := route.NewTable(&tt.configuration).RanksRequests("s"); got != tt.want {
				t.Errorf("ranks requests %t, want %t", got, tt.want)
			}
		})
	}
}
