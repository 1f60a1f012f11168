// Package clusterstatus merges the status of all hosts. Each daemon counts only the
// requests that it has answered or refused itself, so the counts of all hosts are added up.
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

// hostTimeout bounds the wait for the status of all other hosts.
const hostTimeout = 3 * time.Second

type (
	// Reader reads the merged status of all hosts.
	Reader interface {
		Status(ctx context.Context) (Status, error)
	}

	// Status is the status of one daemon with the request counts of all hosts.
	Status struct {
		adminapi.Status
		Unresponsive []string `json:"silent,omitempty"` // hosts whose requests are not counted
	}

	// Collector reads the host list from one daemon, and then the request counts from
	// each host.
	Collector struct {
		client *adminapi.Client
	}

	// hostResult is the status of one host, or the error of reading it.
	hostResult struct {
		host   adminapi.Host
		client *adminapi.Client
		status adminapi.Status
		err    error
	}
)

// New returns a collector that reads the host list from the client's daemon.
func New(client *adminapi.Client) *Collector {
	return &Collector{client: client}
}

// Status implements Reader.
func (c *Collector) Status(ctx context.Context) (Status, error) {
	first, err := c.client.Status(ctx)
	if err != nil {
		return Status{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	var group sync.WaitGroup
	results := make([]*hostResult, 0, len(first.Hosts))
	for _, h := range first.Hosts {
		if h.Name == first.Host {
			continue
		}
		result := &hostResult{host: h, client: c.client.WithAddress(h.OperatorAddress)}
		results = append(results, result)
		group.Go(func() { result.run(ctx) })
	}
	group.Wait()
	return merge(first, results), nil
}

func (r *hostResult) run(ctx context.Context) {
	r.status, r.err = r.client.Status(ctx)
}

func merge(first adminapi.Status, results []*hostResult) Status {
	merged := Status{Status: first}
	for _, r := range results {
		if r.err != nil {
			merged.Unresponsive = append(merged.Unresponsive, r.host.Name)
			continue
		}
		add(merged.Services, r.status.Services)
	}
	return merged
}

// add adds the request counts of another host to services.
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

// HostTable prints a table of hosts.
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

// ServiceTable prints a table of services with their request counts.
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

// UnresponsiveNote returns a note on the hosts whose requests are not counted, or ""
// if there are none.
func UnresponsiveNote(hosts []string) string {
	if len(hosts) == 0 {
		return ""
	}
	return " without " + strings.Join(hosts, ", ") + ", which did not answer"
}

func stateOf(s adminapi.Service) string {
	if s.Enabled {
		return "bound"
	}
	return "legacy " + s.Legacy
}
