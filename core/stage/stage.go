// Package stage decides which model servers change between the stages prefill and
// decode, so that memory for generation is not left idle. The command hickoryd edge uses
// it, for the model servers of the users' platform. Stage is the word of the
// users' platform and role that of the Consul-registered engines (core/rolebalance);
// both mean prefill or decode.
package stage

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

const (
	// settlePeriod is how long a surplus of prefill servers must last before a
	// server changes. A server that crashed restarts within some seconds, and a
	// change takes about as long.
	settlePeriod = 10 * time.Second
	// reserveFactor is the reserve of prefill servers for random arrivals, as a
	// multiple of the square root of the number of servers.
	reserveFactor = 0.45
	// pendingPeriod is how long an order counts as pending. A server may carry out
	// an order seconds later without having responded to it.
	pendingPeriod = 15 * time.Second
)

type (
	// Change is the change of one server to another stage.
	Change struct {
		Server serverlist.Server
		To     serverlist.Stage
	}

	// Planner plans changes of stages. It is not safe for concurrent use.
	Planner struct {
		// prefillShare is the part of a service's servers that is busy with
		// prefills at the peak.
		prefillShare float64
		// surplusSince is, by service, the time since when changes are due.
		surplusSince map[string]time.Time
		// pending holds, by server ID, the orders that may still be carried out.
		pending map[string]pendingOrder
	}

	pendingOrder struct {
		to serverlist.Stage
		at time.Time
	}
)

// NewPlanner returns a planner that keeps prefill servers for a service where
// prefillShare of the servers are busy with prefills at the peak. With share 0 the
// planner plans no changes.
func NewPlanner(prefillShare float64) *Planner {
	return &Planner{prefillShare: prefillShare, surplusSince: make(map[string]time.Time), pending: make(map[string]pendingOrder)}
}

// MarkOrdered records that a change was ordered at now.
func (p *Planner) MarkOrdered(now time.Time, c Change) {
	p.pending[c.Server.ID] = pendingOrder{to: c.To, at: now}
}

// Plan returns the changes that are due at now. isStartup is set before any traffic: all
// changes are due at once then. Later, only changes to decode are due, one at a time,
// after the surplus of prefill servers has lasted for settlePeriod.
func (p *Planner) Plan(now time.Time, servers []serverlist.Server, isStartup bool) []Change {
	if p.prefillShare <= 0 {
		return nil
	}
	p.dropFinishedOrders(now, servers)
	var changes []Change
	for service, members := range byService(servers) {
		due := p.planService(members)
		if !isStartup {
			due = onlyToDecode(due)
		}
		if len(due) == 0 {
			delete(p.surplusSince, service)
			continue
		}
		since, ok := p.surplusSince[service]
		if !ok {
			p.surplusSince[service] = now
			since = now
		}
		if isStartup {
			changes = append(changes, due...)
		} else if now.Sub(since) >= settlePeriod {
			changes = append(changes, due[0])
		}
	}
	return changes
}

// onlyToDecode removes changes to prefill. Under load, a server that changes takes no
// work until its streams have ended, and decode servers can run prefills meanwhile.
func onlyToDecode(changes []Change) []Change {
	return slices.DeleteFunc(changes, func(c Change) bool { return c.To != serverlist.Decode })
}

// planService returns the changes that give a service its target number of prefill
// servers.
func (p *Planner) planService(members []serverlist.Server) []Change {
	var prefill, decode []serverlist.Server
	for _, s := range members {
		if p.stageOf(s) == serverlist.Prefill {
			prefill = append(prefill, s)
		} else {
			decode = append(decode, s)
		}
	}
	target := TargetPrefillServers(len(members), p.prefillShare)
	var changes []Change
	for len(prefill) > target {
		var s serverlist.Server
		s, prefill = takeFromLargestDomain(prefill)
		changes = append(changes, Change{Server: s, To: serverlist.Decode})
	}
	for len(prefill)+len(changes) < target && len(decode) > 1 {
		var s serverlist.Server
		s, decode = takeFromLargestDomain(decode)
		changes = append(changes, Change{Server: s, To: serverlist.Prefill})
	}
	return changes
}

// TargetPrefillServers returns the number of prefill servers that total model servers
// should have: the share that is busy with prefills at the peak, and a reserve for
// variations of the load. The reserve grows with the square root of total, because many
// servers even out their queues.
func TargetPrefillServers(total int, prefillShare float64) int {
	if total < 2 {
		return 0
	}
	target := prefillShare*float64(total) + reserveFactor*math.Sqrt(float64(total))
	return min(max(int(math.Round(target)), 1), total-1)
}

// stageOf returns the stage that a server has, or the one that it was ordered to take.
func (p *Planner) stageOf(s serverlist.Server) serverlist.Stage {
	if order, ok := p.pending[s.ID]; ok {
		return order.to
	}
	return s.Stage
}

// dropFinishedOrders removes orders that were carried out or have been pending for too
// long.
func (p *Planner) dropFinishedOrders(now time.Time, servers []serverlist.Server) {
	stages := make(map[string]serverlist.Stage, len(servers))
	for _, s := range servers {
		stages[s.ID] = s.Stage
	}
	for id, order := range p.pending {
		if stages[id] == order.to || now.Sub(order.at) > pendingPeriod {
			delete(p.pending, id)
		}
	}
}

// byService returns, by service, the model servers that take work.
func byService(servers []serverlist.Server) map[string][]serverlist.Server {
	services := make(map[string][]serverlist.Server)
	for _, s := range servers {
		if s.Stage != serverlist.NoStage && !s.IsDraining {
			services[s.Service] = append(services[s.Service], s)
		}
	}
	return services
}

// takeFromLargestDomain removes a server of the failure domain that has the most of
// the servers, and returns that server and the rest. Among equals the first by ID is
// taken.
func takeFromLargestDomain(servers []serverlist.Server) (serverlist.Server, []serverlist.Server) {
	counts := make(map[string]int)
	for _, s := range servers {
		counts[s.FailureDomain]++
	}
	best := slices.MinFunc(servers, func(a, b serverlist.Server) int {
		return cmp.Or(cmp.Compare(counts[b.FailureDomain], counts[a.FailureDomain]), cmp.Compare(a.ID, b.ID))
	})
	rest := slices.DeleteFunc(slices.Clone(servers), func(s serverlist.Server) bool { return s.ID == best.ID })
	return best, rest
}
