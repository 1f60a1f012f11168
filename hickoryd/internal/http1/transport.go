package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

type (
	// Transport is an http.RoundTripper that takes no broken response for a complete one. It is
	// safe for concurrent use.
	Transport struct {
		base *http.Transport
	}

	// requestConn is a connection that reports the failure of a request to the reader of the
	// response only. net/http would close the connection on a failed write, and lose a response that
	// the server has sent before the end of the request.
	requestConn struct {
		*Conn
		// isSent is set once bytes of the current request were sent. A request without any may be
		// sent on another connection, so its failure is reported to the writer.
		isSent atomic.Bool
	}

	// body is the body of a response. It ends as complete only with a sound trailer.
	body struct {
		io.ReadCloser
		response *http.Response
	}
)

// NewTransport returns a transport that makes its calls over base, which must not be used by
// others.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &requestConn{Conn: NewConn(socket)}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: expectHead}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, response: response}
	return response, nil
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if trailerErr := CheckTrailer(b.response.Trailer); trailerErr != nil {
			err = trailerErr
		}
	}
	return n, err
}

// expectHead prepares a connection that is about to be used for a request.
func expectHead(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*requestConn); ok {
		c.isSent.Store(false)
		_ = c.ExpectHead(nil) // can't fail without bytes
	}
}

// Write implements io.Writer.
func (c *requestConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.isSent.Store(true)
	}
	if err != nil && c.isSent.Load() {
		return len(p), nil
	}
	return n, err
}
