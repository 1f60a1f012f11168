package slot_test

import (
	"errors"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/slot"
)

func TestReserveCountsForeignLoad(t *testing.T) {
	start := time.Unix(1000, 0)
	l := slot.New()
	l.Track(backend.Server{ID: "d", Slots: 4})
	reserve := func(at time.Time, id string) error {
		return l.Reserve(at, "d", slot.Reservation{RequestID: id, Deadline: at.Add(time.Minute)})
	}
	if err := reserve(start, "a"); err != nil {
		t.Fatal(err)
	}
	// Three slots are used, one of them by "a": two belong to the old scripts.
	l.Observe(backend.Load{ServerID: "d", ObservedAt: start.Add(time.Second), SlotsUsed: 3})
	if err := reserve(start.Add(2*time.Second), "b"); err != nil {
		t.Fatalf("fourth slot: %v", err)
	}
	if err := reserve(start.Add(2*time.Second), "c"); !errors.Is(err, slot.ErrFull) {
		t.Fatalf("fifth slot: %v, want ErrFull", err)
	}
	if err := reserve(start.Add(2*time.Second), "b"); err != nil {
		t.Errorf("the same request again: %v", err)
	}
	l.Observe(backend.Load{ServerID: "d", ObservedAt: start, SlotsUsed: 0})
	if err := reserve(start.Add(3*time.Second), "c"); !errors.Is(err, slot.ErrFull) {
		t.Errorf("an older report freed a slot: %v", err)
	}
}

func TestReserveOnLeavingServer(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.New()
	l.Track(backend.Server{ID: "d", Slots: 4})
	l.SetLeaving("d")
	if err := l.Reserve(now, "d", slot.Reservation{RequestID: "a"}); !errors.Is(err, slot.ErrLeaving) {
		t.Errorf("got %v, want ErrLeaving", err)
	}
	if err := l.Reserve(now, "x", slot.Reservation{RequestID: "a"}); !errors.Is(err, slot.ErrUnknownServer) {
		t.Errorf("got %v, want ErrUnknownServer", err)
	}
}

func TestExpiredFindsDeadHolders(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.New()
	l.Track(backend.Server{ID: "d", Slots: 4})
	dead := slot.Holder{Host: "host-1", Incarnation: 1}
	for id, holder := range map[string]slot.Holder{"a": dead, "b": {Host: "host-1", Incarnation: 2}} {
		if err := l.Reserve(now, "d", slot.Reservation{RequestID: id, Holder: holder, Deadline: now.Add(time.Minute)}); err != nil {
			t.Fatal(err)
		}
	}
	got := l.Expired(now, func(h slot.Holder) bool { return h != dead })
	if len(got["d"]) != 1 || got["d"][0].RequestID != "a" {
		t.Errorf("expired reservations: %v, want a", got)
	}
}
