package http1

import (
	"context"
	"net"
	"net/http"
)

// NewTransport makes the connections of a transport Conns, and returns the transport. It must be
// called before the transport is used.
func NewTransport(transport *http.Transport) *http.Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(socket), nil
	}
	return transport
}
