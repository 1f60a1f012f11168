// Package servicewatch implements "hickory service watch", which prints the request
// counts of one service at an interval. Operators run the command while they migrate a
// service to the system.
package servicewatch

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/clusterstatus"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/tableprinter"
)

const defaultInterval = 2 * time.Second

type (
	// Options are the options of the command.
	Options struct {
		Out      io.Writer
		Service  string
		Interval time.Duration
		Count    int // lines to print; 0: until interrupted
		JSON     bool
	}

	// line is one sample of the service's request counts.
	line struct {
		adminapi.Service
		AnsweredSince uint64   `json:"answeredSince"` // since the previous sample
		RefusedSince  uint64   `json:"refusedSince"`
		Unresponsive  []string `json:"silent,omitempty"` // hosts that did not respond
	}
)

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Out: f.Streams.Out}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "watch",
		Short:   "print the request counts of a service over all hosts at an interval",
		Example: "  hickory service watch cart\n  hickory service watch cart --interval 10s --count 6 --json\n",
		Flags: func(flags *flag.FlagSet) {
			flags.DurationVar(&o.Interval, "interval", defaultInterval, "time between two lines")
			flags.IntVar(&o.Count, "count", 0, "number of lines to print (default: until interrupted)")
			flags.BoolVar(&o.JSON, "json", false, "print JSON")
		},
		Run: func(ctx context.Context, args []string) error {
			if len(args) != 1 || o.Interval <= 0 {
				return factory.Usagef("give one service name, and an interval above zero")
			}
			o.Service = args[0]
			client, err := f.Client()
			if err != nil {
				return err
			}
			return Run(ctx, o, clusterstatus.New(client))
		},
	}
}

// Run prints one line for each sample.
func Run(ctx context.Context, o *Options, reader clusterstatus.Reader) error {
	ticker := time.NewTicker(o.Interval)
	defer ticker.Stop()
	var last line
	for samples := 1; ; samples++ {
		next, err := sample(ctx, o.Service, reader)
		if err != nil {
			return err
		}
		next.setGrowth(last, samples)
		if err := next.print(o); err != nil || samples == o.Count {
			return err
		}
		last = next
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// sample reads the service's current request counts.
func sample(ctx context.Context, name string, reader clusterstatus.Reader) (line, error) {
	status, err := reader.Status(ctx)
	if err != nil {
		return line{}, err
	}
	for _, s := range status.Services {
		if s.Name == name {
			return line{Service: s, Unresponsive: status.Unresponsive}, nil
		}
	}
	return line{}, fmt.Errorf("%w: service %s is not bound; bind it with \"hickory service bind\"", adminapi.ErrNotFound, name)
}

// setGrowth sets the growth since the previous sample. It stays 0 if a sum has shrunk,
// because a host that restarts counts from 0 again.
func (l *line) setGrowth(last line, samples int) {
	if samples > 1 && l.Answered >= last.Answered && l.Refused >= last.Refused {
		l.AnsweredSince, l.RefusedSince = l.Answered-last.Answered, l.Refused-last.Refused
	}
}

func (l line) print(o *Options) error {
	if o.JSON {
		return tableprinter.JSON(o.Out, l)
	}
	_, err := fmt.Fprintf(o.Out, "%s under %s: answered %s (+%d), refused %s (+%d)%s\n", l.Name, l.Profile,
		strconv.FormatUint(l.Answered, 10), l.AnsweredSince, strconv.FormatUint(l.Refused, 10), l.RefusedSince, clusterstatus.UnresponsiveNote(l.Unresponsive))
	return err
}
