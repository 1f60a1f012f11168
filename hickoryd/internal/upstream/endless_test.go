package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

// endlessBytes is the number of bytes after which an endless server stops. It is more than
// a host with little memory could keep, and far more than the sockets' buffers hold.
const endlessBytes = 64 << 20

// endlessServer responds to each request with a start and then with a part that is repeated
// until the caller closes the connection.
type endlessServer struct {
	listener net.Listener
	start    string
	part     string
	written  atomic.Int64
}

func startEndlessServer(t *testing.T, start, part string) *endlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endlessServer{listener: listener, start: start, part: strings.Repeat(part, 1+(16<<10)/len(part))}
	t.Cleanup(func() { listener.Close() })
	go s.run()
	return s
}

func (s *endlessServer) run() {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.respond(socket)
		socket.Close()
	}
}

func (s *endlessServer) respond(socket net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(socket)); err != nil {
		return
	}
	text := s.start
	for s.written.Load() < endlessBytes {
		n, err := socket.Write([]byte(text))
		s.written.Add(int64(n))
		if err != nil {
			return
		}
		text = s.part
	}
	_, _ = socket.Read(make([]byte, 1)) // until the caller closes the connection
}

// A server that sends bytes without end must not fill the host's memory.
func TestEndlessResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, start, part string
		isCall            bool
	}{
		{name: "no status line", start: "x", part: "x"},
		{name: "malformed status line", start: strings.Repeat("x", 50<<10) + "\n", part: "x"},
		{name: "status line", start: "HTTP/1.1 200 ", part: "x"},
		{name: "one header", start: head + "X: ", part: "x"},
		{name: "headers", start: head, part: "X: x\r\n"},
		{name: "informational responses", start: "HTTP/1.1 100 Continue\r\n\r\n", part: "HTTP/1.1 100 Continue\r\n\r\n"},
		{name: "responses to other requests", start: "", part: head + "Request-Id: other\r\nContent-Length: 1\r\n\r\nx"},
		{name: "response to a call", start: head + "\r\n", part: "x", isCall: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server := startEndlessServer(t, tt.start, tt.part)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			pool, address := newPool(), netip.MustParseAddrPort(server.listener.Addr().String())
			var err error
			if tt.isCall {
				_, err = pool.Call(ctx, address, platform.ReportCall("s"))
			} else {
				_, err = pool.Do(ctx, address, get("r1"))
			}
			if ctx.Err() != nil || !tt.isCall && !errors.Is(err, upstream.ErrMayHaveRun) {
				t.Errorf("error %v (of the context: %v), want %v", err, ctx.Err(), upstream.ErrMayHaveRun)
			}
			if err != nil && len(err.Error()) > 1000 {
				t.Errorf("the error has %d bytes", len(err.Error()))
			}
			if got := server.written.Load(); got >= endlessBytes {
				t.Errorf("the caller has taken %d bytes", got)
			}
		})
	}
}
