// Package burnpage renders a burn report as one self-contained HTML page.
package burnpage

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/hickoryfront/hickoryfront/core/burn"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	timeFormat = "15:04"
	svgStart   = "<svg"
	// allDomains is the label of the sum of all failure domains.
	allDomains = "all"
)

type (
	pageData struct {
		Report burn.Report
		Plots  []plotData
	}

	plotData struct {
		Service   string
		Objective burn.Objective
		SVG       template.HTML
	}
)

//go:embed page.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) },
	"rate":    func(rate float64) string { return fmt.Sprintf("%.2f", rate) },
	"moment":  func(at time.Time) string { return at.Format(time.RFC3339) },
	"domain":  domainName,
}).Parse(pageText))

// Render returns the HTML page of a report.
func Render(report burn.Report) ([]byte, error) {
	plots, err := plotsOf(report.Rows)
	if err != nil {
		return nil, err
	}
	var page bytes.Buffer
	if err := pageTemplate.Execute(&page, pageData{Report: report, Plots: plots}); err != nil {
		return nil, err
	}
	return page.Bytes(), nil
}

// plotsOf draws one plot for each service and objective. The rows must be sorted by
// service and objective.
func plotsOf(rows []burn.Row) ([]plotData, error) {
	var plots []plotData
	for start := 0; start < len(rows); {
		end := start
		for end < len(rows) && rows[end].Key.Service == rows[start].Key.Service && rows[end].Key.Objective == rows[start].Key.Objective {
			end++
		}
		svg, err := draw(rows[start:end])
		if err != nil {
			return nil, err
		}
		plots = append(plots, plotData{Service: rows[start].Key.Service, Objective: rows[start].Key.Objective, SVG: svg})
		start = end
	}
	return plots, nil
}

// draw plots the burn rate of each failure domain over the longest window.
func draw(rows []burn.Row) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: timeFormat}
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	colors := palette.Rainbow(len(rows)+1, palette.Blue, palette.Red, 1, 0.7, 1).Colors()
	for i, row := range rows {
		line, err := lineOf(row, colors[i])
		if err != nil {
			return "", err
		}
		p.Add(line)
		p.Legend.Add(domainName(row.Key.FailureDomain), line)
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var svg bytes.Buffer
	if _, err := writer.WriteTo(&svg); err != nil {
		return "", err
	}
	element := svg.Bytes()
	return template.HTML(element[bytes.Index(element, []byte(svgStart)):]), nil
}

// lineOf returns the line of one failure domain. The line of the sum is thicker.
func lineOf(row burn.Row, lineColor color.Color) (*plotter.Line, error) {
	points := make(plotter.XYs, 0, len(row.Points))
	for _, p := range row.Points {
		points = append(points, plotter.XY{X: float64(p.At.Unix()), Y: p.Count.BurnRate(row.Share)})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, err
	}
	line.Color = lineColor
	if row.Key.FailureDomain == burn.AllDomains {
		line.Width = vg.Points(2)
	}
	return line, nil
}

func domainName(domain string) string {
	if domain == burn.AllDomains {
		return allDomains
	}
	return domain
}
