package policybench

import (
	"errors"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/prefix"
)

const (
	reportInterval = 50 * time.Millisecond
	reportHistory  = 4 * time.Second
	maxCacheEvents = 1 << 14
)

var (
	errKVGone     = errors.New("KV cache is gone")
	errEngineDead = errors.New("engine is dead")
	errTransfer   = errors.New("KV cache was not fetched and is still there")
)

type (
	// attempt is one try of a request on a pair of engines.
	attempt struct {
		request *request
		id      string
		prefill *prefillEngine // nil: the decode engine computes the prompt
		decode  *decodeEngine
		prompt  int // tokens, generated ones included
		queued  int // tokens to compute as of its queueing
		cost    int // tokens computed by the prefill engine
		kvUntil time.Time
		stage   stage
		used    bool // a token came of it
		failed  func(error)
		done    func()
		ready   func() // prefill is done
	}

	stage int

	// node is what all engines have in common.
	node struct {
		bench   *bench
		server  backend.Server
		index   int // within its role and pool
		dead    bool
		life    int
		linkEnd time.Time
		history []backend.Load
	}

	prefillEngine struct {
		node
		queue    []*attempt
		running  *attempt
		endsAt   time.Time
		cache    *simplelru.LRU[uint64, struct{}]
		events   []cacheEvent
		sequence uint64
	}

	cacheEvent struct {
		prefix.Event
		at   time.Time
		lost bool
	}

	decodeEngine struct {
		node
		waiting  []*attempt
		holding  int // slots: batch and imports
		imports  []*attempt
		batch    []*attempt
		stepping bool
		direct   int // tokens of prompts to compute in the next step
		lastGap  time.Duration
	}
)

const (
	stageNew stage = iota
	stagePrefillQueued
	stagePrefilling
	stagePrefilled
	stageDecodeQueued
	stageImporting
	stageDecoding
	stageOver
)

func (a *attempt) deferrable() bool { return a.request.kind.Deferrable }

// insert puts an attempt behind those of its priority.
func insert(queue []*attempt, a *attempt) []*attempt {
	at := len(queue)
	for at > 0 && !a.deferrable() && queue[at-1].deferrable() {
		at--
	}
	return slices.Insert(queue, at, a)
}

func without(queue []*attempt, a *attempt) []*attempt {
	return slices.DeleteFunc(queue, func(other *attempt) bool { return other == a })
}

// fail ends an attempt and charges prefill work that nobody used.
func (b *bench) fail(a *attempt, err error) {
	if a.stage == stageOver {
		return
	}
	if a.isFetchable(b.loop.now) {
		a.stage = stagePrefilled
		b.loop.after(time.Millisecond, func() { a.failed(errTransfer) })
		return
	}
	b.end(a)
	b.loop.after(time.Millisecond, func() { a.failed(err) })
}

// isFetchable reports whether the decode engine died before it had the KV
// cache, and another one can still fetch it.
func (a *attempt) isFetchable(now time.Time) bool {
	waits := a.stage == stageDecodeQueued || a.stage == stageImporting || a.stage == stagePrefilled
	return waits && a.prefill != nil && !a.prefill.dead && a.decode.dead && now.Before(a.kvUntil)
}

// end takes an attempt from its engines.
func (b *bench) end(a *attempt) {
	was := a.stage
	a.stage = stageOver
	switch was {
	case stagePrefillQueued:
		a.prefill.queue = without(a.prefill.queue, a)
	case stageDecodeQueued:
		a.decode.waiting = without(a.decode.waiting, a)
	case stageImporting:
		a.decode.imports = without(a.decode.imports, a)
		a.decode.free()
	case stageDecoding:
		a.decode.batch = without(a.decode.batch, a)
		a.decode.free()
	}
	if a.cost > 0 && !a.used && was != stagePrefilling {
		b.result.wastedTokens += a.cost
	}
}

