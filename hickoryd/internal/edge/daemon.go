package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"google.golang.org/grpc"

	"github.com/hickoryfront/hickoryfront/core/draining"
	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/callerserver"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgecaller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgehost"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgeorder"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/listenlimit"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/originstore"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/quarantine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/workspacequota"
	"github.com/hickoryfront/hickoryfront/peerapi"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// headerTimeout limits the time in which the headers of a request must arrive.
	headerTimeout = 15 * time.Second
	// idleTimeout is how long a caller's connection may be idle. The limit that the
	// operators set is not longer.
	idleTimeout = 120 * time.Second
	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 64 << 10
	// balancerDelay is the time until the load balancer has detected that this host is
	// draining: two failed readiness checks, one second apart, and their timeouts.
	balancerDelay = 2700 * time.Millisecond
	// drainShare is the part of the grace period after which the requests in flight are
	// aborted, so that the process exits before it is killed.
	drainShare = 0.94
	// peerBufferBytes is the size of each buffer of a connection from another host.
	peerBufferBytes = 4 << 10
	// keepAliveIdle is how long a connection is idle before the first TCP keep-alive
	// probe is sent. Further probes follow at the default interval of the package net.
	keepAliveIdle = 5 * time.Second
)

// Daemon is the process of one host: its listeners and its background loops.
type Daemon struct {
	settings        Settings
	lifetime        *lifetime
	registry        *registry.Registry
	pool            *upstream.Pool
	peers           *edgehost.Client
	handler         *edgecaller.Handler
	dispatcher      *edgedispatch.Dispatcher
	quarantine      *quarantine.Quarantine
	records         *originstore.Records
	quotas          *workspacequota.Quotas
	edgeServer      *edgehost.Server
	stageController *edgeorder.Controller
	logger          log.Interface
	set             *metrics.Set
	memory          *memory

	caller     *callerserver.Server
	ready      *http.Server
	operator   *http.Server
	peerServer *grpc.Server
	isDraining atomic.Bool
	loops      sync.WaitGroup
}

// New returns a daemon. Start starts it.
func New(s Settings, l *lifetime, r *registry.Registry, pool *upstream.Pool, peers *edgehost.Client, handler *edgecaller.Handler, dispatcher *edgedispatch.Dispatcher, q *quarantine.Quarantine, records *originstore.Records, quotas *workspacequota.Quotas, edgeServer *edgehost.Server, stageController *edgeorder.Controller, logger log.Interface, set *metrics.Set, m *memory) *Daemon {
	d := &Daemon{settings: s, lifetime: l, registry: r, pool: pool, peers: peers, handler: handler, dispatcher: dispatcher, quarantine: q, records: records, quotas: quotas, edgeServer: edgeServer, stageController: stageController, logger: logger, set: set, memory: m}
	noLog := stdlog.New(io.Discard, "", 0) // broken connections of callers need no log entry
	caller := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: noLog,
	}
	m.caller.Limit(caller)
	d.caller = callerserver.New(caller)
	d.ready = limitSmall(&http.Server{Handler: d.readiness(), ErrorLog: noLog}, m.ready)
	d.operator = limitSmall(&http.Server{Handler: d.operators(), ErrorLog: noLog}, m.operator)
	d.peerServer = grpc.NewServer(append(m.calls.ServerOptions(hostCalls), grpc.ReadBufferSize(peerBufferBytes), grpc.WriteBufferSize(peerBufferBytes))...)
	peerapi.RegisterEdgeServer(d.peerServer, edgeServer)
	return d
}

// Start opens the listeners and starts the background loops.
func (d *Daemon) Start(ctx context.Context) error {
	for _, s := range []struct {
		address netip.AddrPort
		serve   func(net.Listener) error
		limiter *listenlimit.Limiter
	}{
		{d.settings.Caller, d.caller.Serve, d.memory.caller},
		{d.settings.Ready, d.ready.Serve, d.memory.ready},
		{d.settings.Operator, d.operator.Serve, d.memory.operator},
		{d.settings.Peer, d.peerServer.Serve, d.memory.peer},
	} {
		config := net.ListenConfig{KeepAlive: keepAliveIdle}
		listener, err := config.Listen(ctx, "tcp4", s.address.String())
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		go d.runServer(s.limiter.Wrap(listener), s.serve)
	}
	for _, loop := range []func(context.Context){d.registry.RunServers, d.registry.RunConfiguration, d.registry.RunHosts, d.quarantine.RunWrites, d.quarantine.RunRequestWrites, d.quarantine.RunRefusals, d.records.Run, d.pool.Run, d.stageController.Run} {
		d.loops.Add(1)
		go d.runLoop(loop)
	}
	d.logger.WithFields(log.Fields{"caller": d.settings.Caller, "failureDomain": d.settings.FailureDomain}).Info("daemon started")
	return nil
}

