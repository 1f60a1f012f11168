package callerserver_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/callerserver"
)

const (
	// hangTimeout ends a wait that would never end. It is not a bound on speed.
	hangTimeout = 2 * time.Minute
	// headerTimeout is long, so that no test passes because of it.
	headerTimeout = 10 * time.Minute

	drainRounds    = 20
	callersPerTest = 100
)

type (
	// network is a listener whose connections call afterRead at the end of each read.
	network struct {
		net.Listener
		afterRead func(received []byte, err error)
	}

	// socket is a connection of a network.
	socket struct {
		*net.TCPConn
		network *network
	}

	// environment is a server and the listener that it serves.
	environment struct {
		server *callerserver.Server
		served chan error
		tb     testing.TB
		url    string
		// address is the host and port of url.
		address string
	}

	// caller sends requests on one kept connection.
	caller struct {
		connection net.Conn
		reader     *bufio.Reader
	}

	// passed is a handler that records the paths of the requests passed on to it.
	passed struct{ paths }

	// paths is a set of paths. It is safe for concurrent use.
	paths struct {
		mu  sync.Mutex
		set map[string]bool
	}
)

func (n *network) Accept() (net.Conn, error) {
	connection, err := n.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &socket{TCPConn: connection.(*net.TCPConn), network: n}, nil
}

func (s *socket) Read(p []byte) (int, error) {
	n, err := s.TCPConn.Read(p)
	s.network.afterRead(p[:max(n, 0)], err)
	return n, err
}

func (p *passed) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	p.add(r.URL.Path)
}

func (p *paths) add(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.set == nil {
		p.set = map[string]bool{}
	}
	p.set[path] = true
}

func (p *paths) has(path string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.set[path]
}

// start serves handler. afterRead may be nil.
func start(tb testing.TB, handler http.Handler, afterRead func([]byte, error)) *environment {
	tb.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	e := &environment{tb: tb, served: make(chan error, 1), address: l.Addr().String(), url: "http://" + l.Addr().String()}
	if afterRead != nil {
		l = &network{Listener: l, afterRead: afterRead}
	}
	e.serve(&http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}, l)
	return e
}

func (e *environment) serve(base *http.Server, l net.Listener) {
	e.server = callerserver.New(base)
	go func() { e.served <- e.server.Serve(l) }()
	e.tb.Cleanup(func() { _ = e.server.Close() })
}

// drain drains the server in the background.
func (e *environment) drain(ctx context.Context) <-chan error {
	drained := make(chan error, 1)
	go func() { drained <- e.server.Drain(ctx) }()
	return drained
}

func (e *environment) await(what string, condition func() bool) {
	e.tb.Helper()
	for end := time.Now().Add(hangTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			e.tb.Fatalf("not so in %v: %s", hangTimeout, what)
		}
	}
}

func (e *environment) awaitNoListener() {
	e.tb.Helper()
	e.await("no connection is accepted", func() bool {
		connection, err := net.Dial("tcp", e.address)
		if err == nil {
			connection.Close()
		}
		return err != nil
	})
}

func (e *environment) receive(what string, from <-chan error) error {
	e.tb.Helper()
	select {
	case err := <-from:
		return err
	case <-time.After(hangTimeout):
		e.tb.Fatalf("not so in %v: %s", hangTimeout, what)
		return nil
	}
}

// connect opens a connection for a caller.
func (e *environment) connect() *caller {
	e.tb.Helper()
	connection, err := net.Dial("tcp", e.address)
	if err != nil {
		e.tb.Fatal(err)
	}
	e.tb.Cleanup(func() { connection.Close() })
	if err := connection.SetDeadline(time.Now().Add(hangTimeout)); err != nil {
		e.tb.Fatal(err)
	}
	return &caller{connection: connection, reader: bufio.NewReader(connection)}
}

func (c *caller) send(path string) error {
	_, err := fmt.Fprintf(c.connection, "GET %s HTTP/1.1\r\nHost: h.example\r\n\r\n", path)
	return err
}

func (c *caller) receive() (*http.Response, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, errors.Join(err, response.Body.Close())
}

func (c *caller) exchange(path string) (*http.Response, error) {
	if err := c.send(path); err != nil {
		return nil, err
	}
	return c.receive()
}

func (c *caller) mustExchange(t *testing.T, path string) {
	t.Helper()
	if _, err := c.exchange(path); err != nil {
		t.Fatal(err)
	}
}

