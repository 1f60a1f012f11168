package slot_test

import (
	"errors"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/slot"
)

// TestReserveCountsExternalLoad checks that slots which other routers use are
// taken from the free ones. Without them in the count the home would grant more
// slots than the server has.
func TestReserveCountsExternalLoad(t *testing.T) {
	start := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 4})
	reserve := func(at time.Time, id string) error {
		return l.Reserve(at, "d", slot.Reservation{AttemptID: id, Deadline: at.Add(time.Minute)})
	}
	if err := reserve(start, "a"); err != nil {
		t.Fatal(err)
	}
	// Three slots are used, one of them by "a": two belong to other routers.
	l.Observe(backend.Load{ServerID: "d", ObservedAt: start.Add(time.Second), SlotsUsed: 3})
	if err := reserve(start.Add(2*time.Second), "b"); err != nil {
		t.Fatalf("fourth slot: %v", err)
	}
	if err := reserve(start.Add(2*time.Second), "c"); !errors.Is(err, slot.ErrFull) {
		t.Fatalf("fifth slot: %v, want ErrFull", err)
	}
	if err := reserve(start.Add(2*time.Second), "b"); err != nil {
		t.Errorf("the same attempt again: %v", err)
	}
	l.Observe(backend.Load{ServerID: "d", ObservedAt: start, SlotsUsed: 0})
	if err := reserve(start.Add(3*time.Second), "c"); !errors.Is(err, slot.ErrFull) {
		t.Errorf("an older report freed a slot: %v", err)
	}
}

func TestReserveOnLeavingServer(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 4})
	l.SetLeaving("d")
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "a"}); !errors.Is(err, slot.ErrLeaving) {
		t.Errorf("got %v, want ErrLeaving", err)
	}
	if err := l.Reserve(now, "x", slot.Reservation{AttemptID: "a"}); !errors.Is(err, slot.ErrUnknownServer) {
		t.Errorf("got %v, want ErrUnknownServer", err)
	}
}

func TestReserveOnUnreachableServer(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 4})
	l.SetReachable("d", false)
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "a"}); !errors.Is(err, slot.ErrServerUnreachable) {
		t.Errorf("got %v, want ErrServerUnreachable", err)
	}
	l.SetReachable("d", true)
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "a"}); err != nil {
		t.Errorf("the server responds again: %v", err)
	}
}

// TestIsolatedReservationsNeverShareAServer checks that two requests that may
// crash their server never run on the same server.
//
// proof: crashing request | reserve | 1
func TestIsolatedReservationsNeverShareAServer(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 4})
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "a", Isolated: true}); err != nil {
		t.Fatal(err)
	}
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "b", Isolated: true}); !errors.Is(err, slot.ErrFull) {
		t.Errorf("second isolated request: %v, want ErrFull", err)
	}
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "c"}); err != nil {
		t.Errorf("ordinary request: %v", err)
	}
	l.Release(now, "d", "a")
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "b", Isolated: true}); err != nil {
		t.Errorf("isolated request after the first ended: %v", err)
	}
}

// TestRestartClearsLeaving checks that a server that announced that it leaves
// and then restarts gets new work again, unless the server list has it as
// leaving.
func TestRestartClearsLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 1})
	l.Observe(backend.Load{ServerID: "d", ObservedAt: now, Incarnation: "1", Leaving: true})
	l.Observe(backend.Load{ServerID: "d", ObservedAt: now.Add(time.Second), Incarnation: "2"})
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "a"}); err != nil {
		t.Errorf("the new incarnation counts as leaving: %v", err)
	}
	l.Track(backend.Server{ID: "d", Slots: 1, State: backend.StateLeaving})
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "b"}); !errors.Is(err, slot.ErrLeaving) {
		t.Errorf("server list has it as leaving: %v, want ErrLeaving", err)
	}
}

// TestRestartFreesSlots checks that reservations of an earlier incarnation keep
// no slots, even when the first report of the new one has an earlier time. A
// restart ends the running requests.
func TestRestartFreesSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 1})
	l.Observe(backend.Load{ServerID: "d", ObservedAt: now, Incarnation: "1"})
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "a"}); err != nil {
		t.Fatal(err)
	}
	l.Observe(backend.Load{ServerID: "d", ObservedAt: now.Add(-time.Hour), Incarnation: "2"})
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "b"}); err != nil {
		t.Errorf("slot of the earlier incarnation is still reserved: %v", err)
	}
}
