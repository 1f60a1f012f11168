package caller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/hickoryfront/hickoryfront/core/tokenstream"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/caller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
)

const streamRequest = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Workspace: w\r\nContent-Length: %d\r\n\r\n%s"

type (
	// endlessModels is a model service whose responses continue until the sink
	// reports an error.
	endlessModels struct {
		*fakeBackends
		tokens   int
		duration time.Duration
		done     chan struct{}
	}

	// pipeListener accepts connections that have no buffer.
	pipeListener struct {
		conns  chan net.Conn
		closed chan struct{}
		once   sync.Once
	}
)

func (e *endlessModels) Run(_ context.Context, _ dispatch.ModelRequest, sink dispatch.Sink) error {
	defer close(e.done)
	started := time.Now()
	for i := 0; ; i++ {
		if err := sink.Token(tokenstream.Token{Offset: i, Text: "token "}); err != nil {
			e.tokens = i
			e.duration = time.Since(started)
			return context.Canceled
		}
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestSlowReaderTimeout guards against a caller that stops reading, or reads
// a byte now and then, and so holds an engine's slot for longer than the
// profile allows.
//
// proof: caller cancels | stream | 1
func TestSlowReaderTimeout(t *testing.T) {
	readers := map[string]func(conn net.Conn){
		"stops reading": func(net.Conn) {},
		"reads a byte now and then": func(conn net.Conn) {
			for buffer := make([]byte, 1); ; time.Sleep(20 * time.Millisecond) {
				if _, err := conn.Read(buffer); err != nil {
					return
				}
			}
		},
	}
	for name, read := range readers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeBackends(t)
				e := &endlessModels{fakeBackends: f, done: make(chan struct{})}
				gin.SetMode(gin.TestMode)
				router := gin.New()
				caller.New(e, fakePlain{f}, nil, f, f, f, f, 10).Routes(router)
				listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				server := &http.Server{Handler: router}
				go server.Serve(listener)
				defer server.Close()
				clientConn, serverConn := net.Pipe()
				var group sync.WaitGroup
				defer group.Wait()
				defer clientConn.Close()
				listener.conns <- serverConn
				body := `{"model":"m","prompt":"x","stream":true}`
				if _, err := fmt.Fprintf(clientConn, streamRequest, len(body), body); err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(clientConn, make([]byte, 1000)); err != nil {
					t.Fatal(err)
				}
				group.Go(func() { read(clientConn) })
				<-e.done
				limit := f.document.Profiles["p"].SlowReaderTimeout
				if e.duration > limit {
					t.Errorf("slot held for %v, want at most %v", e.duration, limit)
				}
				if e.tokens == 0 {
					t.Error("the caller got no token")
				}
			})
		})
	}
}
