// Package undrain implements "hickory undrain", which lets a drained host serve again
// after its next start.
package undrain

import (
	"context"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/rollout"
)

type (
	// Options are the options of the command.
	Options struct {
		rollout.Options
		Host string
	}
)

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Options: rollout.Options{Out: f.Streams.Out, Author: f.Author()}}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "undrain",
		Short:   "let a drained host serve again after its next start",
		Example: "  hickory undrain host-3\n",
		Flags:   o.SetFlags,
		Run: f.OneArg("host name", func(ctx context.Context, name string, client *adminapi.Client) error {
			o.Host = name
			return Run(ctx, o, client)
		}),
	}
}

// Run deletes the host's entry, which has the drain setting.
func Run(ctx context.Context, o *Options, client rollout.EntryClient) error {
	entry, err := client.Entry(ctx, "host", o.Host)
	if err != nil {
		return err
	}
	return rollout.Submit(ctx, &o.Options, client, "undrain of host "+o.Host,
		adminapi.Edit{Kind: "host", Name: o.Host, Base: entry.Revision})
}
