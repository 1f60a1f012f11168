package home_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/home"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
)

const slotLifetime = 10 * time.Minute

var (
	self   = member.Host{Name: "self", Incarnation: 5}
	other  = member.Host{Name: "other", Incarnation: 7, PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")}
	server = backend.Server{ID: "decode-1", Role: backend.RoleDecode, Slots: 4}
)

type (
	// loneView is the membership of a daemon that can't reach any other host.
	loneView struct {
		alive    bool // heartbeats of the other host arrive
		minority bool // this daemon hears no majority of the fleet
		known    bool // the other host is in the member list
	}

	// fakeCluster fakes the server directory, one engine and the canceller.
	fakeCluster struct {
		mu        sync.Mutex
		running   []engine.RequestInfo
		cancelled []string
	}
)

func (loneView) Self() member.Host                       { return self }
func (loneView) HomeHosts(time.Time) *rendezvous.HostSet { return rendezvous.New([]string{self.Name}) }

func (v loneView) IsAlive(_ time.Time, name string, incarnation uint64) bool {
	return name == self.Name && incarnation == self.Incarnation || v.alive && incarnation == other.Incarnation
}

func (v loneView) HasFailed(now time.Time, name string, incarnation uint64) bool {
	return !v.minority && !v.IsAlive(now, name, incarnation)
}
func (v loneView) HasMajority(time.Time) bool { return !v.minority }
func (loneView) LastContact() time.Time       { return time.Now() }
func (v loneView) Lookup(string) (member.State, bool) {
	return member.State{Host: other}, v.known
}

func (l *fakeCluster) Version() uint64           { return 1 }
func (l *fakeCluster) Servers() []backend.Server { return []backend.Server{server} }
func (l *fakeCluster) ObserveLoad(backend.Load)  {}
func (l *fakeCluster) Load(context.Context, backend.Server) (backend.Load, error) {
	return backend.Load{ServerID: server.ID, ObservedAt: time.Now()}, nil
}

func (l *fakeCluster) Requests(context.Context, netip.AddrPort) ([]engine.RequestInfo, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, nil
}

func (l *fakeCluster) Cancel(_ backend.Server, attemptID string, confirmed func()) {
	l.mu.Lock()
	l.cancelled = append(l.cancelled, attemptID)
	l.mu.Unlock()
	_ = confirmed // the engine has not confirmed yet
}

func newReservations(v loneView, started time.Time) (*home.Reservations, *home.Slots, *fakeCluster) {
	set := metrics.NewSet()
	l := &fakeCluster{}
	slots := home.NewSlots(l, l, l, &log.Logger{Handler: discard.New()}, set)
	slots.SetMembership(v)
	return home.NewReservations(started, v, peer.NewPool(insecure.NewCredentials(), netip.Addr{}), slots, set), slots, l
}

func attempt(host string, incarnation uint64, request string) string {
	return slot.AttemptID{Holder: slot.Holder{Host: host, Incarnation: incarnation}, Request: request, Attempt: 1}.String()
}

// TestConfirm checks that a holder that does not respond counts as ended only when its
// heartbeats have stopped and this daemon sees a quorum of the fleet. Otherwise a
// daemon that is cut off, was paused or has just started would cancel requests of
// daemons that are running.
//
// proof: daemon killed | stream | 1
// proof: daemon paused | stream | 3
// proof: daemons cut off | stream | 3
func TestConfirm(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		fleet       loneView
		host        string
		incarnation uint64
		started     time.Duration // before now
		want        slot.AuditResult
	}{
		"own attempt that is not held":              {loneView{}, "self", 5, time.Hour, slot.NotHeld},
		"earlier incarnation of this daemon":        {loneView{known: true, minority: true}, "self", 4, time.Hour, slot.HolderEnded},
		"earlier incarnation of another":            {loneView{known: true, alive: true}, "other", 6, time.Hour, slot.HolderEnded},
		"no response, heartbeats arrive":            {loneView{known: true, alive: true}, "other", 7, time.Hour, slot.NoResponse},
		"no response, heartbeats ended":             {loneView{known: true}, "other", 7, time.Hour, slot.HolderEnded},
		"no response, this daemon is cut off":       {loneView{known: true, minority: true}, "other", 7, time.Hour, slot.NoResponse},
		"unknown to a daemon that has just started": {loneView{}, "third", 1, time.Second, slot.NoResponse},
		"unknown after the startup period":          {loneView{}, "third", 1, time.Hour, slot.HolderEnded},
		"unknown, this daemon is cut off":           {loneView{minority: true}, "third", 1, time.Hour, slot.NoResponse},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, _, _ := newReservations(test.fleet, now.Add(-test.started))
			id := attempt(test.host, test.incarnation, "r")
			query := slot.AuditQuery{Holder: slot.Holder{Host: test.host, Incarnation: test.incarnation}, AttemptIDs: []string{id}}
			got := r.Confirm(t.Context(), now, query)
			if diff := cmp.Diff(map[string]slot.AuditResult{id: test.want}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestAuditCancelsOrphanedRequests checks that an audit cancels the requests that no
// daemon holds and no others: neither held attempts nor requests of other systems.
//
// proof: caller cancels | cancel | 1
// proof: daemon killed | stream | 1
func TestAuditCancelsOrphanedRequests(t *testing.T) {
	reservations, slots, l := newReservations(loneView{known: true}, time.Now())
	ctx, stop := context.WithCancel(t.Context())
	stop()
	slots.Run(ctx) // one interval, in which it tracks its servers
	held, notHeld, ended := attempt("self", 5, "mine"), attempt("self", 5, "late"), attempt("other", 7, "dead")
	if err := reservations.Reserve(t.Context(), time.Now(), server, held, slot.Terms{Lifetime: slotLifetime}); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{held, notHeld, ended, "script-1"} {
		l.running = append(l.running, engine.RequestInfo{RequestID: id})
	}
	auditor := home.NewAuditor(slots, l, reservations, metrics.NewSet())
	auditor.Audit(t.Context(), time.Now())
	want := map[string]bool{notHeld: true, ended: true}
	got := map[string]bool{}
	for _, id := range l.cancelled {
		got[id] = true
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestReleaseFreesSlot checks that released reservations leave no slot in use,
// as when a caller cancels while its reservation is in progress.
//
// proof: caller cancels | reserve | 1
func TestReleaseFreesSlot(t *testing.T) {
	reservations, slots, _ := newReservations(loneView{}, time.Now())
	ctx, stop := context.WithCancel(t.Context())
	stop()
	slots.Run(ctx)
	for round := range server.Slots {
		id := attempt("self", 5, fmt.Sprint(round))
		if err := reservations.Reserve(t.Context(), time.Now(), server, id, slot.Terms{Lifetime: slotLifetime}); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		if held := reservations.Held([]string{id, "x"}); len(held) != 1 {
			t.Fatalf("held: %v", held)
		}
		reservations.Release(server.ID, id)
		if held := reservations.Held([]string{id}); len(held) != 0 {
			t.Fatalf("held after the release: %v", held)
		}
	}
	reservations.Close(t.Context())
	load := slots.LocalLoads(time.Now())[0]
	if load.SlotsUsed != 0 {
		t.Errorf("%d slots used after all releases", load.SlotsUsed)
	}
}