// TestDrainAnswersRequestBeingRead guards against a request whose bytes the server has
// received, but not yet passed on, and whose connection is closed as idle without a
// response.
func TestDrainAnswersRequestBeingRead(t *testing.T) {
	var isHeld atomic.Bool
	received, release := make(chan struct{}), make(chan struct{})
	handler := &passed{}
	e := start(t, handler, func(data []byte, _ error) {
		if len(data) > 0 && isHeld.CompareAndSwap(true, false) {
			close(received)
			<-release
		}
	})
	c := e.connect()
	c.mustExchange(t, "/1")
	isHeld.Store(true)
	if err := c.send("/2"); err != nil {
		t.Fatal(err)
	}
	<-received
	drained := e.drain(t.Context())
	e.awaitNoListener()
	time.Sleep(100 * time.Millisecond) // the drain may close idle connections meanwhile
	close(release)
	response, err := c.receive()
	if err != nil {
		t.Fatalf("request being read when the drain began: no response: %v; passed on: %t", err, handler.has("/2"))
	}
	if !response.Close {
		t.Error("the last response lets the caller keep the connection")
	}
	if err := e.receive("the drain ends", drained); err != nil {
		t.Error(err)
	}
	if err := e.receive("Serve ends", e.served); !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("Serve: %v, want %v", err, http.ErrServerClosed)
	}
}

// TestDrainAnswersRequestThatHasArrived guards against a connection that is closed as
// idle although a request has arrived on it, which resets the connection.
func TestDrainAnswersRequestThatHasArrived(t *testing.T) {
	var isHeld atomic.Bool
	interrupted, release := make(chan struct{}), make(chan struct{})
	e := start(t, &passed{}, func(_ []byte, err error) {
		if errors.Is(err, os.ErrDeadlineExceeded) && isHeld.CompareAndSwap(true, false) {
			close(interrupted)
			<-release
		}
	})
	c := e.connect()
	c.mustExchange(t, "/1")
	time.Sleep(50 * time.Millisecond) // the connection becomes idle
	isHeld.Store(true)
	drained := e.drain(t.Context())
	select {
	case <-interrupted:
	case err := <-drained:
		t.Fatalf("the idle connection was closed without a last read; drain: %v", err)
	}
	if err := c.send("/2"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // the request arrives
	close(release)
	if _, err := c.receive(); err != nil {
		t.Errorf("request that arrived before the connection was closed: no response: %v", err)
	}
	if err := e.receive("the drain ends", drained); err != nil {
		t.Error(err)
	}
}

// TestDrainUnderLoad guards against requests that are read, or even passed on, and get no
// response, while callers send one request after the other on kept connections.
func TestDrainUnderLoad(t *testing.T) {
	for round := range drainRounds {
		var read paths
		handler := &passed{}
		e := start(t, handler, func(data []byte, _ error) {
			if fields := bytes.Fields(data); len(fields) > 1 && bytes.HasSuffix(data, []byte("\r\n\r\n")) {
				read.add(string(fields[1]))
			}
		})
		var group sync.WaitGroup
		for i := range callersPerTest {
			c := e.connect()
			c.mustExchange(t, fmt.Sprintf("/%d/first", i))
			group.Go(func() {
				if path := c.runRequests(i); read.has(path) {
					t.Errorf("round %d: request %s was read and got no response; passed on: %t", round, path, handler.has(path))
				}
			})
		}
		time.Sleep(time.Duration(5+round%5) * time.Millisecond)
		err := e.receive("the drain ends", e.drain(t.Context()))
		group.Wait()
		if err != nil {
			t.Errorf("round %d: drain: %v", round, err)
		}
	}
}

// runRequests sends requests until the connection ends. It returns the path of the one
// without a response, or "". Pauses between requests let connections become idle.
func (c *caller) runRequests(i int) string {
	for n := 0; ; n++ {
		path := fmt.Sprintf("/%d/%d", i, n)
		response, err := c.exchange(path)
		if err != nil {
			return path
		}
		if response.Close {
			return ""
		}
		time.Sleep(time.Duration((i+n)%7) * 200 * time.Microsecond)
	}
}

// TestDrainEndsConnectionsWithoutRequests guards against a server that lingers because of
// idle connections until it is killed.
func TestDrainEndsConnectionsWithoutRequests(t *testing.T) {
	tests := []struct {
		name   string
		isUsed bool
	}{
		{name: "an idle connection", isUsed: true},
		{name: "a connection that was never used"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := start(t, &passed{}, nil)
			c := e.connect()
			if tt.isUsed {
				c.mustExchange(t, "/")
			}
			e.connect().mustExchange(t, "/") // connections are accepted in order, so c is accepted too
			if err := e.receive("the drain ends", e.drain(t.Context())); err != nil {
				t.Error(err)
			}
			if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("the connection isn't closed: %v", err)
			}
		})
	}
}

