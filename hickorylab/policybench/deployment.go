package policybench

import (
	"math/rand/v2"
	"time"

	"github.com/hickoryfront/hickoryfront/core/prefix"
)

type (
	// Deployment describes the engines and the traffic of one site.
	Deployment struct {
		Name          string
		Domains       []string
		DomainDelay   time.Duration // one way, between failure domains
		GoodputWeight float64       // of requests completed within the targets
		WasteWeight   float64       // of prefill work that is wasted
		DirectPrompt  int           // prompts of up to this many tokens may be prefilled by a decode engine
		MaxWait       time.Duration // of deferrable requests
		AgeAfter      time.Duration // wait after which a deferrable request takes turns with interactive ones
		Workspaces    int
		Pools         []Pool
	}

	// Pool describes the engines of one model and the requests for that model.
	Pool struct {
		Model   string
		Prefill int // number of prefill engines
		Decode  int // number of decode engines
		Kinds   []Kind
	}

	// Kind is one kind of request.
	Kind struct {
		Name       string
		Weight     float64 // share of the pool's requests
		Deferrable bool
		Shared     int // prompt tokens shared by all requests of the kind
		Group      int // prompt tokens shared within a group
		Groups     int // number of groups
		Own        int // mean number of prompt tokens unique to the request
		Output     int // mean number of generated tokens
	}

	// request is a caller's request with all its calls and attempts.
	request struct {
		id        int
		pool      int
		kind      *Kind
		workspace int
		router    int
		prompt    int // tokens
		output    int // tokens
		hashes    []uint64
		arrivedAt time.Time // of the first call
		callAt    time.Time // of the latest call
		calls     int
		attempts  int
		refused   bool
		tokens    int
		firstAt   time.Time
		lastAt    time.Time
		gaps      int
		slowGaps  int
		finished  bool
		gaveUp    bool
		active    *attempt
	}
)

const (
	tokenGapTarget   = 29 * time.Millisecond
	firstTokenTarget = 2 * time.Second
	interactiveWait  = time.Second // longest wait of an interactive request for its start

	slotsPerEngine  = 20
	prefillRate     = 16000.0                // tokens per second
	directRate      = 8000.0                 // prefill tokens per second on a decode engine
	kvBytesPerToken = 64 << 10               // bytes
	linkRate        = 6_250_000_000          // bytes per second, of one engine
	kvLifetime      = 800 * time.Millisecond // of a prefill result that no decode engine has fetched
	cacheBlocks     = 12000                  // of one prefill engine
	baseGap         = 12 * time.Millisecond  // token gap of a batch of one
)

// gapSlopes are the times that each further request in the batch adds to an
// engine's token gap. Every third engine is of an older, slower type.
var gapSlopes = []time.Duration{840 * time.Microsecond, 840 * time.Microsecond, 1060 * time.Microsecond}

// Boipara returns a deployment that matches syllabuses against a shared
// catalogue prompt and also serves holds and stock lookups.
func Boipara() Deployment {
	return Deployment{
		Name: "boipara", Domains: []string{"salt-lake", "new-town", "howrah", "behala"}, DomainDelay: 1500 * time.Microsecond,
		GoodputWeight: 4, WasteWeight: 1, DirectPrompt: 64, MaxWait: 10 * time.Second, AgeAfter: 5 * time.Second, Workspaces: 3,
		Pools: []Pool{
			{Model: "catalogue", Prefill: 3, Decode: 6, Kinds: []Kind{
				{Name: "syllabus", Weight: 0.5, Deferrable: true, Shared: 3072, Group: 1024, Groups: 60, Own: 900, Output: 160},
				{Name: "conditionNote", Weight: 0.2, Deferrable: true, Shared: 512, Own: 200, Output: 60},
				{Name: "disputeReply", Weight: 0.1, Deferrable: true, Shared: 512, Own: 900, Output: 260},
				{Name: "lookup", Weight: 0.2, Shared: 256, Own: 120, Output: 40},
			}},
			{Model: "storefront", Prefill: 1, Decode: 3, Kinds: []Kind{
				{Name: "hold", Weight: 0.35, Own: 48, Output: 30},
				{Name: "lookup", Weight: 0.25, Shared: 512, Own: 150, Output: 60},
				{Name: "disputeReply", Weight: 0.4, Deferrable: true, Shared: 512, Own: 900, Output: 260},
			}},
		},
	}
}

