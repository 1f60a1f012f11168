package edgedispatch_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/streamorigin"
)

// raw responds with the given bytes after the status line and the headers that name the request
// and the server, and closes the connection.
func raw(status, rest string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err) // only for a server that can't be hijacked
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Stamp: stamp\r\n%s", status, r.Header.Get("Request-Id"), rest)
	}
}

// chunked returns the end of a head and a body in one chunk.
func chunked(body string) string {
	if body != "" {
		body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return "Transfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n"
}

// noStreams are responses that have no events, although some of them are well-formed streams.
var noStreams = map[string]http.HandlerFunc{
	"204":                             raw("204 No Content", "\r\n"),
	"206 with an event":               raw("206 Partial Content", "Content-Type: text/event-stream\r\n"+chunked("id: 3\n\n")),
	"201 with an event":               raw("201 Created", "Content-Type: text/event-stream\r\n"+chunked("id: 3\n\n")),
	"JSON with an event":              raw("200 OK", "Content-Type: application/json\r\n"+chunked("id: 3\n\n")),
	"text with an empty line":         raw("200 OK", "Content-Type: text/plain\r\n"+chunked("overloaded\n\n")),
	"no type, text":                   raw("200 OK", chunked("overloaded\n\n")),
	"stream of an error's text":       raw("200 OK", "Content-Type: text/event-stream\r\n"+chunked("event: error\ndata: overloaded\n\n")),
	"stream of another head":          raw("200 OK", "Content-Type: text/event-stream\r\n\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"),
	"empty, with a length":            raw("200 OK", "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"),
	"empty, in chunks":                raw("200 OK", "Content-Type: text/event-stream\r\n"+chunked("")),
	"empty, ends with its connection": raw("200 OK", "Content-Type: text/event-stream\r\n\r\n"),
	"only a comment":                  raw("200 OK", "Content-Type: text/event-stream\r\n"+chunked(": ping\n\n")),
	"only events that the caller has": raw("200 OK", "Content-Type: text/event-stream\r\n"+chunked("id: 1\n\nid: 2\n\n")),
}

// TestResponseWithoutEvents guards against a stream that ends as complete, or that has other bytes
// than its events in it, because a server responds with something else than a stream or with one
// that has no event.
func TestResponseWithoutEvents(t *testing.T) {
	once := route.Route{Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
	twice := route.Route{Kind: route.Streaming, IsGeneration: true, IsResumable: true, MaxServers: 2}
	thrice := twice
	thrice.MaxServers = 3
	for name, response := range noStreams {
		tests := []struct {
			name       string
			route      route.Route
			servers    []http.HandlerFunc
			wantStatus int // 0: truncated
			wantBody   string
		}{
			{"at first", once, []http.HandlerFunc{response}, http.StatusBadGateway, ""},
			{"at first, and the next server responds", twice, []http.HandlerFunc{response, events("1", "2", "3")}, http.StatusOK, "id: 1\n\nid: 2\n\nid: 3\n\n"},
			{"after a break", twice, []http.HandlerFunc{eventsThenBreak("1", "2"), response}, 0, "id: 1\n\nid: 2\n\n"},
			{"after a break, and the next server goes on", thrice, []http.HandlerFunc{eventsThenBreak("1", "2"), response, events("3")}, http.StatusOK, "id: 1\n\nid: 2\n\nid: 3\n\n"},
		}
		for _, tt := range tests {
			if name == "only events that the caller has" && strings.HasPrefix(tt.name, "at first") {
				continue // there they are the stream
			}
			t.Run(name+", "+tt.name, func(t *testing.T) {
				t.Parallel()
				status, body := serve(t, startDecodeServers(t, tt.servers), tt.route, 100)
				if status != tt.wantStatus || body != tt.wantBody {
					t.Errorf("status %d, body %q; want %d and %q", status, body, tt.wantStatus, tt.wantBody)
				}
			})
		}
	}
}

// TestBytesAmongEvents guards against bytes in the middle of a caller's stream that are no event:
// the text of an error, or the whole head of another response.
func TestBytesAmongEvents(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	resumable := route.Route{Kind: route.Streaming, IsGeneration: true, IsResumable: true, MaxServers: 2}
	for name, bytes := range map[string]string{
		"head":           "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror",
		"text":           "overloaded\n\n",
		"error event":    "event: error\ndata: overloaded\n\n",
		"event, no ID":   "data: c\n\n",
		"part of a head": "HTTP/1.1 500 Internal",
	} {
		for framing, head := range map[string]string{"chunks": chunked("id: 1\n\nid: 2\n\n" + bytes), "no length": "\r\nid: 1\n\nid: 2\n\n" + bytes} {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				status, body := serve(t, startDecodeServers(t, []http.HandlerFunc{raw("200 OK", stream+head), events("3")}), resumable, 100)
				if want := "id: 1\n\nid: 2\n\nid: 3\n\n"; status != http.StatusOK || body != want {
					t.Errorf("status %d, body %q; want 200 and %q", status, body, want)
				}
			})
		}
	}
}

