package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickorylab/bench"
)

// BenchPath measures the way of a request through a daemon.
type BenchPath struct {
	output  io.Writer
	errors  io.Writer
	options bench.PathOptions
	json    bool
}

// NewBenchPath returns the command.
func NewBenchPath(output, errors io.Writer) *BenchPath {
	return &BenchPath{output: output, errors: errors}
}

// Name implements subcommands.Command.
func (*BenchPath) Name() string { return "path" }

// Synopsis implements subcommands.Command.
func (*BenchPath) Synopsis() string { return "measure what a daemon adds to a call" }

// Usage implements subcommands.Command.
func (*BenchPath) Usage() string {
	return "hickorylab bench path --hickoryd FILE [--json]\n\n" +
		"Calls the same stand-ins directly and through a daemon, in turn, and relays\n" +
		"streams without pause and with a gap between tokens.\n\n" +
		"Example:\n  hickorylab bench path --hickoryd ./hickoryd\n\n"
}

// SetFlags implements subcommands.Command.
func (b *BenchPath) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&b.options.Daemon, "hickoryd", "", "path of the daemon's program")
	flags.IntVar(&b.options.Calls, "calls", 2000, "calls of each kind and way")
	flags.IntVar(&b.options.Callers, "callers", 2, "callers at once")
	flags.IntVar(&b.options.Streams, "streams", 100, "streams at once while relaying")
	flags.DurationVar(&b.options.Relay, "relay", 8*time.Second, "time of relaying at each pace")
	flags.BoolVar(&b.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (b *BenchPath) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	const tokenGap = 20 * time.Millisecond
	if b.options.Daemon == "" || b.options.Callers < 1 || b.options.Calls < b.options.Callers {
		fmt.Fprintln(b.errors, "hickorylab: name the daemon's program with --hickoryd; --callers is from 1 to --calls")
		return subcommands.ExitUsageError
	}
	b.options.Paces = []time.Duration{0, tokenGap}
	report, err := bench.MeasurePath(ctx, b.options)
	if err == nil {
		err = b.print(report)
	}
	if err != nil {
		fmt.Fprintf(b.errors, "hickorylab: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (b *BenchPath) print(report bench.PathReport) error {
	if !b.json {
		return report.WriteTable(b.output)
	}
	encoder := json.NewEncoder(b.output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
