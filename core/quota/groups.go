package quota

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryfront/hickoryfront/core/homes"
)

const (
	// hostsPerGroup is the number of hosts for each group of workspaces. A host asks at most
	// HomeCount hosts of each group.
	hostsPerGroup = 16
	// joinPeriod is the time in which all hosts read the host list again. Until then an
	// earlier home may still grant to hosts that have an older list.
	joinPeriod = 12 * time.Second
	// candidateCount is the number of hosts behind the homes that may have been homes before.
	// After half as many hosts again have started, one group in a hundred has an earlier home
	// beyond them.
	candidateCount = 6
	// changeRetention is how long a change of the number of groups is remembered.
	changeRetention = 10 * time.Minute
	// maxChanges limits the number of these changes.
	maxChanges = 32
)

type (
	// Home is a host's part in the quota of a workspace.
	Home struct {
		// Count is the number of homes.
		Count int
		// From is when this host begins to grant.
		From time.Time
	}

	// Groups maps workspaces to groups, and groups to homes. It is not safe for concurrent
	// use.
	Groups struct {
		self    netip.AddrPort
		set     *homes.Set
		homes   [][]netip.AddrPort
		changes []groupChange
		// own are the groups of which this host is a home, with the time from which it grants.
		own map[int]ownGroup
	}

	ownGroup struct {
		from time.Time
		// isConfirmed is set if no earlier home grants any more.
		isConfirmed bool
	}

	// groupChange is a change of the number of groups.
	groupChange struct {
		at     time.Time
		before int
	}
)

// NewGroups returns groups without hosts. self is the address of this host.
func NewGroups(self netip.AddrPort) *Groups {
	return &Groups{self: self, set: homes.New(), homes: [][]netip.AddrPort{nil}, own: make(map[int]ownGroup)}
}

// Observe records the host list at now.
func (g *Groups) Observe(now time.Time, hosts []netip.AddrPort) {
	isFirst := g.set.Len() == 0
	if !g.set.Observe(now, hosts) {
		return
	}
	count := max(1, g.set.Len()/hostsPerGroup)
	if before := len(g.homes); count != before && !isFirst {
		g.changes = slices.DeleteFunc(g.changes, func(c groupChange) bool { return now.Sub(c.at) > changeRetention })
		g.changes = append(g.changes[max(0, len(g.changes)+1-maxChanges):], groupChange{at: now, before: before})
	}
	g.homes = make([][]netip.AddrPort, count)
	own := make(map[int]ownGroup)
	for i := range g.homes {
		g.homes[i] = g.set.Of(groupKey(i), HomeCount)
		if !slices.Contains(g.homes[i], g.self) {
			continue
		}
		if was, ok := g.own[i]; ok {
			own[i] = was
		} else {
			own[i] = ownGroup{from: now.Add(joinPeriod)}
		}
	}
	g.own = own
}

// HostCount returns the number of hosts.
func (g *Groups) HostCount() int {
	return g.set.Len()
}

// Group returns the group of a workspace.
func (g *Groups) Group(workspace string) int {
	return groupAmong(workspace, len(g.homes))
}

// Homes returns the homes of a group. The caller must not modify the slice.
func (g *Groups) Homes(group int) []netip.AddrPort {
	if group >= len(g.homes) {
		return nil
	}
	return g.homes[group]
}

// Own returns this host's part in the quota of a workspace, or false if it is no home of the
// workspace.
func (g *Groups) Own(workspace string) (Home, bool) {
	group := g.Group(workspace)
	own, ok := g.own[group]
	if !ok {
		return Home{}, false
	}
	home := Home{Count: len(g.homes[group]), From: own.from}
	for _, change := range slices.Backward(g.changes) {
		if groupAmong(workspace, change.before) != group {
			// The homes of the other group granted units of this workspace before.
			if from := change.at.Add(joinPeriod); from.After(home.From) {
				home.From = from
			}
			break
		}
	}
	return home, true
}

// Candidates returns the hosts that may still grant for a group of which this host has become
// a home. It returns false if the host need not ask them.
func (g *Groups) Candidates(now time.Time, group int) ([]netip.AddrPort, bool) {
	own, ok := g.own[group]
	if !ok || own.isConfirmed || !now.Before(own.from) {
		return nil, false
	}
	hosts := g.set.Of(groupKey(group), HomeCount+candidateCount)
	return hosts[min(HomeCount, len(hosts)):], true
}

// Confirm records at now that none of the candidates of a group grants any more. This host
// begins to grant at once.
func (g *Groups) Confirm(now time.Time, group int) {
	if own, ok := g.own[group]; ok && !own.isConfirmed && now.Before(own.from) {
		g.own[group] = ownGroup{from: now, isConfirmed: true}
	}
}

func groupKey(group int) string {
	return fmt.Sprintf("quota-group-%d", group)
}

// groupAmong returns the group of a workspace among count groups, by jump consistent hashing:
// when a group is added, workspaces move only to that group.
func groupAmong(workspace string, count int) int {
	key := xxhash.Sum64String(workspace)
	group, next := int64(-1), int64(0)
	for next < int64(count) {
		group = next
		key = key*2862933555777941757 + 1
		next = int64(float64(group+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(group)
}
