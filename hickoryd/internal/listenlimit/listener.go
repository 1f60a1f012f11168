// Package listenlimit bounds the connections of a listener and the memory that they hold. Beyond
// a bound it closes the connections that have been idle or incomplete for longest, and never one
// whose request is at a backend server.
package listenlimit

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/memoryledger"
)

const (
	// ConnectionBytes is what a connection is counted as: 1,000 half-way connections took 22 KB
	// each of the resident memory, with the garbage of a heap that may grow by half.
	ConnectionBytes = 16 << 10
	// headFactor is the memory that a byte of a head is counted as while the head is read.
	// Fields of 5 bytes took 30 bytes of resident memory each, fields with different names more.
	headFactor = 16
	// fieldBytes is the memory of a parsed field in addition to its bytes.
	fieldBytes = 128
	// slowTime is the time after which a peer may count as slow, and minRate the rate in bytes
	// per second below which it does.
	slowTime = 500 * time.Millisecond
	minRate  = 16 << 10
	// writeBytes is the size of the pieces in which a response is written, so that the progress
	// of a slow reader can be seen.
	writeBytes = 16 << 10
)

// ErrClosed means that a connection was closed because the listener is at a bound.
var ErrClosed = errors.New("connection closed: too many connections or too little memory")

type (
	// Options are the bounds of a listener.
	Options struct {
		// Name is the listener's label in metrics.
		Name string
		// Connections is the maximum number of connections.
		Connections int
		// Memory holds the connections, and Heads the heads being read and the parsed fields.
		Memory, Heads *memoryledger.Ledger
		// IsHTTP is set if the handler of the connections is wrapped by Limiter.Handler.
		// Otherwise connections without traffic for longest are closed first.
		IsHTTP bool
	}

	// Limiter bounds the connections of a listener. It is safe for concurrent use.
	Limiter struct {
		options Options
		closed  *metrics.Counter
		dropped *metrics.Counter
		refused *metrics.Counter

		mu          sync.Mutex
		connections map[*connection]struct{}
	}

	listener struct {
		net.Listener
		limiter *Limiter
	}
)

// New returns a limiter that counts in set.
func New(o Options, set *metrics.Set) *Limiter {
	label := `{listener="` + o.Name + `"}`
	l := &Limiter{
		options: o, connections: make(map[*connection]struct{}),
		closed:  set.NewCounter(`hickoryfront_connections_closed_total` + label),
		dropped: set.NewCounter(`hickoryfront_slow_peers_dropped_total` + label),
		refused: set.NewCounter(`hickoryfront_connections_refused_total` + label),
	}
	set.NewGauge(`hickoryfront_connections`+label, func() float64 { return float64(l.count()) })
	set.NewGauge(`hickoryfront_connections_max`+label, func() float64 { return float64(o.Connections) })
	o.Memory.SetRelief(func(int64) bool { return l.closeOldest(nil, false) })
	return l
}

// Wrap returns a listener with the bounds.
func (l *Limiter) Wrap(base net.Listener) net.Listener {
	return &listener{base, l}
}

// Relieve closes the peer below the minimum rate that holds most, and reports whether there was
// one. Requests at backend servers are not affected, except those whose callers don't read.
func (l *Limiter) Relieve(int64) bool {
	now := time.Now()
	l.mu.Lock()
	var worst *connection
	most := int64(-1)
	for c := range l.connections {
		if held, isSlow := c.slowBytes(now); isSlow && held > most {
			worst, most = c, held
		}
	}
	l.mu.Unlock()
	if worst == nil || !worst.evictSlow(now) {
		return false
	}
	l.dropped.Inc()
	return true
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.limiter.add(socket); ok {
			return c, nil
		}
		l.limiter.refused.Inc()
		_ = socket.Close() // nothing was read from it
	}
}

func (l *Limiter) add(socket net.Conn) (*connection, bool) {
	for l.count() >= l.options.Connections {
		if !l.closeOldest(nil, false) {
			return nil, false
		}
	}
	if !l.options.Memory.Acquire(ConnectionBytes) {
		return nil, false
	}
	c := &connection{Conn: socket, limiter: l, since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[c] = struct{}{}
	return c, true
}

// closeOldest closes the connection that has been idle or incomplete for longest, other than
// except, and reports whether there was one. With hasHead it closes only one that holds a head.
func (l *Limiter) closeOldest(except *connection, hasHead bool) bool {
	l.mu.Lock()
	var oldest *connection
	var from time.Time
	for c := range l.connections {
		if since, ok := c.idleSince(hasHead); ok && c != except && (oldest == nil || since.Before(from)) {
			oldest, from = c, since
		}
	}
	l.mu.Unlock()
	if oldest == nil {
		return false
	}
	if oldest.evictIdle() {
		l.closed.Inc()
	}
	return true // it has ended, or a request has begun on it meanwhile
}

func (l *Limiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

func (l *Limiter) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
}
