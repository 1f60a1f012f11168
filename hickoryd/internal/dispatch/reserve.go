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
	// turnCheckInterval bounds the wait of a request that is not the head of
	// its class if it is not notified: aging changes which request is the head.
	turnCheckInterval = 250 * time.Millisecond
	// maxExtraCandidates bounds the servers that are added to the candidates
	// because they have the prefix of the prompt cached.
	maxExtraCandidates = 8
	// leadPerToken estimates, by prompt tokens, the time from a reservation
	// until the slot is needed.
	leadPerToken = 60 * time.Microsecond
)

// reservedPrefill is a place in the queue of a prefill server.
type reservedPrefill struct {
	server backend.Server
	id     string
}

// reserve reserves a slot on a decode server and, if the prompt needs a prefill
// server, a place in that server's queue. It waits up to the profile's maxWait,
// or returns at once when the predicted wait is longer.
func (r *run) reserve(ctx context.Context) (backend.Server, error) {
	now := time.Now()
	entry := r.queueEntry(now)
	if r.isolated {
		return r.reserveIsolated(ctx, entry)
	}
	queue, err := r.models.waitQueues.enqueue(now, r.request.Service.Model, entry, r.reachedEngine || r.assembly.NextAttempt() > 1)
	var refused *admission.Refusal
	if errors.As(err, &refused) {
		r.retryAfter = refused.RetryAfter
		return backend.Server{}, errNoSlot
	}
	for {
		now = time.Now()
		server, err := r.placeIfTurn(ctx, now, queue, entry)
		if err == nil {
			return server, nil
		}
		if shouldWait(ctx, err) && now.Before(entry.StartDeadline) {
			if err = queue.wait(ctx, now, entry); err == nil {
				continue
			}
		}
		if ctx.Err() == nil {
			r.retryAfter = queue.retryAfter(now, entry)
		}
		queue.remove(now, entry)
		return backend.Server{}, err
	}
}

// placeIfTurn places the request if it is its turn. Otherwise, and when no
// server takes the request, the error is errNoSlot or errNoServer.
func (r *run) placeIfTurn(ctx context.Context, now time.Time, queue *waitQueue, entry admission.Entry) (backend.Server, error) {
	if !queue.isTurn(now, entry) {
		return backend.Server{}, errNoSlot
	}
	server, err := r.place(ctx, now, entry.ID)
	if err != nil {
		queue.letDeferrableTry(now, entry)
		return backend.Server{}, err
	}
	queue.dequeue(time.Now(), entry)
	return server, nil
}

// reserveIsolated polls for a server without another isolated request. The
// request joins no queue, so that no other request has to wait behind it.
func (r *run) reserveIsolated(ctx context.Context, entry admission.Entry) (backend.Server, error) {
	for {
		now := time.Now()
		server, err := r.place(ctx, now, entry.ID)
		if err == nil || !shouldWait(ctx, err) || !now.Before(entry.StartDeadline) {
			return server, err
		}
		if err := timing.Sleep(ctx, slotPollInterval); err != nil {
			return backend.Server{}, err
		}
	}
}

// shouldWait reports whether a server may take the request later. If no server
// is listed, a short wait covers a server list that has not been read yet.
func shouldWait(ctx context.Context, err error) bool {
	return ctx.Err() == nil && (errors.Is(err, errNoSlot) || errors.Is(err, errNoServer))
}

func (r *run) queueEntry(now time.Time) admission.Entry {
	return admission.Entry{
		ID:            r.attemptID(r.assembly.NextAttempt()),
		Workspace:     r.request.Workspace,
		Share:         r.request.Share,
		Deferrable:    r.isDeferrable(),
		Cost:          r.models.waitQueues.cost(r.request.Service.Name),
		ArrivedAt:     r.request.ArrivedAt,
		AgeAfter:      r.request.Profile.AgeAfter,
		StartDeadline: r.waitDeadline(now),
	}
}

func (r *run) isDeferrable() bool {
	return r.request.Profile.Class == config.ClassDeferrable
}

// place reserves on the best servers at the moment. Its errors are errNoSlot,
// errNoServer and the context's.
func (r *run) place(ctx context.Context, now time.Time, id string) (backend.Server, error) {
	candidates := r.models.directory.Candidates(r.request.Service.Model)
	server, err := r.reserveSlot(ctx, now, id, r.computePlan(now, withRole(candidates, backend.RoleDecode)))
	r.placedAt = now
	if err != nil || r.isolated || r.hasKV() {
		return server, err
	}
	if err := r.reservePrefill(ctx, now, id, server, candidates); err != nil {
		r.models.slots.Release(server.ID, id)
		return backend.Server{}, err
	}
	return server, nil
}

func (r *run) reserveSlot(ctx context.Context, now time.Time, id string, plan placement.Plan) (backend.Server, error) {
	var unreachable []backend.Server
	for _, server := range plan.Decode {
		err := r.models.slots.Reserve(ctx, now, server, id, r.terms(now))
		if err == nil {
			return server, nil
		}
		if ctx.Err() != nil {
			return backend.Server{}, ctx.Err()
		}
		if isHomeUnreachable(err) {
			unreachable = append(unreachable, server)
		}
	}
	if server, ok := r.forceSlot(id, unreachable); ok {
		return server, nil
	}
	return backend.Server{}, noSlotError(plan)
}

