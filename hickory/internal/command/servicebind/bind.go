// Package servicebind implements "hickory service bind", which binds a service to a
// profile.
package servicebind

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/rollout"
)

type (
	// Options are the options of the command.
	Options struct {
		rollout.Options
		Service string
		Profile string
		Model   string // "": keep the current one; a new service without a model is a plain service
	}
)

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Options: rollout.Options{Out: f.Streams.Out, Author: f.Author()}}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "bind",
		Short:   "bind a service to a profile",
		Example: "  hickory service bind catalogue --profile catalogue --model catalogue-8b\n" +
			"  hickory service bind cart --profile storefront\n",
		Flags: func(flags *flag.FlagSet) {
			o.SetFlags(flags)
			flags.StringVar(&o.Profile, "profile", "", "profile to bind the service to")
			flags.StringVar(&o.Model, "model", "", "model that serves the requests (default: the one bound before, or a plain service)")
		},
		Run: func(ctx context.Context, args []string) error {
			if len(args) != 1 || o.Profile == "" {
				return factory.Usagef("give one service name, and its profile with --profile")
			}
			o.Service = args[0]
			client, err := f.Client()
			if err != nil {
				return err
			}
			return Run(ctx, o, client)
		},
	}
}

// Run binds the service.
func Run(ctx context.Context, o *Options, client rollout.EntryClient) error {
	entry, err := client.Entry(ctx, "service", o.Service)
	if err != nil && !errors.Is(err, adminapi.ErrNotFound) {
		return err
	}
	model := o.Model
	if model == "" && entry.Revision > 0 {
		bound, err := config.ParseService(o.Service, entry.Text)
		if err != nil {
			return err
		}
		model = bound.Model
	}
	what := fmt.Sprintf("service %s under profile %s", o.Service, o.Profile)
	return rollout.Submit(ctx, &o.Options, client, what,
		adminapi.Edit{Kind: "service", Name: o.Service, Text: serviceText(model, o.Profile), Base: entry.Revision})
}

// serviceText returns the text of the service's entry.
func serviceText(model, profile string) string {
	if model == "" {
		return fmt.Sprintf("[service]\nkind = plain\nprofile = %s\n", profile)
	}
	return fmt.Sprintf("[service]\nkind = model\nmodel = %s\nprofile = %s\n", model, profile)
}
