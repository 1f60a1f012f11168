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
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// inlineBytes is the size of a request, in bytes, up to which it is written
	// before the answer is read. It fits the socket's buffer.
	inlineBytes = 4 << 10
	// skippedBytes bounds the body of an answer that belongs to another request.
	skippedBytes = 64 << 10
	// skippedAnswers bounds the answers to other requests on one connection.
	skippedAnswers = 4
)

type (
	// Request is one request to a backend server.
	Request struct {
		// ID must be echoed by the answer, unless it is empty.
		ID     string
		Method string
		// Target is the path and query as they are sent.
		Target string
		Host   string
		Header http.Header
		Body   []byte
	}

	// Response is a server's answer. It must be closed.
	Response struct {
		*http.Response
		Metadata platform.Response

		connection *connection
		body       *trackedBody
		stop       func() bool
		writer     *bodyWriter
	}

	connection struct {
		pool    *Pool
		address netip.AddrPort
		socket  net.Conn
		reader  *bufio.Reader
		// until is when the connection is too old to be used again.
		until time.Time
	}

	// trackedBody notes whether the whole body was read.
	trackedBody struct {
		io.ReadCloser
		isWhole bool
	}

	// bodyWriter sends a long body while the answer is awaited.
	bodyWriter struct {
		socket net.Conn
		data   []byte
		done   atomic.Bool
	}
)

// Do sends a request to a server and returns its answer once the headers are
// there. The error is ErrNotSent or ErrMayHaveRun. The connection is closed when
// ctx ends before the answer is closed.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, r Request) (*Response, error) {
	c, err := p.connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, c.close)
	answer, err := c.exchange(r)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	answer.stop = stop
	return answer, nil
}

// Call makes one call of a server's own interface and returns status and body.
func (p *Pool) Call(ctx context.Context, address netip.AddrPort, call platform.Call) (int, []byte, error) {
	answer, err := p.Do(ctx, address, Request{
		Method: call.Method, Target: call.Path, Host: address.String(), Header: call.Header, Body: call.Body,
	})
	if err != nil {
		return 0, nil, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, skippedBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrMayHaveRun, err)
	}
	return answer.StatusCode, body, nil
}

// Close gives the connection back if the answer was read to its end.
func (a *Response) Close() {
	isOpen := a.stop()
	if !isOpen || !a.body.isWhole || a.Response.Close || !a.isWritten() || a.connection.reader.Buffered() > 0 {
		a.connection.close()
		return
	}
	a.connection.until = time.Now().Add(idleTimeoutOf(a.Header))
	a.connection.pool.keep(a.connection)
}

// IsComplete reports whether the body was read to its end.
func (a *Response) IsComplete() bool {
	return a.body.isWhole
}

func (a *Response) isWritten() bool {
	return a.writer == nil || a.writer.done.Load()
}

func newConnection(pool *Pool, address netip.AddrPort, socket net.Conn) *connection {
	return &connection{
		pool: pool, address: address, socket: socket,
		reader: bufio.NewReaderSize(socket, readBuffer),
	}
}

func (c *connection) close() {
	_ = c.socket.Close() // the connection is given up; nothing can be done about its end
}

func (c *connection) isUsable(now time.Time) bool {
	return now.Before(c.until)
}

// isAlive reports whether the server has neither closed the connection nor sent
// bytes that belong to no request.
func (c *connection) isAlive() bool {
	raw, err := c.socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(descriptor), one[:])
		isQuiet = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && isQuiet
}

func (c *connection) exchange(r Request) (*Response, error) {
	head := encodeHead(r)
	var writer *bodyWriter
	first := head
	if len(head)+len(r.Body) <= inlineBytes {
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
	response, reply, err := c.readAnswer(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMayHaveRun, err)
	}
	body := &trackedBody{ReadCloser: response.Body}
	response.Body = body
	if response.ContentLength == 0 {
		body.isWhole = true
	}
	return &Response{Response: response, Metadata: reply, connection: c, body: body, writer: writer}, nil
}

// readAnswer reads the answer to r. Answers to other requests, which a server
// may send late on a kept connection, are passed over.
func (c *connection) readAnswer(r Request) (*http.Response, platform.Response, error) {
	for range skippedAnswers {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, platform.Response{}, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reply := platform.DecodeResponse(response)
		if r.ID == "" || reply.RequestID == "" || reply.RequestID == r.ID {
			return response, reply, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, skippedBytes))
		if err != nil || n == skippedBytes || response.Close {
			return nil, reply, fmt.Errorf("the answer belongs to request %q", reply.RequestID)
		}
	}
	return nil, platform.Response{}, errors.New("too many answers to other requests")
}

func encodeHead(r Request) []byte {
	var head strings.Builder
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&head) // a strings.Builder does not fail
	head.WriteString("\r\n")
	return []byte(head.String())
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.isWhole = true
	}
	return n, err
}

func (w *bodyWriter) run() {
	if _, err := w.socket.Write(w.data); err == nil {
		w.done.Store(true)
	}
}

// idleTimeoutOf returns how long a connection may be idle after an answer.
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
