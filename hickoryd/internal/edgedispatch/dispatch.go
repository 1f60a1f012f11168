// Package edgedispatch serves callers' requests from the platform's backend
// servers: it chooses servers, sends, repeats what may be repeated, and gives
// up what can't be served.
package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
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
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// crashTableSize bounds the fingerprints that are remembered.
	crashTableSize = 4096
	// tokensWeight is the weight of the newest request in the mean reservation: the
	// mean of the last twenty.
	tokensWeight = 0.05
	// releaseTimeout is the longest wait for a reservation to be given back.
	releaseTimeout = time.Second
)

// ErrCut means that the answer has begun and can't be finished.
var ErrCut = errors.New("the answer was cut off")

type (
	// Fleet knows the backend servers and the number of hosts.
	Fleet interface {
		Servers() *registry.Snapshot
		Hosts() int
	}

	// Neighbors hears of servers that were lost with a request in flight.
	Neighbors interface {
		ReportLoss(ctx context.Context, fingerprint uint64, server string)
		// ReportReplaced tells that another process has a server's address.
		ReportReplaced(ctx context.Context, server string)
	}

	// Sink takes an answer for the caller.
	Sink interface {
		// Start sends status and headers.
		Start(status int, header http.Header) error
		// Write sends a part of the body at once.
		Write(part []byte) error
	}

	// Order is a caller's request with its route.
	Order struct {
		Request     platform.Request
		Route       *route.Route
		Version     uint64
		Method      string
		Target      string
		Host        string
		Header      http.Header
		Body        []byte
		Fingerprint uint64
		Arrived     time.Time
		// Deadline is when the caller or the route gives up.
		Deadline time.Time
	}

	// Failure is an answer of the system's own.
	Failure struct {
		Status int
		// RetryAfter tells the caller when to come back, or is zero.
		RetryAfter time.Duration
		Reason     string
	}

	// Options tune the dispatcher.
	Options struct {
		FailureDomain string
		Budget        retrybudget.Limits
	}

	// Dispatcher serves requests. It is safe for concurrent use.
	Dispatcher struct {
		options   Options
		fleet     Fleet
		pool      *upstream.Pool
		neighbors Neighbors
		logger    log.Interface
		counters  counters
		// life ends with the process; work that outlives its request runs in it.
		life context.Context

		mu      sync.Mutex
		table   *balance.Table
		reading *prefillqueue.Estimator
		output  *outputlength.Estimator
		budgets map[string]*retrybudget.Budget
		crashes *crash.Table
		// tokens is the mean reservation, by service.
		tokens map[string]float64
		// patience is that of the callers, by route.
		patience map[string]*callerretry.Estimator
		seen     uint64
	}

	counters struct {
		repeats, denied, preparedLocally, wasted, moved *metrics.Counter
	}
)

// New returns a dispatcher whose background work ends with life.
func New(life context.Context, options Options, f Fleet, pool *upstream.Pool, neighbors Neighbors, logger log.Interface, set *metrics.Set) *Dispatcher {
	return &Dispatcher{
		life: life, options: options, fleet: f, pool: pool, neighbors: neighbors, logger: logger,
		table: balance.NewTable(), reading: prefillqueue.NewEstimator(), output: outputlength.NewEstimator(), budgets: make(map[string]*retrybudget.Budget), crashes: crash.NewTable(crashTableSize), tokens: make(map[string]float64), patience: make(map[string]*callerretry.Estimator),
		counters: counters{
			repeats:         set.NewCounter(`hickoryfront_edge_repeats_total`),
			denied:          set.NewCounter(`hickoryfront_edge_repeats_denied_total`),
			preparedLocally: set.NewCounter(`hickoryfront_edge_prompts_read_at_decode_total`),
			moved:           set.NewCounter(`hickoryfront_edge_runs_moved_total`),
			wasted:          set.NewCounter(`hickoryfront_edge_handles_unused_total`),
		},
	}
}

