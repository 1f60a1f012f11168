// Package order decides which orders the engines of a pool get: what differs from
// the configuration, which fencing token each order carries, and when an engine
// may get an order. It does no input or output. The command hickoryd serve uses it, for
// the engines of a platform with the Consul HTTP API.
package order

import (
	"slices"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
)

const (
	// LoadModel orders the engine to load a model.
	LoadModel Kind = "loadModel"
	// LoadVersion orders the engine to load a version of the model.
	LoadVersion Kind = "loadVersion"
	// LoadAdapter orders the engine to load an adapter.
	LoadAdapter Kind = "loadAdapter"
	// SetRole orders the engine to change its role.
	SetRole Kind = "setRole"

	// sequenceBits is the number of low bits of a fencing token that count the
	// orders of one ownership.
	sequenceBits = 24
)

type (
	// Kind is the kind of change that an order requests.
	Kind string

	// Order is a fenced command to one engine.
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

	// Ownership is the stored record of the host that sends orders to a group of
	// engines. Each new owner has a higher epoch, which is the high part of the fencing
	// tokens of its orders.
	Ownership struct {
		Epoch       uint64 `json:"epoch"`
		Host        string `json:"host"`
		Incarnation uint64 `json:"incarnation"`
		// Revision is the newest revision of the pool for which orders may have
		// been sent. An owner with an older revision must wait for the newer one.
		Revision uint64 `json:"revision"`
		WriteID  string `json:"attempt"` // identifies this write, so that it is recognized when the response to it was lost
	}
)

// FenceOf returns the fencing token of an order. Fencing tokens rise with the
// epoch and, within an epoch, with each order, so that an engine also refuses an
// order that was overtaken by a later one of the same owner.
func FenceOf(epoch, sequence uint64) uint64 {
	return epoch<<sequenceBits | sequence
}

// Next returns the next order that an engine needs, or false when the engine runs
// what the pool specifies. With an empty role the engine keeps its role.
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

// LoadsWeights reports whether the engine reads weights from the shared store to
// carry out the order.
func (o Order) LoadsWeights() bool {
	return o.Kind != SetRole
}

// Roles returns the role that each engine of a pool should have. As few engines
// as possible change their role, and each role keeps at least one engine. The
// result is empty when the pool does not set roles or has fewer than two engines.
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
