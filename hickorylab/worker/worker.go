// Package worker is a stand-in for the users' backend servers: plain servers, and
// model servers with stages, reservations, KV cache handles and migrations of runs.
// All servers of a Group share the KV caches that are transferred between them.
package worker

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/internal/jsonreply"
	"github.com/hickoryfront/hickoryfront/hickorylab/metastore"
)

const (
	// DefaultVersion is the version of the software of a server that is started without
	// one.
	DefaultVersion = "v1"
	// MemoryTokens is the capacity of the KV cache of a model server.
	MemoryTokens = 20000
	// plainLatency is the duration of a plain request.
	plainLatency = 5 * time.Millisecond
	// prefillLatency is the duration of a prefill.
	prefillLatency = 20 * time.Millisecond
	// eventInterval is the time between two events of a stream.
	eventInterval = 10 * time.Millisecond
	// reservationTTL is the time after which a reservation is released.
	reservationTTL = 2 * time.Second
	// versionPrefix begins the comment line with which a server of another version than
	// DefaultVersion begins each event.
	versionPrefix = ": version "
	// flushTime is the time in which the end of a response has left the process.
	flushTime = 50 * time.Millisecond
)

type (
	// Group is a set of servers with their run counts and KV caches in transfer. It
	// is safe for concurrent use.
	Group struct {
		store *metastore.Store

		mu           sync.Mutex
		servers      []*Server
		incarnations int
		// runs counts how often the servers ran each request, by its ID. A run that
		// migrates between servers counts once.
		runs map[string]int
		// arrivals counts how often the servers received each request, by its ID, whether
		// they ran it or not.
		arrivals map[string]int
		// brokenOff holds the IDs of the requests that a crash of their server broke off.
		brokenOff map[string]bool
		// handles holds the KV caches of prompts that are not fetched yet, by server address
		// and handle.
		handles map[string]bool
		// copies are those of the KV caches of runs, by the address of the run's server and
		// handle.
		copies map[string]*kvCopy
		deadly deadly
		// identityFaults are the requests with a wrong identity.
		identityFaults []string
	}

	// Server is one server, an http.Handler. A crash ends its incarnation.
	Server struct {
		group    *Group
		service  string
		address  string
		version  string // of its software
		limiter  limiter
		garbling garbling

		mu            sync.Mutex
		silence       *silence
		isCrashed     bool
		startedAt     time.Time
		stage         string
		id            string
		state         string
		listener      net.Listener
		server        *http.Server
		usedTokens    int
		reservations  map[string]int
		running       map[string]*run
		serving       map[string]int // requests being served, by ID
		appliedOrders int
	}

	// run is one stream in progress.
	run struct {
		lastEvent uint64        // number of the last event
		tokens    int           // memory of the run
		migrated  chan struct{} // closed when the run continues on another server
	}
)

// NewGroup returns a group whose servers register in a store.
func NewGroup(store *metastore.Store) *Group {
	return &Group{
		store: store, runs: make(map[string]int), arrivals: make(map[string]int), brokenOff: make(map[string]bool), handles: make(map[string]bool), copies: make(map[string]*kvCopy),
	}
}

// Runs returns how many times the servers ran a request.
func (g *Group) Runs(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[id]
}

// Arrivals returns how many times the servers received a request.
func (g *Group) Arrivals(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arrivals[id]
}

// IsBrokenOff reports whether a server crashed that was serving a request, or that held
// the KV cache of its migrated run.
func (g *Group) IsBrokenOff(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.brokenOff[id]
}

// UnfetchedHandles returns the number of KV caches that no server has fetched.
func (g *Group) UnfetchedHandles() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.handles)
}

// RegisterAgain registers all servers that run, and removes the registrations of the
// others, as heartbeats and leases do after the store has gone back to a copy of itself.
func (g *Group) RegisterAgain() {
	g.mu.Lock()
	servers := slices.Clone(g.servers)
	g.mu.Unlock()
	for _, s := range servers {
		s.mu.Lock()
		id, isCrashed := s.id, s.isCrashed
		s.mu.Unlock()
		if isCrashed {
			g.store.Remove("servers/" + id)
		} else {
			s.register()
		}
	}
}

