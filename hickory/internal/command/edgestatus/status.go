// Package edgestatus implements "hickory edge status", which lists hosts on the
// users' platform with their state.
package edgestatus

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/hickory/internal/edgeapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/tableprinter"
)

// noValue is printed in place of an empty list.
const noValue = "-"

type (
	// StateReader reads the states of hosts.
	StateReader interface {
		States(ctx context.Context, addresses []string) []edgeapi.Result
	}

	// Options are the options of the command.
	Options struct {
		Streams   factory.Streams
		Addresses []string
		JSON      bool
	}
)

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Streams: f.Streams}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "status",
		Short:   "list hosts with readiness, configuration, store, retry budgets and refused prompt parts, and requests by workspace",
		Example: "  hickory edge status 10.0.0.1:9464 10.0.0.2:9464\n  HICKORY_ADDRESS=10.0.0.1:9464 hickory edge status --json\n",
		Flags:   func(flags *flag.FlagSet) { flags.BoolVar(&o.JSON, "json", false, "print JSON") },
		Run: func(ctx context.Context, args []string) error {
			var err error
			if o.Addresses, err = f.Addresses(args); err != nil {
				return err
			}
			return Run(ctx, o, edgeapi.New())
		},
	}
}

// Run prints the state of the hosts that respond. It returns the errors of the others.
func Run(ctx context.Context, o *Options, reader StateReader) error {
	var states []hoststate.State
	var failed []error
	for _, a := range reader.States(ctx, o.Addresses) {
		if a.Err != nil {
			failed = append(failed, a.Err)
			continue
		}
		states = append(states, a.State)
	}
	var err error
	if o.JSON {
		err = tableprinter.JSON(o.Streams.Out, states)
	} else {
		err = writeTable(o, states)
	}
	return errors.Join(append(failed, err)...)
}

func writeTable(o *Options, states []hoststate.State) error {
	newest := uint64(0)
	for _, s := range states {
		newest = max(newest, s.Configuration.Version)
	}
	rows := make([][]string, 0, len(states))
	for _, s := range states {
		rows = append(rows, []string{
			s.Host, s.FailureDomain, readiness(s), configuration(s, newest), store(s), strconv.FormatInt(s.InFlight, 10),
			strconv.Itoa(len(s.Servers)), strconv.Itoa(len(s.Hosts)), budgets(s), refusedParts(s),
		})
	}
	headings := []string{"host", "domain", "state", "configuration", "store", "in flight", "servers", "hosts", "repeats in 10 s", "refused prompt parts"}
	if err := tableprinter.Table(o.Streams.Out, headings, rows); err != nil {
		return err
	}
	return writeWorkspaces(o, states)
}

// writeWorkspaces prints the sums of the requests of each workspace, if there are any.
func writeWorkspaces(o *Options, states []hoststate.State) error {
	sums := make(map[string]hoststate.Workspace)
	for _, s := range states {
		for _, w := range s.Workspaces {
			sum := sums[w.Name]
			sum.Received += w.Received
			sum.Served += w.Served
			sum.UnknownKey += w.UnknownKey
			sum.OverQuota += w.OverQuota
			sum.OtherRefusals += w.OtherRefusals
			sums[w.Name] = sum
		}
	}
	if len(sums) == 0 {
		return nil
	}
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		sum := sums[name]
		row := []string{cmp.Or(name, noValue)}
		for _, n := range []uint64{sum.Received, sum.Served, sum.UnknownKey, sum.OverQuota, sum.OtherRefusals} {
			row = append(row, strconv.FormatUint(n, 10))
		}
		rows = append(rows, row)
	}
	fmt.Fprintln(o.Streams.Out)
	return tableprinter.Table(o.Streams.Out, []string{"workspace", "received", "served", "unknown key", "over quota", "refused otherwise"}, rows)
}

// readiness returns the text of the state column.
func readiness(s hoststate.State) string {
	switch {
	case s.IsDraining:
		return "leaving"
	case s.IsReady:
		return "ready"
	default:
		return "not ready"
	}
}

// configuration returns the version in force, with the newest one of all hosts if that
// differs.
func configuration(s hoststate.State, newest uint64) string {
	switch version := s.Configuration.Version; {
	case version == 0:
		return "none"
	case version < newest:
		return fmt.Sprintf("%d (newest %d)", version, newest)
	default:
		return strconv.FormatUint(version, 10)
	}
}

// store returns whether the store responds to the host.
func store(s hoststate.State) string {
	if !s.Store.IsUnreachable {
		return "answers"
	}
	if s.Store.LastResponse.IsZero() {
		return "lost, never answered"
	}
	return "lost, answered " + s.At.Sub(s.Store.LastResponse).Round(100*time.Millisecond).String() + " ago"
}

// budgets returns the retries and the allowed retries of each service.
func budgets(s hoststate.State) string {
	parts := make([]string, 0, len(s.Budgets))
	for _, b := range s.Budgets {
		parts = append(parts, fmt.Sprintf("%s %d of %.0f", b.Service, b.Retries, b.Allowed))
	}
	if len(parts) == 0 {
		return noValue
	}
	return strings.Join(parts, ", ")
}

// refusedParts returns the prompt parts that crash servers, by service.
func refusedParts(s hoststate.State) string {
	parts := make([]string, 0, len(s.RefusedParts))
	for _, r := range s.RefusedParts {
		parts = append(parts, r.Service+" "+strings.Join(r.Parts, "+"))
	}
	if len(parts) == 0 {
		return noValue
	}
	return strings.Join(parts, ", ")
}
