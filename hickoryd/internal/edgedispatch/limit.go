package edgedispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/serverlimit"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// permitTimeout limits the search for a permit, for which a caller waits.
	permitTimeout = 150 * time.Millisecond
	// homeRetryPeriod is the time for which a home that did not respond is not asked again,
	// and a server without a home that responds gets no request.
	homeRetryPeriod = time.Second
	// minPermitPause is the least time between two searches for a permit.
	minPermitPause = 20 * time.Millisecond
)

// errNoPermit means that a request was not sent because of the limit of its server.
var errNoPermit = fmt.Errorf("%w: no permit within the limit of the server", upstream.ErrNotSent)

// ReportLimit records what a server has stated about its limit to another host.
func (d *Dispatcher) ReportLimit(statement serverlimit.Statement) {
	d.updateLimit(statement)
}

// IssuePermit responds at now to a host that wants to send one request to a server. statement
// is the newest that the host has.
func (d *Dispatcher) IssuePermit(now time.Time, statement serverlimit.Statement) serverlimit.Permit {
	d.updateLimit(statement)
	hosts, areSettled := d.registry.Hosts(), d.registry.AreHostsSettled()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.homes.Observe(now, hosts)
	if areSettled {
		d.issuer.Settle()
	}
	newest, _ := d.limits.Newest(statement.Server)
	if !newest.IsLimited {
		return serverlimit.Permit{IsGranted: true, Newest: newest}
	}
	homes := d.homes.Of(statement.Server)
	if !slices.Contains(homes, d.options.Self) {
		return serverlimit.Permit{Wait: homeRetryPeriod, Newest: newest}
	}
	wait, isGranted := d.issuer.Take(now, newest, len(homes))
	return serverlimit.Permit{IsGranted: isGranted, Wait: wait, Newest: newest}
}

// acquirePermit acquires the permit to send one request to a server. It reports true at once
// if the server has no limit. Otherwise the server is skipped until there may be a permit.
func (d *Dispatcher) acquirePermit(ctx context.Context, server serverlist.Server) bool {
	limit, homes, ok := d.limitOf(server)
	if !ok {
		return true
	}
	searchCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	wait := homeRetryPeriod
	for _, home := range homes {
		permit, err := d.permitFrom(searchCtx, home, limit)
		if ctx.Err() != nil {
			return false // the request has ended, which shows nothing about the home
		}
		if err != nil {
			d.logger.WithError(err).WithFields(log.Fields{"server": server.ID, "host": home.String()}).Debug("host did not respond to a request for a permit")
			d.markHomeFailed(time.Now(), home)
			continue
		}
		d.updateLimit(permit.Newest)
		if permit.IsGranted {
			return true
		}
		wait = min(wait, permit.Wait)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.permitsDenied.Inc()
	d.balancer.MarkNoPermit(time.Now(), server.ID, max(wait, minPermitPause))
	return false
}

// limitOf returns the limit of a server and the homes to ask for a permit: this host first,
// if it is one, and the others in random order. It returns false if the server has no limit.
func (d *Dispatcher) limitOf(server serverlist.Server) (serverlimit.Statement, []netip.AddrPort, bool) {
	now, hosts := time.Now(), d.registry.Hosts()
	d.mu.Lock()
	defer d.mu.Unlock()
	limit, ok := d.limits.Limit(server.ID)
	if !ok {
		return limit, nil, false
	}
	d.homes.Observe(now, hosts)
	homes := slices.DeleteFunc(d.homes.Of(server.ID), func(home netip.AddrPort) bool { return now.Sub(d.homeFailedAt[home]) < homeRetryPeriod })
	rand.Shuffle(len(homes), func(i, j int) { homes[i], homes[j] = homes[j], homes[i] })
	if i := slices.Index(homes, d.options.Self); i > 0 {
		homes[0], homes[i] = homes[i], homes[0]
	}
	return limit, homes, true
}

func (d *Dispatcher) permitFrom(ctx context.Context, home netip.AddrPort, limit serverlimit.Statement) (serverlimit.Permit, error) {
	if home == d.options.Self {
		return d.IssuePermit(time.Now(), limit), nil
	}
	return d.peers.AcquirePermit(ctx, home, limit)
}

// markHomeFailed records that a home did not respond at now.
func (d *Dispatcher) markHomeFailed(now time.Time, home netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, failedAt := range d.homeFailedAt {
		if now.Sub(failedAt) >= homeRetryPeriod {
			delete(d.homeFailedAt, other)
		}
	}
	d.homeFailedAt[home] = now
}

// observeAnswer takes up what the response to a request that was sent at sentAt states about
// the limit of its server. A response without a limit ends one only if the server has
// accepted the request.
func (d *Dispatcher) observeAnswer(server serverlist.Server, response *upstream.Response, sentAt time.Time) {
	metadata := response.Metadata
	isAccepted := !metadata.IsNotRun && (metadata.HasStamp || response.StatusCode == http.StatusOK)
	if !metadata.HasLimit && isAccepted {
		d.observeStatement(serverlimit.Statement{Server: server.ID, ServerStarted: server.StartedAt, At: sentAt})
	}
}

// observeLimit takes up the limit that a server's response states, if any.
func (d *Dispatcher) observeLimit(server serverlist.Server, response platform.Response) {
	if response.HasLimit {
		now := time.Now()
		d.observeStatement(serverlimit.Statement{Server: server.ID, ServerStarted: server.StartedAt, IsLimited: true, Rate: response.Limit, At: now, Since: now})
	}
}

// observeStatement records what a server has stated to this host. It reports to all hosts
// that the server has a limit, or none any more, and to its homes that the limit has changed.
func (d *Dispatcher) observeStatement(statement serverlimit.Statement) {
	switch d.updateLimit(statement) {
	case serverlimit.Began, serverlimit.Ended:
		d.peers.ReportLimit(d.background, nil, statement)
	case serverlimit.RateChanged:
		d.mu.Lock()
		homes := slices.DeleteFunc(d.homes.Of(statement.Server), func(home netip.AddrPort) bool { return home == d.options.Self })
		d.mu.Unlock()
		if len(homes) > 0 {
			d.peers.ReportLimit(d.background, homes, statement)
		}
	case serverlimit.Unchanged:
	}
}

// updateLimit records what a server has stated about its limit.
func (d *Dispatcher) updateLimit(statement serverlimit.Statement) serverlimit.Change {
	d.mu.Lock()
	change := d.limits.Update(statement)
	if change != serverlimit.Unchanged {
		d.balancer.SetLimited(statement.Server, statement.IsLimited)
	}
	d.mu.Unlock()
	entry := d.logger.WithField("server", statement.Server)
	switch change {
	case serverlimit.Began, serverlimit.RateChanged:
		entry.WithField("limit", statement.Rate).Info("backend server states a limit")
	case serverlimit.Ended:
		entry.Info("backend server states no limit any more")
	case serverlimit.Unchanged:
	}
	return change
}

// countLimited counts a request that is sent to a server with a limit.
func (d *Dispatcher) countLimited(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, isLimited := d.limits.Limit(server); isLimited {
		d.counters.limitedRequests.Inc()
	}
}
