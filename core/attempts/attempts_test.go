package attempts_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/attempts"
)

func TestHistory(t *testing.T) {
	once, twice := attempts.Rule{}, attempts.Rule{IsRepeatable: true, MaxRuns: 2}
	type outcomes []attempts.Outcome
	tests := []struct {
		name      string
		rule      attempts.Rule
		outcomes  outcomes
		mayRun    bool
		mayRefuse bool
		runs      int
	}{
		{name: "not sent", rule: once, mayRun: true, mayRefuse: true},
		{name: "turned away", rule: once, outcomes: outcomes{attempts.NotRun, attempts.NotRun}, mayRun: true, mayRefuse: true},
		{name: "broken off", rule: once, outcomes: outcomes{attempts.MayHaveRun}, runs: 1},
		{name: "broken off and repeatable", rule: twice, outcomes: outcomes{attempts.MayHaveRun}, mayRun: true, runs: 1},
		{name: "a repetition turned away", rule: twice, outcomes: outcomes{attempts.MayHaveRun, attempts.NotRun}, mayRun: true, runs: 1},
		{name: "broken off twice", rule: twice, outcomes: outcomes{attempts.MayHaveRun, attempts.MayHaveRun}, runs: 2},
		{name: "a migrated run is turned away", rule: once, outcomes: outcomes{attempts.Migrated, attempts.NotRun}, runs: 1},
		{name: "a migrated run breaks off", rule: once, outcomes: outcomes{attempts.Migrated, attempts.MayHaveRun}, runs: 1},
		{name: "a migrated run is migrated again", rule: once, outcomes: outcomes{attempts.Migrated, attempts.Migrated, attempts.NotRun}, runs: 1},
		{name: "a migrated run is turned away and repeatable", rule: twice, outcomes: outcomes{attempts.Migrated, attempts.NotRun}, mayRun: true, runs: 1},
		{name: "a run after a migrated one counts", rule: twice, outcomes: outcomes{attempts.Migrated, attempts.NotRun, attempts.MayHaveRun}, runs: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := attempts.New(tt.rule)
			for _, o := range tt.outcomes {
				h.Record(o)
			}
			if h.MayRun(0) != tt.mayRun || h.MayRefuse() != tt.mayRefuse || h.Runs() != tt.runs {
				t.Errorf("may run %t, want %t; may refuse %t, want %t; %d runs, want %d", h.MayRun(0), tt.mayRun, h.MayRefuse(), tt.mayRefuse, h.Runs(), tt.runs)
			}
		})
	}
}

// TestAnySequence draws sequences of outcomes, sends the request for as long as the history
// allows it, and counts the runs at the servers: a request that is not repeatable runs at
// most once, others at most MaxRuns times, and none is refused after it may have run.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := attempts.Rule{IsRepeatable: rapid.Bool().Draw(t, "isRepeatable"), MaxRuns: rapid.IntRange(0, 4).Draw(t, "maxRuns")}
		limit := 1
		if rule.IsRepeatable {
			limit = max(rule.MaxRuns, 1)
		}
		h := attempts.New(rule)
		runs, canContinue := 0, false
		for range rapid.IntRange(0, 20).Draw(t, "attempts") {
			if !canContinue && !h.MayRun(0) {
				break
			}
			o := rapid.SampledFrom([]attempts.Outcome{attempts.NotRun, attempts.MayHaveRun, attempts.Migrated}).Draw(t, "outcome")
			if o != attempts.NotRun && !canContinue {
				runs++
			}
			canContinue = o == attempts.Migrated
			mayReplace := h.MayReplace()
			h.Record(o)
			if mayReplace && !h.MayRun(0) {
				t.Fatalf("the attempt could be replaced, but the request may not run again after outcome %d", o)
			}
			if runs > limit {
				t.Fatalf("%d runs, want at most %d", runs, limit)
			}
			if h.MayRefuse() && runs > 0 {
				t.Fatalf("refused after %d runs", runs)
			}
			if h.Runs() != runs {
				t.Fatalf("%d runs counted, want %d", h.Runs(), runs)
			}
		}
	})
}