// Start starts a server with the software DefaultVersion, a plain one if stage is empty.
func (g *Group) Start(service, stage, address string) (*Server, error) {
	return g.StartVersion(service, stage, address, DefaultVersion)
}

// StartVersion starts a server with a version of its software, which its registration
// and its events name.
func (g *Group) StartVersion(service, stage, address, version string) (*Server, error) {
	s := &Server{group: g, service: service, stage: stage, address: address, version: version}
	g.mu.Lock()
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	return s, s.Restart()
}

// Restart starts a new incarnation of the server, with a new ID and empty memory.
func (s *Server) Restart() error {
	return s.start(false)
}

// RestartUnderID crashes the server and starts a new incarnation with the ID of the one
// before, whose registration stays meanwhile.
func (s *Server) RestartUnderID() error {
	s.crash(true)
	return s.start(true)
}

// start starts a new incarnation of the server with empty memory. With keepsID it has the
// ID of the one before.
func (s *Server) start(keepsID bool) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.group.mu.Lock()
	s.group.incarnations++
	id := fmt.Sprintf("i-%06d", s.group.incarnations)
	s.group.mu.Unlock()
	s.mu.Lock()
	s.silence = newSilence()
	s.limiter.set(time.Now(), 0)
	if !keepsID {
		s.id = id
	}
	s.state, s.listener = "ready", silentListener{Listener: listener, silence: s.silence}
	s.usedTokens, s.appliedOrders, s.isCrashed, s.startedAt = 0, 0, false, time.Now()
	s.reservations, s.running, s.serving = make(map[string]int), make(map[string]*run), make(map[string]int)
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	server, silent := s.server, s.listener
	s.mu.Unlock()
	go s.runServer(server, silent)
	s.register()
	return nil
}

func (s *Server) runServer(server *http.Server, listener net.Listener) {
	_ = server.Serve(listener) // returns when the server crashes
}

// Crash closes all connections and removes the registration, as if its lease had
// expired.
func (s *Server) Crash() {
	s.crash(false)
}

// crash closes all connections. With keepsRegistration the registration stays, as if the
// next incarnation renews it in time.
func (s *Server) crash(keepsRegistration bool) {
	s.mu.Lock()
	server, id := s.server, s.id
	if !s.isCrashed {
		s.isCrashed = true
		close(s.silence.ended)
		s.group.breakOff(s.address, s.serving)
	}
	s.mu.Unlock()
	_ = server.Close() // a crash is intended, so its errors are irrelevant
	if !keepsRegistration {
		s.group.store.Remove("servers/" + id)
	}
}

// Drain changes the registered state to draining.
func (s *Server) Drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.register()
}

// UsedTokens returns the memory that is in use or reserved, in tokens.
func (s *Server) UsedTokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usedTokens
}

// Version returns the version of the server's software.
func (s *Server) Version() string {
	return s.version
}

// ID returns the ID of the server's incarnation.
func (s *Server) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Stage returns the stage of the server.
func (s *Server) Stage() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stage
}

// Uptime returns how long the server has been ready at now. It is zero if the server is
// draining or has crashed.
func (s *Server) Uptime(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isCrashed || s.state != "ready" {
		return 0
	}
	return now.Sub(s.startedAt)
}

// IsCrashed reports whether the server is down.
func (s *Server) IsCrashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isCrashed
}

// InFlight returns the number of requests that the server is serving.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.serving)
}

