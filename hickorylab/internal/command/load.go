package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickorylab/load"
)

// Load is the command that sends requests to daemons at a fixed mean rate.
type Load struct {
	output     io.Writer
	errors     io.Writer
	options    load.Options
	hosts      string
	workspaces string
	json       bool
}

// NewLoad returns the load command.
func NewLoad(output, errors io.Writer) *Load { return &Load{output: output, errors: errors} }

// Name implements subcommands.Command.
func (*Load) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*Load) Synopsis() string { return "send requests at a fixed mean rate and check every response" }

// Usage implements subcommands.Command.
func (*Load) Usage() string {
	return "hickorylab load --hosts ADDRESSES [flags]\n\n" +
		"The backend servers must be the stand-ins. The exit code is 1 if a response\n" +
		"is wrong or differs from that of a retry.\n\n" +
		"Example:\n  hickorylab load --hosts 127.0.0.11:18080,127.0.0.12:18080 --rate 50 --duration 20s\n\n"
}

// SetFlags implements subcommands.Command.
func (l *Load) SetFlags(flags *flag.FlagSet) {
	o := &l.options
	flags.StringVar(&l.hosts, "hosts", "", "caller addresses of the daemons, separated by commas")
	flags.StringVar(&l.workspaces, "workspaces", "boipara", "workspaces, separated by commas")
	flags.Float64Var(&o.Rate, "rate", 20, "requests per second")
	flags.DurationVar(&o.Duration, "duration", 10*time.Second, "time for which requests are sent")
	flags.DurationVar(&o.CallerTimeout, "patience", time.Minute, "time after which a caller abandons its request")
	flags.StringVar(&o.Model, "model", "catalogue-8b", "model of the completions")
	flags.StringVar(&o.ModelService, "modelService", "", "service of the completions")
	flags.StringVar(&o.PlainService, "plainService", "cart", "service of the plain calls")
	flags.Float64Var(&o.PlainShare, "plainShare", 0.5, "share of plain calls")
	flags.Float64Var(&o.RetryShare, "resendShare", 0.2, "share of plain calls that are retried on another host")
	flags.IntVar(&o.PromptMin, "promptMin", 20, "tokens of the shortest prompt")
	flags.IntVar(&o.PromptMax, "promptMax", 2000, "tokens of the longest prompt")
	flags.IntVar(&o.MaxTokens, "tokens", 32, "tokens of a completion")
	flags.DurationVar(&o.FirstToken, "firstToken", 2*time.Second, "target of the first token")
	flags.DurationVar(&o.TokenGap, "tokenGap", 29*time.Millisecond, "target of the gap between tokens")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the random numbers")
	flags.BoolVar(&l.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (l *Load) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	o := &l.options
	if l.hosts == "" || o.Rate <= 0 || o.PromptMin < 1 || o.PromptMax < o.PromptMin || o.MaxTokens < 1 {
		fmt.Fprintln(l.errors, "hickorylab: give --hosts, rates and sizes above 0, and promptMax not below promptMin")
		return subcommands.ExitUsageError
	}
	o.Hosts = strings.Split(l.hosts, ",")
	o.Workspaces = strings.Split(l.workspaces, ",")
	report, err := load.Run(ctx, *o)
	if printErr := l.print(report); err == nil {
		err = printErr
	}
	if err != nil {
		fmt.Fprintf(l.errors, "hickorylab: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (l *Load) print(report load.Report) error {
	if !l.json {
		return report.WriteTable(l.output)
	}
	encoder := json.NewEncoder(l.output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
