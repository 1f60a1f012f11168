package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

// scriptedServer writes the next text of its script in response to each request on a
// connection, and closes the connection after the last text.
type scriptedServer struct {
	tb       testing.TB
	listener net.Listener
	script   []string
	// later is the script of all connections but the first, or nil if they have the same.
	later    []string
	accepted atomic.Int64
	heads    chan string
}

func startScriptedServer(tb testing.TB, script ...string) *scriptedServer {
	tb.Helper()
	return startScripts(tb, script, nil)
}

func startScripts(tb testing.TB, script, later []string) *scriptedServer {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := &scriptedServer{tb: tb, listener: listener, script: script, later: later, heads: make(chan string, 10)}
	tb.Cleanup(func() { listener.Close() })
	go s.run()
	return s
}

func (s *scriptedServer) run() {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		script := s.script
		if s.accepted.Add(1) > 1 && s.later != nil {
			script = s.later
		}
		go s.runConnection(socket, script)
	}
}

func (s *scriptedServer) runConnection(socket net.Conn, script []string) {
	defer socket.Close()
	reader := bufio.NewReader(socket)
	for _, text := range script {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.heads <- request.Method + " " + request.RequestURI
		_, _ = io.WriteString(socket, text)
	}
}

// startSilentServer returns a server that reads one request on each connection and
// never responds.
func startSilentServer(tb testing.TB) *scriptedServer {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := &scriptedServer{tb: tb, listener: listener, heads: make(chan string, 10)}
	tb.Cleanup(func() { listener.Close() })
	go s.runSilently()
	return s
}

// runSilently keeps the connections open until the test closes the listener.
func (s *scriptedServer) runSilently() {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		defer socket.Close()
		request, err := http.ReadRequest(bufio.NewReader(socket))
		if err != nil {
			continue
		}
		s.heads <- request.Method + " " + request.RequestURI
	}
}

func (s *scriptedServer) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func newPool() *upstream.Pool {
	return upstream.NewPool(netip.Addr{}, metrics.NewSet())
}

func get(id string) upstream.Request {
	return upstream.Request{ID: id, Method: http.MethodGet, Target: "/a%2fb/?q=1", Host: "h.example", Header: http.Header{"Request-Id": {id}}}
}

