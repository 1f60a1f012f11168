// Package placement chooses the servers of a model request.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

type (
	// Request is what placement knows of a request.
	Request struct {
		ID            string
		Model         string
		FailureDomain string // of the deciding daemon
		PromptTokens  int
		MaxTokens     int
		PrefixHashes  []uint64 // rolling hashes of the prompt's blocks
		ArrivedAt     time.Time
		Deadline      time.Time // of the first token
		Deferrable    bool
	}

	// Candidate is a server with what is known of it.
	Candidate struct {
		Server       backend.Server
		Load         backend.Load
		CachedTokens int
	}

	// Plan lists servers to try, best first.
	Plan struct {
		Decode  []backend.Server
		Prefill []backend.Server
	}

	// Policy orders candidates for a request.
	Policy interface {
		Plan(now time.Time, request Request, candidates []Candidate) Plan
	}

	// LeastLoaded prefers servers with the fewest used slots and the shortest
	// prefill backlog, near ones first among equals.
	LeastLoaded struct{}
)

// Plan implements Policy.
func (LeastLoaded) Plan(_ time.Time, request Request, candidates []Candidate) Plan {
	var decode, prefill []Candidate
	for _, c := range candidates {
		if c.Server.State != backend.StateLive || c.Load.Leaving {
			continue
		}
		switch c.Server.Role {
		case backend.RoleDecode:
			decode = append(decode, c)
		case backend.RolePrefill:
			prefill = append(prefill, c)
		}
	}
	slices.SortStableFunc(decode, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Load.SlotsUsed, b.Load.SlotsUsed), compareNear(request, a, b))
	})
	slices.SortStableFunc(prefill, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Load.PrefillBacklog, b.Load.PrefillBacklog),
			-cmp.Compare(a.CachedTokens, b.CachedTokens),
			compareNear(request, a, b))
	})
	return Plan{Decode: servers(decode), Prefill: servers(prefill)}
}

func compareNear(request Request, a, b Candidate) int {
	near := func(c Candidate) int {
		if c.Server.FailureDomain == request.FailureDomain {
			return 0
		}
		return 1
	}
	return cmp.Compare(near(a), near(b))
}

func servers(candidates []Candidate) []backend.Server {
	list := make([]backend.Server, 0, len(candidates))
	for _, c := range candidates {
		list = append(list, c.Server)
	}
	return list
}