// TestStreamWithNothingLeft guards against a whole stream that is called broken: its server broke
// off after the last event, and the next one has nothing left to send. Only the maximum of output
// tokens, which the request states, shows that.
func TestStreamWithNothingLeft(t *testing.T) {
	all := []string{"1", "2", "3", "4", "5", "6", "7", "8", "9", "10"}
	resumable := route.Route{Kind: route.Streaming, IsGeneration: true, IsResumable: true, MaxServers: 2}
	for name, tt := range map[string]struct {
		events     []string
		wantStatus int // 0: truncated
	}{
		"all tokens were sent": {events: all, wantStatus: http.StatusOK},
		"one is missing":       {events: all[:9]},
	} {
		t.Run(name, func(t *testing.T) {
			status, body := serve(t, startDecodeServers(t, []http.HandlerFunc{eventsThenBreak(tt.events...), events()}), resumable, 100)
			if status != tt.wantStatus || !isWhole(body) {
				t.Errorf("status %d, want %d; body %q", status, tt.wantStatus, body)
			}
		})
	}
}

// TestCallerWithAllEvents guards against a response without a server's signature, when a caller
// resumes a stream of which it has all events.
func TestCallerWithAllEvents(t *testing.T) {
	d := newVersionDispatcher(t, &changingServers{list: startDecodeServers(t, []http.HandlerFunc{events()})}, &originPeers{finding: streamorigin.Finding{IsFound: true}})
	if status, body := resume(t, d, resumption{id: "r2", resumes: "r1", lastEvent: 10}); status != http.StatusOK || body != "" {
		t.Errorf("status %d, body %q; want 200 without events", status, body)
	}
}

// startDecodeServers starts a decode server for each handler. The requests go to them in order.
func startDecodeServers(t *testing.T, handlers []http.HandlerFunc) servers {
	t.Helper()
	var list servers
	var isNext []*atomic.Bool
	for i := range handlers {
		isNext = append(isNext, &atomic.Bool{})
		list = append(list, startDecodeServer(t, fmt.Sprint("server ", i), isNext[i], func(w http.ResponseWriter, r *http.Request) {
			isNext[i].Store(false)
			if i+1 < len(handlers) {
				isNext[i+1].Store(true)
			}
			handlers[i](w, r)
		}))
	}
	isNext[0].Store(true)
	return list
}

// TestHeadThatBreaksOff guards against a response that is taken for complete although its server
// has stopped in the middle of its head.
func TestHeadThatBreaksOff(t *testing.T) {
	plain := route.Route{Kind: route.Unsafe, MaxServers: 1}
	stream := route.Route{Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
	for name, tt := range map[string]struct {
		route route.Route
		head  string
	}{
		"plain, with a length":   {plain, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: stamp\r\nContent-Length: 2\r\n\r\n"},
		"plain, without":         {plain, "HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\nRequest-Id: r1\r\n\r\n"},
		"plain, bare line feeds": {plain, "HTTP/1.1 200 OK\nServer-Stamp: stamp\nRequest-Id: r1\n\n"},
		"stream, in chunks":      {stream, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"},
		"stream, without":        {stream, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: stamp\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var size atomic.Int64
			handler := func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err) // only for a server that can't be hijacked
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, tt.head[:size.Load()])
			}
			for cut := range len(tt.head) {
				size.Store(int64(cut))
				list := servers{startServer(t, "a", "", handler)}
				if tt.route.IsGeneration {
					list = startDecodeServers(t, []http.HandlerFunc{handler})
				}
				if status, body := serve(t, list, tt.route, 100); status != http.StatusBadGateway {
					t.Errorf("status %d with body %q after %q, want 502", status, body, tt.head[:cut])
				}
			}
		})
	}
}
