package home

import (
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/core/claim"
)

// Claims is the claim table of the keys whose home is this daemon. It is safe
// for concurrent use.
type Claims struct {
	mu    sync.Mutex
	table *claim.Table
}

// NewClaims returns an empty table for at most limit keys.
func NewClaims(limit int) *Claims {
	return &Claims{table: claim.NewTable(limit)}
}

// Claim decides on one key.
func (c *Claims) Claim(now time.Time, wanted claim.Grant) (claim.Outcome, claim.Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Claim(now, wanted)
}

// Settle stores how a call ended.
func (c *Claims) Settle(key claim.Key, requestID string, answer *claim.Answer, unknown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Settle(key, requestID, answer, unknown)
}

// Withdraw drops a claim whose call was not run.
func (c *Claims) Withdraw(key claim.Key, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Withdraw(key, requestID)
}

// Grants returns all grants held here.
func (c *Claims) Grants(now time.Time) []claim.Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Grants(now)
}
