package edgecaller_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/memoryledger"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgecaller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
)

// TestLargeResponsesTogether guards against long responses that arrive together and take more
// memory than there is, against a request that is refused after it has run, and against memory
// that is never given back.
func TestLargeResponsesTogether(t *testing.T) {
	const partBytes, room, callers = 100 << 10, 4, 20
	memory := memoryledger.New(room*partBytes + partBytes/2)
	var ran atomic.Int64
	release := make(chan struct{})
	close(release)
	dispatch := dispatcher(func(_ *edgedispatch.Request, sink edgedispatch.Sink) error {
		ran.Add(1)
		<-release
		if err := sink.Start(http.StatusOK, http.Header{}); err != nil {
			return err
		}
		return sink.Write(make([]byte, partBytes))
	})
	handler := edgecaller.New(newRoutes(), nil, nil, dispatch, newLedger(), &log.Logger{Handler: discard.New()}, metrics.NewSet())
	handler.CountResponses(memory)
	server := httptest.NewServer(handler)
	defer server.Close()
	if status, _, err := send(t, server.URL+"/a/", "first", ""); status != http.StatusOK { // the usual size is known from here on
		t.Fatalf("status %d, error %v", status, err)
	}
	release = make(chan struct{})
	var group sync.WaitGroup
	var refused atomic.Int64
	for range callers {
		group.Go(func() {
			status, _, err := send(t, server.URL+"/a/", "r", "")
			if status == http.StatusServiceUnavailable && refused.Add(1) == callers-room {
				close(release)
			} else if status != http.StatusOK && status != http.StatusServiceUnavailable {
				t.Errorf("status %d, error %v", status, err)
			}
		})
	}
	group.Wait()
	if ran.Load() != 1+room || refused.Load() != callers-room || memory.Used() != 0 {
		t.Errorf("%d ran, %d refused, %d bytes taken at the end; want %d, %d and none", ran.Load(), refused.Load(), memory.Used(), 1+room, callers-room)
	}
}
