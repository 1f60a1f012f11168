package dispatch

import (
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/placement"
)

// failedPause is the time for which a request leaves a server alone that has
// failed it. Its home has noticed by then, if the server is gone.
const failedPause = time.Second

// failedServers are the servers that failed one request, with the time.
type failedServers map[string]time.Time

// leaveOut removes the servers from a plan that have failed just now.
func (f failedServers) leaveOut(now time.Time, plan placement.Plan) placement.Plan {
	if len(f) == 0 {
		return plan
	}
	failed := func(server backend.Server) bool {
		at, ok := f[server.ID]
		return ok && now.Sub(at) < failedPause
	}
	plan.Decode = slices.DeleteFunc(plan.Decode, failed)
	plan.Prefill = slices.DeleteFunc(plan.Prefill, failed)
	return plan
}
