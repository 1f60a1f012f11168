package callerserver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

type (
	// listener accepts connections that the server tracks.
	listener struct {
		net.Listener
		server *Server
	}

	// connection is a caller's connection. Only its reader decides that it ends idle, so
	// that it never ends between the arrival of a request and its response.
	connection struct {
		net.Conn
		acceptedAt time.Time

		mu sync.Mutex
		// readDeadline is the deadline that the HTTP server has set.
		readDeadline time.Time
		// isUsed is false until the first byte was read.
		isUsed bool
		// isIdle is true from a response, or from the start, until the next byte was read.
		isIdle bool
		// isEnding makes an idle connection end unless bytes have arrived already.
		isEnding bool
	}
)

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: socket, acceptedAt: time.Now(), isIdle: true}
	l.server.add(c)
	return c, nil
}

// Read implements net.Conn. On an idle connection that is to end, it returns io.EOF
// instead of waiting.
func (c *connection) Read(p []byte) (int, error) {
	if c.endsIdle() {
		return c.readArrived(p)
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.endsIdle() {
		return c.readArrived(p)
	}
	c.noteRead(n)
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// CloseWrite lets the HTTP server end a response without a reset while the caller still
// sends.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the connection that c tracks.
func (c *connection) NetConn() net.Conn {
	return c.Conn
}

// readArrived reads the bytes that have arrived, without waiting. The result is io.EOF if
// there are none.
func (c *connection) readArrived(p []byte) (int, error) {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, io.EOF
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil { // a past deadline prevents the read
		return 0, err
	}
	n := 0
	err = raw.Read(func(descriptor uintptr) bool {
		for {
			var readErr error
			n, readErr = syscall.Read(int(descriptor), p)
			if !errors.Is(readErr, syscall.EINTR) {
				return true
			}
		}
	})
	if err != nil {
		return 0, err
	}
	if n <= 0 {
		return 0, io.EOF
	}
	c.noteRead(n)
	return n, nil
}

// endIfIdle makes the connection end if it is idle.
func (c *connection) endIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle || c.isEnding || (!c.isUsed && now.Sub(c.acceptedAt) < firstRequestTime) {
		return
	}
	c.isEnding = true
	_ = c.Conn.SetReadDeadline(now) // wakes the reader; an error means that the connection is closed
}

// noteRead records that n bytes were read.
func (c *connection) noteRead(n int) {
	if n > 0 {
		c.setActive()
	}
}

func (c *connection) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle && c.isEnding {
		_ = c.Conn.SetReadDeadline(c.readDeadline) // an error means that the connection is closed
	}
	c.isUsed, c.isIdle = true, false
}

func (c *connection) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle = true
}

func (c *connection) endsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIdle && c.isEnding
}
