// Package room decides which backend server serves which request of a service, for all hosts
// together. One host, the home of the service, keeps the ledger: what it has granted at each
// server, the requests that wait, and how many requests each server takes at once.
//
// With tens of hosts before a few servers, each host sees too few requests to know the load
// of a server from its own. The command hickoryd edge uses this package.
package room

import (
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

const (
	// maxUrgency is the number of the least urgent class. Numbers above it count as it.
	maxUrgency = 9
	// maxWaiting bounds the number of requests that wait.
	maxWaiting = 4096
	// maxGrant bounds the lifetime of a grant, also of a request with a later deadline.
	maxGrant = time.Minute
	// sweepPeriod is the least time between two predictions of the wait of all requests,
	// whose cost grows with their number.
	sweepPeriod = 10 * time.Millisecond
	// MinRetryAfter and MaxRetryAfter bound the time after which a refused caller returns.
	MinRetryAfter = 300 * time.Millisecond
	MaxRetryAfter = 3 * time.Second
	// maxSkipped is the number of requests that can't use any of the servers with room,
	// behind which another one is granted in one decision.
	maxSkipped = 64
	// foreignPeriod is how long a requester's statement counts while no service time is
	// known. A request that it states ends after about one service time.
	foreignPeriod = time.Second
	// newMargin is the factor of the predicted wait of a new request. Without it, requests that
	// are just in time by the prediction are refused later, when returning or more urgent ones
	// have arrived.
	newMargin = 1.25
	// domainTolerance is the factor up to which a server of the requester's failure domain
	// may be slower than the fastest one. It is the noise of the measured service times.
	domainTolerance = 1.1
)

// Outcomes of a granted request.
const (
	// Unused means that the request was not sent, or that nothing is known of it.
	Unused Outcome = iota
	// Served means that the server has run the request and its response was complete.
	Served
	// Shed means that the server has rejected the request for want of room.
	Shed
	// Failed means that the server did not respond, or with an error.
	Failed
)

// Reasons of a refusal.
const (
	// ReasonNoServer means that no server takes work that the request could use. The
	// requester may know of others.
	ReasonNoServer = "no backend server takes work"
	// ReasonNotInTime means that the request can't be served before its target.
	ReasonNotInTime = "the backend servers have no capacity before the target of the request"
	// ReasonQueueFull means that too many requests wait.
	ReasonQueueFull = "too many requests wait for the backend servers"
)

type (
	// Outcome is how a granted request has ended.
	Outcome int

	// Pool names the servers of one ledger: those of a service that have the same stage.
	Pool struct {
		Service string
		// Stage is NoStage for plain servers.
		Stage serverlist.Stage
	}

	// Request asks for a server.
	Request struct {
		// ID is unique among the requests of a ledger. It has the form requester/number.
		ID string
		// Requester is the host that asks.
		Requester string
		// Workspace is the workspace of the caller, or empty.
		Workspace string
		// Urgency is 0 for the most urgent requests.
		Urgency int
		// IsReturn is set if the caller has been refused before.
		IsReturn bool
		Arrived  time.Time
		// Target is until when the response should be complete, or zero for Deadline. A
		// request is refused once it can't be. Deadline is when the caller gives up.
		Target, Deadline time.Time
		// FailureDomain is the requester's.
		FailureDomain string
		// Excluded are the servers that the request can't use.
		Excluded []string
		// ServiceTime is the expected service time of this request, or 0 if that of the servers
		// applies.
		ServiceTime time.Duration
	}

	// Server is a server of the service.
	Server struct {
		ID            string
		FailureDomain string
		// Slots is the number of requests that the server runs at once.
		Slots int
		// StartedAt is when the server's incarnation started, or zero if that is not known.
		StartedAt time.Time
		// TakesNoWork is set if the server is draining.
		TakesNoWork bool
	}

	// Grant allows a request to be sent to a server.
	Grant struct {
		RequestID, Server string
		// ExpiresAt is when the grant ends unless it is released.
		ExpiresAt time.Time
	}

	// Refusal ends a request that was not granted.
	Refusal struct {
		RequestID string
		// RetryAfter is the time after which the caller should return. It is 0 with
		// ReasonNoServer.
		RetryAfter time.Duration
		Reason     string
	}

	// Answer is the response of a host to a request. It is a grant if Server is set, a refusal
	// if Reason is set, and otherwise the request still waits, unless IsNotHome is set.
	Answer struct {
		Server     string
		RetryAfter time.Duration
		Reason     string
		// IsNotHome is set if the host isn't the home of the service.
		IsNotHome bool
	}

	// Released is the report that a granted request has ended, or that a request is no longer
	// waited for.
	Released struct {
		RequestID string
		Outcome   Outcome
		// Took is the time that the server took.
		Took time.Duration
	}

	// Load is the state of a server in the ledger.
	Load struct {
		Server string
		// Limit is the number of requests that the server takes at once.
		Limit int
		// Granted is the number of requests granted and not released, Foreign the number
		// that hosts have stated besides.
		Granted, Foreign int
		// ServiceTime is the measured service time, or 0.
		ServiceTime time.Duration
		// IsFailing is set while the server gets only probes.
		IsFailing bool
	}

	// Ledger is the record of one service. It is not safe for concurrent use. Its size is
	// bounded by the limits of the servers, maxWaiting and the number of hosts.
	Ledger struct {
		servers map[string]*server
		// order holds the servers by ID.
		order   []*server
		queue   queue
		grants  map[string]*grant
		expiry  expiryHeap
		sweptAt time.Time
		// bookedUntil is the time up to which refused callers have been told to return.
		bookedUntil time.Time
		// service is the service time over all servers.
		service mean
	}

	grant struct {
		id        string
		requester string
		server    *server
		grantedAt time.Time
		expiresAt time.Time
		index     int
	}
)

// NewLedger returns the ledger of a home that takes over a service at now. What earlier
// homes have granted is not known to it.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{
		servers: make(map[string]*server), queue: newQueue(), grants: make(map[string]*grant),
		bookedUntil: now,
	}
}

