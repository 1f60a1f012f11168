package listenlimit

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

var errNotSupported = errors.New("connection has no descriptor")

// connection is a connection of a limited listener.
type connection struct {
	net.Conn
	limiter *Limiter

	mu sync.Mutex
	// since is when the connection became idle, its head or body began, or, without
	// HTTP, when bytes were last read or written.
	since time.Time
	// receiving and atServer are the numbers of requests whose bodies are being read, and that
	// backend servers may have.
	receiving, atServer int
	// isMultiplexed is set if the connection uses HTTP/2, whose heads are not counted.
	isMultiplexed bool
	// isDiscarding is set from the response to a request until the HTTP server has read the rest
	// of its body.
	isDiscarding bool
	// isClosed is set when the connection has ended.
	isClosed bool
	// headBytes is what is taken for heads.
	headBytes int64
	// received is the number of bytes read since since.
	received int64
	// writeStart is when the write in progress began, or zero; written and writing are its
	// bytes so far and in total.
	writeStart       time.Time
	written, writing int64
}

// Read implements net.Conn. Bytes of a head are counted.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.noteRead(n) {
		_ = c.Close() // the peer gets no response, as its head is incomplete
		return 0, ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	c.beginWrite(len(p))
	defer c.endWrite()
	n := 0
	for {
		written, err := c.Conn.Write(p[n:min(n+writeBytes, len(p))])
		n += written
		if err != nil || n == len(p) {
			return n, err
		}
		c.noteWritten(n)
	}
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.end(func() bool { return true })
	return c.Conn.Close()
}

// CloseWrite lets an HTTP server end a response without a reset while the peer still sends.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *connection) SyscallConn() (syscall.RawConn, error) {
	if source, ok := c.Conn.(syscall.Conn); ok {
		return source.SyscallConn()
	}
	return nil, errNotSupported
}

// noteRead counts n bytes that were read. It reports false if they are of a head for which there
// is no memory.
func (c *connection) noteRead(n int) bool {
	c.mu.Lock()
	isHead := c.limiter.options.IsHTTP && c.receiving+c.atServer == 0 && !c.isMultiplexed && !c.isDiscarding
	if !c.limiter.options.IsHTTP || isHead && c.headBytes == 0 {
		c.since, c.received = time.Now(), 0
	}
	c.received += int64(n)
	c.mu.Unlock()
	if !isHead {
		return true
	}
	bytes := int64(n) * headFactor
	heads := c.limiter.options.Heads
	for !heads.TryAcquire(bytes) {
		// Closing idle connections helps only if the memory is short beyond the part for heads.
		isPartFull := bytes > heads.Limit()-heads.Used()
		if !c.limiter.closeOldest(c, isPartFull) {
			return false
		}
	}
	return c.addHead(bytes)
}

func (c *connection) addHead(bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		c.limiter.options.Heads.Release(bytes)
		return false
	}
	c.headBytes += bytes
	return true
}

// setHead replaces what is counted for a head that was parsed.
func (c *connection) setHead(bytes int64) {
	c.limiter.options.Heads.Take(bytes - c.headBytes)
	c.headBytes = bytes
}

// beginRequest records that a head was read. It reports false if the connection has ended.
func (c *connection) beginRequest(headBytes int64, isMultiplexed, hasBody bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return false
	}
	if isMultiplexed { // its requests end in any order
		c.isMultiplexed, headBytes = true, 0
	}
	c.setHead(headBytes)
	c.since, c.received, c.isDiscarding = time.Now(), 0, false
	if hasBody {
		c.receiving++
	} else {
		c.atServer++
	}
	return true
}

// endBody records that the body of a request was read. It reports false if the connection has
// ended, so that the request must not run.
func (c *connection) endBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving--
	c.atServer++
	return !c.isClosed
}

// endRequest records that the handler of a request has returned, with or without having read the
// body. The HTTP server holds the head until noteIdle.
func (c *connection) endRequest(isBodyRead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isBodyRead {
		c.atServer--
	} else {
		c.receiving--
		c.isDiscarding = !c.isMultiplexed
	}
	c.since, c.received = time.Now(), 0
}

// noteIdle records that the HTTP server has finished a request and waits for the next one.
func (c *connection) noteIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.received, c.isDiscarding = time.Now(), 0, false
	if !c.isClosed {
		c.setHead(0)
	}
}

// idleSince returns since when the connection has been idle or incomplete. It reports false if a
// backend server may have a request of it, or if hasHead is set and it holds no head.
func (c *connection) idleSince(hasHead bool) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.atServer == 0 && !c.isClosed && (!hasHead || c.headBytes > 0)
}

// slowBytes returns the bytes that the connection holds, and whether its peer sends a request or
// reads a response below the minimum rate.
func (c *connection) slowBytes(now time.Time) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slow(now)
}

// slow is slowBytes under the lock.
func (c *connection) slow(now time.Time) (int64, bool) {
	if c.isClosed || c.isMultiplexed {
		return 0, false
	}
	start, done, held := c.since, c.received, c.headBytes+c.received
	switch {
	case !c.writeStart.IsZero():
		start, done, held = c.writeStart, c.written, c.writing
	case c.receiving == 0 && (c.atServer > 0 || c.headBytes == 0):
		return 0, false // it is idle, or waits for the response
	}
	elapsed := now.Sub(start)
	return held, elapsed >= slowTime && float64(done) < minRate*elapsed.Seconds()
}

// evictIdle closes the connection unless a backend server may have a request of it by now. It
// reports whether it has closed the connection.
func (c *connection) evictIdle() bool {
	return c.evict(func() bool { return c.atServer == 0 })
}

// evictSlow closes the connection if its peer is still below the minimum rate. It reports whether
// it has closed the connection.
func (c *connection) evictSlow(now time.Time) bool {
	return c.evict(func() bool {
		_, isSlow := c.slow(now)
		return isSlow
	})
}

// evict closes the connection if condition holds, which is called under the lock.
func (c *connection) evict(condition func() bool) bool {
	if !c.end(condition) {
		return false
	}
	_ = c.Conn.Close() // ends the reads and writes in progress
	return true
}

// end ends the accounting of the connection if condition holds. It reports whether it has.
func (c *connection) end(condition func() bool) bool {
	c.mu.Lock()
	isEnded := !c.isClosed && condition()
	if isEnded {
		c.isClosed = true
		c.limiter.options.Heads.Release(c.headBytes)
		c.headBytes = 0
		c.limiter.options.Memory.Release(ConnectionBytes)
	}
	c.mu.Unlock()
	if isEnded {
		c.limiter.remove(c) // without c.mu, which the limiter locks after its own
	}
	return isEnded
}

func (c *connection) beginWrite(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStart, c.written, c.writing = time.Now(), 0, int64(n)
	if !c.limiter.options.IsHTTP {
		c.since = c.writeStart
	}
}

func (c *connection) noteWritten(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = int64(n)
}

func (c *connection) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStart = time.Time{}
}
