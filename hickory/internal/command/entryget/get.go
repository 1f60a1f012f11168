// Package entryget prints one configuration entry.
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

// New returns the command for a kind.
func New(f *factory.Factory, kind string) *factory.Command {
	o := &Options{Out: f.Streams.Out, Kind: kind}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "get",
		Short:   "print a " + kind + " entry",
		Example: fmt.Sprintf("  hickory %s get NAME\n  hickory %s get --json NAME\n", kind, kind),
		Flags:   func(flags *flag.FlagSet) { flags.BoolVar(&o.JSON, "json", false, "print JSON with the revision") },
		Run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return factory.Usagef("give one %s name", kind)
			}
			o.Name = args[0]
			client, err := f.Client()
			if err != nil {
				return err
			}
			return Run(ctx, o, client)
		},
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
