// Package edgedispatch serves callers' requests from the platform's backend
// servers. It chooses a server for each attempt, forwards the request, retries it
// on another server where the route and the retry budget allow that, and
// otherwise reports why the request can't be served.
//
// A plain request is one call of a backend server. A generation is a streaming
// request to model servers: a prefill server computes the KV cache of the prompt,
// and a decode server fetches the cache by its handle and generates the tokens.
package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/balance"
	"github.com/hickoryfront/hickoryfront/core/callerretry"
	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/health"
	"github.com/hickoryfront/hickoryfront/core/outputlength"
	"github.com/hickoryfront/hickoryfront/core/prefillqueue"
	"github.com/hickoryfront/hickoryfront/core/retrybudget"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlimit"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/serverpath"
	"github.com/hickoryfront/hickoryfront/core/streamorigin"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// reservationWeight is the weight of the newest request in the moving average of
	// reservations, which thus covers about the last twenty requests.
	reservationWeight = 0.05
	// backgroundTimeout limits each call that outlives its request: the release of a
	// reservation or of a KV cache, and the check of a server after a failure.
	backgroundTimeout = time.Second
)

// ErrTruncated means that a part of the response was sent to the caller and the
// rest can't be sent.
var ErrTruncated = errors.New("response to the caller truncated")

