// Package workspacequota keeps the workspaces to their quotas: it asks the homes of a workspace
// for units before a request is sent, and grants units as a home of other workspaces. The
// decisions are those of core/quota.
package workspacequota

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/core/identity"
	"github.com/hickoryfront/hickoryfront/core/quota"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
)

const (
	// homeTimeout limits a call to a home, and searchTimeout all calls of a request, for
	// which a caller waits.
	homeTimeout   = 100 * time.Millisecond
	searchTimeout = 300 * time.Millisecond
	// minRetryAfter and retrySpread are the least Retry-After of a refusal and the least time
	// over which the returns of callers are spread.
	minRetryAfter = 200 * time.Millisecond
	retrySpread   = 300 * time.Millisecond
	// silentRetryAfter is the least Retry-After while no home answers. Homes are asked again
	// after a second.
	silentRetryAfter = time.Second
	// confirmPeriod is the time between two attempts to confirm that this host is a home.
	confirmPeriod = time.Second
	// maxReturns limits the number of waiting calls that return units.
	maxReturns = 256
)

type (
	// Peers are the other hosts.
	Peers interface {
		// AcquireQuota asks the host at address for units. The error is quota.ErrNoHome if the
		// host does not grant units of the workspace.
		AcquireQuota(ctx context.Context, address netip.AddrPort, ask quota.Ask) (quota.Answer, error)
		// ReturnQuota returns units to the host at address, which has granted them.
		ReturnQuota(ctx context.Context, address netip.AddrPort, workspace string, units float64) error
	}

	// Hosts is the host list.
	Hosts interface {
		// Hosts returns the peer addresses of all hosts.
		Hosts() []netip.AddrPort
		// AreHostsSettled reports whether the list was the same in some reads, seconds apart.
		AreHostsSettled() bool
		// IsHostListComplete reports whether the list is unlikely to lack running hosts.
		IsHostListComplete() bool
	}

	// Options configure Quotas.
	Options struct {
		// Self is this host's peer address.
		Self   netip.AddrPort
		Bounds quota.Bounds
		// IsFirstStart is set if no host of the fleet has run before.
		IsFirstStart bool
	}

	// Quotas admits requests within the quotas of their workspaces. It is safe for concurrent
	// use.
	Quotas struct {
		// background ends with the process.
		background context.Context
		options    Options
		hosts      Hosts
		peers      Peers
		logger     log.Interface

		asks, denials, fallbacks *metrics.Counter
		granted                  *metrics.FloatCounter

		// mu is not held during calls to other hosts.
		mu        sync.Mutex
		groups    *quota.Groups
		ledger    *quota.Ledger
		requester *quota.Requester
		// silent are the groups of which no home has answered a request of this host last.
		silent map[int]bool
		// confirmedAt is when this host last began to ask the earlier homes of a group.
		confirmedAt map[int]time.Time
		returns     []unitReturn
		isReturning bool
	}

	// unitReturn is a return of units to a home.
	unitReturn struct {
		home      netip.AddrPort
		workspace string
		units     float64
	}

	// grant is units that a home has granted for a request.
	grant struct {
		home      netip.AddrPort
		workspace string
		units     float64
		at        time.Time
	}
)

