// Package route selects the route of a request by host name and path. The command
// hickoryd edge uses it, for the callers of the users' platform.
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/hickoryfront/hickoryfront/core/identity"
)

// Kinds of route.
const (
	// Safe calls may run more than once.
	Safe Kind = "safe"
	// Unsafe calls run at most once for each attempt of a caller.
	Unsafe Kind = "unsafe"
	// Streaming calls return a stream of events.
	Streaming Kind = "streaming"
)

type (
	// Kind states whether calls may run more than once and whether they stream.
	Kind string

	// Configuration is the operators' document of routes and limits.
	Configuration struct {
		// Version is higher in each newer document. Versions are not consecutive.
		Version    uint64
		Routes     []Route
		Limits     Limits
		Workspaces []identity.Workspace
	}

	// Route sends requests of one host name and path prefix to a service.
	Route struct {
		Name       string
		HostName   string
		PathPrefix string
		Kind       Kind
		Service    string
		// Split are the services among which the route's sessions are distributed, in place of
		// Service, or empty.
		Split []Share
		// IsPublic is set if requests need no key.
		IsPublic bool
		// Timeout is the longest time that the router holds a request.
		Timeout time.Duration
		// LatencyTarget is the time within which a response, or the first event
		// of a stream, counts in full as on time.
		LatencyTarget time.Duration
		// GapTarget is the longest pause between events of a stream that counts as
		// on time.
		GapTarget time.Duration
		// Priority ranks the routes; 0 is the highest.
		Priority int
		// MaxServers is the largest number of backend servers that one attempt of
		// a caller may be sent to.
		MaxServers int
		// IsGeneration is set where requests name a model and a prompt.
		IsGeneration bool
		// IsResumable is set where a stream may be resumed after its last event.
		IsResumable bool
	}

	// Share is the part of a route's sessions that a service gets. No two shares of a route
	// have the same service.
	Share struct {
		Service string
		// Weight is in proportion to the share, and finite. A service with weight 0 gets
		// sessions only if no other has servers.
		Weight float64
	}

	// Limits bound what a caller may send. Zero means no limit.
	Limits struct {
		HeaderBytes   int64
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Table finds the route of a request. It is immutable.
	Table struct {
		configuration *Configuration
		// routesByHost holds the routes of each host name, the longest prefix first.
		routesByHost map[string][]*Route
		directory    *identity.Directory
		// ranked are the services for which RanksRequests reports true.
		ranked map[string]bool
	}
)

// NewTable returns the table of a configuration, which must not be modified
// afterwards.
func NewTable(c *Configuration) *Table {
	t := &Table{configuration: c, routesByHost: make(map[string][]*Route), directory: identity.NewDirectory(c.Workspaces), ranked: rankedServices(c)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routesByHost[r.HostName] = append(t.routesByHost[r.HostName], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t
}

// Find returns the route with the longest prefix of path on a host name, or nil.
// The host may include a port.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.routesByHost[withoutPort(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Len returns the number of routes.
func (t *Table) Len() int {
	return len(t.configuration.Routes)
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 {
	return t.configuration.Version
}

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits {
	return t.configuration.Limits
}

// Routes returns all routes, which must not be modified.
func (t *Table) Routes() []Route {
	return t.configuration.Routes
}

// Directory returns the workspaces of the configuration.
func (t *Table) Directory() *identity.Directory {
	return t.directory
}

// RanksRequests reports whether requests of generation routes to a service have different
// priorities, because of their routes or of their workspaces.
func (t *Table) RanksRequests(service string) bool {
	return t.ranked[service]
}

// IsRetryable reports whether a request may be retried after it may have run.
func (r *Route) IsRetryable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.IsResumable)
}

// rankedServices returns the services whose requests have different priorities, or nil if
// there are none.
func rankedServices(c *Configuration) map[string]bool {
	var ranked map[string]bool
	priorities := make(map[string]int)
	note := func(service string, priority int) {
		first, ok := priorities[service]
		if !ok {
			priorities[service] = priority
			return
		}
		if first != priority {
			if ranked == nil {
				ranked = make(map[string]bool)
			}
			ranked[service] = true
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if !r.IsGeneration {
			continue
		}
		for service := range r.Services() {
			note(service, r.Priority)
		}
	}
	for service := range priorities {
		for _, w := range c.Workspaces {
			if w.Priority != nil {
				note(service, *w.Priority)
			}
		}
	}
	return ranked
}

func withoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
