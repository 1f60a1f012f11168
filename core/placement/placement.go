// Package placement chooses the servers of a model request.
package placement

import (
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

const (
	// MaxChoices bounds the servers of each role in a plan.
	MaxChoices = 4
)

type (
	// Request is what placement knows of a request.
	Request struct {
		ID            string
		Model         string
		FailureDomain string // of the deciding daemon
		PromptTokens  int
		MaxTokens     int
		KVBytes       int64    // predicted size of the prompt's KV cache; 0: not known
		PrefixHashes  []uint64 // rolling hashes of the prompt's blocks
		ArrivedAt     time.Time
		Deadline      time.Time // of the first token
		Deferrable    bool
		TokenGap      time.Duration // target between tokens; 0: none
		DirectPrompt  int           // prompts up to this many tokens may skip prefill servers
		GoodputWeight float64       // weight of answers within the targets
		WasteWeight   float64       // weight of prefill work that is not used
	}

	// Candidate is a server with what is known of it.
	Candidate struct {
		Server       backend.Server
		Load         backend.Load
		CachedTokens int // expected hit of the request's prompt
	}

	// Plan lists servers to try, best first.
	Plan struct {
		Decode     []backend.Server
		Prefill    []backend.Server
		Work       []PrefillWork // of each prefill server
		Direct     bool          // the decode server computes the prompt itself
		FirstToken time.Duration // predicted from now, on the best servers
	}

	// PrefillWork is the cost of the prompt on one prefill server.
	PrefillWork struct {
		Tokens   int           // that the server has to compute
		Compute  time.Duration // of these tokens
		Transfer time.Duration // of the KV cache to a decode server

		// MaxBacklog is the longest queue that the request may join there. It is
		// negative when the first token would come too late in any case.
		MaxBacklog time.Duration
	}

	// Policy orders candidates for a request.
	Policy interface {
		Plan(now time.Time, request Request, candidates []Candidate) Plan
	}
)

// WasteShare is the profile's weight of wasted prefill, from 0 to 1. Without
// weights both sides count the same.
func (r Request) WasteShare() float64 {
	total := r.GoodputWeight + r.WasteWeight
	if total <= 0 {
		return 0.5
	}
	return r.WasteWeight / total
}

// Overcommit is the share of the slots predicted to become free that a
// reservation may count on: a profile that weighs goodput more takes more risk.
func (r Request) Overcommit() float64 {
	return 1 - r.WasteShare()/2
}

func (c Candidate) takes(role backend.Role) bool {
	return c.Server.Role == role && c.Server.State == backend.StateLive && !c.Load.Leaving && !c.Load.Unreachable
}

// split returns the indexes of the candidates that take new work, by role.
func split(candidates []Candidate) (decode, prefill []int) {
	for i := range candidates {
		switch {
		case candidates[i].takes(backend.RoleDecode):
			decode = append(decode, i)
		case candidates[i].takes(backend.RolePrefill):
			prefill = append(prefill, i)
		}
	}
	return decode, prefill
}
