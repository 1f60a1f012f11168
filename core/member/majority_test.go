package member_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/member"
)

// fleet is a number of hosts, of which each exchanges heartbeats with its partners in turn.
// Hosts of different groups don't hear each other.
type fleet struct {
	now     time.Time
	tables  []*member.Table
	rounds  [][]member.Host
	groups  []int
	joined  []bool
	stopped []bool
}

func newFleet(hosts int) *fleet {
	f := &fleet{now: start, rounds: make([][]member.Host, hosts), groups: make([]int, hosts), joined: make([]bool, hosts), stopped: make([]bool, hosts)}
	for i := range hosts {
		f.tables = append(f.tables, member.NewTable(hostOf(i), timeout))
	}
	return f
}

// join makes a host known to all that hear it, as the platform's list of hosts does.
func (f *fleet) join(number int) {
	f.joined[number] = true
	for i, table := range f.tables {
		if f.joined[i] && i != number {
			table.Observe(f.now, member.State{Host: hostOf(number)})
			f.tables[number].Observe(f.now, member.State{Host: hostOf(i)})
		}
	}
}

func (f *fleet) isConnected(a, b int) bool {
	return f.groups[a] == f.groups[b] && !f.stopped[a] && !f.stopped[b]
}

// step runs one period of all hosts.
func (f *fleet) step() {
	f.now = f.now.Add(period)
	for i, table := range f.tables {
		if !f.joined[i] || f.stopped[i] {
			continue
		}
		table.Tick(f.now, period)
		for _, target := range append(table.FinalProbes(), f.nextPartner(i)...) {
			f.exchange(i, target)
		}
	}
}

func (f *fleet) nextPartner(i int) []member.Host {
	if len(f.rounds[i]) == 0 {
		f.rounds[i] = f.tables[i].Partners(member.MaxPartners)
	}
	if len(f.rounds[i]) == 0 {
		return nil
	}
	next := f.rounds[i][0]
	f.rounds[i] = f.rounds[i][1:]
	return []member.Host{next}
}

// exchange sends a heartbeat. What the two hosts have learned of others goes with it.
func (f *fleet) exchange(from int, to member.Host) {
	for number := range f.tables {
		if hostOf(number).Name != to.Name {
			continue
		}
		if !f.isConnected(from, number) {
			f.tables[from].Suspect(f.now, to.Name, to.Incarnation)
			return
		}
		for a, b := range map[int]int{from: number, number: from} {
			f.tables[b].ObserveDirectly(f.now, f.tables[a].Self(f.now))
			for _, s := range f.tables[a].Updates(hostOf(b).Name, updateLimit) {
				f.tables[b].Observe(f.now, s)
			}
		}
	}
}

// members returns the number of hosts that have joined.
func (f *fleet) members() int {
	count := 0
	for _, joined := range f.joined {
		if joined {
			count++
		}
	}
	return count
}

// reach returns the number of hosts that a host can hear, itself included, and the lowest
// number of them.
func (f *fleet) reach(host int) (count, lowest int) {
	lowest = len(f.tables)
	for i := range f.tables {
		if f.joined[i] && (i == host || f.isConnected(i, host)) {
			count++
			lowest = min(lowest, i)
		}
	}
	return count, lowest
}

// TestMinorityTakesNoHostForFailed cuts fleets of even and odd size into groups while hosts
// join. A host that can't hear a majority must never take another one for failed: it would
// end the work of hosts that are alive. At any time at most one of two groups may do so.
func TestMinorityTakesNoHostForFailed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 9).Draw(t, "hosts"))
		joining := rapid.IntRange(0, 1).Draw(t, "joining")
		for i := range len(f.tables) - joining {
			f.join(i)
		}
		for range rapid.IntRange(0, 20).Draw(t, "before") {
			f.step()
		}
		for i := range f.groups {
			f.groups[i] = rapid.IntRange(0, 2).Draw(t, "group")
		}
		joinAt := rapid.IntRange(0, 40).Draw(t, "joinAt")
		for step := range 80 {
			if joining > 0 && step == joinAt {
				f.join(len(f.tables) - 1)
			}
			f.step()
			for i, table := range f.tables {
				for other := range f.tables {
					if !f.joined[i] || !f.joined[other] || !table.HasFailed(f.now, hostOf(other).Name, 1) {
						continue
					}
					count, lowest := f.reach(i)
					if 2*count < f.members() || 2*count == f.members() && lowest != 0 {
						t.Fatalf("after %d steps host %d, which hears %d of %d, takes host %d for failed", step, i, count, f.members(), other)
					}
				}
			}
		}
	})
}

// TestMajorityTakesStoppedHostForFailed checks that the rule does not keep the slots of a host
// that has stopped for ever.
func TestMajorityTakesStoppedHostForFailed(t *testing.T) {
	for _, hosts := range []int{3, 4, 7, 63, 200} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			f := newFleet(hosts)
			for i := range hosts {
				f.join(i)
			}
			for range 40 {
				f.step()
			}
			last := hosts - 1
			f.stopped[last] = true
			for step := range 120 {
				f.step()
				if f.tables[0].HasFailed(f.now, hostOf(last).Name, 1) {
					t.Logf("failed after %v", time.Duration(step+1)*period)
					return
				}
			}
			t.Error("the stopped host is not taken for failed")
		})
	}
}

// TestIsolatedHostOfLargeFleet checks a host that is alone, and one that hears only its own
// failure domain, which is a third of the hosts but half of its partners.
func TestIsolatedHostOfLargeFleet(t *testing.T) {
	const hosts = 99
	for name, isReached := range map[string]func(int) bool{
		"alone":                  func(int) bool { return false },
		"its own failure domain": func(i int) bool { return hostOf(i).FailureDomain == hostOf(0).FailureDomain },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(hosts)
			for i := range hosts {
				f.join(i)
			}
			for range 40 {
				f.step()
			}
			for i := range hosts {
				if i != 0 && !isReached(i) {
					f.groups[i] = 1
				}
			}
			for step := range 120 {
				f.step()
				for other := range hosts {
					if f.tables[0].HasFailed(f.now, hostOf(other).Name, 1) {
						t.Fatalf("host %d taken for failed after %v", other, time.Duration(step+1)*period)
					}
				}
			}
		})
	}
}
