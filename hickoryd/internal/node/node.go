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
	// balancerPeriod gives the balancer time to see that the host is not ready.
	balancerPeriod = time.Second
	// defaultHorizon is the retry horizon of profiles that set none.
	defaultHorizon = 10 * time.Minute
	// closePeriod is the time to close connections after the shutdown period
	// or a second signal.
	closePeriod = 5 * time.Second
)

type (
	// Node is the running daemon.
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
		drained      *DrainWatch
		claims       *home.Claims
		keyed        *dispatch.Keyed

		group sync.WaitGroup
		stop  context.CancelFunc
	}

	// runner is a background activity that ends with its context.
	runner interface {
		Run(ctx context.Context)
	}

	parts struct {
		fx.In
		Settings     settings.Settings
		Logger       log.Interface
		Set          *metrics.Set
		Security     *transport.Security
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
		Keeper       *telemetry.SnapshotStore
	}
)

// New returns a daemon that listens but does not serve yet.
func New(p parts) (*Node, error) {
	gin.SetMode(gin.ReleaseMode)
	n := &Node{
		settings: p.Settings, logger: p.Logger, gate: p.Gate, membership: p.Membership, registration: p.Registration,
		canceller: p.Canceller, reservations: p.Reservations, pool: p.Pool, handler: p.Caller, drained: p.Drain,
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
			p.Keeper,
			p.Claims,
		},
		claims: p.Claims, keyed: p.Keyed,
	}
	var err error
	if n.callers, err = newHTTPServer(p.Settings.Listen.Caller, routes(p.Caller), p.Security, p.Logger); err != nil {
		return nil, err
	}
	if n.operators, err = newHTTPServer(p.Settings.Listen.Operator, routes(p.Operator), p.Security, p.Logger); err != nil {
		return nil, err
	}
	n.peers, err = newPeerServer(p.Settings.Listen.Peer, p.PeerServer, p.Security, p.Logger)
	return n, err
}

// Start serves.
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

// Stop lets requests in flight finish and then stops serving. A second signal
// ends it at once.
func (n *Node) Stop(ctx context.Context) error {
	ctx, release := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer release()
	ctx, cancel := context.WithTimeout(ctx, n.settings.Limits.ShutdownPeriod)
	defer cancel()
	n.logger.WithField("inFlight", n.handler.InFlight()).Info("draining")
	n.gate.Drain()
	_ = timing.Sleep(ctx, balancerPeriod) // a second signal ends the pause
	n.awaitIdle(ctx)
	n.keyed.Close(ctx)
	n.claims.Close(ctx)
	_ = n.callers.server.Shutdown(ctx)
	_ = n.callers.server.Close() // cuts what Shutdown has left
	ctx, cancel = closingContext(ctx)
	defer cancel()
	n.awaitHandlers(ctx)
	n.canceller.Close(ctx)
	n.reservations.Close(ctx)
	n.membership.Leave(ctx)
	n.registration.Close(ctx)
	n.stop()
	_ = n.operators.server.Shutdown(ctx)
	n.peers.stop(ctx)
	n.pool.Close()
	n.group.Wait()
	n.logger.Info("stopped")
	return nil
}

func (n *Node) awaitIdle(ctx context.Context) {
	for n.handler.InFlight() > 0 && ctx.Err() == nil {
		_ = timing.Sleep(ctx, drainPollInterval) // the loop sees the end of ctx
	}
	if cut := n.handler.InFlight(); cut > 0 {
		n.logger.WithField("requests", cut).Error("requests cut off: shutdown period over or signalled again")
	}
}

// awaitHandlers lets the handlers whose callers were cut off give their slots
// back.
func (n *Node) awaitHandlers(ctx context.Context) {
	for n.handler.InFlight() > 0 && ctx.Err() == nil {
		_ = timing.Sleep(ctx, drainPollInterval) // the loop sees the end of ctx
	}
}

// closingContext leaves a moment to tell engines and homes when the time to
// shut down is over.
func closingContext(ctx context.Context) (context.Context, context.CancelFunc) {
	const closingTime = time.Second
	if ctx.Err() == nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(context.WithoutCancel(ctx), closingTime)
}
