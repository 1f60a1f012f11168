package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/http1"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// inlineRequestBytes is the maximum size of a request that is written completely
	// before the response is read. Such a request fits into the socket's buffer.
	inlineRequestBytes = 4 << 10
	// maxInternalReadBytes bounds each body that this package reads itself: of a response
	// to Call, and of a skipped response to another request.
	maxInternalReadBytes = 64 << 10
	// maxHeadBytes bounds the head of a response: its status line and headers, and the part
	// of the body that is read together with them.
	maxHeadBytes = 64 << 10
	// maxReadResponses bounds the responses that are read for one request: its own, and
	// those skipped before it, which are informational or belong to another request.
	maxReadResponses = 4
	// settleTime is the time within which a server that has sent an earlier response once more also
	// sends the one that it owes.
	settleTime = 20 * time.Millisecond
	// maxNotRun is the number of requests that were not run after which a connection is not
	// reused.
	maxNotRun = 32
)

type (
	// Request is one request to a backend server.
	Request struct {
		// ID is the request ID that the response echoes. A response that names another ID, or
		// on a reused connection none, is skipped. It is empty for calls, whose responses
		// name no ID.
		ID string
		// IsTentative is set for a call that may be taken for rejected although it was not.
		IsTentative bool
		Method      string
		// Target is the path and query in the encoding in which they are sent.
		Target string
		Host   string
		Header http.Header
		Body   []byte
	}

	// Reply is the complete response to a call of a server's control interface.
	Reply struct {
		Status int
		// Metadata is what the platform's headers state about the response.
		Metadata platform.Response
		// Body has at most maxInternalReadBytes.
		Body []byte
	}

	// Response is a backend server's response. The caller must close it.
	Response struct {
		*http.Response
		// Metadata is what the platform's headers state about the response.
		Metadata platform.Response

		connection *connection
		body       *trackedBody
		// stop keeps a later end of the context from closing the connection. It returns
		// false if the context has already ended.
		stop   func() bool
		writer *bodyWriter
	}

	connection struct {
		pool    *Pool
		address netip.AddrPort
		socket  *http1.Conn
		holding *holding
		limit   *limitedReader // reads from socket
		reader  *bufio.Reader  // reads from limit
		// reusableUntil is the time from which the connection has been idle too long
		// to be reused. It is zero before the first response.
		reusableUntil time.Time
		// isUsed is set once a response was read.
		isUsed bool
		// latestID is the request ID of the latest response, or empty if it named none. The server
		// may send that response once more in place of the next one.
		latestID string
		// isRejected is set if the latest response is a rejection, and settledAt is when a response
		// that the server still owes has arrived.
		isRejected bool
		settledAt  time.Time
		// notRun are the IDs of the requests that the server has stated on this connection not
		// to have run.
		notRun []string
	}

	// limitedReader fails with errHeadTooLong once it has read left bytes while isLimited is
	// set, and with errNoMemory if there is no memory for what it has read until then.
	limitedReader struct {
		source    io.Reader
		holding   *holding
		isLimited bool
		left      int
	}

	// trackedBody records whether the body was read to its end.
	trackedBody struct {
		io.ReadCloser
		response   *http.Response
		isComplete bool
	}

	// bodyWriter sends a long request body while the response is awaited.
	bodyWriter struct {
		socket net.Conn
		data   []byte
		done   atomic.Bool
	}
)

// errHeadTooLong means that a response had no end of its headers within maxHeadBytes.
var errHeadTooLong = fmt.Errorf("no end of the response's headers within %d bytes", maxHeadBytes)

// Do sends a request to a server and returns the response as soon as its headers
// are read. Its error wraps ErrNotSent or ErrMayHaveRun. If ctx ends before the
// response is closed, Do closes the connection.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, r Request) (*Response, error) {
	c, err := p.connect(ctx, address, r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, c.close)
	response, err := c.exchange(r)
	if err != nil {
		stop()
		c.holding.release()
		c.close()
		return nil, err
	}
	response.stop = stop
	return response, nil
}

// Call makes one call of a server's control interface.
func (p *Pool) Call(ctx context.Context, address netip.AddrPort, call platform.Call) (Reply, error) {
	response, err := p.Do(ctx, address, Request{
		IsTentative: call.IsTentative, Method: call.Method, Target: call.Path, Host: address.String(), Header: call.Header, Body: call.Body,
	})
	if err != nil {
		return Reply{}, err
	}
	defer response.Close()
	body, err := response.ReadBody(maxInternalReadBytes)
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrMayHaveRun, err)
	}
	return Reply{Status: response.StatusCode, Metadata: response.Metadata, Body: body}, nil
}

// Close returns the connection to the pool if it can be reused: the request was
// written and the response read completely, and nothing follows the response.
// Otherwise it closes the connection.
func (r *Response) Close() {
	r.connection.holding.release()
	isOpen := r.stop()
	if !isOpen || !r.body.isComplete || r.Response.Close || len(r.connection.notRun) >= maxNotRun || !r.isRequestWritten() || r.connection.reader.Buffered() > 0 {
		r.connection.close()
		return
	}
	now := time.Now()
	r.connection.reusableUntil, r.connection.settledAt = now.Add(idleTimeoutOf(r.Header)), now.Add(settleTime)
	r.connection.pool.putIdle(r.connection)
}

