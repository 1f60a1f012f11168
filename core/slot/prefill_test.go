package slot_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/slot"
)

func prefillOf(id string, work, maxBacklog time.Duration, deferrable bool) slot.Prefill {
	return slot.Prefill{RequestID: id, Work: work, MaxBacklog: maxBacklog, Deferrable: deferrable}
}

func TestPrefillQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewPrefillLedger()
	l.Track(backend.Server{ID: "p", State: backend.StateLive})
	if ready, err := l.Reserve(now, "p", prefillOf("a", 400*time.Millisecond, 0, true)); err != nil || ready != 400*time.Millisecond {
		t.Fatalf("idle server: ready in %v, %v", ready, err)
	}
	if _, err := l.Reserve(now, "p", prefillOf("b", time.Second, 300*time.Millisecond, true)); !errors.Is(err, slot.ErrBacklog) {
		t.Errorf("queue of 400 ms: %v, want ErrBacklog", err)
	}
	now = now.Add(200 * time.Millisecond)
	if ready, err := l.Reserve(now, "p", prefillOf("b", time.Second, 300*time.Millisecond, true)); err != nil || ready != 1200*time.Millisecond {
		t.Errorf("queue of 200 ms: ready in %v, %v", ready, err)
	}
	// An interactive prefill overtakes the waiting one, but not the running one.
	if ready, err := l.Reserve(now, "p", prefillOf("c", 100*time.Millisecond, 300*time.Millisecond, false)); err != nil || ready != 300*time.Millisecond {
		t.Errorf("interactive: ready in %v, %v", ready, err)
	}
	l.Release(now, "p", "a")
	l.Release(now, "p", "b")
	l.Release(now, "p", "c")
	if load, _ := l.Load(now, "p"); load.PrefillBacklog != 0 {
		t.Errorf("backlog %v after all are released", load.PrefillBacklog)
	}
}

// A prefill whose result would wait for the link until it is evicted is not
// started.
func TestPrefillWaitsForTheLink(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewPrefillLedger()
	l.Track(backend.Server{ID: "p", State: backend.StateLive})
	granted := 0
	for i := range 10 {
		p := prefillOf(fmt.Sprint(i), 10*time.Millisecond, time.Second, true)
		p.Transfer = 200 * time.Millisecond
		if _, err := l.Reserve(now, "p", p); err == nil {
			granted++
			l.Release(now, "p", p.RequestID)
		}
	}
	if granted != 3 {
		t.Errorf("%d prefills of 200 ms transfer granted at once, want 3", granted)
	}
	if load, _ := l.Load(now, "p"); load.LinkBacklog != 600*time.Millisecond {
		t.Errorf("link backlog %v, want 600ms", load.LinkBacklog)
	}
	late := prefillOf("late", 10*time.Millisecond, time.Second, true)
	if _, err := l.Reserve(now.Add(time.Second), "p", late); err != nil {
		t.Errorf("after the transfers: %v", err)
	}
}

// proof: backend server leaving | reserve | 6
func TestPrefillOnServersThatTakeNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		change func(l *slot.PrefillLedger)
		want   error
	}{
		"leaving":     {func(l *slot.PrefillLedger) { l.Observe(backend.Load{ServerID: "p", ObservedAt: now, Leaving: true}) }, slot.ErrLeaving},
		"unreachable": {func(l *slot.PrefillLedger) { l.SetReachable("p", false) }, slot.ErrUnreachable},
		"forgotten":   {func(l *slot.PrefillLedger) { l.Forget("p") }, slot.ErrUnknownServer},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := slot.NewPrefillLedger()
			l.Track(backend.Server{ID: "p", State: backend.StateLive})
			test.change(l)
			if _, err := l.Reserve(now, "p", prefillOf("a", time.Second, time.Second, false)); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func TestPrefillsOfDeadHoldersExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewPrefillLedger()
	l.Track(backend.Server{ID: "p", State: backend.StateLive})
	dead := prefillOf("a", time.Second, time.Second, false)
	dead.Holder = slot.Holder{Host: "host-1", Incarnation: 1}
	if _, err := l.Reserve(now, "p", dead); err != nil {
		t.Fatal(err)
	}
	l.Expire(now, time.Minute, func(h slot.Holder) bool { return h != dead.Holder })
	if load, _ := l.Load(now, "p"); load.PrefillBacklog != 0 {
		t.Errorf("backlog %v of a dead holder", load.PrefillBacklog)
	}
}

