// Package retry bounds the retries of each service by its first tries, so that
// retries can't pile up when many servers fail at once.
package retry

import "sync"

// Burst is the number of retries that a service may make without first tries
// before them. It covers the loss of one engine with all that it runs.
const Burst = 32

type (
	// Budget holds one token bucket for each service. Each first try adds the
	// service's ratio, each retry takes one. It is safe for concurrent use.
	Budget struct {
		mu     sync.Mutex
		tokens map[string]float64
	}
)

// NewBudget returns a budget with full buckets.
func NewBudget() *Budget {
	return &Budget{tokens: map[string]float64{}}
}

// Deposit counts a first try of a service. Ratio is its retries per first try.
func (b *Budget) Deposit(service string, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(Burst, b.held(service)+ratio)
}

// Take spends one retry. It returns false when the budget is used up.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.held(service)
	if held < 1 {
		return false
	}
	b.tokens[service] = held - 1
	return true
}

func (b *Budget) held(service string) float64 {
	if held, ok := b.tokens[service]; ok {
		return held
	}
	return Burst
}
