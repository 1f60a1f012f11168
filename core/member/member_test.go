package member_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/member"
)

const (
	timeout     = 3 * time.Second
	period      = 500 * time.Millisecond
	noLimit     = 1 << 20
	updateLimit = 8
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func hostOf(number int) member.Host {
	return member.Host{
		Name: fmt.Sprintf("host-%03d", number), Incarnation: 1, FailureDomain: fmt.Sprintf("domain-%d", number%3),
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(number >> 8), byte(number)}), 1),
	}
}

func stateOf(number int, sequence uint64, status member.Status) member.State {
	return member.State{Host: hostOf(number), Sequence: sequence, Status: status}
}

func tableOf(self, hosts int) *member.Table {
	t := member.NewTable(hostOf(self), timeout)
	for i := range hosts {
		t.Observe(start, member.State{Host: hostOf(i)})
	}
	return t
}

func statusOf(t *member.Table, number int) member.Status {
	s, ok := t.Lookup(hostOf(number).Name)
	if !ok {
		return member.StatusDead
	}
	return s.Status
}

func TestObserveKeepsTheNewerUpdate(t *testing.T) {
	later := hostOf(1)
	later.Incarnation = 2
	tests := map[string]struct {
		updates     []member.State
		want        member.Status
		incarnation uint64
	}{
		"alive":                               {[]member.State{stateOf(1, 0, member.StatusAlive)}, member.StatusAlive, 1},
		"suspected":                           {[]member.State{stateOf(1, 0, member.StatusAlive), stateOf(1, 0, member.StatusSuspect)}, member.StatusSuspect, 1},
		"refuted":                             {[]member.State{stateOf(1, 0, member.StatusAlive), stateOf(1, 0, member.StatusSuspect), stateOf(1, 1, member.StatusAlive)}, member.StatusAlive, 1},
		"refuted, then the late suspicion":    {[]member.State{stateOf(1, 0, member.StatusAlive), stateOf(1, 1, member.StatusAlive), stateOf(1, 0, member.StatusSuspect)}, member.StatusAlive, 1},
		"dead stays dead after an old update": {[]member.State{stateOf(1, 0, member.StatusAlive), stateOf(1, 0, member.StatusDead), stateOf(1, 0, member.StatusAlive)}, member.StatusDead, 1},
		"left is not suspected":               {[]member.State{stateOf(1, 0, member.StatusAlive), stateOf(1, 1, member.StatusLeft), stateOf(1, 0, member.StatusSuspect)}, member.StatusLeft, 1},
		"a new incarnation after death":       {[]member.State{stateOf(1, 5, member.StatusAlive), stateOf(1, 5, member.StatusDead), {Host: later}}, member.StatusAlive, 2},
		"the old incarnation after a new one": {[]member.State{{Host: later}, stateOf(1, 9, member.StatusDead)}, member.StatusAlive, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := tableOf(0, 0)
			for _, s := range test.updates {
				table.Observe(start, s)
			}
			got, _ := table.Lookup(hostOf(1).Name)
			if got.Status != test.want || got.Host.Incarnation != test.incarnation {
				t.Errorf("status %d in incarnation %d, want %d in incarnation %d", got.Status, got.Host.Incarnation, test.want, test.incarnation)
			}
		})
	}
}

func TestSuspicionExpires(t *testing.T) {
	table := tableOf(0, 7)
	version := table.Version()
	table.Tick(start, period)
	table.Suspect(start, hostOf(1).Name, 1)
	if !table.IsAlive(start, hostOf(1).Name, 1) || table.Version() != version {
		t.Fatal("a suspect must count as alive until its time has run out")
	}
	now := start
	for now.Sub(start) < table.SuspicionTimeout() {
		now = now.Add(period)
		table.Tick(now, period)
	}
	probes := table.FinalProbes()
	if len(probes) != 1 || probes[0].Name != hostOf(1).Name || len(table.FinalProbes()) != 0 {
		t.Errorf("final probes %v, want one to the suspect", probes)
	}
	if !table.IsAlive(now, hostOf(1).Name, 1) {
		t.Error("a suspect must count as alive until the time to respond to the final probe has run out")
	}
	for range 2 {
		now = now.Add(period)
		table.Tick(now, period)
	}
	if table.IsAlive(now, hostOf(1).Name, 1) || table.Version() == version {
		t.Error("a suspect that does not refute must become dead")
	}
}

func TestResponseToFinalProbeRefutes(t *testing.T) {
	table := tableOf(0, 7)
	table.Tick(start, period)
	table.Suspect(start, hostOf(1).Name, 1)
	now := start
	for range 100 {
		now = now.Add(period)
		table.Tick(now, period)
		if len(table.FinalProbes()) == 1 {
			table.ObserveDirectly(now, stateOf(1, 1, member.StatusAlive))
		}
	}
	if !table.IsAlive(now, hostOf(1).Name, 1) {
		t.Error("a host that responded to the final probe is regarded as dead")
	}
}

// TestPauseOfThisDaemonExtendsSuspicions checks that a daemon that was paused
// gives the hosts it suspected time to respond. Otherwise it would regard them as
// dead because of its own pause.
func TestPauseOfThisDaemonExtendsSuspicions(t *testing.T) {
	table := tableOf(0, 7)
	table.Tick(start, period)
	table.Suspect(start, hostOf(1).Name, 1)
	resumed := start.Add(time.Minute)
	if !table.WasPaused(resumed, period) {
		t.Error("a minute without a tick must count as a pause")
	}
	table.Tick(resumed, period)
	if !table.IsAlive(resumed, hostOf(1).Name, 1) {
		t.Error("the suspicion expired while the daemon was paused")
	}
}

