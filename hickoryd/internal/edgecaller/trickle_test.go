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
	tricklers = 500
	// hangGuard ends a wait that would never end; it is no bound on speed.
	hangGuard = 2 * time.Minute
)

// trickler is a caller that sends a byte of its body every three seconds.
type trickler struct {
	path   string
	length int
	want   int
}

var kinds = []trickler{
	{path: "/a/", length: 9, want: http.StatusRequestTimeout},
	{path: "/a/", length: 1000, want: http.StatusRequestEntityTooLarge},
	{path: "/unknown/", length: 9, want: http.StatusNotFound},
}

// TestTricklingBodiesEnd opens connections that send a byte of their bodies every
// three seconds. Each gets its final answer, and others are served meanwhile.
func TestTricklingBodiesEnd(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(edgecaller.New(known(), dispatcher(echo), &log.Logger{Handler: discard.New()}, metrics.NewSet()))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var group sync.WaitGroup
	for i := range tricklers {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		kind := kinds[i%len(kinds)]
		group.Go(func() { kind.check(t, connection) })
	}
	if status, body, err := send(t, server.URL+"/a/", "r1", "b"); status != http.StatusOK {
		t.Errorf("beside the tricklers: status %d, %q, %v", status, body, err)
	}
	group.Wait()
}

func (k trickler) check(t *testing.T, connection net.Conn) {
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(hangGuard)); err != nil {
		t.Error(err)
	}
	_, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\nContent-Length: %d\r\n\r\n", k.path, k.length)
	if err != nil {
		t.Error(err)
		return
	}
	done := make(chan struct{})
	defer close(done)
	go runTrickle(connection, done)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Errorf("no final answer: %v", err)
		return
	}
	response.Body.Close()
	if response.StatusCode != k.want {
		t.Errorf("%s: status %d, want %d", k.path, response.StatusCode, k.want)
	}
}

// runTrickle sends a byte every three seconds until done is closed.
func runTrickle(connection net.Conn, done <-chan struct{}) {
	ticker := time.NewTicker(3 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			_, _ = connection.Write([]byte("x")) // the host may have ended it
		}
	}
}
