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
	return slot.Prefill{AttemptID: id, Work: work, MaxBacklog: maxBacklog, Deferrable: deferrable}
}

// TestPrefillQueue checks the predicted times. They follow the reserved work,
// the time since the first prefill started, and the priority of interactive
// prefills over waiting deferrable ones.
func TestPrefillQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewPrefillLedger()
	l.Track(backend.Server{ID: "p", State: backend.StateLive})
	if ready, err := l.Reserve(now, "p", prefillOf("a", 400*time.Millisecond, 0, true)); err != nil || ready != 400*time.Millisecond {
		t.Fatalf("idle server: ready in %v, %v", ready, err)
	}
	if _, err := l.Reserve(now, "p", prefillOf("b", time.Second, 300*time.Millisecond, true)); !errors.Is(err, slot.ErrBacklog) {
		t.Errorf("backlog of 400 ms: %v, want ErrBacklog", err)
	}
	now = now.Add(200 * time.Millisecond)
	if ready, err := l.Reserve(now, "p", prefillOf("b", time.Second, 300*time.Millisecond, true)); err != nil || ready != 1200*time.Millisecond {
		t.Errorf("backlog of 200 ms: ready in %v, %v", ready, err)
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

// TestPrefillWaitsForLink checks that a prefill is refused while the link is so
// busy that the engine would evict the result before its transfer.
func TestPrefillWaitsForLink(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewPrefillLedger()
	l.Track(backend.Server{ID: "p", State: backend.StateLive})
	granted := 0
	for i := range 10 {
		p := prefillOf(fmt.Sprint(i), 10*time.Millisecond, time.Second, true)
		p.Transfer = 200 * time.Millisecond
		if _, err := l.Reserve(now, "p", p); err == nil {
			granted++
			l.Release(now, "p", p.AttemptID)
		}
	}
	if granted != 3 {
		t.Errorf("%d prefills of 200 ms transfer granted at once, want 3", granted)
	}
	if load, _ := l.Load(now, "p"); load.LinkBacklog != 600*time.Millisecond {
		t.Errorf("link backlog %v, want 600ms", load.LinkBacklog)
	}
	later := prefillOf("late", 10*time.Millisecond, time.Second, true)
	if _, err := l.Reserve(now.Add(time.Second), "p", later); err != nil {
		t.Errorf("after the transfers: %v", err)
	}
}

// proof: backend server leaving | reserve | 6
func TestReservePrefillOnUnavailableServer(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		change func(l *slot.PrefillLedger)
		want   error
	}{
		"leaving":     {func(l *slot.PrefillLedger) { l.Observe(backend.Load{ServerID: "p", ObservedAt: now, Leaving: true}) }, slot.ErrLeaving},
		"unreachable": {func(l *slot.PrefillLedger) { l.SetReachable("p", false) }, slot.ErrServerUnreachable},
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

// TestPrefillsOfEndedHoldersExpire checks that the prefills of a holder that
// has ended are removed. Such a holder never releases its prefills, which would
// lengthen the backlog for ever.
func TestPrefillsOfEndedHoldersExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewPrefillLedger()
	l.Track(backend.Server{ID: "p", State: backend.StateLive})
	orphan := prefillOf("a", time.Second, time.Second, false)
	orphan.Holder = slot.Holder{Host: "host-1", Incarnation: 1}
	if _, err := l.Reserve(now, "p", orphan); err != nil {
		t.Fatal(err)
	}
	l.Expire(now, time.Minute, func(h slot.Holder) bool { return h != orphan.Holder })
	if load, _ := l.Load(now, "p"); load.PrefillBacklog != 0 {
		t.Errorf("backlog %v of a holder that has ended", load.PrefillBacklog)
	}
}

// TestLateReportLeavesSlotsFree sends a late load report, which includes slots
// that were released after it was taken. The ledger must not count them as load
// from other routers.
func TestLateReportLeavesSlotsFree(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 4})
	for _, id := range []string{"a", "b", "c", "d"} {
		if err := l.Reserve(now, "d", slot.Reservation{AttemptID: id}); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		l.Release(now.Add(2*time.Second), "d", id)
	}
	l.Observe(backend.Load{ServerID: "d", ObservedAt: now.Add(time.Second), SlotsUsed: 4})
	for _, id := range []string{"e", "f", "g"} {
		if err := l.Reserve(now.Add(3*time.Second), "d", slot.Reservation{AttemptID: id}); err != nil {
			t.Errorf("%s: %v", id, err)
		}
	}
	if err := l.Reserve(now.Add(3*time.Second), "d", slot.Reservation{AttemptID: "h"}); !errors.Is(err, slot.ErrFull) {
		t.Errorf("fifth request: %v, want ErrFull", err)
	}
}

func TestBatchLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 4})
	l.SetBatchLimit("d", 2)
	for _, id := range []string{"a", "b"} {
		if err := l.Reserve(now, "d", slot.Reservation{AttemptID: id, Deferrable: true}); err != nil {
			t.Errorf("%s: %v", id, err)
		}
	}
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "c"}); !errors.Is(err, slot.ErrFull) {
		t.Errorf("request over the batch limit: %v, want ErrFull", err)
	}
}

// TestHeadroomFollowsInteractiveArrivals checks that deferrable requests leave
// slots free for interactive arrivals, and use all slots where no interactive
// requests arrive.
func TestHeadroomFollowsInteractiveArrivals(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 4})
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "ping"}); err != nil {
		t.Fatal(err)
	}
	l.Release(now.Add(time.Second), "d", "ping")
	now = now.Add(2 * time.Second)
	granted := 0
	for _, id := range []string{"a", "b", "c", "d"} {
		if l.Reserve(now, "d", slot.Reservation{AttemptID: id, Deferrable: true}) == nil {
			granted++
		}
	}
	if granted != 3 {
		t.Errorf("%d of 4 slots for deferrable requests after an interactive one, want 3", granted)
	}
	if err := l.Reserve(now, "d", slot.Reservation{AttemptID: "next ping"}); err != nil {
		t.Errorf("interactive request on the last slot: %v", err)
	}
	l.Release(now.Add(time.Second), "d", "next ping")
	if err := l.Reserve(now.Add(time.Minute), "d", slot.Reservation{AttemptID: "e", Deferrable: true}); err != nil {
		t.Errorf("deferrable request on the last slot a minute later: %v", err)
	}
}

// TestAgedRequestsDoNotStarve checks that at most 16 interactive requests
// overtake an aged deferrable one. Without the limit a steady arrival of
// interactive requests would starve it.
func TestAgedRequestsDoNotStarve(t *testing.T) {
	now := time.Unix(1000, 0)
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: 2})
	deferrable := slot.Reservation{AttemptID: "brief", Deferrable: true}
	for i := range 16 {
		now = now.Add(time.Second)
		id := fmt.Sprint("ping ", i)
		if err := l.Reserve(now, "d", slot.Reservation{AttemptID: id}); err != nil {
			t.Fatal(err)
		}
		if i > 0 {
			l.Release(now, "d", fmt.Sprint("ping ", i-1))
		}
		deferrable.Aged = false
		if err := l.Reserve(now, "d", deferrable); !errors.Is(err, slot.ErrFull) {
			t.Fatalf("deferrable request granted after %d interactive ones: %v, want ErrFull", i+1, err)
		}
	}
	deferrable.Aged = true
	if err := l.Reserve(now, "d", deferrable); err != nil {
		t.Errorf("aged request after 16 interactive ones: %v", err)
	}
	l.Release(now, "d", "brief")
	deferrable.AttemptID = "next brief"
	if err := l.Reserve(now, "d", deferrable); !errors.Is(err, slot.ErrFull) {
		t.Errorf("second aged request right after the first: %v, want ErrFull", err)
	}
}
