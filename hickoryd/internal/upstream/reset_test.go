package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// startEarlyServer returns the address of a server that responds without a length as soon as it
// has read a request's headers, and calls end once the test closes isRead. It reads no body.
func startEarlyServer(t *testing.T, isRead <-chan struct{}, end func(*net.TCPConn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		defer socket.Close()
		if _, err := http.ReadRequest(bufio.NewReader(socket)); err != nil {
			return
		}
		_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\npart")
		<-isRead
		end(socket.(*net.TCPConn))
		<-t.Context().Done()
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestResetDuringUpload guards against a reset that ends a response without a length and that
// only the writer of the request's body is told of. The reader is told of an end then.
func TestResetDuringUpload(t *testing.T) {
	finish := func(socket *net.TCPConn) { _ = socket.CloseWrite() }
	reset := func(socket *net.TCPConn) {
		_ = socket.SetLinger(0)
		socket.Close()
	}
	tests := []struct {
		name       string
		end        func(*net.TCPConn)
		isComplete bool
	}{
		{"reset", reset, false},
		{"end", finish, true},
		{"end, then a reset", func(socket *net.TCPConn) {
			finish(socket)
			time.Sleep(20 * time.Millisecond)
			reset(socket)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			isRead := make(chan struct{})
			request := get("r1")
			request.Method, request.Body = http.MethodPost, make([]byte, 16<<20)
			response, err := newPool().Do(t.Context(), startEarlyServer(t, isRead, tt.end), request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			close(isRead)
			time.Sleep(200 * time.Millisecond) // until the writer has been told of the reset
			body, err := response.ReadBody(1 << 10)
			if string(body) != "part" || (err == nil) != tt.isComplete || response.IsComplete() != tt.isComplete {
				t.Errorf("body %q, complete %t, error %v; want complete %t", body, response.IsComplete(), err, tt.isComplete)
			}
		})
	}
}
