// Package entryget implements the verb get, which prints one configuration entry.
package entryget

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/tableprinter"
)

type (
	// Getter reads entries.
	Getter interface {
		Entry(ctx context.Context, kind, name string) (adminapi.Entry, error)
	}

	// Options are the options of the command.
	Options struct {
		Out  io.Writer
		Kind string
		Name string
		JSON bool
	}
)

// New returns the command for a kind of entry.
func New(f *factory.Factory, kind string) *factory.Command {
	o := &Options{Out: f.Streams.Out, Kind: kind}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "get",
		Short:   "print a " + kind + " entry",
		Example: fmt.Sprintf("  hickory %s get NAME\n  hickory %s get --json NAME\n", kind, kind),
		Flags:   func(flags *flag.FlagSet) { flags.BoolVar(&o.JSON, "json", false, "print JSON with the revision") },
		Run: f.OneArg(kind+" name", func(ctx context.Context, name string, client *adminapi.Client) error {
			o.Name = name
			return Run(ctx, o, client)
		}),
	}
}

// Run prints the entry.
func Run(ctx context.Context, o *Options, getter Getter) error {
	entry, err := getter.Entry(ctx, o.Kind, o.Name)
	if err != nil {
		return err
	}
	if o.JSON {
		return tableprinter.JSON(o.Out, entry)
	}
	_, err = fmt.Fprintln(o.Out, entry.Text)
	return err
}
