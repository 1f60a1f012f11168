package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// events and eventPause are those of each stream.
const (
	events     = 100
	eventPause = 110 * time.Millisecond
)

var handles atomic.Uint64

// call answers a call of a model worker's interface, and reports whether it was one.
func (wk *worker) call(w http.ResponseWriter, r *http.Request) bool {
	path := strings.TrimPrefix(r.URL.Path, "/hickoryfront/")
	switch {
	case path == r.URL.Path:
		return false
	case path == "report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"waiting":0,"running":0,"kv-cache-used":0,"kv-cache-total":90000,"handles":0,"born":%d}`, wk.stage, wk.born)
	case path == "hold-take":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"hold":"h%d"}`, handles.Add(1))
	case r.Method == http.MethodDelete:
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	return true
}

// stream answers a request at a model worker: with a handle if only its prompt is to be read, and
// with events otherwise.
func (wk *worker) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Stamp", "stamp."+wk.id)
	w.Header().Set("Weight-Versions", "1")
	if r.Header.Get("Serving-Stage") == "prefill" {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"handle":"k%d","tokens":1000,"version":1}`, handles.Add(1))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		if _, err := io.WriteString(w, fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
	}
}