// ReadRest reads at most limit bytes of the rest of the body, so that the connection can be
// reused, and stops at an error or after timeout.
func (r *Response) ReadRest(limit int64, timeout time.Duration) []byte {
	socket := r.connection.socket
	if err := socket.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil // the connection is closed
	}
	rest, _ := r.ReadBody(limit) // after an error the body is incomplete, and the connection is not reused
	if err := socket.SetReadDeadline(time.Time{}); err != nil {
		r.body.isComplete = false // the connection is closed
	}
	return rest
}

// IsComplete reports whether the body was read to its end.
func (r *Response) IsComplete() bool {
	return r.body.isComplete
}

func (r *Response) isRequestWritten() bool {
	return r.writer == nil || r.writer.done.Load()
}

func newConnection(pool *Pool, address netip.AddrPort, socket *http1.Conn) *connection {
	held := &holding{ledger: pool.memory}
	limit := &limitedReader{source: socket, holding: held}
	return &connection{
		pool: pool, address: address, socket: socket, holding: held,
		limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes),
	}
}

func (c *connection) close() {
	_ = c.socket.Close() // the connection is discarded, so the error has no effect
}

// isUsable reports whether the connection has not been idle too long.
func (c *connection) isUsable(now time.Time) bool {
	return now.Before(c.reusableUntil)
}

// isAlive reports whether the server has neither closed the connection nor sent
// bytes that belong to no request. It tries to read one byte without blocking.
func (c *connection) isAlive() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	hasNoData := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(descriptor), one[:])
		hasNoData = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && hasNoData
}

// exchange sends a request and reads the response up to the end of its headers.
func (c *connection) exchange(r Request) (*Response, error) {
	head := encodeHead(r)
	var writer *bodyWriter
	first := head
	if len(head)+len(r.Body) <= inlineRequestBytes {
		first = append(head, r.Body...)
	} else if len(r.Body) > 0 {
		writer = &bodyWriter{socket: c.socket, data: r.Body}
	}
	if n, err := c.socket.Write(first); err != nil {
		if n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrMayHaveRun, err)
	}
	if writer != nil {
		go writer.run()
	}
	response, metadata, err := c.readResponse(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMayHaveRun, err)
	}
	body := &trackedBody{ReadCloser: response.Body, response: response}
	response.Body = body
	if response.ContentLength == 0 {
		body.isComplete = true
	}
	return &Response{Response: response, Metadata: metadata, connection: c, body: body, writer: writer}, nil
}

// readResponse reads the response to r. It skips responses to other requests, which
// a server may send late on a reused connection, and informational responses.
func (c *connection) readResponse(r Request) (*http.Response, platform.Response, error) {
	for range maxReadResponses {
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // can't fail for buffered bytes
		if err := c.socket.ExpectHead(buffered); err != nil {
			return nil, platform.Response{}, err
		}
		c.limit.isLimited, c.limit.left = true, maxHeadBytes
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		c.limit.isLimited = false
		if err != nil {
			return nil, platform.Response{}, shorten(err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		metadata := platform.DecodeResponse(response)
		if c.isResponseTo(r, metadata) {
			c.isUsed, c.latestID, c.isRejected = true, metadata.RequestID, response.StatusCode >= http.StatusMultipleChoices
			if metadata.IsNotRun && r.ID != "" {
				c.notRun = append(c.notRun, r.ID)
			}
			return response, metadata, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxInternalReadBytes))
		if err != nil || n == maxInternalReadBytes || response.Close {
			return nil, metadata, fmt.Errorf("the answer belongs to request %q", metadata.RequestID)
		}
	}
	return nil, platform.Response{}, errors.New("too many answers to other requests")
}

// isResponseTo reports whether a response with the given metadata is the one to r. A server may
// send an earlier response once more, so only the first one on a connection need not name its
// request.
func (c *connection) isResponseTo(r Request, metadata platform.Response) bool {
	return metadata.RequestID == r.ID || !c.isUsed && (r.ID == "" || metadata.RequestID == "")
}

// canIdentify reports whether the response to a request can be told from an earlier response that
// the server sends once more: from the latest one, and from all refusals. A tentative call may
// follow one that was rejected.
func (c *connection) canIdentify(now time.Time, r Request) bool {
	switch {
	case !c.isUsed:
		return true
	case r.IsTentative && c.latestID == "":
		return c.isRejected && now.After(c.settledAt)
	}
	return r.ID != c.latestID && !slices.Contains(c.notRun, r.ID)
}

// shorten returns an error with the start of err's text if that is long: it may quote what
// the server has sent.
func shorten(err error) error {
	const maxText = 300
	if text := err.Error(); len(text) > maxText {
		return errors.New(text[:maxText])
	}
	return err
}

// encodeHead returns the request line and the headers.
func encodeHead(r Request) []byte {
	var head strings.Builder
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&head) // a strings.Builder never fails
	head.WriteString("\r\n")
	return []byte(head.String())
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.isLimited {
		return l.source.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	if !l.holding.holdHead(maxHeadBytes - l.left) {
		return 0, errNoMemory
	}
	return n, err
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := http1.CheckTrailer(b.response.Trailer); err != nil {
		return n, err
	}
	b.isComplete = true
	return n, io.EOF
}

func (w *bodyWriter) run() {
	if _, err := w.socket.Write(w.data); err == nil {
		w.done.Store(true)
	}
}

// idleTimeoutOf returns how long a connection may be idle after a response with the
// given headers.
func idleTimeoutOf(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if name != "timeout" {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return idleTimeout
}