type (
	// Registry lists the backend servers and counts the hosts.
	Registry interface {
		Servers() *registry.Snapshot
		// HostCount returns the number of hosts, or 0 if it is not known.
		HostCount() int
		// Hosts returns the peer addresses of all hosts.
		Hosts() []netip.AddrPort
		// AreHostsSettled reports whether the list of hosts is the one that other hosts have.
		AreHostsSettled() bool
		// IsStoreUnreachable reports whether the list may be out of date, because the
		// store does not respond to this host.
		IsStoreUnreachable() bool
	}

	// Peers notifies the other hosts about failed servers, their limits and the origins of
	// streams, and queries them for origins and permits.
	Peers interface {
		// ReportLoss reports that a server failed while it ran the request with the
		// given fingerprint.
		ReportLoss(ctx context.Context, fingerprint uint64, server string)
		// ReportReplaced reports that another process listens at a server's address.
		ReportReplaced(ctx context.Context, server string)
		// ReportOrigins reports the origins of streams to the host at address.
		ReportOrigins(ctx context.Context, address netip.AddrPort, origins []streamorigin.Origin)
		// FindOrigin returns what the hosts at addresses know of the origin of a stream, or
		// without addresses the hosts that a starting host queries. It returns an error if
		// none responds.
		FindOrigin(ctx context.Context, addresses []netip.AddrPort, requestID, service string, window time.Duration) (streamorigin.Finding, error)
		// ReportLimit reports what a server has stated about its limit to the hosts at
		// addresses, or to all other hosts if there are none.
		ReportLimit(ctx context.Context, addresses []netip.AddrPort, statement serverlimit.Statement)
		// AcquirePermit asks the host at address for a permit to send one request to the
		// server of a statement.
		AcquirePermit(ctx context.Context, address netip.AddrPort, statement serverlimit.Statement) (serverlimit.Permit, error)
		// Relay passes a request to the host at address and writes the response to sink. The
		// error is ErrRelayRejected if the host has not sent the request to a server, a
		// *Failure if the host can't serve it, upstream.ErrMayHaveRun if that is unknown, and
		// ErrTruncated if the response has broken off.
		Relay(ctx context.Context, address netip.AddrPort, request *Request, sink Sink) error
	}

	// Quarantine finds requests, and parts of prompts, that crash servers and refuses them. The
	// last part of a prompt is the request's own and not among the parts.
	Quarantine interface {
		// IsRefused reports whether requests with a fingerprint are refused at now.
		IsRefused(now time.Time, fingerprint uint64) bool
		// RecordRequestLoss records at now that a server failed while it ran a request of this
		// host, and ReportRequestLoss one of another host.
		RecordRequestLoss(now time.Time, fingerprint uint64, failure crash.Failure)
		ReportRequestLoss(now time.Time, fingerprint uint64, failure crash.Failure)
		// RecordRequestCompletion records that a server completed a request at now.
		RecordRequestCompletion(now time.Time, fingerprint uint64)
		// Check returns when the refusal of a request with the given parts ends. It returns
		// false if the request is not refused at now.
		Check(now time.Time, service string, parts []string) (time.Time, bool)
		// RecordStart records that a server has begun at now to answer a request with the
		// given parts.
		RecordStart(now time.Time, service string, parts []string)
		// RecordLoss records at now that a server failed before it began to answer a
		// request.
		RecordLoss(ctx context.Context, now time.Time, loss crash.PartLoss)
	}

	// OriginStore keeps the origins of streams where they outlive all hosts.
	OriginStore interface {
		// Record records the origin of a stream.
		Record(now time.Time, origin streamorigin.Origin)
		// AvoidedVersions returns the software versions of a service at which no stream may
		// begin at now.
		AvoidedVersions(now time.Time, service string) []string
		// Find returns what is stored about the origin of a stream, or nil if that can't be
		// read.
		Find(ctx context.Context, service, requestID string) *streamorigin.Stored
	}

	// Sink writes a response to the caller.
	Sink interface {
		// Start sends the status and the headers.
		Start(status int, header http.Header) error
		// Write sends a part of the body without buffering it.
		Write(part []byte) error
	}

	// Request is a caller's request and the route that it matched.
	Request struct {
		// Metadata holds the values decoded from the headers.
		Metadata      platform.Request
		Route         *route.Route
		ConfigVersion uint64
		Method        string
		// Target is the path and the query as the caller sent them.
		Target string
		Host   string
		Header http.Header
		Body   []byte
		// Fingerprint identifies requests that run the same thing, for the detection of
		// requests that crash servers.
		Fingerprint uint64
		// Workspace is the name of the caller's workspace, or empty.
		Workspace string
		// Priority ranks the request among those of its service, 0 first, if IsRanked is set.
		Priority int
		// IsRanked is set if requests to the service have different priorities.
		IsRanked bool
		Arrived  time.Time
		// Deadline is the earlier of the caller's timeout and the route's.
		Deadline time.Time
		// IsRelayed is set if another host has received the request and has no paths to the
		// servers. Such a request is passed to no further host.
		IsRelayed bool
		// NeedsMostPaths is set on a request that is to be passed only to a host with paths to
		// most of the servers.
		NeedsMostPaths bool
		// IsContinued is set if the caller of that host has a part of the stream, which must
		// go on at SoftwareVersion unless that is empty.
		IsContinued     bool
		SoftwareVersion string
	}

	// Failure is an error response that this host generates.
	Failure struct {
		Status int
		// RetryAfter is the time after which the caller should retry, or zero if the
		// response states none.
		RetryAfter time.Duration
		// Reason is the body of the response.
		Reason string
	}

	// Options configure a Dispatcher.
	Options struct {
		// FailureDomain is this host's.
		FailureDomain string
		// Self is this host's peer address.
		Self   netip.AddrPort
		Budget retrybudget.Limits
		// Rooms grants room at plain servers, or is nil.
		Rooms Rooms
		// PrefillRooms grants room at prefill servers, or is nil.
		PrefillRooms Rooms
	}

	// Dispatcher serves requests. It is safe for concurrent use.
	Dispatcher struct {
		options     Options
		registry    Registry
		pool        *upstream.Pool
		peers       Peers
		quarantine  Quarantine
		originStore OriginStore
		logger      log.Interface
		counters    counters
		origins     *origins
		ranked      *rankedServices
		// background ends with the process. Work that outlives its request uses it
		// instead of the request's context.
		background context.Context

		mu           sync.Mutex
		balancer     *balance.Table
		prefillQueue *prefillqueue.Estimator
		outputLength *outputlength.Estimator
		budgets      map[string]*retrybudget.Budget
		hosts        retrybudget.Hosts
		paths        *serverpath.Table
		// pathChecks are closed when the checks of services that are in progress have their
		// first results.
		pathChecks map[string]chan struct{}
		// relayRejections is when hosts have last rejected requests to services.
		relayRejections map[relayRejection]time.Time
		limits          *serverlimit.Table
		// homes and issuer issue this host's permits for servers with limits.
		homes  *serverlimit.Homes
		issuer *serverlimit.Issuer
		stop   *stop
		// homeFailedAt is when homes of servers last did not respond.
		homeFailedAt map[netip.AddrPort]time.Time
		// restarted are the servers that have started again since they were registered, with the
		// registered start, and endedAt is when connections to servers last ended early.
		restarted map[string]time.Time
		endedAt   map[string]time.Time
		// meanTokens is the moving average of the reserved tokens, by service.
		meanTokens map[string]float64
		// callerRetry detects requests that are retries of their callers, by route.
		callerRetry map[string]*callerretry.Estimator
		// serversVersion is the version of the server list that balancer and
		// prefillQueue were last pruned to.
		serversVersion uint64
	}

	counters struct {
		retries, retriesDenied, decodePrefills, unusedHandles, migrations, migrationsRejected, silences, truncated, mixed, limitedRequests, permitsDenied, relays, relaysRejected *metrics.Counter
	}
)

