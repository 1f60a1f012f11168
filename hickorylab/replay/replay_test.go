package replay_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
	"github.com/hickoryfront/hickoryfront/hickorylab/replay"
	"github.com/hickoryfront/hickoryfront/hickorylab/trace"
)

const (
	traceSeed     = 1
	hostCount     = 3
	callerTimeout = time.Minute
)

func readTrace(t *testing.T, name string) ([]trace.Request, []trace.Outcome) {
	t.Helper()
	in, err := os.Open(filepath.Join("..", "testdata", name+".jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	requests, err := trace.ReadRequests(in)
	if err != nil {
		t.Fatal(err)
	}
	stated, err := os.Open(filepath.Join("..", "testdata", name+".outcomes.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	defer stated.Close()
	outcomes, err := trace.ReadOutcomes(stated, requests)
	if err != nil {
		t.Fatal(err)
	}
	return requests, outcomes
}

// TestRecordedTraces replays the traces of both deployments against real processes.
// It fails if an outcome differs from the stated one or if a service did not run an
// idempotency key exactly once.
//
// proof: none | answer | 2
// proof: none | answer | 3
// proof: none | claim | 5
// proof: caller cancels | stream | 1
func TestRecordedTraces(t *testing.T) {
	binaries, err := harness.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{trace.TermStart, trace.PreDawn} {
		t.Run(name, func(t *testing.T) {
			requests, outcomes := readTrace(t, name)
			c := harness.Start(t, binaries, harness.Options{Hosts: hostCount, Profile: "[admission]\nmaxWait = 1m\n"})
			c.SetEntry(c.Hosts[0], "workspace", "dutchpot", "[workspace]\nshare = 1\n", 0)
			c.Await("workspace dutchpot everywhere", func() bool { return sameRevision(c) })
			o := replay.Options{CallerTimeout: callerTimeout}
			for _, host := range c.Hosts {
				o.Hosts = append(o.Hosts, host.Address)
			}
			if err := replay.Run(t.Context(), o, requests, outcomes); err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(expectedRuns(requests), countRuns(c)); diff != "" {
				t.Errorf("keys that did not run exactly once: %s", diff)
			}
		})
	}
}

func sameRevision(c *harness.Cluster) bool {
	for _, host := range c.Hosts {
		if c.Revision(host) != c.Revision(c.Hosts[0]) {
			return false
		}
	}
	return c.Revision(c.Hosts[0]) > 1
}

func expectedRuns(requests []trace.Request) map[string]int {
	keys := map[string]int{}
	for _, r := range requests {
		if r.Key != "" {
			keys[r.Key] = 1
		}
	}
	return keys
}

func countRuns(c *harness.Cluster) map[string]int {
	runs := map[string]int{}
	for _, server := range c.Services {
		for _, run := range server.Runs() {
			if run.Key != "" {
				runs[run.Key]++
			}
		}
	}
	return runs
}

// TestRecordedTracesMatchGenerator checks that the recorded trace files equal the
// output of trace.Generate, so that a change of one without the other fails.
func TestRecordedTracesMatchGenerator(t *testing.T) {
	for _, name := range []string{trace.TermStart, trace.PreDawn} {
		requests, outcomes, err := trace.Generate(name, traceSeed)
		if err != nil {
			t.Fatal(err)
		}
		for file, write := range map[string]func(*strings.Builder) error{
			name + ".jsonl":          func(out *strings.Builder) error { return trace.Write(out, requests) },
			name + ".outcomes.jsonl": func(out *strings.Builder) error { return trace.Write(out, outcomes) },
		} {
			var generated strings.Builder
			if err := write(&generated); err != nil {
				t.Fatal(err)
			}
			recorded, err := os.ReadFile(filepath.Join("..", "testdata", file))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(generated.String(), string(recorded)); diff != "" {
				t.Errorf("%s: %s", file, diff)
			}
		}
	}
}

// TestInvalidTraceErrors checks that the error for an invalid trace names the line or
// the reason.
func TestInvalidTraceErrors(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"not JSON":      {"{", "line 1"},
		"unknown field": {`{"id":"a","kind":"call","method":"GET","path":"/","hots":1}`, "hots"},
		"unknown kind":  {`{"id":"a","kind":"rpc"}`, `unknown kind "rpc"`},
		"id twice":      {`{"id":"a","kind":"call","method":"GET","path":"/"}` + "\n" + `{"id":"a","kind":"call","method":"GET","path":"/"}`, "line 2"},
		"empty prompt":  {`{"id":"a","kind":"completion","model":"m","tokens":3}`, "ownTokens"},
		"negative time": {`{"id":"a","atMs":-1,"kind":"call","method":"GET","path":"/"}`, "below 0"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := trace.ReadRequests(strings.NewReader(test.text))
			if !errors.Is(err, trace.ErrInvalidTrace) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want ErrInvalidTrace with %q", err, test.want)
			}
		})
	}
	if _, err := trace.ReadOutcomes(strings.NewReader(`{"id":"b"}`), nil); !errors.Is(err, trace.ErrInvalidTrace) {
		t.Errorf("outcome of an unknown request: error %v, want ErrInvalidTrace", err)
	}
}
