package orders

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/hickoryfront/hickoryfront/core/order"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
)

const (
	keyPrefix = "hickoryfront/orders/"
	// leaseTTL is the lifetime of the lease under which orders are sent.
	leaseTTL = 15 * time.Second
	// leaseMargin covers clocks that run at slightly different speeds.
	leaseMargin          = 2 * time.Second
	maxOwnershipAttempts = 4
)

var (
	errNotOwner    = errors.New("another daemon owns the group")
	errOldRevision = errors.New("the stored ownership has a newer pool revision")
)

// groupKey identifies a group: the engines of one pool in one failure domain.
type groupKey struct {
	pool          string
	failureDomain string
}

func (k groupKey) String() string {
	return k.pool + "/" + k.failureDomain
}

// lockKey is the key that the lease of the group's owner locks.
func (k groupKey) lockKey() string { return keyPrefix + k.String() + "/owner" }

// ownershipKey is the key of the group's ownership record.
func (k groupKey) ownershipKey() string { return keyPrefix + k.String() + "/fence" }

// renew renews the lease, or requests a new one. It records the time until which the
// lease is certainly held, counted from before the call.
func (m *Manager) renew(ctx context.Context) {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	requestedAt := time.Now()
	if lease != "" {
		err := m.kv.KeepLease(ctx, lease)
		if err == nil {
			m.setLease(lease, requestedAt.Add(leaseTTL-leaseMargin))
			return
		}
		if !errors.Is(err, consul.ErrLeaseExpired) {
			return // the lease expires if later renewals fail as well
		}
		m.setLease("", time.Time{})
	}
	granted, err := m.kv.GrantLease(ctx, "orders of "+m.self.Name, leaseTTL)
	if err != nil {
		return
	}
	m.setLease(granted, requestedAt.Add(leaseTTL-leaseMargin))
}

func (m *Manager) setLease(lease string, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if lease != m.lease {
		clear(m.groups) // their ownership was taken under another lease
	}
	m.lease, m.leaseUntil = lease, until
}

// takeOwnership takes the ownership of a group: it first acquires the group's lock key
// under the lease, and then stores an epoch that is higher than every earlier one. The
// epoch is the high part of the owner's fencing tokens.
func (m *Manager) takeOwnership(ctx context.Context, key groupKey, revision uint64) (order.Ownership, error) {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	acquired, err := m.kv.Acquire(ctx, key.lockKey(), []byte(m.self.Name), lease)
	if err != nil {
		return order.Ownership{}, err
	}
	if !acquired {
		return order.Ownership{}, errNotOwner
	}
	return m.writeOwnership(ctx, key, func(current order.Ownership) (order.Ownership, error) {
		if current.Revision > revision {
			return current, errOldRevision
		}
		return order.Ownership{Epoch: current.Epoch + 1, Host: m.self.Name, Incarnation: m.self.Incarnation, Revision: revision}, nil
	})
}

// raiseRevision stores a newer pool revision in the ownership record before orders for
// that revision are sent.
func (m *Manager) raiseRevision(ctx context.Context, key groupKey, held order.Ownership, revision uint64) (order.Ownership, error) {
	return m.writeOwnership(ctx, key, func(current order.Ownership) (order.Ownership, error) {
		if current.Epoch != held.Epoch {
			return current, errNotOwner
		}
		current.Revision = max(current.Revision, revision)
		return current, nil
	})
}

// writeOwnership changes the ownership record by compare-and-swap. It recognizes a write
// whose response was lost by the write ID.
func (m *Manager) writeOwnership(ctx context.Context, key groupKey, change func(order.Ownership) (order.Ownership, error)) (order.Ownership, error) {
	writeID := uuid.NewString()
	for range maxOwnershipAttempts {
		value, err := m.kv.Get(ctx, key.ownershipKey())
		if err != nil {
			return order.Ownership{}, err
		}
		var current order.Ownership
		if value.Index > 0 {
			if err := json.Unmarshal(value.Data, &current); err != nil {
				return current, fmt.Errorf("decode ownership record of group %s: %w", key, err)
			}
		}
		if current.WriteID == writeID {
			return current, nil
		}
		next, err := change(current)
		if err != nil {
			return current, err
		}
		next.WriteID = writeID
		data, err := json.Marshal(next)
		if err != nil {
			return current, err
		}
		if won, err := m.kv.CompareAndSwap(ctx, key.ownershipKey(), data, value.Index); err == nil && won {
			return next, nil
		}
	}
	return order.Ownership{}, errNotOwner
}
