package listenlimit_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/memoryledger"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/callerserver"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/listenlimit"
)

// hangTimeout ends a wait that would never end. It is not a bound on speed.
const hangTimeout = time.Minute

type fixture struct {
	t             *testing.T
	address       string
	limiter       *listenlimit.Limiter
	memory, heads *memoryledger.Ledger
	ran           atomic.Int64
}

// start serves requests: those for /wait wait until release is closed.
func start(t *testing.T, connections int, heads int64, release chan struct{}) *fixture {
	t.Helper()
	f := &fixture{t: t, memory: memoryledger.New(1 << 30), heads: memoryledger.New(heads)}
	f.limiter = listenlimit.New(listenlimit.Options{Name: "test", Connections: connections, Memory: f.memory, Heads: f.heads, IsHTTP: true}, metrics.NewSet())
	base := &http.Server{ReadHeaderTimeout: hangTimeout, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			f.ran.Add(1)
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		f.ran.Add(1)
		if r.URL.Path == "/wait" {
			<-release
		}
	})}
	f.limiter.Limit(base)
	server := callerserver.New(base)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	go func() { _ = server.Serve(f.limiter.Wrap(l)) }() // returns when the server is closed
	t.Cleanup(func() { server.Close() })
	return f
}

func (f *fixture) connect(text string) net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp4", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(hangTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		f.t.Fatal(err)
	}
	return c
}

func (f *fixture) await(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(hangTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not so in %v: %s", hangTimeout, what)
		}
	}
}

func isClosed(c net.Conn) bool {
	_, err := c.Read(make([]byte, 1))
	return err != nil
}

func isAnswered(c net.Conn) error {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

const (
	waiting  = "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"
	halfBody = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx"
)

// TestBoundOnConnections guards against a connection that is closed although its request is at a
// server, and against a bound that closes no idle, incomplete or half-sent ones. A request whose
// connection is closed before its last byte never runs.
func TestBoundOnConnections(t *testing.T) {
	tests := []struct{ name, sent string }{{"never used", ""}, {"half a head", "GET / HT"}, {"half a body", halfBody}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			f := start(t, 3, 1<<20, release)
			served := f.connect(waiting)
			f.await("the request is at the server", func() bool { return f.ran.Load() == 1 })
			incomplete := f.connect(tt.sent)
			f.await("the connection is counted", func() bool { return f.memory.Used() == 2*listenlimit.ConnectionBytes })
			time.Sleep(10 * time.Millisecond) // it begins before those that follow
			f.connect(waiting)
			f.connect(waiting)
			if !isClosed(incomplete) {
				t.Error("the connection is not closed at the bound")
			}
			f.await("the other requests are at the server", func() bool { return f.ran.Load() == 3 })
			close(release)
			if err := isAnswered(served); err != nil {
				t.Errorf("the request at the server is not answered: %v", err)
			}
			if ran := f.ran.Load(); ran != 3 {
				t.Errorf("%d requests ran, want 3 without the incomplete one", ran)
			}
		})
	}
}

// TestBoundOnHeads guards against heads that take more than their part of the memory, and against
// idle connections of ordinary callers that are closed for them.
func TestBoundOnHeads(t *testing.T) {
	const ordinary = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	f := start(t, 100, 200<<10, nil)
	kept := f.connect(ordinary)
	if err := isAnswered(kept); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		f.connect(fmt.Sprintf("GET / HTTP/1.1\r\nHost: a\r\nA: %03000d\r\n", 0))
	}
	f.await("the bound is reached", func() bool { return f.heads.Used() > 100<<10 })
	if err := isAnswered(f.connect(ordinary)); err != nil {
		t.Errorf("an ordinary request beside them: %v", err)
	}
	if _, err := io.WriteString(kept, ordinary); err != nil || isAnswered(kept) != nil {
		t.Error("the kept connection is closed")
	}
	if used := f.heads.Used(); used > f.heads.Limit() {
		t.Errorf("%d bytes are taken, want at most %d", used, f.heads.Limit())
	}
}

// TestMemoryIsGivenBack guards against a part that shrinks with each connection.
func TestMemoryIsGivenBack(t *testing.T) {
	f := start(t, 10, 1<<20, nil)
	for i := range 50 {
		c := f.connect([]string{"", "GET / H", halfBody, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"}[i%4])
		if i%2 == 0 {
			c.Close()
		}
	}
	f.await("only open connections are counted", func() bool { return f.memory.Used() <= 10*listenlimit.ConnectionBytes })
	for f.limiter.Relieve(0) {
	}
	if err := isAnswered(f.connect("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil && !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}

// FuzzHeads guards against a head or chunks that make the server panic, or leave something counted
// when the connection has ended.
func FuzzHeads(f *testing.F) {
	for _, text := range []string{
		"", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", halfBody, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx", "GET / HTTP/1.1\r\nHost: a\r\n a:\r\nb:\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\nGET", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := start(t, 10, 1<<20, closedChannel())
		c := s.connect("")
		_, _ = c.Write(data) // the server may have closed the connection
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		c.Close()
		s.await("nothing is counted", func() bool { return s.memory.Used() == 0 && s.heads.Used() == 0 })
	})
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// TestHeadWithUnreadBody guards against a head that is not counted while the server waits for the
// rest of a body that the handler has not read, and against a body that is counted like a head.
func TestHeadWithUnreadBody(t *testing.T) {
	const sent = 100 << 10
	f := start(t, 10, 1<<20, nil)
	c := f.connect(fmt.Sprintf("POST /unread HTTP/1.1\r\nHost: a\r\nA: %08000d\r\nContent-Length: %d\r\n\r\n%s", 0, sent+1, make([]byte, sent)))
	f.await("the handler has returned", func() bool { return f.ran.Load() == 1 })
	time.Sleep(20 * time.Millisecond) // the server reads the body
	if used := f.heads.Used(); used < 8000 || used > 400<<10 {
		t.Errorf("%d bytes are counted for a head of 8 KB", used)
	}
	if _, err := io.WriteString(c, "x"); err != nil || isAnswered(c) != nil {
		t.Error("the request is not answered")
	}
	f.await("nothing is counted for an idle connection", func() bool { return f.heads.Used() == 0 })
}

// TestRelieve guards against slow senders that are kept while memory is short, and against ordinary
// idle connections and requests at a server that are dropped instead of them.
func TestRelieve(t *testing.T) {
	release := make(chan struct{})
	f := start(t, 10, 1<<20, release)
	served, idle := f.connect(waiting), f.connect("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if err := isAnswered(idle); err != nil {
		t.Fatal(err)
	}
	slow := f.connect(halfBody)
	f.await("the slow sender is dropped", func() bool { return f.limiter.Relieve(1) })
	if !isClosed(slow) {
		t.Error("another connection than that of the slow sender was dropped")
	}
	if f.limiter.Relieve(1) {
		t.Error("a connection was dropped that is not slow")
	}
	close(release)
	if err := isAnswered(served); err != nil {
		t.Errorf("request at a server: %v", err)
	}
	if _, err := io.WriteString(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil || isAnswered(idle) != nil {
		t.Error("the idle connection is closed")
	}
}
