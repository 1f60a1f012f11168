package policybench

import (
	"time"

	"github.com/hickoryfront/hickoryfront/core/admission"
	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/prefix"
	"github.com/hickoryfront/hickoryfront/core/slot"
)

// homes models the homes of all servers. The home of a server is the daemon that
// owns the server's slot ledger. Each server has exactly one home, so a single
// ledger can stand for the ledgers of all homes.
type homes struct {
	sim        *simulation
	slots      *slot.Ledger
	queues     *slot.PrefillLedger
	gaps       map[string]*admission.GapModel
	index      *prefix.Index
	snapshotAt map[string]time.Time
}

func newHomes(s *simulation) *homes {
	return &homes{
		sim: s, slots: slot.NewLedger(), queues: slot.NewPrefillLedger(), gaps: map[string]*admission.GapModel{},
		index: prefix.NewIndex(indexLimit), snapshotAt: map[string]time.Time{},
	}
}

func (h *homes) track(server backend.Server) {
	if server.Role == backend.RolePrefill {
		h.queues.Track(server)
		return
	}
	h.slots.Track(server)
	h.gaps[server.ID] = &admission.GapModel{}
}

// refresh applies load reports and cache events, as homes do periodically.
func (h *homes) refresh() {
	lag := h.sim.lag()
	for p := range h.sim.prefills {
		for _, e := range h.sim.prefills[p] {
			h.queues.SetReachable(e.server.ID, !e.crashed)
			h.queues.Observe(e.reportedLoad(lag))
			h.applyCacheEvents(e)
		}
		for _, e := range h.sim.decodes[p] {
			h.slots.SetReachable(e.server.ID, !e.crashed)
			h.observe(e, e.reportedLoad(lag))
		}
	}
}

func (h *homes) observe(e *decodeEngine, load backend.Load) {
	h.slots.Observe(load)
	model := h.gaps[e.server.ID]
	model.Observe(load.Batch, load.TokenGap)
	limit := model.MaxBatch(tokenGapTarget, slotsPerEngine)
	if h.sim.oracle() {
		limit = maxBatchInTarget(e.index)
	}
	h.slots.SetBatchLimit(e.server.ID, limit)
}

func (h *homes) applyCacheEvents(e *prefillEngine) {
	id := e.server.ID
	events, newest := e.eventsAfter(h.index.Sequence(id), eventLag)
	h.index.Apply(id, events, newest)
	now := h.sim.loop.now
	if h.index.NeedsSnapshot(id) && now.Sub(h.snapshotAt[id]) >= snapshotInterval {
		h.snapshotAt[id] = now
		h.index.Restore(id, e.sequence, e.cache.Keys())
	}
}

// reset drops all grants and the prefix index of a server that has crashed.
func (h *homes) reset(id string) {
	server := h.sim.byID[id].server
	h.slots.Forget(id)
	h.queues.Forget(id)
	h.index.Forget(id)
	h.track(server)
}

// cachedTokens returns the expected number of cached prompt tokens of a request on
// a server.
func (h *homes) cachedTokens(e *prefillEngine, r *request) int {
	if h.sim.oracle() {
		return e.cachedTokens(r.hashes)
	}
	return h.index.MatchedBlocks(e.server.ID, r.hashes) * prefix.BlockTokens
}

// load returns the load that a server's home publishes.
func (h *homes) load(server backend.Server) backend.Load {
	now := h.sim.loop.now
	if server.Role == backend.RolePrefill {
		load, _ := h.queues.Load(now, server.ID)
		return load
	}
	load, _ := h.slots.Load(now, server.ID)
	load.TokenGap = h.gaps[server.ID].Gap(load.SlotsUsed)
	return load
}
