package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cluster is what all workers share: the copies of memory that are on their way, and the
// record of what ran where.
type cluster struct {
	store  *store
	record *record

	mu      sync.Mutex
	handles map[string]handle // by "IP:PORT/HANDLE"
	ran     map[string]bool   // plain requests, by ID
	count   int
}

// handle is a copy of a request's memory.
type handle struct {
	request string
	tokens  int
}

// worker is one worker, as PROTOCOL.md describes it.
type worker struct {
	cluster                    *cluster
	id, service, address, zone string
	stage                      string
	version                    string // of its software
	// eventPause is the time between two events of a stream, plainTime the time that a plain
	// request takes.
	eventPause, plainTime time.Duration
	memory                int // tokens

	server *http.Server

	mu       sync.Mutex
	state    string
	born     time.Time
	orders   int
	used     int
	holds    map[string]int
	runs     map[string]*run
	answered int // streams
	// isUnframed says which of the next streams get an answer that ends with its connection.
	isUnframed func() bool
	// finished is closed when all streams come to their ends at once, as a model may end its
	// answer before the maximum of tokens.
	finished chan struct{}
	sockets  map[net.Conn]bool // of streams
}

// run is a stream in progress.
type run struct {
	last    int           // number of events that were made
	stopped chan struct{} // closed by a move with last
	gone    chan struct{} // closed when the stream has been closed
}

// start starts a worker with the version v1 of its software.
func (c *cluster) start(id, service, stage, zone, address string, memory int) (*worker, error) {
	return c.startVersion(id, service, stage, "v1", zone, address, memory)
}

func (c *cluster) startVersion(id, service, stage, version, zone, address string, memory int) (*worker, error) {
	w := &worker{
		cluster: c, id: id, service: service, stage: stage, version: version, zone: zone, address: address, memory: memory, state: "ready", born: time.Now(),
		eventPause: 20 * time.Millisecond, plainTime: 15 * time.Millisecond, holds: make(map[string]int), runs: make(map[string]*run),
		isUnframed: func() bool { return false }, finished: make(chan struct{}), sockets: make(map[net.Conn]bool),
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	w.register()
	return w, nil
}

func (w *worker) register() {
	w.mu.Lock()
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": 64, "state": w.state, "cold-remaining-ms": 0,
		"sequence": w.orders, "born": w.born.UnixMilli(),
	}
	if w.stage != "" {
		entry["stage"] = w.stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	w.mu.Unlock()
	w.cluster.store.put("servers/"+w.id, entry)
}

// drain makes the worker report that it is leaving. It goes on serving.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.register()
	w.cluster.record.note("worker %s reports that it is draining", w.id)
}

// crash ends the worker's process: its connections are reset, and nothing listens any more.
func (w *worker) crash() {
	w.cluster.record.note("worker %s crashes", w.id)
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for socket := range w.sockets {
		if tcp, ok := socket.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = socket.Close()
	}
}

func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == "draining"
}

