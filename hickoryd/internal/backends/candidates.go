package backends

import (
	"math/rand/v2"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/placement"
)

const (
	// sampleNear and sampleFar bound the candidates of one role in a decision,
	// so that its cost does not grow with the fleet. Pools of up to their sum
	// are looked at whole.
	sampleNear = 12
	sampleFar  = 12
)

type (
	// pool is the servers of one model and role.
	pool struct {
		near []*record // in the failure domain of this daemon
		far  []*record
	}

	poolKey struct {
		model string
		role  backend.Role
	}
)

// Candidates returns engines of a model with their loads: all of them in small
// pools, else a sample of each role that prefers the own failure domain.
func (d *Directory) Candidates(model string) []placement.Candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates := make([]placement.Candidate, 0, 2*(sampleNear+sampleFar))
	for _, role := range []backend.Role{backend.RoleDecode, backend.RolePrefill} {
		p := d.pools[poolKey{model, role}]
		if p == nil {
			continue
		}
		near := min(len(p.near), max(sampleNear, sampleNear+sampleFar-len(p.far)))
		candidates = sample(candidates, p.near, near)
		candidates = sample(candidates, p.far, sampleNear+sampleFar-near)
	}
	return candidates
}

// Candidate returns one listed engine with its load.
func (d *Directory) Candidate(id string) (placement.Candidate, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.records[id]
	if !ok || !r.listed {
		return placement.Candidate{}, false
	}
	return placement.Candidate{Server: r.current(), Load: r.load}, true
}

// sample appends count random servers: a run of the list from a random start,
// as the list is in random order.
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

// index sorts the engines into pools. The caller holds mu.
func (d *Directory) index() {
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
