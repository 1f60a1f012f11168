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
		Do(ctx context.Context, server backend.Server, call service.Call) (claim.Response, error)
	}

	// PlainDirectory lists the servers of plain services.
	PlainDirectory interface {
		Plain(service string) []backend.Server
	}

	// Plain runs calls of plain services. It is safe for concurrent use.
	Plain struct {
		servers   PlainServers
		directory PlainDirectory
		keyed     *Keyed
	}

	// plainWork runs a call with a key.
	plainWork struct {
		plain   *Plain
		request PlainRequest
	}
)

// NewPlain returns a runner of plain calls.
func NewPlain(servers PlainServers, directory PlainDirectory, keyed *Keyed) *Plain {
	return &Plain{servers: servers, directory: directory, keyed: keyed}
}

// Run runs one call. Its errors are of type *refusal.Refusal, or the context's
// error when the caller has disconnected.
func (p *Plain) Run(ctx context.Context, request PlainRequest) (claim.Response, error) {
	if request.Key == "" {
		return p.send(ctx, request)
	}
	return p.sendOnce(ctx, request)
}

// sendOnce runs a call with a key at most once, or returns the response of the
// call that holds the key.
func (p *Plain) sendOnce(ctx context.Context, request PlainRequest) (claim.Response, error) {
	source, err := p.keyed.Open(ctx, KeyedRequest{
		ID:       request.ID,
		Key:      claim.Key{Workspace: request.Workspace, Service: request.Service.Name, Value: request.Key},
		BodyHash: request.BodyHash,
		Horizon:  request.Profile.RetryHorizon,
		Timeout:  request.Profile.AttemptTimeout,
	}, plainWork{plain: p, request: request})
	if err != nil {
		return claim.Response{}, err
	}
	return Collect(ctx, source)
}

// Run implements Work.
func (w plainWork) Run(ctx context.Context, to *Recording) error {
	result, err := w.plain.send(ctx, w.request)
	if err != nil {
		return err
	}
	for _, h := range result.Headers {
		to.Header().Add(h.Name, h.Value)
	}
	to.WriteHeader(result.Status)
	_, err = to.Write(result.Body)
	return err
}

// send sends the call to the service's servers in random order until one
// responds. A call that may not be repeated, or that has a key, goes to another
// server only if no byte of it reached the previous one.
func (p *Plain) send(ctx context.Context, request PlainRequest) (claim.Response, error) {
	servers := p.directory.Plain(request.Service.Name)
	if len(servers) == 0 {
		return claim.Response{}, refusal.NotRun(refusal.Unavailable, "service %q has no live server", request.Service.Name).WithRetryAfter(time.Second)
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
			return claim.Response{}, ctx.Err()
		}
		last = err
		if !errors.Is(err, service.ErrNotSent) {
			reached = true
			if !request.Repeatable || request.Key != "" {
				break
			}
		}
	}
	if !reached {
		return claim.Response{}, refusal.NotRun(refusal.Unavailable, "no server of %q could be reached: %v", request.Service.Name, last).WithRetryAfter(time.Second)
	}
	return claim.Response{}, refusal.MayHaveRun(refusal.BackendFailed, "the call to %q failed: %v", request.Service.Name, last)
}

// IsRepeatable reports whether the profile allows calls of this method to be
// repeated.
func IsRepeatable(profile config.Profile, method string) bool {
	for _, m := range profile.NonRepeatableMethods {
		if m == method {
			return false
		}
	}
	return method != http.MethodConnect
}
