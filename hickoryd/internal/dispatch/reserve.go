package dispatch

import (
	"context"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/core/prefix"
)

// reserve takes a slot on a decode server, waiting up to the profile's limit.
func (r *run) reserve(ctx context.Context) (backend.Server, error) {
	m := r.models
	id := r.attemptID(r.assembly.Peek())
	deadline := r.waitUntil(time.Now())
	for {
		now := time.Now()
		var silent []backend.Server
		plan := r.plan(now)
		for _, server := range plan.Decode {
			err := m.slots.Reserve(ctx, now, server, id, r.terms())
			if err == nil {
				return server, nil
			}
			if ctx.Err() != nil {
				return backend.Server{}, ctx.Err()
			}
			if isHomeSilent(err) {
				silent = append(silent, server)
			}
		}
		if server, ok := r.force(id, silent); ok {
			return server, nil
		}
		if !now.Before(deadline) {
			return backend.Server{}, noSlotError(plan)
		}
		if err := wait(ctx, slotPollInterval); err != nil {
			return backend.Server{}, err
		}
	}
}

func (r *run) plan(now time.Time) placement.Plan {
	m := r.models
	plan := m.policy.Plan(now, placement.Request{
		ID:            r.request.ID,
		Model:         r.request.Service.Model,
		FailureDomain: m.failureDomain,
		PromptTokens:  prefix.Tokens(r.request.Prompt),
		MaxTokens:     r.request.MaxTokens,
		PrefixHashes:  prefix.Hashes(r.request.Prompt),
		ArrivedAt:     r.request.ArrivedAt,
		Deadline:      r.request.ArrivedAt.Add(r.request.Profile.FirstTokenTarget),
		Deferrable:    r.request.Profile.Class == config.ClassDeferrable,
	}, m.directory.Candidates(r.request.Service.Model))
	return r.failed.leaveOut(now, plan)
}
