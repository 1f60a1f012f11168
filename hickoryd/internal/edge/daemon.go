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

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgecaller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgehost"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgeorder"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/peerapi"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// headerTimeout is the longest time that the headers of a request may take.
	headerTimeout = 15 * time.Second
	// idleTimeout is how long a caller's connection may be idle. The operators'
	// limit is not longer.
	idleTimeout = 120 * time.Second
	// headerBytes bounds the headers of a request.
	headerBytes = 64 << 10
	// balancerPeriod is the time in which the balancer learns that this host is
	// leaving: two checks that fail, one second apart, and their wait.
	balancerPeriod = 2700 * time.Millisecond
	// exitShare is the part of the grace period after which requests in flight
	// are cut off, so that the process ends by itself.
	exitShare = 0.94
	// peerBuffer is the size of a host connection's buffers in bytes.
	peerBuffer = 4 << 10
	// callerProbe is the pause between probes of a caller's silent connection.
	callerProbe = 5 * time.Second
)

// Daemon is the running daemon.
type Daemon struct {
	settings Settings
	life     *life
	registry *registry.Registry
	pool     *upstream.Pool
	hosts    *edgehost.Client
	handler  *edgecaller.Handler
	dispatch *edgedispatch.Dispatcher
	keeper   *edgeorder.Controller
	logger   log.Interface
	set      *metrics.Set

	caller    *http.Server
	ready     *http.Server
	operator  *http.Server
	peers     *grpc.Server
	isLeaving atomic.Bool
	loops     sync.WaitGroup
}

// New returns a daemon that is not started.
func New(s Settings, l *life, r *registry.Registry, pool *upstream.Pool, hosts *edgehost.Client, handler *edgecaller.Handler, dispatch *edgedispatch.Dispatcher, hostServer *edgehost.Server, keeper *edgeorder.Controller, logger log.Interface, set *metrics.Set) *Daemon {
	d := &Daemon{settings: s, life: l, registry: r, pool: pool, hosts: hosts, handler: handler, dispatch: dispatch, keeper: keeper, logger: logger, set: set}
	quiet := stdlog.New(io.Discard, "", 0) // callers' broken connections are not worth a line
	d.caller = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes, ErrorLog: quiet,
	}
	d.ready = &http.Server{Handler: d.readiness(), ReadHeaderTimeout: headerTimeout, ErrorLog: quiet}
	d.operator = &http.Server{Handler: d.operators(), ReadHeaderTimeout: headerTimeout, ErrorLog: quiet}
	d.peers = grpc.NewServer(grpc.ReadBufferSize(peerBuffer), grpc.WriteBufferSize(peerBuffer))
	peerapi.RegisterEdgeServer(d.peers, hostServer)
	return d
}

// Start opens the listeners and starts the loops.
func (d *Daemon) Start(ctx context.Context) error {
	for _, s := range []struct {
		address netip.AddrPort
		serve   func(net.Listener) error
	}{
		{d.settings.Caller, d.caller.Serve},
		{d.settings.Ready, d.ready.Serve},
		{d.settings.Operator, d.operator.Serve},
		{d.settings.Peer, d.peers.Serve},
	} {
		config := net.ListenConfig{KeepAlive: callerProbe}
		listener, err := config.Listen(ctx, "tcp4", s.address.String())
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		go d.runServer(listener, s.serve)
	}
	for _, loop := range []func(context.Context){d.registry.RunServers, d.registry.RunConfiguration, d.registry.RunHosts, d.pool.Run, d.keeper.Run} {
		d.loops.Add(1)
		go d.runLoop(loop)
	}
	d.logger.WithFields(log.Fields{"caller": d.settings.Caller, "failureDomain": d.settings.FailureDomain}).Info("daemon started")
	return nil
}

// Stop lets the balancer turn away, finishes requests in flight and closes.
func (d *Daemon) Stop(ctx context.Context) error {
	started := time.Now()
	d.isLeaving.Store(true)
	until := started.Add(time.Duration(exitShare * float64(d.settings.Grace)))
	d.handler.Drain(until)
	d.logger.WithField("inFlight", d.handler.InFlight()).Info("daemon stopping")
	if err := timing.Sleep(ctx, balancerPeriod); err != nil {
		d.logger.WithError(err).Warn("stop cut short")
	}
	finishing, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	if err := d.caller.Shutdown(finishing); err != nil {
		d.logger.WithError(err).WithField("inFlight", d.handler.InFlight()).Warn("requests cut off at the end of the grace period")
	}
	d.logger.WithFields(log.Fields{"inFlight": d.handler.InFlight(), "took": time.Since(started).String()}).Info("daemon stopped")
	d.life.end()
	closed := errors.Join(d.caller.Close(), d.ready.Close(), d.operator.Close())
	d.peers.Stop()
	d.hosts.Close()
	return closed
}

// Reload takes in a settings file that has changed. What can't change while the
// daemon runs is named.
func (d *Daemon) Reload(next Settings) {
	d.logger.WithField("restartNeeded", next.Name != d.settings.Name || next.Caller != d.settings.Caller || next.Store != d.settings.Store).Info("settings read again")
}

func (d *Daemon) runServer(listener net.Listener, serve func(net.Listener) error) {
	if err := serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.logger.WithError(err).WithField("address", listener.Addr().String()).Error("listener ended")
	}
}

func (d *Daemon) runLoop(loop func(context.Context)) {
	defer d.loops.Done()
	loop(d.life)
}

func (d *Daemon) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, d.serveReadiness)
	return mux
}

func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if d.isLeaving.Load() || !d.registry.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

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
	isLeaving := d.isLeaving.Load()
	state := hoststate.State{
		Host: d.settings.Name, FailureDomain: d.settings.FailureDomain, At: now,
		IsReady: !isLeaving && d.registry.IsReady(), IsLeaving: isLeaving, InFlight: d.handler.InFlight(),
	}
	d.registry.Describe(&state)
	d.dispatch.Describe(now, &state)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		d.logger.WithError(err).Debug("operator left before the state was sent")
	}
}
