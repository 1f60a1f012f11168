package edgecaller

import (
	"context"
	"encoding/hex"
	"net/http"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/identity"
	"github.com/hickoryfront/hickoryfront/core/quota"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/platform"
)

// loggedHashBytes is the size of the part of an unknown key's hash that is logged, with which
// operators can compare the keys that they have given out.
const loggedHashBytes = 4

// errUnknownKey refuses a key that belongs to no workspace of the configuration, or to several.
var errUnknownKey = &edgedispatch.Failure{Status: http.StatusUnauthorized, Reason: "unknown key"}

type (
	// Services tells which services have servers.
	Services interface {
		// HasServer reports whether a service has a registered server that is not draining.
		HasServer(service string) bool
	}

	// Quotas admits requests of workspaces with a quota.
	Quotas interface {
		// Admit takes units from the quota of a workspace, which the configuration of the given
		// version states. It returns why the request is refused, or nil. giveBack returns the
		// units of an admitted request that has not run, and may be nil.
		Admit(ctx context.Context, workspace *identity.Workspace, version uint64, units float64) (giveBack func(), refusal *edgedispatch.Failure)
	}

	// admission is what the handler keeps about the workspace of a request.
	admission struct {
		// isEnforced is set if the configuration has workspaces.
		isEnforced bool
		// workspace is nil if the request belongs to none. Otherwise key is the request's.
		workspace *identity.Workspace
		key       identity.KeyHash
		giveBack  func()
		// refusal is why the request was refused, or empty.
		refusal refusal
	}
)

// identify finds the workspace of a request and replaces the headers that state it. On routes
// that are not public, the error is a *Failure if there is none.
func (h *Handler) identify(request *edgedispatch.Request, table *route.Table, a *admission) error {
	directory := table.Directory()
	a.isEnforced = directory.IsEnforced()
	if a.isEnforced {
		err := h.findWorkspace(request, directory, a)
		h.accounts.begin(request.Workspace)
		if err != nil {
			return err
		}
		platform.SetTenant(request.Header, request.Workspace)
	}
	h.rank(request, table, a)
	return nil
}

func (h *Handler) findWorkspace(request *edgedispatch.Request, directory *identity.Directory, a *admission) error {
	var failure *edgedispatch.Failure
	hash, err := platform.DecodeKey(request.Header)
	if err != nil {
		failure = &edgedispatch.Failure{Status: http.StatusUnauthorized, Reason: err.Error()}
	} else if workspace, ok := directory.Find(hash); ok {
		a.workspace, a.key, request.Workspace = workspace, hash, workspace.Name
		return nil
	} else {
		failure = errUnknownKey
	}
	if request.Route.IsPublic {
		return nil
	}
	if err == nil {
		h.logger.WithFields(log.Fields{
			"request": request.Metadata.ID, "route": request.Route.Name, "configVersion": request.ConfigVersion, "keyHash": hex.EncodeToString(hash[:loggedHashBytes]),
		}).Info("unknown key")
	}
	a.refusal = refusedKey
	return failure
}

// recheck finds the workspace again if the configuration has changed since table, while the
// body arrived: that may take seconds, in which the key may have been revoked.
func (h *Handler) recheck(request *edgedispatch.Request, table *route.Table, a *admission) error {
	newest := h.routes.Table()
	if newest == table || !newest.Directory().IsEnforced() {
		return nil
	}
	if found := newest.Find(request.Host, pathOf(request.Target)); found != nil && found.IsPublic && !request.Route.IsPublic {
		public := *request.Route
		public.IsPublic = true
		request.Route = &public
	}
	if !a.isEnforced { // the request still has its headers
		request.ConfigVersion = newest.Version()
		return h.identify(request, newest, a)
	}
	if a.workspace == nil {
		return nil
	}
	workspace, ok := newest.Directory().Find(a.key)
	request.ConfigVersion = newest.Version()
	switch {
	case ok:
		a.workspace, request.Workspace = workspace, workspace.Name
	case request.Route.IsPublic:
		a.workspace, request.Workspace = nil, ""
	default:
		a.refusal = refusedKey
		return errUnknownKey
	}
	platform.SetTenant(request.Header, request.Workspace)
	return nil
}

// rank chooses the service of a split route and sets the priority of a request.
func (h *Handler) rank(request *edgedispatch.Request, table *route.Table, a *admission) {
	if len(request.Route.Split) > 0 {
		request.Route = request.Route.Choose(sessionOf(request), h.services.HasServer)
	}
	request.Priority = request.Route.Priority
	if a.workspace != nil && a.workspace.Priority != nil {
		request.Priority = *a.workspace.Priority
	}
	request.IsRanked = table.RanksRequests(request.Route.Service)
}

// sessionOf returns what the service of a split route is chosen by: the last part of the
// prompt, or the ID of the request. A resumed stream without a prompt has the ID of the
// attempt that began it, so that it goes on at the same service.
func sessionOf(request *edgedispatch.Request) string {
	m := request.Metadata
	switch {
	case len(m.PromptParts) > 0:
		return m.PromptParts[len(m.PromptParts)-1].ID
	case m.IsResumed && m.ResumesID != "":
		return m.ResumesID
	}
	return m.ID
}

// admit takes the units of a request from the quota of its workspace.
func (h *Handler) admit(ctx context.Context, request *edgedispatch.Request, a *admission) error {
	if h.quotas == nil || a.workspace == nil || a.workspace.Quota.Rate == 0 {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	giveBack, failure := h.quotas.Admit(ctx, a.workspace, request.ConfigVersion, unitsOf(request, a.workspace))
	if failure != nil && failure.Status == http.StatusServiceUnavailable && request.Metadata.IsResumed && request.Route.IsResumable {
		return nil // the stream has begun within the quota, whose homes have failed since
	}
	if failure != nil {
		a.refusal = refusedQuota
		return failure
	}
	a.giveBack = giveBack
	return nil
}

// unitsOf returns the units that a request counts for in the quota of its workspace.
func unitsOf(request *edgedispatch.Request, workspace *identity.Workspace) float64 {
	if workspace.Quota.Unit != quota.Tokens {
		return 1
	}
	prompt, output := request.Metadata.PromptTokens, request.Metadata.MaxOutputTokens
	if prompt < 0 || output < 0 || prompt == 0 && output == 0 { // negative numbers would add to the quota
		return float64(workspace.PlainTokens)
	}
	return float64(prompt) + float64(output)
}

// settle returns the units of a request that the failure guarantees has not run, and counts
// its outcome. failure is nil if the host has not refused the request.
func (h *Handler) settle(request *edgedispatch.Request, a *admission, failure *edgedispatch.Failure, err error) {
	if a.giveBack != nil && failure != nil && hasNotRun(failure.Status) {
		a.giveBack()
	}
	if !a.isEnforced {
		return
	}
	switch {
	case failure != nil && a.refusal == "":
		a.refusal = refusedOther
	case failure == nil:
		a.refusal = ""
	}
	h.accounts.end(request.Workspace, a.refusal, err == nil)
}

// hasNotRun reports whether a response of hickoryfront with this status guarantees that the
// request has not run and never will.
func hasNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
