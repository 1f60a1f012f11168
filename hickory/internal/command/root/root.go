// Package root registers the commands of the program and runs the command line.
package root

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickory/internal/command/apply"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/drain"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/edgeservers"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/edgestatus"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/entrycheck"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/entrydelete"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/entrydiff"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/entryget"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/entryhistory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/entrylist"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/entryset"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/hostlist"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/reportburn"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/requestexplain"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/servicebind"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/servicelist"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/serviceunbind"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/servicewatch"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/status"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/undrain"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/version"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
)

// group is a command with subcommands: a noun, such as service, with its verbs.
type group struct {
	factory  *factory.Factory
	noun     string
	short    string
	commands []subcommands.Command
}

// Run runs the command line and returns its exit code: 0 for success, 1 for
// failures, 2 for usage errors, 3 for conflicts with another operator, and 4
// for changes that are accepted but not yet in force on every live host.
func Run(ctx context.Context, f *factory.Factory, args []string) int {
	flags := flag.NewFlagSet("hickory", flag.ContinueOnError)
	flags.SetOutput(f.Streams.Err)
	commander := newCommander(f, flags, "hickory")
	for _, command := range []subcommands.Command{status.New(f), drain.New(f), undrain.New(f), version.New(f)} {
		commander.Register(command, "")
	}
	commander.Register(apply.New(f), "configuration")
	for _, g := range groups(f) {
		commander.Register(g, "configuration")
	}
	commander.Register(&group{factory: f, noun: "report", short: "print reports over all hosts", commands: []subcommands.Command{
		reportburn.New(f),
	}}, "")
	commander.Register(&group{factory: f, noun: "edge", short: "show hosts on the users' platform and their view of the backend servers", commands: []subcommands.Command{
		edgestatus.New(f), edgeservers.New(f),
	}}, "")
	commander.Register(&group{factory: f, noun: "request", short: "explain how a request was processed", commands: []subcommands.Command{
		requestexplain.New(f),
	}}, "")
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

// groups returns the groups for the kinds of configuration entries.
func groups(f *factory.Factory) []*group {
	profiles := entryGroup(f, "profile", entrylist.New(f, "profile"))
	workspaces := entryGroup(f, "workspace", entrylist.New(f, "workspace"))
	pools := entryGroup(f, "pool", entrylist.New(f, "pool"))
	services := entryGroup(f, "service", servicelist.New(f))
	services.commands = append(services.commands, servicebind.New(f), serviceunbind.New(f), servicewatch.New(f))
	hosts := &group{factory: f, noun: "host", short: "list hosts and the changes of their entries", commands: []subcommands.Command{
		hostlist.New(f), entryget.New(f, "host"), entryhistory.New(f, "host"),
	}}
	return []*group{profiles, services, workspaces, pools, hosts}
}

// entryGroup returns a group of the verbs that all kinds of entries share, with the
// given command for list.
func entryGroup(f *factory.Factory, kind string, list subcommands.Command) *group {
	return &group{factory: f, noun: kind, short: "list, print, check and change " + kind + " entries", commands: []subcommands.Command{
		list, entryget.New(f, kind), entryset.New(f, kind), entrydelete.New(f, kind),
		entrycheck.New(f, kind), entrydiff.New(f, kind), entryhistory.New(f, kind),
	}}
}

// newCommander returns a commander with the command help.
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
