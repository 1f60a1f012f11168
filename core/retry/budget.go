// Package retry limits the retries of each service in proportion to its first
// attempts, so that retries cannot pile up when many servers fail at once. The command
// hickoryd serve uses it, for the engines of a platform with the Consul HTTP API. The
// budget that hosts share, which hickoryd edge uses, is in core/retrybudget.
package retry

import "sync"

// Burst is the number of retries that a service may make without first attempts
// before them. It covers the failure of one engine with all requests that the
// engine runs.
const Burst = 32

type (
	// Budget holds one token bucket for each service. Each first attempt adds the
	// service's ratio to the bucket, and each retry takes one token. It is safe
	// for concurrent use.
	Budget struct {
		mu     sync.Mutex
		tokens map[string]float64
	}
)

// NewBudget returns a budget with full buckets.
func NewBudget() *Budget {
	return &Budget{tokens: map[string]float64{}}
}

// Deposit counts a first attempt of a service. ratio is the number of retries
// that the service may make per first attempt.
func (b *Budget) Deposit(service string, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(Burst, b.available(service)+ratio)
}

// Take spends one retry. It returns false when the budget is exhausted.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.available(service)
	if held < 1 {
		return false
	}
	b.tokens[service] = held - 1
	return true
}

// available returns the tokens in the bucket of a service.
func (b *Budget) available(service string) float64 {
	if held, ok := b.tokens[service]; ok {
		return held
	}
	return Burst
}
