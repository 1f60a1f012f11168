package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/health"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// prefillTimeout limits one prefill. The work of a prefill that is abandoned is
	// lost, so only a server that does not respond should exceed the timeout.
	prefillTimeout = 1500 * time.Millisecond
	// maxPrefillWait is the longest queueing time at the prefill servers. Beyond it
	// the decode server prefills the prompt: that runs at half the speed, but takes
	// about as long as queueing and prefill together.
	maxPrefillWait = 350 * time.Millisecond
	// unusedHandleLifetime is how long a KV cache that a server has not fetched is
	// offered to another one. The platform's shortest lifetime of handles is 500 ms.
	unusedHandleLifetime = 300 * time.Millisecond
	// maxPrefills is the maximum number of prefill servers that one prompt is sent to.
	maxPrefills = 2
)

// prefill runs the prefill on a prefill server and returns the handle of the KV
// cache. It returns an empty handle if no prefill server is available in time; the
// decode server then prefills the prompt itself.
func (g *generation) prefill(ctx context.Context, decode serverlist.Server) (kvHandle, error) {
	if unused := g.unusedHandle; unused.id != "" {
		g.unusedHandle = kvHandle{}
		if time.Since(unused.createdAt) < unusedHandleLifetime {
			return unused, nil
		}
		g.releaseHandle(unused)
	}
	var tried []string
	for len(tried) < maxPrefills {
		place, ok := g.acquirePrefill(ctx, tried, decode.FailureDomain)
		if !ok {
			break
		}
		server, started := place.server, time.Now()
		if !g.acquirePermit(ctx, server) {
			place.release(ctx, started, errNoPermit)
			if ctx.Err() != nil {
				break
			}
			continue // the server is not picked again for a while
		}
		taken := time.Now()
		if !g.reserveRetry(taken, g.request) {
			place.release(ctx, started, errNoPermit)
			break // a refused or a further prefill counts as a retry, and the budget allows none
		}
		handle, err := g.prefillAt(ctx, server)
		place.release(ctx, started, err)
		if err == nil && !g.isPrefilled || errors.Is(err, upstream.ErrNotSent) {
			g.returnRetry(taken, g.request)
		} else {
			g.counters.retries.Inc()
		}
		if err == nil {
			g.isPrefilled = true
			return handle, nil
		}
		if ctx.Err() != nil {
			return kvHandle{}, fmt.Errorf("%w: %w", upstream.ErrNotSent, ctx.Err())
		}
		g.logger.WithFields(g.request.logFields()).WithFields(log.Fields{"server": server.ID, "error": err.Error()}).Info("prefill attempt failed")
		tried = append(tried, server.ID)
	}
	g.counters.decodePrefills.Inc()
	return kvHandle{}, nil
}

// kvHandle names a KV cache that is kept for fetching at server: the one that computed
// it or, after a migration, the one where the run resumes. createdAt is zero after a
// migration, so such a handle is offered to no other server. A kvHandle is empty if id is.
type kvHandle struct {
	server    serverlist.Server
	id        string
	createdAt time.Time
	// holders are the servers that can continue a stopped run, in the order in which they are
	// asked, if the KV cache is that of a run and not of a prompt.
	holders []serverlist.Server
}

// prefillAt runs the prefill on the given server and updates the estimate of its
// queue.
func (g *generation) prefillAt(ctx context.Context, server serverlist.Server) (kvHandle, error) {
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	entry := g.beginPrefill(server.ID, g.request.Metadata.PromptTokens)
	handle, err := g.sendPrompt(ctx, server)
	g.endPrefill(entry, err)
	return handle, err
}

// sendPrompt sends the prompt to a prefill server and decodes the handle in the
// response.
func (g *generation) sendPrompt(ctx context.Context, server serverlist.Server) (kvHandle, error) {
	attempt := platform.Attempt{IsPrefill: true, LastEventID: g.relay.LastID(), IsResumed: g.relay.IsResumed()}
	response, err := g.send(ctx, server, g.request, attempt)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return kvHandle{}, err // this host has ended the call, which shows nothing about the server
	}
	if errors.Is(err, upstream.ErrNotSent) {
		g.recordResult(server.ID, health.Unreachable)
		return kvHandle{}, err
	}
	g.prefills++
	if err != nil {
		g.recordResult(server.ID, health.Broken)
		return kvHandle{}, err
	}
	defer response.Close()
	if response.StatusCode != http.StatusOK {
		drain(response)
		return kvHandle{}, fmt.Errorf("%w: prefill returned status %d", errNotRun, response.StatusCode)
	}
	body, err := response.ReadBody(maxBufferedResponseBytes)
	if err != nil {
		g.recordResult(server.ID, health.Broken)
		return kvHandle{}, fmt.Errorf("read the handle of a KV cache: %w", err)
	}
	handle, err := platform.DecodeKVHandle(body)
	if err != nil {
		g.recordResult(server.ID, health.Broken)
		return kvHandle{}, err
	}
	g.recordResult(server.ID, health.Success)
	return kvHandle{server: server, id: handle.ID, createdAt: time.Now()}, nil
}
