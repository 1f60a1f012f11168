// Package stage decides which model servers change between reading prompts and
// generating tokens, so that memory for generation is not left idle.
package stage

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

const (
	// settlePeriod is how long a surplus must last before a server changes: a
	// server that crashed is back within some seconds, and a change takes as long.
	settlePeriod = 10 * time.Second
	// reserveFactor is the reserve of prefill servers, as for queues of random
	// arrivals.
	reserveFactor = 0.45
	// pendingPeriod is how long an order is waited for: one without an answer may
	// be carried out seconds later.
	pendingPeriod = 15 * time.Second
)

type (
	// Change is one server that takes another stage.
	Change struct {
		Server serverlist.Server
		To     serverlist.Stage
	}

	// Planner plans changes. It is not safe for concurrent use.
	Planner struct {
		// share is the part of a service's servers that reads prompts at the peak.
		share   float64
		since   map[string]time.Time
		pending map[string]pendingOrder
	}

	pendingOrder struct {
		to serverlist.Stage
		at time.Time
	}
)

// NewPlanner returns a planner that keeps a share of the servers of each service
// as prefill servers. With share 0 it plans nothing.
func NewPlanner(share float64) *Planner {
	return &Planner{share: share, since: make(map[string]time.Time), pending: make(map[string]pendingOrder)}
}

// MarkOrdered notes at now that a change was ordered.
func (p *Planner) MarkOrdered(now time.Time, c Change) {
	p.pending[c.Server.ID] = pendingOrder{to: c.To, at: now}
}

// Plan returns the changes that are due. Before any traffic, when isFirst is
// set, a surplus need not last.
func (p *Planner) Plan(now time.Time, servers []serverlist.Server, isFirst bool) []Change {
	if p.share <= 0 {
		return nil
	}
	p.forget(now, servers)
	var changes []Change
	for service, members := range byService(servers) {
		due := p.planService(members)
		if !isFirst {
			due = towardsDecode(due)
		}
		if len(due) == 0 {
			delete(p.since, service)
			continue
		}
		since, ok := p.since[service]
		if !ok {
			p.since[service] = now
			since = now
		}
		if isFirst {
			changes = append(changes, due...)
		} else if now.Sub(since) >= settlePeriod {
			changes = append(changes, due[0])
		}
	}
	return changes
}

// towardsDecode leaves out changes to prefill: under load a server that changes
// takes no work until its streams have ended, and decode servers can read
// prompts meanwhile.
func towardsDecode(changes []Change) []Change {
	return slices.DeleteFunc(changes, func(c Change) bool { return c.To != serverlist.Decode })
}

// planService returns the changes that give a service its share of prefill
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
	wanted := TargetPrefillServers(len(members), p.share)
	var changes []Change
	for len(prefill) > wanted {
		var s serverlist.Server
		s, prefill = takeFromLargestDomain(prefill)
		changes = append(changes, Change{Server: s, To: serverlist.Decode})
	}
	for len(prefill)+len(changes) < wanted && len(decode) > 1 {
		var s serverlist.Server
		s, decode = takeFromLargestDomain(decode)
		changes = append(changes, Change{Server: s, To: serverlist.Prefill})
	}
	return changes
}

// TargetPrefillServers returns the number of prefill servers among total model servers: the
// share that reads at the peak, and a reserve for its variation that grows with
// the square root, since many servers even out their queues.
func TargetPrefillServers(total int, share float64) int {
	if total < 2 {
		return 0
	}
	wanted := share*float64(total) + reserveFactor*math.Sqrt(float64(total))
	return min(max(int(math.Round(wanted)), 1), total-1)
}

// stageOf returns the stage that a server has or is taking.
func (p *Planner) stageOf(s serverlist.Server) serverlist.Stage {
	if order, ok := p.pending[s.ID]; ok {
		return order.to
	}
	return s.Stage
}

// forget drops orders that were carried out or waited for long enough.
func (p *Planner) forget(now time.Time, servers []serverlist.Server) {
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

// byService returns the model servers of each service that take work.
func byService(servers []serverlist.Server) map[string][]serverlist.Server {
	services := make(map[string][]serverlist.Server)
	for _, s := range servers {
		if s.Stage != serverlist.NoStage && !s.IsDraining {
			services[s.Service] = append(services[s.Service], s)
		}
	}
	return services
}

// takeFromLargestDomain removes a server of the failure domain that has most of
// them, the first by name among equals.
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