// Stop drains the host and ends the daemon. It first fails the readiness check and lets
// the handler drain, but still accepts connections for balancerDelay, until the load
// balancer sends no more requests. Then it accepts none, ends the idle ones and waits
// for the requests in flight, those of other hosts included, until drainShare of the grace
// period has passed since Stop was called. Shortly before, the dispatcher ends those that are
// left, so that they get an answer. At last it ends the background loops, without
// waiting for them, and closes the other listeners and the connections to callers, operators
// and hosts, which aborts the requests left.
func (d *Daemon) Stop(ctx context.Context) error {
	started := time.Now()
	d.isDraining.Store(true)
	drainEnd := started.Add(time.Duration(drainShare * float64(d.settings.Grace)))
	planned := draining.Stop{OutOfRotation: started.Add(balancerDelay), End: drainEnd}
	d.handler.Drain(planned)
	d.dispatcher.Drain(planned)
	d.edgeServer.DrainRelays()
	d.logger.WithField("inFlight", d.handler.InFlight()).Info("daemon stopping")
	if err := timing.Sleep(ctx, balancerDelay); err != nil {
		d.logger.WithError(err).Warn("stopped before the load balancer could detect the drain")
	}
	drainCtx, cancel := context.WithDeadline(ctx, drainEnd)
	defer cancel()
	if err := d.caller.Drain(drainCtx); err != nil {
		d.logger.WithError(err).WithField("inFlight", d.handler.InFlight()).Warn("requests cut off at the end of the grace period")
	}
	if err := d.edgeServer.AwaitRelays(drainCtx); err != nil {
		d.logger.WithError(err).Warn("requests of other hosts cut off at the end of the grace period")
	}
	d.logger.WithFields(log.Fields{"inFlight": d.handler.InFlight(), "took": time.Since(started).String()}).Info("daemon stopped")
	d.lifetime.end()
	closed := errors.Join(d.caller.Close(), d.ready.Close(), d.operator.Close())
	d.peerServer.Stop()
	d.peers.Close()
	return closed
}

// LogRestartNeeded logs whether the name, the address for callers or the store's address
// has changed in settings that were read again. It compares no other setting and applies
// none: every changed setting applies at the next start only.
func (d *Daemon) LogRestartNeeded(next Settings) {
	d.logger.WithField("restartNeeded", next.Name != d.settings.Name || next.Caller != d.settings.Caller || next.Store != d.settings.Store).Info("settings read again")
}

func (d *Daemon) runServer(listener net.Listener, serve func(net.Listener) error) {
	if err := serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.logger.WithError(err).WithField("address", listener.Addr().String()).Error("listener failed")
	}
}

func (d *Daemon) runLoop(loop func(context.Context)) {
	defer d.loops.Done()
	loop(d.lifetime)
}

// readiness returns the handler of the load balancer's check.
func (d *Daemon) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, d.serveReadiness)
	return mux
}

func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if d.isDraining.Load() || !d.registry.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// operators returns the handler of metrics and state for operators.
func (d *Daemon) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", d.serveMetrics)
	mux.HandleFunc("GET "+hoststate.Path, d.serveState)
	return mux
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	d.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (d *Daemon) serveState(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	isDraining := d.isDraining.Load()
	state := hoststate.State{
		Host: d.settings.Name, FailureDomain: d.settings.FailureDomain, At: now,
		IsReady: !isDraining && d.registry.IsReady(), IsDraining: isDraining, InFlight: d.handler.InFlight(),
	}
	d.registry.Describe(&state)
	d.dispatcher.Describe(now, &state)
	d.quarantine.Describe(now, &state)
	d.records.Describe(&state)
	d.handler.Describe(&state)
	d.quotas.Describe(now, &state)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		d.logger.WithError(err).Debug("operator disconnected before the state was sent")
	}
}
