package listenlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

type (
	connectionKey struct{}

	// body is the body of a request. When it was read, the request may go to a backend server.
	body struct {
		io.ReadCloser
		connection *connection
		isRead     atomic.Bool
	}
)

// Limit makes a server tell the limiter about its requests. It must be called before the server
// serves, and before the server's handler is wrapped otherwise.
func (l *Limiter) Limit(server *http.Server) {
	base := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(base, w, r) })
	server.ConnContext = withConnection
	server.ConnState = noteState
}

// noteState implements the hook http.Server.ConnState.
func noteState(socket net.Conn, state http.ConnState) {
	if c, ok := limited(socket); ok && state == http.StateIdle {
		c.noteIdle()
	}
}

// withConnection adds a connection to the context of its requests.
func withConnection(ctx context.Context, socket net.Conn) context.Context {
	if c, ok := limited(socket); ok {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	return ctx
}

// limited returns the connection of a limited listener that socket wraps.
func limited(socket net.Conn) (*connection, bool) {
	for {
		if c, ok := socket.(*connection); ok {
			return c, true
		}
		wrapper, ok := socket.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		socket = wrapper.NetConn()
	}
}

// serve serves a request unless its connection was closed while its head was read.
func serve(base http.Handler, w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		base.ServeHTTP(w, r)
		return
	}
	hasBody := r.ContentLength != 0
	if !c.beginRequest(headBytes(r), r.ProtoMajor > 1, hasBody) {
		panic(http.ErrAbortHandler)
	}
	b := &body{ReadCloser: r.Body, connection: c}
	b.isRead.Store(!hasBody)
	if hasBody {
		r.Body = b
	}
	defer func() { c.endRequest(b.isRead.Load()) }()
	base.ServeHTTP(w, r)
}

// headBytes returns what the parsed head of a request is counted as.
func headBytes(r *http.Request) int64 {
	total := len(r.RequestURI)
	for name, values := range r.Header {
		total += fieldBytes + len(name)
		for _, value := range values {
			total += fieldBytes/4 + len(value)
		}
	}
	return int64(total)
}

// Read implements io.Reader. The last bytes are returned only if the connection is still open.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.isRead.CompareAndSwap(false, true) && !b.connection.endBody() {
		return 0, ErrClosed
	}
	return n, err
}
