package edgecaller

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
)

const (
	// maxWorkspaceLabels bounds the values of the label workspace, as each one adds time series
	// on every host.
	maxWorkspaceLabels = 64
	// maxAccounts bounds the memory for workspaces that have been renamed or removed. It is four
	// times the number of workspaces that are expected.
	maxAccounts = 4096
	// otherWorkspaces is the label and the name for the workspaces beyond these bounds.
	otherWorkspaces = "other"
)

// Reasons why a request was refused.
const (
	refusedKey   refusal = "unknownKey"
	refusedQuota refusal = "quota"
	refusedOther refusal = "other"
)

type (
	// refusal is the reason why this host has responded with an error of its own.
	refusal string

	// account counts the requests of a workspace.
	account struct {
		received, served uint64
		refused          map[refusal]uint64
		label            string
	}

	// accounts counts the requests of each workspace. It is safe for concurrent use.
	accounts struct {
		set *metrics.Set

		mu sync.Mutex
		// byName is nil until the first request that a configuration with workspaces applies to.
		byName map[string]*account
	}
)

// begin counts a request of a workspace, or of none if name is empty.
func (a *accounts) begin(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.of(name)
	x.received++
	a.count("received", x.label, "")
}

// end counts the outcome of a request of a workspace. why is empty if the host did not refuse
// the request.
func (a *accounts) end(name string, why refusal, isServed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x := a.of(name)
	switch {
	case why != "":
		x.refused[why]++
		a.count("refused", x.label, why)
	case isServed:
		x.served++
		a.count("served", x.label, "")
	}
}

// of returns the account of a workspace. The caller holds mu.
func (a *accounts) of(name string) *account {
	x, ok := a.byName[name]
	if ok {
		return x
	}
	if len(a.byName) >= maxAccounts && name != otherWorkspaces {
		return a.of(otherWorkspaces)
	}
	x = &account{label: name, refused: make(map[refusal]uint64)}
	if len(a.byName) >= maxWorkspaceLabels {
		x.label = otherWorkspaces
	}
	if a.byName == nil {
		a.byName = make(map[string]*account)
	}
	a.byName[name] = x
	return x
}

func (a *accounts) count(event, label string, why refusal) {
	reason := ""
	if why != "" {
		reason = fmt.Sprintf(",reason=%q", why)
	}
	a.set.GetOrCreateCounter(fmt.Sprintf("hickoryfront_edge_workspace_requests_%s_total{workspace=%q%s}", event, label, reason)).Inc()
}

// describe returns the accounts, in the order of their names.
func (a *accounts) describe() []hoststate.Workspace {
	a.mu.Lock()
	defer a.mu.Unlock()
	described := make([]hoststate.Workspace, 0, len(a.byName))
	for name, x := range a.byName {
		described = append(described, hoststate.Workspace{
			Name: name, Received: x.received, Served: x.served,
			UnknownKey: x.refused[refusedKey], OverQuota: x.refused[refusedQuota], OtherRefusals: x.refused[refusedOther],
		})
	}
	slices.SortFunc(described, func(a, b hoststate.Workspace) int { return cmp.Compare(a.Name, b.Name) })
	return described
}
