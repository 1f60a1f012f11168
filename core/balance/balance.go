// Package balance chooses backend servers by what this host has in flight at
// them, how they did lately and where they run.
package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/health"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

const (
	// foreignWeight is the load, in requests, that a server of another failure
	// domain must be below one of the own domain to be preferred.
	foreignWeight = 1.0
	// failureWeight is the load, in requests, that a failure rate of 1 counts as.
	failureWeight = 20.0
	// changingPeriod is the time for which a server that changes its stage is
	// passed over; the change itself takes longer, and shows in the list.
	changingPeriod = 2 * time.Second
	// fullPeriod is the time for which a server that had no room is passed over.
	fullPeriod = 60 * time.Millisecond
	// gonePeriod is the time for which a server that has ended is left out: three
	// times the longest lag of the list of servers that the users state, 3 s.
	gonePeriod = 9 * time.Second
)

type (
	// Table holds this host's load at each server. It is not safe for concurrent
	// use.
	Table struct {
		health *health.Table
		loads  map[string]*load
	}

	// Criteria says which servers may be chosen.
	Criteria struct {
		Service string
		Stage   serverlist.Stage
		// FailureDomain is preferred.
		FailureDomain string
		// Excluded are the incarnations that were tried.
		Excluded []string
	}

	// Load is what this host has in flight at a server, and how the server did.
	Load struct {
		Requests    int
		Tokens      int
		FailureRate float64
		IsEjected   bool
	}

	load struct {
		requests  int
		tokens    int
		fullUntil time.Time
		goneUntil time.Time
	}
)

// NewTable returns a table without load.
func NewTable() *Table {
	return &Table{health: health.NewTable(), loads: make(map[string]*load)}
}

// Begin counts a request with so many tokens at a server.
func (t *Table) Begin(server string, tokens int) {
	l := t.load(server)
	l.requests++
	l.tokens += tokens
}

// End takes a request off a server.
func (t *Table) End(server string, tokens int) {
	l, ok := t.loads[server]
	if !ok {
		return
	}
	l.requests--
	l.tokens -= tokens
}

// Report takes in how a request went at a server.
func (t *Table) Report(now time.Time, server string, result health.Result) {
	t.health.Report(now, server, result)
}

// Load returns the load of a server at now.
func (t *Table) Load(now time.Time, server string) Load {
	held := Load{FailureRate: t.health.FailureRate(server), IsEjected: t.health.IsEjected(now, server)}
	if l, ok := t.loads[server]; ok {
		held.Requests, held.Tokens = l.requests, l.tokens
	}
	return held
}

// MarkFull notes that a server had no room at now.
func (t *Table) MarkFull(now time.Time, server string) {
	t.passOver(now.Add(fullPeriod), server)
}

// MarkChangingStage notes that a server takes no new work at now since it changes its
// stage.
func (t *Table) MarkChangingStage(now time.Time, server string) {
	t.passOver(now.Add(changingPeriod), server)
}

// MarkEnded notes at now that an incarnation of a server has ended, though it is still
// registered.
func (t *Table) MarkEnded(now time.Time, server string) {
	t.load(server).goneUntil = now.Add(gonePeriod)
}

func (t *Table) load(server string) *load {
	l, ok := t.loads[server]
	if !ok {
		l = &load{}
		t.loads[server] = l
	}
	return l
}

func (t *Table) isGone(now time.Time, server string) bool {
	l, ok := t.loads[server]
	return ok && now.Before(l.goneUntil)
}

func (t *Table) passOver(until time.Time, server string) {
	l := t.load(server)
	if until.After(l.fullUntil) {
		l.fullUntil = until
	}
}

// Retain forgets servers without load that are not known any more.
func (t *Table) Retain(servers []serverlist.Server) {
	known := make(map[string]bool, len(servers))
	for _, s := range servers {
		known[s.ID] = true
	}
	for id, l := range t.loads {
		if !known[id] && l.requests <= 0 {
			delete(t.loads, id)
		}
	}
	t.health.Retain(func(server string) bool { return known[server] })
}

// Pick returns the best server, preferring those that are not ejected. It
// returns false where there is none.
func (t *Table) Pick(now time.Time, servers []serverlist.Server, want Criteria) (serverlist.Server, bool) {
	if s, ok := t.pick(now, servers, want, false); ok {
		return s, true
	}
	return t.pick(now, servers, want, true)
}

func (t *Table) pick(now time.Time, servers []serverlist.Server, want Criteria, isEjectedAllowed bool) (serverlist.Server, bool) {
	var best serverlist.Server
	var bestCost float64
	isFound := false
	for _, s := range servers {
		if !want.allows(s) || t.isGone(now, s.ID) || (!isEjectedAllowed && t.health.IsEjected(now, s.ID)) {
			continue
		}
		cost := t.cost(s, want)
		if !isFound || cost < bestCost {
			best, bestCost, isFound = s, cost, true
		}
	}
	return best, isFound
}

// Rank returns the servers that may have room, best first. Ejected ones and
// those that were full a moment ago are left out.
func (t *Table) Rank(now time.Time, servers []serverlist.Server, want Criteria) []serverlist.Server {
	type candidate struct {
		server serverlist.Server
		cost   float64
	}
	var candidates []candidate
	for _, s := range servers {
		if !want.allows(s) || t.isGone(now, s.ID) || t.health.IsEjected(now, s.ID) || t.isFull(now, s.ID) {
			continue
		}
		candidates = append(candidates, candidate{s, t.cost(s, want)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	ordered := make([]serverlist.Server, len(candidates))
	for i, c := range candidates {
		ordered[i] = c.server
	}
	return ordered
}

func (t *Table) isFull(now time.Time, server string) bool {
	l, ok := t.loads[server]
	return ok && now.Before(l.fullUntil)
}

func (t *Table) cost(s serverlist.Server, want Criteria) float64 {
	cost := rand.Float64() * 0.5 // servers of equal load take turns
	if l, ok := t.loads[s.ID]; ok {
		cost += float64(l.requests)
	}
	if s.FailureDomain != want.FailureDomain {
		cost += foreignWeight
	}
	return cost + failureWeight*t.health.FailureRate(s.ID)
}

func (w Criteria) allows(s serverlist.Server) bool {
	return s.Service == w.Service && s.Stage == w.Stage && !s.IsDraining && !slices.Contains(w.Excluded, s.ID)
}
