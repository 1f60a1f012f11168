package room_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/room"
)

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// between returns a match of the requests that arrived in a time.
func between(from, to time.Duration, match func(r *modelRequest) bool) func(r *modelRequest) bool {
	return func(r *modelRequest) bool {
		at := r.arrived.Sub(epoch)
		return at >= from && at < to && (match == nil || match(r))
	}
}

func ofUrgency(urgency int) func(r *modelRequest) bool {
	return func(r *modelRequest) bool { return r.urgency == urgency }
}

// TestModel compares the ledger with hosts that choose servers by their own requests in flight
// and logs the table of docs/design/room.md. It guards against a ledger that leaves capacity
// unused, and against servers that shed.
func TestModel(t *testing.T) {
	t.Log("| hosts | load | own in flight: in target | shed | unserved | ledger: in target | shed | unserved |")
	for _, hosts := range []int{7, 75, 145, 295} {
		for _, load := range []float64{0.7, 1.0, 1.3, 1.8} {
			row := fmt.Sprintf("| %d | %.1f |", hosts, load)
			var shares, sheds [2]float64
			for i, isLocal := range []bool{true, false} {
				m := &model{hosts: hosts, isLocal: isLocal, duration: 10 * time.Second, servers: threeServers(), rate: constant(load)}
				m.play()
				refused, shed := m.counts()
				shares[i], sheds[i] = m.share(nil), shed
				row += fmt.Sprintf(" %.3f | %.3f | %.3f |", shares[i], shed, refused)
			}
			t.Log(row)
			// The second bound holds the spread of a random load of this length.
			if sheds[1] > 0.005 || shares[1] < min(1, 1/load)-0.03 {
				t.Errorf("%d hosts, load %.1f: the ledger serves %.3f, and %.3f are shed", hosts, load, shares[1], sheds[1])
			}
		}
	}
}

