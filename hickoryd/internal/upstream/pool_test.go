package upstream_test

import (
	"bufio"
	"context"
	"errors"
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
)

// scripted is a server that answers each request with the next text of its
// script, and closes the connection after the last.
type scripted struct {
	tb       testing.TB
	listener net.Listener
	script   []string
	accepted atomic.Int64
	heads    chan string
}

func startScripted(tb testing.TB, script ...string) *scripted {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := &scripted{tb: tb, listener: listener, script: script, heads: make(chan string, 10)}
	tb.Cleanup(func() { listener.Close() })
	go s.run()
	return s
}

func (s *scripted) run() {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		reader := bufio.NewReader(socket)
		for _, text := range s.script {
			request, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, request.Body)
			s.heads <- request.Method + " " + request.RequestURI
			_, _ = io.WriteString(socket, text)
		}
		socket.Close()
	}
}

func (s *scripted) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func newPool() *upstream.Pool {
	return upstream.NewPool(netip.Addr{}, metrics.NewSet())
}

func get(id string) upstream.Request {
	return upstream.Request{ID: id, Method: http.MethodGet, Target: "/a%2fb/?q=1", Host: "h.example", Header: http.Header{"Request-Id": {id}}}
}

func TestDo(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok"
	tests := []struct {
		name    string
		script  string
		want    string
		wantErr error
		isCut   bool
	}{
		{name: "whole answer", script: whole, want: "ok"},
		{name: "an answer to another request comes first", script: "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\nold" + whole, want: "ok"},
		{name: "no length, ends with its connection", script: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nConnection: close\r\n\r\nok", want: "ok"},
		{name: "bytes that are no answer", script: "what?\r\n\r\n", wantErr: upstream.ErrMayHaveRun},
		{name: "no answer", script: "", wantErr: upstream.ErrMayHaveRun},
		{name: "another request's answer only", script: "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nConnection: close\r\n\r\nold", wantErr: upstream.ErrMayHaveRun},
		{name: "cut off", script: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nok", want: "ok", isCut: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := startScripted(t, tt.script)
			answer, err := newPool().Do(t.Context(), server.address(), get("r1"))
			if !errors.Is(err, tt.wantErr) {
				t.Fatalf("error %v, want %v", err, tt.wantErr)
			}
			if err != nil {
				return
			}
			defer answer.Close()
			body, err := io.ReadAll(answer.Body)
			if string(body) != tt.want || (err != nil) != tt.isCut {
				t.Errorf("body %q, error %v", body, err)
			}
			if head := <-server.heads; head != "GET /a%2fb/?q=1" {
				t.Errorf("sent %q", head)
			}
		})
	}
}

func TestNothingIsSentWithoutConnection(t *testing.T) {
	server := startScripted(t)
	server.listener.Close()
	if _, err := newPool().Do(t.Context(), server.address(), get("r1")); !errors.Is(err, upstream.ErrNotSent) {
		t.Errorf("error %v, want %v", err, upstream.ErrNotSent)
	}
}

// A kept connection is used again only while it carries nothing that belongs to
// no request.
func TestConnectionsAreKept(t *testing.T) {
	const first, second = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 2\r\n\r\nok"
	tests := []struct {
		name   string
		script []string
		want   int64
	}{
		{name: "kept", script: []string{first, second}, want: 1},
		{name: "surplus bytes", script: []string{first + "HTTP/1.1 200 OK\r\n", second}, want: 2},
		{name: "server closes", script: []string{strings.Replace(first, "Content-Length", "Connection: close\r\nContent-Length", 1), second}, want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := startScripted(t, tt.script...)
			pool := newPool()
			for _, id := range []string{"r1", "r2"} {
				// A second connection begins the script again, with another id.
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				answer, err := pool.Do(ctx, server.address(), get(id))
				if err == nil {
					_, _ = io.ReadAll(answer.Body)
					answer.Close()
				}
				cancel()
			}
			if got := server.accepted.Load(); got != tt.want {
				t.Errorf("%d connections, want %d", got, tt.want)
			}
		})
	}
}

func TestEndOfContextEndsTheExchange(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = newPool().Do(ctx, netip.MustParseAddrPort(listener.Addr().String()), get("r1"))
	if !errors.Is(err, upstream.ErrMayHaveRun) {
		t.Errorf("error %v, want %v", err, upstream.ErrMayHaveRun)
	}
}