func (w *worker) isFull() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.memory-w.used < w.memory/10
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	header := rw.Header()
	if id := r.Header.Get("Request-Id"); id != "" {
		header.Set("Request-Id", id)
	}
	if w.isLeaving() {
		header.Set("Server-Leaving", "1")
		header.Set("Connection", "close")
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		header.Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if path, ok := strings.CutPrefix(r.URL.Path, "/hickoryfront/"); ok {
		w.serveCall(rw, r, path)
		return
	}
	if r.URL.Path == "/health" {
		header.Set("Instance-Id", w.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case w.stage == "":
		w.servePlain(rw, r, body)
	case r.Header.Get("Serving-Stage") == "prefill" && w.stage == "prefill":
		w.servePrefill(rw, r)
	case r.Header.Get("Serving-Stage") == "" && w.stage == "decode":
		w.serveStream(rw, r, string(body))
	default:
		rw.WriteHeader(http.StatusMisdirectedRequest)
	}
}

func (w *worker) serveCall(rw http.ResponseWriter, r *http.Request, path string) {
	name, argument, _ := strings.Cut(path, "/")
	switch name {
	case "report":
		w.mu.Lock()
		answer := map[string]any{
			"stage": w.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": w.orders,
			"waiting": 0, "running": len(w.runs), "kv-cache-used": w.used, "kv-cache-total": w.memory, "handles": 0, "born": w.born.UnixMilli(),
		}
		w.mu.Unlock()
		reply(rw, http.StatusOK, answer)
	case "order":
		reply(rw, http.StatusConflict, nil) // another order is in progress: no case needs orders
	case "hold-take":
		var body struct {
			Tokens int `json:"tokens"`
			TTL    int `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		if !w.take(body.Tokens) {
			rw.Header().Set("Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		id := w.cluster.next("hold")
		w.mu.Lock()
		w.holds[id] = body.Tokens
		w.mu.Unlock()
		time.AfterFunc(time.Duration(body.TTL)*time.Millisecond, func() { w.drop(id) })
		reply(rw, http.StatusOK, map[string]any{"hold": id})
	case "hold-drop":
		w.drop(argument)
		reply(rw, http.StatusOK, nil)
	case "kv-handle":
		w.cluster.takeHandle(w.address + "/" + argument)
		reply(rw, http.StatusOK, nil)
	case "kv-move":
		w.serveMove(rw, r)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) take(tokens int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.used+tokens > w.memory {
		return false
	}
	w.used += tokens
	return true
}

func (w *worker) free(tokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used -= tokens
}

// drop ends a reservation.
func (w *worker) drop(hold string) {
	w.mu.Lock()
	tokens := w.holds[hold]
	delete(w.holds, hold)
	w.used -= tokens
	w.mu.Unlock()
}

func (c *cluster) next(prefix string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return fmt.Sprintf("%s%06d", prefix, c.count)
}

func (c *cluster) addHandle(key string, h handle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handles[key] = h
}

func (c *cluster) takeHandle(key string) (handle, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.handles[key]
	delete(c.handles, key)
	return h, ok
}

// hasRun reports whether a worker has begun to run a plain request.
func (c *cluster) hasRun(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ran[id]
}

func (w *worker) servePlain(rw http.ResponseWriter, r *http.Request, body []byte) {
	w.cluster.mu.Lock()
	w.cluster.ran[r.Header.Get("Request-Id")] = true
	w.cluster.mu.Unlock()
	w.cluster.record.note("worker %s runs %s", w.id, r.Header.Get("Request-Id"))
	time.Sleep(w.plainTime)
	rw.Header().Set("Server-Stamp", "stamp."+w.id)
	_, _ = io.WriteString(rw, "answer to "+r.Method+" "+r.RequestURI)
}

func (w *worker) servePrefill(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(15 * time.Millisecond)
	id := w.cluster.next("h")
	w.cluster.addHandle(w.address+"/"+id, handle{r.Header.Get("Request-Id"), promptTokens(r)})
	reply(rw, http.StatusOK, map[string]any{"handle": id, "tokens": promptTokens(r), "version": 1})
}

func promptTokens(r *http.Request) int {
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(prompt)
	return tokens
}

func eventCount(r *http.Request) int {
	_, output, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	count, _ := strconv.Atoi(output)
	return count
}

// eventText is the event with the given number of the stream that answers a request.
func eventText(body string, number int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %d made by %s\n\n", number, body, number, version)
}

// serveStream streams one event for each output token.
func (w *worker) serveStream(rw http.ResponseWriter, r *http.Request, body string) {
	id := r.Header.Get("Request-Id")
	w.drop(r.Header.Get("Kv-Hold"))
	if source := r.Header.Get("Kv-Source"); source != "" {
		if _, ok := w.cluster.takeHandle(source); !ok {
			rw.Header().Set("Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	tokens := promptTokens(r) + eventCount(r)
	if !w.take(tokens) {
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.free(tokens)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	current := &run{last: last, stopped: make(chan struct{}), gone: make(chan struct{})}
	w.mu.Lock()
	w.runs[id] = current
	w.answered++
	isUnframed := w.isUnframed()
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.runs, id)
		w.mu.Unlock()
	}()
	socket, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer close(current.gone)
	w.mu.Lock()
	w.sockets[socket] = true
	w.mu.Unlock()
	defer func() {
		socket.Close()
		w.mu.Lock()
		delete(w.sockets, socket)
		w.mu.Unlock()
	}()
	w.cluster.record.note("worker %s runs %s after event %d, unframed %t", w.id, id, last, isUnframed)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, buffered)
	}()
	out := bufio.NewWriter(socket)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp." + w.id + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
	if w.isLeaving() {
		head += "Server-Leaving: 1\r\n"
	}
	if !isUnframed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	_, _ = out.WriteString(head + "\r\n")
	_ = out.Flush()
events:
	for number := last + 1; number <= eventCount(r); number++ {
		text := eventText(body, number, w.version)
		if !isUnframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, _ = out.WriteString(text)
		if out.Flush() != nil {
			return
		}
		w.mu.Lock()
		current.last = number
		w.mu.Unlock()
		select {
		case <-time.After(w.eventPause):
		case <-w.finished:
			break events
		case <-gone:
			w.cluster.record.note("worker %s: the connection of %s was closed after event %d", w.id, id, number)
			return
		case <-current.stopped:
			w.cluster.record.note("worker %s stops %s for a move after event %d and closes its stream", w.id, id, number)
			return // the stream is closed without its end
		}
	}
	if !isUnframed {
		_, _ = out.WriteString("0\r\n\r\n")
		_ = out.Flush()
	}
	w.cluster.record.note("worker %s has finished %s", w.id, id)
}

// serveMove copies the memory of a run to another worker.
func (w *worker) serveMove(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	w.mu.Lock()
	current, ok := w.runs[body.ID]
	w.mu.Unlock()
	if !ok {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if body.Last {
		close(current.stopped)
		<-current.gone
	}
	time.Sleep(10 * time.Millisecond) // the copy
	w.mu.Lock()
	created := current.last
	w.mu.Unlock()
	id := w.cluster.next("m")
	w.cluster.addHandle(body.To+"/"+id, handle{body.ID, 0})
	w.cluster.record.note("worker %s has copied %s to %s, last %t: handle %s, %d events", w.id, body.ID, body.To, body.Last, id, created)
	reply(rw, http.StatusOK, map[string]any{"handle": id, "created": created})
}
