// Package upstream sends requests to backend servers over pooled connections. Its
// errors state whether a failed request may have reached its server.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/memoryledger"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/http1"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/tcp"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	// dialTimeout bounds the wait for a new connection. A server that takes longer
	// counts as unresponsive.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged. A connection can
	// stop working without a reset.
	unackedTimeout = 2 * time.Second
	// idleTimeout is how long a connection may be idle if the server states no
	// timeout in its Keep-Alive header.
	idleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout that the server states, so that no
	// request is sent while the server closes the connection.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 24
	// sweepPeriod is the time between two sweeps, which close the connections that
	// have been idle too long.
	sweepPeriod = time.Second
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2 << 10
)

// Errors of Pool.
var (
	// ErrNotSent means that no byte of the request reached the server.
	ErrNotSent = errors.New("the request was not sent")
	// ErrMayHaveRun means that at least a part of the request was sent, and that it
	// is unknown whether the server ran the request.
	ErrMayHaveRun = errors.New("the request may have run")
	// ErrRefused means that no process listens at the server's address.
	ErrRefused = errors.New("connection refused")
)

type (
	// Pool holds the idle connections to backend servers for reuse. It is safe for
	// concurrent use.
	Pool struct {
		dialer net.Dialer
		dials  *metrics.Counter
		reuses *metrics.Counter
		memory *memoryledger.Ledger // or nil

		mu   sync.Mutex
		idle map[netip.AddrPort][]*connection
	}
)

// NewPool returns an empty pool. Its connections use the local address, if valid, as
// their source.
func NewPool(local netip.Addr, set *metrics.Set) *Pool {
	p := &Pool{
		dials:  set.NewCounter(`hickoryfront_backend_dials_total`),
		reuses: set.NewCounter(`hickoryfront_backend_reuses_total`),
		idle:   make(map[netip.AddrPort][]*connection),
	}
	p.dialer = net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1, // the pool closes idle connections itself
		Control:   tcp.LimitUnacked(unackedTimeout),
	}
	if local.IsValid() {
		p.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return p
}

// Run closes the connections that have been idle too long until ctx ends. Then it
// closes all idle connections.
func (p *Pool) Run(ctx context.Context) {
	for timing.Sleep(ctx, sweepPeriod) == nil {
		p.sweep(time.Now())
	}
	p.closeAll()
}

func (p *Pool) sweep(now time.Time) {
	var expired []*connection
	p.mu.Lock()
	for address, connections := range p.idle {
		usable := connections[:0]
		for _, c := range connections {
			if c.isUsable(now) {
				usable = append(usable, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(usable) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = usable
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

func (p *Pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connections := range p.idle {
		for _, c := range connections {
			c.close()
		}
	}
	clear(p.idle)
}

// connect returns an idle connection that can identify the response to a request, or a new one.
func (p *Pool) connect(ctx context.Context, address netip.AddrPort, r Request) (*connection, error) {
	for {
		c := p.takeIdle(time.Now(), address, r)
		if c == nil {
			break
		}
		if c.isUsable(time.Now()) && c.isAlive() {
			p.reuses.Inc()
			return c, nil
		}
		c.close()
	}
	socket, err := p.dial(ctx, "tcp4", address.String())
	if err != nil {
		return nil, err
	}
	return newConnection(p, address, http1.NewConn(socket)), nil
}

// takeIdle removes the most recently used connection that connect may return from the idle
// ones and returns it, or nil if there is none. The server is least likely to have closed that
// one.
func (p *Pool) takeIdle(now time.Time, address netip.AddrPort, r Request) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.idle[address]
	for i, c := range slices.Backward(connections) {
		if c.canIdentify(now, r) {
			p.idle[address] = slices.Delete(connections, i, i+1)
			return c
		}
	}
	return nil
}

// putIdle adds a connection to the idle ones, or closes the connection if the server
// has maxIdlePerServer of them.
func (p *Pool) putIdle(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.idle[c.address]
	if len(connections) >= maxIdlePerServer {
		c.close()
		return
	}
	p.idle[c.address] = append(connections, c)
}

// HasEnded reports whether the process that listened at a server's address has ended.
func (p *Pool) HasEnded(ctx context.Context, address netip.AddrPort) bool {
	return tcp.HasEnded(ctx, p.dial, address.String())
}

func (p *Pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.dials.Inc()
	return p.dialer.DialContext(ctx, network, address)
}

// Probe checks whether a server accepts a new connection. The error is ErrRefused if
// no process listens at its address.
func (p *Pool) Probe(ctx context.Context, address netip.AddrPort) error {
	socket, err := p.dial(ctx, "tcp4", address.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if err != nil {
		return err
	}
	return socket.Close()
}
