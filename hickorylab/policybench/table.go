package policybench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

const columnGap = 2

// WriteTable writes results as a text table.
func WriteTable(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, "DEPLOYMENT\tFAULTS\tROUTERS\tLOAD\tPOLICY\tGOODPUT/S\tIN TARGET\tOF TWOCHOICES\tOF ORACLE\tINTERACTIVE\tDEFERRABLE\tDONE\tGAP MISSED\tWASTED PREFILL\tREFUSED\tGAVE UP")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%v\t%d\t%.1f\t%s\t%.1f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.2f %%\t%d\t%d\n",
			r.Deployment, r.Faults, r.Routers, r.Load, r.Policy, r.Goodput, percent(r.GoodShare),
			ratioTo(results, r, PolicyTwoChoices), ratioTo(results, r, PolicyOracle), percent(r.InteractiveGood),
			percent(r.DeferrableGood), percent(r.DeferrableDone), percent(r.GapMissed), 100*r.WastedShare, r.Refused, r.GaveUp)
	}
	return w.Flush()
}

// WriteJSON writes results as an indented JSON array.
func WriteJSON(out io.Writer, results []Result) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}

func percent(share float64) string {
	return fmt.Sprintf("%.1f %%", 100*share)
}

// ratioTo returns the ratio of a run's goodput to that of another policy with the
// same deployment, faults, routers and load.
func ratioTo(results []Result, r Result, policy string) string {
	for _, other := range results {
		same := other.Deployment == r.Deployment && other.Faults == r.Faults && other.Routers == r.Routers && other.Load == r.Load
		if same && other.Policy == policy && other.Goodput > 0 {
			return fmt.Sprintf("%.2f", r.Goodput/other.Goodput)
		}
	}
	return "-"
}
