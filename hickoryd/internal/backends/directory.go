// Package backends maintains the daemon's view of the backend servers. The view
// combines the platform's server list, which lags behind, with the loads that
// engines and the homes of servers report.
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
	// Lister reads the platform's server list. The second result names the entries
	// that can't be used.
	Lister interface {
		Servers(ctx context.Context) ([]backend.Server, []string, error)
	}

	// Directory is the daemon's view of the backend servers. It is safe for
	// concurrent use.
	Directory struct {
		lister        Lister
		failureDomain string // of this daemon
		interval      time.Duration
		logger        log.Interface
		failures      *metrics.Counter

		mu      sync.Mutex
		records map[string]*record
		pools   map[poolKey]*pool
		loaded  bool   // the list was read at least once
		version uint64 // increases when the result of Servers changes
	}

	// record holds the state of one server.
	record struct {
		server  backend.Server
		load    backend.Load
		leaving bool // the server itself reported that it is leaving
		// incarnation is the newest reported incarnation of the server.
		incarnation string
		listed      bool // the platform lists the server
	}
)

// New returns an empty directory that reads the list once per interval.
// failureDomain is the failure domain of this daemon.
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

// IsLoaded reports whether the list has been read at least once.
func (d *Directory) IsLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// Version returns a number that increases whenever the result of Servers changes.
func (d *Directory) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Servers returns all listed servers. A server that reported that it is leaving
// has the state StateLeaving, regardless of its state in the list.
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

// Lookup returns one listed server.
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

// ObserveLoad records the load of a server as published by its home, which may be
// this daemon. A load that is older than the recorded one is ignored. A new
// incarnation of the server clears the leaving state, unless no incarnation was
// known before.
func (d *Directory) ObserveLoad(load backend.Load) {
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

// SetLeaving records that a server has reported that it is leaving.
func (d *Directory) SetLeaving(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setLeaving(d.record(id), true)
}

// setLeaving records whether a server is leaving. The caller holds mu.
func (d *Directory) setLeaving(r *record, leaving bool) {
	if r.leaving != leaving {
		r.leaving = leaving
		d.version++
	}
}

// record returns the record of a server and creates it if needed. The server may
// not be listed yet. The caller holds mu.
func (d *Directory) record(id string) *record {
	r, ok := d.records[id]
	if !ok {
		r = &record{}
		d.records[id] = r
	}
	return r
}

// current returns the server as listed, with the state that it reported itself.
func (r *record) current() backend.Server {
	s := r.server
	if r.leaving {
		s.State = backend.StateLeaving
	}
	return s
}

func (d *Directory) poll(ctx context.Context) {
	servers, invalid, err := d.lister.Servers(ctx)
	if err != nil {
		d.failures.Inc()
		if !errors.Is(err, context.Canceled) {
			d.logger.WithError(err).Debug("can't read the server list; keeping the previous one")
		}
		return
	}
	for _, reason := range invalid {
		d.logger.WithField("entry", reason).Debug("can't use the server list entry; ignoring it")
	}
	d.replace(servers)
}

// replace updates the records from a new list. It drops the records of servers
// that are not in the list.
func (d *Directory) replace(servers []backend.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loaded = true
	listed := make(map[string]bool, len(servers))
	changed := false
	for _, s := range servers {
		listed[s.ID] = true
		r := d.record(s.ID)
		if r.listed && r.server == s {
			continue
		}
		changed = true
		d.logListed(r, s)
		r.server, r.listed = s, true
	}
	for id, r := range d.records {
		if listed[id] {
			continue
		}
		if r.listed {
			changed = true
			d.logger.WithField("server", id).Info("backend server is no longer listed")
		}
		delete(d.records, id)
	}
	if changed {
		d.version++
		d.indexPools()
	}
}

// logListed logs a server that is newly listed or has changed its state or role.
func (d *Directory) logListed(current *record, s backend.Server) {
	if current.listed && current.server.State == s.State && current.server.Role == s.Role {
		return
	}
	d.logger.WithField("server", s.ID).WithField("role", string(s.Role)).WithField("state", string(s.State)).
		Info("backend server listed")
}
