// Package http1 tells complete responses of HTTP/1.1 from broken ones where net/http does not
// (RFC 9112).
package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrReset means that a connection has failed, although the kernel reports its end to the reader.
var ErrReset = errors.New("connection failed while the request was sent")

// Conn is a client's connection. The kernel reports a failed connection once, to a read or to a
// write, and its end to all reads after that. A Conn reports the failure to each read, so that it
// isn't taken for the end of a response.
type Conn struct {
	net.Conn

	// readErr is the error that ends all reads. Only the reader uses it.
	readErr error

	// writing is held while a write is in progress, and guards writeErr.
	writing  sync.Mutex
	writeErr error // of the first write that failed
}

// NewConn returns a connection over socket.
func NewConn(socket net.Conn) *Conn {
	return &Conn{Conn: socket}
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfReads()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// endOfReads returns io.EOF if the server has ended the connection in order, and ErrReset
// otherwise. It ends a write in progress, which may be about to return the failure: no response
// can follow.
func (c *Conn) endOfReads() error {
	if err := c.Conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case c.writeErr == nil, errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return io.EOF
	case errors.Is(c.writeErr, syscall.EPIPE): // reset only after the server had ended its side
		return io.EOF
	}
	return fmt.Errorf("%w: %w", ErrReset, c.writeErr)
}
