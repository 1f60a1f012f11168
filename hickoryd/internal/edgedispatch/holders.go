package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/health"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

// holderDelay is the time without a response after which the next server that can continue a
// stopped run is asked as well. The platform's shortest lifetime of KV caches is 500 ms.
const holderDelay = 200 * time.Millisecond

// holderAttempt asks one server to continue a stopped run.
type holderAttempt struct {
	server   serverlist.Server
	cancel   context.CancelFunc
	response *upstream.Response
	err      error
}

// sendToHolders asks the servers that can continue a stopped run, until one does. A server that
// doesn't respond for holderDelay may be silent until the KV cache has expired, so the next one is
// asked beside it: the KV cache can be used once, so that only one of them continues the run. The
// error states that the run can't have gone on only if that holds for each server.
func (g *generation) sendToHolders(ctx context.Context, holders []serverlist.Server, attempt platform.Attempt) (serverlist.Server, *upstream.Response, error) {
	results, isOver := make(chan *holderAttempt), make(chan struct{})
	defer close(isOver)
	var asked []*holderAttempt
	askNext := func() {
		if len(asked) == len(holders) {
			return
		}
		holderCtx, cancel := context.WithCancel(ctx)
		a := &holderAttempt{server: holders[len(asked)], cancel: cancel}
		asked = append(asked, a)
		go g.runHolderAttempt(holderCtx, a, attempt, results, isOver)
	}
	askNext()
	delay := time.NewTimer(holderDelay)
	defer delay.Stop()
	var failure error
	for answered := 0; answered < len(asked); {
		select {
		case <-delay.C:
			askNext()
			continue
		case a := <-results:
			answered++
			if a.err == nil {
				for _, other := range asked {
					if other != a {
						other.cancel()
						g.unfitTargets = append(g.unfitTargets, other.server.ID)
					}
				}
				g.noteTried(a.server, holders)
				return a.server, a.response, nil
			}
			a.cancel()
			g.unfitTargets = append(g.unfitTargets, a.server.ID)
			g.recordRejection(ctx, a)
			if failure == nil || !cannotHaveRun(a.err) {
				failure = a.err
			}
			if ctx.Err() == nil {
				askNext()
			}
		}
	}
	return serverlist.Server{}, nil, failure
}

// runHolderAttempt makes an attempt and sends it to results once it has a response or has failed.
func (g *generation) runHolderAttempt(ctx context.Context, a *holderAttempt, attempt platform.Attempt, results chan<- *holderAttempt, isOver <-chan struct{}) {
	a.response, a.err = g.send(ctx, a.server, g.request, attempt)
	if a.err == nil && a.response.Metadata.IsNotRun {
		body := drain(a.response)
		a.response.Close()
		a.err = fmt.Errorf("%w: status %d: %.80s", errNotRun, a.response.StatusCode, body)
	}
	if a.err == nil {
		if a.err = checkStream(a.response); a.err != nil {
			a.response.Close()
		}
	}
	select {
	case results <- a:
	case <-isOver:
		if a.err == nil {
			a.response.Close()
		}
	}
}

// recordRejection records that a server has not continued the run.
func (g *generation) recordRejection(ctx context.Context, a *holderAttempt) {
	g.counters.migrationsRejected.Inc()
	g.logger.WithFields(g.request.logFields()).WithFields(log.Fields{"server": a.server.ID, "error": a.err.Error()}).Warn("migrated run rejected by a server")
	switch {
	case errors.Is(a.err, errNotRun):
		g.recordRetry(g.request) // only the holders can continue the run
	case errors.Is(a.err, upstream.ErrNotSent):
		g.recordResult(a.server.ID, health.Unreachable)
	default:
		g.recordBroken(ctx, a.server)
	}
}

// noteTried adds the server that continues the run to those that the request was sent to, unless
// it is the first holder, which decode has added.
func (g *generation) noteTried(server serverlist.Server, holders []serverlist.Server) {
	if server.ID != holders[0].ID {
		g.tried, g.triedStarts = append(g.tried, server.ID), append(g.triedStarts, server.StartedAt)
	}
}
