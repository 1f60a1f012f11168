package policybench_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/hickoryfront/hickoryfront/hickorylab/policybench"
)

// TestReservingMeetsTargetsAtOverload checks the targets of the reserving policy at 1.3 times
// capacity with 7 routers. They are ratios within and between three runs, one per
// policy, on the same trace of 120 s of virtual time: a placement or admission change
// that lowers goodput or wastes prefill work fails here.
func TestReservingMeetsTargetsAtOverload(t *testing.T) {
	for _, d := range []policybench.Deployment{policybench.Boipara(), policybench.Dutchpot()} {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			results := policybench.Matrix{
				Deployments: []policybench.Deployment{d},
				Policies:    []string{policybench.PolicyTwoChoices, policybench.PolicyReserving, policybench.PolicyOracle},
				Loads:       []float64{1.3}, Routers: []int{7}, Faults: []bool{false}, Length: 2 * time.Minute, Seed: 1, Workers: 3,
			}.Execute()
			twoChoices, reserving, oracle := results[0], results[1], results[2]
			if ratio := reserving.Goodput / twoChoices.Goodput; ratio < 1.5 {
				t.Errorf("goodput is %.2f of two choices', want at least 1.5", ratio)
			}
			if ratio := reserving.Goodput / oracle.Goodput; ratio < 0.9 {
				t.Errorf("goodput is %.2f of the oracle's, want at least 0.9", ratio)
			}
			if reserving.WastedShare >= 0.02 || reserving.WastedShare > twoChoices.WastedShare/10 {
				t.Errorf("wasted prefill %.4f, of two choices %.4f; want under 0.02 and a tenth", reserving.WastedShare, twoChoices.WastedShare)
			}
			if reserving.InteractiveGood < 0.99 {
				t.Errorf("%.4f of the interactive requests in target, want at least 0.99", reserving.InteractiveGood)
			}
			if reserving.DeferrableDone != 1 {
				t.Errorf("%.4f of the deferrable requests finished, want all", reserving.DeferrableDone)
			}
		})
	}
}

// TestLossOfADomainDelaysDeferrablesFirst crashes all engines of a failure domain
// at full load. Interactive requests must stay within their targets. A smaller
// share of the deferrable requests may do so, but all of them must finish in the end.
func TestLossOfADomainDelaysDeferrablesFirst(t *testing.T) {
	t.Parallel()
	r := policybench.Execute(policybench.Run{
		Deployment: policybench.Boipara(), Policy: policybench.PolicyReserving, Load: 1, Routers: 7,
		LoseDomain: true, Length: time.Minute, Seed: 1,
	})
	if r.InteractiveGood < 0.99 {
		t.Errorf("%.4f of the interactive requests in target, want at least 0.99", r.InteractiveGood)
	}
	if r.DeferrableGood >= r.InteractiveGood || r.DeferrableDone != 1 {
		t.Errorf("deferrable requests: %.4f in target, %.4f finished; want fewer in target and all finished", r.DeferrableGood, r.DeferrableDone)
	}
}

// TestRunsAreRepeatable checks that two runs with the same seed give the same
// result.
func TestRunsAreRepeatable(t *testing.T) {
	run := policybench.Run{
		Deployment: policybench.Boipara(), Policy: policybench.PolicyReserving, Load: 1.3, Routers: 7,
		Faults: true, Length: 10 * time.Second, Seed: 3,
	}
	first, second := policybench.Execute(run), policybench.Execute(run)
	if diff := cmp.Diff(first, second, cmpopts.IgnoreUnexported(policybench.Result{})); diff != "" {
		t.Errorf("runs differ (-first +second):\n%s", diff)
	}
}

func TestReports(t *testing.T) {
	results := policybench.Matrix{
		Deployments: []policybench.Deployment{policybench.Boipara()}, Policies: policybench.Policies(),
		Loads: []float64{0.7}, Routers: []int{1}, Faults: []bool{false}, Length: 2 * time.Second, Seed: 1,
	}.Execute()
	var table bytes.Buffer
	if err := policybench.WriteTable(&table, results); err != nil {
		t.Fatal(err)
	}
	if lines := bytes.Count(table.Bytes(), []byte("\n")); lines != 1+len(policybench.Policies()) {
		t.Errorf("the table has %d lines, want a header and one for each policy:\n%s", lines, table.String())
	}
	paths, err := policybench.WritePlots(t.TempDir(), results)
	if err != nil {
		t.Fatal(err)
	}
	if len(paths) != 4 {
		t.Errorf("plots %v, want a PNG and an SVG of two metrics", paths)
	}
	for _, path := range paths {
		if info, err := os.Stat(path); err != nil || info.Size() == 0 {
			t.Errorf("plot %s is missing or empty: %v", path, err)
		}
	}
}
