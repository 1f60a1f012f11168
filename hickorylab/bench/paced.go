package bench

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	wire "github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
)

// pacedEngine is an engine stand-in that streams tokens at a fixed interval, pace, and
// without any prefill time. With pace 0 it writes as fast as possible. It keeps
// no tokens, so every resume gets status 404.
type pacedEngine struct {
	pace time.Duration
}

// ServeHTTP implements http.Handler.
func (e pacedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case wire.PathDecode:
	case wire.PathResume:
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(wire.ErrorReply{Code: wire.CodeGone}) // fails if the daemon has disconnected
		return
	default:
		serveStatusOnly(w, r)
		return
	}
	var request wire.DecodeRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.stream(w, r, request)
}

func (e pacedEngine) stream(w http.ResponseWriter, r *http.Request, request wire.DecodeRequest) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	seed := engine.Seed(request.Prompt)
	waiter := newPacer(e.pace)
	defer waiter.stop()
	end := request.Offset + request.MaxTokens
	for i := request.Offset; i < end; i++ {
		data, err := json.Marshal(wire.TokenEvent{Offset: i, Text: engine.TokenText(seed, i), Last: i == end-1})
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		if e.pace > 0 {
			flusher.Flush()
		}
		if !waiter.wait(r.Context().Done()) {
			return
		}
	}
}

// pacer waits between tokens. Without a ticker it doesn't wait.
type pacer struct {
	ticker *time.Ticker
}

func newPacer(pace time.Duration) pacer {
	if pace == 0 {
		return pacer{}
	}
	return pacer{ticker: time.NewTicker(pace)}
}

func (p pacer) wait(done <-chan struct{}) bool {
	if p.ticker == nil {
		return true
	}
	select {
	case <-done:
		return false
	case <-p.ticker.C:
		return true
	}
}

func (p pacer) stop() {
	if p.ticker != nil {
		p.ticker.Stop()
	}
}
