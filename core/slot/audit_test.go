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
	return slot.AttemptID{Holder: holder, Request: request, Attempt: 1}.String()
}

func allAlive(slot.Holder) bool { return true }

func newLedger(slots int) *slot.Ledger {
	l := slot.NewLedger()
	l.Track(backend.Server{ID: "d", Slots: slots})
	return l
}

func slotsUsed(l *slot.Ledger, now time.Time) int {
	load, _ := l.Load(now, "d")
	return load.SlotsUsed
}

// TestAuditAdoptsAndCancelsAfterChangeOfHome audits the empty ledger of a new
// home while requests still run. The audit must adopt the attempts that their
// holders confirm, cancel those whose holder has ended, and ignore requests of
// other systems.
//
// proof: daemon killed | stream | 1
func TestAuditAdoptsAndCancelsAfterChangeOfHome(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger(4)
	confirmed, orphan := attempt(holderA, "claimed"), attempt(holderB, "orphan")
	queries := l.Audit(now, "d", []string{"script-77", confirmed, orphan}, allAlive)
	want := []slot.AuditQuery{
		{Holder: holderA, AttemptIDs: []string{confirmed}},
		{Holder: holderB, AttemptIDs: []string{orphan}},
	}
	if diff := cmp.Diff(want, queries); diff != "" {
		t.Fatal(diff)
	}
	if l.ApplyAuditResult(now, "d", confirmed, slot.Held, lifetime) {
		t.Error("a confirmed attempt is cancelled")
	}
	if got := slotsUsed(l, now); got != 1 {
		t.Errorf("%d slots used after adoption, want 1", got)
	}
	if !l.ApplyAuditResult(now, "d", orphan, slot.HolderEnded, lifetime) {
		t.Error("the orphan is not cancelled")
	}
	if again := l.Audit(now.Add(time.Millisecond), "d", []string{confirmed, orphan}, allAlive); len(again) != 0 {
		t.Errorf("queried again at once: %v", again)
	}
}

// TestAuditOfReservations checks that the audit keeps a reservation that its
// holder confirms, or whose holder does not respond before the deadline. After
// a lost release, the audit must release an unused reservation and cancel a
// running attempt. After the holder was killed, it must cancel the attempt in
// both cases.
//
// proof: daemon killed | reserve | 1
// proof: caller cancels | reserve | 1
func TestAuditOfReservations(t *testing.T) {
	start := time.Unix(1000, 0)
	id := attempt(holderA, "r")
	tests := map[string]struct {
		after       time.Duration
		running     bool
		holderEnded bool
		result      slot.AuditResult
		wantQuery   bool
		wantCancel  bool
		wantUsed    int
	}{
		"new and not yet decoding":                  {after: time.Second, wantUsed: 1},
		"never used, release was lost":              {after: 6 * time.Second, result: slot.NotHeld, wantQuery: true},
		"long prefill":                              {after: 6 * time.Second, result: slot.Held, wantQuery: true, wantUsed: 1},
		"running":                                   {after: 20 * time.Second, running: true, wantUsed: 1},
		"running for long":                          {after: time.Minute, running: true, result: slot.Held, wantQuery: true, wantUsed: 1},
		"running after its release":                 {after: time.Minute, running: true, result: slot.NotHeld, wantQuery: true, wantCancel: true, wantUsed: 1},
		"holder ended":                              {after: time.Second, running: true, holderEnded: true, result: slot.HolderEnded, wantQuery: true, wantCancel: true, wantUsed: 1},
		"holder ended before decoding":              {after: time.Second, holderEnded: true, result: slot.HolderEnded, wantQuery: true, wantCancel: true, wantUsed: 1},
		"holder does not respond":                   {after: time.Second, running: true, holderEnded: true, result: slot.NoResponse, wantQuery: true, wantUsed: 1},
		"holder does not respond past the deadline": {after: 11 * time.Minute, running: true, result: slot.NoResponse, wantQuery: true, wantCancel: true, wantUsed: 1},
		"holder seems to have ended but confirms":   {after: time.Second, running: true, holderEnded: true, result: slot.Held, wantQuery: true, wantUsed: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLedger(4)
			if err := l.Reserve(start, "d", slot.Reservation{AttemptID: id, Holder: holderA, Deadline: start.Add(lifetime)}); err != nil {
				t.Fatal(err)
			}
			var running []string
			if test.running {
				running = []string{id}
			}
			now := start.Add(test.after)
			queried := len(l.Audit(now, "d", running, func(slot.Holder) bool { return !test.holderEnded })) == 1
			if queried != test.wantQuery {
				t.Fatalf("queried: %v, want %v", queried, test.wantQuery)
			}
			if queried && l.ApplyAuditResult(now, "d", id, test.result, lifetime) != test.wantCancel {
				t.Errorf("cancelled: %v, want %v", !test.wantCancel, test.wantCancel)
			}
			if got := slotsUsed(l, now); got != test.wantUsed {
				t.Errorf("%d slots used, want %d", got, test.wantUsed)
			}
		})
	}
}

// TestAuditRepeatsUnansweredQueries checks that unanswered queries are
// repeated each second even when the audit intervals vary a little. An audit
// that came slightly early and sent no query would set the interval back to
// RenewInterval.
//
// proof: daemon killed | cancel | 1
func TestAuditRepeatsUnansweredQueries(t *testing.T) {
	start := time.Unix(1000, 0)
	l := newLedger(4)
	id := attempt(holderB, "r")
	for round := range 5 {
		// Each audit comes a millisecond earlier than the interval of one second.
		now := start.Add(time.Duration(round) * (time.Second - time.Millisecond))
		if queries := l.Audit(now, "d", []string{id}, allAlive); len(queries) != 1 {
			t.Fatalf("round %d: queries %v", round, queries)
		}
		l.ApplyAuditResult(now, "d", id, slot.NoResponse, lifetime)
		if interval := l.AuditInterval("d", allAlive); interval != time.Second {
			t.Fatalf("round %d: next audit after %v, want 1 s", round, interval)
		}
	}
}
