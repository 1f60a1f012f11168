package worker

import (
	"fmt"
	"net/http"
)

const (
	// WantedTenant is a header with which callers state the Tenant that servers must receive, or
	// NoTenant.
	WantedTenant = "Wanted-Tenant"
	// NoTenant is the value for requests that belong to no workspace.
	NoTenant = "none"
	// maxIdentityFaults bounds the faults that are kept.
	maxIdentityFaults = 20
)

// IdentityFaults returns the first requests that have reached a server with a key, or with
// another Tenant than their callers wanted.
func (g *Group) IdentityFaults() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.identityFaults
}

// checkIdentity records a request with a wrong identity. Requests without WantedTenant are of
// environments without workspaces, or are hickoryfront's own, which need no Tenant.
func (g *Group) checkIdentity(r *http.Request) {
	want := r.Header.Values(WantedTenant)
	if want == nil && r.Header["Authorization"] == nil {
		return
	}
	isRight := r.Header["Authorization"] == nil && len(want) == 1
	switch tenants := r.Header["Tenant"]; {
	case !isRight:
	case want[0] == NoTenant:
		isRight = tenants == nil
	default:
		isRight = len(tenants) == 1 && tenants[0] == want[0]
	}
	if isRight {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.identityFaults) < maxIdentityFaults {
		g.identityFaults = append(g.identityFaults, fmt.Sprintf("%s %s %s: Authorization %q, Tenant %q, want none and %q",
			r.Header.Get("Request-Id"), r.Method, r.URL.Path, r.Header["Authorization"], r.Header["Tenant"], want))
	}
}
