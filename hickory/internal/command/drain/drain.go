// Package drain implements "hickory drain", which lets a host finish its work and
// stop.
package drain

import (
	"context"
	"errors"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/rollout"
)

const drainText = "[host]\ndrain = true\n"

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
		Use:     "drain",
		Short:   "let a host finish its work and stop",
		Example: "  hickory drain host-3\n  hickory drain host-3 --timeout 5s --json\n",
		Flags:   o.SetFlags,
		Run: f.OneArg("host name", func(ctx context.Context, name string, client *adminapi.Client) error {
			o.Host = name
			return Run(ctx, o, client)
		}),
	}
}

// Run writes the host's entry with the drain setting.
func Run(ctx context.Context, o *Options, client rollout.EntryClient) error {
	entry, err := client.Entry(ctx, "host", o.Host)
	if err != nil && !errors.Is(err, adminapi.ErrNotFound) {
		return err
	}
	return rollout.Submit(ctx, &o.Options, client, "drain of host "+o.Host,
		adminapi.Edit{Kind: "host", Name: o.Host, Text: drainText, Base: entry.Revision})
}
