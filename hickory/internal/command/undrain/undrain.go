// Package undrain lets a drained host serve again once it is started.
package undrain

import (
	"context"

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
		Host string
	}
)

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Options: rollout.Options{Out: f.Streams.Out, Author: f.Author()}}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "undrain",
		Short:   "let a drained host serve again once it is started",
		Example: "  hickory undrain host-3\n",
		Flags:   o.SetFlags,
		Run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return factory.Usagef("give one host name")
			}
			o.Host = args[0]
			client, err := f.Client()
			if err != nil {
				return err
			}
			return Run(ctx, o, client)
		},
	}
}

// Run deletes the host's entry.
func Run(ctx context.Context, o *Options, client Client) error {
	entry, err := client.Entry(ctx, "host", o.Host)
	if err != nil {
		return err
	}
	return rollout.Submit(ctx, &o.Options, client, "undrain of host "+o.Host,
		adminapi.Edit{Kind: "host", Name: o.Host, Base: entry.Revision})
}
