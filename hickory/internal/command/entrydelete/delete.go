// Package entrydelete deletes one configuration entry.
package entrydelete

import (
	"context"
	"fmt"
	"io"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
)

type (
	// Changer reads and changes entries.
	Changer interface {
		Entry(ctx context.Context, kind, name string) (adminapi.Entry, error)
		Change(ctx context.Context, author string, edits ...adminapi.Edit) (uint64, error)
	}

	// Options are the options of the command.
	Options struct {
		Out    io.Writer
		Kind   string
		Name   string
		Author string
	}
)

// New returns the command for a kind.
func New(f *factory.Factory, kind string) *factory.Command {
	o := &Options{Out: f.Streams.Out, Kind: kind, Author: f.Author()}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "delete",
		Short:   "delete a " + kind + " entry",
		Example: fmt.Sprintf("  hickory %s delete NAME\n", kind),
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
func Run(ctx context.Context, o *Options, changer Changer) error {
	entry, err := changer.Entry(ctx, o.Kind, o.Name)
	if err != nil {
		return err
	}
	revision, err := changer.Change(ctx, o.Author, adminapi.Edit{Kind: o.Kind, Name: o.Name, Base: entry.Revision})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Out, "%s %s is deleted at revision %d\n", o.Kind, o.Name, revision)
	return err
}
