package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/gonum/mat"
)

const (
	percent    = 100
	bytesPerMB = 1e6
)

type (
	// Fit is a linear least-squares fit of a measured quantity to the properties
	// of the fleets. Base is the intercept; the other values but Residual are
	// slopes.
	Fit struct {
		Quantity   string  `json:"quantity"`
		Unit       string  `json:"unit"`
		Base       float64 `json:"base"`
		Daemons    float64 `json:"perNode"`
		Servers    float64 `json:"perServer"`     // per server of the complete fleet
		Homes      float64 `json:"perHomeServer"` // per server that a daemon is home to: servers divided by daemons
		Workspaces float64 `json:"perWorkspace"`
		Changes    float64 `json:"perChangePerSecond"`
		Residual   float64 `json:"worstResidual"`
	}

	// quantity is a value of a sample that is fitted.
	quantity struct {
		name, unit string
		value      func(ControlSample) float64
	}
)

func quantities() []quantity {
	return []quantity{
		{"processor", "% of a core", func(s ControlSample) float64 { return percent * s.CPU }},
		{"bytes", "KB/s", func(s ControlSample) float64 { return s.Bytes / 1000 }},
		{"memory", "MB", func(s ControlSample) float64 { return s.Memory / bytesPerMB }},
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
	return []float64{f.Base, f.Daemons, f.Servers, f.Homes, f.Workspaces, f.Changes}
}

// factors returns the explanatory variables of the fit for a fleet, with 1 for the
// intercept first.
func factors(p ControlPoint) []float64 {
	return []float64{
		1, float64(p.Daemons), float64(p.Servers), float64(p.Servers) / float64(p.Daemons), float64(p.Workspaces), p.Changes,
	}
}

// FitAll fits every quantity. It returns nil if the samples don't determine the fits,
// for example because there are too few.
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
	width := len(factors(ControlPoint{Daemons: 1}))
	if len(samples) < width {
		return Fit{}, fmt.Errorf("too few samples for a fit: got %d, need %d", len(samples), width)
	}
	matrix := mat.NewDense(len(samples), width, nil)
	observed := mat.NewVecDense(len(samples), nil)
	for i, s := range samples {
		matrix.SetRow(i, factors(s.Point))
		observed.SetVec(i, q.value(s))
	}
	var solution mat.VecDense
	if err := solution.SolveVec(matrix, observed); err != nil {
		return Fit{}, err
	}
	x := solution.RawVector().Data
	fit := Fit{Quantity: q.name, Unit: q.unit, Base: x[0], Daemons: x[1], Servers: x[2], Homes: x[3], Workspaces: x[4], Changes: x[5]}
	for _, s := range samples {
		fit.Residual = max(fit.Residual, q.value(s)-fit.Predict(s.Point), fit.Predict(s.Point)-q.value(s))
	}
	return fit, nil
}

// WriteTable writes the samples, the fits and the projection to the given fleet.
func (r ControlReport) WriteTable(out io.Writer, target ControlPoint) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODES\tSERVERS\tWORKSPACES\tCHANGES/S\tCPU %\tWORST CPU %\tBYTES/S\tWORST BYTES/S\tMEMORY MB\tREADS/S\tWRITES/S\tWORST SPREAD")
	for _, s := range r.Samples {
		fmt.Fprintf(w, "%d\t%d\t%d\t%.2f\t%.3f\t%.3f\t%.0f\t%.0f\t%.1f\t%.3f\t%.3f\t%s\n", s.Point.Daemons, s.Point.Servers, s.Point.Workspaces,
			s.Point.Changes, percent*s.CPU, percent*s.WorstCPU, s.Bytes, s.WorstBytes, s.Memory/bytesPerMB, s.Reads, s.Writes, s.Spread.Round(1e6))
	}
	fmt.Fprintf(w, "\nQUANTITY\tBASE\tPER NODE\tPER SERVER\tPER HOME SERVER\tPER WORKSPACE\tPER CHANGE/S\tWORST RESIDUAL\tAT %d/%d/%d/%.2f\n",
		target.Daemons, target.Servers, target.Workspaces, target.Changes)
	for _, f := range r.Fits {
		fmt.Fprintf(w, "%s (%s)\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.3g\t%.4g\n",
			f.Quantity, f.Unit, f.Base, f.Daemons, f.Servers, f.Homes, f.Workspaces, f.Changes, f.Residual, f.Predict(target))
	}
	return w.Flush()
}