func TestRefutationRaisesTheSequence(t *testing.T) {
	table := tableOf(1, 7)
	table.Observe(start, stateOf(1, 4, member.StatusDead))
	if got := table.Self(start); got.Sequence != 5 || got.Status != member.StatusAlive {
		t.Errorf("self is %+v, want alive with sequence 5", got)
	}
	other := hostOf(1)
	other.Incarnation = 9
	table.Observe(start, member.State{Host: other, Sequence: 50, Status: member.StatusDead})
	if got := table.Self(start).Sequence; got != 5 {
		t.Errorf("sequence %d after an update about another incarnation, want 5", got)
	}
}

func TestUpdatesAreLimitedAndEnd(t *testing.T) {
	table := tableOf(0, 100)
	carried := map[string]int{}
	for range 10_000 {
		updates := table.Updates("nobody", updateLimit)
		if len(updates) > updateLimit {
			t.Fatalf("%d updates in one heartbeat, more than its limit", len(updates))
		}
		for _, s := range updates {
			carried[s.Host.Name]++
		}
	}
	if len(carried) != 99 || len(table.Updates("nobody", updateLimit)) != 0 {
		t.Fatalf("%d hosts were reported, %d updates are still sent", len(carried), len(table.Updates("nobody", updateLimit)))
	}
	table.Observe(start, stateOf(5, 0, member.StatusSuspect))
	for name, receiver := range map[string]int{"to the suspect": 5, "to another": 6} {
		if updates := table.Updates(hostOf(receiver).Name, updateLimit); len(updates) != 1 || updates[0].Status != member.StatusSuspect {
			t.Errorf("%s: %+v, want the suspicion", name, updates)
		}
	}
}

func TestPartnersAreLimitedAndCoverAllHosts(t *testing.T) {
	const hosts, limit = 360, 32
	chosenBy := map[string]int{}
	for self := range hosts {
		partners := tableOf(self, hosts).Partners(limit)
		local := 0
		for _, p := range partners {
			chosenBy[p.Name]++
			if p.FailureDomain == hostOf(self).FailureDomain {
				local++
			}
		}
		if len(partners) != limit || local != limit/2 {
			t.Fatalf("host %d has %d partners, %d of them in its failure domain", self, len(partners), local)
		}
	}
	for i := range hosts {
		if chosenBy[hostOf(i).Name] < limit/4 {
			t.Errorf("host %d is a partner of only %d hosts", i, chosenBy[hostOf(i).Name])
		}
	}
	if got := len(tableOf(0, 7).Partners(limit)); got != 6 {
		t.Errorf("a table of 7 hosts gives %d partners, want all 6", got)
	}
}

// TestDigestsConverge lets two hosts with arbitrary knowledge exchange digests in
// both directions. Afterwards both agree on which hosts are alive.
func TestDigestsConverge(t *testing.T) {
	const hosts = 6
	rapid.Check(t, func(t *rapid.T) {
		tables := [2]*member.Table{member.NewTable(hostOf(0), timeout), member.NewTable(hostOf(1), timeout)}
		for i, table := range tables {
			table.Observe(start, stateOf(1-i, 0, member.StatusAlive))
			for range rapid.IntRange(0, 20).Draw(t, "updates") {
				number := rapid.IntRange(2, hosts-1).Draw(t, "host")
				s := stateOf(number, rapid.Uint64Range(0, 3).Draw(t, "sequence"), member.Status(rapid.IntRange(0, 3).Draw(t, "status")))
				s.ConfigRevision = rapid.Uint64Range(0, 9).Draw(t, "revision")
				table.Observe(start, s)
			}
		}
		for i, table := range tables {
			other := tables[1-i]
			newer, unknown, err := table.MergeDigest(start, other.Digest(), noLimit)
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range newer {
				other.Observe(start, s)
			}
			other.Retransmit(unknown)
			for _, s := range other.Updates(hostOf(i).Name, noLimit) {
				table.Observe(start, s)
			}
		}
		for number := 2; number < hosts; number++ {
			a, b := statusOf(tables[0], number), statusOf(tables[1], number)
			if (a <= member.StatusSuspect) != (b <= member.StatusSuspect) {
				t.Fatalf("host %d is %d for one and %d for the other", number, a, b)
			}
		}
	})
}

func TestDigestIsCheckedAndSmall(t *testing.T) {
	table := tableOf(0, 360)
	digest := table.Digest()
	const bytesPerHost = 16
	if len(digest) > 360*bytesPerHost {
		t.Errorf("the digest of 360 hosts has %d bytes, more than 16 per host", len(digest))
	}
	if _, _, err := table.MergeDigest(start, digest[:len(digest)-1], noLimit); !errors.Is(err, member.ErrBadDigest) {
		t.Errorf("cut digest: error %v, want ErrBadDigest", err)
	}
	newer, unknown, err := table.MergeDigest(start, digest, noLimit)
	if err != nil || len(newer)+len(unknown) > 0 {
		t.Errorf("own digest: error %v, %d newer, %d unknown", err, len(newer), len(unknown))
	}
}

func FuzzMergeDigest(f *testing.F) {
	f.Add(tableOf(0, 3).Digest())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, digest []byte) {
		table := tableOf(1, 3)
		newer, _, err := table.MergeDigest(start, digest, 2)
		if err != nil && !errors.Is(err, member.ErrBadDigest) {
			t.Fatal(err)
		}
		if len(newer) > 2 {
			t.Fatalf("%d newer states, limit 2", len(newer))
		}
		if got := table.Self(start).Host; got != hostOf(1) {
			t.Fatalf("the digest changed this host to %+v", got)
		}
	})
}
