// Package entrylist implements the verb list, which lists the configuration entries
// of one kind.
package entrylist

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
	// Lister lists entries.
	Lister interface {
		Entries(ctx context.Context, kind string) ([]adminapi.Entry, error)
	}

	// Options are the options of the command.
	Options struct {
		Out  io.Writer
		Kind string
		JSON bool
	}
)

// New returns the command for a kind of entry.
func New(f *factory.Factory, kind string) *factory.Command {
	o := &Options{Out: f.Streams.Out, Kind: kind}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "list",
		Short:   "list " + kind + " entries",
		Example: fmt.Sprintf("  hickory %s list\n  hickory %s list --json\n", kind, kind),
		Flags:   func(flags *flag.FlagSet) { flags.BoolVar(&o.JSON, "json", false, "print JSON") },
		Run: f.NoArgs(func(ctx context.Context, client *adminapi.Client) error {
			return Run(ctx, o, client)
		}),
	}
}

// Run lists the entries.
func Run(ctx context.Context, o *Options, lister Lister) error {
	entries, err := lister.Entries(ctx, o.Kind)
	if err != nil {
		return err
	}
	if o.JSON {
		return tableprinter.JSON(o.Out, entries)
	}
	rows := make([][]string, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, []string{e.Name, strconv.FormatUint(e.Revision, 10)})
	}
	return tableprinter.Table(o.Out, []string{"name", "revision"}, rows)
}
