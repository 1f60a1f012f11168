// Package callerserver serves callers over HTTP and drains their connections.
package callerserver

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pollInterval is the time between two searches for idle connections of a draining
	// server.
	pollInterval = 10 * time.Millisecond
	// firstRequestTime is how long a connection may take to send the first byte of its
	// first request while the server drains.
	firstRequestTime = time.Second
)

// ErrStillActive means that a connection was active when the time for draining ended.
var ErrStillActive = errors.New("connections still active; close the server to abort their requests")

// Server is an HTTP server that can be drained without losing requests.
// http.Server.Shutdown closes a connection without a response if it reads a request
// while the server shuts down, and resets a connection whose request isn't read yet. It
// is safe for concurrent use.
type Server struct {
	server  *http.Server
	handler http.Handler
	// connState is the hook of the settings.
	connState  func(net.Conn, http.ConnState)
	isDraining atomic.Bool
	isClosed   atomic.Bool

	serving     sync.WaitGroup
	mu          sync.Mutex
	listeners   []net.Listener
	connections map[*connection]struct{} // without those that use HTTP/2
}

// New returns a server that uses the settings and the handler of base. Both must not be
// used otherwise.
func New(base *http.Server) *Server {
	s := &Server{server: base, handler: base.Handler, connState: func(net.Conn, http.ConnState) {}, connections: make(map[*connection]struct{})}
	base.Handler = http.HandlerFunc(s.serveHTTP)
	if base.ConnState != nil {
		s.connState = base.ConnState
	}
	base.ConnState = s.trackState
	return s
}

// Serve accepts connections from l until the server is drained or closed, and then
// returns http.ErrServerClosed. It uses TLS if the settings include a TLS configuration.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return errors.Join(http.ErrServerClosed, l.Close())
	}
	defer s.serving.Done()
	tracked := &listener{Listener: l, server: s}
	var err error
	if s.server.TLSConfig != nil {
		err = s.server.ServeTLS(tracked, "", "")
	} else {
		err = s.server.Serve(tracked)
	}
	if s.isDraining.Load() && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// Drain closes the listeners and waits until each connection has ended: an idle one ends
// at once, all others after their current request. Its error wraps ErrStillActive if ctx
// ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.closeListeners()
	s.serving.Wait() // from here on, no connection is added
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		active := s.endIdle(time.Now())
		if active == 0 {
			return s.drainHTTP2(ctx)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d %w: %w", active, ErrStillActive, ctx.Err())
		case <-ticker.C:
		}
	}
}

// Close closes the listeners and all connections. A request that is read later isn't
// passed to the handler.
func (s *Server) Close() error {
	s.isClosed.Store(true)
	s.closeListeners()
	if err := s.server.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil // the listeners were closed already
}

// drainHTTP2 shuts the server down once no connection uses HTTP/1. HTTP/2 tells the
// caller which requests were accepted, so Shutdown loses none.
func (s *Server) drainHTTP2(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err == nil || errors.Is(err, net.ErrClosed) { // the listeners are closed already
		return nil
	}
	return fmt.Errorf("HTTP/2 %w: %w", ErrStillActive, err)
}

// addListener returns false if the server accepts no more connections.
func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDraining.Load() {
		return false
	}
	s.serving.Add(1)
	s.listeners = append(s.listeners, l)
	return true
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining.Store(true)
	for _, l := range s.listeners {
		_ = l.Close() // Serve returns the error
	}
}

// endIdle ends the idle connections and returns the number of connections left.
func (s *Server) endIdle(now time.Time) int {
	s.mu.Lock()
	connections := slices.Collect(maps.Keys(s.connections))
	s.mu.Unlock()
	for _, c := range connections {
		c.endIfIdle(now)
	}
	return len(connections)
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isClosed.Load() {
		panic(http.ErrAbortHandler)
	}
	if s.isDraining.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// trackState implements the hook http.Server.ConnState.
func (s *Server) trackState(socket net.Conn, state http.ConnState) {
	s.connState(socket, state)
	isHTTP2 := false
	if secure, ok := socket.(*tls.Conn); ok {
		isHTTP2 = state == http.StateIdle && secure.ConnectionState().NegotiatedProtocol == "h2"
		socket = secure.NetConn()
	}
	c := socket.(*connection)
	switch {
	case state == http.StateClosed, state == http.StateHijacked, isHTTP2:
		s.remove(c)
	case state == http.StateIdle:
		c.setIdle()
	case state == http.StateActive: // the request may have been read together with the one before
		c.setActive()
	}
}

func (s *Server) add(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[c] = struct{}{}
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}