func (e *prefillEngine) enqueue(a *attempt) {
	if e.dead {
		e.bench.fail(a, errEngineDead)
		return
	}
	a.stage = stagePrefillQueued
	a.queued = max(1, a.prompt-e.hit(a.request.hashes))
	e.queue = insert(e.queue, a)
	e.next()
}

func (e *prefillEngine) next() {
	if e.running != nil || len(e.queue) == 0 || e.dead {
		return
	}
	a := e.queue[0]
	e.queue = e.queue[1:]
	e.running = a
	a.stage = stagePrefilling
	a.cost = max(1, a.prompt-e.hit(a.request.hashes))
	took := time.Duration(float64(a.cost) / prefillRate * float64(time.Second))
	e.endsAt = e.bench.loop.now.Add(took)
	e.bench.result.prefillTokens += a.cost
	life := e.life
	e.bench.loop.after(took, func() { e.finish(a, life) })
}

func (e *prefillEngine) finish(a *attempt, life int) {
	if e.life != life {
		return
	}
	e.running = nil
	e.store(a.request.hashes)
	if a.stage == stageOver { // cancelled while it ran
		e.bench.result.wastedTokens += a.cost
	} else {
		a.stage = stagePrefilled
		a.kvUntil = e.bench.loop.now.Add(kvLifetime)
		a.ready()
	}
	e.next()
}

func (e *prefillEngine) hit(hashes []uint64) int {
	for i, h := range hashes {
		if !e.cache.Contains(h) {
			return i * prefix.BlockTokens
		}
	}
	return len(hashes) * prefix.BlockTokens
}

// store caches the blocks of a prompt, the first ones as the newest, since
// they are shared most.
func (e *prefillEngine) store(hashes []uint64) {
	for _, h := range slices.Backward(hashes) {
		if _, ok := e.cache.Get(h); ok {
			continue
		}
		e.cache.Add(h, struct{}{})
		e.record(h, false)
	}
}

func (e *prefillEngine) record(block uint64, evicted bool) {
	e.sequence++
	e.events = append(e.events, cacheEvent{
		Event: prefix.Event{Sequence: e.sequence, Block: block, Evicted: evicted},
		at:    e.bench.loop.now,
		lost:  e.bench.random.Float64() < e.bench.run.eventLoss(),
	})
	if len(e.events) > 2*maxCacheEvents {
		e.events = slices.Clone(e.events[maxCacheEvents:])
	}
}

func (e *prefillEngine) newCache() {
	cache, err := simplelru.NewLRU(cacheBlocks, func(block uint64, _ struct{}) { e.record(block, true) })
	if err != nil {
		panic(err) // the size is above zero
	}
	e.cache = cache
}

func (e *prefillEngine) kill() {
	e.dead = true
	e.life++
	if a := e.running; a != nil {
		e.running = nil
		if a.stage == stageOver {
			e.bench.result.wastedTokens += a.cost
		} else {
			a.stage = stagePrefilled // its work is lost
			e.bench.fail(a, errEngineDead)
		}
	}
	for _, a := range slices.Clone(e.queue) {
		e.bench.fail(a, errEngineDead)
	}
	e.queue = nil
	e.newCache()
}

func (e *prefillEngine) load() backend.Load {
	backlog := max(0, e.endsAt.Sub(e.bench.loop.now))
	if e.running == nil {
		backlog = 0
	}
	for _, a := range e.queue {
		backlog += time.Duration(float64(a.queued) / prefillRate * float64(time.Second))
	}
	return backend.Load{ServerID: e.server.ID, ObservedAt: e.bench.loop.now, PrefillBacklog: backlog, PrefillRate: prefillRate}
}

// submit hands a prefilled attempt to the engine, which imports its KV cache
// as soon as it has a slot.
func (e *decodeEngine) submit(a *attempt) {
	if e.dead {
		e.bench.fail(a, errEngineDead)
		return
	}
	a.stage = stageDecodeQueued
	e.waiting = insert(e.waiting, a)
	e.fill()
}

