package edgedispatch_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

// endlessBody writes a body slowly until the caller closes the connection.
func endlessBody(w http.ResponseWriter, r *http.Request) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		_, _ = io.WriteString(w, "x")
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

func endlessRejection(w http.ResponseWriter, r *http.Request) {
	full(w, r)
	endlessBody(w, r)
}

// A rejected request must be sent to another server at once, also if the body of the
// rejection does not end.
func TestRejectionWithoutEnd(t *testing.T) {
	plain, stream := route.Route{Kind: route.Unsafe, MaxServers: 1}, route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
	tests := []struct {
		name  string
		route route.Route
		stage serverlist.Stage
		path  string // of the requests that are rejected
	}{
		{name: "plain request", route: plain, path: "/x"},
		{name: "reservation", route: stream, stage: serverlist.Decode, path: "/hickoryfront/hold-take"},
		{name: "run", route: stream, stage: serverlist.Decode, path: "/x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var hasCapacity atomic.Bool
			hasCapacity.Store(true)
			handler := decodeHandler(&hasCapacity, events("1"))
			other := startServer(t, "other", tt.stage, handler)
			if tt.stage == serverlist.NoStage {
				other = startServer(t, "other", tt.stage, ok)
			}
			other.FailureDomain = "elsewhere" // the server that rejects is preferred
			rejecting := startServer(t, "rejecting", tt.stage, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == tt.path {
					endlessRejection(w, r)
					return
				}
				handler(w, r)
			})
			if status, _ := serve(t, servers{rejecting, other}, tt.route, 100); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		})
	}
}

// The error response of a server that breaks off, or is too long to be kept, must not look
// complete to the caller.
func TestIncompleteErrorResponse(t *testing.T) {
	stream := route.Route{Name: "r", Kind: route.Streaming, IsGeneration: true, MaxServers: 1}
	for name, body := range map[string]struct {
		length string
		text   string
	}{
		"breaks off": {length: "100", text: "x"},
		"too long":   {text: strings.Repeat("x", 1<<20)},
	} {
		t.Run(name, func(t *testing.T) {
			var hasCapacity atomic.Bool
			hasCapacity.Store(true)
			server := startDecodeServer(t, "a", &hasCapacity, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Server-Stamp", "stamp")
				if body.length != "" {
					w.Header().Set("Content-Length", body.length)
				}
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = io.WriteString(w, body.text)
			})
			if status, got := serve(t, servers{server}, stream, 100); status != http.StatusBadGateway {
				t.Errorf("status %d with %d bytes, want a refusal", status, len(got))
			}
		})
	}
}
