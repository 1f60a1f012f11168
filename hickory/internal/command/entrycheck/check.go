// Package entrycheck implements the verb check, which checks the text of a
// configuration entry without writing it.
package entrycheck

import (
	"context"
	"flag"
	"fmt"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
)

type (
	// Checker checks edits.
	Checker interface {
		Check(ctx context.Context, edits ...adminapi.Edit) (uint64, error)
	}

	// Options are the options of the command.
	Options struct {
		Streams factory.Streams
		Kind    string
		Name    string
		File    string
	}
)

// New returns the command for a kind of entry.
func New(f *factory.Factory, kind string) *factory.Command {
	o := &Options{Streams: f.Streams, Kind: kind}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "check",
		Short:   "check the text of a " + kind + " entry and write nothing",
		Example: fmt.Sprintf("  hickory %s check NAME --file FILE\n  hickory %s check --file FILE\n", kind, kind),
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&o.File, "file", "", "INI file to read, - for standard input")
		},
		Run: func(ctx context.Context, args []string) error {
			if len(args) > 1 || o.File == "" {
				return factory.Usagef("give the INI text with --file, and at most one %s name", kind)
			}
			o.Name = "check"
			if len(args) == 1 {
				o.Name = args[0]
			}
			client, err := f.Client()
			if err != nil {
				return err
			}
			return Run(ctx, o, client)
		},
	}
}

// Run checks the text.
func Run(ctx context.Context, o *Options, checker Checker) error {
	text, err := o.Streams.ReadText(o.File)
	if err != nil {
		return err
	}
	revision, err := checker.Check(ctx, adminapi.Edit{Kind: o.Kind, Name: o.Name, Text: text})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Streams.Out, "%s is a valid %s on top of revision %d\n", o.File, o.Kind, revision)
	return err
}
