package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickorylab/replay"
	"github.com/hickoryfront/hickoryfront/hickorylab/trace"
)

type (
	// Replay is the command that replays a trace against daemons.
	Replay struct {
		output  io.Writer
		errors  io.Writer
		options replay.Options
		hosts   string
		expect  string
	}

	// Trace is the command that writes a trace and its outcomes.
	Trace struct {
		errors   io.Writer
		name     string
		seed     uint64
		requests string
		outcomes string
	}
)

// NewReplay returns the replay command.
func NewReplay(output, errors io.Writer) *Replay { return &Replay{output: output, errors: errors} }

// Name implements subcommands.Command.
func (*Replay) Name() string { return "replay" }

// Synopsis implements subcommands.Command.
func (*Replay) Synopsis() string { return "replay a trace and compare its outcomes" }

// Usage implements subcommands.Command.
func (*Replay) Usage() string {
	return "hickorylab replay --hosts ADDRESSES --expect OUTCOMES TRACE\n\n" +
		"Prints the first difference and exits with code 1 if an outcome differs.\n\n" +
		"Example:\n  hickorylab replay --hosts 127.0.0.11:18080 --expect testdata/term-start.outcomes.jsonl testdata/term-start.jsonl\n\n"
}

// SetFlags implements subcommands.Command.
func (r *Replay) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&r.hosts, "hosts", "", "caller addresses of the daemons, separated by commas")
	flags.StringVar(&r.expect, "expect", "", "file of stated outcomes")
	flags.DurationVar(&r.options.CallerTimeout, "patience", time.Minute, "time after which a caller abandons its request")
}

// Execute implements subcommands.Command.
func (r *Replay) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if r.hosts == "" || r.expect == "" || flags.NArg() != 1 {
		fmt.Fprintln(r.errors, "hickorylab: give --hosts, --expect and one trace")
		return subcommands.ExitUsageError
	}
	r.options.Hosts = strings.Split(r.hosts, ",")
	requests, outcomes, err := readTrace(flags.Arg(0), r.expect)
	if err == nil {
		err = replay.Run(ctx, r.options, requests, outcomes)
	}
	if err != nil {
		fmt.Fprintf(r.errors, "hickorylab: %v\n", err)
		return subcommands.ExitFailure
	}
	fmt.Fprintf(r.output, "%d requests, %d outcomes as stated\n", len(requests), len(outcomes))
	return subcommands.ExitSuccess
}

func readTrace(requestFile, outcomeFile string) ([]trace.Request, []trace.Outcome, error) {
	requestReader, err := os.Open(requestFile)
	if err != nil {
		return nil, nil, err
	}
	defer requestReader.Close()
	requests, err := trace.ReadRequests(requestReader)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", requestFile, err)
	}
	outcomeReader, err := os.Open(outcomeFile)
	if err != nil {
		return nil, nil, err
	}
	defer outcomeReader.Close()
	outcomes, err := trace.ReadOutcomes(outcomeReader, requests)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", outcomeFile, err)
	}
	return requests, outcomes, nil
}

// NewTrace returns the trace command.
func NewTrace(errors io.Writer) *Trace { return &Trace{errors: errors} }

// Name implements subcommands.Command.
func (*Trace) Name() string { return "trace" }

// Synopsis implements subcommands.Command.
func (*Trace) Synopsis() string { return "write a trace and its outcomes" }

// Usage implements subcommands.Command.
func (*Trace) Usage() string {
	return "hickorylab trace --name term-start|pre-dawn --requests FILE --outcomes FILE\n\n" +
		"Example:\n  hickorylab trace --name pre-dawn --requests pre-dawn.jsonl --outcomes pre-dawn.outcomes.jsonl\n\n"
}

// SetFlags implements subcommands.Command.
func (t *Trace) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&t.name, "name", trace.TermStart, "term-start or pre-dawn")
	flags.Uint64Var(&t.seed, "seed", 1, "seed of the random numbers")
	flags.StringVar(&t.requests, "requests", "", "file to write requests to")
	flags.StringVar(&t.outcomes, "outcomes", "", "file to write outcomes to")
}

// Execute implements subcommands.Command.
func (t *Trace) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if t.requests == "" || t.outcomes == "" {
		fmt.Fprintln(t.errors, "hickorylab: give --requests and --outcomes")
		return subcommands.ExitUsageError
	}
	if err := t.write(); err != nil {
		fmt.Fprintf(t.errors, "hickorylab: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (t *Trace) write() error {
	requests, outcomes, err := trace.Generate(t.name, t.seed)
	if err != nil {
		return err
	}
	if err := writeFile(t.requests, requests); err != nil {
		return err
	}
	return writeFile(t.outcomes, outcomes)
}

func writeFile[T trace.Request | trace.Outcome](name string, items []T) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := trace.Write(file, items); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