// TestDrainWaitsForActiveConnections guards against a drain that ends, or cuts a
// response off, while a request is in flight.
func TestDrainWaitsForActiveConnections(t *testing.T) {
	tests := []struct {
		name    string
		timeout time.Duration
		want    error
	}{
		{name: "the request ends in time", timeout: hangTimeout},
		{name: "the request doesn't end in time", timeout: 50 * time.Millisecond, want: callerserver.ErrStillActive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			begun, release := make(chan struct{}), make(chan struct{})
			e := start(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				close(begun)
				<-release
			}), nil)
			c := e.connect()
			if err := c.send("/"); err != nil {
				t.Fatal(err)
			}
			<-begun
			ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
			defer cancel()
			drained := e.drain(ctx)
			if tt.want != nil {
				if err := e.receive("the drain ends", drained); !errors.Is(err, tt.want) {
					t.Errorf("drain: %v, want %v", err, tt.want)
				}
				close(release)
				return
			}
			e.awaitNoListener()
			select {
			case err := <-drained:
				t.Errorf("the drain ended while a request was in flight: %v", err)
			case <-time.After(50 * time.Millisecond):
			}
			close(release)
			if _, err := c.receive(); err != nil {
				t.Errorf("no response: %v", err)
			}
			if err := e.receive("the drain ends", drained); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestCloseStopsRequestBeingRead guards against a request that is passed on after the
// server has closed its connection.
func TestCloseStopsRequestBeingRead(t *testing.T) {
	var isHeld atomic.Bool
	received, release := make(chan struct{}), make(chan struct{})
	handler := &passed{}
	e := start(t, handler, func(data []byte, _ error) {
		if len(data) > 0 && isHeld.CompareAndSwap(true, false) {
			close(received)
			<-release
		}
	})
	c := e.connect()
	c.mustExchange(t, "/1")
	isHeld.Store(true)
	if err := c.send("/2"); err != nil {
		t.Fatal(err)
	}
	<-received
	if err := e.server.Close(); err != nil {
		t.Error(err)
	}
	close(release)
	if _, err := c.receive(); err == nil {
		t.Error("a response on a closed connection")
	}
	if err := e.receive("the drain ends", e.drain(t.Context())); err != nil {
		t.Error(err)
	}
	if handler.has("/2") {
		t.Error("the request was passed on after its connection was closed")
	}
}

// TestResponseBeforeEndOfBody guards against a connection that is reset, which may destroy
// the response, because the server responds before it has read a long body.
func TestResponseBeforeEndOfBody(t *testing.T) {
	e := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}), nil)
	c := e.connect()
	if _, err := fmt.Fprintf(c.connection, "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\nx", 1<<30); err != nil {
		t.Fatal(err)
	}
	response, err := c.receive()
	if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("response %v, error %v", response, err)
	}
	// Bytes that the server has not read when it closes the connection reset it.
	if _, err := c.connection.Write(make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the response: %v, want %v", err, io.EOF)
	}
}

// TestDrainWithTLS guards against connections that the drain doesn't recognize under TLS,
// and against one that it ends while an HTTP/2 request is in flight.
func TestDrainWithTLS(t *testing.T) {
	for _, isHTTP2 := range []bool{false, true} {
		t.Run(fmt.Sprintf("HTTP/2 %t", isHTTP2), func(t *testing.T) {
			t.Parallel()
			begun, release := make(chan struct{}), make(chan struct{})
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					close(begun)
					<-release
				}
			})
			// The unstarted server provides a certificate that its client trusts.
			certified := httptest.NewUnstartedServer(handler)
			certified.EnableHTTP2 = isHTTP2
			certified.StartTLS()
			t.Cleanup(certified.Close)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			e := &environment{tb: t, served: make(chan error, 1), address: l.Addr().String(), url: "https://" + l.Addr().String()}
			e.serve(&http.Server{Handler: handler, TLSConfig: certified.TLS.Clone(), ReadHeaderTimeout: headerTimeout}, l)
			get := func(path string) error {
				response, err := certified.Client().Get(e.url + path)
				if err != nil {
					return err
				}
				defer response.Body.Close()
				if want := map[bool]int{false: 1, true: 2}[isHTTP2]; response.ProtoMajor != want {
					return fmt.Errorf("HTTP/%d, want HTTP/%d", response.ProtoMajor, want)
				}
				_, err = io.Copy(io.Discard, response.Body)
				return err
			}
			if err := get("/"); err != nil {
				t.Fatal(err)
			}
			answered := make(chan error, 1)
			go func() { answered <- get("/slow") }()
			<-begun
			drained := e.drain(t.Context())
			e.awaitNoListener()
			select {
			case err := <-drained:
				t.Errorf("the drain ended while a request was in flight: %v", err)
			case <-time.After(50 * time.Millisecond):
			}
			close(release)
			if err := e.receive("the request ends", answered); err != nil {
				t.Error(err)
			}
			if err := e.receive("the drain ends", drained); err != nil {
				t.Error(err)
			}
		})
	}
}
