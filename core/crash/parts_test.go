package crash_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/crash"
)

const service = "model"

// step is one thing that a table learns.
type step struct {
	after  time.Duration // since start
	server string        // of a loss; "" for a started response
	born   int           // incarnation of the server, 0: not known
	parts  []string
}

func loss(after time.Duration, server string, parts ...string) step {
	return step{after: after, server: server, parts: parts}
}

func begun(after time.Duration, parts ...string) step {
	return step{after: after, parts: parts}
}

func (s step) apply(table *crash.PartTable, number int) {
	at := start.Add(s.after)
	if s.server == "" {
		table.RecordStart(at, service, s.parts)
		return
	}
	l := crash.PartLoss{Service: service, Parts: s.parts, RequestID: fmt.Sprint("r-", number), Server: s.server}
	if s.born > 0 {
		l.ServerStarted = time.UnixMilli(int64(s.born))
	}
	table.RecordLoss(at, l)
}

// Refusing too little lets one part crash all servers one after the other; refusing too
// much turns away sound requests that share their other parts, and after an outage all of
// them.
func TestSuspects(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	manyAtOnce := func(after time.Duration, parts ...string) []step {
		var steps []step
		for i := range 20 {
			steps = append(steps, loss(after+time.Duration(i)*ms, fmt.Sprint("s", i), parts...))
		}
		return steps
	}
	tests := []struct {
		name    string
		steps   []step
		request []string
		want    []string
	}{
		{name: "two failures", steps: []step{loss(0, "a", "x"), loss(s, "b", "x")}, request: []string{"x"}},
		{name: "three failures", steps: []step{loss(0, "a", "x"), loss(s, "b", "x"), loss(2*s, "c", "x")}, request: []string{"x"}, want: []string{"x"}},
		{name: "three failures at once", steps: []step{loss(0, "a", "x"), loss(0, "b", "x"), loss(0, "c", "x")}, request: []string{"x"}, want: []string{"x"}},
		{
			name:    "requests at one server",
			steps:   []step{loss(0, "a", "x"), loss(ms, "a", "x"), loss(2*ms, "a", "x"), loss(500*ms, "b", "x")},
			request: []string{"x"},
		},
		{
			name:    "server that starts again under its ID",
			steps:   []step{loss(0, "a", "x"), loss(4*s, "a", "x"), loss(8*s, "a", "x")},
			request: []string{"x"}, want: []string{"x"},
		},
		{
			name: "incarnations whose losses become known together",
			steps: []step{
				{server: "a", born: 1, parts: []string{"x"}},
				{server: "a", born: 2, parts: []string{"x"}},
				{server: "a", born: 3, parts: []string{"x"}},
			},
			request: []string{"x"}, want: []string{"x"},
		},
		{
			name:    "other parts differ",
			steps:   []step{loss(0, "a", "p", "x"), loss(s, "b", "q", "x"), loss(2*s, "c", "r", "x", "y")},
			request: []string{"z", "x"}, want: []string{"x"},
		},
		{
			name:    "other part is shared and not known as sound",
			steps:   []step{loss(0, "a", "p", "x"), loss(s, "b", "p", "x"), loss(2*s, "c", "p", "x")},
			request: []string{"p", "x"}, want: []string{"p", "x"},
		},
		{
			name:    "sound request with the shared part",
			steps:   []step{loss(0, "a", "p", "x"), loss(s, "b", "p", "x"), loss(2*s, "c", "p", "x")},
			request: []string{"p", "z"}, want: []string{"p", "x"},
		},
		{
			name:    "shared part has started",
			steps:   []step{loss(0, "a", "p", "x"), begun(500*ms, "p"), loss(s, "b", "p", "x"), loss(2*s, "c", "p", "x")},
			request: []string{"p", "x"}, want: []string{"x"},
		},
		{
			name:    "start clears",
			steps:   []step{loss(0, "a", "x"), loss(s, "b", "x"), begun(1500*ms, "x"), loss(2*s, "c", "x")},
			request: []string{"x"},
		},
		{
			name:    "popular part when a failure domain is lost",
			steps:   append([]step{begun(-s, "p")}, manyAtOnce(0, "p")...),
			request: []string{"p"},
		},
		{
			name:    "part that was sound before",
			steps:   []step{begun(-s, "p"), loss(0, "a", "p"), loss(2*s, "b", "p"), loss(4*s, "c", "p"), loss(6*s, "d", "p"), loss(8*s, "e", "p")},
			request: []string{"p"}, want: []string{"p"},
		},
		{
			name:    "forgotten losses",
			steps:   []step{loss(-crash.Retention, "a", "x"), loss(0, "b", "x"), loss(s, "c", "x")},
			request: []string{"x"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := crash.NewPartTable()
			now := start
			for i, s := range tt.steps {
				s.apply(table, i)
				now = start.Add(s.after)
			}
			if diff := cmp.Diff(tt.want, table.Suspects(now, service, tt.request)); diff != "" {
				t.Errorf("suspects of %v (-want +got):\n%s", tt.request, diff)
			}
			if other := table.Suspects(now, "other service", tt.request); other != nil {
				t.Errorf("suspects %v of another service", other)
			}
		})
	}
}