// Dutchpot returns a deployment that summarizes long order histories in short
// briefs and also serves drivers' pings.
func Dutchpot() Deployment {
	return Deployment{
		Name: "dutchpot", Domains: []string{"halfwaytree", "portmore", "spanishtown"}, DomainDelay: time.Millisecond,
		GoodputWeight: 1, WasteWeight: 4, DirectPrompt: 64, MaxWait: 30 * time.Second, AgeAfter: 10 * time.Second, Workspaces: 2,
		Pools: []Pool{
			{Model: "briefs", Prefill: 9, Decode: 9, Kinds: []Kind{
				{Name: "brief", Weight: 0.6, Deferrable: true, Shared: 512, Group: 6144, Groups: 120, Own: 1200, Output: 120},
				{Name: "dietCheck", Weight: 0.25, Deferrable: true, Shared: 512, Own: 1800, Output: 60},
				{Name: "question", Weight: 0.15, Shared: 512, Own: 200, Output: 60},
			}},
			{Model: "drivers", Prefill: 1, Decode: 2, Kinds: []Kind{
				{Name: "ping", Weight: 0.5, Own: 40, Output: 24},
				{Name: "question", Weight: 0.2, Shared: 512, Own: 200, Output: 60},
				{Name: "dietCheck", Weight: 0.3, Deferrable: true, Shared: 512, Own: 1200, Output: 120},
			}},
		},
	}
}

// Capacity returns the maximum number of requests per second that a pool can
// serve. It is the smaller of the rate of the decode engines, with the largest
// batches that meet the token-gap target, and the rate of the prefill engines when
// all shared tokens are cached.
func (p Pool) Capacity() float64 {
	var weight, output, own float64
	for _, k := range p.Kinds {
		weight += k.Weight
		output += k.Weight * float64(k.Output)
		own += k.Weight * float64(k.Own+prefix.BlockTokens/2)
	}
	decode := 0.0
	for i := range p.Decode {
		batch := maxBatchInTarget(i)
		decode += float64(batch) / tokenGapOf(i, batch).Seconds()
	}
	return min(decode/(output/weight), float64(p.Prefill)*prefillRate/(own/weight))
}

func tokenGapOf(engine, batch int) time.Duration {
	return baseGap + time.Duration(batch-1)*gapSlopes[engine%len(gapSlopes)]
}

func maxBatchInTarget(engine int) int {
	batch := slotsPerEngine
	for tokenGapOf(engine, batch) > tokenGapTarget {
		batch--
	}
	return batch
}

// trace returns the requests of a run, pool by pool and in order of arrival within
// a pool.
func (d Deployment) trace(load float64, length time.Duration, routers int, random *rand.Rand) []*request {
	var all []*request
	for p := range d.Pools {
		rate := d.Pools[p].Capacity() * load
		at := 0.0
		for {
			at += random.ExpFloat64() / rate
			if at > length.Seconds() {
				break
			}
			all = append(all, d.request(p, epoch.Add(time.Duration(at*float64(time.Second))), routers, random))
		}
	}
	for i, r := range all {
		r.id = i
		r.hashes = append(r.hashes, uniqueHashes(i, r)...)
	}
	return all
}

func (d Deployment) request(pool int, at time.Time, routers int, random *rand.Rand) *request {
	kind := pickKind(d.Pools[pool].Kinds, random)
	own := jitter(kind.Own, random)
	r := &request{
		pool: pool, kind: kind, workspace: random.IntN(d.Workspaces), router: random.IntN(routers),
		prompt: kind.Shared + kind.Group + own, output: jitter(kind.Output, random), arrivedAt: at, callAt: at,
	}
	r.hashes = blockHashes(nil, uint64(pool+1)<<8+uint64(len(kind.Name)), kind.Shared)
	if kind.Groups > 0 {
		// Squaring the uniform number makes some groups much more frequent than others.
		u := random.Float64()
		group := uint64(u * u * float64(kind.Groups))
		r.hashes = blockHashes(r.hashes, 1<<32+uint64(pool)<<16+group, kind.Group)
	}
	return r
}

func uniqueHashes(id int, r *request) []uint64 {
	own := r.prompt/prefix.BlockTokens - len(r.hashes)
	return blockHashes(nil, 1<<48+uint64(id), own*prefix.BlockTokens)
}

// blockHashes appends the hashes of the consecutive blocks that are generated
// from a seed.
func blockHashes(hashes []uint64, seed uint64, tokens int) []uint64 {
	random := rand.New(rand.NewPCG(seed, seed))
	for range tokens / prefix.BlockTokens {
		hashes = append(hashes, random.Uint64())
	}
	return hashes
}

func pickKind(kinds []Kind, random *rand.Rand) *Kind {
	total := 0.0
	for _, k := range kinds {
		total += k.Weight
	}
	u := random.Float64() * total
	for i := range kinds {
		if u -= kinds[i].Weight; u < 0 {
			return &kinds[i]
		}
	}
	return &kinds[len(kinds)-1]
}

// jitter returns a random number between 0.5 and 1.5 times the mean, but at least 4.
func jitter(mean int, random *rand.Rand) int {
	return max(4, int(float64(mean)*(0.5+random.Float64())))
}
