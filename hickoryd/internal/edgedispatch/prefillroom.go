package edgedispatch

import (
	"context"
	"errors"
	"time"

	"github.com/hickoryfront/hickoryfront/core/balance"
	coreroom "github.com/hickoryfront/hickoryfront/core/room"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/room"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
)

// prefillPlace is the prefill server that a prompt is sent to, with the grant of its home or
// without one.
type prefillPlace struct {
	server serverlist.Server
	grant  *room.Grant
}

// acquirePrefill returns the server for a prompt whose KV cache is transferred to the given
// failure domain: the one that the home of the prefill servers grants, or one that this host
// chooses if no home decides. It returns false if no server is free in time, so that the decode
// server runs the prefill.
func (g *generation) acquirePrefill(ctx context.Context, tried []string, domain string) (prefillPlace, bool) {
	if g.options.PrefillRooms != nil {
		place, err := g.askPrefill(ctx, tried, domain)
		var refusal *room.Refusal
		if err == nil {
			return place, true
		}
		if errors.As(err, &refusal) || ctx.Err() != nil {
			return prefillPlace{}, false
		}
	}
	server, wait, ok := g.pickPrefill(g.request, tried, domain)
	return prefillPlace{server: server}, ok && wait <= maxPrefillWait
}

// askPrefill asks the home of the prefill servers. The error is as of Rooms.Acquire.
func (g *generation) askPrefill(ctx context.Context, tried []string, domain string) (prefillPlace, error) {
	r := g.request
	criteria := balance.Criteria{Service: r.Route.Service, Stage: serverlist.Prefill, FailureDomain: domain}
	usable := make(map[string]serverlist.Server)
	for _, s := range g.rankServers(criteria) {
		usable[s.ID] = s
	}
	ask := room.Ask{
		Pool: coreroom.Pool{Service: r.Route.Service, Stage: serverlist.Prefill}, Workspace: r.Workspace, Urgency: urgencyOf(r),
		IsReturn: g.firstAttempt.Before(r.Arrived), Arrived: r.Arrived, Deadline: r.Deadline, FailureDomain: domain,
		Excluded: tried, ServiceTime: g.prefillTime(r.Metadata.PromptTokens), InFlight: make(map[string]int),
	}
	ask.Target = time.Now().Add(maxPrefillWait + ask.ServiceTime)
	for _, s := range g.servers() {
		if !criteria.Matches(s) {
			continue
		}
		if _, ok := usable[s.ID]; !ok {
			ask.Excluded = append(ask.Excluded, s.ID)
		}
		if prompts := g.prefillsAt(s.ID); prompts > 0 {
			ask.InFlight[s.ID] = prompts
		}
	}
	grant, err := g.options.PrefillRooms.Acquire(ctx, ask)
	if err != nil {
		return prefillPlace{}, err
	}
	server, ok := usable[grant.Server]
	if !ok {
		grant.Release(coreroom.Unused, 0)
		return prefillPlace{}, room.ErrNoHome
	}
	return prefillPlace{server: server, grant: grant}, nil
}

// release reports the outcome of a prefill that began at started to the home.
func (p prefillPlace) release(ctx context.Context, started time.Time, err error) {
	if p.grant == nil {
		return
	}
	outcome := coreroom.Failed
	switch {
	case err == nil:
		outcome = coreroom.Served
	case errors.Is(err, errNoPermit), errors.Is(ctx.Err(), context.Canceled):
		outcome = coreroom.Unused
	case errors.Is(err, errNotRun) && !errors.Is(err, upstream.ErrNotSent):
		outcome = coreroom.Shed
	}
	p.grant.Release(outcome, time.Since(started))
}

// prefillTime returns the time that a prefill server is expected to take for a prompt.
func (d *Dispatcher) prefillTime(tokens int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.prefillQueue.Duration(tokens)
}

// prefillsAt returns the number of prompts that this host has at a prefill server.
func (d *Dispatcher) prefillsAt(server string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.prefillQueue.Prompts(server)
}