// SetServers sets the servers of the service at now. A server that is new, or has started
// again, begins with a low limit.
func (l *Ledger) SetServers(now time.Time, servers []Server) {
	isFirst := len(l.servers) == 0
	next := make(map[string]*server, len(servers))
	l.order = l.order[:0]
	for _, s := range servers {
		current, ok := l.servers[s.ID]
		if !ok || current.hasRestarted(s) {
			current = newServer(now, s, isFirst)
		}
		current.set(s)
		next[s.ID] = current
	}
	l.servers = next
	for _, s := range next {
		l.order = append(l.order, s)
	}
	sortServers(l.order)
}

// Ask adds a request to the queue. Decide grants or refuses it.
func (l *Ledger) Ask(_ time.Time, r Request) {
	r.Urgency = min(max(r.Urgency, 0), maxUrgency)
	if _, isGranted := l.grants[r.ID]; isGranted {
		return
	}
	l.queue.push(r)
}

// Observe records at now how many requests a host has in flight at servers, as it states.
// Those that this ledger has not granted, but an earlier home or nobody, take room as well.
func (l *Ledger) Observe(now time.Time, requester string, inFlight map[string]int) {
	for _, s := range l.order {
		s.observe(now, requester, inFlight[s.ID])
	}
}

// Cancel removes a request whose caller no longer waits, and releases its grant unused.
func (l *Ledger) Cancel(now time.Time, requestID string) {
	l.queue.remove(requestID)
	l.Release(now, requestID, Unused, 0)
}

// Release records at now that a granted request has ended after the server took a time. It
// does nothing if the grant has expired.
func (l *Ledger) Release(now time.Time, requestID string, o Outcome, took time.Duration) {
	g, ok := l.grants[requestID]
	if !ok {
		return
	}
	l.end(g)
	g.server.record(now, o, took, now.Sub(g.grantedAt))
	if o == Served {
		l.service.add(took)
	}
}

