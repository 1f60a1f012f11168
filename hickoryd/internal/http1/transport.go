package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that takes no broken response for a complete one. It is safe
// for concurrent use.
type Transport struct {
	base *http.Transport
}

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
		return NewConn(socket), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: expectHead}
	return t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// expectHead prepares a connection that is about to be used for a request.
func expectHead(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*Conn); ok {
		_ = c.ExpectHead(nil) // can't fail without bytes
	}
}