// Serve answers a request. The error is a *Failure where nothing was sent to the
// caller yet, and ErrCut where the answer has begun.
func (d *Dispatcher) Serve(ctx context.Context, o *Order, sink Sink) error {
	if d.isCrasher(o) {
		return &Failure{Status: http.StatusServiceUnavailable, Reason: "request has crashed backend servers"}
	}
	d.countRequest(o)
	ctx, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	if o.Route.Kind == route.Streaming && o.Route.IsGeneration {
		return d.serveGeneration(ctx, o, sink)
	}
	return d.servePlain(ctx, o, sink)
}

// ReportLoss takes in another host's report that a server was lost while it ran
// a request.
func (d *Dispatcher) ReportLoss(now time.Time, fingerprint uint64, server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes.Report(now, fingerprint, server)
}

// ReportReplaced takes in another host's report that another process has a
// server's address.
func (d *Dispatcher) ReportReplaced(now time.Time, server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.MarkEnded(now, server)
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%d: %s", f.Status, f.Reason)
}

func (d *Dispatcher) isCrasher(o *Order) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes.Check(o.Arrived, o.Fingerprint) == crash.Refuse
}

func (d *Dispatcher) countRequest(o *Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budgetOf(o).RecordRequest(o.Arrived)
}

func (d *Dispatcher) budgetOf(o *Order) *retrybudget.Budget {
	held, ok := d.budgets[o.Route.Service]
	if !ok {
		held = retrybudget.New(o.Arrived, d.options.Budget)
		d.budgets[o.Route.Service] = held
	}
	return held
}

// mayRepeat spends one repeat of a request's service.
func (d *Dispatcher) mayRepeat(o *Order) bool {
	hosts := d.fleet.Hosts()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.budgetOf(o).Allow(time.Now(), hosts) {
		d.counters.repeats.Inc()
		return true
	}
	d.counters.denied.Inc()
	return false
}

// hasRepeat reports whether a repeat of a request's service may be sent.
func (d *Dispatcher) hasRepeat(o *Order) bool {
	hosts := d.fleet.Hosts()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budgetOf(o).CanRetry(time.Now(), hosts)
}

// spendRepeat counts a send that the platform counts as a repeat.
func (d *Dispatcher) spendRepeat(o *Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.repeats.Inc()
	d.budgetOf(o).RecordRetry(time.Now())
}

func (d *Dispatcher) pick(want balance.Criteria) (serverlist.Server, bool) {
	servers := d.servers()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Pick(time.Now(), servers, want)
}

// ranked returns the servers that may have room, best first.
func (d *Dispatcher) ranked(want balance.Criteria) []serverlist.Server {
	servers := d.servers()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Rank(time.Now(), servers, want)
}

func (d *Dispatcher) servers() []serverlist.Server {
	snapshot := d.fleet.Servers()
	d.mu.Lock()
	defer d.mu.Unlock()
	if snapshot.Version != d.seen {
		d.seen = snapshot.Version
		d.table.Retain(snapshot.Servers)
		d.reading.Retain(snapshot.Servers)
	}
	return snapshot.Servers
}

// pickPrefill returns the prefill server that reads a prompt first.
func (d *Dispatcher) pickPrefill(o *Order, tried []string, domain string) (serverlist.Server, time.Duration, bool) {
	candidates := d.ranked(balance.Criteria{Service: o.Route.Service, Stage: serverlist.Prefill, FailureDomain: domain, Excluded: tried})
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reading.Pick(time.Now(), candidates, domain)
}

func (d *Dispatcher) beginReading(server string, tokens int) prefillqueue.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reading.Enqueue(time.Now(), server, tokens)
}

func (d *Dispatcher) endReading(t prefillqueue.Entry, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.reading.Complete(time.Now(), t)
		return
	}
	d.reading.Fail(time.Now(), t, errors.Is(err, errNotRun))
}

func (d *Dispatcher) expectedOutput(o *Order) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.output.Expect(o.Request.OutputHint, o.Request.MaxOutputTokens)
}

// usualTokens takes in what a request of a service reserves and returns what its
// requests do on average.
func (d *Dispatcher) usualTokens(service string, tokens int) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	mean, ok := d.tokens[service]
	if !ok {
		mean = float64(tokens)
	}
	mean += (float64(tokens) - mean) * tokensWeight
	d.tokens[service] = mean
	return mean
}

