package dispatch

import (
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/placement"
)

// failedServerCooldown is the time for which a request avoids a server that has
// failed it. Within that time the server's home has noticed if the server is
// down.
const failedServerCooldown = time.Second

// failedServers maps the servers that failed one request to the time of their
// last failure.
type failedServers map[string]time.Time

// exclude removes the servers from a plan that failed within
// failedServerCooldown.
func (f failedServers) exclude(now time.Time, plan placement.Plan) placement.Plan {
	if len(f) == 0 {
		return plan
	}
	failed := func(server backend.Server) bool {
		at, ok := f[server.ID]
		return ok && now.Sub(at) < failedServerCooldown
	}
	plan.Decode = slices.DeleteFunc(plan.Decode, failed)
	plan.Prefill = slices.DeleteFunc(plan.Prefill, failed)
	return plan
}
