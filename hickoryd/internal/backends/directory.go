// Package backends keeps the daemon's view of the backend servers: the
// platform's lagging list and the loads that engines and homes report.
package backends

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/placement"
)

type (
	// Lister reads the platform's list.
	Lister interface {
		Servers(ctx context.Context) ([]backend.Server, []string, error)
	}

	// Directory is the view of the servers. It is safe for concurrent use.
	Directory struct {
		lister   Lister
		interval time.Duration
		logger   log.Interface
		failures *metrics.Counter

		mu      sync.Mutex
		servers map[string]backend.Server
		loads   map[string]backend.Load
		leaving map[string]bool // learned from the servers themselves
		listed  bool
	}
)

// New returns an empty directory that reads the list once each interval.
func New(lister Lister, interval time.Duration, logger log.Interface, set *metrics.Set) *Directory {
	return &Directory{
		lister:   lister,
		interval: interval,
		logger:   logger,
		failures: set.NewCounter(`hickoryfront_host_list_failures_total`),
		servers:  map[string]backend.Server{},
		loads:    map[string]backend.Load{},
		leaving:  map[string]bool{},
	}
}

// Run reads the list until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	ticker := time.NewTicker(d.interval)
	defer ticker.Stop()
	for {
		d.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Listed reports whether the list was ever read.
func (d *Directory) Listed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

// Servers returns all known servers, with what they said about leaving.
func (d *Directory) Servers() []backend.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers := make([]backend.Server, 0, len(d.servers))
	for _, s := range d.servers {
		servers = append(servers, d.withState(s))
	}
	return servers
}

// Lookup returns one server.
func (d *Directory) Lookup(id string) (backend.Server, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[id]
	return d.withState(s), ok
}

// Candidates returns the engines of a model with their loads.
func (d *Directory) Candidates(model string) []placement.Candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	var candidates []placement.Candidate
	for id, s := range d.servers {
		if s.Model == model && s.Role != backend.RolePlain {
			candidates = append(candidates, placement.Candidate{Server: d.withState(s), Load: d.loads[id]})
		}
	}
	return candidates
}

// Plain returns the live servers of a plain service.
func (d *Directory) Plain(service string) []backend.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	var servers []backend.Server
	for _, s := range d.servers {
		s = d.withState(s)
		if s.Role == backend.RolePlain && s.Service == service && s.State == backend.StateLive {
			servers = append(servers, s)
		}
	}
	return servers
}

// ObserveRemote takes in a load digest or report.
func (d *Directory) ObserveRemote(load backend.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if held, ok := d.loads[load.ServerID]; ok && load.ObservedAt.Before(held.ObservedAt) {
		return
	}
	d.loads[load.ServerID] = load
	if load.Leaving {
		d.leaving[load.ServerID] = true
	}
}

// SetLeaving marks a server that said that it leaves.
func (d *Directory) SetLeaving(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving[id] = true
}

func (d *Directory) withState(s backend.Server) backend.Server {
	if d.leaving[s.ID] {
		s.State = backend.StateLeaving
	}
	return s
}

func (d *Directory) poll(ctx context.Context) {
	servers, refused, err := d.lister.Servers(ctx)
	if err != nil {
		d.failures.Inc()
		if !errors.Is(err, context.Canceled) {
			d.logger.WithError(err).Debug("host list not read")
		}
		return
	}
	for _, reason := range refused {
		d.logger.WithField("entry", reason).Debug("host list entry left out")
	}
	d.replace(servers)
}

func (d *Directory) replace(servers []backend.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = true
	listed := make(map[string]backend.Server, len(servers))
	for _, s := range servers {
		listed[s.ID] = s
		d.logNew(s)
	}
	for id := range d.servers {
		if _, ok := listed[id]; !ok {
			d.logger.WithField("server", id).Info("backend server left the list")
			delete(d.loads, id)
			delete(d.leaving, id)
		}
	}
	d.servers = listed
}

func (d *Directory) logNew(s backend.Server) {
	held, ok := d.servers[s.ID]
	if ok && held.State == s.State && held.Role == s.Role {
		return
	}
	d.logger.WithField("server", s.ID).WithField("role", string(s.Role)).WithField("state", string(s.State)).
		Info("backend server listed")
}
