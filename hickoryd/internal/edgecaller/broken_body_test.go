package edgecaller_test

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgecaller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
)

// TestBodyThatBreaksOff guards against running a part of a request: callers close their
// connections after each byte of their bodies, in every framing.
func TestBodyThatBreaksOff(t *testing.T) {
	t.Parallel()
	text := strings.Repeat("0123456789", 1000) // longer than the first buffer
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name, head, body string
		protocol         string // "": HTTP/1.1
		cuts             []int  // nil: at each byte
		want             string // of a request that is refused: "refused"
	}{
		{name: "length", head: "Content-Length: 10\r\n\r\n", body: "0123456789", want: "0123456789"},
		{name: "chunks", head: chunked, body: "4\r\n0123\r\n3\r\n456\r\n0\r\n\r\n", want: "0123456"},
		{name: "trailer", head: "Trailer: T\r\n" + chunked, body: "4\r\n0123\r\n0\r\nT: 1\r\n\r\n", want: "0123"},
		{name: "no chunk", head: chunked, body: "0\r\n\r\n"},
		{name: "chunks in HTTP/1.0", protocol: "HTTP/1.0", head: chunked, body: "4\r\n0123\r\n0\r\n\r\n", want: "refused"},
		{name: "end of connection in HTTP/1.0", protocol: "HTTP/1.0", head: "\r\n", body: "0123", want: "refused"},
		{name: "length in HTTP/1.0", protocol: "HTTP/1.0", head: "Content-Length: 4\r\n\r\n", body: "0123", want: "0123"},
		{name: "chunks beyond the first buffer", head: chunked, body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text), cuts: []int{100, 8195, 8197, 9000, 10005, 10008, 10010}, want: text},
		{name: "chunks up to the limit", head: chunked, body: fmt.Sprintf("%x\r\n%s%s\r\n0\r\n\r\n", 2*len(text), text, text), cuts: []int{20004, 20006, 20008, 20010, 20012}, want: text + text},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var ran atomic.Pointer[edgedispatch.Request]
			dispatch := func(request *edgedispatch.Request, sink edgedispatch.Sink) error {
				ran.Store(request)
				return sink.Start(http.StatusOK, http.Header{})
			}
			table := routes{route.NewTable(&route.Configuration{
				Version: 3, Limits: route.Limits{BodyBytes: int64(2 * len(text))},
				Routes: []route.Route{{Name: "r", HostName: "h.example", PathPrefix: "/a/", Timeout: time.Second}},
			})}
			handler := edgecaller.New(table, servers{}, nil, dispatcher(dispatch), newLedger(), &log.Logger{Handler: discard.New()}, metrics.NewSet())
			server := httptest.NewServer(handler)
			t.Cleanup(server.Close)
			head := "POST /a/ " + cmp.Or(test.protocol, "HTTP/1.1") + "\r\nHost: h.example\r\nRequest-Id: r1\r\n" + test.head
			cuts := test.cuts
			if cuts == nil {
				for cut := range len(test.body) {
					cuts = append(cuts, cut)
				}
			}
			for _, cut := range cuts {
				closeAfter(t, server, head+test.body[:cut])
				if request := ran.Load(); request != nil {
					t.Fatalf("a request ran that broke off after %d of %d bytes, with a body of %d bytes", cut, len(test.body), len(request.Body))
				}
			}
			closeAfter(t, server, head+test.body)
			request := ran.Load()
			if test.want == "refused" && request != nil {
				t.Errorf("a request ran of which nothing states the end of its body %q", request.Body)
			}
			if test.want != "refused" && (request == nil || string(request.Body) != test.want) {
				t.Errorf("the whole request did not run as it was sent: %v", request)
			}
		})
	}
}

// closeAfter sends text on a new connection, ends its own side of it, and waits until the server
// has ended the other.
func closeAfter(t *testing.T, server *httptest.Server, text string) {
	t.Helper()
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
	if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, connection); err != nil {
		t.Fatal(err)
	}
}
