// Package entryset creates or replaces one configuration entry.
package entryset

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
)

const standardInput = "-"

type (
	// Changer reads and changes entries.
	Changer interface {
		Entry(ctx context.Context, kind, name string) (adminapi.Entry, error)
		Change(ctx context.Context, author string, edits ...adminapi.Edit) (uint64, error)
	}

	// Options are the options of the command.
	Options struct {
		In     io.Reader
		Out    io.Writer
		Kind   string
		Name   string
		File   string
		Author string
		Base   int64 // revision that the operator has seen; below 0: the current one
	}
)

// New returns the command for a kind.
func New(f *factory.Factory, kind string) *factory.Command {
	o := &Options{In: f.Streams.In, Out: f.Streams.Out, Kind: kind, Author: f.Author()}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "set",
		Short:   "create or replace a " + kind + " entry",
		Example: fmt.Sprintf("  hickory %s set --file FILE NAME\n  hickory %s set --base 12 --file - NAME < FILE\n", kind, kind),
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&o.File, "file", "", "INI file to read, - for standard input")
			flags.Int64Var(&o.Base, "base", -1, "revision that the change is based on (default: the current one)")
		},
		Run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return factory.Usagef("give one %s name", kind)
			}
			if o.File == "" {
				return factory.Usagef("give the INI text with --file")
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

// Run writes the entry.
func Run(ctx context.Context, o *Options, changer Changer) error {
	text, err := readText(o)
	if err != nil {
		return err
	}
	base, err := baseRevision(ctx, o, changer)
	if err != nil {
		return err
	}
	revision, err := changer.Change(ctx, o.Author, adminapi.Edit{Kind: o.Kind, Name: o.Name, Text: text, Base: base})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Out, "%s %s is at revision %d\n", o.Kind, o.Name, revision)
	return err
}

func readText(o *Options) (string, error) {
	if o.File == standardInput {
		data, err := io.ReadAll(o.In)
		return string(data), err
	}
	data, err := os.ReadFile(o.File)
	return string(data), err
}

func baseRevision(ctx context.Context, o *Options, changer Changer) (uint64, error) {
	if o.Base >= 0 {
		return uint64(o.Base), nil
	}
	entry, err := changer.Entry(ctx, o.Kind, o.Name)
	if errors.Is(err, adminapi.ErrNotFound) {
		return 0, nil
	}
	return entry.Revision, err
}
