package slot_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/slot"
)

const lifetime = 10 * time.Minute

var (
	holderA = slot.Holder{Host: "host-a", Incarnation: 1}
	holderB = slot.Holder{Host: "host-b", Incarnation: 7}
)

func attempt(holder slot.Holder, request string) string {
	return slot.RequestID{Holder: holder, Request: request, Attempt: 1}.String()
}

func everyoneAlive(slot.Holder) bool { return true }

func newLedger(slots int) *slot.Ledger {
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: slots})
	return l
}

func used(l *slot.Ledger, now time.Time) int {
	load, _ := l.Load(now, "d")
	return load.SlotsUsed
}

// A new home finds what runs at the engine and adopts what live holders claim.
//
// proof: daemon killed | stream | 1
func TestAuditAdoptsAndCancelsAfterChangeOfHome(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger(4)
	claimed, orphan := attempt(holderA, "claimed"), attempt(holderB, "orphan")
	questions := l.Audit(now, "d", []string{"script-77", claimed, orphan}, everyoneAlive)
	want := []slot.AuditQuery{
		{Holder: holderA, RequestIDs: []string{claimed}},
		{Holder: holderB, RequestIDs: []string{orphan}},
	}
	if diff := cmp.Diff(want, questions); diff != "" {
		t.Fatal(diff)
	}
	if l.ApplyAuditResult(now, "d", claimed, slot.Held, lifetime) {
		t.Error("a claimed attempt is cancelled")
	}
	if got := used(l, now); got != 1 {
		t.Errorf("%d slots used after adoption, want 1", got)
	}
	if !l.ApplyAuditResult(now, "d", orphan, slot.HolderEnded, lifetime) {
		t.Error("the orphan is not cancelled")
	}
	if again := l.Audit(now.Add(time.Millisecond), "d", []string{claimed, orphan}, everyoneAlive); len(again) != 0 {
		t.Errorf("asked again at once: %v", again)
	}
}

// proof: daemon killed | reserve | 1
// proof: caller cancels | reserve | 1
func TestAuditOfReservations(t *testing.T) {
	start := time.Unix(1000, 0)
	id := attempt(holderA, "r")
	tests := map[string]struct {
		after      time.Duration
		running    bool
		holderDead bool
		verdict    slot.AuditResult
		wantAsked  bool
		wantCancel bool
		wantUsed   int
	}{
		"fresh and not yet decoding":     {after: time.Second, wantUsed: 1},
		"never used, released unheard":   {after: 6 * time.Second, verdict: slot.NotHeld, wantAsked: true},
		"long prefill":                   {after: 6 * time.Second, verdict: slot.Held, wantAsked: true, wantUsed: 1},
		"running":                        {after: 20 * time.Second, running: true, wantUsed: 1},
		"running for long":               {after: time.Minute, running: true, verdict: slot.Held, wantAsked: true, wantUsed: 1},
		"runs though released":           {after: time.Minute, running: true, verdict: slot.NotHeld, wantAsked: true, wantCancel: true, wantUsed: 1},
		"holder dead":                    {after: time.Second, running: true, holderDead: true, verdict: slot.HolderEnded, wantAsked: true, wantCancel: true, wantUsed: 1},
		"holder dead before it decoded":  {after: time.Second, holderDead: true, verdict: slot.HolderEnded, wantAsked: true, wantCancel: true, wantUsed: 1},
		"holder silent":                  {after: time.Second, running: true, holderDead: true, verdict: slot.NoResponse, wantAsked: true, wantUsed: 1},
		"holder silent past the hold":    {after: 11 * time.Minute, running: true, verdict: slot.NoResponse, wantAsked: true, wantCancel: true, wantUsed: 1},
		"seems dead but holds it itself": {after: time.Second, running: true, holderDead: true, verdict: slot.Held, wantAsked: true, wantUsed: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLedger(4)
			if err := l.Reserve(start, "d", slot.Reservation{RequestID: id, Holder: holderA, Deadline: start.Add(lifetime)}); err != nil {
				t.Fatal(err)
			}
			var running []string
			if test.running {
				running = []string{id}
			}
			now := start.Add(test.after)
			asked := len(l.Audit(now, "d", running, func(slot.Holder) bool { return !test.holderDead })) == 1
			if asked != test.wantAsked {
				t.Fatalf("asked: %v, want %v", asked, test.wantAsked)
			}
			if asked && l.ApplyAuditResult(now, "d", id, test.verdict, lifetime) != test.wantCancel {
				t.Errorf("cancelled: %v, want %v", !test.wantCancel, test.wantCancel)
			}
			if got := used(l, now); got != test.wantUsed {
				t.Errorf("%d slots used, want %d", got, test.wantUsed)
			}
		})
	}
}

// Audits whose listings take a little less or more time still ask each second.
//
// proof: daemon killed | cancel | 1
func TestOpenQuestionsAreAskedEachSecond(t *testing.T) {
	start := time.Unix(1000, 0)
	l := newLedger(4)
	id := attempt(holderB, "r")
	for round := range 5 {
		// Each listing is answered a millisecond sooner than the one before.
		now := start.Add(time.Duration(round) * (time.Second - time.Millisecond))
		if questions := l.Audit(now, "d", []string{id}, everyoneAlive); len(questions) != 1 {
			t.Fatalf("round %d: asked %v", round, questions)
		}
		l.ApplyAuditResult(now, "d", id, slot.NoResponse, lifetime)
		if due := l.AuditInterval("d", everyoneAlive); due != time.Second {
			t.Fatalf("round %d: next audit after %v, want 1 s", round, due)
		}
	}
}