// TestLoads plays loads at which hosts that choose by their own requests in flight fail: check
// must find a fault with them, unless isOnlyLedger is set, and none with the ledger.
func TestLoads(t *testing.T) {
	burst := func(at time.Duration) float64 {
		if at > 5*time.Second && at < 9*time.Second {
			return 1.8
		}
		return 0.6
	}
	tests := []struct {
		name         string
		model        model
		isOnlyLedger bool
		check        func(m *model) string
	}{
		{
			name:  "many hosts of which each sees little: servers shed while others have room",
			model: model{hosts: 145, rate: constant(1)},
			check: func(m *model) string {
				if _, shed := m.counts(); shed > 0.01 {
					return fmt.Sprintf("servers shed %.3f of the requests", shed)
				}
				return ""
			},
		},
		{
			name: "a burst in which the least urgent requests are the most",
			model: model{hosts: 75, rate: burst, shape: func(_ time.Duration, r *modelRequest) {
				r.urgency = []int{0, 5, 5, 9, 9, 9}[(len(r.id)*7+int(r.id[len(r.id)-1]))%6]
			}},
			check: func(m *model) string {
				inBurst := func(urgency int) float64 {
					return m.share(between(6*time.Second, 9*time.Second, ofUrgency(urgency)))
				}
				if inBurst(0) < 0.95 || inBurst(0) < inBurst(5) || inBurst(5) < inBurst(9) {
					return fmt.Sprintf("served by urgency: %.2f %.2f %.2f", inBurst(0), inBurst(5), inBurst(9))
				}
				return ""
			},
		},
		{
			name: "a burst of one workspace: the others are served as before",
			model: model{hosts: 75, rate: burst, shape: func(at time.Duration, r *modelRequest) {
				r.workspace = fmt.Sprint("w", r.id[len(r.id)-1:])
				if burst(at) > 1 && r.id[len(r.id)-1] >= '3' {
					r.workspace = "burst"
				}
			}},
			check: func(m *model) string {
				others := m.share(between(6*time.Second, 9*time.Second, func(r *modelRequest) bool { return r.workspace != "burst" }))
				if others < 0.95 {
					return fmt.Sprintf("others are served %.2f", others)
				}
				return ""
			},
		},
		{
			name: "three times the demand in one failure domain",
			model: model{hosts: 75, rate: constant(0.95), shape: func(_ time.Duration, r *modelRequest) {
				if r.id[len(r.id)-1] < '4' {
					r.host -= r.host % 3
				}
			}},
			check: func(m *model) string {
				if _, shed := m.counts(); m.share(nil) < 0.98 || shed > 0.01 {
					return fmt.Sprintf("served %.3f, shed %.3f", m.share(nil), shed)
				}
				return ""
			},
		},
		{
			name:  "servers of unequal speed",
			model: model{hosts: 75, rate: constant(0.95), servers: []*modelServer{{id: "a", slowness: 1}, {id: "b", slowness: 1.3}, {id: "c", slowness: 1.7}}},
			check: func(m *model) string {
				if _, shed := m.counts(); m.share(nil) < 0.97 || shed > 0.01 || m.servers[2].served >= m.servers[0].served {
					return fmt.Sprintf("served %.3f, shed %.3f, by server %d %d %d", m.share(nil), shed, m.servers[0].served, m.servers[1].served, m.servers[2].served)
				}
				return ""
			},
		},
		{
			name: "a request waits until it is late", isOnlyLedger: true,
			model: model{hosts: 75, rate: constant(1.8)},
			check: func(m *model) string {
				refused, atOnce := 0, 0
				for _, r := range m.all {
					if !r.servedAt.IsZero() {
						continue
					}
					refused++
					if r.endedAt.Sub(r.askedAt) < 20*time.Millisecond {
						atOnce++
					}
					if r.endedAt.After(r.arrived.Add(target)) && r.endedAt.Sub(r.askedAt) > 20*time.Millisecond {
						return fmt.Sprintf("request %s was refused only after its target", r.id)
					}
				}
				if float64(atOnce) < 0.8*float64(refused) {
					return fmt.Sprintf("%d of %d refusals came at once", atOnce, refused)
				}
				return ""
			},
		},
		{
			name: "the home is lost in a burst", isOnlyLedger: true,
			model: model{hosts: 75, rate: burst, homeLostAt: 7 * time.Second},
			check: func(m *model) string {
				if _, shed := m.counts(); shed > 0.15 {
					return fmt.Sprintf("shed %.3f", shed)
				}
				before, after := m.share(between(6*time.Second, 7*time.Second, nil)), m.share(between(7*time.Second, 9*time.Second, nil))
				if after < 0.8*before {
					return fmt.Sprintf("served %.2f before and %.2f after", before, after)
				}
				return ""
			},
		},
		{
			name: "a server starts cold",
			model: model{hosts: 75, rate: constant(0.9), servers: []*modelServer{
				{id: "a", slowness: 1}, {id: "b", slowness: 1}, {id: "c", slowness: 1, startsAt: 5 * time.Second, coldFor: 20},
			}},
			check: func(m *model) string {
				// From 8 s on it has had time to warm up.
				if c := m.servers[2]; c.shed > 0 || c.served < 5*15 || m.share(between(8*time.Second, time.Minute, nil)) < 0.98 {
					return fmt.Sprintf("the server shed %d and served %d; served in the end %.3f", c.shed, c.served, m.share(between(8*time.Second, time.Minute, nil)))
				}
				return ""
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if fault := play(tt.model, false, tt.check); fault != "" {
				t.Error(fault)
			}
			fault := play(tt.model, true, tt.check)
			if fault == "" && !tt.isOnlyLedger {
				t.Error("the check finds no fault with hosts that choose by their own requests in flight")
			}
			t.Log("own in flight:", fault)
		})
	}
}

func play(m model, isLocal bool, check func(m *model) string) string {
	m.isLocal, m.duration = isLocal, 12*time.Second
	servers := m.servers
	if servers == nil {
		servers = threeServers()
	}
	m.servers = nil
	for _, s := range servers {
		c := *s
		m.servers = append(m.servers, &c)
	}
	m.play()
	return check(&m)
}

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// ask asks for a number of requests at a time and returns how many are granted and refused.
func ask(l *room.Ledger, seconds float64, ids ...string) ([]room.Grant, []room.Refusal) {
	for _, id := range ids {
		l.Ask(at(seconds), room.Request{ID: id, Requester: "h", Arrived: at(seconds), Target: at(seconds + 1), Deadline: at(seconds + 2)})
	}
	grants, refusals, _ := l.Decide(at(seconds))
	return grants, refusals
}

