package placement

import (
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

const (
	// defaultPrefillRate is used until a server's rate is known.
	defaultPrefillRate = 8000 // tokens per second
	// defaultDecodeStep is the assumed time of the decode step after the prefill.
	defaultDecodeStep = 25 * time.Millisecond
	// defaultTransferPerToken is the time to transfer the KV cache of one token
	// where the rate of the link or the size of the cache is not known.
	defaultTransferPerToken = 10 * time.Microsecond
	// remoteOccupancyPenalty is the share of slots by which a server in another
	// failure domain must be emptier to be preferred.
	remoteOccupancyPenalty = 0.1
	// remotePrefillPenalty is the cost of prefill in another failure domain.
	remotePrefillPenalty = 3 * time.Millisecond
	// deferrableBacklog is the longest prefill backlog for a deferrable request
	// when the cache saves no work.
	deferrableBacklog = 100 * time.Millisecond
	// jitter is the random part of a score. It breaks ties, so that daemons with
	// the same view don't all choose the same server.
	jitter = 0.05
)

type (
	// Reserving is the policy for reservations at the servers' homes. It ranks
	// decode servers by free slots, and prefill servers by backlog, uncached part
	// of the prompt and transfer.
	Reserving struct {
		options Options
		random  func() float64 // in [0, 1)
	}

	// Options are the properties of the machines that predictions are based on.
	Options struct {
		LinkRate int64 // bytes per second of a server's KV link; 0: not known
	}

	// ranking holds the best MaxChoices candidates in order of their scores.
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
		case candidates[i].isAvailable(backend.RoleDecode):
			decode.add(i, p.decodeScore(request, &candidates[i]))
		case candidates[i].isAvailable(backend.RolePrefill):
			prefill.add(i, p.prefillScore(request, &candidates[i]))
		}
	}
	plan := Plan{Decode: decode.servers(candidates), Prefill: prefill.servers(candidates)}
	for _, i := range prefill.index[:prefill.count] {
		work := p.prefillWork(request, &candidates[i])
		work.MaxBacklog = maxBacklog(now, request, work, prefillRateOf(candidates[i].Load))
		plan.Work = append(plan.Work, work)
	}
	p.predict(&plan, request, candidates, &decode, &prefill)
	return plan
}

// predict decides between a prefill server and direct prefill on the decode
// server, and predicts the time to first token.
func (p *Reserving) predict(plan *Plan, request Request, candidates []Candidate, decode, prefill *ranking) {
	direct, allowed := p.directTime(request, candidates, decode)
	if prefill.count == 0 {
		// Delaying a batch once is better than refusing an interactive request.
		plan.Direct = !request.Deferrable || allowed
		plan.FirstToken = direct
		return
	}
	best := &candidates[prefill.index[0]]
	viaPrefill := max(best.Load.PrefillBacklog+plan.Work[0].Compute, best.Load.LinkBacklog) + plan.Work[0].Transfer + defaultDecodeStep
	plan.Direct = allowed && direct <= viaPrefill
	plan.FirstToken = viaPrefill
	if plan.Direct {
		plan.FirstToken = direct
	}
}

// directTime predicts the time to first token when the decode server prefills
// the prompt itself, and reports whether direct prefill is allowed. The prefill
// delays the server's whole batch, so it is allowed only for short prompts and
// where the delayed step stays within the target between tokens.
func (p *Reserving) directTime(request Request, candidates []Candidate, decode *ranking) (time.Duration, bool) {
	if decode.count == 0 {
		return 0, false
	}
	load := candidates[decode.index[0]].Load
	compute := computeTime(request.PromptTokens, prefillRateOf(load))
	step := load.TokenGap + compute
	allowed := request.PromptTokens <= request.DirectPrompt && (request.TokenGapTarget <= 0 || step <= request.TokenGapTarget)
	return compute + defaultDecodeStep, allowed
}

func (p *Reserving) decodeScore(request Request, c *Candidate) float64 {
	total := c.Load.SlotsTotal
	if total <= 0 {
		total = max(1, c.Server.Slots)
	}
	score := float64(c.Load.SlotsUsed) / float64(total)
	if c.Server.FailureDomain != request.FailureDomain {
		score += remoteOccupancyPenalty
	}
	return score + jitter*p.random()
}

func (p *Reserving) prefillScore(request Request, c *Candidate) float64 {
	work := p.prefillWork(request, c)
	compute := time.Duration(float64(work.Compute) * (1 + request.WasteShare()))
	score := max(c.Load.PrefillBacklog+compute, c.Load.LinkBacklog) + work.Transfer
	if c.Server.FailureDomain != request.FailureDomain {
		score += remotePrefillPenalty
	}
	return score.Seconds() * (1 + jitter*p.random())
}

func (p *Reserving) prefillWork(request Request, c *Candidate) PrefillWork {
	tokens := max(1, request.PromptTokens-c.CachedTokens)
	return PrefillWork{
		Tokens:   tokens,
		Compute:  computeTime(tokens, prefillRateOf(c.Load)),
		Transfer: p.transferTime(request),
	}
}

// maxBacklog returns the longest prefill backlog that a request may queue behind.
// Interactive requests may queue as long as they meet their target. Deferrable
// requests hold a decode slot while they queue, so they may queue only briefly,
// but longer where the cache saves work.
func maxBacklog(now time.Time, request Request, work PrefillWork, rate float64) time.Duration {
	if !request.Deferrable {
		return request.FirstTokenDeadline.Sub(now) - work.Compute - work.Transfer - defaultDecodeStep
	}
	saved := computeTime(request.PromptTokens, rate) - work.Compute
	return deferrableBacklog + time.Duration(float64(saved)*(1+request.WasteShare()))
}

func (p *Reserving) transferTime(request Request) time.Duration {
	if p.options.LinkRate <= 0 || request.KVBytes <= 0 {
		return time.Duration(request.PromptTokens) * defaultTransferPerToken
	}
	return time.Duration(float64(request.KVBytes) / float64(p.options.LinkRate) * float64(time.Second))
}

func prefillRateOf(load backend.Load) float64 {
	if load.PrefillRate <= 0 {
		return defaultPrefillRate
	}
	return load.PrefillRate
}

// computeTime returns the time to prefill tokens at a rate per second.
func computeTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// add inserts a candidate if its score is among the lowest.
func (r *ranking) add(index int, score float64) {
	position := r.count
	for position > 0 && score < r.score[position-1] {
		position--
	}
	if position >= MaxChoices {
		return
	}
	r.count = min(r.count+1, MaxChoices)
	for i := r.count - 1; i > position; i-- {
		r.index[i], r.score[i] = r.index[i-1], r.score[i-1]
	}
	r.index[position], r.score[position] = index, score
}

func (r *ranking) servers(candidates []Candidate) []backend.Server {
	servers := make([]backend.Server, 0, r.count)
	for _, i := range r.index[:r.count] {
		servers = append(servers, candidates[i].Server)
	}
	return servers
}