// reservePrefill decides which server prefills the prompt for a decode server.
// It reserves a place in the queue of a prefill server unless the decode server
// computes the prompt itself.
func (r *run) reservePrefill(ctx context.Context, now time.Time, id string, decode backend.Server, candidates []placement.Candidate) error {
	prefills := withRole(candidates, backend.RolePrefill)
	prefills = r.addCached(ctx, now, prefills)
	plan := r.computePlan(now, append(prefills, findCandidate(candidates, decode)))
	r.direct = plan.Direct
	if plan.Direct {
		return nil
	}
	isBacklogged := false
	for i, server := range plan.Prefill {
		err := r.models.slots.ReservePrefill(ctx, now, server, r.prefillWork(id, plan, i))
		if err == nil || isHomeUnreachable(err) {
			r.reserved = &reservedPrefill{server: server, id: id}
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		isBacklogged = isBacklogged || errors.Is(err, slot.ErrBacklog)
	}
	if isBacklogged {
		return errNoSlot
	}
	return errNoServer
}

func (r *run) prefillWork(id string, plan placement.Plan, i int) slot.Prefill {
	p := slot.Prefill{AttemptID: id, Deferrable: r.isDeferrable(), MaxBacklog: r.request.Profile.FirstTokenTarget}
	if i < len(plan.Work) {
		p.Work = plan.Work[i].Compute
		p.Transfer = plan.Work[i].Transfer
		p.MaxBacklog = plan.Work[i].MaxBacklog
	}
	return p
}

// releasePrefill releases the place in a prefill queue.
func (r *run) releasePrefill() {
	if r.reserved != nil {
		r.models.slots.ReleasePrefill(r.reserved.server.ID, r.reserved.id)
		r.reserved = nil
	}
}

// prefillServers returns the servers that may prefill the prompt, the reserved
// one first.
func (r *run) prefillServers(ctx context.Context) []backend.Server {
	now := time.Now()
	var servers []backend.Server
	if r.reserved != nil {
		servers = append(servers, r.reserved.server)
	}
	prefills := withRole(r.models.directory.Candidates(r.request.Service.Model), backend.RolePrefill)
	if r.reserved == nil {
		prefills = r.addCached(ctx, now, prefills)
	}
	for _, server := range r.computePlan(now, prefills).Prefill {
		if r.reserved == nil || server.ID != r.reserved.server.ID {
			servers = append(servers, server)
		}
	}
	return servers
}

// addCached sets the predicted number of cached tokens of each candidate and
// adds the servers that, by their homes, have the most of the prompt cached.
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
	for range min(maxExtraCandidates, len(cached)) {
		id := keyOfLargest(cached)
		if c, ok := r.models.directory.Candidate(id); ok {
			c.CachedTokens = cached[id]
			candidates = append(candidates, c)
		}
		delete(cached, id)
	}
	return candidates
}

// keyOfLargest returns the key of the largest value; among equals, the first
// key in order.
func keyOfLargest(values map[string]int) string {
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

func (r *run) computePlan(now time.Time, candidates []placement.Candidate) placement.Plan {
	profile := r.request.Profile
	return r.failed.exclude(now, r.models.policy.Plan(now, placement.Request{
		ID:                 r.request.ID,
		Model:              r.request.Service.Model,
		FailureDomain:      r.models.failureDomain,
		PromptTokens:       prefix.EstimateTokens(r.request.Prompt) + r.assembly.NextOffset(),
		MaxTokens:          r.request.MaxTokens,
		KVBytes:            r.models.kvSize.predict(prefix.EstimateTokens(r.request.Prompt)),
		PrefixHashes:       r.hashes,
		ArrivedAt:          r.request.ArrivedAt,
		FirstTokenDeadline: r.firstTokenDeadline(now),
		Deferrable:         r.isDeferrable(),
		TokenGapTarget:     profile.TokenGapTarget,
		DirectPrompt:       profile.DirectPrompt,
		GoodputWeight:      profile.GoodputWeight,
		WasteWeight:        profile.WasteWeight,
	}, candidates))
}

// firstTokenDeadline is the time by which a token is due. For a request that may
// have run on an engine, or that continues a response, the target counts from now:
// the request was accepted and has to be completed.
func (r *run) firstTokenDeadline(now time.Time) time.Time {
	if r.reachedEngine || r.assembly.NextAttempt() > 1 {
		return now.Add(r.request.Profile.FirstTokenTarget)
	}
	return r.request.ArrivedAt.Add(r.request.Profile.FirstTokenTarget)
}

func (r *run) terms(now time.Time) slot.Terms {
	weights := placement.Request{GoodputWeight: r.request.Profile.GoodputWeight, WasteWeight: r.request.Profile.WasteWeight}
	return slot.Terms{
		Lifetime: reserveLifetime, Isolated: r.isolated, Deferrable: r.isDeferrable(), Aged: r.queueEntry(now).IsAged(now),
		Lead:       time.Duration(prefix.EstimateTokens(r.request.Prompt)) * leadPerToken,
		Overcommit: weights.Overcommit(), TokenGapTarget: r.request.Profile.TokenGapTarget,
	}
}

func withRole(candidates []placement.Candidate, role backend.Role) []placement.Candidate {
	var matching []placement.Candidate
	for _, c := range candidates {
		if c.Server.Role == role {
			matching = append(matching, c)
		}
	}
	return matching
}

func findCandidate(candidates []placement.Candidate, server backend.Server) placement.Candidate {
	for _, c := range candidates {
		if c.Server.ID == server.ID {
			return c
		}
	}
	return placement.Candidate{Server: server}
}
