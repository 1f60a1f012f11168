// Package status prints the hosts and backend servers that a daemon knows.
package status

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/tableprinter"
)

type (
	// Reader reads the status.
	Reader interface {
		Status(ctx context.Context) (adminapi.Status, error)
	}

	// Options are the options of the command.
	Options struct {
		Out  io.Writer
		JSON bool
	}
)

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Out: f.Streams.Out}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "status",
		Short:   "print hosts and backend servers",
		Example: "  hickory status\n  hickory status --json\n",
		Flags:   func(flags *flag.FlagSet) { flags.BoolVar(&o.JSON, "json", false, "print JSON") },
		Run: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return factory.Usagef("status takes no arguments")
			}
			client, err := f.Client()
			if err != nil {
				return err
			}
			return Run(ctx, o, client)
		},
	}
}

// Run prints the status.
func Run(ctx context.Context, o *Options, reader Reader) error {
	status, err := reader.Status(ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return tableprinter.JSON(o.Out, status)
	}
	if err := tableprinter.Table(o.Out, []string{"host", "failure domain", "revision", "state"}, hostRows(status.Hosts)); err != nil {
		return err
	}
	fmt.Fprintln(o.Out)
	return tableprinter.Table(o.Out, []string{"server", "role", "serves", "failure domain", "state", "slots"}, serverRows(status.Servers))
}

func hostRows(hosts []adminapi.Host) [][]string {
	rows := make([][]string, 0, len(hosts))
	for _, h := range hosts {
		state := "serving"
		if h.Draining {
			state = "draining"
		}
		rows = append(rows, []string{h.Name, h.FailureDomain, strconv.FormatUint(h.ConfigRevision, 10), state})
	}
	return rows
}

func serverRows(servers []adminapi.Server) [][]string {
	rows := make([][]string, 0, len(servers))
	for _, s := range servers {
		slots := "-"
		if s.SlotsTotal > 0 {
			slots = fmt.Sprintf("%d/%d", s.SlotsUsed, s.SlotsTotal)
		}
		rows = append(rows, []string{s.ID, s.Role, s.Model + s.Service, s.FailureDomain, s.State, slots})
	}
	return rows
}
