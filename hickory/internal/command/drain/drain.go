// Package drain lets a host of the system finish its work and stop.
package drain

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
)

const drainText = "[host]\ndrain = true\n"

type (
	// Changer reads and changes entries.
	Changer interface {
		Entry(ctx context.Context, kind, name string) (adminapi.Entry, error)
		Change(ctx context.Context, author string, edits ...adminapi.Edit) (uint64, error)
	}

	// Options are the options of the command.
	Options struct {
		Out    io.Writer
		Host   string
		Author string
	}
)

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Out: f.Streams.Out, Author: f.Author()}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "drain",
		Short:   "let a host finish its work and stop",
		Example: "  hickory drain host-3\n",
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

// Run writes the host's entry.
func Run(ctx context.Context, o *Options, changer Changer) error {
	entry, err := changer.Entry(ctx, "host", o.Host)
	if err != nil && !errors.Is(err, adminapi.ErrNotFound) {
		return err
	}
	revision, err := changer.Change(ctx, o.Author, adminapi.Edit{Kind: "host", Name: o.Host, Text: drainText, Base: entry.Revision})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Out, "host %s drains from revision %d on\n", o.Host, revision)
	return err
}
