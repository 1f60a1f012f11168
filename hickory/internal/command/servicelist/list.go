// Package servicelist implements "hickory service list", which lists the services
// with their profiles and request counts.
package servicelist

import (
	"context"
	"flag"
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
		Use:     "list",
		Short:   "list services with their profiles and their request counts over all hosts",
		Example: "  hickory service list\n  hickory service list --json\n",
		Flags:   func(flags *flag.FlagSet) { flags.BoolVar(&o.JSON, "json", false, "print JSON") },
		Run: f.NoArgs(func(ctx context.Context, client *adminapi.Client) error {
			return Run(ctx, o, clusterstatus.New(client))
		}),
	}
}

// Run lists the services.
func Run(ctx context.Context, o *Options, reader clusterstatus.Reader) error {
	status, err := reader.Status(ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return tableprinter.JSON(o.Out, status.Services)
	}
	return clusterstatus.ServiceTable(o.Out, status)
}
