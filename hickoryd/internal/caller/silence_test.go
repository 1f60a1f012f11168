package caller_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/hickoryfront/hickoryfront/core/tokenstream"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/caller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
)

// longText fills the flow-control window of a connection with a few tokens, long
// before the writes take as long as a caller may delay them.
var longText = strings.Repeat("token ", 1<<16)

// silentModels is a model service that is silent for a pause between two tokens.
type silentModels struct {
	*fakeBackends
	pause time.Duration
}

func (s silentModels) Run(_ context.Context, _ dispatch.ModelRequest, sink dispatch.Sink) error {
	for i, text := range []string{"before", "after"} {
		if i > 0 {
			time.Sleep(s.pause)
		}
		if err := sink.Token(tokenstream.Token{Offset: i, Text: text, Last: i == 1}); err != nil {
			return context.Canceled
		}
		if err := sink.Flush(); err != nil {
			return context.Canceled
		}
	}
	return nil
}

// flushingModels is a model service whose responses continue until the sink reports
// an error.
type flushingModels struct {
	*fakeBackends
	ended chan time.Duration
}

func (m flushingModels) Run(_ context.Context, _ dispatch.ModelRequest, sink dispatch.Sink) error {
	started := time.Now()
	var err error
	for i := 0; err == nil; i++ {
		if err = sink.Token(tokenstream.Token{Offset: i, Text: longText}); err == nil {
			err = sink.Flush()
		}
	}
	m.ended <- time.Since(started)
	return context.Canceled
}

// TestSilenceIsNoSlowReader guards against a response that is cut off because its
// engine is silent for longer than a caller may delay the writes.
//
// proof: silent connection | stream | 3
func TestSilenceIsNoSlowReader(t *testing.T) {
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			f := newFakeBackends(t)
			limit := limitSlowReader(f)
			server := startServer(t, f, silentModels{f, 3 * limit}, http2)
			response := startStream(t, server)
			defer response.Body.Close()
			if got := response.ProtoMajor == 2; got != http2 {
				t.Fatalf("served with %s", response.Proto)
			}
			text, err := io.ReadAll(response.Body)
			if err != nil || !strings.Contains(string(text), "after") || !strings.Contains(string(text), "[DONE]") {
				t.Errorf("got %q, %v; want both tokens and the end of the stream", text, err)
			}
		})
	}
}

// TestSlowReaderOverHTTP2 guards against a caller over HTTP/2 that stops reading and
// holds an engine's slot for longer than the profile allows.
//
// proof: caller cancels | stream | 1
func TestSlowReaderOverHTTP2(t *testing.T) {
	f := newFakeBackends(t)
	limit := limitSlowReader(f)
	models := flushingModels{f, make(chan time.Duration, 1)}
	response := startStream(t, startServer(t, f, models, true))
	defer response.Body.Close()
	select {
	case took := <-models.ended:
		t.Logf("ended after %v", took)
	case <-time.After(time.Minute):
		t.Errorf("a response that is not read is not ended; its writes may wait for %v", limit)
	}
}

// limitSlowReader sets a short limit for the writes of a response and returns it.
func limitSlowReader(f *fakeBackends) time.Duration {
	profile := f.document.Profiles["p"]
	profile.SlowReaderTimeout = 500 * time.Millisecond
	f.document.Profiles["p"] = profile
	return profile.SlowReaderTimeout
}

func startServer(t *testing.T, f *fakeBackends, models caller.Models, http2 bool) *httptest.Server {
	t.Helper()
	gin.SetMode(gin.TestMode)
	router := gin.New()
	caller.New(models, fakePlain{f}, nil, f, f, f, f, 10).Routes(router)
	server := httptest.NewUnstartedServer(router)
	server.EnableHTTP2 = http2
	server.StartTLS()
	t.Cleanup(server.Close)
	return server
}

// startStream sends a completion request and returns the response at its first token.
func startStream(t *testing.T, server *httptest.Server) *http.Response {
	t.Helper()
	body := strings.NewReader(`{"model":"m","prompt":"x","stream":true}`)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/completions", body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(caller.HeaderWorkspace, "w")
	response, err := server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}
