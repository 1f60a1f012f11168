package main

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
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

// modelConfiguration is configuration with a route of resumable streams.
func modelConfiguration() map[string]any {
	document := configuration()
	document["routes"] = append(document["routes"].([]any), map[string]any{
		"name": "syllabus-match", "hostname": "shop.example", "path-prefix": "/match/", "kind": "streaming", "service": "lekhak", "timeout-ms": 14000,
		"target-latency-ms": 900, "priority": 1, "max-attempts": 2, "sticky-sessions": true, "resumable": true, "target-gap-ms": 300,
	})
	return document
}

// stream makes one attempt at a stream, or takes it up after an event. Streams with the same prompt
// have the same path, body and Prompt-Prefix.
func (d *deployment) stream(host int, id, resumes string, after int, prompt string, timeout time.Duration) (last int, isWhole bool, status int, err error) {
	last = after
	socket, err := net.DialTimeout("tcp4", d.hostAddress(host, callPort), time.Second)
	if err != nil {
		return last, false, 0, err
	}
	defer socket.Close()
	_ = socket.SetDeadline(time.Now().Add(timeout))
	body := "the prompt " + prompt
	head := fmt.Sprintf("POST /match/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nModel: m\r\nToken-Counts: 1000,%d\r\nPrompt-Prefix: 5c1e07a2:200,%08x:800\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n",
		id, events+10, crc32.ChecksumIEEE([]byte(prompt)), timeout.Milliseconds(), len(body))
	if resumes != "" {
		head += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", after, resumes)
	}
	if _, err := io.WriteString(socket, head+"\r\n"+body); err != nil {
		return last, false, 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(socket), nil)
	if err != nil {
		return last, false, 0, err
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return last, false, response.StatusCode, fmt.Errorf("%s", strings.TrimSpace(string(text)))
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(text)
		}
	}
	return last, lines.Err() == nil && last == events, response.StatusCode, lines.Err()
}
