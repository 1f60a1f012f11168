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
	// holdLifetime is how long a reservation waits for its request: a prompt's
	// reading and its transfer.
	holdLifetime = 1900 * time.Millisecond
	// probeLifetime is how long memory that was reserved only to see whether it is
	// free stays reserved where its release is lost.
	probeLifetime = 100 * time.Millisecond
	// holdTimeout is the longest wait for the answer to a reservation.
	holdTimeout = 300 * time.Millisecond
	// searchLimit bounds the servers that one search for room asks. Those that had
	// none are passed over by the next, so that a few searches ask all of a hundred.
	searchLimit = 16
	// memoryMargin is the memory that is reserved for each expected token: with
	// five to ten requests on a server some are longer than expected, and one that
	// finds no memory has its prompt read again.
	memoryMargin = 1.35
)

// seat is room at a decode server.
type seat struct {
	server serverlist.Server
	hold   string
	tokens int
}

// takeRoom reserves memory and a slot at a decode server. A request that can
// still be on time looks for room often; one that is late yields to those, and
// is served when there is room to spare.
func (g *generation) takeRoom(ctx context.Context) (seat, error) {
	tokens := g.order.Metadata.PromptTokens + int(memoryMargin*float64(g.expectedOutput(g.order)))
	usual := g.usualTokens(g.order.Route.Service, tokens)
	want := balance.Want{Service: g.order.Route.Service, Stage: serverlist.Decode, FailureDomain: g.options.FailureDomain, Excluded: g.tried}
	for {
		now := time.Now()
		turn := capacitywait.TurnAt(now, g.promise())
		if turn.IsOver {
			return seat{}, &Failure{Status: http.StatusServiceUnavailable, RetryAfter: turn.RetryAfter, Reason: "no decode server has room"}
		}
		headroom := int(turn.Headroom * usual)
		candidates := g.ranked(want)
		for _, server := range candidates[:min(len(candidates), searchLimit)] {
			hold, err := g.holdWithin(ctx, server, tokens, headroom)
			if err == nil {
				return seat{server: server, hold: hold, tokens: tokens}, nil
			}
			if ctx.Err() != nil {
				return seat{}, fmt.Errorf("%w: %w", upstream.ErrNotSent, ctx.Err())
			}
		}
		if err := timing.Sleep(ctx, turn.Pause); err != nil {
			return seat{}, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
		}
	}
}

// promise returns what the caller was promised.
func (g *generation) promise() capacitywait.Promise {
	return capacitywait.Promise{
		Asked: g.asked, Arrived: g.order.Arrived, Spread: rand.Float64(), Deadline: g.order.Deadline, Target: g.order.Route.TargetLatency,
		IsUnderWay: g.isStarted,
	}
}

// holdWithin reserves memory at a server where so many tokens stay free besides.
func (g *generation) holdWithin(ctx context.Context, server serverlist.Server, tokens, headroom int) (string, error) {
	if headroom > 0 {
		if err := g.probe(ctx, server, tokens+headroom); err != nil {
			return "", err
		}
	}
	return g.hold(ctx, server, tokens, holdLifetime)
}

// probe finds out whether so much memory is free, and leaves it free.
func (g *generation) probe(ctx context.Context, server serverlist.Server, tokens int) error {
	hold, err := g.hold(ctx, server, tokens, probeLifetime)
	if err != nil {
		return err
	}
	_, _, err = g.pool.Call(ctx, server.Address, platform.ReleaseHoldCall(server.ID, hold))
	return err
}

func (g *generation) hold(ctx context.Context, server serverlist.Server, tokens int, lifetime time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	call, err := platform.HoldCall(server.ID, tokens, lifetime)
	if err != nil {
		return "", err
	}
	status, body, err := g.pool.Call(ctx, server.Address, call)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		g.report(server.ID, health.Unreachable)
		return "", err
	case err != nil:
		g.report(server.ID, health.Broken)
		return "", err
	case status != http.StatusOK:
		if status == http.StatusMisdirectedRequest {
			g.misdirected(server)
		} else {
			g.full(server.ID)
		}
		return "", fmt.Errorf("%w: reservation answered %d", errNotRun, status)
	}
	hold, err := platform.DecodeHold(body)
	if err != nil {
		g.report(server.ID, health.Broken)
	}
	return hold, err
}

func (g *generation) releaseHold(room seat) {
	if room.hold != "" {
		go g.runRelease(room.server, platform.ReleaseHoldCall(room.server.ID, room.hold))
	}
}

func (g *generation) releaseHandle(source handleAt) {
	if source.id != "" {
		g.counters.wasted.Inc()
		go g.runRelease(source.server, platform.ReleaseHandleCall(source.server.ID, source.id))
	}
}

func (g *generation) runRelease(server serverlist.Server, call platform.Call) {
	ctx, cancel := context.WithTimeout(g.life, releaseTimeout)
	defer cancel()
	if _, _, err := g.pool.Call(ctx, server.Address, call); err != nil {
		g.logger.WithError(err).WithField("server", server.ID).Debug("release not answered; it lapses by itself")
	}
}
