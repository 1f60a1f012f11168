package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/admission"
	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/crash"
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
func (g *generation) reserve(ctx context.Context) (backend.Server, error) {
	now := time.Now()
	entry := g.queueEntry(now)
	if g.isolated {
		return g.reserveIsolated(ctx, entry)
	}
	queue, err := g.models.waitQueues.enqueue(now, g.request.Service.Model, entry, g.reachedEngine || g.assembly.NextAttempt() > 1)
	var refused *admission.Refusal
	if errors.As(err, &refused) {
		g.retryAfter = refused.RetryAfter
		return backend.Server{}, errNoSlot
	}
	for {
		now = time.Now()
		server, err := g.placeIfTurn(ctx, now, queue, entry)
		if err == nil {
			return server, nil
		}
		if shouldWait(ctx, err) && now.Before(entry.StartDeadline) {
			if err = queue.wait(ctx, now, entry); err == nil {
				continue
			}
		}
		if ctx.Err() == nil {
			g.retryAfter = queue.retryAfter(now, entry)
		}
		queue.remove(now, entry)
		return backend.Server{}, err
	}
}

// placeIfTurn places the request if it is its turn. Otherwise, and when no
// server takes the request, the error is errNoSlot or errNoServer.
func (g *generation) placeIfTurn(ctx context.Context, now time.Time, queue *waitQueue, entry admission.Entry) (backend.Server, error) {
	if !queue.isTurn(now, entry) {
		return backend.Server{}, errNoSlot
	}
	server, err := g.place(ctx, now, entry.ID)
	if err != nil {
		queue.letDeferrableTry(now, entry)
		return backend.Server{}, err
	}
	queue.dequeue(time.Now(), entry)
	return server, nil
}

