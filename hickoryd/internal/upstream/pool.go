// Package upstream sends requests to backend servers over kept connections and
// knows whether a request that failed can have reached its server.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	// dialTimeout is the longest wait for a new connection: a server that does
	// not answer for so long is silent.
	dialTimeout = 700 * time.Millisecond
	// silenceTimeout is how long sent bytes may stay unacknowledged. Connections
	// can go silent without a reset.
	silenceTimeout = 2 * time.Second
	// idleTimeout is used where the server does not state its own.
	idleTimeout = 4 * time.Second
	// idleMargin is kept to the server's own timeout, so that a request does not
	// cross its close.
	idleMargin = 700 * time.Millisecond
	// idlePerServer bounds the connections that are kept for one server.
	idlePerServer = 24
	// sweepPeriod is the time between two searches for idle connections that
	// are too old.
	sweepPeriod = time.Second
	// readBuffer is the size of a connection's buffer in bytes.
	readBuffer = 2 << 10
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request reached the server.
	ErrNotSent = errors.New("the request was not sent")
	// ErrMayHaveRun means that the request was sent, at least in part, and its
	// fate is unknown.
	ErrMayHaveRun = errors.New("the request may have run")
)

type (
	// Pool keeps connections to backend servers. It is safe for concurrent use.
	Pool struct {
		dialer net.Dialer
		dials  *metrics.Counter
		reuses *metrics.Counter

		mu   sync.Mutex
		idle map[netip.AddrPort][]*connection
	}
)

// NewPool returns an empty pool whose connections start at the given address.
func NewPool(local netip.Addr, set *metrics.Set) *Pool {
	p := &Pool{
		dials:  set.NewCounter(`hickoryfront_backend_dials_total`),
		reuses: set.NewCounter(`hickoryfront_backend_reuses_total`),
		idle:   make(map[netip.AddrPort][]*connection),
	}
	p.dialer = net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1, // the pool closes idle connections itself
		Control:   setSilenceTimeout,
	}
	if local.IsValid() {
		p.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return p
}

// Run closes connections that were idle for too long, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	for timing.Sleep(ctx, sweepPeriod) == nil {
		p.sweep(time.Now())
	}
	p.closeAll()
}

func (p *Pool) sweep(now time.Time) {
	var old []*connection
	p.mu.Lock()
	for address, held := range p.idle {
		kept := held[:0]
		for _, c := range held {
			if c.isUsable(now) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

func (p *Pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, held := range p.idle {
		for _, c := range held {
			c.close()
		}
	}
	clear(p.idle)
}

// connect returns a kept connection, or a new one.
func (p *Pool) connect(ctx context.Context, address netip.AddrPort) (*connection, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if c.isUsable(time.Now()) && c.isAlive() {
			p.reuses.Inc()
			return c, nil
		}
		c.close()
	}
	p.dials.Inc()
	socket, err := p.dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil, err
	}
	return newConnection(p, address, socket), nil
}

// takeIdle returns the connection that was used last: it is the least likely
// to be closed by the server.
func (p *Pool) takeIdle(address netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.idle[address]
	if len(held) == 0 {
		return nil
	}
	c := held[len(held)-1]
	p.idle[address] = held[:len(held)-1]
	return c
}

func (p *Pool) keep(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.idle[c.address]
	if len(held) >= idlePerServer {
		c.close()
		return
	}
	p.idle[c.address] = append(held, c)
}

// setSilenceTimeout ends connections whose peer acknowledges nothing.
func setSilenceTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// IsReachable reports whether a server accepts a new connection.
func (p *Pool) IsReachable(ctx context.Context, address netip.AddrPort) bool {
	p.dials.Inc()
	socket, err := p.dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return false
	}
	return socket.Close() == nil
}
