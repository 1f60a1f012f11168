package command

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickorylab/internal/command/benchpolicy"
)

// Bench groups the measurements that need no processes.
type Bench struct {
	out, errors io.Writer
}

// NewBench returns the bench command.
func NewBench(out, errors io.Writer) *Bench { return &Bench{out: out, errors: errors} }

// Name implements subcommands.Command.
func (*Bench) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*Bench) Synopsis() string { return "measure decisions in virtual time" }

// Usage implements subcommands.Command.
func (*Bench) Usage() string { return "hickorylab bench policy: measure decisions in virtual time\n" }

// SetFlags implements subcommands.Command.
func (*Bench) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (b *Bench) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	inner := flag.NewFlagSet("bench", flag.ContinueOnError)
	inner.SetOutput(b.errors)
	commander := subcommands.NewCommander(inner, "hickorylab bench")
	commander.Output, commander.Error = b.out, b.errors
	commander.Register(commander.HelpCommand(), "")
	commander.Register(benchpolicy.New(b.out, b.errors), "")
	if err := inner.Parse(flags.Args()); err != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx)
}
