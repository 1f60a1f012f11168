// Package entryset implements the verb set, which creates or replaces one
// configuration entry.
package entryset

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/rollout"
)

type (
	// Options are the options of the command.
	Options struct {
		rollout.Options
		Streams factory.Streams
		Kind    string
		Name    string
		File    string
		Base    int64 // revision that the change is based on; below 0: the current one
	}
)

// New returns the command for a kind of entry.
func New(f *factory.Factory, kind string) *factory.Command {
	o := &Options{Options: rollout.Options{Out: f.Streams.Out, Author: f.Author()}, Streams: f.Streams, Kind: kind}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "set",
		Short:   "create or replace a " + kind + " entry",
		Example: fmt.Sprintf("  hickory %s set NAME --file FILE\n  hickory %s set NAME --base 12 --file - < FILE\n"+
			"  hickory %s set NAME --file FILE --dry-run\n", kind, kind, kind),
		Flags: func(flags *flag.FlagSet) {
			o.SetFlags(flags)
			flags.StringVar(&o.File, "file", "", "INI file to read, - for standard input")
			flags.Int64Var(&o.Base, "base", -1, "revision that the change is based on (default: the current one)")
		},
		Run: f.OneArg(kind+" name", func(ctx context.Context, name string, client *adminapi.Client) error {
			if o.File == "" {
				return factory.Usagef("give the INI text with --file")
			}
			o.Name = name
			return Run(ctx, o, client)
		}),
	}
}

// Run writes the entry.
func Run(ctx context.Context, o *Options, client rollout.EntryClient) error {
	text, err := o.Streams.ReadText(o.File)
	if err != nil {
		return err
	}
	if text == "" {
		return factory.Usagef("the text is empty; use \"hickory %s delete %s\" to delete the entry", o.Kind, o.Name)
	}
	entry, err := client.Entry(ctx, o.Kind, o.Name)
	if err != nil && !errors.Is(err, adminapi.ErrNotFound) {
		return err
	}
	base := entry.Revision
	if o.Base >= 0 {
		base = uint64(o.Base)
	}
	return rollout.Submit(ctx, &o.Options, client, o.Kind+" "+o.Name, adminapi.Edit{Kind: o.Kind, Name: o.Name, Text: text, Base: base})
}