func (s *Server) register() {
	s.mu.Lock()
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": "z1", "version": s.version, "slots": 8, "state": s.state, "sequence": 1,
		"born": s.startedAt.UnixMilli(),
	}
	if s.stage != "" {
		entry["stage"] = s.stage
	}
	key := "servers/" + s.id
	s.mu.Unlock()
	s.group.store.Put(key, entry)
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
	s.group.checkIdentity(r)
	name, argument, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/hickoryfront/"), "/")
	switch name {
	case "report":
		s.serveReport(w)
	case "order":
		s.serveOrder(w, r)
	case "hold-take":
		s.serveReservation(w, r)
	case "hold-drop":
		s.releaseReservation(argument)
	case "kv-handle":
		s.group.takeHandle(s.address + "/" + argument)
		s.group.dropCopy(s.address + "/" + argument)
	case "kv-move":
		s.serveMigration(w, r)
	default:
		s.serveRequest(w, r, stage)
	}
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, stage string) {
	defer s.beginServing(r.Header.Get("Request-Id"))()
	s.group.countDeadlyArrival(r)
	s.limiter.state(w, r)
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

// beginServing records that a request is being served. The returned function records
// that it is not any more.
func (s *Server) beginServing(id string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.countArrival(id)
	serving := s.serving
	serving[id]++
	if s.isCrashed {
		s.group.breakOff(s.address, serving)
	}
	return func() {
		time.AfterFunc(flushTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			serving[id]--
			if serving[id] == 0 {
				delete(serving, id)
			}
		})
	}
}

// ResponseBody returns the body of the response of a plain server to a request.
func ResponseBody(method, target, body string) string {
	return "answer to " + method + " " + target + " " + body
}

// Event returns an event of the response stream to a request, by its number from 1, as
// a server with DefaultVersion sends it.
func Event(target, body string, number uint64) string {
	return fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", number, target, body, number)
}

// SplitVersion returns an event as a server with DefaultVersion sends it, and the version
// of the software that sent it.
func SplitVersion(event string) (plain, version string) {
	rest, ok := strings.CutPrefix(event, versionPrefix)
	if !ok {
		return event, DefaultVersion
	}
	version, plain, _ = strings.Cut(rest, "\n")
	return plain, version
}

// event returns an event as this server sends it.
func (s *Server) event(target, body string, number uint64) string {
	event := Event(target, body, number)
	if s.version == DefaultVersion {
		return event
	}
	return versionPrefix + s.version + "\n" + event
}

func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, body []byte) {
	s.group.countRun(r)
	if s.crashesOn(r) {
		return
	}
	time.Sleep(plainLatency)
	w.Header().Set("Server-Stamp", "stamp")
	_, _ = io.WriteString(w, ResponseBody(r.Method, r.RequestURI, string(body))) // the caller may have disconnected
}

func (s *Server) servePrefill(w http.ResponseWriter, r *http.Request) {
	time.Sleep(prefillLatency)
	handle := r.Header.Get("Request-Id") + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	s.group.addHandle(s.address + "/" + handle)
	jsonreply.Write(w, map[string]any{"handle": handle, "tokens": promptTokens(r), "version": 1})
}

func (s *Server) serveDecode(w http.ResponseWriter, r *http.Request, body []byte) {
	source := s.group.ownAddress(r.Header.Get("Kv-Source"))
	isMigrated := s.group.takeCopy(source, s)
	if source != "" && !isMigrated && !s.group.takeHandle(source) {
		s.releaseReservation(r.Header.Get("Kv-Hold"))
		refuseAsNotRun(w)
		return
	}
	s.releaseReservation(r.Header.Get("Kv-Hold"))
	if !isMigrated && !s.reserveTokens(promptTokens(r)) {
		refuseAsNotRun(w)
		return
	}
	defer s.freeTokens(promptTokens(r))
	last, _ := strconv.ParseUint(r.Header.Get("Last-Event-Id"), 10, 64)
	current := s.startRun(r, last)
	defer s.endRun(r)
	if !isMigrated { // a migrated run was counted by its first server
		s.group.countRun(r)
	}
	if s.garble(w, r) {
		return
	}
	if s.crashesOn(r) {
		return
	}
	s.mu.Lock()
	ended := s.silence.ended
	s.mu.Unlock()
	s.stream(s.newEventWriter(w, r), r, string(body), current, ended)
}

