package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/attempts"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
)

const (
	// maxRelayHosts is the maximum number of hosts that one request is offered to.
	maxRelayHosts = 3
	// relayCandidates is the number of hosts that this host passes requests to, so that it
	// needs few connections and offers few requests when no host has paths. relaySpread is
	// the number of those among which it spreads requests.
	relayCandidates = 12
	relaySpread     = 4
	// relayRejectionPeriod is the time for which a host that has rejected a request is
	// offered no request to the same service.
	relayRejectionPeriod = 2 * time.Second
)

var (
	// ErrRelayRejected means that another host has not taken a request, so that it can't
	// have run.
	ErrRelayRejected = errors.New("the host does not take the request")
	// errNoRelay means that no other host takes a request.
	errNoRelay = errors.New("no other host takes the request")
	// errPathsLost means that this host has no path to the servers of a service, although
	// another host may have one.
	errPathsLost = errors.New("no path to the servers of the service")
)

type (
	// relayRejection names a host that has rejected a request to a service.
	relayRejection struct {
		host           netip.AddrPort
		service        string
		needsMostPaths bool
	}

	// continuedSink receives the rest of a stream that has begun.
	continuedSink struct {
		sink Sink
		// hasPart is set once a part of the stream has come.
		hasPart bool
	}
)

// AcceptsRelay reports whether this host takes requests to a service from other hosts: whether
// it has paths to servers, and to most of them if needsMost is set.
func (d *Dispatcher) AcceptsRelay(service string, needsMost bool) bool {
	return d.hasPaths(service) && !(needsMost && d.hasLostMany(service))
}

// relay passes a request to another host that has paths to most of the servers of its service.
// If there is none and this host has no path at all, a host with paths to some will do. The
// error is errNoRelay if no host takes the request, and otherwise as of Serve or Peers.Relay.
func (d *Dispatcher) relay(ctx context.Context, r *Request, sink Sink) error {
	offered := *r
	offered.NeedsMostPaths = true
	err := d.offer(ctx, &offered, sink)
	if errors.Is(err, errNoRelay) && ctx.Err() == nil && !d.hasPaths(r.Route.Service) {
		offered.NeedsMostPaths = false
		err = d.offer(ctx, &offered, sink)
	}
	return err
}

// offer offers a request to other hosts until one takes it.
func (d *Dispatcher) offer(ctx context.Context, r *Request, sink Sink) error {
	for range maxRelayHosts {
		host, ok := d.pickRelayHost(time.Now(), r)
		if !ok {
			return errNoRelay
		}
		err := d.peers.Relay(ctx, host, r, sink)
		entry := d.logger.WithFields(r.logFields()).WithField("to", host.String())
		if !errors.Is(err, ErrRelayRejected) {
			d.counters.relays.Inc()
			if err != nil {
				entry = entry.WithError(err)
			}
			entry.Info("request passed to another host")
			return err
		}
		if ctx.Err() != nil {
			return errNoRelay
		}
		d.counters.relaysRejected.Inc()
		entry.WithError(err).Debug("request not taken by another host")
		d.markRelayRejected(time.Now(), relayRejection{host, r.Route.Service, r.NeedsMostPaths})
	}
	return errNoRelay
}

// relayAgain is relay for a request that this host has sent to servers itself, with what has
// happened to it there. It takes a retry if the request may have run, and does not return that
// the request has not run then. An error of a host that may have run it is final.
func (d *Dispatcher) relayAgain(ctx context.Context, r *Request, sink Sink, history *attempts.History) error {
	taken := time.Now()
	isRetry := history.Runs() > 0
	if !history.MayRun(0) || isRetry && !d.takeRetry(taken, r) {
		return errNoRelay
	}
	remaining, selected := *r, *r.Route
	selected.MaxServers = max(selected.MaxServers-history.Runs(), 1)
	remaining.Route = &selected
	err := d.relay(ctx, &remaining, sink)
	var failure *Failure
	switch {
	case isRetry && errors.Is(err, errNoRelay):
		d.returnRetry(taken, r)
	case errors.Is(err, upstream.ErrMayHaveRun):
		return finalFailure(ctx, history.Runs()+1, err, 0)
	case isRetry && errors.As(err, &failure):
		return finalFailure(ctx, history.Runs(), failure, 0)
	}
	return err
}

// pickRelayHost returns a host to which a request can be passed at now. Hosts choose different
// ones, so that these share the load.
func (d *Dispatcher) pickRelayHost(now time.Time, r *Request) (netip.AddrPort, bool) {
	candidates := d.origins.homesOf(now, d.options.Self.String(), relayCandidates, d.registry.Hosts(), d.options.Self)
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates = slices.DeleteFunc(candidates, func(host netip.AddrPort) bool {
		rejectedAt, ok := d.relayRejections[relayRejection{host, r.Route.Service, r.NeedsMostPaths}]
		return ok && now.Sub(rejectedAt) < relayRejectionPeriod
	})
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	return candidates[rand.IntN(min(len(candidates), relaySpread))], true
}

func (d *Dispatcher) markRelayRejected(now time.Time, rejection relayRejection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, rejectedAt := range d.relayRejections {
		if now.Sub(rejectedAt) >= relayRejectionPeriod {
			delete(d.relayRejections, other)
		}
	}
	d.relayRejections[rejection] = now
}

// relayFailure returns the error of a request that was only passed to another host, with the
// result err.
func relayFailure(ctx context.Context, err error) error {
	if errors.Is(err, upstream.ErrMayHaveRun) {
		return finalFailure(ctx, 1, err, 0)
	}
	return err
}

// relayRest passes a generation to another host, which goes on with it after the last event
// that the caller has received. The error is errNoRelay if no host takes it.
func (g *generation) relayRest(ctx context.Context) error {
	rest := *g.request
	if !g.isStarted {
		return g.relayAgain(ctx, &rest, g.sink, g.history)
	}
	rest.IsContinued, rest.SoftwareVersion = true, g.softwareVersion
	rest.Metadata.IsResumed, rest.Metadata.LastEventID = g.relay.IsResumed(), g.relay.LastID()
	sink := &continuedSink{sink: g.sink}
	err := g.relayAgain(ctx, &rest, sink, g.history)
	if failure := (*Failure)(nil); errors.As(err, &failure) {
		return g.failure(ctx, failure)
	}
	if err == nil && !sink.hasPart && !g.hasAllEvents() {
		return g.failure(ctx, errNoEvent)
	}
	return err
}

// Start implements Sink. The headers of the response were sent when the stream began.
func (s *continuedSink) Start(status int, _ http.Header) error {
	if status != http.StatusOK {
		return fmt.Errorf("%w: status %d", errInvalid, status)
	}
	return nil
}

// Write implements Sink.
func (s *continuedSink) Write(part []byte) error {
	s.hasPart = true
	return s.sink.Write(part)
}
