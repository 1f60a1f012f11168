// Package apply brings the configuration to what a directory holds, in one
// change.
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

// kinds are the directories that are read, in the order of the plan.
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
		Short:   "bring the configuration to what a directory holds, in one change",
		Example: "  hickory apply --dir config --dry-run\n  hickory apply --dir config --prune\n\n" +
			"The directory holds one file for each entry, such as profile/catalogue.ini and service/cart.ini.\n",
		Flags: func(flags *flag.FlagSet) {
			o.SetFlags(flags)
			flags.StringVar(&o.Dir, "dir", "", "directory with the folders profile, service, workspace and pool")
			flags.BoolVar(&o.Prune, "prune", false, "delete entries that the directory lacks")
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
	wanted, err := read(dir)
	if err != nil {
		return err
	}
	if len(wanted) == 0 {
		return fmt.Errorf("%s holds no entries; put files such as profile/catalogue.ini into it", o.Dir)
	}
	held, err := client.Entries(ctx, "")
	if err != nil {
		return err
	}
	edits := plan(wanted, held, o.Prune)
	if !o.JSON {
		print(o, edits)
	}
	if len(edits) == 0 {
		return nil
	}
	return rollout.Submit(ctx, &o.Options, client, fmt.Sprintf("change of %d entries", len(edits)), edits...)
}

// read returns the entries of a directory.
func read(dir fs.FS) ([]adminapi.Edit, error) {
	var wanted []adminapi.Edit
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
			wanted = append(wanted, adminapi.Edit{Kind: kind, Name: name, Text: string(text)})
		}
	}
	return wanted, nil
}

// plan returns the edits that lead from the held entries to the wanted ones.
// Entries of hosts are left alone: "hickory drain" writes them.
func plan(wanted []adminapi.Edit, held []adminapi.Entry, prune bool) []adminapi.Edit {
	var edits []adminapi.Edit
	for _, w := range wanted {
		i := slices.IndexFunc(held, func(e adminapi.Entry) bool { return e.Kind == w.Kind && e.Name == w.Name })
		if i >= 0 && held[i].Text == w.Text {
			continue
		}
		if i >= 0 {
			w.Base = held[i].Revision
		}
		edits = append(edits, w)
	}
	if !prune {
		return edits
	}
	for _, e := range held {
		kept := slices.ContainsFunc(wanted, func(w adminapi.Edit) bool { return e.Kind == w.Kind && e.Name == w.Name })
		if !kept && slices.Contains(kinds, e.Kind) {
			edits = append(edits, adminapi.Edit{Kind: e.Kind, Name: e.Name, Base: e.Revision})
		}
	}
	return edits
}

func print(o *Options, edits []adminapi.Edit) {
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
