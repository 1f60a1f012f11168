// Package balance chooses backend servers by the requests that this host has in
// flight at them, their recent failure rate and their failure domain. The command
// hickoryd edge uses it, for the backend servers of the users' platform. In hickoryd
// serve, core/placement chooses the servers.
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
	// remoteWeight is the load, in requests, by which a server in another failure
	// domain must be below a server in the preferred domain to be chosen.
	remoteWeight = 1.0
	// limitedWeight is the load, in requests, that equals a limit. It is below the spread of
	// costs, so that a server gets requests in whose responses the end of its limit shows.
	limitedWeight = 0.3
	// costSpread spreads requests over servers of equal load.
	costSpread = 0.5
	// failureWeight is the load, in requests, that equals a failure rate of 1.
	failureWeight = 20.0
	// stageChangePeriod is the time for which a server that changes its stage is
	// skipped. The change takes longer; the server list shows the rest of it.
	stageChangePeriod = 2 * time.Second
	// fullPeriod is the time for which a server without free capacity is skipped.
	fullPeriod = 60 * time.Millisecond
	// endedPeriod is the time for which a server whose incarnation has ended is
	// excluded: three times the maximum lag of the server list, which the platform
	// states as 3 s.
	endedPeriod = 9 * time.Second
	// leavingRetention is how long a server that has said that it is leaving is remembered
	// after it has vanished from the list. In an outage its registration may lapse and come
	// back.
	leavingRetention = 2 * time.Minute
	// maxPause bounds the time for which a server may ask for no work.
	maxPause = 10 * time.Minute
)

type (
	// Table holds this host's load at each server. It is not safe for concurrent
	// use.
	Table struct {
		health *health.Table
		loads  map[string]*load
	}

	// Criteria select the servers that may be chosen.
	Criteria struct {
		Service string
		Stage   serverlist.Stage
		// SoftwareVersion is the required software version, or empty for any.
		SoftwareVersion string
		// AvoidedVersions are software versions that must not be chosen.
		AvoidedVersions []string
		// FailureDomain is the preferred failure domain.
		FailureDomain string
		// Excluded are the IDs of incarnations that were attempted before.
		Excluded []string
	}

	// Load is the load that this host has in flight at a server, and the health of
	// the server.
	Load struct {
		Requests    int
		Tokens      int
		FailureRate float64
		IsEjected   bool
	}

	load struct {
		// startedAt is when the server's incarnation started, as registered.
		startedAt  time.Time
		requests   int
		tokens     int
		skipUntil  time.Time // full or changing its stage
		endedUntil time.Time
		// pausedUntil is the end of the time for which the server has asked for no work.
		pausedUntil time.Time
		// isLimited is set if the server takes a limited number of requests, each with a
		// permit, and noPermitUntil is until when there is none.
		isLimited     bool
		noPermitUntil time.Time
		// hasNoPath is set while this host can't connect to the server.
		hasNoPath bool
		// leavingSince is when the server last said that it is leaving, or zero.
		leavingSince time.Time
	}
)

// NewTable returns a table without load.
func NewTable() *Table {
	return &Table{health: health.NewTable(), loads: make(map[string]*load)}
}

// Begin adds a request with a number of tokens to a server's load.
func (t *Table) Begin(server string, tokens int) {
	l := t.load(server)
	l.requests++
	l.tokens += tokens
}

// End removes a request from a server's load.
func (t *Table) End(server string, tokens int) {
	l, ok := t.loads[server]
	if !ok {
		return
	}
	l.requests--
	l.tokens -= tokens
}

// Report records the result of a request at a server.
func (t *Table) Report(now time.Time, server string, result health.Result) {
	t.health.Report(now, server, result)
}

// Load returns the load of a server at now.
func (t *Table) Load(now time.Time, server string) Load {
	current := Load{FailureRate: t.health.FailureRate(server), IsEjected: t.health.IsEjected(now, server)}
	if l, ok := t.loads[server]; ok {
		current.Requests, current.Tokens = l.requests, l.tokens
	}
	return current
}

// MarkFull records that a server had no free capacity at now.
func (t *Table) MarkFull(now time.Time, server string) {
	t.skip(now.Add(fullPeriod), server)
}

