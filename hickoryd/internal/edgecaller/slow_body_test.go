package edgecaller_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgecaller"
)

const (
	slowCallers = 500
	// hangTimeout ends a wait that would never end. It is not a bound on speed.
	hangTimeout = 2 * time.Minute
)

// slowCaller is a caller that sends one byte of its body every three seconds.
type slowCaller struct {
	path   string
	length int // of the body, in bytes
	want   int
}

var slowCallerKinds = []slowCaller{
	{path: "/a/", length: 9, want: http.StatusRequestTimeout},
	{path: "/a/", length: 1000, want: http.StatusRequestEntityTooLarge},
	{path: "/unknown/", length: 9, want: http.StatusNotFound},
}

// TestSlowBodiesEnd opens connections that send a byte of their bodies every three
// seconds. Without a time limit such callers would hold connections and memory for as
// long as they like. Each must get a final response, and other callers must be served
// meanwhile.
func TestSlowBodiesEnd(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(edgecaller.New(newRoutes(), servers{}, nil, dispatcher(echo), newLedger(), &log.Logger{Handler: discard.New()}, metrics.NewSet()))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var group sync.WaitGroup
	for i := range slowCallers {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		kind := slowCallerKinds[i%len(slowCallerKinds)]
		group.Go(func() { kind.check(t, connection) })
	}
	if status, body, err := send(t, server.URL+"/a/", "r1", "b"); status != http.StatusOK {
		t.Errorf("caller beside the slow ones: status %d, %q, %v", status, body, err)
	}
	group.Wait()
}

func (c slowCaller) check(t *testing.T, connection net.Conn) {
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(hangTimeout)); err != nil {
		t.Error(err)
	}
	_, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\nContent-Length: %d\r\n\r\n", c.path, c.length)
	if err != nil {
		t.Error(err)
		return
	}
	done := make(chan struct{})
	defer close(done)
	go runSlowSend(connection, done)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Errorf("no final response: %v", err)
		return
	}
	response.Body.Close()
	if response.StatusCode != c.want {
		t.Errorf("%s: status %d, want %d", c.path, response.StatusCode, c.want)
	}
}

// runSlowSend sends a byte every three seconds until done is closed.
func runSlowSend(connection net.Conn, done <-chan struct{}) {
	ticker := time.NewTicker(3 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			_, _ = connection.Write([]byte("x")) // the host may have closed the connection
		}
	}
}
