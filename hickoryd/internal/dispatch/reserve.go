package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/hickoryfront/hickoryfront/core/admission"
	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/core/prefix"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	// turnCheckInterval bounds the wait of a request that is not first in its
	// class, should nobody wake it: ageing changes who is first.
	turnCheckInterval = 250 * time.Millisecond
	// maxHolders bounds the holders of a prefix that are added to a decision.
	maxHolders = 8
	// leadPerToken estimates the time from a reservation until the slot is
	// needed, by the prompt.
	leadPerToken = 60 * time.Microsecond
)

// reservedPrefill is a place in the queue of a prefill server.
type reservedPrefill struct {
	server backend.Server
	id     string
}

// reserve takes a slot on a decode server and, where the prompt needs it, a
// place in the queue of a prefill server. It waits in line up to the profile's
// limit, and not at all when the wait is predicted to be longer.
func (r *run) reserve(ctx context.Context) (backend.Server, error) {
	now := time.Now()
	ticket := r.ticket(now)
	if r.isolated {
		return r.reserveIsolated(ctx, ticket)
	}
	line, err := r.models.lines.join(now, r.request.Service.Model, ticket, r.reached || r.assembly.NextAttempt() > 1)
	var refused *admission.Refusal
	if errors.As(err, &refused) {
		r.retryAfter = refused.RetryAfter
		return backend.Server{}, errNoSlot
	}
	for {
		now = time.Now()
		server, err := r.takeTurn(ctx, now, line, ticket)
		if err == nil {
			return server, nil
		}
		if isWorthWaiting(ctx, err) && now.Before(ticket.Deadline) {
			if err = line.wait(ctx, now, ticket); err == nil {
				continue
			}
		}
		if ctx.Err() == nil {
			r.retryAfter = line.advice(now, ticket)
		}
		line.leave(now, ticket)
		return backend.Server{}, err
	}
}

// takeTurn places the request if it is its turn. Otherwise, and when no server
// takes it, the error is errNoSlot or errNoServer.
func (r *run) takeTurn(ctx context.Context, now time.Time, line *line, ticket admission.Entry) (backend.Server, error) {
	if !line.isTurn(now, ticket) {
		return backend.Server{}, errNoSlot
	}
	server, err := r.place(ctx, now, ticket.ID)
	if err != nil {
		line.pass(now, ticket)
		return backend.Server{}, err
	}
	line.take(time.Now(), ticket)
	return server, nil
}

// reserveIsolated polls for a server without another isolated request. It
// stands in no line, as nobody may have to wait behind it.
func (r *run) reserveIsolated(ctx context.Context, ticket admission.Entry) (backend.Server, error) {
	for {
		now := time.Now()
		server, err := r.place(ctx, now, ticket.ID)
		if err == nil || !isWorthWaiting(ctx, err) || !now.Before(ticket.Deadline) {
			return server, err
		}
		if err := timing.Sleep(ctx, slotPollInterval); err != nil {
			return backend.Server{}, err
		}
	}
}

// isWorthWaiting reports whether servers may take the request later. Without
// any server a short wait covers a list that is not read yet.
func isWorthWaiting(ctx context.Context, err error) bool {
	return ctx.Err() == nil && (errors.Is(err, errNoSlot) || errors.Is(err, errNoServer))
}

func (r *run) ticket(now time.Time) admission.Entry {
	return admission.Entry{
		ID:         r.attemptID(r.assembly.NextAttempt()),
		Workspace:  r.request.Workspace,
		Share:      r.request.Share,
		Deferrable: r.isDeferrable(),
		Cost:       r.models.lines.cost(r.request.Service.Name),
		ArrivedAt:  r.request.ArrivedAt,
		AgeAfter:   r.request.Profile.AgeAfter,
		Deadline:   r.waitUntil(now),
	}
}

func (r *run) isDeferrable() bool {
	return r.request.Profile.Class == config.ClassDeferrable
}

// place reserves on the best servers now. The errors are errNoSlot, errNoServer
// and the context's.
func (r *run) place(ctx context.Context, now time.Time, id string) (backend.Server, error) {
	candidates := r.models.directory.Candidates(r.request.Service.Model)
	server, err := r.reserveSlot(ctx, now, id, r.planOver(now, ofRole(candidates, backend.RoleDecode)))
	r.placedAt = now
	if err != nil || r.isolated || r.holdsKV() {
		return server, err
	}
	if err := r.reservePrefill(ctx, now, id, server, candidates); err != nil {
		r.models.slots.Release(server.ID, id)
		return backend.Server{}, err
	}
	return server, nil
}

