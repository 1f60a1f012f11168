// Package engine provides a stand-in for a model engine. It simulates continuous
// batching, a prompt prefix cache of limited size and the transfer of KV caches over
// a link of limited rate.
package engine

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryfront/hickoryfront/core/prefix"
)

const (
	// CrashMarker crashes each engine that gets a prompt with this text.
	CrashMarker = "CRASH-THE-SERVER"
	// KindPrefill is the kind of the log entry of a finished prefill.
	KindPrefill = "prefill"
	// KindDecode is the kind of the log entry of a submitted decode request.
	KindDecode = "decode"
	// KindEnd is the kind of the log entry of a decode's last token.
	KindEnd = "end"
	// KindCancelled is the kind of the log entry of a cancelled decode.
	KindCancelled = "cancelled"
	// KindRefused is the kind of the log entry of a request that was refused
	// because the engine was leaving.
	KindRefused = "refused"

	// tokenPrefix begins each generated token. It separates the original prompt
	// from the generated tokens that a continued request appends to it.
	tokenPrefix = "·"
	// finishedRetention is the time for which the tokens of a finished request
	// are kept, so that a caller can resume it.
	finishedRetention = 30 * time.Second
)

var (
	errFull    = errors.New("queue is full")
	errLeaving = errors.New("leaving")
	errGone    = errors.New("not held any more")
)

type (
	// Options are the simulated properties of the engine.
	Options struct {
		Role            string
		Model           string
		Slots           int
		PrefillRate     int           // tokens per second
		TokenGap        time.Duration // with a batch of one
		GapPerRequest   time.Duration // added for each further request in the batch
		LinkRate        int64         // bytes per second
		KVBytesPerToken int64
		KVLifetime      time.Duration // of a prefill result that no engine has fetched
		CacheBlocks     int           // size of the prefix cache
		LoadLag         time.Duration // age of the reported load
		EventLag        time.Duration // age at which cache events are reported
		EventLoss       float64       // share of cache events that are never reported
		ChecksFence     bool          // refuse orders with a fencing token older than the newest
		Seed            uint64
		Crash           func() // called when a request crashes the engine
	}

	// Run is an entry of the engine's log of requests.
	Run struct {
		RequestID string    `json:"requestId"`
		Kind      string    `json:"kind"`
		At        time.Time `json:"at"`
	}

	// Engine is the stand-in. It is safe for concurrent use.
	Engine struct {
		options   Options
		startedAt time.Time

		mu            sync.Mutex
		requests      map[string]*request
		waiting       []*request // waiting for a slot, by priority
		running       int
		kv            map[string]*kvResult
		cache         *blockCache
		prefills      []*prefill // queue, by priority
		busyUntil     time.Time
		leaving       bool
		reports       []report
		log           []Run
		orders        orderState
		wake          chan struct{}
		linkBusyUntil time.Time
		silencedAt    time.Time // streams opened before this time get no more data
		stallExports  bool
	}

	// request is a decode request. Its tokens are kept for resumes.
	request struct {
		id        string
		prompt    string
		offset    int
		maxTokens int
		priority  int
		startedAt time.Time
		started   bool
		tokens    []string
		done      bool
		cancelled bool
		doneAt    time.Time
		changed   chan struct{}
	}

	prefill struct {
		id        string
		prompt    string
		priority  int
		finished  chan struct{}
		cancelled bool
		cached    int
	}

	kvResult struct {
		handle  string
		prompt  string
		expires time.Time
	}

	report struct {
		at        time.Time
		slotsUsed int
		backlog   time.Duration
		batch     int
		gap       time.Duration
		leaving   bool
	}

	orderState struct {
		fence    uint64
		role     string
		model    string
		version  string
		adapters []string
		history  []string
	}
)

// New returns an idle engine.
func New(o Options) *Engine {
	return &Engine{
		options:   o,
		startedAt: time.Now(),
		requests:  map[string]*request{},
		kv:        map[string]*kvResult{},
		cache:     newBlockCache(o.CacheBlocks, o.EventLoss, rand.New(rand.NewPCG(o.Seed, o.Seed))),
		orders:    orderState{role: o.Role, model: o.Model, version: "1"},
		wake:      make(chan struct{}, 1),
	}
}

