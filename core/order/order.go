// Package order decides which orders the engines of a pool get: what is missing
// against the configuration, which fencing number each order carries, and when
// an engine may get one. It does no input or output.
package order

import (
	"slices"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
)

const (
	// LoadModel orders load a model.
	LoadModel Kind = "loadModel"
	// LoadVersion orders load a version of the model.
	LoadVersion Kind = "loadVersion"
	// LoadAdapter orders load an adapter.
	LoadAdapter Kind = "loadAdapter"
	// SetRole orders change the role.
	SetRole Kind = "setRole"

	// sequenceBits are the bits of a fencing number that count the orders of
	// one ownership.
	sequenceBits = 24
)

type (
	// Kind is what an order asks for.
	Kind string

	// Order is one order to one engine.
	Order struct {
		Fence    uint64
		Kind     Kind
		Argument string
	}

	// State is what an engine runs.
	State struct {
		Role     backend.Role
		Model    string
		Version  string
		Adapters []string
	}

	// Ownership is the stored record of who gives orders to a group of engines.
	// Each new owner has a higher epoch.
	Ownership struct {
		Epoch       uint64 `json:"epoch"`
		Host        string `json:"host"`
		Incarnation uint64 `json:"incarnation"`
		// Revision is the newest revision of the pool for which orders may have
		// been sent. An owner with an older one must wait for the newer.
		Revision uint64 `json:"revision"`
		Attempt  string `json:"attempt"` // recognises a write after a lost answer
	}
)

// FenceOf returns the fencing number of an order. Numbers rise with the epoch
// and, within an epoch, with each order, so that an order that was overtaken by
// a later one of the same owner is refused as well.
func FenceOf(epoch, sequence uint64) uint64 {
	return epoch<<sequenceBits | sequence
}

// Next returns the next order that an engine needs, or false when it runs what
// the pool wants. An empty role leaves the role as it is.
func Next(pool config.Pool, role backend.Role, state State) (Order, bool) {
	switch {
	case state.Model != pool.Model:
		return Order{Kind: LoadModel, Argument: pool.Model}, true
	case pool.Version != "" && state.Version != pool.Version:
		return Order{Kind: LoadVersion, Argument: pool.Version}, true
	}
	for _, adapter := range pool.Adapters {
		if !slices.Contains(state.Adapters, adapter) {
			return Order{Kind: LoadAdapter, Argument: adapter}, true
		}
	}
	if role != "" && state.Role != role {
		return Order{Kind: SetRole, Argument: string(role)}, true
	}
	return Order{}, false
}

// LoadsWeights reports whether the order takes weights from the shared store.
func (o Order) LoadsWeights() bool {
	return o.Kind != SetRole
}

// Roles returns the role that each engine of a pool should have. As few engines
// as possible change, and at least one stays in each role. It is empty when the
// pool leaves the roles alone or is too small.
func Roles(pool config.Pool, servers []backend.Server) map[string]backend.Role {
	if pool.Prefill == 0 || len(servers) < 2 {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(servers), func(a, b backend.Server) int {
		if a.Role != b.Role && a.Role == backend.RolePrefill {
			return -1
		}
		if a.Role != b.Role {
			return 1
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	wanted := min(pool.Prefill, len(servers)-1)
	roles := make(map[string]backend.Role, len(servers))
	for i, s := range sorted {
		roles[s.ID] = backend.RoleDecode
		if i < wanted {
			roles[s.ID] = backend.RolePrefill
		}
	}
	return roles
}