func (l *Ledger) end(g *grant) {
	delete(l.grants, g.id)
	l.expiry.remove(g)
	g.server.end(g.requester)
}

// Decide returns the requests that are granted and refused at now, and when to call Decide
// next if nothing else changes, or zero.
func (l *Ledger) Decide(now time.Time) ([]Grant, []Refusal, time.Time) {
	for len(l.expiry) > 0 && !now.Before(l.expiry[0].expiresAt) {
		l.end(l.expiry[0])
	}
	for _, s := range l.order {
		s.dropForeign(now)
	}
	grants := l.grantAll(now)
	refusals := l.refuse(now)
	return grants, refusals, l.next(now)
}

// Waiting returns the number of requests that wait.
func (l *Ledger) Waiting() int {
	return len(l.queue.byID)
}

// Loads returns the state of each server, by ID.
func (l *Ledger) Loads() []Load {
	loads := make([]Load, 0, len(l.order))
	for _, s := range l.order {
		loads = append(loads, Load{
			Server: s.ID, Limit: int(s.limit), Granted: s.granted, Foreign: s.foreignTotal, ServiceTime: s.took.value(), IsFailing: s.isFailing,
		})
	}
	return loads
}

// grantAll grants requests in the order of the queue while servers have room.
func (l *Ledger) grantAll(now time.Time) []Grant {
	var grants []Grant
	var skipped, late []*entry
	for len(skipped) < maxSkipped && l.hasRoom(now) {
		e := l.queue.pop()
		if e == nil {
			break
		}
		s := l.choose(now, e)
		switch {
		case s == nil:
			skipped = append(skipped, e)
		case !l.isInTime(now, e, 0):
			late = append(late, e) // takes only room that no other request can use
		default:
			grants = append(grants, l.grant(now, e, s))
		}
	}
	for _, e := range late {
		if s := l.choose(now, e); s != nil {
			grants = append(grants, l.grant(now, e, s))
		} else {
			skipped = append(skipped, e)
		}
	}
	for _, e := range skipped {
		l.queue.restore(e)
	}
	l.queue.reset()
	return grants
}

func (l *Ledger) grant(now time.Time, e *entry, s *server) Grant {
	g := &grant{id: e.ID, requester: e.Requester, server: s, grantedAt: now, expiresAt: now.Add(maxGrant)}
	if !e.Deadline.IsZero() && e.Deadline.Before(g.expiresAt) {
		g.expiresAt = e.Deadline
	}
	l.queue.charge(e)
	l.grants[g.id] = g
	l.expiry.add(g)
	s.begin(now, g.requester)
	return Grant{RequestID: g.id, Server: s.ID, ExpiresAt: g.expiresAt}
}

func (l *Ledger) hasRoom(now time.Time) bool {
	isLastResort := l.areAllFailing()
	for _, s := range l.order {
		if s.hasRoom(now, isLastResort) {
			return true
		}
	}
	return false
}

// areAllFailing reports whether no server that takes work is free of failures. The limits
// apply then instead of the probes: the cause may be the requests.
func (l *Ledger) areAllFailing() bool {
	for _, s := range l.order {
		if !s.TakesNoWork && !s.isFailing {
			return false
		}
	}
	return true
}

// choose returns the server with room that serves a request the soonest: one in the
// requester's failure domain if that is no slower than the others. It returns nil if the
// request can use no server with room.
func (l *Ledger) choose(now time.Time, e *entry) *server {
	isLastResort := l.areAllFailing()
	var best, local *server
	fastest := time.Duration(0)
	for _, s := range l.order {
		if e.excludes(s.ID) || !s.hasRoom(now, isLastResort) {
			continue
		}
		if s.isFailing && !isLastResort {
			return s // a probe is due
		}
		if best == nil || s.cost() < best.cost() {
			best = s
		}
		if took := s.took.value(); fastest == 0 || took < fastest {
			fastest = took
		}
		if s.FailureDomain == e.FailureDomain && s.hasFreeSlot() && (local == nil || s.cost() < local.cost()) {
			local = s
		}
	}
	if local != nil && float64(local.took.value()) <= domainTolerance*float64(fastest) {
		return local
	}
	return best
}

