package bench_test

import (
	"math"
	"strings"
	"testing"

	"github.com/hickoryfront/hickoryfront/hickorylab/bench"
)

// TestFitFindsTheSlopes checks that the fit of samples with known slopes predicts
// the exact value for a larger fleet, and that three samples give no fit.
func TestFitFindsTheSlopes(t *testing.T) {
	const tolerance = 1e-6
	bytes := func(p bench.ControlPoint) float64 {
		return 1000 + 20*float64(p.Daemons) + 3*float64(p.Servers) + 150*float64(p.Servers)/float64(p.Daemons) + 0.5*float64(p.Workspaces) + 700*p.Changes
	}
	var samples []bench.ControlSample
	for _, p := range bench.DefaultPoints() {
		samples = append(samples, bench.ControlSample{Point: p, Bytes: bytes(p)})
	}
	report := bench.ControlReport{Samples: samples, Fits: bench.FitAll(samples)}
	for _, f := range report.Fits {
		if f.Quantity != "bytes" {
			continue
		}
		target := bench.ControlPoint{Daemons: 360, Servers: 12000, Workspaces: 890, Changes: 0.43}
		if got, want := f.Predict(target), bytes(target)/1000; math.Abs(got-want) > tolerance*want || f.Residual > tolerance {
			t.Errorf("%.6f KB/s, want %.6f; residual %g", got, want, f.Residual)
		}
	}
	var out strings.Builder
	if err := report.WriteTable(&out, bench.ControlPoint{Daemons: 360, Servers: 12000, Workspaces: 890, Changes: 0.43}); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "360/12000/890/0.43") || !strings.Contains(out.String(), "bytes (KB/s)") {
		t.Errorf("the table lacks the target fleet or the quantity bytes:\n%s", out.String())
	}
	if fits := bench.FitAll(samples[:3]); fits != nil {
		t.Errorf("three samples gave the fits %+v, want none", fits)
	}
}
