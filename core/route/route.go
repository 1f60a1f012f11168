// Package route selects the route of a request by host name and path.
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Kinds of route.
const (
	// Safe calls may run more than once.
	Safe Kind = "safe"
	// Unsafe calls run at most once for each attempt of a caller.
	Unsafe Kind = "unsafe"
	// Streaming calls are answered by a stream of events.
	Streaming Kind = "streaming"
)

type (
	// Kind says what may be repeated.
	Kind string

	// Configuration is the operators' document of routes.
	Configuration struct {
		// Version orders the documents; it rises in uneven steps.
		Version uint64
		Routes  []Route
		Limits  Limits
	}

	// Route sends requests of one host name and path prefix to a service.
	Route struct {
		Name       string
		HostName   string
		PathPrefix string
		Kind       Kind
		Service    string
		// Timeout is the longest time that a request is kept.
		Timeout time.Duration
		// TargetLatency is the time in which an answer, or the first event of a
		// stream, earns its full credit.
		TargetLatency time.Duration
		// TargetGap is the longest pause between events of a stream that is on time.
		TargetGap time.Duration
		// Priority is the route's rank; 0 is the highest.
		Priority int
		// MaxServers is the number of backend servers that one attempt of a
		// caller may be sent to.
		MaxServers int
		// IsGeneration is set where requests name a model and a prompt.
		IsGeneration bool
		IsResumable  bool
	}

	// Limits bound what a caller may send. Zero means no limit.
	Limits struct {
		HeaderBytes   int64
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Table finds routes. It is immutable.
	Table struct {
		configuration *Configuration
		// hosts holds each host's routes, the longest prefix first.
		hosts map[string][]*Route
	}
)

// NewTable returns the table of a configuration, which must not change after.
func NewTable(c *Configuration) *Table {
	t := &Table{configuration: c, hosts: make(map[string][]*Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.HostName] = append(t.hosts[r.HostName], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t
}

// Find returns the route with the longest prefix of path on a host, which may
// carry a port, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.hosts[withoutPort(host)] {
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

// Limits returns what callers may send.
func (t *Table) Limits() Limits {
	return t.configuration.Limits
}

// Routes returns all routes, which must not be changed.
func (t *Table) Routes() []Route {
	return t.configuration.Routes
}

// IsRetryable reports whether a request that may have run may be sent again.
func (r *Route) IsRetryable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.IsResumable)
}

func withoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