func (e *decodeEngine) fill() {
	for !e.dead && e.holding < slotsPerEngine && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.holding++
		a.stage = stageImporting
		e.imports = append(e.imports, a)
		e.importKV(a)
	}
}

func (e *decodeEngine) importKV(a *attempt) {
	now := e.bench.loop.now
	if a.prefill == nil {
		e.direct += a.prompt
		e.join(a)
		return
	}
	start := now
	if a.prefill.linkEnd.After(start) {
		start = a.prefill.linkEnd
	}
	if e.linkEnd.After(start) {
		start = e.linkEnd
	}
	if start.After(a.kvUntil) || a.prefill.dead {
		e.bench.fail(a, errKVGone)
		return
	}
	end := start.Add(time.Duration(float64(a.prompt*kvBytesPerToken) / linkRate * float64(time.Second)))
	a.prefill.linkEnd, e.linkEnd = end, end
	source, life := a.prefill, a.prefill.life
	e.bench.loop.after(end.Sub(now), func() {
		if a.stage != stageImporting {
			return
		}
		if source.life != life {
			e.bench.fail(a, errKVGone)
			return
		}
		e.join(a)
	})
}

func (e *decodeEngine) join(a *attempt) {
	a.stage = stageDecoding
	e.imports = without(e.imports, a)
	e.batch = append(e.batch, a)
	e.step()
}

// step generates one token of each request in the batch.
func (e *decodeEngine) step() {
	if e.stepping || len(e.batch) == 0 || e.dead {
		return
	}
	e.stepping = true
	gap := gapOf(e.index, len(e.batch)) + time.Duration(float64(e.direct)/directRate*float64(time.Second))
	e.direct = 0
	e.lastGap = gap
	members := slices.Clone(e.batch)
	life := e.life
	e.bench.loop.after(gap, func() {
		if e.life != life {
			return
		}
		e.stepping = false
		for _, a := range members {
			if a.stage == stageDecoding {
				e.token(a)
			}
		}
		e.step()
	})
}

func (e *decodeEngine) token(a *attempt) {
	a.used = true
	if !e.bench.token(a.request) {
		return
	}
	a.stage = stageOver
	e.batch = without(e.batch, a)
	e.free()
	a.done()
}

func (e *decodeEngine) free() {
	e.holding--
	e.fill()
}

func (e *decodeEngine) kill() {
	e.dead = true
	e.life++
	e.stepping = false
	for _, a := range slices.Concat(e.batch, e.waiting) {
		e.bench.fail(a, errEngineDead)
	}
	for _, a := range slices.Clone(e.imports) {
		e.bench.fail(a, errEngineDead)
	}
	e.batch, e.waiting, e.imports, e.holding, e.direct = nil, nil, nil, 0, 0
}

func (e *decodeEngine) load() backend.Load {
	return backend.Load{
		ServerID: e.server.ID, ObservedAt: e.bench.loop.now, SlotsUsed: e.holding + len(e.waiting), SlotsTotal: slotsPerEngine,
		Batch: len(e.batch), TokenGap: e.lastGap, PrefillRate: directRate,
	}
}

func (n *node) where() *node { return n }

// report keeps the loads that are read with a lag.
func (n *node) report(load backend.Load) {
	n.history = append(n.history, load)
	for len(n.history) > 1 && n.bench.loop.now.Sub(n.history[0].ObservedAt) > reportHistory {
		n.history = n.history[1:]
	}
}

// reported returns the newest load that is at least lag old.
func (n *node) reported(lag time.Duration) backend.Load {
	for _, load := range slices.Backward(n.history) {
		if n.bench.loop.now.Sub(load.ObservedAt) >= lag {
			return load
		}
	}
	return backend.Load{ServerID: n.server.ID, ObservedAt: epoch, SlotsTotal: slotsPerEngine}
}