// stream sends the events of a run until it ends, or is stopped, or the server crashes.
func (s *Server) stream(events *eventWriter, r *http.Request, body string, current *run, ended <-chan struct{}) {
	defer events.close()
	_, output, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	total, _ := strconv.ParseUint(output, 10, 64)
	for {
		s.mu.Lock()
		current.lastEvent++
		number := current.lastEvent
		s.mu.Unlock()
		if number > total || events.write(s.event(r.RequestURI, body, number)) != nil {
			return // the run has ended, or the host has disconnected
		}
		select {
		case <-current.migrated:
			events.stop()
			return
		case <-ended:
			time.Sleep(crashTime)
			events.stop()
			return
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
}

func (s *Server) startRun(r *http.Request, last uint64) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := &run{lastEvent: last, tokens: promptTokens(r), migrated: make(chan struct{})}
	s.running[r.Header.Get("Request-Id")] = current
	return current
}

func (s *Server) endRun(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r.Header.Get("Request-Id"))
}

func (s *Server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	jsonreply.Write(w, map[string]any{
		"stage": s.stage, "busy": false, "sequence": s.appliedOrders, "running": len(s.running), "kv-cache-used": s.usedTokens, "kv-cache-total": MemoryTokens,
		"born": s.startedAt.UnixMilli(),
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
	isExpected := body.Expected == s.appliedOrders
	if isExpected {
		s.stage = body.Stage
		s.appliedOrders++
	}
	s.mu.Unlock()
	if !isExpected {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.register()
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) serveReservation(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Tokens int `json:"tokens"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.reserveTokens(body.Tokens) {
		refuseAsNotRun(w)
		return
	}
	reservation := strconv.FormatInt(time.Now().UnixNano(), 36)
	s.mu.Lock()
	s.reservations[reservation] = body.Tokens
	s.mu.Unlock()
	time.AfterFunc(reservationTTL, func() { s.releaseReservation(reservation) })
	jsonreply.Write(w, map[string]any{"hold": reservation})
}

func (s *Server) reserveTokens(tokens int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usedTokens+tokens > MemoryTokens {
		return false
	}
	s.usedTokens += tokens
	return true
}

func (s *Server) freeTokens(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedTokens = max(s.usedTokens-tokens, 0) // a run of an earlier incarnation may end after a restart has reset usedTokens
}

func (s *Server) releaseReservation(reservation string) {
	s.mu.Lock()
	tokens, ok := s.reservations[reservation]
	delete(s.reservations, reservation)
	s.mu.Unlock()
	if ok {
		s.freeTokens(tokens)
	}
}

func (g *Group) countRun(r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[r.Header.Get("Request-Id")]++
}

func (g *Group) countArrival(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrivals[id]++
}

// breakOff records that the server at an address has crashed while it was serving
// requests.
func (g *Group) breakOff(address string, serving map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range serving {
		g.brokenOff[id] = true
	}
	for _, c := range g.copies {
		if c.target.address != address {
			continue
		}
		if c.isStopped {
			g.brokenOff[c.id] = true
		}
		c.target, c.tokens = c.source, 0
	}
}

// ownAddress replaces the address with which text begins by that of the server with the same
// IP address, as a caller may know the server by the address of a proxy.
func (g *Group) ownAddress(text string) string {
	ip, _, _ := strings.Cut(text, ":")
	address, rest, hasRest := strings.Cut(text, "/")
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if strings.HasPrefix(s.address, ip+":") {
			address = s.address
		}
	}
	if hasRest {
		return address + "/" + rest
	}
	return address
}

func (g *Group) addHandle(handle string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handles[handle] = true
}

// takeHandle removes a KV cache and reports whether it was there.
func (g *Group) takeHandle(handle string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ok := g.handles[handle]
	delete(g.handles, handle)
	return ok
}

func promptTokens(r *http.Request) int {
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(prompt)
	return tokens
}

// refuseAsNotRun responds that the request was not run for lack of memory or of its
// KV cache.
func refuseAsNotRun(w http.ResponseWriter) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