func TestDo(t *testing.T) {
	const (
		complete = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok"
		chunked  = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	tests := []struct {
		name        string
		script      string
		want        string
		wantErr     error
		isTruncated bool
	}{
		{name: "complete response", script: complete, want: "ok"},
		{name: "a response to another request comes first", script: "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\nold" + complete, want: "ok"},
		{name: "no length, ends with the connection", script: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nConnection: close\r\n\r\nok", want: "ok"},
		{name: "bytes that are no HTTP response", script: "what?\r\n\r\n", wantErr: upstream.ErrMayHaveRun},
		{name: "no response", script: "", wantErr: upstream.ErrMayHaveRun},
		{name: "only a response to another request", script: "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nConnection: close\r\n\r\nold", wantErr: upstream.ErrMayHaveRun},
		{name: "status 000 whose body is a response", script: "HTTP/1.1 000 \r\nContent-Length: 62\r\n\r\n" + complete, wantErr: upstream.ErrMayHaveRun},
		{name: "status 000 after an interim head", script: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 \r\n\r\n" + complete, wantErr: upstream.ErrMayHaveRun},
		{name: "status above 599 after a response to another request", script: "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\nold" + strings.Replace(complete, "200", "600", 1), wantErr: upstream.ErrMayHaveRun},
		{name: "another protocol", script: "HTTP/1.1 101 Switching Protocols\r\n\r\n" + complete, wantErr: upstream.ErrMayHaveRun},
		{name: "blank in a name of an interim head", script: "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + complete, wantErr: upstream.ErrMayHaveRun},
		{name: "blank in a name of a trailer", script: chunked + "2\r\nok\r\n0\r\nX Y: 1\r\n\r\n", want: "ok", isTruncated: true},
		{name: "control byte in a name of a trailer", script: chunked + "2\r\nok\r\n0\r\nX\x01: 1\r\n\r\n", want: "ok", isTruncated: true},
		{name: "chunks", script: chunked + "2;x=y\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", want: "ok"},
		{name: "no last chunk", script: chunked + "2\r\nok\r\n", want: "ok", isTruncated: true},
		{name: "chunk longer than its size", script: chunked + "2\r\nokay\r\n0\r\n\r\n", want: "ok", isTruncated: true},
		{name: "malformed size of a chunk", script: chunked + "2\r\nok\r\n-1\r\n", want: "ok", isTruncated: true},
		{name: "size of a chunk that ends with a bare line feed", script: chunked + "2\nok\r\n0\r\n\r\n", isTruncated: true},
		{name: "last chunk without an end", script: chunked + "2\r\nok\r\n0\r\n", want: "ok", isTruncated: true},
		{name: "trailer that breaks off", script: chunked + "2\r\nok\r\n0\r\nX-Sum: 1\r\n", want: "ok", isTruncated: true},
		{name: "truncated body", script: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nok", want: "ok", isTruncated: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := startScriptedServer(t, tt.script)
			response, err := newPool().Do(t.Context(), server.address(), get("r1"))
			if !errors.Is(err, tt.wantErr) {
				t.Fatalf("error %v, want %v", err, tt.wantErr)
			}
			if err != nil {
				return
			}
			defer response.Close()
			body, err := io.ReadAll(response.Body)
			if string(body) != tt.want || (err != nil) != tt.isTruncated {
				t.Errorf("body %q, error %v", body, err)
			}
			if head := <-server.heads; head != "GET /a%2fb/?q=1" {
				t.Errorf("sent %q", head)
			}
		})
	}
}

func TestDoWithoutConnection(t *testing.T) {
	server := startScriptedServer(t)
	server.listener.Close()
	if _, err := newPool().Do(t.Context(), server.address(), get("r1")); !errors.Is(err, upstream.ErrNotSent) {
		t.Errorf("error %v, want %v", err, upstream.ErrNotSent)
	}
}

// If a server sends bytes beyond its response, the next request on the connection
// would read them as its own response. So a connection is reused only if nothing
// follows the response and the server keeps the connection open.
func TestConnectionsAreReused(t *testing.T) {
	const first, second = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 2\r\n\r\nok"
	tests := []struct {
		name   string
		script []string
		want   int64
	}{
		{name: "reused", script: []string{first, second}, want: 1},
		{name: "surplus bytes", script: []string{first + "HTTP/1.1 200 OK\r\n", second}, want: 2},
		{name: "server closes", script: []string{strings.Replace(first, "Content-Length", "Connection: close\r\nContent-Length", 1), second}, want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := startScriptedServer(t, tt.script...)
			pool := newPool()
			for _, id := range []string{"r1", "r2"} {
				// A second connection starts the script from the beginning, whose
				// response then has another ID.
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				response, err := pool.Do(ctx, server.address(), get(id))
				if err == nil {
					_, _ = io.ReadAll(response.Body)
					response.Close()
				}
				cancel()
			}
			if got := server.accepted.Load(); got != tt.want {
				t.Errorf("%d connections, want %d", got, tt.want)
			}
		})
	}
}

// TestEarlierRefusalIsNoResponse guards against a refusal that a server writes once more on a
// kept connection and that is taken for the response to a request that the server runs.
func TestEarlierRefusalIsNoResponse(t *testing.T) {
	const (
		run     = "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 2\r\n\r\nok"
		refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n"
	)
	named := func(id string) string { return fmt.Sprintf(refusal, "Request-Id: "+id+"\r\n") }
	unnamed := fmt.Sprintf(refusal, "")
	tests := []struct {
		name   string
		first  string // ID of the request that is refused; "" for a call
		script []string
		want   int64 // connections
	}{
		{name: "of another request", first: "r1", script: []string{named("r1"), named("r1") + run}, want: 1},
		{name: "of a call", first: "", script: []string{unnamed, unnamed + run}, want: 1},
		{name: "without an ID", first: "r1", script: []string{named("r1"), unnamed + run}, want: 1},
		{name: "of an earlier attempt at the request", first: "r2", script: []string{named("r2"), named("r2") + run}, want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server, pool := startScriptedServer(t, tt.script...), newPool()
			first, err := pool.Do(t.Context(), server.address(), get(tt.first))
			if err != nil || !first.Metadata.IsNotRun {
				t.Fatalf("first request: error %v, want a refusal", err)
			}
			_, _ = io.ReadAll(first.Body)
			first.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			second, err := pool.Do(ctx, server.address(), get("r2"))
			if err != nil {
				t.Fatal(err)
			}
			defer second.Close()
			if got := server.accepted.Load(); got != tt.want {
				t.Errorf("%d connections, want %d", got, tt.want)
			}
			if isReused := tt.want == 1; isReused && second.Metadata.IsNotRun {
				t.Error("an earlier refusal was taken for the response to a request that was run")
			}
		})
	}
}

// The server reads the request and doesn't respond, so only the end of the context can
// make Do return. A context that ends before the connection exists is another case:
// nothing was sent then.
func TestDoReturnsWhenContextEnds(t *testing.T) {
	t.Run("cancelled", func(t *testing.T) {
		server := startSilentServer(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			<-server.heads
			cancel()
		}()
		_, err := newPool().Do(ctx, server.address(), get("r1"))
		if !errors.Is(err, upstream.ErrMayHaveRun) {
			t.Errorf("error %v, want %v", err, upstream.ErrMayHaveRun)
		}
	})
	t.Run("timed out", func(t *testing.T) {
		server := startSilentServer(t)
		// On a busy machine the context can end while the connection is made. The
		// next timeout is longer then.
		for timeout := 20 * time.Millisecond; ; timeout *= 2 {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			_, err := newPool().Do(ctx, server.address(), get("r1"))
			cancel()
			if errors.Is(err, upstream.ErrNotSent) && timeout < 20*time.Second {
				continue
			}
			if !errors.Is(err, upstream.ErrMayHaveRun) {
				t.Errorf("error %v, want %v", err, upstream.ErrMayHaveRun)
			}
			break
		}
	})
}

// TestSecondResponseToCall guards against a response to a call that a server sends once more and
// that is taken for the response to another call, such as the handle of another request's KV cache.
func TestSecondResponseToCall(t *testing.T) {
	const granted, rejected = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\nfirst"
	run := "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n"
	own := strings.Replace(granted, "first", "other", 1)
	migrate, _ := platform.MigrateCall("s", "r2", netip.MustParseAddrPort("127.0.0.1:1"), true)
	reserve, _ := platform.ReserveCall("s", 1, time.Second)
	order, _ := platform.OrderCall("s", platform.Order{})
	release, report := platform.ReleaseReservationCall("s", "h"), platform.ReportCall("s")
	tests := []struct {
		name        string
		first, next platform.Call
		response    string // to the first call
		isBetween   bool   // a request runs between the calls
		isFollowing bool   // the next call may use the connection
	}{
		{name: "migration after a migration", first: migrate, next: migrate, response: granted},
		{name: "migration after a rejected migration", first: migrate, next: migrate, response: rejected},
		{name: "migration after a rejected reservation", first: reserve, next: migrate, response: rejected},
		{name: "migration after a request", first: migrate, next: migrate, response: granted, isBetween: true, isFollowing: true},
		{name: "reservation after a reservation", first: reserve, next: reserve, response: granted},
		{name: "reservation after a release", first: release, next: reserve, response: granted},
		{name: "reservation after a rejected one", first: reserve, next: reserve, response: rejected, isFollowing: true},
		{name: "report after a report", first: report, next: report, response: granted},
		{name: "order after an order", first: order, next: order, response: granted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			script := []string{tt.response, tt.response + own} // the first response comes once more
			if tt.isBetween {
				script = []string{tt.response, tt.response + run, run + own}
			}
			server, pool := startScripts(t, script, []string{own}), newPool()
			if _, err := pool.Call(t.Context(), server.address(), tt.first); err != nil {
				t.Fatal(err)
			}
			if tt.isBetween {
				response, err := pool.Do(t.Context(), server.address(), get("r1"))
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.ReadAll(response.Body)
				response.Close()
			}
			time.Sleep(50 * time.Millisecond) // until a tentative call may use the connection
			reply, err := pool.Call(t.Context(), server.address(), tt.next)
			if err != nil {
				t.Fatal(err)
			}
			isRejection := tt.isFollowing && tt.response == rejected
			if string(reply.Body) != "other" && !isRejection {
				t.Errorf("the response %q to the first call was taken for that to the next", reply.Body)
			}
			if isFollowing := server.accepted.Load() == 1; isFollowing != tt.isFollowing {
				t.Errorf("%d connections", server.accepted.Load())
			}
		})
	}
}