// reserveIsolated polls for a server without another isolated request. The
// request joins no queue, so that no other request has to wait behind it.
func (g *generation) reserveIsolated(ctx context.Context, entry admission.Entry) (backend.Server, error) {
	for {
		now := time.Now()
		server, err := g.place(ctx, now, entry.ID)
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

func (g *generation) queueEntry(now time.Time) admission.Entry {
	return admission.Entry{
		ID:            g.attemptID(g.assembly.NextAttempt()),
		Workspace:     g.request.Workspace,
		Share:         g.request.Share,
		Deferrable:    g.isDeferrable(),
		Cost:          g.models.waitQueues.cost(g.request.Service.Name),
		ArrivedAt:     g.request.ArrivedAt,
		AgeAfter:      g.request.Profile.AgeAfter,
		StartDeadline: g.waitDeadline(now),
	}
}

func (g *generation) isDeferrable() bool {
	return g.request.Profile.Class == config.ClassDeferrable
}

// place reserves on the best servers at the moment. Its errors are errNoSlot,
// errNoServer and the context's.
func (g *generation) place(ctx context.Context, now time.Time, id string) (backend.Server, error) {
	candidates := g.models.directory.Candidates(g.request.Service.Model)
	server, err := g.reserveSlot(ctx, now, id, g.computePlan(now, withRole(candidates, backend.RoleDecode)))
	if err != nil {
		return backend.Server{}, err
	}
	if !g.isolated && !g.hasKV() {
		if err := g.reservePrefill(ctx, now, id, server, candidates); err != nil {
			g.models.slots.Release(server.ID, id)
			return backend.Server{}, err
		}
	}
	g.placedAt = now
	return server, nil
}

func (g *generation) reserveSlot(ctx context.Context, now time.Time, id string, plan placement.Plan) (backend.Server, error) {
	var unreachable []backend.Server
	for _, server := range plan.Decode {
		err := g.models.slots.Reserve(ctx, now, server, id, g.terms(now))
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
	if server, ok := g.forceSlot(id, unreachable); ok {
		return server, nil
	}
	return backend.Server{}, noSlotError(plan)
}

// reservePrefill decides which server prefills the prompt for a decode server.
// It reserves a place in the queue of a prefill server unless the decode server
// prefills the prompt itself.
func (g *generation) reservePrefill(ctx context.Context, now time.Time, id string, decode backend.Server, candidates []placement.Candidate) error {
	prefills := withRole(candidates, backend.RolePrefill)
	prefills = g.addCached(ctx, now, prefills)
	plan := g.computePlan(now, append(prefills, findCandidate(candidates, decode)))
	g.direct = plan.Direct
	if plan.Direct {
		return nil
	}
	isBacklogged := false
	for i, server := range plan.Prefill {
		err := g.models.slots.ReservePrefill(ctx, now, server, g.prefillWork(id, plan, i))
		if err == nil || isHomeUnreachable(err) {
			g.reserved = &reservedPrefill{server: server, id: id}
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

func (g *generation) prefillWork(id string, plan placement.Plan, i int) slot.Prefill {
	p := slot.Prefill{AttemptID: id, Deferrable: g.isDeferrable(), MaxBacklog: g.request.Profile.FirstTokenTarget}
	if i < len(plan.Work) {
		p.Work = plan.Work[i].Compute
		p.Transfer = plan.Work[i].Transfer
		p.MaxBacklog = plan.Work[i].MaxBacklog
	}
	return p
}

// takeNext returns the server that was secured for the next attempt, or reserves
// one.
func (g *generation) takeNext(ctx context.Context) (backend.Server, error) {
	if g.next == nil {
		return g.reserve(ctx)
	}
	server := *g.next
	g.next = nil
	return server, nil
}

// releaseNext releases what was secured for the next attempt, and skips its number,
// because an attempt ID is never reused.
func (g *generation) releaseNext() {
	if g.next != nil {
		id := g.attemptID(g.assembly.NextAttempt())
		g.models.slots.Release(g.next.ID, id)
		g.releasePrefill(id)
		g.next = nil
		g.assembly.Begin()
	}
}

// releasePrefill releases the place of an attempt in a prefill queue.
func (g *generation) releasePrefill(attemptID string) {
	if g.reserved != nil && g.reserved.id == attemptID {
		g.models.slots.ReleasePrefill(g.reserved.server.ID, g.reserved.id)
		g.reserved = nil
	}
}

// prefillServers returns the servers that may prefill the prompt, the reserved
// one first.
func (g *generation) prefillServers(ctx context.Context) []backend.Server {
	now := time.Now()
	var servers []backend.Server
	if g.reserved != nil {
		servers = append(servers, g.reserved.server)
	}
	prefills := withRole(g.models.directory.Candidates(g.request.Service.Model), backend.RolePrefill)
	if g.reserved == nil {
		prefills = g.addCached(ctx, now, prefills)
	}
	for _, server := range g.computePlan(now, prefills).Prefill {
		if g.reserved == nil || server.ID != g.reserved.server.ID {
			servers = append(servers, server)
		}
	}
	return servers
}

// addCached sets the predicted number of cached tokens of each candidate and
// adds the servers that, by their homes, have the most of the prompt cached.
func (g *generation) addCached(ctx context.Context, now time.Time, candidates []placement.Candidate) []placement.Candidate {
	servers := make([]backend.Server, 0, len(candidates))
	for _, c := range candidates {
		servers = append(servers, c.Server)
	}
	cached := g.models.prefixes.CachedTokens(ctx, now, g.request.Service.Model, servers, g.prefixHashes())
	for i := range candidates {
		id := candidates[i].Server.ID
		candidates[i].CachedTokens = cached[id]
		delete(cached, id)
	}
	for range min(maxExtraCandidates, len(cached)) {
		id := keyOfLargest(cached)
		if c, ok := g.models.directory.Candidate(id); ok {
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

func (g *generation) prefixHashes() []uint64 {
	if g.hashes == nil {
		g.hashes = prefix.Hashes(g.request.Prompt)
	}
	return g.hashes
}

func (g *generation) computePlan(now time.Time, candidates []placement.Candidate) placement.Plan {
	profile := g.request.Profile
	plan := g.failed.exclude(now, g.models.policy.Plan(now, placement.Request{
		ID:                 g.request.ID,
		Model:              g.request.Service.Model,
		FailureDomain:      g.models.failureDomain,
		PromptTokens:       prefix.EstimateTokens(g.request.Prompt) + g.assembly.NextOffset(),
		MaxTokens:          g.request.MaxTokens,
		KVBytes:            g.models.kvSize.predict(prefix.EstimateTokens(g.request.Prompt)),
		PrefixHashes:       g.hashes,
		ArrivedAt:          g.request.ArrivedAt,
		FirstTokenDeadline: g.firstTokenDeadline(now),
		Deferrable:         g.isDeferrable(),
		TokenGapTarget:     profile.TokenGapTarget,
		DirectPrompt:       profile.DirectPrompt,
		GoodputWeight:      profile.GoodputWeight,
		WasteWeight:        profile.WasteWeight,
	}, candidates))
	if crash.RetryDelay(now.Sub(g.lastFailureAt), g.longestFailedRun) > 0 {
		plan.Decode = otherDomainsFirst(plan.Decode, g.lastFailureDomain)
	}
	return plan
}

// otherDomainsFirst moves the servers of a failure domain that may just have been lost to the
// end.
func otherDomainsFirst(servers []backend.Server, domain string) []backend.Server {
	var others, same []backend.Server
	for _, server := range servers {
		if server.FailureDomain == domain {
			same = append(same, server)
		} else {
			others = append(others, server)
		}
	}
	return slices.Concat(others, same)
}

// firstTokenDeadline is the time by which a token is due. For a request that may
// have run on an engine, or that had a slot before, the target counts from now:
// the request was accepted and has to be completed.
func (g *generation) firstTokenDeadline(now time.Time) time.Time {
	if g.reachedEngine || g.assembly.NextAttempt() > 1 {
		return now.Add(g.request.Profile.FirstTokenTarget)
	}
	return g.request.ArrivedAt.Add(g.request.Profile.FirstTokenTarget)
}

func (g *generation) terms(now time.Time) slot.Terms {
	weights := placement.Request{GoodputWeight: g.request.Profile.GoodputWeight, WasteWeight: g.request.Profile.WasteWeight}
	return slot.Terms{
		Lifetime: reservationLifetime, Isolated: g.isolated, Deferrable: g.isDeferrable(), Aged: g.queueEntry(now).IsAged(now),
		Lead:       time.Duration(prefix.EstimateTokens(g.request.Prompt)) * leadPerToken,
		Overcommit: weights.Overcommit(), TokenGapTarget: g.request.Profile.TokenGapTarget,
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
