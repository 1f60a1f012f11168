package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a worker's entry.
const heartbeat = 1200 * time.Millisecond

// group is all workers. They share the copies of memory that one sends to another.
type group struct {
	lab *lab

	mu     sync.Mutex
	count  int
	copies map[string]*kvCopy // by handle
	// runs are what workers have run, in order.
	runs []ran
}

// ran is one run of a request at a worker.
type ran struct {
	at     time.Time
	worker string
	from   string // address of the machine that sent it
	id     string
	method string
	target string
	body   string
}

// kvCopy is the memory of a run at another worker.
type kvCopy struct {
	owner          string // Request-Id of the run
	source, target string
	stopped, used  bool
}

// worker is a stand-in of one worker.
type worker struct {
	group   *group
	service string
	stage   string
	zone    string
	address string
	work    time.Duration
	bytes   int // of a plain answer
	slots   int

	mu       sync.Mutex
	id       string
	version  string // of its software
	born     time.Time
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	busy     int
	runs     map[string]*run
	holds    int
	leaving  bool
	// extra is the share of answers that are sent a second time, late, without a request.
	extra  float64
	rng    *rand.Rand
	extras int
}

// run is a stream in progress.
type run struct {
	created int
	stop    chan struct{}
	stopped bool
	handle  string
}

func (g *group) start(service, stage, zone, address string, slots int, work time.Duration, size int) (*worker, error) {
	w := &worker{group: g, service: service, stage: stage, zone: zone, address: address, work: work, bytes: size, slots: slots, runs: map[string]*run{}, version: "v1"}
	g.mu.Lock()
	g.count++
	n := g.count
	g.mu.Unlock()
	w.rng = rand.New(rand.NewPCG(g.lab.seed, uint64(n)))
	return w, w.up()
}

// up starts an incarnation with a new id.
func (w *worker) up() error {
	if err := w.begin(false); err != nil {
		return err
	}
	w.register()
	return nil
}

// upUnderID starts an incarnation under the id of the one before, with another version of the
// software. It writes its entry at its first heartbeat.
func (w *worker) upUnderID(version string) error {
	w.mu.Lock()
	w.version = version
	w.mu.Unlock()
	if err := w.begin(true); err != nil {
		return err
	}
	time.AfterFunc(heartbeat, w.register)
	return nil
}

// begin starts an incarnation.
func (w *worker) begin(keepsID bool) error {
	l, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.group.mu.Lock()
	w.group.count++
	id := fmt.Sprintf("i-%06x", 0xa00+w.group.count)
	w.group.mu.Unlock()
	w.mu.Lock()
	if !keepsID {
		w.id = id
	}
	w.born, w.state, w.listener, w.down = time.Now(), "ready", l, false
	w.conns, w.runs, w.busy = map[net.Conn]bool{}, map[string]*run{}, 0
	w.mu.Unlock()
	go w.accept(l)
	return nil
}

func (w *worker) key() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return "servers/" + w.id
}

func (w *worker) register() {
	w.mu.Lock()
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": w.state,
		"cold-remaining-ms": 0, "sequence": 1, "born": w.born.UnixMilli(),
	}
	if w.stage != "" {
		entry["stage"] = w.stage
	}
	key := "servers/" + w.id
	w.mu.Unlock()
	w.group.lab.store.put(key, entry)
}

// crash ends the incarnation: its connections and its listener are closed at once.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	w.down = true
	_ = w.listener.Close()
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// drain reports that the worker leaves.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.register()
}

func (w *worker) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if w.down {
			_ = c.Close()
		} else {
			w.conns[c] = true
			go w.serve(c)
		}
		w.mu.Unlock()
	}
}

// answer is a complete answer.
type answer struct {
	status int
	header map[string]string
	body   []byte
}

func (a answer) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for name, value := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.body))
	b.Write(a.body)
	return b.Bytes()
}

func jsonAnswer(status int, value any) answer {
	text, _ := json.Marshal(value)
	return answer{status: status, header: map[string]string{"Content-Type": "application/json"}, body: text}
}

