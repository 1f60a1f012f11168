// Package benchpolicy implements the command "bench policy".
package benchpolicy

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickorylab/policybench"
)

type (
	// Command is the command that compares placement policies. Its fields are the
	// flags and the output streams.
	Command struct {
		out, errors io.Writer
		deployments string
		policies    string
		loads       string
		routers     string
		faults      string
		loseDomain  bool
		length      time.Duration
		seed        uint64
		workers     int
		json        bool
		plots       string
	}

	// usageError is an invalid value of a flag.
	usageError struct{ reason string }
)

// New returns the bench policy command.
func New(out, errors io.Writer) *Command {
	return &Command{out: out, errors: errors}
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "policy" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "compare placement policies in virtual time" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return "hickorylab bench policy [flags]\n\nExamples:\n" +
		"  hickorylab bench policy\n" +
		"  hickorylab bench policy --deployments boipara --loads 1.3 --routers 1,7,40 --faults both\n" +
		"  hickorylab bench policy --json --plots docs/plots\n\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.deployments, "deployments", "boipara,dutchpot", "deployments, separated by commas")
	flags.StringVar(&c.policies, "policies", strings.Join(policybench.Policies(), ","), "policies, separated by commas")
	flags.StringVar(&c.loads, "loads", "0.7,1,1.3,2", "loads as multiples of the capacity, separated by commas")
	flags.StringVar(&c.routers, "routers", "7", "numbers of routers, separated by commas")
	flags.StringVar(&c.faults, "faults", "no", "run with faults: no, yes or both")
	flags.BoolVar(&c.loseDomain, "loseDomain", false, "crash the engines of a failure domain during the middle third")
	flags.DurationVar(&c.length, "length", 2*time.Minute, "length of the trace")
	flags.Uint64Var(&c.seed, "seed", 1, "seed of the random numbers")
	flags.IntVar(&c.workers, "workers", 0, "concurrent runs; 0: half of the processors")
	flags.BoolVar(&c.json, "json", false, "write JSON")
	flags.StringVar(&c.plots, "plots", "", "directory to write PNG and SVG plots to")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	err := c.Run()
	if usage, ok := err.(usageError); ok {
		fmt.Fprintln(c.errors, usage.reason)
		return subcommands.ExitUsageError
	}
	if err != nil {
		fmt.Fprintln(c.errors, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// Run executes the matrix of runs and writes the results.
func (c *Command) Run() error {
	matrix, err := c.matrix()
	if err != nil {
		return err
	}
	results := matrix.Execute()
	if c.plots != "" {
		if _, err := policybench.WritePlots(c.plots, results); err != nil {
			return err
		}
	}
	if c.json {
		return policybench.WriteJSON(c.out, results)
	}
	return policybench.WriteTable(c.out, results)
}

// Error implements error.
func (e usageError) Error() string { return e.reason }

func (c *Command) matrix() (policybench.Matrix, error) {
	m := policybench.Matrix{Length: c.length, LoseDomain: c.loseDomain, Seed: c.seed, Workers: c.workers}
	for name := range strings.SplitSeq(c.deployments, ",") {
		d, ok := deployment(name)
		if !ok {
			return m, usageError{fmt.Sprintf("unknown deployment %q: use boipara or dutchpot", name)}
		}
		m.Deployments = append(m.Deployments, d)
	}
	for name := range strings.SplitSeq(c.policies, ",") {
		if !slices.Contains(policybench.Policies(), name) {
			return m, usageError{fmt.Sprintf("unknown policy %q: use %s", name, strings.Join(policybench.Policies(), ", "))}
		}
		m.Policies = append(m.Policies, name)
	}
	for text := range strings.SplitSeq(c.loads, ",") {
		load, err := strconv.ParseFloat(text, 64)
		if err != nil || load <= 0 {
			return m, usageError{fmt.Sprintf("load %q is not a number above 0", text)}
		}
		m.Loads = append(m.Loads, load)
	}
	for text := range strings.SplitSeq(c.routers, ",") {
		routers, err := strconv.Atoi(text)
		if err != nil || routers < 1 {
			return m, usageError{fmt.Sprintf("number of routers %q is not a whole number above 0", text)}
		}
		m.Routers = append(m.Routers, routers)
	}
	faults, ok := map[string][]bool{"no": {false}, "yes": {true}, "both": {false, true}}[c.faults]
	if !ok {
		return m, usageError{fmt.Sprintf("faults %q: use no, yes or both", c.faults)}
	}
	m.Faults = faults
	return m, nil
}

func deployment(name string) (policybench.Deployment, bool) {
	for _, d := range []policybench.Deployment{policybench.Boipara(), policybench.Dutchpot()} {
		if d.Name == name {
			return d, true
		}
	}
	return policybench.Deployment{}, false
}
