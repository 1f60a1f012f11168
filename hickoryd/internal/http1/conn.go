// Package http1 tells complete responses of HTTP/1.1 from broken ones where net/http does not
// (RFC 9112).
package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrReset means that a connection has failed, although the kernel reports its end to the reader.
var ErrReset = errors.New("connection failed while the request was sent")

// Conn is a client's connection. The kernel reports a failed connection once, to a read or to a
// write, and its end to all reads after that. A Conn reports the failure to each read, so that it
// isn't taken for the end of a response. It also checks the heads of responses, and fails a read
// with ErrMalformed.
type Conn struct {
	net.Conn

	mu   sync.Mutex // guards head
	head headScanner

	// readErr is the error that ends all reads. Only the reader uses it.
	readErr error

	// writing is held while a write is in progress, and guards writeErr.
	writing  sync.Mutex
	writeErr error // of the first write that failed
}

// NewConn returns a connection over socket, whose first bytes are the head of a response.
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
	if scanErr := c.scan(p[:n]); scanErr != nil {
		n, err = 0, scanErr
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

// ExpectHead prepares for the next response on the connection. It must be called before each
// response but the first. arrived are the bytes of the response that were read already. The error is
// ErrMalformed if they don't belong to a head.
func (c *Conn) ExpectHead(arrived []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScanner{}
	return c.head.scan(arrived)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

func (c *Conn) scan(arrived []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.scan(arrived)
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
	case errors.Is(c.writeErr, syscall.EPIPE): // the server ended its side before it reset the connection
		return io.EOF
	}
	return fmt.Errorf("%w: %w", ErrReset, c.writeErr)
}

// EndsWithConnection reports whether only the end of its connection ends the body of a response. A
// server that crashes, or that gives up the response in order, ends such a body in the same way as a
// complete one.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}