// MarkChangingStage records that a server takes no new work at now because it
// changes its stage.
func (t *Table) MarkChangingStage(now time.Time, server string) {
	t.skip(now.Add(stageChangePeriod), server)
}

// MarkEnded records at now that an incarnation of a server has ended although it
// is still registered.
func (t *Table) MarkEnded(now time.Time, server string) {
	t.load(server).endedUntil = now.Add(endedPeriod)
}

// MarkPaused records that a server has asked at now for no work during a time.
func (t *Table) MarkPaused(now time.Time, server string, pause time.Duration) {
	l := t.load(server)
	if until := now.Add(min(pause, maxPause)); until.After(l.pausedUntil) {
		l.pausedUntil = until
	}
}

// SetLimited records whether each request to a server needs a permit.
func (t *Table) SetLimited(server string, isLimited bool) {
	l := t.load(server)
	l.isLimited = isLimited
	l.noPermitUntil = time.Time{}
}

// MarkNoPermit records at now that there is no permit for a request to a server during a
// time.
func (t *Table) MarkNoPermit(now time.Time, server string, wait time.Duration) {
	if l := t.load(server); l.isLimited {
		l.noPermitUntil = now.Add(wait)
	}
}

// SetPath records whether this host can't connect to a server. It reports whether that has
// changed.
func (t *Table) SetPath(server string, isLost bool) bool {
	l := t.load(server)
	isChanged := isLost != l.hasNoPath
	l.hasNoPath = isLost
	return isChanged
}

// LostShare returns the part of the servers of a service, without those that are draining, to
// which this host can't connect.
func (t *Table) LostShare(servers []serverlist.Server, service string) float64 {
	lost, listed := 0, 0
	for _, s := range servers {
		if s.Service != service || s.IsDraining {
			continue
		}
		listed++
		if t.HasNoPath(s.ID) {
			lost++
		}
	}
	if listed == 0 {
		return 0
	}
	return float64(lost) / float64(listed)
}

// HasNoPath reports whether this host can't connect to a server.
func (t *Table) HasNoPath(server string) bool {
	l, ok := t.loads[server]
	return ok && l.hasNoPath
}

