package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/prefix"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
)

const (
	minPrefillTimeout        = 4 * time.Second
	deferrablePrefillTimeout = 30 * time.Second
	// prefillTimePerToken is far above what a healthy engine needs.
	prefillTimePerToken = time.Millisecond
	// maxTransferFailures bounds the failed transfers of one result.
	maxTransferFailures = 2
)

var (
	errNoPrefill = errors.New("no prefill server is to be had")
	// errServerFailed means that the server failed while it ran the request.
	// The request is checked for crashes again before anything else runs it.
	errServerFailed = errors.New("server lost")
)

// prefillResult is the result of a prefill.
type prefillResult struct {
	server    backend.Server
	id        string // attempt under which it was computed
	prompt    string
	kv        engine.KVHandle
	computed  int // tokens that were not cached
	startedAt time.Time
	failures  int // transfers that failed
}

// ensureKV prefills the prompt unless a result for it is still held. It starts
// a new prefill only if the earlier result is known to be gone.
func (a *attempt) ensureKV(ctx context.Context, prompt string) error {
	g := a.generation
	if g.kv != nil && g.kv.prompt == prompt {
		return nil
	}
	g.dropKV()
	err := errNoPrefill
	servers := g.prefillServers(ctx)
	for i, server := range servers {
		if i > 0 && (errors.Is(err, errServerFailed) || !g.mayRetry(err)) {
			return err
		}
		if g.kv, err = a.prefill(ctx, server, prompt, i+1 < len(servers)); err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return err
}

// prefill runs one prefill. If it fails and may still run at the engine, it is
// cancelled there. isOneLeft reports whether this attempt may use another server
// after this one.
func (a *attempt) prefill(ctx context.Context, server backend.Server, prompt string, isOneLeft bool) (*prefillResult, error) {
	g := a.generation
	tokens := prefix.EstimateTokens(prompt)
	started := time.Now()
	avoid := sync.OnceFunc(func() { g.failed[server.ID] = time.Now() })
	giveUp := func(ctx context.Context) bool {
		avoid()
		if isOneLeft {
			return g.chargeRetry()
		}
		return a.mayGiveUp(ctx, server)
	}
	prefillCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := startCallLimit(ctx, g.prefillTimeout(tokens), giveUp, cancel)
	reply, err := g.models.engines.Prefill(prefillCtx, server, engine.PrefillRequest{
		RequestID: a.id, Model: g.request.Service.Model, Prompt: prompt, Priority: g.priority(),
	})
	givenUp := stop()
	g.recordCallResult(server, err)
	g.releasePrefill(a.id)
	if err == nil {
		g.models.kvSize.observe(reply)
		computed := max(0, reply.PromptTokens-reply.CachedTokens)
		return &prefillResult{server: server, id: a.id, prompt: prompt, kv: reply.KV, computed: computed, startedAt: started}, nil
	}
	if errors.Is(err, engine.ErrBroken) || prefillCtx.Err() != nil {
		g.models.counters.abandoned.Add(tokens)
		g.models.canceller.Cancel(server, a.id, nil)
		if g.checkServerFailure(ctx, server, started) {
			return nil, fmt.Errorf("%w: %w", errServerFailed, err)
		}
	}
	if givenUp && ctx.Err() == nil {
		err = fmt.Errorf("%w: prefill on %s", errTimeout, server.ID)
	}
	return nil, err
}

// prefillTimeout is the time after which a prefill, including its time in the
// engine's queue, is to be replaced.
func (g *generation) prefillTimeout(tokens int) time.Duration {
	if g.request.Profile.Class == config.ClassDeferrable {
		return deferrablePrefillTimeout
	}
	return max(minPrefillTimeout, 2*g.request.Profile.FirstTokenTarget) + time.Duration(tokens)*prefillTimePerToken
}

// recordTransferResult decides after a failed transfer whether the result is
// still usable. The result is dropped when the decode engine reports that the
// KV cache no longer exists, when the process that held it has ended, or when
// two decode servers could not fetch it.
func (g *generation) recordTransferResult(ctx context.Context, err error) {
	switch {
	case err == nil || g.kv == nil:
		return
	case errors.Is(err, engine.ErrGone):
		g.dropKV()
		return
	case !errors.Is(err, engine.ErrTransfer) && !errors.Is(err, errTimeout):
		return
	}
	g.kv.failures++
	g.failed[g.kv.server.ID] = time.Now() // the source may be at fault as well as the decode server
	if g.hasServerFailed(ctx, g.kv.server, g.kv.startedAt) || g.kv.failures >= maxTransferFailures {
		g.dropKV()
	}
}

// hasKV reports whether a result for the prompt with all tokens so far is still
// held.
func (g *generation) hasKV() bool {
	return g.kv != nil && g.kv.prompt == g.request.Prompt+g.text.String()
}

// dropKV cancels and forgets a result from which no token was decoded.
func (g *generation) dropKV() {
	if g.kv == nil {
		return
	}
	g.models.counters.wasted.Add(g.kv.computed)
	g.models.canceller.Cancel(g.kv.server, g.kv.id, nil)
	g.kv = nil
}
