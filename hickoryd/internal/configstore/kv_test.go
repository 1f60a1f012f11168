package configstore_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
)

const rootKey = "hickoryfront/config/root"

// memoryKV is a key-value service in memory that simulates failures.
type memoryKV struct {
	mu      sync.Mutex
	index   uint64
	values  map[string]consul.Value
	changed chan struct{}

	down       bool
	delay      time.Duration           // of every call
	lose       int                     // next writes that take effect and whose response is lost
	drop       int                     // next writes that are lost before they take effect
	stale      map[string]consul.Value // returned instead of the present values
	onWrite    func(key string)        // called before a write takes effect
	calls      map[string]int
	waiting    int // watches that wait now
	maxWaiting int // maximum number of watches that waited at once
}

func newMemoryKV() *memoryKV {
	return &memoryKV{index: 1, values: map[string]consul.Value{}, changed: make(chan struct{}), calls: map[string]int{}}
}

func (m *memoryKV) Get(ctx context.Context, key string) (consul.Value, error) {
	if err := m.enter(ctx, "get"); err != nil {
		return consul.Value{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := m.stale[key]; ok {
		return v, nil
	}
	return m.values[key], nil
}

func (m *memoryKV) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (consul.Value, uint64, error) {
	if err := m.enter(ctx, "watch"); err != nil {
		return consul.Value{}, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	m.setWaiting(1)
	defer m.setWaiting(-1)
	for {
		m.mu.Lock()
		v, changed, down, newest := m.values[key], m.changed, m.down, m.index
		m.mu.Unlock()
		if down {
			return consul.Value{}, 0, consul.ErrUnavailable
		}
		if v.Index > index || index == 0 {
			return v, cmp.Or(v.Index, newest), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return v, cmp.Or(v.Index, newest), nil
		case <-ctx.Done():
			return v, 0, consul.ErrUnavailable
		}
	}
}

func (m *memoryKV) CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error) {
	if err := m.enter(ctx, "put"); err != nil {
		return false, err
	}
	m.mu.Lock()
	hook := m.onWrite
	m.mu.Unlock()
	if hook != nil {
		hook(key)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.drop > 0 {
		m.drop--
		return false, consul.ErrUnavailable
	}
	if m.values[key].Index != index {
		return false, nil
	}
	m.index++
	m.values[key] = consul.Value{Key: key, Data: slices.Clone(data), Index: m.index}
	m.broadcast()
	if m.lose > 0 {
		m.lose--
		return false, fmt.Errorf("%w: response lost", consul.ErrUnavailable)
	}
	return true, nil
}

func (m *memoryKV) Delete(ctx context.Context, key string) error {
	if err := m.enter(ctx, "delete"); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.values, key)
	m.broadcast()
	return nil
}

func (m *memoryKV) set(change func(*memoryKV)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
	m.broadcast()
}

func (m *memoryKV) count(class string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls[class]
}

func (m *memoryKV) maxWatches() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.maxWaiting
}

func (m *memoryKV) enter(ctx context.Context, class string) error {
	m.mu.Lock()
	m.calls[class]++
	down, delay := m.down, m.delay
	m.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return consul.ErrUnavailable
		}
	}
	if down {
		return consul.ErrUnavailable
	}
	return nil
}

func (m *memoryKV) setWaiting(by int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting += by
	m.maxWaiting = max(m.maxWaiting, m.waiting)
}

func (m *memoryKV) broadcast() {
	close(m.changed)
	m.changed = make(chan struct{})
}