// PauseLeft returns the time until the first of the servers that match takes work again, if
// none of them does: they have asked for none, or there is no permit. Otherwise it returns 0.
func (t *Table) PauseLeft(now time.Time, servers []serverlist.Server, criteria Criteria) time.Duration {
	var least time.Duration
	for _, s := range servers {
		if !criteria.Matches(s) || t.isGone(now, s.ID) {
			continue
		}
		l, ok := t.loads[s.ID]
		if !ok {
			return 0
		}
		left := max(l.pausedUntil.Sub(now), l.noPermitUntil.Sub(now))
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// MarkLeaving records that a server has said at now that it is leaving, which is final for
// its incarnation. It reports whether that is new.
func (t *Table) MarkLeaving(now time.Time, server string) bool {
	l := t.load(server)
	isNew := l.leavingSince.IsZero()
	l.leavingSince = now
	return isNew
}

func (t *Table) load(server string) *load {
	l, ok := t.loads[server]
	if !ok {
		l = &load{}
		t.loads[server] = l
	}
	return l
}

// TakesNoWork reports whether a server's incarnation has ended or is leaving, or has asked
// for no work at now.
func (t *Table) TakesNoWork(now time.Time, server string) bool {
	l, ok := t.loads[server]
	return ok && (t.isGone(now, server) || now.Before(l.pausedUntil))
}

// isGone reports whether a server's incarnation has ended or is leaving.
func (t *Table) isGone(now time.Time, server string) bool {
	l, ok := t.loads[server]
	return ok && (!l.leavingSince.IsZero() || now.Before(l.endedUntil))
}

func (t *Table) skip(until time.Time, server string) {
	l := t.load(server)
	if until.After(l.skipUntil) {
		l.skipUntil = until
	}
}

// Retain removes the health of the servers that are not among servers, and their
// load if no request is in flight. Of a server that has started again it keeps only the
// requests in flight.
func (t *Table) Retain(now time.Time, servers []serverlist.Server) {
	known := make(map[string]bool, len(servers))
	for _, s := range servers {
		known[s.ID] = true
		l := t.load(s.ID)
		if s.HasRestarted(l.startedAt) {
			l.skipUntil, l.endedUntil, l.pausedUntil, l.leavingSince = time.Time{}, time.Time{}, time.Time{}, time.Time{}
			l.isLimited, l.noPermitUntil = false, time.Time{}
			t.health.Forget(s.ID)
		}
		if !s.StartedAt.IsZero() {
			l.startedAt = s.StartedAt
		}
	}
	for id, l := range t.loads {
		if !known[id] && l.requests <= 0 && now.Sub(l.leavingSince) > leavingRetention {
			delete(t.loads, id)
		}
	}
	t.health.Retain(func(server string) bool { return known[server] })
}

// Pick returns the best server. It returns an ejected one, or one without a path, only where
// no other matches.
// It returns false where no server that takes work matches the criteria.
func (t *Table) Pick(now time.Time, servers []serverlist.Server, criteria Criteria) (serverlist.Server, bool) {
	if s, ok := t.pick(now, servers, criteria, false); ok {
		return s, true
	}
	return t.pick(now, servers, criteria, true)
}

func (t *Table) pick(now time.Time, servers []serverlist.Server, criteria Criteria, isLastResort bool) (serverlist.Server, bool) {
	var best serverlist.Server
	var bestCost float64
	isFound := false
	for _, s := range servers {
		if !criteria.Matches(s) || t.TakesNoWork(now, s.ID) || t.hasNoPermit(now, s.ID) || (!isLastResort && (t.health.IsEjected(now, s.ID) || t.HasNoPath(s.ID))) {
			continue
		}
		cost := t.cost(s, criteria)
		if !isFound || cost < bestCost {
			best, bestCost, isFound = s, cost, true
		}
	}
	return best, isFound
}

// Rank returns the matching servers that may have free capacity, best first. It excludes
// servers that are ejected, have no path, have ended, are leaving, have asked for no work,
// have no permit, or were recently full or changing their stage.
func (t *Table) Rank(now time.Time, servers []serverlist.Server, criteria Criteria) []serverlist.Server {
	type candidate struct {
		server serverlist.Server
		cost   float64
	}
	var candidates []candidate
	for _, s := range servers {
		if !criteria.Matches(s) || t.TakesNoWork(now, s.ID) || t.hasNoPermit(now, s.ID) || t.HasNoPath(s.ID) || t.health.IsEjected(now, s.ID) || t.isSkipped(now, s.ID) {
			continue
		}
		candidates = append(candidates, candidate{s, t.cost(s, criteria)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	ranked := make([]serverlist.Server, len(candidates))
	for i, c := range candidates {
		ranked[i] = c.server
	}
	return ranked
}

func (t *Table) isSkipped(now time.Time, server string) bool {
	l, ok := t.loads[server]
	return ok && now.Before(l.skipUntil)
}

func (t *Table) hasNoPermit(now time.Time, server string) bool {
	l, ok := t.loads[server]
	return ok && now.Before(l.noPermitUntil)
}

func (t *Table) cost(s serverlist.Server, criteria Criteria) float64 {
	cost := rand.Float64() * costSpread
	if l, ok := t.loads[s.ID]; ok {
		cost += float64(l.requests)
		if l.isLimited {
			cost += limitedWeight
		}
	}
	if s.FailureDomain != criteria.FailureDomain {
		cost += remoteWeight
	}
	return cost + failureWeight*t.health.FailureRate(s.ID)
}

// Matches reports whether a server may be chosen.
func (c Criteria) Matches(s serverlist.Server) bool {
	return s.Service == c.Service && s.Stage == c.Stage && c.allowsVersion(s.SoftwareVersion) &&
		!s.IsDraining && !slices.Contains(c.Excluded, s.ID)
}

func (c Criteria) allowsVersion(version string) bool {
	return (c.SoftwareVersion == "" || c.SoftwareVersion == version) && !slices.Contains(c.AvoidedVersions, version)
}
