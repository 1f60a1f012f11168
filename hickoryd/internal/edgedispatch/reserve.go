package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hickoryfront/hickoryfront/core/balance"
	"github.com/hickoryfront/hickoryfront/core/capacitywait"
	"github.com/hickoryfront/hickoryfront/core/health"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// reservationLifetime is how long a reservation waits for its request. It covers
	// the prefill and the transfer of the KV cache.
	reservationLifetime = 1900 * time.Millisecond
	// probeLifetime is how long the reservation of a probe lasts if the call that
	// releases it is lost.
	probeLifetime = 100 * time.Millisecond
	// reservationTimeout limits the call that makes a reservation. Without a response after
	// reservationDelay the paths to the servers are checked.
	reservationTimeout = 300 * time.Millisecond
	reservationDelay   = 100 * time.Millisecond
	// maxServersPerSearch is the maximum number of servers that one search for free
	// capacity queries. The next search skips those that had none, so a few searches
	// cover a hundred servers.
	maxServersPerSearch = 16
	// memoryMargin is the number of tokens reserved for each expected output token.
	// With five to ten requests on a server some are longer than expected, and a
	// request that runs out of memory has to be prefilled again.
	memoryMargin = 1.35
)

// reservation is a slot and memory reserved at a decode server. id is empty for a
// migrated run, which needs no reservation.
type reservation struct {
	server serverlist.Server
	id     string
	tokens int
}

// reserve reserves memory and a slot at a decode server. A request that can still
// meet its target latency searches for capacity often, and so does a stream that has
// begun. A late request yields to these: a caller's retry searches less often and
// leaves headroom for them, and a first attempt is refused.
func (g *generation) reserve(ctx context.Context) (reservation, error) {
	tokens := g.request.Metadata.PromptTokens + int(memoryMargin*float64(g.expectedOutputTokens(g.request)))
	meanTokens := g.meanReservation(g.request.Route.Service, tokens)
	wait := g.ranked.join(time.Now(), g.request, g.waitConditions(), tokens)
	defer wait.leave()
	for {
		if err := g.checkVersion(ctx, g.servers()); err != nil {
			return reservation{}, err
		}
		if !g.request.IsRelayed && !g.hasPaths(g.request.Route.Service) {
			return reservation{}, errPathsLost
		}
		now := time.Now()
		if err := g.checkDraining(now); err != nil {
			return reservation{}, err
		}
		decision := capacitywait.Decide(now, wait.conditions(now, g.waitConditions()))
		if decision.IsRefused {
			if !g.request.IsRelayed && !g.awaitPaths(ctx, g.request.Route.Service) {
				return reservation{}, errPathsLost
			}
			return reservation{}, &Failure{Status: http.StatusServiceUnavailable, RetryAfter: decision.RetryAfter, Reason: "no decode server has room"}
		}
		lateHeadroom := int(decision.Headroom * meanTokens)
		candidates := g.rankServers(g.decodeCriteria())
		if len(candidates) == 0 {
			g.suspectRest(g.request.Route.Service)
		}
		candidates = wait.candidates(now, candidates)
		for _, server := range candidates[:min(len(candidates), maxServersPerSearch)] {
			if g.hasNoPath(server) || !g.acquirePermit(ctx, server) {
				continue
			}
			headroom := wait.headroom(now, server, decision, lateHeadroom)
			id, err := g.reserveProven(ctx, server, tokens, headroom)
			wait.record(time.Now(), headroom, err)
			if err == nil {
				return reservation{server: server, id: id, tokens: tokens}, nil
			}
			if ctx.Err() != nil {
				return reservation{}, fmt.Errorf("%w: %w", upstream.ErrNotSent, ctx.Err())
			}
			if !errors.Is(err, errNotRun) && !g.awaitPaths(ctx, g.request.Route.Service) {
				break // there is no path to the others either
			}
		}
		if g.isRelayWorthwhile() {
			return reservation{}, errPathsLost
		}
		if err := timing.Sleep(ctx, decision.Pause); err != nil {
			return reservation{}, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
		}
	}
}

// isRelayWorthwhile reports whether another host may find room, since this one has lost its
// paths to many servers.
func (g *generation) isRelayWorthwhile() bool {
	return !g.request.IsRelayed && !g.isRelayRejected && g.hasLostMany(g.request.Route.Service)
}

