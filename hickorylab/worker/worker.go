// Package worker is a stand-in for the users' backend servers: plain services
// and model servers with stages, reservations, handles and moves. All servers of
// one fleet share what crosses between them.
package worker

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/internal/jsonreply"
	"github.com/hickoryfront/hickoryfront/hickorylab/metastore"
)

const (
	// MemoryTokens is the memory of a model server in tokens.
	MemoryTokens = 20000
	// plainTime is how long a plain request takes.
	plainTime = 5 * time.Millisecond
	// readTime is how long a prompt takes to be read.
	readTime = 20 * time.Millisecond
	// eventPause is the time between two events of a stream.
	eventPause = 10 * time.Millisecond
	// movedSuffix marks the handles of runs that were moved.
	movedSuffix = "-moved"
	// holdTime bounds a reservation.
	holdTime = 2 * time.Second
)

type (
	// Group is all servers with what they have run. It is safe for concurrent
	// use.
	Group struct {
		store *metastore.Store

		mu      sync.Mutex
		started int
		// runs counts the servers that ran a request, by its id.
		runs map[string]int
		// handles holds the KV caches that wait to be fetched, by server and id.
		handles map[string]bool
	}

	// Server is one server. A crash ends its incarnation.
	Server struct {
		fleet   *Group
		service string
		address string

		mu       sync.Mutex
		stage    string
		id       string
		state    string
		listener net.Listener
		server   *http.Server
		used     int
		holds    map[string]int
		running  map[string]*run
		orders   int
	}

	// run is one stream that is being made.
	run struct {
		made uint64
		stop chan struct{}
	}
)

// NewGroup returns a fleet that registers in a store.
func NewGroup(store *metastore.Store) *Group {
	return &Group{store: store, runs: make(map[string]int), handles: make(map[string]bool)}
}

// Runs returns how many servers ran a request.
func (f *Group) Runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// UnfetchedHandles returns the number of KV caches that nobody has fetched.
func (f *Group) UnfetchedHandles() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.handles)
}

// Start starts a server; an empty stage makes it a plain one.
func (f *Group) Start(service, stage, address string) (*Server, error) {
	s := &Server{fleet: f, service: service, stage: stage, address: address}
	return s, s.Restart()
}

// Restart begins a new incarnation.
func (s *Server) Restart() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.fleet.mu.Lock()
	s.fleet.started++
	id := fmt.Sprintf("i-%06d", s.fleet.started)
	s.fleet.mu.Unlock()
	s.mu.Lock()
	s.id, s.state, s.listener = id, "ready", listener
	s.used, s.orders = 0, 0
	s.holds, s.running = make(map[string]int), make(map[string]*run)
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	server := s.server
	s.mu.Unlock()
	go s.runServer(server, listener)
	s.register()
	return nil
}

func (s *Server) runServer(server *http.Server, listener net.Listener) {
	_ = server.Serve(listener) // ends with a crash
}

// Crash closes all connections and lets the registration lapse.
func (s *Server) Crash() {
	s.mu.Lock()
	server, id := s.server, s.id
	s.mu.Unlock()
	_ = server.Close() // nothing of a crashed server matters
	s.fleet.store.Remove("servers/" + id)
}

// Drain reports that the server leaves.
func (s *Server) Drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.register()
}

// UsedTokens returns the memory that is in use or reserved.
func (s *Server) UsedTokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

func (s *Server) register() {
	s.mu.Lock()
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": "z1", "version": "v1", "slots": 8, "state": s.state, "sequence": 1,
	}
	if s.stage != "" {
		entry["stage"] = s.stage
	}
	key := "servers/" + s.id
	s.mu.Unlock()
	s.fleet.store.Put(key, entry)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, stage := s.id, s.stage
	s.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	name, argument, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/hickoryfront/"), "/")
	switch name {
	case "report":
		s.serveReport(w)
	case "order":
		s.serveOrder(w, r)
	case "hold-take":
		s.serveHold(w, r)
	case "hold-drop":
		s.release(argument)
	case "kv-handle":
		s.fleet.take(s.address + "/" + argument)
	case "kv-move":
		s.serveMove(w, r)
	default:
		s.serveRequest(w, r, stage)
	}
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, stage string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	isPrefill := r.Header.Get("Serving-Stage") == "prefill"
	switch {
	case stage == "":
		s.servePlain(w, r, body)
	case isPrefill && stage == "prefill":
		s.servePrefill(w, r)
	case !isPrefill && stage == "decode":
		s.serveDecode(w, r, body)
	default:
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
}

