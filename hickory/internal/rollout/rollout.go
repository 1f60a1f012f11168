// Package rollout sends a configuration change and waits until the change is in force
// on every live host.
package rollout

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/tableprinter"
)

const (
	defaultTimeout = 30 * time.Second
	pollInterval   = 100 * time.Millisecond
	retryInterval  = 500 * time.Millisecond
)

// ErrNotInForce means that a change is accepted, but not yet in force on every
// live host.
var ErrNotInForce = errors.New("accepted, but not yet in force everywhere")

type (
	// Client is a client of one daemon's administration API.
	Client interface {
		Change(ctx context.Context, request adminapi.ChangeRequest) (uint64, error)
		Status(ctx context.Context) (adminapi.Status, error)
		LastRevision() uint64
	}

	// EntryClient is a Client that also reads the entry that a change is based on.
	EntryClient interface {
		Client
		Entry(ctx context.Context, kind, name string) (adminapi.Entry, error)
	}

	// Options are the options that all commands with a change share.
	Options struct {
		Out     io.Writer
		Author  string
		NoWait  bool
		Timeout time.Duration // for sending and waiting together
		DryRun  bool
		JSON    bool
	}

	// Result is the result of a change.
	Result struct {
		Revision uint64          `json:"revision"`
		DryRun   bool            `json:"dryRun,omitempty"`
		Hosts    []adminapi.Host `json:"hosts,omitempty"`   // state of each live host at the last poll
		Lagging  []string        `json:"missing,omitempty"` // live hosts on which the revision is not in force
	}
)

// SetFlags defines the flags of the options.
func (o *Options) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&o.NoWait, "no-wait", false, "don't wait until every live host has the change")
	flags.DurationVar(&o.Timeout, "timeout", defaultTimeout, "maximum time to send the change and to wait for the hosts")
	flags.BoolVar(&o.DryRun, "dry-run", false, "check the change and write nothing")
	flags.BoolVar(&o.JSON, "json", false, "print JSON")
}

// Submit sends a change, waits until the change is in force and prints the result.
// The argument what names the change in the printed text.
func Submit(ctx context.Context, o *Options, client Client, what string, edits ...adminapi.Edit) error {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	request := adminapi.ChangeRequest{
		Author: o.Author, Edits: edits, WriteID: rand.Text(), Since: client.LastRevision(), DryRun: o.DryRun,
	}
	revision, err := send(ctx, client, request)
	if err != nil {
		return err
	}
	result := Result{Revision: revision, DryRun: o.DryRun}
	if !o.DryRun && !o.NoWait {
		result = wait(ctx, client, revision)
	}
	if err := result.print(o, what); err != nil {
		return err
	}
	if len(result.Lagging) > 0 {
		return fmt.Errorf("%w: revision %d is not in force on %s; check these hosts with \"hickory status\"",
			ErrNotInForce, revision, strings.Join(result.Lagging, ", "))
	}
	return nil
}

// send sends the change and retries until it is known whether the change took effect.
// Retries carry the same write ID, so that the change takes effect only once.
func send(ctx context.Context, client Client, request adminapi.ChangeRequest) (uint64, error) {
	for {
		revision, err := client.Change(ctx, request)
		if !errors.Is(err, adminapi.ErrUnconfirmed) && !errors.Is(err, adminapi.ErrUnreachable) {
			return revision, err
		}
		if !pause(ctx, retryInterval) {
			return 0, fmt.Errorf("%w; check the history before you retry the change", err)
		}
	}
}

// wait polls the status until every live host reports the revision or ctx ends.
func wait(ctx context.Context, client Client, revision uint64) Result {
	result := Result{Revision: revision, Lagging: []string{"all hosts: no daemon has answered"}}
	for {
		status, err := client.Status(ctx)
		if err == nil {
			result.Hosts, result.Lagging = status.Hosts, lagging(status.Hosts, revision)
		}
		if len(result.Lagging) == 0 || !pause(ctx, pollInterval) {
			return result
		}
	}
}

// lagging returns the hosts whose configuration is older than the revision.
func lagging(hosts []adminapi.Host, revision uint64) []string {
	var names []string
	for _, h := range hosts {
		if h.ConfigRevision < revision {
			names = append(names, fmt.Sprintf("%s (at %d)", h.Name, h.ConfigRevision))
		}
	}
	return names
}

func (r Result) print(o *Options, what string) error {
	if o.JSON {
		return tableprinter.JSON(o.Out, r)
	}
	var err error
	switch {
	case r.DryRun:
		_, err = fmt.Fprintf(o.Out, "%s would be accepted on top of revision %d\n", what, r.Revision)
	case len(r.Hosts) > 0 && len(r.Lagging) == 0:
		_, err = fmt.Fprintf(o.Out, "%s is at revision %d, in force on all %d hosts\n", what, r.Revision, len(r.Hosts))
	default:
		_, err = fmt.Fprintf(o.Out, "%s is accepted at revision %d\n", what, r.Revision)
	}
	return err
}

// pause waits for d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