// New returns a dispatcher whose background work ends with the context background.
func New(background context.Context, options Options, r Registry, pool *upstream.Pool, peers Peers, quarantine Quarantine, originStore OriginStore, logger log.Interface, set *metrics.Set) *Dispatcher {
	d := &Dispatcher{
		background: background, options: options, registry: r, pool: pool, peers: peers, quarantine: quarantine, originStore: originStore, logger: logger, origins: newOrigins(), ranked: newRankedServices(), stop: newStop(),
		balancer: balance.NewTable(), prefillQueue: prefillqueue.NewEstimator(), outputLength: outputlength.NewEstimator(), budgets: make(map[string]*retrybudget.Budget), paths: serverpath.NewTable(), pathChecks: make(map[string]chan struct{}), relayRejections: make(map[relayRejection]time.Time), limits: serverlimit.NewTable(), homes: serverlimit.NewHomes(), issuer: serverlimit.NewIssuer(time.Now()), homeFailedAt: make(map[netip.AddrPort]time.Time), restarted: make(map[string]time.Time), endedAt: make(map[string]time.Time), meanTokens: make(map[string]float64), callerRetry: make(map[string]*callerretry.Estimator),
		counters: counters{
			retries:            set.NewCounter(`hickoryfront_edge_repeats_total`),
			retriesDenied:      set.NewCounter(`hickoryfront_edge_repeats_denied_total`),
			decodePrefills:     set.NewCounter(`hickoryfront_edge_prompts_read_at_decode_total`),
			migrations:         set.NewCounter(`hickoryfront_edge_runs_moved_total`),
			migrationsRejected: set.NewCounter(`hickoryfront_edge_runs_moved_rejected_total`),
			unusedHandles:      set.NewCounter(`hickoryfront_edge_handles_unused_total`),
			silences:           set.NewCounter(`hickoryfront_edge_silent_streams_total`),
			mixed:              set.NewCounter(`hickoryfront_edge_mixed_streams_total`),
			truncated:          set.NewCounter(`hickoryfront_edge_truncated_streams_total`),
			limitedRequests:    set.NewCounter(`hickoryfront_edge_limited_requests_total`),
			permitsDenied:      set.NewCounter(`hickoryfront_edge_permits_denied_total`),
			relays:             set.NewCounter(`hickoryfront_edge_relays_total`),
			relaysRejected:     set.NewCounter(`hickoryfront_edge_relays_rejected_total`),
		},
	}
	set.NewGauge(`hickoryfront_edge_services_without_path`, d.lostPaths)
	return d
}