// decodeCriteria select the decode servers that the request may be sent to.
func (g *generation) decodeCriteria() balance.Criteria {
	criteria := balance.Criteria{
		Service: g.request.Route.Service, Stage: serverlist.Decode, SoftwareVersion: g.softwareVersion,
		FailureDomain: g.options.FailureDomain, Excluded: g.excluded(),
	}
	if g.request.Route.IsResumable {
		criteria.Excluded = append(criteria.Excluded, g.startedAgain()...)
	}
	if g.softwareVersion == "" && g.request.Route.IsResumable {
		criteria.AvoidedVersions = g.originStore.AvoidedVersions(time.Now(), g.request.Route.Service)
	}
	return criteria
}

// waitConditions returns the times and targets that decide how long the request
// waits for capacity.
func (g *generation) waitConditions() capacitywait.Request {
	return capacitywait.Request{
		FirstArrived: g.firstAttempt, Arrived: g.request.Arrived, Jitter: rand.Float64(), Deadline: g.request.Deadline, LatencyTarget: g.request.Route.LatencyTarget,
		IsStreaming: g.isStarted || g.request.Metadata.IsResumed,
	}
}

// reserveWithHeadroom reserves memory for tokens at a server if memory for headroom
// further tokens stays free there.
func (g *generation) reserveWithHeadroom(ctx context.Context, server serverlist.Server, tokens, headroom int) (string, error) {
	if headroom > 0 {
		if err := g.probe(ctx, server, tokens+headroom); err != nil {
			return "", err
		}
	}
	return g.reserveAt(ctx, server, tokens, reservationLifetime)
}

// probe checks whether memory for the given tokens is free at a server. It reserves
// the memory and releases it at once.
func (g *generation) probe(ctx context.Context, server serverlist.Server, tokens int) error {
	id, err := g.reserveAt(ctx, server, tokens, probeLifetime)
	if err != nil {
		return err
	}
	_, err = g.call(ctx, server, platform.ReleaseReservationCall(server.ID, id))
	return err
}

// reserveAt reserves memory and a slot at a server and returns the reservation's ID.
func (g *generation) reserveAt(ctx context.Context, server serverlist.Server, tokens int, lifetime time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	call, err := platform.ReserveCall(server.ID, tokens, lifetime)
	if err != nil {
		return "", err
	}
	suspicion := time.AfterFunc(reservationDelay, func() { g.suspectPaths(server) })
	defer suspicion.Stop()
	reply, err := g.call(ctx, server, call)
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return "", err // this host has ended the call, which shows nothing about the server
	case errors.Is(err, upstream.ErrNotSent):
		g.recordResult(server.ID, health.Unreachable)
		return "", err
	case err != nil:
		g.recordResult(server.ID, health.Broken)
		return "", err
	case reply.Status != http.StatusOK:
		if reply.Status == http.StatusMisdirectedRequest {
			g.handleMisdirected(server)
			return "", fmt.Errorf("%w: reservation returned status %d", errNotRun, reply.Status)
		}
		g.markFull(server.ID)
		return "", fmt.Errorf("%w: reservation returned status %d", errFull, reply.Status)
	}
	id, err := platform.DecodeReservation(reply.Body)
	if err != nil {
		g.recordResult(server.ID, health.Broken)
	}
	return id, err
}

// releaseReservation releases a reservation in the background.
func (g *generation) releaseReservation(held reservation) {
	if held.id != "" {
		go g.runRelease(held.server, platform.ReleaseReservationCall(held.server.ID, held.id))
	}
}

// releaseHandle frees, in the background, a KV cache that no server will fetch.
func (g *generation) releaseHandle(source kvHandle) {
	if source.id != "" {
		g.counters.unusedHandles.Inc()
		go g.runRelease(source.server, platform.ReleaseHandleCall(source.server.ID, source.id))
	}
}

func (g *generation) runRelease(server serverlist.Server, call platform.Call) {
	ctx, cancel := context.WithTimeout(g.background, backgroundTimeout)
	defer cancel()
	if _, err := g.call(ctx, server, call); err != nil {
		g.logger.WithError(err).WithField("server", server.ID).Debug("release call failed; the server frees the memory when its lifetime ends")
	}
}
