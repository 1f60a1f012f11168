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
	// prefillTimeout is the longest wait for a prompt to be read: a prompt that is
	// given up was read in vain, so only a silent server should take so long.
	prefillTimeout = 1500 * time.Millisecond
	// readLocallyAfter is the wait at the prefill servers from which the decode
	// server reads the prompt: it takes about as long, at half the speed.
	readLocallyAfter = 350 * time.Millisecond
	// unusedLifetime is how long a KV cache that a server has not fetched is offered
	// to another; the users' shortest lifetime of handles is 500 ms.
	unusedLifetime = 300 * time.Millisecond
	// maxPrefills bounds the prefill servers that one prompt is offered to.
	maxPrefills = 2
)

// prefill has the prompt read at a prefill server and returns where its KV cache
// is fetched from. Where none has time for it, the decode server reads it.
func (g *generation) prefill(ctx context.Context, decode serverlist.Server) (handleAt, error) {
	if unused := g.unused; unused.id != "" {
		g.unused = handleAt{}
		if time.Since(unused.readAt) < unusedLifetime {
			return unused, nil
		}
		g.releaseHandle(unused)
	}
	var tried []string
	for range maxPrefills {
		server, wait, ok := g.pickPrefill(g.order, tried, decode.FailureDomain)
		if !ok || wait > readLocallyAfter {
			break
		}
		if !g.hasRepeat(g.order) {
			break // a refusal would count as a repeat
		}
		if g.isRead {
			g.spendRepeat(g.order)
		}
		handle, err := g.prefillAt(ctx, server)
		if err == nil {
			g.isRead = true
			return handle, nil
		}
		if !errors.Is(err, upstream.ErrNotSent) {
			g.spendRepeat(g.order)
		}
		if ctx.Err() != nil {
			return handleAt{}, fmt.Errorf("%w: %w", upstream.ErrNotSent, ctx.Err())
		}
		g.logger.WithFields(g.order.fields()).WithFields(log.Fields{"server": server.ID, "error": err.Error()}).Info("prompt not read")
		tried = append(tried, server.ID)
	}
	g.counters.preparedLocally.Inc()
	return handleAt{}, nil
}

// handleAt is a KV cache that waits at the server that read the prompt.
type handleAt struct {
	server serverlist.Server
	id     string
	readAt time.Time
}

func (g *generation) prefillAt(ctx context.Context, server serverlist.Server) (handleAt, error) {
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	ticket := g.beginReading(server.ID, g.order.Metadata.PromptTokens)
	handle, err := g.read(ctx, server)
	g.endReading(ticket, err)
	return handle, err
}

// read sends the prompt to a prefill server.
func (g *generation) read(ctx context.Context, server serverlist.Server) (handleAt, error) {
	attempt := platform.Attempt{IsPrefill: true, LastEvent: g.relay.Last(), IsResumed: g.relay.IsResumed()}
	answer, err := g.send(ctx, server, g.order, attempt)
	if errors.Is(err, upstream.ErrNotSent) {
		g.report(server.ID, health.Unreachable)
		return handleAt{}, err
	}
	g.prefills++
	if err != nil {
		g.report(server.ID, health.Broken)
		return handleAt{}, err
	}
	defer answer.Close()
	body := readRest(answer)
	if answer.StatusCode != http.StatusOK {
		return handleAt{}, fmt.Errorf("%w: reading the prompt answered %d", errNotRun, answer.StatusCode)
	}
	handle, err := platform.DecodeHandle(body)
	if err != nil {
		g.report(server.ID, health.Broken)
		return handleAt{}, err
	}
	g.report(server.ID, health.Success)
	return handleAt{server: server, id: handle.ID, readAt: time.Now()}, nil
}
