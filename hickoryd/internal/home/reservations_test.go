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

const terms = 10 * time.Minute

var (
	self   = member.Host{Name: "self", Incarnation: 5}
	other  = member.Host{Name: "other", Incarnation: 7, PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")}
	server = backend.Server{ID: "decode-1", Role: backend.RoleDecode, Slots: 4}
)

type (
	// loneView is a view in which nobody but this daemon can be reached.
	loneView struct {
		alive    bool // the other host
		minority bool
		known    bool
	}

	// lab fakes servers and engines.
	lab struct {
		mu        sync.Mutex
		running   []engine.RequestInfo
		cancelled []string
	}
)

func (loneView) Self() member.Host                       { return self }
func (loneView) HomeHosts(time.Time) *rendezvous.HostSet { return rendezvous.New([]string{self.Name}) }

func (f loneView) IsAlive(_ time.Time, name string, incarnation uint64) bool {
	return name == self.Name && incarnation == self.Incarnation || f.alive && incarnation == other.Incarnation
}
func (f loneView) HasQuorum(time.Time) bool { return !f.minority }
func (loneView) LastContact() time.Time     { return time.Now() }
func (f loneView) Lookup(string) (member.State, bool) {
	return member.State{Host: other}, f.known
}

func (l *lab) Version() uint64            { return 1 }
func (l *lab) Servers() []backend.Server  { return []backend.Server{server} }
func (l *lab) ObserveRemote(backend.Load) {}
func (l *lab) Load(context.Context, backend.Server) (backend.Load, error) {
	return backend.Load{ServerID: server.ID, ObservedAt: time.Now()}, nil
}

func (l *lab) Requests(context.Context, netip.AddrPort) ([]engine.RequestInfo, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, nil
}

func (l *lab) Cancel(_ backend.Server, requestID string, confirmed func()) {
	l.mu.Lock()
	l.cancelled = append(l.cancelled, requestID)
	l.mu.Unlock()
	_ = confirmed // the engine has not confirmed yet
}

func newReservations(f loneView, started time.Time) (*home.Reservations, *home.Slots, *lab) {
	set := metrics.NewSet()
	l := &lab{}
	slots := home.NewSlots(l, l, l, &log.Logger{Handler: discard.New()}, set)
	slots.Join(f)
	return home.NewReservations(started, f, peer.NewPool(insecure.NewCredentials(), netip.Addr{}), slots, set), slots, l
}

func attempt(host string, incarnation uint64, request string) string {
	return slot.RequestID{Holder: slot.Holder{Host: host, Incarnation: incarnation}, Request: request, Attempt: 1}.String()
}

// A holder that can't be asked counts as dead only when all evidence says so.
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
		"own attempt that is not held":    {loneView{}, "self", 5, time.Hour, slot.NotHeld},
		"earlier life of this daemon":     {loneView{known: true, minority: true}, "self", 4, time.Hour, slot.HolderEnded},
		"earlier life of another":         {loneView{known: true, alive: true}, "other", 6, time.Hour, slot.HolderEnded},
		"silent, heartbeats go on":        {loneView{known: true, alive: true}, "other", 7, time.Hour, slot.NoResponse},
		"silent, heartbeats ended":        {loneView{known: true}, "other", 7, time.Hour, slot.HolderEnded},
		"silent, this daemon is cut off":  {loneView{known: true, minority: true}, "other", 7, time.Hour, slot.NoResponse},
		"unknown to a daemon just begun":  {loneView{}, "third", 1, time.Second, slot.NoResponse},
		"unknown for long":                {loneView{}, "third", 1, time.Hour, slot.HolderEnded},
		"unknown, this daemon is cut off": {loneView{minority: true}, "third", 1, time.Hour, slot.NoResponse},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, _, _ := newReservations(test.fleet, now.Add(-test.started))
			id := attempt(test.host, test.incarnation, "r")
			question := slot.AuditQuery{Holder: slot.Holder{Host: test.host, Incarnation: test.incarnation}, RequestIDs: []string{id}}
			got := r.Confirm(t.Context(), now, question)
			if diff := cmp.Diff(map[string]slot.AuditResult{id: test.want}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// The auditor ends what runs for nobody and nothing else.
//
// proof: caller cancels | cancel | 1
// proof: daemon killed | stream | 1
func TestAuditEndsWhatRunsForNobody(t *testing.T) {
	reservations, slots, l := newReservations(loneView{known: true}, time.Now())
	ctx, stop := context.WithCancel(t.Context())
	stop()
	slots.Run(ctx) // one round: it finds its servers
	mine, late, dead := attempt("self", 5, "mine"), attempt("self", 5, "late"), attempt("other", 7, "dead")
	if err := reservations.Reserve(t.Context(), time.Now(), server, mine, slot.Terms{Lifetime: terms}); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{mine, late, dead, "script-1"} {
		l.running = append(l.running, engine.RequestInfo{RequestID: id})
	}
	auditor := home.NewAuditor(slots, l, reservations, metrics.NewSet())
	auditor.Audit(t.Context(), time.Now())
	want := map[string]bool{late: true, dead: true}
	got := map[string]bool{}
	for _, id := range l.cancelled {
		got[id] = true
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A caller that goes while its reservation is under way leaves nothing behind.
//
// proof: caller cancels | reserve | 1
func TestReleaseGivesTheSlotBack(t *testing.T) {
	reservations, slots, _ := newReservations(loneView{}, time.Now())
	ctx, stop := context.WithCancel(t.Context())
	stop()
	slots.Run(ctx)
	for round := range server.Slots {
		id := attempt("self", 5, fmt.Sprint(round))
		if err := reservations.Reserve(t.Context(), time.Now(), server, id, slot.Terms{Lifetime: terms}); err != nil {
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
