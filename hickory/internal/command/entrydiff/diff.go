// Package entrydiff implements the verb diff, which prints the keys that differ
// between two texts of a configuration entry.
package entrydiff

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/hickoryfront/hickoryfront/core/setting"
	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/tableprinter"
)

// historyLimit is the maximum number of changes in which a revision is searched.
const historyLimit = 500

type (
	// Reader reads entries and their history.
	Reader interface {
		Entry(ctx context.Context, kind, name string) (adminapi.Entry, error)
		History(ctx context.Context, kind, name string, limit int) ([]adminapi.Change, error)
	}

	// Options are the options of the command.
	Options struct {
		Streams factory.Streams
		Kind    string
		Name    string
		File    string
		From    uint64 // 0: the revision before the change that last wrote the text at To
		To      uint64 // 0: the current one
		JSON    bool
	}
)

// New returns the command for a kind of entry.
func New(f *factory.Factory, kind string) *factory.Command {
	o := &Options{Streams: f.Streams, Kind: kind}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "diff",
		Short:   "print the keys of a " + kind + " entry that differ from a file or between revisions",
		Example: fmt.Sprintf("  hickory %s diff NAME --file FILE\n  hickory %s diff NAME\n  hickory %s diff NAME --from 12 --to 15\n", kind, kind, kind),
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&o.File, "file", "", "INI file to compare the current text with, - for standard input")
			flags.Uint64Var(&o.From, "from", 0, "older revision (default: the one before the change that last wrote the text at --to)")
			flags.Uint64Var(&o.To, "to", 0, "newer revision (default: the current one)")
			flags.BoolVar(&o.JSON, "json", false, "print JSON")
		},
		Run: f.OneArg(kind+" name", func(ctx context.Context, name string, client *adminapi.Client) error {
			if o.File != "" && (o.From > 0 || o.To > 0) {
				return factory.Usagef("give either --file or revisions")
			}
			o.Name = name
			return Run(ctx, o, client)
		}),
	}
}

// Run prints the difference.
func Run(ctx context.Context, o *Options, reader Reader) error {
	before, after, err := texts(ctx, o, reader)
	if err != nil {
		return err
	}
	differences, err := setting.Diff([]byte(before), []byte(after))
	if err != nil {
		return err
	}
	if o.JSON {
		return tableprinter.JSON(o.Streams.Out, differences)
	}
	return write(o.Streams.Out, differences)
}

// texts returns the two texts to compare.
func texts(ctx context.Context, o *Options, reader Reader) (before, after string, err error) {
	if o.File == "" {
		return revisions(ctx, o, reader)
	}
	entry, err := reader.Entry(ctx, o.Kind, o.Name)
	if err != nil && !errors.Is(err, adminapi.ErrNotFound) {
		return "", "", err
	}
	after, err = o.Streams.ReadText(o.File)
	return entry.Text, after, err
}

// revisions returns the entry's texts at the revisions From and To.
func revisions(ctx context.Context, o *Options, reader Reader) (before, after string, err error) {
	changes, err := reader.History(ctx, o.Kind, o.Name, historyLimit)
	if err != nil {
		return "", "", err
	}
	to := o.To
	if to == 0 && len(changes) > 0 {
		to = changes[0].Revision
	}
	after, written, ok := textAt(changes, o, to)
	if !ok {
		return "", "", fmt.Errorf("%w: the history has no text of %s %s at revision %d", adminapi.ErrNotFound, o.Kind, o.Name, to)
	}
	from := o.From
	if from == 0 {
		from = written - 1
	}
	before, _, ok = textAt(changes, o, from)
	if !ok && o.From > 0 {
		return "", "", fmt.Errorf("%w: the history has no text of %s %s at revision %d", adminapi.ErrNotFound, o.Kind, o.Name, from)
	}
	return before, after, nil
}

// textAt returns the entry's text at a revision and the revision that wrote this text.
func textAt(changes []adminapi.Change, o *Options, revision uint64) (string, uint64, bool) {
	for _, c := range changes { // the newest is first
		if c.Revision > revision {
			continue
		}
		for _, e := range c.Edits {
			if e.Kind == o.Kind && e.Name == o.Name {
				return e.Text, c.Revision, true
			}
		}
	}
	return "", 0, false
}

func write(out io.Writer, differences []setting.Difference) error {
	if len(differences) == 0 {
		_, err := fmt.Fprintln(out, "no differences")
		return err
	}
	for _, d := range differences {
		if !d.Added {
			fmt.Fprintf(out, "- [%s] %s = %s\n", d.Section, d.Name, d.Old)
		}
		if !d.Removed {
			fmt.Fprintf(out, "+ [%s] %s = %s\n", d.Section, d.Name, d.New)
		}
	}
	return nil
}