// New returns the quotas of a host that starts at now. Background work ends with the context
// background.
func New(background context.Context, now time.Time, options Options, hosts Hosts, peers Peers, logger log.Interface, set *metrics.Set) *Quotas {
	return &Quotas{
		background: background, options: options, hosts: hosts, peers: peers, logger: logger,
		asks: set.NewCounter(`hickoryfront_edge_quota_asks_total`), denials: set.NewCounter(`hickoryfront_edge_quota_denials_total`),
		fallbacks: set.NewCounter(`hickoryfront_edge_quota_fallbacks_total`), granted: set.NewFloatCounter(`hickoryfront_edge_quota_units_granted_total`),
		groups: quota.NewGroups(options.Self), ledger: quota.NewLedger(now, options.IsFirstStart, options.Bounds.Window),
		requester: quota.NewRequester(options.Self, options.Bounds, now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		silent:    make(map[int]bool), confirmedAt: make(map[int]time.Time),
	}
}

// Admit acquires the units of a request of a workspace, as version of the configuration defines
// it. It returns either a function that gives the units back, to be called at most once and only
// if the request has not run and never will, or the response with which the request is refused.
// It takes 300 ms at most.
func (q *Quotas) Admit(ctx context.Context, workspace *identity.Workspace, version uint64, units float64) (giveBack func(), refusal *edgedispatch.Failure) {
	if workspace == nil || workspace.Quota.Rate <= 0 || units <= 0 {
		return func() {}, nil
	}
	ask := quota.Ask{Workspace: workspace.Name, Version: version, Limit: workspace.Quota, Units: units}
	hosts, now := q.hosts.Hosts(), time.Now()
	q.mu.Lock()
	q.groups.Observe(now, hosts)
	ask.Hosts = q.groups.HostCount()
	group := q.groups.Group(ask.Workspace)
	decision := q.requester.Begin(now, ask, q.groups.Homes(group))
	q.mu.Unlock()
	switch decision.Step {
	case quota.Admit:
		return q.giveBack(grant{decision.Home, ask.Workspace, units, decision.GrantedAt}), nil
	case quota.Refuse:
		q.denials.Inc()
		return nil, refuse(decision.RetryAfter)
	case quota.AskHomes:
	}
	ask.Ahead = decision.Ahead
	return q.search(ctx, ask, group, decision.Homes)
}

// search asks the homes until one of them grants.
func (q *Quotas) search(ctx context.Context, ask quota.Ask, group int, homes []netip.AddrPort) (func(), *edgedispatch.Failure) {
	searchCtx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	wait, isDenied := time.Duration(0), false
	for _, home := range homes {
		askedAt := time.Now()
		answer, err := q.ask(searchCtx, home, ask)
		switch {
		case ctx.Err() != nil: // the request has ended, which shows nothing about the home
			return nil, &edgedispatch.Failure{Status: http.StatusServiceUnavailable, Reason: "request ended before its quota was known"}
		case err != nil:
			q.logger.WithError(err).WithFields(log.Fields{"workspace": ask.Workspace, "host": home.String()}).Debug("home granted no quota")
			q.mu.Lock()
			q.requester.MarkSilent(time.Now(), home, errors.Is(err, quota.ErrNoHome))
			q.mu.Unlock()
		case answer.Granted >= ask.Units:
			q.mu.Lock()
			q.requester.Grant(askedAt, ask, home, answer.Granted)
			q.mu.Unlock()
			q.noteAnswer(group)
			return q.giveBack(grant{home, ask.Workspace, ask.Units, askedAt}), nil
		case !isDenied || answer.Wait < wait:
			wait, isDenied = answer.Wait, true
		}
	}
	if !isDenied {
		return q.fallBack(ask, group, homes)
	}
	q.noteAnswer(group)
	q.mu.Lock()
	retryAfter := q.requester.Deny(time.Now(), ask, wait)
	q.mu.Unlock()
	q.denials.Inc()
	return nil, refuse(retryAfter)
}

func (q *Quotas) ask(ctx context.Context, home netip.AddrPort, ask quota.Ask) (quota.Answer, error) {
	if home == q.options.Self {
		return q.GrantQuota(time.Now(), ask)
	}
	q.asks.Inc()
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	return q.peers.AcquireQuota(ctx, home, ask)
}

// fallBack admits a request within this host's part of the rate while the homes do not grant yet, or
// within the local allowance if none has answered.
func (q *Quotas) fallBack(ask quota.Ask, group int, homes []netip.AddrPort) (func(), *edgedispatch.Failure) {
	areSettled, isComplete, now := q.hosts.AreHostsSettled(), q.hosts.IsHostListComplete(), time.Now()
	q.mu.Lock()
	if isComplete && q.requester.IsStarting(now, q.groups.Homes(group)) { // an earlier list may lack most hosts
		isAdmitted := q.requester.TakeStartShare(now, ask, ask.Hosts)
		q.mu.Unlock()
		q.fallbacks.Inc()
		if !isAdmitted {
			return nil, unavailable("the homes of the workspace's quota have just started")
		}
		return func() {}, nil
	}
	isNew := !q.silent[group]
	q.silent[group] = true
	isAdmitted := areSettled && q.requester.TakeAllowance(now, ask, ask.Hosts)
	q.mu.Unlock()
	q.fallbacks.Inc()
	if isNew {
		q.logger.WithFields(log.Fields{"group": group, "workspace": ask.Workspace, "asked": len(homes), "hasAllowance": q.options.Bounds.HasTolerance()}).
			Info("no home of a workspace's quota responds")
	}
	if !isAdmitted {
		return nil, unavailable("no home of the workspace's quota responds")
	}
	return func() {}, nil
}

// unavailable returns the refusal of a request while it is not known whether its workspace has units.
func unavailable(reason string) *edgedispatch.Failure {
	return &edgedispatch.Failure{Status: http.StatusServiceUnavailable, RetryAfter: silentRetryAfter + rand.N(silentRetryAfter), Reason: reason}
}

// noteAnswer records that a home of a group has answered.
func (q *Quotas) noteAnswer(group int) {
	q.mu.Lock()
	wasSilent := q.silent[group]
	delete(q.silent, group)
	q.mu.Unlock()
	if wasSilent {
		q.logger.WithField("group", group).Info("a home of a workspace's quota responds again")
	}
}

// refuse returns the refusal of a request whose workspace has no units before wait is over.
// The returns of callers are spread, as there are units for only some of them then.
func refuse(wait time.Duration) *edgedispatch.Failure {
	return &edgedispatch.Failure{
		Status: http.StatusTooManyRequests, RetryAfter: max(wait, minRetryAfter) + rand.N(max(wait, retrySpread)), Reason: "quota of the workspace is used up",
	}
}

// GrantQuota responds at now to a host that asks for units. An ask for no units asks only
// whether this host grants. The error is quota.ErrNoHome if it does not.
func (q *Quotas) GrantQuota(now time.Time, ask quota.Ask) (quota.Answer, error) {
	hosts, areSettled := q.hosts.Hosts(), q.hosts.AreHostsSettled()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.groups.Observe(now, hosts)
	home, ok := q.groups.Own(ask.Workspace)
	if !areSettled || !ok {
		return quota.Answer{}, quota.ErrNoHome
	}
	if now.Before(home.From) {
		q.confirm(now, ask)
		return quota.Answer{}, quota.ErrNoHome
	}
	if ask.Units == 0 {
		return quota.Answer{}, nil
	}
	answer := q.ledger.Take(now, ask, home)
	q.granted.Add(answer.Granted)
	return answer, nil
}

// confirm begins to ask the earlier homes of a workspace, unless that was done a moment ago.
// The caller holds mu.
func (q *Quotas) confirm(now time.Time, ask quota.Ask) {
	group := q.groups.Group(ask.Workspace)
	candidates, ok := q.groups.Candidates(now, group)
	if !ok || ask.Units == 0 || now.Sub(q.confirmedAt[group]) < confirmPeriod {
		return
	}
	q.confirmedAt[group] = now
	go q.runConfirm(group, ask, candidates)
}

// runConfirm asks the earlier homes of a group whether they still grant.
func (q *Quotas) runConfirm(group int, ask quota.Ask, candidates []netip.AddrPort) {
	ask.Units, ask.Ahead = 0, 0
	for _, candidate := range candidates {
		ctx, cancel := context.WithTimeout(q.background, homeTimeout)
		_, err := q.peers.AcquireQuota(ctx, candidate, ask)
		cancel()
		if !errors.Is(err, quota.ErrNoHome) {
			return
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.groups.Confirm(time.Now(), group)
}

// ReturnQuota takes back at now units that this host has granted as a home.
func (q *Quotas) ReturnQuota(now time.Time, workspace string, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Return(now, workspace, units)
}

// giveBack returns the function that gives the units of a grant back.
func (q *Quotas) giveBack(g grant) func() {
	return func() {
		now := time.Now()
		q.mu.Lock()
		defer q.mu.Unlock()
		switch toHome := q.requester.Return(now, g.at, g.workspace, g.units); {
		case !toHome:
		case g.home == q.options.Self:
			q.ledger.Return(now, g.workspace, g.units)
		case len(q.returns) < maxReturns:
			q.returns = append(q.returns, unitReturn{g.home, g.workspace, g.units})
			if !q.isReturning {
				q.isReturning = true
				go q.runReturns()
			}
		}
	}
}

// runReturns returns units to their homes until none are left.
func (q *Quotas) runReturns() {
	for {
		q.mu.Lock()
		if len(q.returns) == 0 {
			q.returns, q.isReturning = nil, false
			q.mu.Unlock()
			return
		}
		r := q.returns[0]
		q.returns = q.returns[1:]
		q.mu.Unlock()
		ctx, cancel := context.WithTimeout(q.background, homeTimeout)
		if err := q.peers.ReturnQuota(ctx, r.home, r.workspace, r.units); err != nil {
			q.logger.WithError(err).WithFields(log.Fields{"workspace": r.workspace, "host": r.home.String()}).Debug("units not returned")
		}
		cancel()
	}
}

// Describe fills in the part of s that concerns quotas, as of now.
func (q *Quotas) Describe(now time.Time, s *hoststate.State) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, u := range q.ledger.Usage(now) {
		s.Quotas = append(s.Quotas, hoststate.Quota{Workspace: u.Workspace, Rate: u.Limit.Rate, Burst: u.Limit.Burst, Level: u.Level, Granted: u.Granted})
	}
}