// Run computes prefills and records load reports until done is closed.
func (e *Engine) Run(done <-chan struct{}) {
	var group sync.WaitGroup
	group.Go(func() { e.runPrefills(done) })
	group.Go(func() { e.recordReports(done) })
	<-done
	group.Wait()
}

// SetLeaving makes the engine refuse new requests.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Log returns a copy of the engine's log of requests.
func (e *Engine) Log() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.log)
}

// SlotsInUse returns the number of decode requests that run or wait for a slot.
func (e *Engine) SlotsInUse() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running + len(e.waiting)
}

// runPrefills computes the queued prefills one after the other until done is closed.
func (e *Engine) runPrefills(done <-chan struct{}) {
	for {
		next := e.nextPrefill(time.Now())
		if next == nil {
			select {
			case <-done:
				return
			case <-e.wake:
			}
			continue
		}
		if !sleep(done, e.prefillTime(next)) {
			return
		}
		e.finishPrefill(next)
	}
}

func (e *Engine) nextPrefill(now time.Time) *prefill {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.prefills) > 0 {
		next := e.prefills[0]
		e.prefills = e.prefills[1:]
		if next.cancelled {
			continue
		}
		next.cached = e.cache.matchedBlocks(prefix.Hashes(next.prompt)) * prefix.BlockTokens
		e.busyUntil = now.Add(e.prefillTime(next))
		return next
	}
	return nil
}

func (e *Engine) prefillTime(p *prefill) time.Duration {
	tokens := max(1, prefix.EstimateTokens(p.prompt)-p.cached)
	return time.Duration(tokens) * time.Second / time.Duration(e.options.PrefillRate)
}

func (e *Engine) finishPrefill(p *prefill) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.cache.add(now, prefix.Hashes(p.prompt))
	e.log = append(e.log, Run{RequestID: p.id, Kind: KindPrefill, At: now})
	if !p.cancelled {
		e.kv[p.id] = &kvResult{handle: p.id, prompt: p.prompt, expires: now.Add(e.options.KVLifetime)}
	}
	close(p.finished)
}

// enqueuePrefill adds a prefill to the queue.
func (e *Engine) enqueuePrefill(id, prompt string, priority int) (*prefill, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.log = append(e.log, Run{RequestID: id, Kind: KindRefused, At: time.Now()})
		return nil, errLeaving
	}
	if strings.Contains(prompt, CrashMarker) {
		e.triggerCrash()
		return nil, errGone
	}
	p := &prefill{id: id, prompt: prompt, priority: priority, finished: make(chan struct{})}
	e.prefills = append(e.prefills, p)
	slices.SortStableFunc(e.prefills, func(a, b *prefill) int { return cmp.Compare(a.priority, b.priority) })
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return p, nil
}

// cancelRequest drops a request's prefill result and cancels its queued prefill and its
// decode. A prefill that is being computed is not cancelled.
func (e *Engine) cancelRequest(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.kv, id)
	for _, p := range e.prefills {
		if p.id == id {
			p.cancelled = true
		}
	}
	if r, ok := e.requests[id]; ok {
		r.cancelled = true
		e.finish(r)
		delete(e.requests, id)
	}
}

// submit adds a decode request, which starts as soon as a slot is free.
func (e *Engine) submit(r *request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.log = append(e.log, Run{RequestID: r.id, Kind: KindRefused, At: time.Now()})
		return errLeaving
	}
	if len(e.waiting) >= e.options.Slots {
		return errFull
	}
	if strings.Contains(r.prompt, CrashMarker) {
		e.triggerCrash()
		return errGone
	}
	if _, ok := e.requests[r.id]; ok {
		return fmt.Errorf("request %s exists", r.id)
	}
	r.changed = make(chan struct{})
	r.startedAt = time.Now()
	e.requests[r.id] = r
	e.log = append(e.log, Run{RequestID: r.id, Kind: KindDecode, At: r.startedAt})
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(a, b *request) int { return cmp.Compare(a.priority, b.priority) })
	e.fillSlots()
	return nil
}