func TestLedger(t *testing.T) {
	one := []room.Server{{ID: "s", Slots: 6}} // a new ledger begins with half of the slots
	tests := []struct {
		name string
		run  func(l *room.Ledger) int
		want int
	}{
		{"a new home grants a part of the slots", func(l *room.Ledger) int { return grantCount(ask(l, 0, "1", "2", "3", "4", "5")) }, 3},
		{"requests that another home has granted take room", func(l *room.Ledger) int {
			l.Observe(at(0), "h2", map[string]int{"s": 2})
			return grantCount(ask(l, 0, "1", "2", "3"))
		}, 1},
		{"a statement counts no longer than a request takes", func(l *room.Ledger) int {
			l.Observe(at(0), "h2", map[string]int{"s": 2})
			return grantCount(ask(l, 2, "1", "2", "3"))
		}, 3},
		{"a host states what the home has granted itself", func(l *room.Ledger) int {
			ask(l, 0, "1")
			l.Observe(at(0.1), "h", map[string]int{"s": 1})
			return grantCount(ask(l, 0.1, "2", "3", "4"))
		}, 2},
		{"a grant that is not released expires at its deadline", func(l *room.Ledger) int {
			ask(l, 0, "1", "2", "3")
			return grantCount(ask(l, 1.9, "4")) + 10*grantCount(ask(l, 2, "5"))
		}, 20},
		{"a cancelled request leaves its room to others", func(l *room.Ledger) int {
			ask(l, 0, "1", "2", "3", "4")
			l.Cancel(at(0.1), "4")
			l.Cancel(at(0.1), "3")
			return grantCount(ask(l, 0.1, "5", "6"))
		}, 1},
		{"the limit falls when the server sheds", func(l *room.Ledger) int {
			ask(l, 0, "1", "2", "3")
			for i, id := range []string{"1", "2", "3"} {
				l.Release(at(0.1+float64(i)/100), id, room.Shed, 0)
			}
			return l.Loads()[0].Limit
		}, 1},
		{"a server that fails repeatedly gets only probes", func(l *room.Ledger) int {
			l.SetServers(at(0), []room.Server{{ID: "s", Slots: 6}, {ID: "other", Slots: 1}})
			fail(l, "s", 6)
			grants, _ := ask(l, 5, "1", "2", "3", "4")
			more, _ := ask(l, 5.5, "5")
			return len(grants) + 10*len(more)
		}, 2},
		{"servers that all fail are used", func(l *room.Ledger) int {
			fail(l, "s", 8)
			return grantCount(ask(l, 1, "1", "2"))
		}, 2},
		{"a recovered server begins low", func(l *room.Ledger) int {
			fail(l, "s", 6)
			ask(l, 5, "1")
			l.Release(at(5.1), "1", room.Served, 100*time.Millisecond)
			return l.Loads()[0].Limit
		}, 2},
		{"a server that drains gets nothing, and the requester may know another", func(l *room.Ledger) int {
			l.SetServers(at(1), []room.Server{{ID: "s", Slots: 6, TakesNoWork: true}})
			grants, refusals := ask(l, 1, "1")
			if len(refusals) != 1 || refusals[0].Reason != room.ReasonNoServer || refusals[0].RetryAfter != 0 {
				return -1
			}
			return len(grants)
		}, 0},
		{"a request that excludes the server does not hold up others", func(l *room.Ledger) int {
			l.SetServers(at(0), []room.Server{{ID: "s", Slots: 6}, {ID: "busy", Slots: 1}})
			l.Observe(at(0), "h2", map[string]int{"busy": 5})
			l.Ask(at(0), room.Request{ID: "first", Arrived: at(0), Target: at(1), Deadline: at(1), Excluded: []string{"s"}})
			return grantCount(ask(l, 0, "1"))
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := room.NewLedger(at(0))
			l.SetServers(at(0), one)
			if got := tt.run(l); got != tt.want {
				t.Errorf("got %d, want %d; %+v", got, tt.want, l.Loads())
			}
		})
	}
}

func grantCount(grants []room.Grant, _ []room.Refusal) int { return len(grants) }

// fail lets requests at a server fail one after the other.
func fail(l *room.Ledger, server string, times int) {
	for i := 0; times > 0; i++ {
		id := fmt.Sprint("f", i)
		l.Ask(at(0), room.Request{ID: id, Arrived: at(0), Target: at(9), Deadline: at(9)})
		grants, _, _ := l.Decide(at(0))
		outcome := room.Served
		if grants[0].Server == server {
			outcome = room.Failed
			times--
		}
		l.Release(at(0), id, outcome, time.Millisecond)
	}
}

// TestReturnsAreSpread guards against callers that return all at once after a burst.
func TestReturnsAreSpread(t *testing.T) {
	l := room.NewLedger(at(0))
	l.SetServers(at(0), []room.Server{{ID: "s", Slots: 6}})
	ask(l, 0, "warm")
	l.Release(at(0.1), "warm", room.Served, 100*time.Millisecond)
	var ids []string
	for i := range 200 {
		ids = append(ids, fmt.Sprint(i))
	}
	_, refusals := ask(l, 1, ids...)
	times := make(map[time.Duration]int)
	for _, r := range refusals {
		if r.RetryAfter < room.MinRetryAfter || r.RetryAfter > room.MaxRetryAfter+time.Second {
			t.Errorf("Retry-After %v", r.RetryAfter)
		}
		times[r.RetryAfter.Round(100*time.Millisecond)]++
	}
	for at, count := range times {
		if count > 15 {
			t.Errorf("%d callers return after %v", count, at)
		}
	}
	if len(refusals) < 100 {
		t.Errorf("%d of 200 requests are refused at once", len(refusals))
	}
}

