// Package servicewatch prints the requests of one service again and again,
// while it is moved over.
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

	// line is one look at the service.
	line struct {
		adminapi.Service
		AnsweredSince uint64   `json:"answeredSince"` // the look before
		RefusedSince  uint64   `json:"refusedSince"`
		Silent        []string `json:"silent,omitempty"` // hosts that did not answer
	}
)

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Out: f.Streams.Out}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "watch",
		Short:   "print the requests of a service on all hosts, again and again",
		Example: "  hickory service watch cart\n  hickory service watch cart --interval 10s --count 6 --json\n",
		Flags: func(flags *flag.FlagSet) {
			flags.DurationVar(&o.Interval, "interval", defaultInterval, "time between two looks")
			flags.IntVar(&o.Count, "count", 0, "looks to take (default: until interrupted)")
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

// Run prints a line for each look.
func Run(ctx context.Context, o *Options, reader clusterstatus.Reader) error {
	ticker := time.NewTicker(o.Interval)
	defer ticker.Stop()
	var last line
	for looks := 1; ; looks++ {
		next, err := look(ctx, o.Service, reader)
		if err != nil {
			return err
		}
		next.since(last, looks)
		if err := next.print(o); err != nil || looks == o.Count {
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

func look(ctx context.Context, name string, reader clusterstatus.Reader) (line, error) {
	status, err := reader.Status(ctx)
	if err != nil {
		return line{}, err
	}
	for _, s := range status.Services {
		if s.Name == name {
			return line{Service: s, Silent: status.Unresponsive}, nil
		}
	}
	return line{}, fmt.Errorf("%w: service %s is not bound; bind it with \"hickory service bind\"", adminapi.ErrNotFound, name)
}

// since sets the growth since the look before. Hosts that restarted count from
// zero, so the sum may shrink.
func (l *line) since(last line, looks int) {
	if looks > 1 && l.Answered >= last.Answered && l.Refused >= last.Refused {
		l.AnsweredSince, l.RefusedSince = l.Answered-last.Answered, l.Refused-last.Refused
	}
}

func (l line) print(o *Options) error {
	if o.JSON {
		return tableprinter.JSON(o.Out, l)
	}
	_, err := fmt.Fprintf(o.Out, "%s under %s: answered %s (+%d), refused %s (+%d)%s\n", l.Name, l.Profile,
		strconv.FormatUint(l.Answered, 10), l.AnsweredSince, strconv.FormatUint(l.Refused, 10), l.RefusedSince, clusterstatus.UnresponsiveNote(l.Silent))
	return err
}
