package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
	dying   []*dyingListener
	born    int64
	ran     func(host int, id string, r *http.Request)
	// deadly is called when it begins to run a request that crashes it.
	deadly func(host int, id string)
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
	wk.servers, wk.dying = make([]*http.Server, wk.hosts), make([]*dyingListener, wk.hosts)
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
	d := &dyingListener{Listener: l}
	wk.servers[host], wk.dying[host] = server, d
	go func() { _ = server.Serve(d) }()
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

// crashSlowly ends the worker as the kernel may end a process: its connections are closed first, and
// the sockets that it listens on after a time. Until then the kernel takes new connections, which
// nobody reads.
func (wk *worker) crashSlowly(after time.Duration) {
	for _, d := range wk.dying {
		d.die()
	}
	time.Sleep(after)
	wk.crash()
	for _, d := range wk.dying {
		d.end()
	}
}

// dyingListener tracks its connections, so that they can be closed before it.
type dyingListener struct {
	net.Listener
	mu     sync.Mutex
	isDead bool
	conns  []net.Conn
}

func (d *dyingListener) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		d.mu.Lock()
		isDead := d.isDead
		d.conns = append(d.conns, c)
		d.mu.Unlock()
		if !isDead {
			return c, nil
		}
	}
}

func (d *dyingListener) die() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isDead = true
	for _, c := range d.conns {
		_ = c.Close()
	}
	d.conns = nil
}

func (d *dyingListener) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		reset(c)
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
	if wk.deadly != nil && strings.Contains(string(body), "POISON") {
		wk.deadly(host, id)
		return
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
