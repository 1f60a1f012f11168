package edgecaller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/draining"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgecaller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
)

// heldBody is a body that arrives only after it was released.
type heldBody struct {
	io.Reader
	// awaited is closed when the body is read for the first time.
	awaited  chan struct{}
	released chan struct{}
	once     sync.Once
}

func (b *heldBody) Read(p []byte) (int, error) {
	b.once.Do(func() { close(b.awaited) })
	<-b.released
	return b.Reader.Read(p)
}

// TestSlowBodyAcrossDrain guards against a request that is accepted because its headers
// arrived before the drain began, although its body arrives too late for the request to
// end before the host does.
func TestSlowBodyAcrossDrain(t *testing.T) {
	const delay = 200 * time.Millisecond // of the body
	tests := []struct {
		name string
		kind route.Kind
		// timeout is the route's.
		timeout time.Duration
		// drainTime is the time from the arrival of the headers until a draining host ends.
		drainTime time.Duration
		want      int
	}{
		{name: "a call that can't end in time", kind: route.Safe, timeout: time.Minute, drainTime: 50 * time.Second, want: http.StatusServiceUnavailable},
		{name: "a call that ends in time", kind: route.Safe, timeout: time.Minute, drainTime: 2 * time.Minute, want: http.StatusOK},
		{name: "a stream that can't end in time", kind: route.Streaming, timeout: time.Minute, drainTime: 4 * time.Second, want: http.StatusServiceUnavailable},
		// A typical stream takes five seconds from the arrival of its body.
		{name: "a stream that the delay of the body makes too late", kind: route.Streaming, timeout: time.Minute, drainTime: 5*time.Second + delay/2, want: http.StatusServiceUnavailable},
		{name: "a stream that ends in time", kind: route.Streaming, timeout: time.Minute, drainTime: time.Minute, want: http.StatusOK},
		{name: "a stream whose deadline is before the end", kind: route.Streaming, timeout: 4 * time.Second, drainTime: 4*time.Second + delay/2, want: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var isDispatched atomic.Bool
			dispatch := dispatcher(func(request *edgedispatch.Request, sink edgedispatch.Sink) error {
				isDispatched.Store(true)
				return echo(request, sink)
			})
			table := route.NewTable(&route.Configuration{
				Version: 3, Limits: route.Limits{BodyBytes: 10},
				Routes: []route.Route{{Name: "r", HostName: "h.example", PathPrefix: "/a/", Kind: tt.kind, Timeout: tt.timeout}},
			})
			handler := edgecaller.New(routes{table}, servers{}, nil, dispatch, newLedger(), &log.Logger{Handler: discard.New()}, metrics.NewSet())
			body := &heldBody{Reader: strings.NewReader("b"), awaited: make(chan struct{}), released: make(chan struct{})}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.Body = io.NopCloser(body)
				handler.ServeHTTP(w, r)
			}))
			defer server.Close()
			go body.runDrain(handler, tt.drainTime, delay)
			status, text, err := send(t, server.URL+"/a/", "r1", "b")
			if err != nil || status != tt.want {
				t.Errorf("status %d, want %d; body %q; error %v", status, tt.want, text, err)
			}
			if want := tt.want == http.StatusOK; isDispatched.Load() != want {
				t.Errorf("dispatched: %t, want %t", !want, want)
			}
		})
	}
}

// runDrain begins to drain the host while the body is awaited, and releases the body
// after delay.
func (b *heldBody) runDrain(handler *edgecaller.Handler, drainTime, delay time.Duration) {
	<-b.awaited
	stop := time.Now().Add(drainTime)
	handler.Drain(draining.Stop{OutOfRotation: stop, End: stop})
	time.Sleep(delay)
	close(b.released)
}