// A late report does not count again what was given back since.
func TestLateReportLeavesSlotsFree(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 4})
	for _, id := range []string{"a", "b", "c", "d"} {
		if err := l.Reserve(now, "d", slot.Reservation{RequestID: id}); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		l.Release(now.Add(2*time.Second), "d", id)
	}
	l.Observe(backend.Load{ServerID: "d", ObservedAt: now.Add(time.Second), SlotsUsed: 4})
	for _, id := range []string{"e", "f", "g"} {
		if err := l.Reserve(now.Add(3*time.Second), "d", slot.Reservation{RequestID: id}); err != nil {
			t.Errorf("%s: %v", id, err)
		}
	}
	if err := l.Reserve(now.Add(3*time.Second), "d", slot.Reservation{RequestID: "h"}); !errors.Is(err, slot.ErrFull) {
		t.Errorf("fifth request: %v, want ErrFull", err)
	}
}

func TestBatchLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 4})
	l.SetBatchLimit("d", 2)
	for _, id := range []string{"a", "b"} {
		if err := l.Reserve(now, "d", slot.Reservation{RequestID: id, Deferrable: true}); err != nil {
			t.Errorf("%s: %v", id, err)
		}
	}
	if err := l.Reserve(now, "d", slot.Reservation{RequestID: "c"}); !errors.Is(err, slot.ErrFull) {
		t.Errorf("request over the batch limit: %v, want ErrFull", err)
	}
}

// Where interactive requests arrive, deferrable ones leave them room; where
// none do, no slot stays empty.
func TestHeadroomFollowsInteractiveArrivals(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 4})
	if err := l.Reserve(now, "d", slot.Reservation{RequestID: "ping"}); err != nil {
		t.Fatal(err)
	}
	l.Release(now.Add(time.Second), "d", "ping")
	now = now.Add(2 * time.Second)
	granted := 0
	for _, id := range []string{"a", "b", "c", "d"} {
		if l.Reserve(now, "d", slot.Reservation{RequestID: id, Deferrable: true}) == nil {
			granted++
		}
	}
	if granted != 3 {
		t.Errorf("%d of 4 slots for deferrable requests after a ping, want 3", granted)
	}
	if err := l.Reserve(now, "d", slot.Reservation{RequestID: "next ping"}); err != nil {
		t.Errorf("interactive request on the last slot: %v", err)
	}
	l.Release(now.Add(time.Second), "d", "next ping")
	if err := l.Reserve(now.Add(time.Minute), "d", slot.Reservation{RequestID: "e", Deferrable: true}); err != nil {
		t.Errorf("deferrable request on the last slot a minute later: %v", err)
	}
}

// However many interactive requests come, an aged one is overtaken 16 times
// at most.
func TestAgedRequestsAreNotOvertakenForEver(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 2})
	brief := slot.Reservation{RequestID: "brief", Deferrable: true}
	for i := range 16 {
		now = now.Add(time.Second)
		id := fmt.Sprint("ping ", i)
		if err := l.Reserve(now, "d", slot.Reservation{RequestID: id}); err != nil {
			t.Fatal(err)
		}
		if i > 0 {
			l.Release(now, "d", fmt.Sprint("ping ", i-1))
		}
		brief.Aged = false
		if err := l.Reserve(now, "d", brief); !errors.Is(err, slot.ErrFull) {
			t.Fatalf("brief in the headroom after %d pings: %v, want ErrFull", i+1, err)
		}
	}
	brief.Aged = true
	if err := l.Reserve(now, "d", brief); err != nil {
		t.Errorf("aged brief after 16 pings: %v", err)
	}
	l.Release(now, "d", "brief")
	brief.RequestID = "next brief"
	if err := l.Reserve(now, "d", brief); !errors.Is(err, slot.ErrFull) {
		t.Errorf("next aged brief at once: %v, want ErrFull", err)
	}
}
