// Package hostlist implements "hickory host list", which lists the live hosts.
package hostlist

import (
	"context"
	"flag"
	"io"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/clusterstatus"
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
		Use:     "list",
		Short:   "list live hosts with failure domain, configuration revision and state",
		Example: "  hickory host list\n  hickory host list --json\n",
		Flags:   func(flags *flag.FlagSet) { flags.BoolVar(&o.JSON, "json", false, "print JSON") },
		Run: f.NoArgs(func(ctx context.Context, client *adminapi.Client) error {
			return Run(ctx, o, client)
		}),
	}
}

// Run lists the hosts.
func Run(ctx context.Context, o *Options, reader Reader) error {
	status, err := reader.Status(ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return tableprinter.JSON(o.Out, status.Hosts)
	}
	return clusterstatus.HostTable(o.Out, status.Hosts)
}