// askedAt returns when the caller of a request asked for the first time. A
// caller that comes back has less time left than one that asks.
func (d *Dispatcher) askedAt(o *Order) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	held, ok := d.patience[o.Route.Name]
	if !ok {
		held = callerretry.New()
		d.patience[o.Route.Name] = held
	}
	return o.Arrived.Add(-held.Observe(o.Request.TimeLeft))
}

func (d *Dispatcher) begin(server string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Begin(server, tokens)
}

func (d *Dispatcher) end(server string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.End(server, tokens)
}

func (d *Dispatcher) report(server string, result health.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Report(time.Now(), server, result)
}

func (d *Dispatcher) full(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.MarkFull(time.Now(), server)
}

// misdirected takes in that a registration is out of date: its address belongs to
// another process, or the server has another stage.
func (d *Dispatcher) misdirected(server serverlist.Server) {
	d.report(server.ID, health.Unreachable)
	go d.runLookAt(server)
}

// runLookAt asks a server that has rejected a request what it is. The word of
// another process at its address is passed on to all hosts.
func (d *Dispatcher) runLookAt(server serverlist.Server) {
	ctx, cancel := context.WithTimeout(d.life, releaseTimeout)
	defer cancel()
	status, body, err := d.pool.Call(ctx, server.Address, platform.ReportCall(server.ID))
	logger := d.logger.WithFields(log.Fields{"server": server.ID, "stage": server.Stage, "address": server.Address})
	switch {
	case err != nil:
		return // the rejection itself was noted
	case status == http.StatusMisdirectedRequest:
		logger.Info("backend server has been replaced")
		d.ReportReplaced(time.Now(), server.ID)
		d.neighbors.ReportReplaced(d.life, server.ID)
		return
	case status != http.StatusOK:
		return
	}
	report, err := platform.DecodeReport(body)
	if err != nil {
		logger.WithError(err).Warn("report passed over")
		return
	}
	if report.IsSwitching || report.Stage != server.Stage {
		d.changing(server.ID)
		logger.Info("backend server changes its stage")
	}
}

func (d *Dispatcher) changing(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.MarkChangingStage(time.Now(), server)
}

// lost looks, after a connection broke while a server ran a request, whether the
// server is gone, and tells all hosts if so.
func (d *Dispatcher) lost(o *Order, server serverlist.Server) {
	go d.runLost(o.Fingerprint, server)
}

func (d *Dispatcher) runLost(fingerprint uint64, server serverlist.Server) {
	ctx, cancel := context.WithTimeout(d.life, releaseTimeout)
	defer cancel()
	if d.pool.IsReachable(ctx, server.Address) {
		return
	}
	d.logger.WithFields(log.Fields{"server": server.ID, "fingerprint": fingerprint}).Warn("backend server lost while it ran a request")
	d.ReportLoss(time.Now(), fingerprint, server.ID)
	d.neighbors.ReportLoss(d.life, fingerprint, server.ID)
}

// send makes one try of a request at a server. A registration that is out of
// date shows in the answer, and is noted.
func (d *Dispatcher) send(ctx context.Context, server serverlist.Server, o *Order, a platform.Attempt) (*upstream.Response, error) {
	a.ServerID, a.TimeLeft = server.ID, time.Until(o.Deadline)
	answer, err := d.pool.Do(ctx, server.Address, upstream.Request{
		ID: o.Request.ID, Method: o.Method, Target: o.Target, Host: o.Host,
		Header: platform.RequestHeader(o.Header, a), Body: o.Body,
	})
	if err == nil && answer.Metadata.IsMisdirected {
		d.misdirected(server)
	}
	return answer, err
}

// isFree reports whether a failed try can't have run the request.
func isFree(err error) bool {
	return errors.Is(err, upstream.ErrNotSent) || errors.Is(err, errNotRun)
}

// finalFailure returns the final answer where no server's can be had, after so
// many servers may have run the request. retryAfter holds where none has.
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

// fields returns what every line about a request says.
func (o *Order) fields() log.Fields {
	return log.Fields{
		"request": o.Request.ID, "route": o.Route.Name, "configVersion": o.Version,
		"age": time.Since(o.Arrived).Round(time.Millisecond / 10).String(),
	}
}
