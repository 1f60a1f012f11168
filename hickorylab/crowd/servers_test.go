package crowd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/metastore"
	"github.com/hickoryfront/hickoryfront/hickorylab/worker"
)

const (
	// endlessMembers is the number of callers whose requests a faulty server has at a time.
	endlessMembers = 300
	// minBegun is the least number of them that the server responds to before the host avoids it.
	minBegun = 10
	// endlessTime limits the time for which a faulty server sends.
	endlessTime = 4 * time.Second

	okHead     = "HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\nRequest-Id: %s\r\n"
	streamHead = okHead + "Content-Type: text/event-stream\r\n\r\n"
)

// endless is a response that begins with start and goes on with part until the caller closes the
// connection. A %s in start is the ID of the request.
type endless struct {
	name, start, part string
	// silentAfter is the number of bytes after which the server falls silent, and keeps the
	// connection, or 0.
	silentAfter int
	// call is the end of the path of the call that gets the response, or empty for the request
	// itself.
	call string
	// isPlain is set for a plain server. The others are model servers.
	isPlain bool
}

// endlessServer sends one response without end.
type endlessServer struct {
	endless
	// began is the number of responses that it has begun to send.
	began atomic.Int64
}

var endlessResponses = []endless{
	{name: "no answer", isPlain: true, part: "x"},
	{name: "status line", isPlain: true, start: "HTTP/1.1 200 ", part: "x"},
	{name: "header", isPlain: true, start: okHead + "X: ", part: "x"},
	{name: "headers", isPlain: true, start: okHead, part: "X: x\r\n"},
	{name: "informational responses", isPlain: true, part: "HTTP/1.1 100 Continue\r\n\r\n"},
	{name: "body", isPlain: true, start: okHead + "\r\n", part: "x"},
	{name: "body in chunks", isPlain: true, start: okHead + "Transfer-Encoding: chunked\r\n\r\n", part: "1\r\nx\r\n"},
	{name: "chunk extension", isPlain: true, start: okHead + "Transfer-Encoding: chunked\r\n\r\n1;", part: "x"},
	{name: "trailer", isPlain: true, start: okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", part: "X: x\r\n"},
	{name: "body of a rejection", isPlain: true, start: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: %s\r\n\r\n", part: "x"},
	{name: "head of a stream", start: okHead, part: "X: x\r\n"},
	{name: "event without end", start: streamHead + "id: 1\ndata: ", part: "x"},
	{name: "lines of an event", start: streamHead + "id: 1\n", part: "data: x\n"},
	{name: "comments", start: streamHead, part: ": x\n\n"},
	{name: "error of a stream", start: "HTTP/1.1 500 Internal Server Error\r\nServer-Stamp: stamp\r\nRequest-Id: %s\r\n\r\n", part: "x"},
	{name: "headers, then silence", isPlain: true, start: okHead, part: "X: x\r\n", silentAfter: 60 << 10},
	{name: "body, then silence", isPlain: true, start: okHead + "\r\n", part: "x", silentAfter: 250 << 10},
	{name: "rejection, then silence", isPlain: true, start: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: %s\r\n\r\n", part: "x", silentAfter: 60 << 10},
	{name: "event, then silence", start: streamHead + "id: 1\ndata: ", part: "x", silentAfter: 1000 << 10},
	{name: "event after an event, then silence", start: streamHead + "id: 1\ndata: x\n\nid: 2\ndata: ", part: "x", silentAfter: 1000 << 10},
	{name: "error of a stream, then silence", start: "HTTP/1.1 500 Internal Server Error\r\nServer-Stamp: stamp\r\nRequest-Id: %s\r\n\r\n", part: "x", silentAfter: 250 << 10},
	{name: "reservation, then silence", call: "hold-take", start: "HTTP/1.1 200 OK\r\n\r\n{\"hold\":\"", part: "x", silentAfter: 60 << 10},
	{name: "reservation, head", call: "hold-take", start: "HTTP/1.1 200 OK\r\n", part: "X: x\r\n"},
	{name: "reservation, body", call: "hold-take", start: "HTTP/1.1 200 OK\r\n\r\n{\"hold\":\"", part: "x"},
}

// TestServers guards against a faulty server whose bytes without end fill a host's memory, so that
// the requests of other callers end with the process.
func TestServers(t *testing.T) {
	e := startEnvironment(t)
	for i, response := range endlessResponses {
		t.Run(response.name, func(t *testing.T) {
			server := e.startEndlessServer(t, response, 40+i)
			path, headers := "/faulty/a", ""
			if !response.isPlain {
				path, headers = "/draft/a", "Model: m\r\nToken-Counts: 200,80\r\nPrompt-Prefix: 5c1e07a2:200\r\n"
			}
			k := kind{name: response.name, members: endlessMembers, act: func(socket net.Conn, path string, n int) {
				write(socket, head("GET", path, n)+headers+"\r\n")
				_, _ = io.Copy(io.Discard, socket) // until the deadline
			}}
			e.play(t, k, place{port: callerPort, path: path})
			if began := server.began.Load(); began < minBegun {
				t.Errorf("the server has begun %d responses, want %d or more", began, minBegun)
			}
		})
	}
}

// startEndlessServer starts a server that serves until the end of the test.
func (e *environment) startEndlessServer(t *testing.T, response endless, lastOctet int) *endlessServer {
	t.Helper()
	address := e.address(lastOctet, 19000)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := &endlessServer{endless: response}
	go s.run(listener)
	entry := map[string]any{
		"service": "faulty", "address": address, "zone": "z1", "version": worker.DefaultVersion, "slots": 500, "state": "ready", "sequence": 1, "born": time.Now().UnixMilli(),
	}
	if !response.isPlain {
		entry["service"], entry["stage"] = "faulty-model", "decode"
	}
	key := fmt.Sprintf("servers/faulty-%d", lastOctet)
	e.store.Put(key, entry)
	t.Cleanup(func() {
		listener.Close()
		e.store.Remove(key)
	})
	return s
}

func (s *endlessServer) run(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(socket)
	}
}

// serve responds to calls as a sound server does, and to the request or the call in question
// without end.
func (s *endlessServer) serve(socket net.Conn) {
	defer socket.Close()
	reader := bufio.NewReader(socket)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // the server responds also to a part of it
		if _, call, ok := strings.Cut(request.URL.Path, "/hickoryfront/"); ok && (s.call == "" || !strings.HasPrefix(call, s.call)) {
			const reply = `{"hold":"h","stage":"decode"}`
			write(socket, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(reply), reply))
			continue
		}
		if err := socket.SetDeadline(time.Now().Add(endlessTime)); err != nil {
			return
		}
		s.began.Add(1)
		s.send(socket, request.Header.Get("Request-Id"))
		return
	}
}

