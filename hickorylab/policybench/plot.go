package policybench

import (
	"fmt"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// metric is a value of a result that is plotted against load.
type metric struct {
	name  string
	label string
	value func(Result) float64
}

func metrics() []metric {
	return []metric{
		{"goodput", "good answers per second", func(r Result) float64 { return r.Goodput }},
		{"waste", "prefill computed and not used, %", func(r Result) float64 { return 100 * r.WastedShare }},
	}
}

// WritePlots writes a PNG and an SVG file of each metric for each combination of
// deployment, routers and faults into a directory, and returns their paths.
func WritePlots(directory string, results []Result) ([]string, error) {
	var paths []string
	for _, setting := range groupBySetting(results) {
		for _, m := range metrics() {
			p, err := draw(setting, m)
			if err != nil {
				return paths, err
			}
			for _, suffix := range []string{".png", ".svg"} {
				path := filepath.Join(directory, fileName(setting[0], m)+suffix)
				if err := p.Save(plotWidth, plotHeight, path); err != nil {
					return paths, fmt.Errorf("plot not written: %w", err)
				}
				paths = append(paths, path)
			}
		}
	}
	return paths, nil
}

// groupBySetting groups results that differ in load and policy only.
func groupBySetting(results []Result) [][]Result {
	var groups [][]Result
	at := map[string]int{}
	for _, r := range results {
		key := settingName(r)
		if _, ok := at[key]; !ok {
			at[key] = len(groups)
			groups = append(groups, nil)
		}
		groups[at[key]] = append(groups[at[key]], r)
	}
	return groups
}

func settingName(r Result) string {
	faults := "no faults"
	if r.Faults {
		faults = "faults"
	}
	return fmt.Sprintf("%s, %d routers, %s", r.Deployment, r.Routers, faults)
}

func fileName(r Result, m metric) string {
	name := strings.NewReplacer(", ", "-", " ", "-").Replace(settingName(r))
	return "policy-" + m.name + "-" + name
}

func draw(results []Result, m metric) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = settingName(results[0])
	p.X.Label.Text = "load, times capacity"
	p.Y.Label.Text = m.label
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, policy := range Policies() {
		var points plotter.XYs
		for _, r := range results {
			if r.Policy == policy {
				points = append(points, plotter.XY{X: r.Load, Y: m.value(r)})
			}
		}
		if len(points) > 0 {
			lines = append(lines, policy, points)
		}
	}
	return p, plotutil.AddLinePoints(p, lines...)
}
