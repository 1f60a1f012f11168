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

// BenchPath is the command that measures the overhead of a daemon on the path of a
// request.
type BenchPath struct {
	output  io.Writer
	errors  io.Writer
	options bench.PathOptions
	json    bool
}

// NewBenchPath returns the bench path command.
func NewBenchPath(output, errors io.Writer) *BenchPath {
	return &BenchPath{output: output, errors: errors}
}

// Name implements subcommands.Command.
func (*BenchPath) Name() string { return "path" }

// Synopsis implements subcommands.Command.
func (*BenchPath) Synopsis() string { return "measure the latency that a daemon adds to a call" }

// Usage implements subcommands.Command.
func (*BenchPath) Usage() string {
	return "hickorylab bench path --hickoryd FILE [--json]\n\n" +
		"Calls the same stand-ins directly and through a daemon, in turn, and relays\n" +
		"streams without pause and with a gap between tokens.\n\n" +
		"Example:\n  hickorylab bench path --hickoryd ./hickoryd\n\n"
}

// SetFlags implements subcommands.Command.
func (b *BenchPath) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&b.options.Daemon, "hickoryd", "", "path of the hickoryd executable")
	flags.IntVar(&b.options.Calls, "calls", 2000, "calls of each kind, directly and through the daemon")
	flags.IntVar(&b.options.Callers, "callers", 2, "concurrent callers")
	flags.IntVar(&b.options.Streams, "streams", 100, "concurrent streams of the relay measurement")
	flags.DurationVar(&b.options.Relay, "relay", 8*time.Second, "length of the relay measurement for each token gap")
	flags.BoolVar(&b.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (b *BenchPath) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	const tokenGap = 20 * time.Millisecond
	if b.options.Daemon == "" || b.options.Callers < 1 || b.options.Calls < b.options.Callers {
		fmt.Fprintln(b.errors, "hickorylab: give the path of the hickoryd executable with --hickoryd, and --callers from 1 to --calls")
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
