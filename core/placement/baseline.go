package placement

import (
	"math/rand/v2"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

type (
	// Random picks available servers at random. It is a baseline for comparison.
	Random struct {
		random *rand.Rand
	}

	// RoundRobin picks the available servers in turn. It is a baseline for
	// comparison.
	RoundRobin struct {
		turn int
	}

	// TwoChoices picks the less loaded of two random servers, by the last known
	// load. It is a baseline for comparison. Its method also serves to place
	// requests while the homes of servers are unreachable.
	TwoChoices struct {
		random *rand.Rand
	}
)

// NewRandom returns a random policy.
func NewRandom(random *rand.Rand) *Random {
	return &Random{random: random}
}

// NewTwoChoices returns a policy of two random choices.
func NewTwoChoices(random *rand.Rand) *TwoChoices {
	return &TwoChoices{random: random}
}

// Plan implements Policy.
func (p *Random) Plan(_ time.Time, _ Request, candidates []Candidate) Plan {
	decode, prefill := splitByRole(candidates)
	pick := func(indexes []int) []backend.Server {
		if len(indexes) == 0 {
			return nil
		}
		return []backend.Server{candidates[indexes[p.random.IntN(len(indexes))]].Server}
	}
	return Plan{Decode: pick(decode), Prefill: pick(prefill)}
}

// Plan implements Policy.
func (p *RoundRobin) Plan(_ time.Time, _ Request, candidates []Candidate) Plan {
	decode, prefill := splitByRole(candidates)
	p.turn++
	pick := func(indexes []int) []backend.Server {
		if len(indexes) == 0 {
			return nil
		}
		return []backend.Server{candidates[indexes[p.turn%len(indexes)]].Server}
	}
	return Plan{Decode: pick(decode), Prefill: pick(prefill)}
}

// Plan implements Policy.
func (p *TwoChoices) Plan(_ time.Time, _ Request, candidates []Candidate) Plan {
	decode, prefill := splitByRole(candidates)
	return Plan{
		Decode:  p.pick(candidates, decode, func(l backend.Load) float64 { return float64(l.SlotsUsed) }),
		Prefill: p.pick(candidates, prefill, func(l backend.Load) float64 { return l.PrefillBacklog.Seconds() }),
	}
}

func (p *TwoChoices) pick(candidates []Candidate, indexes []int, load func(backend.Load) float64) []backend.Server {
	if len(indexes) == 0 {
		return nil
	}
	a := candidates[indexes[p.random.IntN(len(indexes))]]
	b := candidates[indexes[p.random.IntN(len(indexes))]]
	if load(b.Load) < load(a.Load) {
		a = b
	}
	return []backend.Server{a.Server}
}
