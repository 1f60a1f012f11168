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

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/transport"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// minPingInterval is below the interval in which daemons ping connections.
	minPingInterval = 5 * time.Second
)

type (
	// httpServer serves one HTTP address.
	httpServer struct {
		server   *http.Server
		listener net.Listener
		logger   log.Interface
	}

	// peerServer serves the other daemons.
	peerServer struct {
		server   *grpc.Server
		listener net.Listener
		logger   log.Interface
	}
)

func newHTTPServer(address netip.AddrPort, engine *gin.Engine, security *transport.Security, logger log.Interface) (*httpServer, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &httpServer{
		server: &http.Server{
			Handler: engine, TLSConfig: security.Server(), ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		},
		listener: listener,
		logger:   logger,
	}, nil
}

// run serves until the server is shut down.
func (s *httpServer) run() {
	var err error
	if s.server.TLSConfig != nil {
		err = s.server.ServeTLS(s.listener, "", "")
	} else {
		err = s.server.Serve(s.listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		s.logger.WithError(err).Error("server stopped")
	}
}

func newPeerServer(address netip.AddrPort, service peerapi.PeerServer, security *transport.Security, logger log.Interface) (*peerServer, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	server := grpc.NewServer(grpc.Creds(security.PeerServer()),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval}))
	peerapi.RegisterPeerServer(server, service)
	return &peerServer{server: server, listener: listener, logger: logger}, nil
}

// run serves until the server is stopped.
func (s *peerServer) run() {
	if err := s.server.Serve(s.listener); err != nil {
		s.logger.WithError(err).Error("peer server stopped")
	}
}

func (s *peerServer) stop(ctx context.Context) {
	timer := time.AfterFunc(time.Until(deadlineOf(ctx)), s.server.Stop)
	defer timer.Stop()
	s.server.GracefulStop()
}

func deadlineOf(ctx context.Context) time.Time {
	const stopPeriod = 2 * time.Second
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(stopPeriod)
}
