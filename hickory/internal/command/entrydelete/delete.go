// Package entrydelete deletes one configuration entry.
package entrydelete

import (
	"context"
	"fmt"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/rollout"
)

type (
	// Client reads and changes entries.
	Client interface {
		rollout.Client
		Entry(ctx context.Context, kind, name string) (adminapi.Entry, error)
	}

	// Options are the options of the command.
	Options struct {
		rollout.Options
		Kind string
		Name string
	}
)

// New returns the command for a kind.
func New(f *factory.Factory, kind string) *factory.Command {
	o := &Options{Options: rollout.Options{Out: f.Streams.Out, Author: f.Author()}, Kind: kind}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "delete",
		Short:   "delete a " + kind + " entry",
		Example: fmt.Sprintf("  hickory %s delete NAME\n", kind),
		Flags:   o.SetFlags,
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

// Run deletes the entry.
func Run(ctx context.Context, o *Options, client Client) error {
	entry, err := client.Entry(ctx, o.Kind, o.Name)
	if err != nil {
		return err
	}
	what := fmt.Sprintf("deletion of %s %s", o.Kind, o.Name)
	return rollout.Submit(ctx, &o.Options, client, what, adminapi.Edit{Kind: o.Kind, Name: o.Name, Base: entry.Revision})
}
