package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/service"
)

const settleAttempts = 5

type (
	// PlainRequest is one accepted call of a plain service.
	PlainRequest struct {
		ID         string
		Workspace  string
		Service    config.Service
		Profile    config.Profile
		Key        string // idempotency key, or ""
		BodyHash   uint64
		Repeatable bool
		Call       service.Call
	}

	// PlainServers sends calls to plain servers.
	PlainServers interface {
		Do(ctx context.Context, server backend.Server, call service.Call) (claim.Answer, error)
	}

	// PlainDirectory lists the servers of plain services.
	PlainDirectory interface {
		Plain(service string) []backend.Server
	}

	// Claims asks the homes of keys.
	Claims interface {
		Claim(ctx context.Context, now time.Time, wanted claim.Grant) (claim.Outcome, claim.Grant, error)
		Settle(ctx context.Context, now time.Time, grant claim.Grant, notRun bool) error
	}

	// Plain runs calls of plain services. It is safe for concurrent use.
	Plain struct {
		owner     claim.Owner
		servers   PlainServers
		directory PlainDirectory
		claims    Claims
	}
)

// NewPlain returns a runner of plain calls.
func NewPlain(owner claim.Owner, servers PlainServers, directory PlainDirectory, claims Claims) *Plain {
	return &Plain{owner: owner, servers: servers, directory: directory, claims: claims}
}

// Run answers one call. Errors are of type *refusal.Refusal, or the context's
// when the caller is gone.
func (p *Plain) Run(ctx context.Context, request PlainRequest) (claim.Answer, error) {
	if request.Key == "" {
		return p.send(ctx, request)
	}
	return p.sendOnce(ctx, request)
}

// sendOnce runs a call with a key at most once and stores its answer.
func (p *Plain) sendOnce(ctx context.Context, request PlainRequest) (claim.Answer, error) {
	wanted := claim.Grant{
		Key:       claim.Key{Workspace: request.Workspace, Service: request.Service.Name, Value: request.Key},
		BodyHash:  request.BodyHash,
		RequestID: request.ID,
		Owner:     p.owner,
		Horizon:   request.Profile.RetryHorizon,
	}
	outcome, grant, err := p.claims.Claim(ctx, time.Now(), wanted)
	if err != nil {
		return claim.Answer{}, refusal.NotRun(refusal.ClaimUndecided, "the key can't be checked now: %v", err).After(time.Second)
	}
	if outcome != claim.Granted {
		return replay(outcome, grant)
	}
	// The call must end even when its caller goes: its answer is stored.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), request.Profile.AttemptTimeout)
	defer cancel()
	result, err := p.send(callCtx, request)
	p.settle(wanted, result, err)
	return result, err
}

func (p *Plain) settle(grant claim.Grant, result claim.Answer, err error) {
	notRun := false
	if err != nil {
		r := refusal.Of(err)
		notRun = r != nil && r.Ran == refusal.RanNo
		grant.Unknown = !notRun
	} else {
		grant.Answer = &result
	}
	grant.Settled = true
	for range settleAttempts {
		if p.claims.Settle(context.Background(), time.Now(), grant, notRun) == nil {
			return
		}
	}
}

// send tries the service's servers. A call that may not be repeated is sent to
// another server only when no byte of it reached the one before.
func (p *Plain) send(ctx context.Context, request PlainRequest) (claim.Answer, error) {
	servers := p.directory.Plain(request.Service.Name)
	if len(servers) == 0 {
		return claim.Answer{}, refusal.NotRun(refusal.Unavailable, "service %q has no live server", request.Service.Name).After(time.Second)
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	var last error
	reached := false
	for _, server := range servers {
		result, err := p.servers.Do(ctx, server, request.Call)
		if err == nil {
			return result, nil
		}
		if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
			return claim.Answer{}, ctx.Err()
		}
		last = err
		if !errors.Is(err, service.ErrNotSent) {
			reached = true
			if !request.Repeatable {
				break
			}
		}
	}
	if !reached {
		return claim.Answer{}, refusal.NotRun(refusal.Unavailable, "no server of %q could be reached: %v", request.Service.Name, last).After(time.Second)
	}
	return claim.Answer{}, refusal.MayHaveRun(refusal.BackendFailed, "the call to %q failed: %v", request.Service.Name, last)
}

// replay answers a call whose key was claimed before.
func replay(outcome claim.Outcome, grant claim.Grant) (claim.Answer, error) {
	switch outcome {
	case claim.Settled:
		return *grant.Answer, nil
	case claim.Running:
		return claim.Answer{}, refusal.MayHaveRun(refusal.OutcomeUnknown, "a call with this key is running; ask again").After(time.Second)
	case claim.Unknown:
		return claim.Answer{}, refusal.MayHaveRun(refusal.OutcomeUnknown, "a call with this key was run and its answer is lost")
	case claim.BodyMismatch:
		return claim.Answer{}, refusal.NotRun(refusal.KeyReused, "this key was used with another request; use a new key")
	}
	return claim.Answer{}, refusal.NotRun(refusal.ClaimUndecided, "the key can't be checked now; ask again").After(time.Second)
}

// IsRepeatable reports whether the profile lets calls of this method repeat.
func IsRepeatable(profile config.Profile, method string) bool {
	for _, m := range profile.NonRepeatable {
		if m == method {
			return false
		}
	}
	return method != http.MethodConnect
}
