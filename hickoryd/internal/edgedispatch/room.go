package edgedispatch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/balance"
	"github.com/hickoryfront/hickoryfront/core/hoststate"
	coreroom "github.com/hickoryfront/hickoryfront/core/room"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/room"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
)

// defaultUrgency is the urgency of a request without a priority.
const defaultUrgency = 5

type (
	// Rooms asks the homes of services for room at servers.
	Rooms interface {
		// Acquire returns the grant of a server. The error is a *room.Refusal if no server has
		// room in time, and otherwise this host chooses the server.
		Acquire(ctx context.Context, ask room.Ask) (*room.Grant, error)
		// Describe adds to s the services for which this host is the home.
		Describe(s *hoststate.State)
	}

	// grantedRoom is a grant with the server as registered.
	grantedRoom struct {
		grant  *room.Grant
		server serverlist.Server
	}
)

// acquireRoom asks the home of the service for a server for the first attempt. The error is a
// *Failure if no server has room in time. Without an answer, or where this host can use no
// server now, next chooses.
func (c *plainCall) acquireRoom(ctx context.Context) error {
	if c.options.Rooms == nil {
		return nil
	}
	ask, ok := c.describeAsk()
	if !ok {
		return nil
	}
	grant, err := c.options.Rooms.Acquire(ctx, ask)
	var refusal *room.Refusal
	switch {
	case errors.As(err, &refusal):
		return &Failure{Status: http.StatusServiceUnavailable, RetryAfter: max(refusal.RetryAfter, c.plainRetryAfter(c.request)), Reason: refusal.Reason}
	case err != nil:
		return nil
	}
	for _, s := range c.servers() {
		if s.ID == grant.Server {
			c.room = &grantedRoom{grant: grant, server: s}
			return nil
		}
	}
	grant.Release(coreroom.Unused, 0)
	return nil
}

// describeAsk returns what the home is asked. It returns false if this host can use none of
// the servers now.
func (c *plainCall) describeAsk() (room.Ask, bool) {
	r := c.request
	criteria := balance.Criteria{Service: r.Route.Service, FailureDomain: c.options.FailureDomain}
	usable := c.rankServers(criteria)
	ask := room.Ask{
		Pool: coreroom.Pool{Service: r.Route.Service}, Workspace: r.Workspace, FailureDomain: c.options.FailureDomain, Urgency: urgencyOf(r), IsReturn: c.firstAttemptAt(r).Before(r.Arrived),
		Arrived: r.Arrived, Target: r.Deadline, Deadline: r.Deadline, InFlight: make(map[string]int),
	}
	if target := r.Arrived.Add(r.Route.LatencyTarget); r.Route.LatencyTarget > 0 && target.Before(r.Deadline) && !ask.IsReturn {
		ask.Target = target
	}
	now := time.Now()
	for _, s := range c.servers() {
		if !criteria.Matches(s) {
			continue
		}
		if !slices.ContainsFunc(usable, func(u serverlist.Server) bool { return u.ID == s.ID }) {
			ask.Excluded = append(ask.Excluded, s.ID)
		}
		if requests := c.requestsAt(now, s.ID); requests > 0 {
			ask.InFlight[s.ID] = requests
		}
	}
	return ask, len(usable) > 0
}

// urgencyOf returns the urgency of a request.
func urgencyOf(r *Request) int {
	if r.IsRanked {
		return r.Priority
	}
	return defaultUrgency
}

// requestsAt returns the number of requests that this host has in flight at a server.
func (d *Dispatcher) requestsAt(now time.Time, server string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.Load(now, server).Requests
}

// next returns the server of the next attempt: the granted one, and then those that this host
// chooses.
func (c *plainCall) next() (serverlist.Server, *grantedRoom, bool) {
	if granted := c.room; granted != nil {
		c.room = nil
		return granted.server, granted, true
	}
	server, ok := c.pick(balance.Criteria{Service: c.request.Route.Service, FailureDomain: c.options.FailureDomain, Excluded: c.tried})
	return server, nil, ok
}

// releaseRoom reports the outcome of an attempt with a grant, which has ended, to the home.
func (a *plainAttempt) releaseRoom(ctx context.Context) {
	if a.room != nil {
		a.room.grant.Release(a.roomOutcome(ctx), time.Since(a.started))
	}
}

func (a *plainAttempt) roomOutcome(ctx context.Context) coreroom.Outcome {
	r := a.result
	switch {
	case r.err == nil && r.response.response.StatusCode >= http.StatusInternalServerError:
		return coreroom.Failed
	case r.err == nil:
		return coreroom.Served
	case errors.Is(context.Cause(ctx), errSlow):
		return coreroom.Failed
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded), errors.Is(r.err, errNoPermit):
		return coreroom.Unused // the caller disconnected, or the request was not sent
	case errors.Is(r.err, errNotRun) && !errors.Is(r.err, upstream.ErrNotSent):
		return coreroom.Shed
	default:
		return coreroom.Failed
	}
}
