// Package serviceunbind implements "hickory service unbind", which stops serving a
// service and routes its calls to the legacy address, if there is one.
package serviceunbind

import (
	"context"
	"fmt"
	"strings"

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
	}
)

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Options: rollout.Options{Out: f.Streams.Out, Author: f.Author()}}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "unbind",
		Short:   "route a service to its legacy address, or refuse its calls when its profile has none",
		Example: "  hickory service unbind cart\n",
		Flags:   o.SetFlags,
		Run: f.OneArg("service name", func(ctx context.Context, name string, client *adminapi.Client) error {
			o.Service = name
			return Run(ctx, o, client)
		}),
	}
}

// Run unbinds the service: it disables the service's entry, or deletes it if the
// service's profile has no legacy address.
func Run(ctx context.Context, o *Options, client rollout.EntryClient) error {
	entry, err := client.Entry(ctx, "service", o.Service)
	if err != nil {
		return err
	}
	legacy, text, err := legacyEntry(ctx, client, entry)
	if err != nil {
		return err
	}
	what := fmt.Sprintf("unbinding of service %s; its calls are refused as not run", o.Service)
	if legacy != "" {
		what = fmt.Sprintf("unbinding of service %s; its calls go to %s", o.Service, legacy)
	}
	return rollout.Submit(ctx, &o.Options, client, what,
		adminapi.Edit{Kind: "service", Name: o.Service, Text: text, Base: entry.Revision})
}

// legacyEntry returns the legacy address and the text of an entry that routes calls to
// that address. Both are empty if the service's profile has no legacy address.
func legacyEntry(ctx context.Context, client rollout.EntryClient, entry adminapi.Entry) (legacy, text string, err error) {
	service, err := config.ParseService(entry.Name, entry.Text)
	if err != nil {
		return "", "", err
	}
	profileEntry, err := client.Entry(ctx, "profile", service.Profile)
	if err != nil {
		return "", "", err
	}
	profile, err := config.ParseProfile(profileEntry.Name, profileEntry.Text)
	if err != nil || profile.LegacyAddress == "" {
		return "", "", err
	}
	lines := []string{"[service]", "kind = " + string(service.Kind), "profile = " + service.Profile, "enabled = false"}
	if service.Model != "" {
		lines = append(lines, "model = "+service.Model)
	}
	return profile.LegacyAddress, strings.Join(lines, "\n") + "\n", nil
}
