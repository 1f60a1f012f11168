package edgedispatch_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/route"
)

// TestMalformedResponse guards against a response that is none of HTTP/1.1 and that a caller gets
// all the same. Its request may have run.
func TestMalformedResponse(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	unsafe := route.Route{Kind: route.Unsafe, MaxServers: 2}
	safe := route.Route{Kind: route.Safe, MaxServers: 2}
	stream := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 2}
	resumable := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, IsResumable: true, MaxServers: 2}
	for name, first := range map[string]struct{ statusLine, rest string }{
		"status 000":                      {"HTTP/1.1 000 \r\n", "Content-Length: %d\r\n\r\n%s"},
		"status above 599":                {"HTTP/1.1 700 Odd\r\n", "Content-Length: %d\r\n\r\n%s"},
		"blank in a name":                 {statusLine, "X Y: 1\r\nContent-Length: %d\r\n\r\n%s"},
		"blank in the name of the length": {statusLine, "Content-Length : %d\r\n\r\n%s"},
		"blank in the name of the coding": {statusLine, "Transfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"},
		"control byte in a name":          {statusLine, "X\x01Y: 1\r\nContent-Length: %d\r\n\r\n%s"},
		"length and chunks":               {statusLine, "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"},
		"chunks of HTTP/1.0":              {"HTTP/1.0 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, tt := range []struct {
				route      route.Route
				body       string
				wantStatus int
				wantBody   string
			}{
				{unsafe, "body", http.StatusBadGateway, ""},
				{safe, "body", http.StatusOK, "ok"},
				{stream, "id: 1\n\n", http.StatusBadGateway, ""},
				{resumable, "id: 1\n\n", http.StatusOK, "id: 1\n\nid: 2\n\n"},
			} {
				var hasCapacity atomic.Bool
				hasCapacity.Store(true)
				respond := respondRaw(first.statusLine, fmt.Sprintf(first.rest, len(tt.body), tt.body), false)
				list := servers{startServer(t, "first", "", respond), startServer(t, "second", "", ok)}
				if tt.route.IsGeneration {
					list = servers{startDecodeServer(t, "first", &hasCapacity, respond), startDecodeServer(t, "second", &hasCapacity, events("1", "2"))}
				}
				list[1].FailureDomain = "elsewhere" // the first server is preferred
				status, body := serve(t, list, tt.route, 100)
				if status != tt.wantStatus || body != tt.wantBody {
					t.Errorf("%s: status %d, body %q; want %d and %q", tt.route.Kind, status, body, tt.wantStatus, tt.wantBody)
				}
			}
		})
	}
}
