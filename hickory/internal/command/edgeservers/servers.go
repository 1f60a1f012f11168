// Package edgeservers implements "hickory edge servers", which lists one host's view
// of the backend servers on the users' platform.
package edgeservers

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"strconv"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/hickory/internal/edgeapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/tableprinter"
)

type (
	// StateReader reads the state of a host.
	StateReader interface {
		State(ctx context.Context, address string) (hoststate.State, error)
	}

	// Options are the options of the command.
	Options struct {
		Streams factory.Streams
		Address string
		Service string
		JSON    bool
	}
)

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Streams: f.Streams}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "servers",
		Short:   "list the backend servers as one host sees them: stage, requests, memory, failures, limits",
		Example: "  hickory edge servers 10.0.0.1:9464\n  hickory edge servers 10.0.0.1:9464 --service model --json\n",
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&o.Service, "service", "", "list the servers of one service only")
			flags.BoolVar(&o.JSON, "json", false, "print JSON")
		},
		Run: func(ctx context.Context, args []string) error {
			addresses, err := f.Addresses(args)
			if err != nil {
				return err
			}
			if len(addresses) != 1 {
				return factory.Usagef("give one host's operator address; each host has its own view")
			}
			o.Address = addresses[0]
			return Run(ctx, o, edgeapi.New())
		},
	}
}

// Run prints the backend servers.
func Run(ctx context.Context, o *Options, reader StateReader) error {
	state, err := reader.State(ctx, o.Address)
	if err != nil {
		return err
	}
	servers := []hoststate.Server{}
	for _, s := range state.Servers {
		if o.Service == "" || s.Service == o.Service {
			servers = append(servers, s)
		}
	}
	if o.JSON {
		return tableprinter.JSON(o.Streams.Out, servers)
	}
	rows := make([][]string, 0, len(servers))
	for _, s := range servers {
		rows = append(rows, []string{
			s.ID, s.Service, cmp.Or(s.Stage, "-"), s.FailureDomain, s.Address.String(), work(s),
			strconv.Itoa(s.Requests), strconv.Itoa(s.Tokens), fmt.Sprintf("%.0f %%", 100*s.FailureRate), limit(s),
		})
	}
	headings := []string{"server", "service", "stage", "domain", "address", "work", "requests", "tokens", "failures", "limit"}
	return tableprinter.Table(o.Streams.Out, headings, rows)
}

// limit returns the number of requests a second that a server takes from all hosts.
func limit(s hoststate.Server) string {
	if s.Limit == nil {
		return "-"
	}
	return strconv.FormatFloat(*s.Limit, 'g', 3, 64) + "/s"
}

// work returns whether the host sends requests to a server, or why not.
func work(s hoststate.Server) string {
	switch {
	case s.IsDraining:
		return "draining"
	case s.HasNoPath:
		return "no path"
	case s.IsEjected:
		return "ejected"
	default:
		return "yes"
	}
}
