package edgedispatch_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

// unframed responds without a length and without chunks, so that the response ends with its
// connection. With isReset the connection is reset at the end.
func unframed(body string, isReset bool) http.HandlerFunc {
	return respondRaw("HTTP/1.1 200 OK\r\n", "\r\n"+body, isReset)
}

// unframedFailure is unframed for an error response.
func unframedFailure(isReset bool) http.HandlerFunc {
	return respondRaw("HTTP/1.1 500 Internal Server Error\r\n", "\r\npart", isReset)
}

// respondRaw responds with a status line and the rest of a head and a body, after the headers
// that each response has, and ends the connection, with a reset if isReset is set.
func respondRaw(statusLine, rest string, isReset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err) // only for a server that can't be hijacked
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, statusLine+"Request-Id: "+r.Header.Get("Request-Id")+"\r\nServer-Stamp: stamp\r\n"+rest)
		if isReset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// A response may end with its connection. A stream that ends inside an event, or any response
// whose connection is reset, was broken off and must not look complete.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	unsafe := route.Route{Kind: route.Unsafe, MaxServers: 1}
	stream := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
	resumable := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, IsResumable: true, MaxServers: 2}
	tests := []struct {
		name       string
		route      route.Route
		first      http.HandlerFunc
		wantStatus int // 0: truncated
		wantBody   string
	}{
		{name: "plain", route: unsafe, first: unframed("body", false), wantStatus: http.StatusOK, wantBody: "body"},
		{name: "stream", route: stream, first: unframed("id: 1\n\nid: 2\n\n", false), wantStatus: http.StatusOK, wantBody: "id: 1\n\nid: 2\n\n"},
		{name: "stream ends inside an event", route: stream, first: unframed("id: 1\n\nid: 2\n", false), wantBody: "id: 1\n\n"},
		{name: "resumable stream ends inside an event", route: resumable, first: unframed("id: 1\n\nid: 2\n", false), wantStatus: http.StatusOK, wantBody: "id: 1\n\nid: 2\n\n"},
		{name: "plain response is reset", route: unsafe, first: unframed("body", true), wantStatus: http.StatusBadGateway},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var hasCapacity atomic.Bool
			hasCapacity.Store(true)
			list := servers{startServer(t, "first", "", tt.first)}
			if tt.route.IsGeneration {
				first := startDecodeServer(t, "first", &hasCapacity, tt.first)
				second := startDecodeServer(t, "second", &hasCapacity, events("1", "2"))
				second.FailureDomain = "elsewhere" // the first server is preferred
				list = servers{first, second}
			}
			status, body := serve(t, list, tt.route, 100)
			if status != tt.wantStatus || body != tt.wantBody {
				t.Errorf("status %d, body %q; want %d and %q", status, body, tt.wantStatus, tt.wantBody)
			}
		})
	}
}

// TestResetDuringUpload guards against a response without a length that is reset while the request
// is still written, and that looks complete since only the writer is told of the reset.
func TestResetDuringUpload(t *testing.T) {
	const tries = 8
	plain := route.Route{Kind: route.Unsafe, MaxServers: 1}
	stream := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
	for name, tt := range map[string]struct {
		route   route.Route
		respond http.HandlerFunc
		status  int // of the response
	}{
		"short response":             {plain, unframed("part", true), http.StatusOK},
		"long response":              {plain, unframed(strings.Repeat("x", 300<<10), true), http.StatusOK},
		"error response":             {plain, unframedFailure(true), http.StatusInternalServerError},
		"stream":                     {stream, unframed("id: 1\n\n", true), http.StatusOK},
		"error response to a stream": {stream, unframedFailure(true), http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			var hasCapacity atomic.Bool
			hasCapacity.Store(true)
			list := servers{startServer(t, "first", "", tt.respond)}
			if tt.route.IsGeneration {
				list = servers{startDecodeServer(t, "first", &hasCapacity, tt.respond)}
			}
			d := newDispatcher(t, list, 100)
			complete := 0
			for i := range tries {
				request := newRequest(fmt.Sprint("r", i), tt.route, callerTimeout, promptTokens)
				request.Body = make([]byte, 8<<20)
				if status, _ := run(t, d, request); status == tt.status {
					complete++
				}
			}
			if complete > 0 {
				t.Errorf("%d of %d responses that were reset are taken for complete", complete, tries)
			}
		})
	}
}

// TestServerEndsWithItsResponse guards against a response that looks complete although its server
// has crashed: the kernel ends the connections of a process in order, so that a response without
// length and chunks ends as a complete one does.
func TestServerEndsWithItsResponse(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	resumable := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, IsResumable: true, MaxServers: 2}
	once := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
	unsafe := route.Route{Kind: route.Unsafe, MaxServers: 1}
	tests := []struct {
		name       string
		route      route.Route
		respond    http.HandlerFunc // of the server that ends
		wantStatus int              // 0: truncated
		wantBody   string
	}{
		{"stream that runs once", once, unframed("id: 1\n\n", false), 0, "id: 1\n\n"},
		{"resumable stream", resumable, unframed("id: 1\n\n", false), http.StatusOK, "id: 1\n\nid: 2\n\n"},
		{"error response to a stream", once, unframedFailure(false), http.StatusBadGateway, ""},
		{"unsafe request", unsafe, unframed("body", false), http.StatusBadGateway, ""},
		{"error response to an unsafe request", unsafe, unframedFailure(false), http.StatusBadGateway, ""},
		{"safe request", route.Route{Kind: route.Safe, MaxServers: 2}, unframed("bo", false), http.StatusOK, "ok"},
		{"long response", unsafe, unframed(long, false), 0, long},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var hasCapacity atomic.Bool
			hasCapacity.Store(true)
			var listener net.Listener
			var first serverlist.Server
			crash := func(w http.ResponseWriter, r *http.Request) {
				listener.Close()
				tt.respond(w, r)
			}
			second := startServer(t, "second", "", ok)
			if tt.route.IsGeneration {
				first, listener = startServerWithListener(t, "first", serverlist.Decode, decodeHandler(&hasCapacity, crash))
				second = startDecodeServer(t, "second", &hasCapacity, events("2"))
			} else {
				first, listener = startServerWithListener(t, "first", "", crash)
			}
			second.FailureDomain = "elsewhere" // the first server is preferred
			status, body := serve(t, servers{first, second}, tt.route, 100)
			if status != tt.wantStatus || body != tt.wantBody {
				t.Errorf("status %d, body of %d bytes; want %d and %d bytes", status, len(body), tt.wantStatus, len(tt.wantBody))
			}
		})
	}
}
