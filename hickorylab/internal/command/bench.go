package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickorylab/bench"
)

// BenchControl is the command that measures the resource usage of the control work
// of daemons in fleets of several sizes.
type BenchControl struct {
	output  io.Writer
	errors  io.Writer
	options bench.ControlOptions
	points  string
	target  string
	json    bool
}

// NewBenchControl returns the bench control command.
func NewBenchControl(output, errors io.Writer) *BenchControl {
	return &BenchControl{output: output, errors: errors}
}

// Name implements subcommands.Command.
func (*BenchControl) Name() string { return "control" }

// Synopsis implements subcommands.Command.
func (*BenchControl) Synopsis() string { return "measure the resource usage of daemons in fleets" }

// Usage implements subcommands.Command.
func (*BenchControl) Usage() string {
	return "hickorylab bench control --hickoryd FILE [--points LIST] [--json]\n\n" +
		"Runs each fleet with daemons as processes on loopback addresses. A point is\n" +
		"nodes/servers/workspaces/changes per second.\n\n" +
		"Example:\n  hickorylab bench control --hickoryd ./hickoryd --points 7/28/10/0,20/28/10/0\n\n"
}

// SetFlags implements subcommands.Command.
func (b *BenchControl) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&b.options.Daemon, "hickoryd", "", "path of the hickoryd executable")
	flags.DurationVar(&b.options.Settle, "settle", 10*time.Second, "wait between the start of a fleet and the measurement")
	flags.DurationVar(&b.options.Measure, "measure", 20*time.Second, "length of the measurement")
	flags.StringVar(&b.points, "points", "", "fleets to measure; empty: a set from which all slopes can be fitted")
	flags.StringVar(&b.target, "target", "360/12000/890/0.43", "fleet to project the results to")
	flags.BoolVar(&b.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (b *BenchControl) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if b.options.Daemon == "" {
		fmt.Fprintln(b.errors, "hickorylab: --hickoryd is missing: give the path of the hickoryd executable")
		return subcommands.ExitUsageError
	}
	targets, err := parsePoints(b.target)
	if err == nil {
		b.options.Points, err = parsePoints(b.points)
	}
	if err != nil || len(targets) != 1 {
		fmt.Fprintf(b.errors, "hickorylab: points: %v\n", err)
		return subcommands.ExitUsageError
	}
	if len(b.options.Points) == 0 {
		b.options.Points = bench.DefaultPoints()
	}
	b.options.Progress = b.errors
	report, err := bench.MeasureControl(ctx, b.options)
	if err == nil {
		err = b.print(report, targets[0])
	}
	if err != nil {
		fmt.Fprintf(b.errors, "hickorylab: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (b *BenchControl) print(report bench.ControlReport, target bench.ControlPoint) error {
	if !b.json {
		return report.WriteTable(b.output, target)
	}
	encoder := json.NewEncoder(b.output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

func parsePoints(text string) ([]bench.ControlPoint, error) {
	var points []bench.ControlPoint
	for _, part := range strings.Split(text, ",") {
		if part == "" {
			continue
		}
		point, err := parsePoint(part)
		if err != nil {
			return nil, err
		}
		points = append(points, point)
	}
	return points, nil
}

func parsePoint(text string) (bench.ControlPoint, error) {
	fields := strings.Split(text, "/")
	if len(fields) != 4 {
		return bench.ControlPoint{}, fmt.Errorf("%q is not nodes/servers/workspaces/changes", text)
	}
	var counts [3]int
	for i := range counts {
		value, err := strconv.Atoi(fields[i])
		if err != nil || value < 1 {
			return bench.ControlPoint{}, fmt.Errorf("%q: %q is not a number above 0", text, fields[i])
		}
		counts[i] = value
	}
	changes, err := strconv.ParseFloat(fields[3], 64)
	if err != nil || changes < 0 {
		return bench.ControlPoint{}, fmt.Errorf("%q: %q is not a rate of at least 0", text, fields[3])
	}
	return bench.ControlPoint{Daemons: counts[0], Servers: counts[1], Workspaces: counts[2], Changes: changes}, nil
}