// fillSlots starts waiting requests. The caller holds mu.
func (e *Engine) fillSlots() {
	for e.running < e.options.Slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.started = true
		e.running++
		worker := decodeWorker{engine: e, request: r}
		go worker.run()
	}
}

// finish ends a request and frees its slot. It does nothing if the request has ended
// already. The caller holds mu.
func (e *Engine) finish(r *request) {
	if r.done {
		return
	}
	r.done = true
	r.doneAt = time.Now()
	kind := KindEnd
	if r.cancelled {
		kind = KindCancelled
	}
	e.log = append(e.log, Run{RequestID: r.id, Kind: kind, At: r.doneAt})
	if r.started {
		e.running--
	} else {
		e.waiting = slices.DeleteFunc(e.waiting, func(w *request) bool { return w == r })
	}
	close(r.changed)
	e.fillSlots()
}

// triggerCrash calls the Crash option, if set.
func (e *Engine) triggerCrash() {
	if e.options.Crash != nil {
		e.options.Crash()
	}
}

func (e *Engine) gap() time.Duration {
	return e.options.TokenGap + time.Duration(max(0, e.running-1))*e.options.GapPerRequest
}

// recordReports records the load periodically and drops expired prefill results and
// finished requests. Load reports are served with a lag.
func (e *Engine) recordReports(done <-chan struct{}) {
	const interval = 50 * time.Millisecond
	for sleep(done, interval) {
		e.recordReport(time.Now())
	}
}

func (e *Engine) recordReport(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = append(e.reports, report{at: now, slotsUsed: e.running + len(e.waiting), backlog: e.backlog(now), batch: e.running, gap: e.gap(), leaving: e.leaving})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.options.LoadLag {
		e.reports = e.reports[1:]
	}
	for handle, result := range e.kv {
		if now.After(result.expires) {
			delete(e.kv, handle)
		}
	}
	for id, r := range e.requests {
		if r.done && now.Sub(r.doneAt) > finishedRetention {
			delete(e.requests, id)
		}
	}
}

func (e *Engine) backlog(now time.Time) time.Duration {
	total := max(0, e.busyUntil.Sub(now))
	for _, p := range e.prefills {
		total += e.prefillTime(p)
	}
	return total
}

// decodeWorker generates the tokens of a request.
type decodeWorker struct {
	engine  *Engine
	request *request
}

func (w decodeWorker) run() {
	seed := Seed(w.request.prompt)
	for {
		w.engine.mu.Lock()
		gap := w.engine.gap()
		w.engine.mu.Unlock()
		time.Sleep(gap)
		if w.generate(seed) {
			return
		}
	}
}

// generate adds a token and reports whether the request has ended.
func (w decodeWorker) generate(seed uint64) bool {
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	r := w.request
	if r.done {
		return true
	}
	r.tokens = append(r.tokens, TokenText(seed, r.offset+len(r.tokens)))
	if len(r.tokens) >= r.maxTokens {
		w.engine.finish(r)
		return true
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return false
}

// Seed returns the seed from which a prompt's tokens are generated. It doesn't
// change if generated tokens are appended to the prompt.
func Seed(prompt string) uint64 {
	original, _, _ := strings.Cut(prompt, tokenPrefix)
	return xxhash.Sum64String(original)
}

// TokenText returns the token at an offset of the response that is generated from a
// seed.
func TokenText(seed uint64, offset int) string {
	return fmt.Sprintf("%s%d.%04x ", tokenPrefix, offset, seed&0xffff)
}

// ResponseText returns the complete text of the response to a prompt.
func ResponseText(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(TokenText(Seed(prompt), i))
	}
	return text.String()
}

func sleep(done <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
		return false
	case <-timer.C:
		return true
	}
}