// serve serves one connection, one request at a time.
func (w *worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	var late []byte // a second answer that comes where the next one is expected
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		a, isStream := w.handle(c, r, string(body))
		if isStream {
			return // the connection ends with the stream
		}
		if a.status == 0 {
			return // it has crashed
		}
		if id := r.Header.Get("Request-Id"); id != "" {
			a.header["Request-Id"] = id
		}
		w.mu.Lock()
		if w.leaving {
			a.header["Server-Leaving"] = "1"
		}
		isExtra := w.extra > 0 && w.rng.Float64() < w.extra
		if isExtra {
			w.extras++
		}
		w.mu.Unlock()
		text := a.encode()
		if _, err := c.Write(text); err != nil {
			return
		}
		if isExtra {
			late = text
			w.group.lab.logf("worker %s will send its answer to %s %s a second time, late", w.id, r.Method, r.URL.Path)
		}
	}
}

// handle processes a request. isStream is set if the answer was written already.
func (w *worker) handle(c net.Conn, r *http.Request, body string) (a answer, isStream bool) {
	w.mu.Lock()
	id, born, stage := w.id, w.born, w.stage
	w.mu.Unlock()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		return answer{status: 421, header: map[string]string{"Not-Run": "1", "Instance-Id": id}}, false
	}
	path := strings.TrimPrefix(r.URL.Path, "/hickoryfront/")
	name, argument, _ := strings.Cut(path, "/")
	switch {
	case r.URL.Path == "/health":
		return answer{status: 200, header: map[string]string{"Instance-Id": id}}, false
	case path == r.URL.Path:
	case name == "report":
		w.mu.Lock()
		defer w.mu.Unlock()
		return jsonAnswer(200, map[string]any{"stage": stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
			"busy": false, "sequence": 0, "waiting": 0, "running": len(w.runs), "kv-cache-used": 0, "kv-cache-total": 42754, "handles": 0, "born": born.UnixMilli()}), false
	case name == "hold-take":
		w.mu.Lock()
		defer w.mu.Unlock()
		w.holds++
		return jsonAnswer(200, map[string]any{"hold": fmt.Sprintf("hold-%s-%d", id, w.holds)}), false
	case name == "hold-drop", name == "kv-pin":
		return jsonAnswer(200, map[string]any{}), false
	case name == "kv-handle":
		w.group.mu.Lock()
		defer w.group.mu.Unlock()
		delete(w.group.copies, argument)
		return jsonAnswer(200, map[string]any{}), false
	case name == "kv-move":
		return w.move(body), false
	default:
		return answer{status: 404, header: map[string]string{}}, false
	}
	requestID := r.Header.Get("Request-Id")
	if requestID == "" {
		return answer{status: 400, header: map[string]string{"Not-Run": "1"}}, false
	}
	if stage == "" {
		return w.plain(c, r, body), false
	}
	if r.Header.Get("Serving-Stage") == "prefill" {
		if stage != "prefill" {
			return answer{status: 421, header: map[string]string{"Not-Run": "1"}}, false
		}
		time.Sleep(20 * time.Millisecond)
		a := jsonAnswer(200, map[string]any{"handle": fmt.Sprintf("p%016x", rand.Uint64()), "tokens": 200, "version": 1})
		a.header["Server-Stamp"] = id + "." + requestID
		return a, false
	}
	if stage != "decode" {
		return answer{status: 421, header: map[string]string{"Not-Run": "1"}}, false
	}
	return w.stream(c, r, requestID)
}

// plain runs a plain request.
func (w *worker) plain(c net.Conn, r *http.Request, body string) answer {
	w.mu.Lock()
	id := w.id
	if w.busy >= w.slots+24 {
		w.mu.Unlock()
		return answer{status: 503, header: map[string]string{"Not-Run": "1"}}
	}
	ahead := max(w.busy-w.slots+1, 0)
	w.busy++
	w.mu.Unlock()
	time.Sleep(w.work + w.work*time.Duration(ahead)/time.Duration(w.slots))
	w.mu.Lock()
	w.busy--
	w.mu.Unlock()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	w.group.record(ran{at: time.Now(), worker: id, from: from, id: r.Header.Get("Request-Id"), method: r.Method, target: r.RequestURI, body: body})
	if strings.Contains(body, poison) {
		w.group.lab.poisoned(w, from)
		return answer{}
	}
	text := strings.Repeat("x", w.bytes)
	return answer{status: 200, header: map[string]string{"Server-Stamp": id + "." + r.Header.Get("Request-Id"), "Content-Type": "text/plain"}, body: []byte(text)}
}

