package dispatch

import (
	"cmp"
	"slices"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/placement"
)

// failedServers are the servers that failed one request.
type failedServers map[string]bool

// moveLast lets a plan try the servers that failed after all others.
func (f failedServers) moveLast(plan placement.Plan) {
	if len(f) == 0 {
		return
	}
	order := func(a, b backend.Server) int { return cmp.Compare(f.rank(a), f.rank(b)) }
	slices.SortStableFunc(plan.Decode, order)
	slices.SortStableFunc(plan.Prefill, order)
}

func (f failedServers) rank(server backend.Server) int {
	if f[server.ID] {
		return 1
	}
	return 0
}
