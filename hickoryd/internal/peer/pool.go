// Package peer is the client side of the protocol between the daemons: the
// heartbeats that maintain the view of the fleet, the connections to the other
// daemons, and the conversion between core types and messages.
package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	connectTimeout   = time.Second
	// maxHeaderBytes bounds the header fields of a response.
	maxHeaderBytes = 16 << 10
)

// reconnect retries after short pauses, because a daemon that has just started is
// needed immediately.
var reconnect = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

// Pool holds one connection to each daemon. It is safe for concurrent use.
type Pool struct {
	credentials credentials.TransportCredentials
	dialer      net.Dialer

	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn
}

// NewPool returns an empty pool. Connections originate from the source address,
// so that firewalls see each daemon under the address on which it serves.
func NewPool(creds credentials.TransportCredentials, source netip.Addr) *Pool {
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))}
	return &Pool{credentials: creds, dialer: dialer, conns: map[netip.AddrPort]*grpc.ClientConn{}}
}

// Client returns a client of the daemon at address.
func (p *Pool) Client(address netip.AddrPort) (peerapi.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return peerapi.NewPeerClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(p.credentials),
		grpc.WithContextDialer(p.dial), grpc.WithMaxHeaderListSize(maxHeaderBytes),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}))
	if err != nil {
		return nil, err
	}
	p.conns[address] = conn
	return peerapi.NewPeerClient(conn), nil
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	return p.dialer.DialContext(ctx, "tcp", address)
}

// Heartbeat implements Transport.
func (p *Pool) Heartbeat(ctx context.Context, to netip.AddrPort, request *peerapi.HeartbeatRequest) (*peerapi.HeartbeatResponse, error) {
	client, err := p.Client(to)
	if err != nil {
		return nil, err
	}
	return client.Heartbeat(ctx, request)
}

// Probe implements Transport.
func (p *Pool) Probe(ctx context.Context, to netip.AddrPort, request *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error) {
	client, err := p.Client(to)
	if err != nil {
		return nil, err
	}
	return client.Probe(ctx, request)
}

// Drop closes the connection to a daemon that has failed or left.
func (p *Pool) Drop(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		conn.Close()
		delete(p.conns, address)
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		conn.Close()
		delete(p.conns, address)
	}
}
