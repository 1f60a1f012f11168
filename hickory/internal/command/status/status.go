// Package status implements "hickory status", which prints the hosts, services and
// backend servers.
package status

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/clusterstatus"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/tableprinter"
)

// Options are the options of the command.
type Options struct {
	Out  io.Writer
	JSON bool
}

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Out: f.Streams.Out}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "status",
		Short:   "print hosts, services and backend servers",
		Example: "  hickory status\n  hickory status --json\n",
		Flags:   func(flags *flag.FlagSet) { flags.BoolVar(&o.JSON, "json", false, "print JSON") },
		Run: f.NoArgs(func(ctx context.Context, client *adminapi.Client) error {
			return Run(ctx, o, clusterstatus.New(client))
		}),
	}
}

// Run prints the status.
func Run(ctx context.Context, o *Options, reader clusterstatus.Reader) error {
	status, err := reader.Status(ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return tableprinter.JSON(o.Out, status)
	}
	if err := clusterstatus.HostTable(o.Out, status.Hosts); err != nil {
		return err
	}
	fmt.Fprintln(o.Out)
	if err := clusterstatus.ServiceTable(o.Out, status); err != nil {
		return err
	}
	fmt.Fprintln(o.Out)
	return tableprinter.Table(o.Out, []string{"server", "role", "serves", "failure domain", "state", "slots"}, serverRows(status.Servers))
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
