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
)

type (
	// Lister reads the platform's list.
	Lister interface {
		Servers(ctx context.Context) ([]backend.Server, []string, error)
	}

	// Directory is the view of the servers. It is safe for concurrent use.
	Directory struct {
		lister        Lister
		failureDomain string // of this daemon
		interval      time.Duration
		logger        log.Interface
		failures      *metrics.Counter

		mu      sync.Mutex
		records map[string]*record
		pools   map[poolKey]*pool
		listed  bool
		version uint64 // of what Servers returns
	}

	// record is what is known of one server.
	record struct {
		server  backend.Server
		load    backend.Load
		leaving bool // learned from the server itself
		// incarnation is the newest life of the server that was heard of.
		incarnation string
		listed      bool
	}
)

// New returns an empty directory that reads the list once each interval.
// failureDomain is that of this daemon.
func New(lister Lister, failureDomain string, interval time.Duration, logger log.Interface, set *metrics.Set) *Directory {
	return &Directory{
		lister:        lister,
		failureDomain: failureDomain,
		interval:      interval,
		logger:        logger,
		failures:      set.NewCounter(`hickoryfront_host_list_failures_total`),
		records:       map[string]*record{},
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

// IsLoaded reports whether the list was ever read.
func (d *Directory) IsLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

// Version changes whenever Servers would return something else.
func (d *Directory) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Servers returns all known servers, with what they said about leaving.
func (d *Directory) Servers() []backend.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers := make([]backend.Server, 0, len(d.records))
	for _, r := range d.records {
		if r.listed {
			servers = append(servers, r.current())
		}
	}
	return servers
}

// Lookup returns one server.
func (d *Directory) Lookup(id string) (backend.Server, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.records[id]
	if !ok || !r.listed {
		return backend.Server{}, false
	}
	return r.current(), true
}

// Plain returns the live servers of a plain service.
func (d *Directory) Plain(service string) []backend.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	var servers []backend.Server
	for _, r := range d.records {
		s := r.current()
		if r.listed && s.Role == backend.RolePlain && s.Service == service && s.State == backend.StateLive {
			servers = append(servers, s)
		}
	}
	return servers
}

// ObserveRemote takes in a load digest or report.
func (d *Directory) ObserveRemote(load backend.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.record(load.ServerID)
	if load.ObservedAt.Before(r.load.ObservedAt) {
		return
	}
	leaving := r.leaving
	if load.Incarnation != "" && load.Incarnation != r.incarnation {
		leaving = leaving && r.incarnation == ""
		r.incarnation = load.Incarnation
	}
	r.load = load
	d.setLeaving(r, leaving || load.Leaving)
}

// SetLeaving marks a server that said that it leaves.
func (d *Directory) SetLeaving(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setLeaving(d.record(id), true)
}

// setLeaving notes whether a server leaves. The caller holds mu.
func (d *Directory) setLeaving(r *record, leaving bool) {
	if r.leaving != leaving {
		r.leaving = leaving
		d.version++
	}
}

// record returns what is known of a server, which may not be listed yet. The
// caller holds mu.
func (d *Directory) record(id string) *record {
	r, ok := d.records[id]
	if !ok {
		r = &record{}
		d.records[id] = r
	}
	return r
}

func (r *record) current() backend.Server {
	s := r.server
	if r.leaving {
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

// replace takes in the list. What is known of servers that left it is dropped.
func (d *Directory) replace(servers []backend.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = true
	listed := make(map[string]bool, len(servers))
	changed := false
	for _, s := range servers {
		listed[s.ID] = true
		r := d.record(s.ID)
		if r.listed && r.server == s {
			continue
		}
		changed = true
		d.logNew(r, s)
		r.server, r.listed = s, true
	}
	for id, r := range d.records {
		if listed[id] {
			continue
		}
		if r.listed {
			changed = true
			d.logger.WithField("server", id).Info("backend server left the list")
		}
		delete(d.records, id)
	}
	if changed {
		d.version++
		d.index()
	}
}

func (d *Directory) logNew(held *record, s backend.Server) {
	if held.listed && held.server.State == s.State && held.server.Role == s.Role {
		return
	}
	d.logger.WithField("server", s.ID).WithField("role", string(s.Role)).WithField("state", string(s.State)).
		Info("backend server listed")
}
