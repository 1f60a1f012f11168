// Package clusterstatus reads the status over all hosts: each daemon counts only the
// requests that it has answered itself.
package clusterstatus

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/tableprinter"
)

const hostTimeout = 3 * time.Second

type (
	// Reader reads the status over all hosts.
	Reader interface {
		Status(ctx context.Context) (Status, error)
	}

	// Status is what one daemon knows, with the requests of all hosts.
	Status struct {
		adminapi.Status
		Unresponsive []string `json:"silent,omitempty"` // hosts whose requests are missing
	}

	// Collector asks one daemon for the hosts and then each host for its requests.
	Collector struct {
		client *adminapi.Client
	}

	// hostAnswer is one host's part.
	hostAnswer struct {
		host   adminapi.Host
		client *adminapi.Client
		status adminapi.Status
		err    error
	}
)

// New returns a reader that begins at the client's daemon.
func New(client *adminapi.Client) *Collector {
	return &Collector{client: client}
}

// Status implements Reader.
func (f *Collector) Status(ctx context.Context) (Status, error) {
	first, err := f.client.Status(ctx)
	if err != nil {
		return Status{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	var group sync.WaitGroup
	answers := make([]*hostAnswer, 0, len(first.Hosts))
	for _, h := range first.Hosts {
		if h.Name == first.Host {
			continue
		}
		answer := &hostAnswer{host: h, client: f.client.WithAddress(h.OperatorAddress)}
		answers = append(answers, answer)
		group.Go(func() { answer.run(ctx) })
	}
	group.Wait()
	return merge(first, answers), nil
}

func (a *hostAnswer) run(ctx context.Context) {
	a.status, a.err = a.client.Status(ctx)
}

func merge(first adminapi.Status, answers []*hostAnswer) Status {
	merged := Status{Status: first}
	for _, a := range answers {
		if a.err != nil {
			merged.Unresponsive = append(merged.Unresponsive, a.host.Name)
			continue
		}
		add(merged.Services, a.status.Services)
	}
	return merged
}

// add adds the requests of one host to the services of the first.
func add(services, others []adminapi.Service) {
	for i := range services {
		for _, o := range others {
			if o.Name == services[i].Name {
				services[i].Answered += o.Answered
				services[i].Refused += o.Refused
			}
		}
	}
}

// HostTable prints hosts.
func HostTable(out io.Writer, hosts []adminapi.Host) error {
	rows := make([][]string, 0, len(hosts))
	for _, h := range hosts {
		state := "serving"
		if h.Draining {
			state = "draining"
		}
		rows = append(rows, []string{h.Name, h.FailureDomain, strconv.FormatUint(h.ConfigRevision, 10), state})
	}
	return tableprinter.Table(out, []string{"host", "failure domain", "revision", "state"}, rows)
}

// ServiceTable prints services with their requests.
func ServiceTable(out io.Writer, status Status) error {
	rows := make([][]string, 0, len(status.Services))
	for _, s := range status.Services {
		rows = append(rows, []string{
			s.Name, s.Kind, s.Profile, stateOf(s), strconv.FormatUint(s.Answered, 10), strconv.FormatUint(s.Refused, 10),
		})
	}
	if err := tableprinter.Table(out, []string{"service", "kind", "profile", "state", "answered", "refused"}, rows); err != nil {
		return err
	}
	if note := UnresponsiveNote(status.Unresponsive); note != "" {
		fmt.Fprintln(out, strings.TrimSpace(note))
	}
	return nil
}

// UnresponsiveNote names the hosts whose requests are missing in a sum, or is empty.
func UnresponsiveNote(silent []string) string {
	if len(silent) == 0 {
		return ""
	}
	return " without " + strings.Join(silent, ", ") + ", which did not answer"
}

func stateOf(s adminapi.Service) string {
	if s.Enabled {
		return "bound"
	}
	return "legacy " + s.Legacy
}
