// Package root assembles the commands of the program.
package root

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickory/internal/command/drain"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/entrydelete"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/entryget"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/entrylist"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/entryset"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/reportburn"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/status"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
)

// group is a noun whose verbs are commands of their own.
type group struct {
	factory  *factory.Factory
	noun     string
	short    string
	commands []subcommands.Command
}

// Run runs the command line and returns its exit code: 0 for success, 1 for
// failures and 2 for usage errors.
func Run(ctx context.Context, f *factory.Factory, args []string) int {
	flags := flag.NewFlagSet("hickory", flag.ContinueOnError)
	flags.SetOutput(f.Streams.Err)
	commander := newCommander(f, flags, "hickory")
	commander.Register(status.New(f), "")
	commander.Register(drain.New(f), "")
	for _, kind := range []string{"profile", "service", "workspace", "host"} {
		commander.Register(entryGroup(f, kind), "configuration")
	}
	commander.Register(&group{factory: f, noun: "report", short: "print reports over all hosts", commands: []subcommands.Command{
		reportburn.New(f),
	}}, "")
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

func entryGroup(f *factory.Factory, kind string) *group {
	return &group{factory: f, noun: kind, short: "list, print and change " + kind + " entries", commands: []subcommands.Command{
		entrylist.New(f, kind), entryget.New(f, kind), entryset.New(f, kind), entrydelete.New(f, kind),
	}}
}

func newCommander(f *factory.Factory, flags *flag.FlagSet, name string) *subcommands.Commander {
	commander := subcommands.NewCommander(flags, name)
	commander.Output = f.Streams.Out
	commander.Error = f.Streams.Err
	commander.Register(commander.HelpCommand(), "")
	return commander
}

// Name implements subcommands.Command.
func (g *group) Name() string { return g.noun }

// Synopsis implements subcommands.Command.
func (g *group) Synopsis() string { return g.short }

// Usage implements subcommands.Command.
func (g *group) Usage() string { return "hickory " + g.noun + " VERB: " + g.short + "\n" }

// SetFlags implements subcommands.Command.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (g *group) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	inner := flag.NewFlagSet(g.noun, flag.ContinueOnError)
	inner.SetOutput(g.factory.Streams.Err)
	commander := newCommander(g.factory, inner, "hickory "+g.noun)
	for _, c := range g.commands {
		commander.Register(c, "")
	}
	if err := inner.Parse(flags.Args()); err != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx)
}
