package edgecaller_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/memoryledger"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgecaller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
)

func newLedger() *memoryledger.Ledger { return memoryledger.New(1 << 20) }

// slowBody is a body that arrives in parts with pauses.
type slowBody struct {
	parts int
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.parts == 0 {
		return 0, io.EOF
	}
	b.parts--
	time.Sleep(b.pause)
	return copy(p, bytes.Repeat([]byte("x"), min(len(p), 8<<10))), nil
}

// TestLongBodiesTogether guards against long bodies that arrive together and take more memory
// than the host has, and against a refused caller that gets no answer. Short requests beside them
// are served.
func TestLongBodiesTogether(t *testing.T) {
	const bodyBytes, callers = 400 << 10, 20
	for _, isSized := range []bool{false, true} {
		memory := newLedger()
		var most atomic.Int64
		table := route.NewTable(&route.Configuration{
			Version: 1, Limits: route.Limits{BodyBytes: bodyBytes},
			Routes: []route.Route{{Name: "r", HostName: "h.example", PathPrefix: "/a/", Timeout: time.Minute}},
		})
		dispatch := dispatcher(func(_ *edgedispatch.Request, sink edgedispatch.Sink) error {
			most.Store(max(most.Load(), memory.Used()))
			return sink.Start(http.StatusOK, http.Header{})
		})
		server := httptest.NewServer(edgecaller.New(routes{table}, servers{}, nil, dispatch, memory, &log.Logger{Handler: discard.New()}, metrics.NewSet()))
		defer server.Close()
		var group sync.WaitGroup
		var served, refused atomic.Int64
		call := func(body io.Reader, size int64) int {
			request, err := http.NewRequest(http.MethodPost, server.URL+"/a/", body)
			if err != nil {
				t.Error(err)
				return 0
			}
			request.Host, request.ContentLength = "h.example", size
			request.Header.Set("Request-Id", "r")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Errorf("sized %t: no answer: %v", isSized, err)
				return 0
			}
			defer response.Body.Close()
			_, _ = io.Copy(io.Discard, response.Body)
			return response.StatusCode
		}
		for range callers {
			group.Go(func() {
				size := int64(-1)
				if isSized {
					size = bodyBytes
				}
				switch status := call(&slowBody{parts: bodyBytes >> 13, pause: time.Millisecond}, size); status {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					t.Errorf("status %d", status)
				}
			})
			group.Go(func() {
				if status := call(bytes.NewReader([]byte("short")), 5); status != http.StatusOK {
					t.Errorf("a short request got status %d beside long ones", status)
				}
			})
		}
		group.Wait()
		if served.Load() == 0 || refused.Load() == 0 || most.Load() > 1<<20 || memory.Used() != 0 {
			t.Errorf("sized %t: %d served, %d refused, at most %d bytes taken, %d at the end; want some of both, at most 1 MiB and none",
				isSized, served.Load(), refused.Load(), most.Load(), memory.Used())
		}
	}
}