// ResponseBody returns what a server answers to a request.
func ResponseBody(method, target, body string) string {
	return "answer to " + method + " " + target + " " + body
}

// Event returns an event of the stream that answers a request.
func Event(target, body string, number uint64) string {
	return fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", number, target, body, number)
}

func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, body []byte) {
	s.fleet.count(r)
	time.Sleep(plainTime)
	w.Header().Set("Server-Stamp", "stamp")
	_, _ = io.WriteString(w, ResponseBody(r.Method, r.RequestURI, string(body))) // the caller may have left
}

func (s *Server) servePrefill(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	handle := r.Header.Get("Request-Id") + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	s.fleet.put(s.address + "/" + handle)
	jsonreply.Write(w, map[string]any{"handle": handle, "tokens": promptTokens(r), "version": 1})
}

func (s *Server) serveDecode(w http.ResponseWriter, r *http.Request, body []byte) {
	source := r.Header.Get("Kv-Source")
	if source != "" && !s.fleet.take(source) {
		s.release(r.Header.Get("Kv-Hold"))
		shed(w)
		return
	}
	s.release(r.Header.Get("Kv-Hold"))
	if !s.reserve(promptTokens(r)) {
		shed(w)
		return
	}
	defer s.free(promptTokens(r))
	last, _ := strconv.ParseUint(r.Header.Get("Last-Event-Id"), 10, 64)
	made := s.begin(r, last)
	defer s.end(r)
	if !strings.HasSuffix(source, movedSuffix) { // a run that was moved is the same run
		s.fleet.count(r)
	}
	w.Header().Set("Server-Stamp", "stamp")
	w.Header().Set("Content-Type", "text/event-stream")
	s.stream(w, r, string(body), made)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, body string, made *run) {
	_, output, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	total, _ := strconv.ParseUint(output, 10, 64)
	for {
		s.mu.Lock()
		made.made++
		number := made.made
		s.mu.Unlock()
		if number > total {
			return
		}
		_, _ = io.WriteString(w, Event(r.RequestURI, body, number)) // the caller may have left
		_ = http.NewResponseController(w).Flush()
		select {
		case <-made.stop:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

func (s *Server) begin(r *http.Request, last uint64) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	made := &run{made: last, stop: make(chan struct{})}
	s.running[r.Header.Get("Request-Id")] = made
	return made
}

func (s *Server) end(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r.Header.Get("Request-Id"))
}

func (s *Server) serveMove(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	made, ok := s.running[body.ID]
	if ok && body.Last {
		delete(s.running, body.ID)
		close(made.stop)
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	handle := body.ID + movedSuffix
	if body.Last {
		s.fleet.put(body.To + "/" + handle)
	}
	jsonreply.Write(w, map[string]any{"handle": handle, "created": made.made})
}

func (s *Server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonreply.Write(w, map[string]any{
		"stage": s.stage, "busy": false, "sequence": s.orders, "running": len(s.running), "kv-cache-used": s.used, "kv-cache-total": MemoryTokens,
	})
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Stage    string `json:"stage"`
		Holder   string `json:"holder"`
		Token    uint64 `json:"fencing-token"`
		Expected int    `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Holder == "" || body.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	isExpected := body.Expected == s.orders
	if isExpected {
		s.stage = body.Stage
		s.orders++
	}
	s.mu.Unlock()
	if !isExpected {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.register()
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) serveHold(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Tokens int `json:"tokens"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.reserve(body.Tokens) {
		shed(w)
		return
	}
	hold := strconv.FormatInt(time.Now().UnixNano(), 36)
	s.mu.Lock()
	s.holds[hold] = body.Tokens
	s.mu.Unlock()
	time.AfterFunc(holdTime, func() { s.release(hold) })
	jsonreply.Write(w, map[string]any{"hold": hold})
}

func (s *Server) reserve(tokens int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used+tokens > MemoryTokens {
		return false
	}
	s.used += tokens
	return true
}

func (s *Server) free(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = max(s.used-tokens, 0) // a new incarnation starts empty
}

func (s *Server) release(hold string) {
	s.mu.Lock()
	tokens, ok := s.holds[hold]
	delete(s.holds, hold)
	s.mu.Unlock()
	if ok {
		s.free(tokens)
	}
}

func (f *Group) count(r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[r.Header.Get("Request-Id")]++
}

func (f *Group) put(handle string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handles[handle] = true
}

func (f *Group) take(handle string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := f.handles[handle]
	delete(f.handles, handle)
	return ok
}

func promptTokens(r *http.Request) int {
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(prompt)
	return tokens
}

func shed(w http.ResponseWriter) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
