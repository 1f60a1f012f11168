package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
)

func serverAt(address string) backend.Server {
	return backend.Server{ID: "decode-1", Address: netip.MustParseAddrPort(address)}
}

// closedAddress returns an address at which nothing listens any more. The port may be
// assigned again at once, so the IP address is one at which serve starts no server.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestErrorsTellWhetherTheCallWasSent guards against a retry of a request that
// already runs: each error shows whether bytes can have reached the engine.
//
// proof: backend server killed | prefill | 4
func TestErrorsTellWhetherTheCallWasSent(t *testing.T) {
	disconnect := func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	}
	refuse := func(code string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprintf(w, `{"code":%q,"message":"m"}`, code)
		}
	}
	tests := map[string]struct {
		address string
		want    error
	}{
		"nothing listens":                {closedAddress(t), engine.ErrNotSent},
		"connection closed":              {serve(t, disconnect), engine.ErrBroken},
		"leaving":                        {serve(t, refuse(engine.CodeLeaving)), engine.ErrLeaving},
		"full":                           {serve(t, refuse(engine.CodeFull)), engine.ErrFull},
		"gone":                           {serve(t, refuse(engine.CodeGone)), engine.ErrGone},
		"unknown code of a newer engine": {serve(t, refuse("tired")), engine.ErrBroken},
		"not JSON":                       {serve(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>") }), engine.ErrBroken},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := engine.New().Prefill(t.Context(), serverAt(test.address), engine.PrefillRequest{RequestID: "r"})
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// TestKeptConnectionThatEndsCountsAsSent guards against ErrNotSent for a request
// that was sent. http.Transport retries a request when a keep-alive connection is
// closed during the request; if the retry can't connect, the first attempt may
// still have run.
func TestKeptConnectionThatEndsCountsAsSent(t *testing.T) {
	var server *httptest.Server
	calls := 0
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		if calls == 1 {
			fmt.Fprint(w, "{}")
			return
		}
		server.Listener.Close()
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	}))
	defer server.Close()
	client := engine.New()
	at := serverAt(server.Listener.Addr().String())
	if _, err := client.State(t.Context(), at.Address); err != nil {
		t.Fatal(err)
	}
	_, err := client.State(t.Context(), at.Address)
	if !errors.Is(err, engine.ErrBroken) {
		t.Errorf("got %v, want ErrBroken", err)
	}
}

// TestSecondReplyToPrefill guards against the KV cache of another request: an engine sends its reply
// once more, where that to the next call on the connection is due.
func TestSecondReplyToPrefill(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go runRepeatingEngine(listener)
	client, at := engine.New(), serverAt(listener.Addr().String())
	for _, id := range []string{"a", "b"} {
		reply, err := client.Prefill(t.Context(), at, engine.PrefillRequest{RequestID: id})
		if err != nil || reply.KV.Handle != id {
			t.Errorf("request %s: handle %q, error %v", id, reply.KV.Handle, err)
		}
	}
}

// runRepeatingEngine replies to each prefill with a handle that is the request's ID, after the
// replies to the earlier calls on the connection.
func runRepeatingEngine(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go repeatReplies(socket)
	}
}

func repeatReplies(socket net.Conn) {
	defer socket.Close()
	reader, replies := bufio.NewReader(socket), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var prefill engine.PrefillRequest
		if err := json.NewDecoder(request.Body).Decode(&prefill); err != nil {
			return
		}
		body := fmt.Sprintf(`{"kv":{"handle":%q}}`, prefill.RequestID)
		replies += fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(socket, replies); err != nil {
			return
		}
	}
}

// TestStream reads a stream with comments to its end.
func TestStream(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, ": comment\n\ndata: {\"offset\":0,\"text\":\"a\"}\n\ndata: {\"offset\":1,\"text\":\"b\",\"last\":true}\n\n")
	})
	stream, err := engine.New().Decode(t.Context(), serverAt(address), engine.DecodeRequest{RequestID: "r"})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for i, want := range []string{"a", "b"} {
		token, err := stream.Next()
		if err != nil || token.Offset != i || token.Text != want || token.Last != (i == 1) {
			t.Errorf("token %d: %+v, %v", i, token, err)
		}
	}
	if _, err := stream.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last token: %v, want io.EOF", err)
	}
}

// TestCloseEndsASilentStream guards against a reader that hangs on a silent
// connection: Close unblocks Next.
//
// proof: silent connection | stream | 3
func TestCloseEndsASilentStream(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects the end of the connection only after reading the body
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream, err := engine.New().Resume(ctx, serverAt(address), engine.ResumeRequest{RequestID: "r"})
	if err != nil {
		t.Fatal(err)
	}
	go stream.Close()
	if _, err := stream.Next(); !errors.Is(err, engine.ErrBroken) {
		t.Errorf("got %v, want ErrBroken", err)
	}
}