// Serve runs a request on backend servers and writes the response to sink. The
// error is a *Failure if nothing was sent to the caller yet, and ErrTruncated if a
// part of the response was.
func (d *Dispatcher) Serve(ctx context.Context, r *Request, sink Sink) error {
	if failure := d.checkCrashes(time.Now(), r); failure != nil {
		return failure
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ctx, stop := d.stop.bind(ctx)
	defer stop()
	if !r.IsRelayed && !d.hasPaths(r.Route.Service) {
		if err := d.relay(ctx, r, sink); !errors.Is(err, errNoRelay) {
			return relayFailure(ctx, err)
		}
	}
	d.countRequest(r)
	if r.Route.Kind == route.Streaming && r.Route.IsGeneration {
		return d.serveGeneration(ctx, r, sink)
	}
	return d.servePlain(ctx, r, sink)
}

// ReportLoss records another host's report that a server failed while it ran the
// request with the given fingerprint.
func (d *Dispatcher) ReportLoss(now time.Time, fingerprint uint64, server string) {
	failed := serverlist.Server{ID: server}
	for _, s := range d.servers() {
		if s.ID == server {
			failed = s
		}
	}
	d.quarantine.ReportRequestLoss(now, fingerprint, failureOf(now, failed))
}

// ReportReplaced records another host's report that another process listens at a
// server's address.
func (d *Dispatcher) ReportReplaced(now time.Time, server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.MarkEnded(now, server)
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%d: %s", f.Status, f.Reason)
}

// checkCrashes returns why a request is refused at now because it would probably crash
// servers, or nil if it is not refused.
func (d *Dispatcher) checkCrashes(now time.Time, r *Request) *Failure {
	if until, isRefused := d.quarantine.Check(now, r.Route.Service, r.sharedParts()); isRefused {
		return &Failure{Status: http.StatusServiceUnavailable, RetryAfter: until.Sub(now), Reason: "parts of the prompt have crashed backend servers"}
	}
	if d.quarantine.IsRefused(now, r.Fingerprint) {
		return &Failure{Status: http.StatusServiceUnavailable, Reason: "request has crashed backend servers"}
	}
	return nil
}

func (d *Dispatcher) countRequest(r *Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budgetOf(r).RecordRequest(r.Arrived)
}

// budgetOf returns the retry budget of the request's service. The caller holds mu.
func (d *Dispatcher) budgetOf(r *Request) *retrybudget.Budget {
	budget, ok := d.budgets[r.Route.Service]
	if !ok {
		budget = retrybudget.New(r.Arrived, d.options.Budget)
		d.budgets[r.Route.Service] = budget
	}
	return budget
}

// takeRetry takes one retry at now from the budget of the request's service. It reports
// false if the budget is used up.
func (d *Dispatcher) takeRetry(now time.Time, r *Request) bool {
	if d.reserveRetry(now, r) {
		d.counters.retries.Inc()
		return true
	}
	d.counters.retriesDenied.Inc()
	return false
}

// reserveRetry takes one retry at now from the budget of the request's service, for a send
// that may turn out to be one. It reports false if the budget is used up.
func (d *Dispatcher) reserveRetry(now time.Time, r *Request) bool {
	hosts := d.registry.HostCount()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts.Observe(now, hosts)
	return d.budgetOf(r).Allow(now, d.hosts.Max())
}

// returnRetry returns a retry that was taken at taken and did not become one.
func (d *Dispatcher) returnRetry(taken time.Time, r *Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budgetOf(r).ReturnRetry(taken)
}

// hasRetry reports whether the budget of the request's service allows a retry. It
// takes nothing from the budget.
func (d *Dispatcher) hasRetry(r *Request) bool {
	hosts, now := d.registry.HostCount(), time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts.Observe(now, hosts)
	return d.budgetOf(r).CanRetry(now, d.hosts.Max())
}

// recordRetry takes one retry from the budget unconditionally, for a send that could not
// be omitted.
func (d *Dispatcher) recordRetry(r *Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.retries.Inc()
	d.budgetOf(r).RecordRetry(time.Now())
}

// pick returns the best server for a plain request.
func (d *Dispatcher) pick(criteria balance.Criteria) (serverlist.Server, bool) {
	servers := d.servers()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.Pick(time.Now(), servers, criteria)
}

// rankServers returns the servers that may have free capacity, best first.
func (d *Dispatcher) rankServers(criteria balance.Criteria) []serverlist.Server {
	servers := d.servers()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.Rank(time.Now(), servers, criteria)
}

// servers returns the current server list. When the list has changed, servers drops
// the state kept for servers that are no longer listed.
func (d *Dispatcher) servers() []serverlist.Server {
	snapshot, hosts := d.registry.Servers(), d.registry.Hosts()
	if toReport := d.origins.observe(time.Now(), snapshot, hosts, d.registry.IsStoreUnreachable()); len(toReport) > 0 {
		go d.runReportOrigins(toReport) // choosing the hosts for many origins takes long
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.homes.Observe(time.Now(), hosts)
	if snapshot.Version != d.serversVersion {
		d.serversVersion = snapshot.Version
		d.balancer.Retain(time.Now(), snapshot.Servers)
		d.prefillQueue.Retain(snapshot.Servers)
		d.retainRestarted(snapshot.Servers)
		d.limits.Retain(time.Now(), snapshot.Servers)
		d.issuer.Retain(func(server string) bool { _, ok := d.limits.Newest(server); return ok })
	}
	return snapshot.Servers
}

// pickPrefill returns the prefill server with the shortest estimated wait, and that
// wait. It skips the servers in tried.
func (d *Dispatcher) pickPrefill(r *Request, tried []string, domain string) (serverlist.Server, time.Duration, bool) {
	candidates := d.rankServers(balance.Criteria{Service: r.Route.Service, Stage: serverlist.Prefill, FailureDomain: domain, Excluded: tried})
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.prefillQueue.Pick(time.Now(), candidates, domain)
}

// beginPrefill adds a prompt to a prefill server's queue and returns its entry.
func (d *Dispatcher) beginPrefill(server string, tokens int) prefillqueue.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.prefillQueue.Enqueue(time.Now(), server, tokens)
}

// endPrefill removes a prompt's entry from its prefill server's queue. err is the
// result of the prefill.
func (d *Dispatcher) endPrefill(entry prefillqueue.Entry, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.prefillQueue.Complete(time.Now(), entry)
		return
	}
	d.prefillQueue.Fail(time.Now(), entry, errors.Is(err, errNotRun))
}

