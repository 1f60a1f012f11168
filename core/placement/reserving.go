package placement

import (
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

const (
	// defaultPrefillRate serves until a server's rate is known.
	defaultPrefillRate = 8000 // tokens per second
	// defaultGap is the time of one decode step until a server's gap is known.
	defaultGap = 25 * time.Millisecond
	// defaultTransfer is the time of a KV transfer per token without a rate.
	defaultTransfer = 10 * time.Microsecond
	// farOccupancy is the share of slots by which a server in another failure
	// domain must be emptier to be preferred.
	farOccupancy = 0.1
	// farDelay is the cost of prefill in another failure domain.
	farDelay = 3 * time.Millisecond
	// deferrableBacklog bounds the prefill queue that a deferrable request joins
	// when the cache saves nothing.
	deferrableBacklog = 100 * time.Millisecond
	// spread breaks ties at random, so that daemons with the same view don't
	// choose the same server.
	spread = 0.05
)

type (
	// Reserving plans for reservations at the servers' homes: decode servers by
	// free slots, prefill servers by queue, uncached prompt and transfer.
	Reserving struct {
		options Options
		random  func() float64 // in [0, 1)
	}

	// Options are the properties of the machines that placement reckons with.
	Options struct {
		LinkRate int64 // bytes per second of a server's KV link; 0: not known
	}

	// ranking keeps the best few candidates in order.
	ranking struct {
		index [MaxChoices]int
		score [MaxChoices]float64
		count int
	}
)

// NewReserving returns a reserving policy. It is safe for concurrent use if
// random is.
func NewReserving(options Options, random func() float64) *Reserving {
	return &Reserving{options: options, random: random}
}

// Plan implements Policy.
func (p *Reserving) Plan(now time.Time, request Request, candidates []Candidate) Plan {
	var decode, prefill ranking
	for i := range candidates {
		switch {
		case candidates[i].takes(backend.RoleDecode):
			decode.add(i, p.decodeScore(request, &candidates[i]))
		case candidates[i].takes(backend.RolePrefill):
			prefill.add(i, p.prefillScore(request, &candidates[i]))
		}
	}
	plan := Plan{Decode: decode.servers(candidates), Prefill: prefill.servers(candidates)}
	for _, i := range prefill.index[:prefill.count] {
		work := p.work(request, &candidates[i])
		work.MaxBacklog = maxBacklog(now, request, work, rateOf(candidates[i].Load))
		plan.Work = append(plan.Work, work)
	}
	p.predict(&plan, request, candidates, &decode, &prefill)
	return plan
}

// predict compares the way over a prefill server with the direct one.
func (p *Reserving) predict(plan *Plan, request Request, candidates []Candidate, decode, prefill *ranking) {
	direct, allowed := p.directTime(request, candidates, decode)
	if prefill.count == 0 {
		// Better a batch held up once than an interactive request refused.
		plan.Direct = !request.Deferrable || allowed
		plan.FirstToken = direct
		return
	}
	best := &candidates[prefill.index[0]]
	remote := max(best.Load.PrefillBacklog+plan.Work[0].Compute, best.Load.LinkBacklog) + plan.Work[0].Transfer + defaultGap
	plan.Direct = allowed && direct <= remote
	plan.FirstToken = remote
	if plan.Direct {
		plan.FirstToken = direct
	}
}

// directTime predicts the first token of a prompt that the decode server
// computes itself. That holds up its whole batch, and is allowed only where
// the held-up step stays within the target between tokens.
func (p *Reserving) directTime(request Request, candidates []Candidate, decode *ranking) (time.Duration, bool) {
	if decode.count == 0 {
		return 0, false
	}
	load := candidates[decode.index[0]].Load
	compute := perSecond(request.PromptTokens, rateOf(load))
	step := load.TokenGap + compute
	allowed := request.PromptTokens <= request.DirectPrompt && (request.TokenGap <= 0 || step <= request.TokenGap)
	return compute + defaultGap, allowed
}

func (p *Reserving) decodeScore(request Request, c *Candidate) float64 {
	total := c.Load.SlotsTotal
	if total <= 0 {
		total = max(1, c.Server.Slots)
	}
	score := float64(c.Load.SlotsUsed) / float64(total)
	if c.Server.FailureDomain != request.FailureDomain {
		score += farOccupancy
	}
	return score + spread*p.random()
}

func (p *Reserving) prefillScore(request Request, c *Candidate) float64 {
	work := p.work(request, c)
	compute := time.Duration(float64(work.Compute) * (1 + request.WasteShare()))
	score := max(c.Load.PrefillBacklog+compute, c.Load.LinkBacklog) + work.Transfer
	if c.Server.FailureDomain != request.FailureDomain {
		score += farDelay
	}
	return score.Seconds() * (1 + spread*p.random())
}

func (p *Reserving) work(request Request, c *Candidate) PrefillWork {
	tokens := max(1, request.PromptTokens-c.CachedTokens)
	return PrefillWork{
		Tokens:   tokens,
		Compute:  perSecond(tokens, rateOf(c.Load)),
		Transfer: p.transfer(request),
	}
}

// maxBacklog lets interactive requests queue as long as they meet their target.
// Deferrable requests hold a decode slot while they queue, and so join short
// queues only, but wait longer where the cache saves work.
func maxBacklog(now time.Time, request Request, work PrefillWork, rate float64) time.Duration {
	if !request.Deferrable {
		return request.Deadline.Sub(now) - work.Compute - work.Transfer - defaultGap
	}
	saved := perSecond(request.PromptTokens, rate) - work.Compute
	return deferrableBacklog + time.Duration(float64(saved)*(1+request.WasteShare()))
}

func (p *Reserving) transfer(request Request) time.Duration {
	if p.options.LinkRate <= 0 || request.KVBytes <= 0 {
		return time.Duration(request.PromptTokens) * defaultTransfer
	}
	return time.Duration(float64(request.KVBytes) / float64(p.options.LinkRate) * float64(time.Second))
}

func rateOf(load backend.Load) float64 {
	if load.PrefillRate <= 0 {
		return defaultPrefillRate
	}
	return load.PrefillRate
}

func perSecond(units int, rate float64) time.Duration {
	return time.Duration(float64(units) / rate * float64(time.Second))
}

// add inserts a candidate if it is among the best.
func (r *ranking) add(index int, score float64) {
	at := r.count
	for at > 0 && score < r.score[at-1] {
		at--
	}
	if at >= MaxChoices {
		return
	}
	r.count = min(r.count+1, MaxChoices)
	for i := r.count - 1; i > at; i-- {
		r.index[i], r.score[i] = r.index[i-1], r.score[i-1]
	}
	r.index[at], r.score[at] = index, score
}

func (r *ranking) servers(candidates []Candidate) []backend.Server {
	servers := make([]backend.Server, 0, r.count)
	for _, i := range r.index[:r.count] {
		servers = append(servers, candidates[i].Server)
	}
	return servers
}
