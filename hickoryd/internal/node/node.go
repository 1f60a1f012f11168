package node

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/backends"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/caller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/configstore"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/home"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/operator"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/orders"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peerserver"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/settings"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/telemetry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/transport"
)

const (
	drainPollInterval = 50 * time.Millisecond
	// balancerDelay gives the load balancer time to notice that the host is not
	// ready.
	balancerDelay = time.Second
	// defaultRetryHorizon is the retry horizon of profiles that set none.
	defaultRetryHorizon = 10 * time.Minute
	// closeTimeout is the time to close connections after the shutdown period has
	// passed or a second signal has arrived.
	closeTimeout = 5 * time.Second
)

type (
	// Node is one daemon with its listeners and background activities.
	Node struct {
		settings     settings.Settings
		logger       log.Interface
		gate         *Gate
		membership   *peer.Membership
		registration *Registration
		canceller    *dispatch.Canceller
		reservations *home.Reservations
		pool         *peer.Pool
		handler      *caller.Handler
		callers      *httpServer
		operators    *httpServer
		peers        *peerServer
		loops        []runner
		drainWatch   *DrainWatch
		claims       *home.Claims
		keyed        *dispatch.Keyed

		group sync.WaitGroup
		stop  context.CancelFunc
	}

	// runner is a background activity that runs until its context ends.
	runner interface {
		Run(ctx context.Context)
	}

	parts struct {
		fx.In
		Settings     settings.Settings
		Logger       log.Interface
		Set          *metrics.Set
		Security     *transport.Security
		Listeners    *listeners
		Gate         *Gate
		Membership   *peer.Membership
		Registration *Registration
		Canceller    *dispatch.Canceller
		Pool         *peer.Pool
		Store        *configstore.Store
		Sync         *ConfigSync
		Directory    *backends.Directory
		Slots        *home.Slots
		Auditor      *home.Auditor
		Prefixes     *home.Prefixes
		Reservations *home.Reservations
		Caller       *caller.Handler
		Operator     *operator.Handler
		PeerServer   *peerserver.Server
		Claims       *home.Claims
		Keyed        *dispatch.Keyed
		Orders       *orders.Manager
		Drain        *DrainWatch
		Snapshots    *telemetry.SnapshotStore
	}
)

// New returns a daemon whose listeners are open but not yet served.
func New(p parts) (*Node, error) {
	gin.SetMode(gin.ReleaseMode)
	n := &Node{
		settings: p.Settings, logger: p.Logger, gate: p.Gate, membership: p.Membership, registration: p.Registration,
		canceller: p.Canceller, reservations: p.Reservations, pool: p.Pool, handler: p.Caller, drainWatch: p.Drain,
		loops: []runner{
			p.Security,
			p.Directory,
			p.Slots,
			p.Auditor,
			p.Prefixes,
			p.Membership,
			p.Store,
			p.Sync,
			p.Registration,
			p.Orders, p.Drain,
			p.Snapshots,
			p.Claims,
		},
		claims: p.Claims, keyed: p.Keyed,
	}
	var err error
	if n.callers, err = newHTTPServer(p.Settings.Listen.Caller, routes(p.Caller), p.Security, p.Listeners.caller, p.Logger); err != nil {
		return nil, err
	}
	if n.operators, err = newHTTPServer(p.Settings.Listen.Operator, routes(p.Operator), p.Security, p.Listeners.operator, p.Logger); err != nil {
		return nil, err
	}
	n.peers, err = newPeerServer(p.Settings.Listen.Peer, p.PeerServer, p.Security, p.Listeners, p.Logger)
	return n, err
}

// Start serves the listeners and starts the background activities.
func (n *Node) Start(context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.group.Go(n.callers.run)
	n.group.Go(n.operators.run)
	n.group.Go(n.peers.run)
	for _, loop := range n.loops {
		n.group.Go(func() { loop.Run(ctx) })
	}
	n.logger.WithField("caller", n.settings.Listen.Caller.String()).Info("serving")
	return nil
}

// Stop refuses new requests, lets requests in flight finish and then shuts the
// daemon down. A second signal, or the end of the shutdown period, ends the wait
// for requests in flight.
func (n *Node) Stop(ctx context.Context) error {
	ctx, release := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer release()
	ctx, cancel := context.WithTimeout(ctx, n.settings.Limits.ShutdownPeriod)
	defer cancel()
	n.logger.WithField("inFlight", n.handler.InFlight()).Info("draining")
	n.gate.Drain()
	_ = timing.Sleep(ctx, balancerDelay) // an error means a second signal: continue at once
	n.awaitIdle(ctx)
	n.keyed.Close(ctx)
	n.claims.Close(ctx)
	_ = n.callers.server.Drain(ctx)
	_ = n.callers.server.Close() // closes connections that are still active
	ctx, cancel = closingContext(ctx)
	defer cancel()
	n.awaitHandlers(ctx)
	n.canceller.Close(ctx)
	n.reservations.Close(ctx)
	n.membership.Leave(ctx)
	n.registration.Close(ctx)
	n.stop()
	_ = n.operators.server.Drain(ctx)
	n.peers.stop(ctx)
	n.pool.Close()
	n.group.Wait()
	n.logger.Info("stopped")
	return nil
}

// awaitIdle waits until no request is in flight or ctx ends.
func (n *Node) awaitIdle(ctx context.Context) {
	for n.handler.InFlight() > 0 && ctx.Err() == nil {
		_ = timing.Sleep(ctx, drainPollInterval) // the loop condition checks ctx
	}
	if remaining := n.handler.InFlight(); remaining > 0 {
		n.logger.WithField("requests", remaining).Error("requests cut off: shutdown period over or signalled again")
	}
}

// awaitHandlers waits until the handlers of disconnected callers have released
// their slots, or ctx ends.
func (n *Node) awaitHandlers(ctx context.Context) {
	for n.handler.InFlight() > 0 && ctx.Err() == nil {
		_ = timing.Sleep(ctx, drainPollInterval) // the loop condition checks ctx
	}
}

// closingContext returns ctx, or a context with a short timeout if ctx has ended,
// so that engines and homes can still be notified.
func closingContext(ctx context.Context) (context.Context, context.CancelFunc) {
	const notifyTimeout = time.Second
	if ctx.Err() == nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
}