// expectedOutputTokens estimates the number of tokens that a request generates.
func (d *Dispatcher) expectedOutputTokens(r *Request) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outputLength.Expect(r.Metadata.OutputHint, r.Metadata.MaxOutputTokens)
}

// meanReservation records the tokens that a request of a service reserves and
// returns the average of the service's requests.
func (d *Dispatcher) meanReservation(service string, tokens int) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	mean, ok := d.meanTokens[service]
	if !ok {
		mean = float64(tokens)
	}
	mean += (float64(tokens) - mean) * reservationWeight
	d.meanTokens[service] = mean
	return mean
}

// firstAttemptAt returns when the caller made its first attempt at a request. A
// caller that retries has less of its timeout left than one at its first attempt,
// and the difference is the time since the first attempt.
func (d *Dispatcher) firstAttemptAt(r *Request) time.Time {
	if r.Metadata.IsResumed {
		return r.Arrived // how long a stream had run before says nothing about retries
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	estimator, ok := d.callerRetry[r.Route.Name]
	if !ok {
		estimator = callerretry.New()
		d.callerRetry[r.Route.Name] = estimator
	}
	return r.Arrived.Add(-estimator.Observe(r.Metadata.TimeLeft))
}

// beginRequest counts a request and its tokens as load of a server, until
// endRequest.
func (d *Dispatcher) beginRequest(server string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.Begin(server, tokens)
}

func (d *Dispatcher) endRequest(server string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.End(server, tokens)
}

// recordResult records the result of an attempt in the server's health.
func (d *Dispatcher) recordResult(server string, result health.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.balancer.Report(now, server, result)
	if result == health.Unreachable || result == health.Broken {
		d.recordEnd(now, server)
	}
}

// markFull records that a server had no free capacity, so that rankServers skips the
// server for a short time.
func (d *Dispatcher) markFull(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.MarkFull(time.Now(), server)
}

// handleMisdirected records that a server's registration is out of date: another
// process listens at its address, or the server has another stage. It finds out
// which in the background.
func (d *Dispatcher) handleMisdirected(server serverlist.Server) {
	d.recordResult(server.ID, health.Unreachable)
	go d.runInspect(server)
}

// runInspect requests the state of a server that has rejected a request. If another
// process responds at the server's address, runInspect reports that to all hosts.
func (d *Dispatcher) runInspect(server serverlist.Server) {
	ctx, cancel := context.WithTimeout(d.background, backgroundTimeout)
	defer cancel()
	reply, err := d.call(ctx, server, platform.ReportCall(server.ID))
	logger := d.logger.WithFields(log.Fields{"server": server.ID, "stage": server.Stage, "address": server.Address})
	switch {
	case err != nil:
		return // the rejection itself is already recorded
	case reply.Status == http.StatusMisdirectedRequest:
		logger.Info("backend server has been replaced")
		d.ReportReplaced(time.Now(), server.ID)
		d.peers.ReportReplaced(d.background, server.ID)
		return
	case reply.Status != http.StatusOK:
		return
	}
	report, err := platform.DecodeReport(reply.Body)
	if err != nil {
		logger.WithError(err).Warn("can't decode the state report of a backend server; ignoring it")
		return
	}
	if report.IsSwitching || report.Stage != server.Stage {
		d.markChangingStage(server.ID)
		logger.Info("backend server is changing its stage")
	}
}

// markChangingStage records that a server is changing its stage, so that rankServers
// skips the server for a short time. After that the server list shows the change.
func (d *Dispatcher) markChangingStage(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.MarkChangingStage(time.Now(), server)
}

// checkReachable checks in the background whether a server has failed, after its
// connection broke while it ran a request. If so, all hosts are notified.
// events is the number of events that the server has sent in response.
func (d *Dispatcher) checkReachable(r *Request, server serverlist.Server, events int) {
	d.suspectPaths(server)
	go d.runCheckReachable(r, server, events)
}

func (d *Dispatcher) runCheckReachable(r *Request, server serverlist.Server, events int) {
	ctx, cancel := context.WithTimeout(d.background, backgroundTimeout)
	defer cancel()
	err := d.pool.Probe(ctx, server.Address)
	if err == nil {
		return
	}
	now := time.Now()
	d.logger.WithError(err).WithFields(r.logFields()).WithFields(log.Fields{"server": server.ID, "fingerprint": r.Fingerprint, "parts": r.partIDs(), "events": events}).Warn("backend server failed while it ran a request")
	d.quarantine.RecordRequestLoss(now, r.Fingerprint, failureOf(now, server))
	d.peers.ReportLoss(d.background, r.Fingerprint, server.ID)
	parts := r.sharedParts()
	if len(parts) == 0 || events > 0 || !errors.Is(err, upstream.ErrRefused) {
		return // a server that does not respond at all may have lost its link
	}
	d.quarantine.RecordLoss(d.background, now, crash.PartLoss{
		Service: r.Route.Service, Parts: parts, RequestID: r.Metadata.ID, Server: server.ID, ServerStarted: server.StartedAt,
	})
}

// send makes one attempt of a request at a server. If the response reports that the
// server's registration is out of date, send records that.
func (d *Dispatcher) send(ctx context.Context, server serverlist.Server, r *Request, a platform.Attempt) (*upstream.Response, error) {
	d.countLimited(server.ID)
	a.ServerID, a.TimeLeft = server.ID, time.Until(r.Deadline)
	a.IsRanked, a.Priority = r.IsRanked && server.Stage != serverlist.NoStage, r.Priority
	sentAt := time.Now()
	response, err := d.pool.Do(ctx, server.Address, upstream.Request{
		ID: r.Metadata.ID, Method: r.Method, Target: r.Target, Host: r.Host,
		Header: platform.RequestHeader(r.Header, a), Body: r.Body,
	})
	if err != nil {
		d.suspectAfterError(ctx, server, err)
		return nil, err
	}
	d.observe(server, response.Metadata)
	if response.Metadata.IsMisdirected {
		d.handleMisdirected(server)
	}
	d.observeAnswer(server, response, sentAt)
	return response, nil
}

// call makes one call of a server's control interface.
func (d *Dispatcher) call(ctx context.Context, server serverlist.Server, call platform.Call) (upstream.Reply, error) {
	reply, err := d.pool.Call(ctx, server.Address, call)
	if err != nil {
		d.suspectAfterError(ctx, server, err)
		return reply, err
	}
	d.observe(server, reply.Metadata)
	return reply, nil
}

// observe takes up what a server's response states about the server itself.
func (d *Dispatcher) observe(server serverlist.Server, response platform.Response) {
	if response.IsMisdirected {
		return // another server has answered
	}
	d.observeLimit(server, response)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if response.RetryAfter > 0 {
		d.balancer.MarkPaused(now, server.ID, response.RetryAfter)
	}
	if response.IsLeaving && d.balancer.MarkLeaving(now, server.ID) {
		d.logger.WithFields(log.Fields{"server": server.ID, "service": server.Service}).Info("backend server says that it is leaving")
	}
}

// takesNoWork reports whether a server takes no new work: it is draining or no longer
// listed, or has said that it is leaving or wants no work for some time.
func (d *Dispatcher) takesNoWork(id string) bool {
	servers := d.registry.Servers().Servers
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.TakesNoWork(time.Now(), id) || isLeaving(servers, id)
}

// plainRetryAfter returns the Retry-After of a plain request that no server has run: the
// time after which a server may be free.
func (d *Dispatcher) plainRetryAfter(r *Request) time.Duration {
	servers := d.servers()
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(shortRetryAfter, d.balancer.PauseLeft(time.Now(), servers, balance.Criteria{Service: r.Route.Service}))
}

// failureOf returns the failure of a server at the given time.
func failureOf(at time.Time, server serverlist.Server) crash.Failure {
	return crash.Failure{Server: server.ID, Started: server.StartedAt, Domain: server.FailureDomain, At: at}
}

// cannotHaveRun reports whether the server of a failed attempt can't have run the
// request.
func cannotHaveRun(err error) bool {
	return errors.Is(err, upstream.ErrNotSent) || errors.Is(err, errNotRun)
}

// finalFailure returns the response to a request that no server has completed. runs
// is the number of servers that may have run it; retryAfter applies only if that is
// zero.
func finalFailure(ctx context.Context, runs int, last error, retryAfter time.Duration) *Failure {
	reason := "no backend server"
	if last != nil {
		reason = last.Error()
	}
	switch {
	case runs == 0:
		return &Failure{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Reason: reason}
	case ctx.Err() != nil:
		return &Failure{Status: http.StatusGatewayTimeout, Reason: reason}
	default:
		return &Failure{Status: http.StatusBadGateway, Reason: reason}
	}
}

// partIDs returns the IDs of the parts of the prompt, in order.
func (r *Request) partIDs() []string {
	ids := make([]string, 0, len(r.Metadata.PromptParts))
	for _, part := range r.Metadata.PromptParts {
		ids = append(ids, part.ID)
	}
	return ids
}

// sharedParts returns the IDs of the parts of the prompt that other requests may share: all
// but the last.
func (r *Request) sharedParts() []string {
	ids := r.partIDs()
	return ids[:max(len(ids)-1, 0)]
}

// logFields returns the fields of every log entry about a request.
func (r *Request) logFields() log.Fields {
	fields := log.Fields{
		"request": r.Metadata.ID, "route": r.Route.Name, "configVersion": r.ConfigVersion,
		"age": time.Since(r.Arrived).Round(time.Millisecond / 10).String(),
	}
	if r.Workspace != "" {
		fields["workspace"] = r.Workspace
	}
	return fields
}
