// Package placement chooses the servers of a model request: a decode server and,
// unless the decode server prefills the prompt itself, a prefill server. The command
// hickoryd serve uses it, for the engines of a platform with the Consul HTTP API. In
// hickoryd edge, core/balance chooses the servers.
package placement

import (
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

const (
	// MaxChoices is the maximum number of servers of each role in a plan.
	MaxChoices = 4
)

type (
	// Request describes a model request to a policy.
	Request struct {
		ID                 string
		Model              string
		FailureDomain      string // of the daemon that places the request
		PromptTokens       int
		MaxTokens          int
		KVBytes            int64    // predicted size of the prompt's KV cache; 0: not known
		PrefixHashes       []uint64 // of the prompt's blocks, each covering the prompt from its start
		ArrivedAt          time.Time
		FirstTokenDeadline time.Time // of the first token
		Deferrable         bool
		TokenGapTarget     time.Duration // target time between tokens; 0: none
		DirectPrompt       int           // prompts up to this number of tokens may be prefilled by a decode server
		GoodputWeight      float64       // weight of requests completed within the targets
		WasteWeight        float64       // weight of prefill work that is wasted
	}

	// Candidate is a server with its last known load and cache state.
	Candidate struct {
		Server       backend.Server
		Load         backend.Load
		CachedTokens int // tokens of the prompt that the server is expected to have cached
	}

	// Plan lists the servers to attempt, best first.
	Plan struct {
		Decode     []backend.Server
		Prefill    []backend.Server
		Work       []PrefillWork // on each prefill server
		Direct     bool          // the decode server prefills the prompt itself
		FirstToken time.Duration // predicted time to first token on the best servers
	}

	// PrefillWork is the predicted cost of the prompt on one prefill server.
	PrefillWork struct {
		Tokens   int           // that the server has to compute
		Compute  time.Duration // of these tokens
		Transfer time.Duration // of the KV cache to a decode server

		// MaxBacklog is the longest prefill backlog that the request may queue
		// behind on the server. It is negative when the first token would be too
		// late even without a backlog.
		MaxBacklog time.Duration
	}

	// Policy selects and orders candidates for a request.
	Policy interface {
		Plan(now time.Time, request Request, candidates []Candidate) Plan
	}
)

// WasteShare returns the relative weight of wasted prefill against goodput, from
// 0 to 1. Both weigh the same where the profile sets no weights.
func (r Request) WasteShare() float64 {
	total := r.GoodputWeight + r.WasteWeight
	if total <= 0 {
		return 0.5
	}
	return r.WasteWeight / total
}

// Overcommit returns the share of the slots predicted to become free that a
// reservation may count on. A profile that weighs goodput more takes more risk.
func (r Request) Overcommit() float64 {
	return 1 - r.WasteShare()/2
}

// isAvailable reports whether the server has the role and takes new work.
func (c Candidate) isAvailable(role backend.Role) bool {
	return c.Server.Role == role && c.Server.State == backend.StateLive && !c.Load.Leaving && !c.Load.Unreachable
}

// splitByRole returns the indexes of the available candidates of each role.
func splitByRole(candidates []Candidate) (decode, prefill []int) {
	for i := range candidates {
		switch {
		case candidates[i].isAvailable(backend.RoleDecode):
			decode = append(decode, i)
		case candidates[i].isAvailable(backend.RolePrefill):
			prefill = append(prefill, i)
		}
	}
	return decode, prefill
}
