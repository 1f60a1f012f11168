// Package entryhistory implements the verb history, which prints who changed
// configuration entries, and when.
package entryhistory

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/tableprinter"
)

const defaultLimit = 20

type (
	// Reader reads the history.
	Reader interface {
		History(ctx context.Context, kind, name string, limit int) ([]adminapi.Change, error)
	}

	// Options are the options of the command.
	Options struct {
		Out   io.Writer
		Kind  string
		Name  string // "": all entries of the kind
		Limit int
		JSON  bool
	}
)

// New returns the command for a kind of entry.
func New(f *factory.Factory, kind string) *factory.Command {
	o := &Options{Out: f.Streams.Out, Kind: kind}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "history",
		Short:   "print who changed " + kind + " entries, newest first",
		Example: fmt.Sprintf("  hickory %s history\n  hickory %s history NAME --limit 5 --json\n", kind, kind),
		Flags: func(flags *flag.FlagSet) {
			flags.IntVar(&o.Limit, "limit", defaultLimit, "maximum number of changes to print")
			flags.BoolVar(&o.JSON, "json", false, "print JSON with the texts")
		},
		Run: func(ctx context.Context, args []string) error {
			if len(args) > 1 {
				return factory.Usagef("give at most one %s name", kind)
			}
			o.Name = strings.Join(args, "")
			client, err := f.Client()
			if err != nil {
				return err
			}
			return Run(ctx, o, client)
		},
	}
}

// Run prints the history.
func Run(ctx context.Context, o *Options, reader Reader) error {
	changes, err := reader.History(ctx, o.Kind, o.Name, o.Limit)
	if err != nil {
		return err
	}
	if o.JSON {
		return tableprinter.JSON(o.Out, changes)
	}
	rows := make([][]string, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, []string{strconv.FormatUint(c.Revision, 10), c.At.Format(time.RFC3339), c.Author, describe(c.Edits)})
	}
	return tableprinter.Table(o.Out, []string{"revision", "at", "author", "entries"}, rows)
}

func describe(edits []adminapi.Edit) string {
	texts := make([]string, 0, len(edits))
	for _, e := range edits {
		verb := "set"
		if e.Text == "" {
			verb = "delete"
		}
		texts = append(texts, verb+" "+e.Kind+" "+e.Name)
	}
	return strings.Join(texts, ", ")
}