func (g *group) record(r ran) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs = append(g.runs, r)
}

// move copies the memory of a run to another worker.
func (w *worker) move(body string) answer {
	var call struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if json.Unmarshal([]byte(body), &call) != nil {
		return answer{status: 400, header: map[string]string{}}
	}
	w.mu.Lock()
	r, ok := w.runs[call.ID]
	if !ok || r.stopped {
		w.mu.Unlock()
		return answer{status: 404, header: map[string]string{}}
	}
	if r.handle == "" {
		r.handle = fmt.Sprintf("%016x", rand.Uint64())
	}
	if call.Last {
		r.stopped = true
		close(r.stop)
	}
	handle, created := r.handle, r.created
	w.mu.Unlock()
	w.group.mu.Lock()
	w.group.copies[handle] = &kvCopy{owner: call.ID, source: w.address, target: call.To, stopped: call.Last}
	w.group.mu.Unlock()
	time.Sleep(8 * time.Millisecond)
	return jsonAnswer(200, map[string]any{"handle": handle, "created": created})
}

// stream runs a request that is answered with events.
func (w *worker) stream(c net.Conn, r *http.Request, requestID string) (answer, bool) {
	owner := requestID
	if source := r.Header.Get("Kv-Source"); source != "" {
		_, handle, _ := strings.Cut(source, "/")
		if !strings.HasPrefix(handle, "p") {
			w.group.mu.Lock()
			kv := w.group.copies[handle]
			if kv == nil || kv.used || !(kv.target == w.address || kv.stopped && kv.source == w.address) {
				w.group.mu.Unlock()
				return answer{status: 503, header: map[string]string{"Not-Run": "1"}}, false
			}
			kv.used, owner = true, kv.owner
			w.group.mu.Unlock()
			if owner != requestID {
				w.group.lab.foreign(requestID, owner, w.id)
			}
		}
	}
	counts := strings.Split(r.Header.Get("Token-Counts"), ",")
	total := 0
	if len(counts) == 2 {
		total, _ = strconv.Atoi(counts[1])
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	w.mu.Lock()
	id, version := w.id, w.version
	if len(w.runs) >= w.slots {
		w.mu.Unlock()
		return answer{status: 503, header: map[string]string{"Not-Run": "1"}}, false
	}
	state := &run{created: first - 1, stop: make(chan struct{})}
	w.runs[requestID] = state
	w.mu.Unlock()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	w.group.record(ran{at: time.Now(), worker: id, from: from, id: requestID, method: r.Method, target: r.RequestURI})
	if tainted := w.group.lab.tainted; tainted != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), tainted+":") {
		w.group.lab.poisoned(w, from)
		return answer{}, false
	}
	defer func() {
		w.mu.Lock()
		if w.runs[requestID] == state {
			delete(w.runs, requestID)
		}
		w.mu.Unlock()
	}()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", requestID, id, requestID)
	if _, err := c.Write([]byte(head)); err != nil {
		return answer{}, true
	}
	tick := time.NewTicker(w.work)
	defer tick.Stop()
	for n := first; n <= total; n++ {
		select {
		case <-state.stop:
			return answer{}, true // its stream is closed without its end
		case <-tick.C:
		}
		event := fmt.Sprintf("id: %d\ndata: %s piece %d of %s\n\n", n, owner, n, version)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return answer{}, true
		}
		w.mu.Lock()
		state.created = n
		w.mu.Unlock()
	}
	_, _ = c.Write([]byte("0\r\n\r\n"))
	return answer{}, true
}
