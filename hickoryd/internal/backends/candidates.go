package backends

import (
	"math/rand/v2"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/placement"
)

const (
	// maxNear and maxFar bound the candidates of one role in a placement decision,
	// so that its cost does not grow with the number of servers. A pool of at most
	// maxNear+maxFar servers is not sampled.
	maxNear = 12
	maxFar  = 12
)

type (
	// pool is the servers of one model and role.
	pool struct {
		near []*record // in the failure domain of this daemon
		far  []*record // in other failure domains
	}

	poolKey struct {
		model string
		role  backend.Role
	}
)

// Candidates returns engines of a model with their loads: all engines of a small
// pool, and a random sample of a large one. The sample of each role contains at
// least as many servers of the own failure domain as of others, if the pool has
// enough.
func (d *Directory) Candidates(model string) []placement.Candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates := make([]placement.Candidate, 0, 2*(maxNear+maxFar))
	for _, role := range []backend.Role{backend.RoleDecode, backend.RolePrefill} {
		p := d.pools[poolKey{model, role}]
		if p == nil {
			continue
		}
		near := min(len(p.near), max(maxNear, maxNear+maxFar-len(p.far)))
		candidates = sample(candidates, p.near, near)
		candidates = sample(candidates, p.far, maxNear+maxFar-near)
	}
	return candidates
}

// Candidate returns one engine with its load, or false if the platform does not
// list the engine.
func (d *Directory) Candidate(id string) (placement.Candidate, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.records[id]
	if !ok || !r.listed {
		return placement.Candidate{}, false
	}
	return placement.Candidate{Server: r.current(), Load: r.load}, true
}

// sample appends count random servers. As records is shuffled already, a
// contiguous range from a random start is a random sample.
func sample(candidates []placement.Candidate, records []*record, count int) []placement.Candidate {
	count = min(count, len(records))
	if count == 0 {
		return candidates
	}
	start := rand.IntN(len(records))
	for i := range count {
		r := records[(start+i)%len(records)]
		candidates = append(candidates, placement.Candidate{Server: r.current(), Load: r.load})
	}
	return candidates
}

// indexPools groups the listed engines into pools. The caller holds mu.
func (d *Directory) indexPools() {
	d.pools = map[poolKey]*pool{}
	for _, r := range d.records {
		if !r.listed || r.server.Role == backend.RolePlain {
			continue
		}
		key := poolKey{r.server.Model, r.server.Role}
		p := d.pools[key]
		if p == nil {
			p = &pool{}
			d.pools[key] = p
		}
		if r.server.FailureDomain == d.failureDomain {
			p.near = append(p.near, r)
		} else {
			p.far = append(p.far, r)
		}
	}
	for _, p := range d.pools {
		shuffle(p.near)
		shuffle(p.far)
	}
}

func shuffle(records []*record) {
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
}
