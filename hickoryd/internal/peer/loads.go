package peer

import (
	"cmp"
	"slices"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	// maxLoadsSameDomain and maxLoadsOtherDomain bound the server loads in one
	// heartbeat to a host of the same failure domain and to a host of another one.
	maxLoadsSameDomain  = 16
	maxLoadsOtherDomain = 8
)

// loadRotation selects the server loads for each receiver in turn, so that a server
// is not left out for long although the number of loads in a message is bounded.
type loadRotation struct {
	lastSent map[string]string // by receiver: the id of the last server sent
}

// maxLoadsTo returns how many server loads a heartbeat to a host carries.
func (m *Membership) maxLoadsTo(to member.Host) int {
	if to.FailureDomain == m.self.FailureDomain {
		return maxLoadsSameDomain
	}
	return maxLoadsOtherDomain
}

// take returns the next server loads for a receiver, at most limit.
func (r *loadRotation) take(loads []backend.Load, receiver string, limit int) []*peerapi.ServerLoad {
	if len(loads) == 0 {
		return nil
	}
	slices.SortFunc(loads, func(a, b backend.Load) int { return cmp.Compare(a.ServerID, b.ServerID) })
	start := 0
	if after, ok := r.lastSent[receiver]; ok && len(loads) > limit {
		start, _ = slices.BinarySearchFunc(loads, after, func(l backend.Load, id string) int { return cmp.Compare(l.ServerID, id) })
		start++ // past the last one sent
	}
	count := min(limit, len(loads))
	wire := make([]*peerapi.ServerLoad, 0, count)
	for i := range count {
		load := loads[(start+i)%len(loads)]
		wire = append(wire, LoadToWire(load))
		r.lastSent[receiver] = load.ServerID
	}
	return wire
}

func (r *loadRotation) forget(receiver string) {
	delete(r.lastSent, receiver)
}
