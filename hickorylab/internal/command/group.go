package command

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickorylab/internal/command/benchpolicy"
)

// Group is a command with subcommands, such as bench with its verbs.
type Group struct {
	noun     string
	short    string
	output   io.Writer
	errors   io.Writer
	commands []subcommands.Command
}

// NewBench returns the bench command with its subcommands.
func NewBench(output, errors io.Writer) *Group {
	return &Group{noun: "bench", short: "measure the overhead of hickoryfront", output: output, errors: errors, commands: []subcommands.Command{
		NewBenchControl(output, errors),
		NewBenchPath(output, errors),
		benchpolicy.New(output, errors),
	}}
}

// Name implements subcommands.Command.
func (g *Group) Name() string { return g.noun }

// Synopsis implements subcommands.Command.
func (g *Group) Synopsis() string { return g.short }

// Usage implements subcommands.Command.
func (g *Group) Usage() string { return "hickorylab " + g.noun + " VERB: " + g.short + "\n" }

// SetFlags implements subcommands.Command.
func (g *Group) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (g *Group) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	groupFlags := flag.NewFlagSet(g.noun, flag.ContinueOnError)
	groupFlags.SetOutput(g.errors)
	commander := subcommands.NewCommander(groupFlags, "hickorylab "+g.noun)
	commander.Output = g.output
	commander.Error = g.errors
	commander.Register(commander.HelpCommand(), "")
	for _, c := range g.commands {
		commander.Register(c, "")
	}
	if err := groupFlags.Parse(flags.Args()); err != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx)
}
