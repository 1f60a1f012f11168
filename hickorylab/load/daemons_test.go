package load_test

import (
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
	"github.com/hickoryfront/hickoryfront/hickorylab/load"
)

// TestLoadOnDaemons sends completions and plain calls to real daemons and retries
// half of the calls through another host. It fails if a response is missing, wrong
// or differs from that of the retry, or if a service ran an idempotency key twice.
//
// proof: none | answer | 2
// proof: none | answer | 3
// proof: none | claim | 5
func TestLoadOnDaemons(t *testing.T) {
	binaries, err := harness.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	c := harness.Start(t, binaries, harness.Options{Profile: "[admission]\nmaxWait = 1m\n"})
	o := load.Options{
		Rate: 30, Duration: 4 * time.Second, CallerTimeout: time.Minute, Workspaces: []string{harness.Workspace}, Model: harness.Model,
		ModelService: harness.ModelService, PlainService: harness.PlainService, PlainShare: 0.6, RetryShare: 0.5,
		PromptMin: 10, PromptMax: 600, MaxTokens: 12, FirstToken: 2 * time.Second, TokenGap: 29 * time.Millisecond, Seed: 7,
	}
	for _, host := range c.Hosts {
		o.Hosts = append(o.Hosts, host.Address)
	}
	report, err := load.Run(t.Context(), o)
	if err != nil {
		t.Error(err)
	}
	if report.Failed+report.RefusedMayHaveRun > 0 || report.Answered+report.RefusedNotRun != report.Sent || report.Completed == 0 {
		t.Errorf("got report %+v, want every request answered or refused as not run, and a completion", report)
	}
	runs := map[string]int{}
	for _, server := range c.Services {
		for _, run := range server.Runs() {
			if runs[run.Key]++; runs[run.Key] > 1 {
				t.Errorf("key %s ran %d times, want at most 1", run.Key, runs[run.Key])
			}
		}
	}
}
