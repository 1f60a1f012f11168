// Package entrydelete implements the verb delete, which deletes one configuration
// entry.
package entrydelete

import (
	"context"
	"fmt"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/rollout"
)

type (
	// Options are the options of the command.
	Options struct {
		rollout.Options
		Kind string
		Name string
	}
)

// New returns the command for a kind of entry.
func New(f *factory.Factory, kind string) *factory.Command {
	o := &Options{Options: rollout.Options{Out: f.Streams.Out, Author: f.Author()}, Kind: kind}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "delete",
		Short:   "delete a " + kind + " entry",
		Example: fmt.Sprintf("  hickory %s delete NAME\n", kind),
		Flags:   o.SetFlags,
		Run: f.OneArg(kind+" name", func(ctx context.Context, name string, client *adminapi.Client) error {
			o.Name = name
			return Run(ctx, o, client)
		}),
	}
}

// Run deletes the entry.
func Run(ctx context.Context, o *Options, client rollout.EntryClient) error {
	entry, err := client.Entry(ctx, o.Kind, o.Name)
	if err != nil {
		return err
	}
	what := fmt.Sprintf("deletion of %s %s", o.Kind, o.Name)
	return rollout.Submit(ctx, &o.Options, client, what, adminapi.Edit{Kind: o.Kind, Name: o.Name, Base: entry.Revision})
}
