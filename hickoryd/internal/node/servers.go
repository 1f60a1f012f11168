package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/gin-gonic/gin"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/callerserver"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/listenlimit"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/transport"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// minPingInterval is shorter than the interval of the daemons' keepalive pings,
	// so that the server never closes a connection for too many pings.
	minPingInterval = 5 * time.Second
)

type (
	// httpServer serves one HTTP address.
	httpServer struct {
		server   *callerserver.Server
		listener net.Listener
		logger   log.Interface
	}

	// peerServer serves the other daemons over gRPC.
	peerServer struct {
		server   *grpc.Server
		listener net.Listener
		logger   log.Interface
	}
)

func newHTTPServer(address netip.AddrPort, engine *gin.Engine, security *transport.Security, limiter *listenlimit.Limiter, logger log.Interface) (*httpServer, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: engine, TLSConfig: security.Server(), ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	limiter.Limit(server)
	return &httpServer{server: callerserver.New(server), listener: limiter.Wrap(listener), logger: logger}, nil
}

// run serves until the server is shut down.
func (s *httpServer) run() {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.logger.WithError(err).Error("HTTP server failed")
	}
}

func newPeerServer(address netip.AddrPort, service peerapi.PeerServer, security *transport.Security, l *listeners, logger log.Interface) (*peerServer, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	server := grpc.NewServer(append(l.calls.ServerOptions(peerCalls), grpc.Creds(security.PeerServer()),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval}))...)
	peerapi.RegisterPeerServer(server, service)
	return &peerServer{server: server, listener: l.peer.Wrap(listener), logger: logger}, nil
}

// run serves until the server is stopped.
func (s *peerServer) run() {
	if err := s.server.Serve(s.listener); err != nil {
		s.logger.WithError(err).Error("peer server failed")
	}
}

// stop waits for calls in flight and cuts them off at the deadline.
func (s *peerServer) stop(ctx context.Context) {
	timer := time.AfterFunc(time.Until(deadlineOf(ctx)), s.server.Stop)
	defer timer.Stop()
	s.server.GracefulStop()
}

// deadlineOf returns the deadline of ctx, or a default if ctx has none.
func deadlineOf(ctx context.Context) time.Time {
	const stopTimeout = 2 * time.Second
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(stopTimeout)
}