// refuse refuses the requests that no server can serve or none in time, in the order of the
// queue: those behind a refused one have one less ahead.
func (l *Ledger) refuse(now time.Time) []Refusal {
	if len(l.queue.byID) == 0 || now.Sub(l.sweptAt) < sweepPeriod && len(l.queue.byID) <= maxWaiting {
		return nil
	}
	l.sweptAt = now
	var refusals []Refusal
	rate := l.rate()
	waiting := l.queue.inOrder()
	ahead := 0
	for _, e := range waiting {
		reason := ""
		switch {
		case !l.hasServer(e):
			reason = ReasonNoServer
		case ahead >= maxWaiting:
			reason = ReasonQueueFull
		case !l.isInTime(now, e, e.margin(waitFor(ahead+1, rate))):
			reason = ReasonNotInTime
		default:
			e.isAdmitted = true
			ahead++
			continue
		}
		l.queue.remove(e.ID)
		refusals = append(refusals, Refusal{RequestID: e.ID, Reason: reason})
	}
	for i := range refusals {
		if refusals[i].Reason != ReasonNoServer {
			refusals[i].RetryAfter = l.book(now, ahead, rate)
		}
	}
	return refusals
}

func (l *Ledger) hasServer(e *entry) bool {
	for _, s := range l.order {
		if !s.TakesNoWork && !e.excludes(s.ID) {
			return true
		}
	}
	return false
}

// isInTime reports whether a request that is granted after a wait can still meet its target.
func (l *Ledger) isInTime(now time.Time, e *entry, wait time.Duration) bool {
	if e.latest().IsZero() {
		return true
	}
	took := e.ServiceTime // prompts differ in length by far more than the deviation of the service time
	if took == 0 {
		took = l.service.high()
	}
	return !now.Add(wait + took).After(e.latest())
}

// waitFor returns the time in which a number of requests are served at a rate a second, or 0
// if that is not known.
func waitFor(requests int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(requests) / rate * float64(time.Second))
}

// rate returns the requests a second that the servers complete within their limits, or 0
// while no service time is known.
func (l *Ledger) rate() float64 {
	rate := 0.0
	isLastResort := l.areAllFailing()
	for _, s := range l.order {
		held := s.held.value()
		if held == 0 {
			held = l.service.value()
		}
		if s.TakesNoWork || s.isFailing && !isLastResort || held == 0 {
			continue
		}
		rate += max(s.limit-float64(s.foreignTotal), 0) / held.Seconds()
	}
	return rate
}

// book returns the time after which a refused caller should return. Each further one returns
// later by the time that the servers need for a request, from the time on at which those that
// wait will have been served, so that the callers don't return all at once.
func (l *Ledger) book(now time.Time, waiting int, rate float64) time.Duration {
	drained, step := MinRetryAfter, MinRetryAfter/16
	if rate > 0 {
		drained, step = max(drained, waitFor(waiting, rate)), waitFor(1, rate)
	}
	first := now.Add(min(drained, MaxRetryAfter))
	if l.bookedUntil.Before(first) || l.bookedUntil.Sub(now) > MaxRetryAfter {
		l.bookedUntil = first
	}
	after := l.bookedUntil.Sub(now)
	l.bookedUntil = l.bookedUntil.Add(step)
	return after
}

func (l *Ledger) next(now time.Time) time.Time {
	var next time.Time
	if len(l.queue.byID) > 0 {
		next = now.Add(sweepPeriod)
	}
	if len(l.expiry) > 0 && (next.IsZero() || l.expiry[0].expiresAt.Before(next)) {
		next = l.expiry[0].expiresAt
	}
	return next
}
