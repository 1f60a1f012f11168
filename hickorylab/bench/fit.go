package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/gonum/mat"
)

const (
	perCent   = 100
	bytesOfMB = 1e6
)

type (
	// Fit is one measured quantity as a sum of slopes, by least squares.
	Fit struct {
		Quantity string  `json:"quantity"`
		Unit     string  `json:"unit"`
		Base     float64 `json:"base"`
		Nodes    float64 `json:"perNode"`
		Servers  float64 `json:"perServer"`     // of the whole fleet
		Homes    float64 `json:"perHomeServer"` // servers divided by nodes
		Workspaces   float64 `json:"perWorkspace"`
		Changes  float64 `json:"perChangePerSecond"`
		Residual float64 `json:"worstResidual"`
	}

	quantity struct {
		name, unit string
		of         func(ControlSample) float64
	}
)

func quantities() []quantity {
	return []quantity{
		{"processor", "% of a core", func(s ControlSample) float64 { return perCent * s.CPU }},
		{"bytes", "KB/s", func(s ControlSample) float64 { return s.Bytes / 1000 }},
		{"memory", "MB", func(s ControlSample) float64 { return s.Memory / bytesOfMB }},
		{"platform reads", "1/s", func(s ControlSample) float64 { return s.Reads }},
		{"platform writes", "1/s", func(s ControlSample) float64 { return s.Writes }},
	}
}

// Predict returns the fitted quantity for a fleet.
func (f Fit) Predict(p ControlPoint) float64 {
	sum := 0.0
	for i, x := range factors(p) {
		sum += x * f.slopes()[i]
	}
	return sum
}

func (f Fit) slopes() []float64 {
	return []float64{f.Base, f.Nodes, f.Servers, f.Homes, f.Workspaces, f.Changes}
}

// factors are what a quantity may depend on.
func factors(p ControlPoint) []float64 {
	return []float64{
		1, float64(p.Nodes), float64(p.Servers), float64(p.Servers) / float64(p.Nodes), float64(p.Workspaces), p.Changes,
	}
}

// FitAll fits every quantity, or none when there are too few samples.
func FitAll(samples []ControlSample) []Fit {
	var fits []Fit
	for _, q := range quantities() {
		fit, err := fitOne(samples, q)
		if err != nil {
			return nil
		}
		fits = append(fits, fit)
	}
	return fits
}

func fitOne(samples []ControlSample, q quantity) (Fit, error) {
	width := len(factors(ControlPoint{Nodes: 1}))
	if len(samples) < width {
		return Fit{}, fmt.Errorf("%d samples can't give %d slopes", len(samples), width)
	}
	left := mat.NewDense(len(samples), width, nil)
	right := mat.NewVecDense(len(samples), nil)
	for i, s := range samples {
		left.SetRow(i, factors(s.Point))
		right.SetVec(i, q.of(s))
	}
	var solution mat.VecDense
	if err := solution.SolveVec(left, right); err != nil {
		return Fit{}, err
	}
	x := solution.RawVector().Data
	fit := Fit{Quantity: q.name, Unit: q.unit, Base: x[0], Nodes: x[1], Servers: x[2], Homes: x[3], Workspaces: x[4], Changes: x[5]}
	for _, s := range samples {
		fit.Residual = max(fit.Residual, q.of(s)-fit.Predict(s.Point), fit.Predict(s.Point)-q.of(s))
	}
	return fit, nil
}

// WriteTable prints samples, slopes and the projection to the given fleet.
func (r ControlReport) WriteTable(out io.Writer, target ControlPoint) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODES\tSERVERS\tWORKSPACES\tCHANGES/S\tCPU %\tWORST CPU %\tBYTES/S\tWORST BYTES/S\tMEMORY MB\tREADS/S\tWRITES/S\tWORST SPREAD")
	for _, s := range r.Samples {
		fmt.Fprintf(w, "%d\t%d\t%d\t%.2f\t%.3f\t%.3f\t%.0f\t%.0f\t%.1f\t%.3f\t%.3f\t%s\n", s.Point.Nodes, s.Point.Servers, s.Point.Workspaces,
			s.Point.Changes, perCent*s.CPU, perCent*s.WorstCPU, s.Bytes, s.WorstBytes, s.Memory/bytesOfMB, s.Reads, s.Writes, s.Spread.Round(1e6))
	}
	fmt.Fprintf(w, "\nQUANTITY\tBASE\tPER NODE\tPER SERVER\tPER HOME SERVER\tPER WORKSPACE\tPER CHANGE/S\tWORST RESIDUAL\tAT %d/%d/%d/%.2f\n",
		target.Nodes, target.Servers, target.Workspaces, target.Changes)
	for _, f := range r.Fits {
		fmt.Fprintf(w, "%s (%s)\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.3g\t%.4g\n",
			f.Quantity, f.Unit, f.Base, f.Nodes, f.Servers, f.Homes, f.Workspaces, f.Changes, f.Residual, f.Predict(target))
	}
	return w.Flush()
}