// BenchmarkLedger measures a request with its release while a number of others wait, at five
// servers behind 360 hosts.
func BenchmarkLedger(b *testing.B) {
	for _, waiting := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			b.ReportAllocs()
			l := room.NewLedger(at(0))
			var servers []room.Server
			for i := range 5 {
				servers = append(servers, room.Server{ID: fmt.Sprint("s", i), Slots: 6})
			}
			l.SetServers(at(0), servers)
			var granted []string
			request := 0
			ask := func(now time.Time) {
				request++
				l.Ask(now, room.Request{
					ID: fmt.Sprint(request), Requester: fmt.Sprint("h", request%360), Workspace: fmt.Sprint("w", request%16), Urgency: request % 3,
					Arrived: now, Target: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour),
				})
				grants, _, _ := l.Decide(now)
				for _, g := range grants {
					granted = append(granted, g.RequestID)
				}
			}
			now := at(0)
			for l.Waiting() < waiting {
				ask(now)
			}
			for b.Loop() {
				now = now.Add(time.Millisecond)
				ask(now)
				l.Release(now, granted[0], room.Served, 100*time.Millisecond)
				granted = granted[1:]
				grants, _, _ := l.Decide(now)
				for _, g := range grants {
					granted = append(granted, g.RequestID)
				}
			}
		})
	}
}

// TestReturningCallersUnderOverload guards against an overload in which returning callers, who
// are late already, take all the room, so that no other request is on time, and against one in
// which they get none until they give up.
func TestReturningCallersUnderOverload(t *testing.T) {
	l := room.NewLedger(at(0))
	l.SetServers(at(0), []room.Server{{ID: "s", Slots: 2}})
	for i := range 20 {
		l.Ask(at(0), room.Request{ID: fmt.Sprint("new", i), Arrived: at(0), Target: at(60), Deadline: at(90)})
		l.Ask(at(0), room.Request{ID: fmt.Sprint("returning", i), IsReturn: true, Arrived: at(0), Target: at(50), Deadline: at(50)})
	}
	returning, granted := 0, 0
	for i := 0; granted < 20; i++ {
		now := at(float64(i) / 10)
		grants, _, _ := l.Decide(now)
		for _, g := range grants {
			granted++
			if strings.HasPrefix(g.RequestID, "returning") {
				returning++
			}
			l.Release(now, g.RequestID, room.Served, 0)
		}
	}
	if returning < 4 || returning > 6 {
		t.Errorf("%d of %d grants for returning callers, want a quarter", returning, granted)
	}
}

// TestOwnServiceTime guards against requests that are refused because others take longer, and
// against long ones that wait too long because others take less.
func TestOwnServiceTime(t *testing.T) {
	const longest = 350 * time.Millisecond // wait
	short, long := 20*time.Millisecond, 600*time.Millisecond
	for _, took := range []time.Duration{short, long} {
		now, number := time.Unix(1_700_000_000, 0), 0
		l := room.NewLedger(now)
		l.SetServers(now, []room.Server{{ID: "a", Slots: 2}, {ID: "b", Slots: 2}})
		ask := func(took time.Duration) string {
			number++
			r := room.Request{ID: fmt.Sprint("h/", number), Requester: "h", Arrived: now, Target: now.Add(longest + took), Deadline: now.Add(time.Minute), ServiceTime: took}
			l.Ask(now, r)
			return r.ID
		}
		for range 40 {
			for _, took := range []time.Duration{short, long} {
				id := ask(took)
				l.Decide(now)
				now = now.Add(took)
				l.Release(now, id, room.Served, took)
			}
		}
		for isGranted := true; isGranted; {
			ask(time.Second)
			grants, _, _ := l.Decide(now)
			isGranted = len(grants) > 0
		}
		now = now.Add(20 * time.Millisecond)
		id := ask(took)
		asked := now
		for refused := time.Duration(-1); refused < 0; now = now.Add(10 * time.Millisecond) {
			_, refusals, _ := l.Decide(now)
			if !slices.ContainsFunc(refusals, func(r room.Refusal) bool { return r.RequestID == id }) {
				if now.Sub(asked) > time.Second {
					t.Fatalf("a request of %v waits for more than a second", took)
				}
				continue
			}
			if refused = now.Sub(asked); refused < 50*time.Millisecond || refused > longest+20*time.Millisecond {
				t.Errorf("a request of %v is refused after %v", took, refused)
			}
		}
	}
}