func (r *run) reserveSlot(ctx context.Context, now time.Time, id string, plan placement.Plan) (backend.Server, error) {
	var silent []backend.Server
	for _, server := range plan.Decode {
		err := r.models.slots.Reserve(ctx, now, server, id, r.terms(now))
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
	return backend.Server{}, noSlotError(plan)
}

// reservePrefill decides how the prompt is computed on the way to a decode
// server, and takes a place in the queue of a prefill server unless the decode
// server computes it itself.
func (r *run) reservePrefill(ctx context.Context, now time.Time, id string, decode backend.Server, candidates []placement.Candidate) error {
	prefills := ofRole(candidates, backend.RolePrefill)
	prefills = r.addCached(ctx, now, prefills)
	plan := r.planOver(now, append(prefills, candidateOf(candidates, decode)))
	r.direct = plan.Direct
	if plan.Direct {
		return nil
	}
	full := false
	for i, server := range plan.Prefill {
		err := r.models.slots.ReservePrefill(ctx, now, server, r.prefillWork(id, plan, i))
		if err == nil || isHomeSilent(err) {
			r.reserved = &reservedPrefill{server: server, id: id}
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		full = full || errors.Is(err, slot.ErrBacklog)
	}
	if full {
		return errNoSlot
	}
	return errNoServer
}

func (r *run) prefillWork(id string, plan placement.Plan, i int) slot.Prefill {
	p := slot.Prefill{RequestID: id, Deferrable: r.isDeferrable(), MaxBacklog: r.request.Profile.FirstTokenTarget}
	if i < len(plan.Work) {
		p.Work = plan.Work[i].Compute
		p.Transfer = plan.Work[i].Transfer
		p.MaxBacklog = plan.Work[i].MaxBacklog
	}
	return p
}

// releasePrefill gives the place in a prefill queue back.
func (r *run) releasePrefill() {
	if r.reserved != nil {
		r.models.slots.ReleasePrefill(r.reserved.server.ID, r.reserved.id)
		r.reserved = nil
	}
}

// prefillServers returns the servers for the prompt: the reserved one first.
func (r *run) prefillServers(ctx context.Context) []backend.Server {
	now := time.Now()
	var servers []backend.Server
	if r.reserved != nil {
		servers = append(servers, r.reserved.server)
	}
	prefills := ofRole(r.models.directory.Candidates(r.request.Service.Model), backend.RolePrefill)
	if r.reserved == nil {
		prefills = r.addCached(ctx, now, prefills)
	}
	for _, server := range r.planOver(now, prefills).Prefill {
		if r.reserved == nil || server.ID != r.reserved.server.ID {
			servers = append(servers, server)
		}
	}
	return servers
}

// addCached fills in what the servers are expected to hold of the prompt, and
// adds the best holders that their homes know besides.
func (r *run) addCached(ctx context.Context, now time.Time, candidates []placement.Candidate) []placement.Candidate {
	servers := make([]backend.Server, 0, len(candidates))
	for _, c := range candidates {
		servers = append(servers, c.Server)
	}
	cached := r.models.prefixes.CachedTokens(ctx, now, r.request.Service.Model, servers, r.prefixHashes())
	for i := range candidates {
		id := candidates[i].Server.ID
		candidates[i].CachedTokens = cached[id]
		delete(cached, id)
	}
	for range min(maxHolders, len(cached)) {
		id := largest(cached)
		if c, ok := r.models.directory.Candidate(id); ok {
			c.CachedTokens = cached[id]
			candidates = append(candidates, c)
		}
		delete(cached, id)
	}
	return candidates
}

// largest returns the key of the largest value, the first by name of equals.
func largest(values map[string]int) string {
	best := ""
	for id, value := range values {
		if best == "" || value > values[best] || value == values[best] && id < best {
			best = id
		}
	}
	return best
}

func (r *run) prefixHashes() []uint64 {
	if r.hashes == nil {
		r.hashes = prefix.Hashes(r.request.Prompt)
	}
	return r.hashes
}

func (r *run) planOver(now time.Time, candidates []placement.Candidate) placement.Plan {
	profile := r.request.Profile
	return r.failed.leaveOut(now, r.models.policy.Plan(now, placement.Request{
		ID:            r.request.ID,
		Model:         r.request.Service.Model,
		FailureDomain: r.models.failureDomain,
		PromptTokens:  prefix.EstimateTokens(r.request.Prompt) + r.assembly.NextOffset(),
		MaxTokens:     r.request.MaxTokens,
		KVBytes:       r.models.kvSize.predict(prefix.EstimateTokens(r.request.Prompt)),
		PrefixHashes:  r.hashes,
		ArrivedAt:     r.request.ArrivedAt,
		Deadline:      r.firstTokenDue(now),
		Deferrable:    r.isDeferrable(),
		TokenGap:      profile.TokenGapTarget,
		DirectPrompt:  profile.DirectPrompt,
		GoodputWeight: profile.GoodputWeight,
		WasteWeight:   profile.WasteWeight,
	}, candidates))
}

// firstTokenDue is the time by which a token is due. A request that has lost a
// server is due from then on: it was accepted and has to be answered.
func (r *run) firstTokenDue(now time.Time) time.Time {
	if r.reached || r.assembly.NextAttempt() > 1 {
		return now.Add(r.request.Profile.FirstTokenTarget)
	}
	return r.request.ArrivedAt.Add(r.request.Profile.FirstTokenTarget)
}

func (r *run) terms(now time.Time) slot.Terms {
	weights := placement.Request{GoodputWeight: r.request.Profile.GoodputWeight, WasteWeight: r.request.Profile.WasteWeight}
	return slot.Terms{
		Lifetime: reserveLifetime, Isolated: r.isolated, Deferrable: r.isDeferrable(), Aged: r.ticket(now).IsAged(now),
		Lead:       time.Duration(prefix.EstimateTokens(r.request.Prompt)) * leadPerToken,
		Overcommit: weights.Overcommit(), TokenGap: r.request.Profile.TokenGapTarget,
	}
}

func ofRole(candidates []placement.Candidate, role backend.Role) []placement.Candidate {
	var chosen []placement.Candidate
	for _, c := range candidates {
		if c.Server.Role == role {
			chosen = append(chosen, c)
		}
	}
	return chosen
}

func candidateOf(candidates []placement.Candidate, server backend.Server) placement.Candidate {
	for _, c := range candidates {
		if c.Server.ID == server.ID {
			return c
		}
	}
	return placement.Candidate{Server: server}
}
