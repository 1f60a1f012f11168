package service_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/service"
)

// serveRaw returns the URL of a server that passes each connection to respond once it has read a
// request's headers, and then closes the connection. A respond that closes the listener ends the
// server.
func serveRaw(t *testing.T, respond func(net.Listener, *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(socket)); err == nil {
				respond(listener, socket.(*net.TCPConn))
			}
			socket.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// TestServerEndsWithItsResponse guards against a response without a length whose server has crashed:
// the kernel ends the connections of a process in order, as for a complete response.
func TestServerEndsWithItsResponse(t *testing.T) {
	for name, tt := range map[string]struct {
		response string
		isAlive  bool
		want     error
	}{
		"server crashes":                  {"HTTP/1.1 200 OK\r\n\r\npart", false, service.ErrBroken},
		"server crashes after its length": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", false, nil},
		"server lives":                    {"HTTP/1.1 200 OK\r\n\r\npart", true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			url := serveRaw(t, func(listener net.Listener, socket *net.TCPConn) {
				if !tt.isAlive {
					listener.Close()
				}
				_, _ = io.WriteString(socket, tt.response)
			})
			got, err := service.New().DoURL(t.Context(), url, service.Call{Method: http.MethodPost})
			if !errors.Is(err, tt.want) || err == nil && string(got.Body) != "part" {
				t.Errorf("body %q, error %v; want error %v", got.Body, err, tt.want)
			}
		})
	}
}

// TestMalformedResponse guards against a response that is none of HTTP/1.1 and that a caller gets
// all the same.
func TestMalformedResponse(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":                      "HTTP/1.1 000 \r\nContent-Length: 4\r\n\r\nbody",
		"blank in a name":                 "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 4\r\n\r\nbody",
		"blank in the name of the length": "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody and more",
		"control byte in a name":          "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nContent-Length: 4\r\n\r\nbody",
		"control byte in a value":         "HTTP/1.1 200 OK\r\nX: \x01\r\nContent-Length: 4\r\n\r\nbody",
		"blank in a trailer":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n",
		"control byte in a trailer":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX\x01Y: 1\r\n\r\n",
		"length and chunks":               "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"chunks of HTTP/1.0":              "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"two lengths":                     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nbody",
		"list of lengths":                 "HTTP/1.1 200 OK\r\nContent-Length: 4, 9\r\n\r\nbody",
		"signed length":                   "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody",
		"another coding":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody",
		"chunks twice":                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			url := serveRaw(t, func(_ net.Listener, socket *net.TCPConn) { _, _ = io.WriteString(socket, response) })
			got, err := service.New().DoURL(t.Context(), url, service.Call{Method: http.MethodPost})
			if !errors.Is(err, service.ErrBroken) {
				t.Errorf("status %d, headers %q, body %q, error %v; want %v", got.Status, got.Headers, got.Body, err, service.ErrBroken)
			}
		})
	}
}

// TestEndDuringUpload guards against a reset that is taken for the end of a response without a
// length, and against an end that is taken for a reset. Either the reader of the response or the
// writer of the request is told of a reset.
func TestEndDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	reset := func(socket *net.TCPConn) error { return socket.SetLinger(0) }
	for name, tt := range map[string]struct {
		response string
		end      func(*net.TCPConn) error
		tries    int
		want     error
	}{
		"reset":                {head + "\r\npart", reset, 300, service.ErrBroken},
		"end":                  {head + "\r\nwhole", (*net.TCPConn).CloseWrite, 50, nil}, // and a reset, as the server doesn't read the request
		"reset after a length": {head + "Content-Length: 5\r\n\r\nwhole", reset, 300, nil},
	} {
		t.Run(name, func(t *testing.T) {
			url := serveRaw(t, func(_ net.Listener, socket *net.TCPConn) {
				_, _ = io.WriteString(socket, tt.response)
				_ = tt.end(socket)
			})
			client, call := service.New(), service.Call{Method: http.MethodPost, Body: make([]byte, 8<<20)}
			wrong := 0
			for range tt.tries {
				if _, err := client.DoURL(t.Context(), url, call); !errors.Is(err, tt.want) {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d calls have another error than %v", wrong, tt.tries, tt.want)
			}
		})
	}
}
