// Package apply implements "hickory apply", which makes the configuration match a
// directory in one change.
package apply

import (
	"context"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/rollout"
)

const extension = ".ini"

// kinds are the kinds of entries and the subdirectories that hold them, in the order in
// which edits are planned.
var kinds = []string{"profile", "service", "workspace", "pool"}

type (
	// Client reads and changes entries.
	Client interface {
		rollout.Client
		Entries(ctx context.Context, kind string) ([]adminapi.Entry, error)
	}

	// Options are the options of the command.
	Options struct {
		rollout.Options
		Dir   string
		Prune bool
	}
)

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Options: rollout.Options{Out: f.Streams.Out, Author: f.Author()}}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "apply",
		Short:   "make the configuration match a directory, in one change",
		Example: "  hickory apply --dir config --dry-run\n  hickory apply --dir config --prune\n\n" +
			"The directory holds one file for each entry, such as profile/catalogue.ini and service/cart.ini.\n",
		Flags: func(flags *flag.FlagSet) {
			o.SetFlags(flags)
			flags.StringVar(&o.Dir, "dir", "", "directory with the subdirectories profile, service, workspace and pool")
			flags.BoolVar(&o.Prune, "prune", false, "delete entries that are not in the directory")
		},
		Run: func(ctx context.Context, args []string) error {
			if len(args) > 0 || o.Dir == "" {
				return factory.Usagef("give the directory with --dir, and no arguments")
			}
			client, err := f.Client()
			if err != nil {
				return err
			}
			return Run(ctx, o, os.DirFS(o.Dir), client)
		},
	}
}

// Run applies the directory.
func Run(ctx context.Context, o *Options, dir fs.FS, client Client) error {
	desired, err := read(dir)
	if err != nil {
		return err
	}
	if len(desired) == 0 {
		return fmt.Errorf("%s contains no entries; add files such as profile/catalogue.ini", o.Dir)
	}
	current, err := client.Entries(ctx, "")
	if err != nil {
		return err
	}
	edits := plan(desired, current, o.Prune)
	if !o.JSON {
		printPlan(o, edits)
	}
	if len(edits) == 0 {
		return nil
	}
	return rollout.Submit(ctx, &o.Options, client, fmt.Sprintf("change of %d entries", len(edits)), edits...)
}

// read returns the entries of a directory as edits without a base.
func read(dir fs.FS) ([]adminapi.Edit, error) {
	var desired []adminapi.Edit
	for _, kind := range kinds {
		files, err := fs.Glob(dir, kind+"/*"+extension)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			text, err := fs.ReadFile(dir, file)
			if err != nil {
				return nil, err
			}
			if len(text) == 0 {
				return nil, fmt.Errorf("%s is empty; remove the file and use --prune to delete the entry", file)
			}
			name := strings.TrimSuffix(path.Base(file), extension)
			desired = append(desired, adminapi.Edit{Kind: kind, Name: name, Text: string(text)})
		}
	}
	return desired, nil
}

// plan returns the edits that turn the current entries into the desired ones. With
// prune, it deletes entries that are not desired, but never those of hosts, which
// "hickory drain" writes.
func plan(desired []adminapi.Edit, current []adminapi.Entry, prune bool) []adminapi.Edit {
	var edits []adminapi.Edit
	for _, d := range desired {
		i := slices.IndexFunc(current, func(e adminapi.Entry) bool { return e.Kind == d.Kind && e.Name == d.Name })
		if i >= 0 && current[i].Text == d.Text {
			continue
		}
		if i >= 0 {
			d.Base = current[i].Revision
		}
		edits = append(edits, d)
	}
	if !prune {
		return edits
	}
	for _, e := range current {
		isDesired := slices.ContainsFunc(desired, func(d adminapi.Edit) bool { return e.Kind == d.Kind && e.Name == d.Name })
		if !isDesired && slices.Contains(kinds, e.Kind) {
			edits = append(edits, adminapi.Edit{Kind: e.Kind, Name: e.Name, Base: e.Revision})
		}
	}
	return edits
}

// printPlan prints the edits: + for a new entry, ~ for a change and - for a deletion.
func printPlan(o *Options, edits []adminapi.Edit) {
	for _, e := range edits {
		sign := "~"
		switch {
		case e.Text == "":
			sign = "-"
		case e.Base == 0:
			sign = "+"
		}
		fmt.Fprintf(o.Out, "%s %s %s\n", sign, e.Kind, e.Name)
	}
	if len(edits) == 0 {
		fmt.Fprintln(o.Out, "nothing to change")
	}
}
