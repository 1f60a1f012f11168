package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in of a plain back end (PROTOCOL, Workers). Each host reaches it at a port of
// its own, so that the path of one host can be cut.
type worker struct {
	id, service, ip string
	// zone is salt-lake if empty. stage is that of a model worker, or empty.
	zone, stage string
	hosts       int
	store       *store
	// header and delay change its answers. handle, if set, may answer in its place and returns
	// true then.
	mu      sync.Mutex
	header  map[string]string
	delay   time.Duration
	handle  func(host int, w http.ResponseWriter, r *http.Request) bool
	servers []*http.Server
	born    int64
	ran     func(host int, id string, r *http.Request)
}

const workerPort = 19000

func (wk *worker) entry(state string) map[string]any {
	entry := map[string]any{
		"service": wk.service, "address": fmt.Sprintf("%s:%d", wk.ip, workerPort), "zone": wk.zone, "version": "v1", "slots": 6, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "born": wk.born,
	}
	if wk.stage != "" {
		entry["stage"], entry["slots"] = wk.stage, 64
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return entry
}

// start listens for all hosts and registers the worker.
func (wk *worker) start() error {
	if wk.zone == "" {
		wk.zone = zones[0]
	}
	wk.born = time.Now().UnixMilli()
	wk.servers = make([]*http.Server, wk.hosts)
	for host := range wk.hosts {
		if err := wk.connect(host); err != nil {
			return err
		}
	}
	wk.store.Put("servers/"+wk.id, wk.entry("ready"))
	return nil
}

// connect restores the path of a host to the worker.
func (wk *worker) connect(host int) error {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", wk.ip, workerPort+host))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { wk.serve(host, w, r) })}
	wk.servers[host] = server
	go func() { _ = server.Serve(l) }()
	return nil
}

// cut cuts the path of a host: connections are closed, and new ones are refused.
func (wk *worker) cut(host int) {
	_ = wk.servers[host].Close()
}

// crash ends the worker: its connections are closed, and new ones are refused.
func (wk *worker) crash() {
	for host := range wk.hosts {
		wk.cut(host)
	}
}

// rewrite gives a host the address at which it reaches a worker.
func rewrite(host int) func(key string, value []byte) []byte {
	return func(key string, value []byte) []byte {
		var entry map[string]any
		if len(key) < 8 || key[:8] != "servers/" || json.Unmarshal(value, &entry) != nil {
			return value
		}
		ip, _, _ := net.SplitHostPort(entry["address"].(string))
		entry["address"] = fmt.Sprintf("%s:%d", ip, workerPort+host)
		text, _ := json.Marshal(entry)
		return text
	}
}

func (wk *worker) serve(host int, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != wk.id {
		w.Header().Set("Instance-Id", wk.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	wk.mu.Lock()
	handle, delay := wk.handle, wk.delay
	for name, value := range wk.header {
		w.Header()[name] = []string{value}
	}
	wk.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if wk.stage != "" && wk.call(w, r) {
		return
	}
	if id == "" {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if wk.ran != nil {
		wk.ran(host, id, r)
	}
	if handle != nil && handle(host, w, r) {
		return
	}
	if wk.stage != "" {
		wk.stream(w, r)
		return
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Server-Stamp", "stamp."+wk.id+"."+id)
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s ran %s, %d bytes\n", wk.id, id, len(body))
}
