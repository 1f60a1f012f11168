package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/prefix"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
)

const (
	minPrefillTimeout        = 4 * time.Second
	deferrablePrefillTimeout = 30 * time.Second
	// prefillTimePerToken is far above what a working engine needs.
	prefillTimePerToken = time.Millisecond
	// maxTransfers bounds the transfers of one result that fail.
	maxTransfers = 2
)

var (
	errNoPrefill = errors.New("no prefill server is to be had")
	// errServerLost means that the server died while it ran the request: what
	// may run next has to be decided anew.
	errServerLost = errors.New("server lost")
)

// prefilled is the result of a prefill.
type prefilled struct {
	server   backend.Server
	id       string // attempt that it was computed under
	prompt   string
	kv       engine.KV
	computed int // tokens that were not cached
	at       time.Time
	failures int // transfers that failed
}

// ensureKV prefills the prompt unless a result of it is still held. A new
// prefill is made only when the earlier one is known to be gone.
func (r *run) ensureKV(ctx context.Context, attemptID, prompt string) error {
	if r.kv != nil && r.kv.prompt == prompt {
		return nil
	}
	r.dropKV()
	err := errNoPrefill
	for i, server := range r.prefillServers(ctx) {
		if i > 0 && (errors.Is(err, errServerLost) || !r.mayRetry(err)) {
			return err
		}
		if r.kv, err = r.prefill(ctx, server, attemptID, prompt); err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return err
}

// prefill runs one prefill. Whatever may be left of a failed one is cancelled.
func (r *run) prefill(ctx context.Context, server backend.Server, attemptID, prompt string) (*prefilled, error) {
	tokens := prefix.EstimateTokens(prompt)
	started := time.Now()
	limited, cancel := context.WithTimeout(ctx, r.prefillTimeout(tokens))
	defer cancel()
	reply, err := r.models.engines.Prefill(limited, server, engine.PrefillRequest{
		RequestID: attemptID, Model: r.request.Service.Model, Prompt: prompt, Priority: r.priority(),
	})
	r.note(server, err)
	r.releasePrefill()
	if err == nil {
		r.models.kvSize.observe(reply)
		computed := max(0, reply.PromptTokens-reply.CachedTokens)
		return &prefilled{server: server, id: attemptID, prompt: prompt, kv: reply.KV, computed: computed, at: started}, nil
	}
	if errors.Is(err, engine.ErrBroken) || limited.Err() != nil {
		r.models.counters.abandoned.Add(tokens)
		r.models.canceller.Cancel(server, attemptID, nil)
		if r.checkLoss(ctx, server, started) {
			return nil, fmt.Errorf("%w: %w", errServerLost, err)
		}
	}
	if limited.Err() != nil && ctx.Err() == nil {
		err = fmt.Errorf("%w: prefill on %s", errTimeout, server.ID)
	}
	return nil, err
}

// prefillTimeout bounds a prefill with its time in the engine's queue.
func (r *run) prefillTimeout(tokens int) time.Duration {
	if r.request.Profile.Class == config.ClassDeferrable {
		return deferrablePrefillTimeout
	}
	return max(minPrefillTimeout, 2*r.request.Profile.FirstTokenTarget) + time.Duration(tokens)*prefillTimePerToken
}

// noteTransfer decides after a failed transfer whether the result still
// stands. It is gone when the decode engine says so, when the process that kept
// it has ended, or when two decode servers could not get it.
func (r *run) noteTransfer(ctx context.Context, err error) {
	switch {
	case err == nil || r.kv == nil:
		return
	case errors.Is(err, engine.ErrGone):
		r.dropKV()
		return
	case !errors.Is(err, engine.ErrTransfer) && !errors.Is(err, errTimeout):
		return
	}
	r.kv.failures++
	r.failed[r.kv.server.ID] = time.Now() // either end may be at fault
	if r.isLost(ctx, r.kv.server, r.kv.at) || r.kv.failures >= maxTransfers {
		r.dropKV()
	}
}

// holdsKV reports whether a result for the prompt as it stands is still held.
func (r *run) holdsKV() bool {
	return r.kv != nil && r.kv.prompt == r.request.Prompt+r.text.String()
}

// dropKV gives up a result that no token was decoded from.
func (r *run) dropKV() {
	if r.kv == nil {
		return
	}
	r.models.counters.wasted.Add(r.kv.computed)
	r.models.canceller.Cancel(r.kv.server, r.kv.id, nil)
	r.kv = nil
}