func TestLossIsCountedOnce(t *testing.T) {
	table := crash.NewPartTable()
	for i := range 10 { // the reports of other hosts, and the store's copies
		table.RecordLoss(start.Add(time.Duration(i)*2*time.Second), crash.PartLoss{Service: service, Parts: []string{"x"}, RequestID: "r", Server: "a"})
	}
	if got := table.Suspects(start.Add(20*time.Second), service, []string{"x"}); got != nil {
		t.Errorf("suspects %v after one loss that was reported ten times", got)
	}
}

// A refusal must concern only requests with all of its parts, must end by itself, and must
// last longer if it turns out to have ended too early.
func TestRefusal(t *testing.T) {
	table := crash.NewPartTable()
	refusal := table.Refuse(start, service, []string{"p", "x"})
	for _, tt := range []struct {
		request []string
		want    bool
	}{{[]string{"x", "z", "p"}, true}, {[]string{"p"}, false}, {[]string{"x"}, false}, {nil, false}} {
		if _, got := table.Check(start, service, tt.request); got != tt.want {
			t.Errorf("%v refused: %t, want %t", tt.request, got, tt.want)
		}
	}
	if _, got := table.Check(start, "other service", []string{"p", "x"}); got {
		t.Error("refused at another service")
	}
	end := start.Add(refusal.Duration)
	if until, got := table.Check(end.Add(-1), service, []string{"p", "x"}); !got || !until.Equal(end) {
		t.Errorf("refused until %v: %t, want until %v", until, got, end)
	}
	if _, got := table.Check(end, service, []string{"p", "x"}); got {
		t.Error("refused after the end")
	}
	if again := table.Refuse(end.Add(time.Second), service, []string{"x", "p"}); again.Duration != 2*refusal.Duration {
		t.Errorf("second refusal for %v, want twice %v", again.Duration, refusal.Duration)
	}
}

// A response that has started refutes a refusal of its parts. If it has only some of them,
// the others are the cause, also in requests without those.
func TestStartDuringRefusal(t *testing.T) {
	tests := []struct {
		name                  string
		started               []string
		wantLifted            int
		wantNarrowed          [][]string
		refused, wantUnharmed []string
	}{
		{name: "all parts", started: []string{"z", "x", "p"}, wantLifted: 1, wantUnharmed: []string{"p", "x"}},
		{name: "some parts", started: []string{"p", "z"}, wantNarrowed: [][]string{{"x"}}, refused: []string{"y", "x"}, wantUnharmed: []string{"p", "z"}},
		{name: "other parts", started: []string{"z"}, refused: []string{"p", "x"}, wantUnharmed: []string{"x"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := crash.NewPartTable()
			table.Refuse(start, service, []string{"p", "x"})
			now := start.Add(time.Second)
			lifted, narrowed := table.RecordStart(now, service, tt.started)
			var gotNarrowed [][]string
			for _, refusal := range narrowed {
				gotNarrowed = append(gotNarrowed, refusal.Parts)
			}
			if diff := cmp.Diff(tt.wantNarrowed, gotNarrowed); diff != "" || len(lifted) != tt.wantLifted {
				t.Errorf("%d lifted, want %d; narrowed (-want +got):\n%s", len(lifted), tt.wantLifted, diff)
			}
			if _, got := table.Check(now, service, tt.refused); got != (tt.refused != nil) {
				t.Errorf("%v refused: %t", tt.refused, got)
			}
			if _, got := table.Check(now, service, tt.wantUnharmed); got {
				t.Errorf("%v refused", tt.wantUnharmed)
			}
		})
	}
}

func TestRefusalsOfOtherHosts(t *testing.T) {
	table := crash.NewPartTable()
	refusal := crash.PartRefusal{Service: service, Parts: []string{"x"}, Duration: time.Minute}
	table.Add(start, refusal)
	want := []crash.PartRefusal{{Service: service, Parts: []string{"x"}, Duration: 40 * time.Second}}
	if diff := cmp.Diff(want, table.Refusals(start.Add(20*time.Second))); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	table.Lift(refusal)
	if got := table.Refusals(start); len(got) > 0 {
		t.Errorf("refusals %v after the last one was lifted", got)
	}
	if !slices.Equal([]string{"x"}, refusal.Parts) {
		t.Error("the table has changed the refusal")
	}
}

func TestPartTableIsBounded(t *testing.T) {
	table := crash.NewPartTable()
	for i := range 3_000 {
		part := []string{fmt.Sprint(i)}
		table.RecordLoss(start, crash.PartLoss{Service: service, Parts: part, RequestID: part[0], Server: "a"})
		table.RecordStart(start, service, part)
	}
	if got := table.Len(); got > 9_300 {
		t.Errorf("%d entries", got)
	}
}