// send sends the response to the request with the given ID until the caller closes the connection.
func (s *endlessServer) send(socket net.Conn, id string) {
	part := strings.Repeat(s.part, 1+(16<<10)/len(s.part))
	sent := 0
	for ok := write(socket, strings.Replace(s.start, "%s", id, 1)); ok; sent += len(part) {
		if s.silentAfter > 0 && sent+len(part) > s.silentAfter {
			_, _ = socket.Read(make([]byte, 1)) // until the caller closes the connection
			return
		}
		ok = write(socket, part)
	}
}

// newStore returns a store with the configuration of all services.
func newStore() *metastore.Store {
	store := metastore.New()
	route := func(name, kind, service string, isModel bool) map[string]any {
		r := map[string]any{
			"name": name, "hostname": "h.example", "path-prefix": "/" + name + "/", "kind": kind, "service": service, "timeout-ms": 20000, "max-attempts": 1,
		}
		if isModel {
			r["sticky-sessions"], r["target-latency-ms"] = true, 4000
		}
		return r
	}
	store.Put("op/config", map[string]any{
		"version": 1, "routes": []any{
			route("lookup", "safe", "shop", false), route("long", "safe", "long", false),
			route("faulty", "safe", "faulty", false), route("draft", "streaming", "faulty-model", true),
		},
		"limits": map[string]any{"max-header-bytes": 16 << 10, "max-body-bytes": 4 << 20, "header-timeout-ms": 3000},
	})
	return store
}
