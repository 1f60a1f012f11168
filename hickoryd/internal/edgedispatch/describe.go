package edgedispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

// Describe adds to s the state of the backend servers as this host sees it, and the
// usage of this host's retry budgets, both at now.
func (d *Dispatcher) Describe(now time.Time, s *hoststate.State) {
	if rooms := cmp.Or(d.options.Rooms, d.options.PrefillRooms); rooms != nil {
		rooms.Describe(s)
	}
	servers, hosts := d.servers(), d.registry.HostCount()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts.Observe(now, hosts)
	for _, server := range servers {
		s.Servers = append(s.Servers, d.describeServer(now, server))
	}
	for service, budget := range d.budgets {
		usage := budget.Usage(now, d.hosts.Max())
		s.Budgets = append(s.Budgets, hoststate.Budget{Service: service, Requests: usage.Requests, Retries: usage.Retries, Allowed: usage.Allowed})
	}
	slices.SortFunc(s.Servers, func(a, b hoststate.Server) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(s.Budgets, func(a, b hoststate.Budget) int { return cmp.Compare(a.Service, b.Service) })
}

// describeServer returns the state of one server. The caller holds mu.
func (d *Dispatcher) describeServer(now time.Time, s serverlist.Server) hoststate.Server {
	load := d.balancer.Load(now, s.ID)
	described := hoststate.Server{
		ID: s.ID, Service: s.Service, Stage: string(s.Stage), Address: s.Address, FailureDomain: s.FailureDomain, IsDraining: s.IsDraining,
		Requests: load.Requests, Tokens: load.Tokens, FailureRate: load.FailureRate, IsEjected: load.IsEjected, HasNoPath: d.balancer.HasNoPath(s.ID),
	}
	if limit, ok := d.limits.Limit(s.ID); ok {
		described.Limit = &limit.Rate
	}
	return described
}
