package configstore_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/configstore"
)

const (
	randomSeeds      = 12
	randomStores     = 3
	randomOperators  = 3 // of each store
	randomChanges    = 25
	randomNames      = 6
	longestLateWrite = 4 * time.Second
)

type (
	// randomKV is one daemon's connection to a platform that fails at random. Calls are
	// slow, fail before or after they take effect, or take effect late.
	randomKV struct {
		*memoryKV
		mu      sync.Mutex
		random  *rand.Rand
		healthy bool
	}

	// result is one change and what Commit returned for it.
	result struct {
		writeID  string
		revision uint64
		err      error
	}

	// operator sends changes one after the other.
	operator struct {
		store   *configstore.Store
		name    string
		random  *rand.Rand
		results []result
	}

	// observer watches the revisions that a store puts in force.
	observer struct {
		store     *configstore.Store
		decreased bool
	}
)

// pick returns the delay of a call and a random number that selects its failure. Most
// numbers select none.
func (r *randomKV) pick() (delay time.Duration, failure int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healthy {
		return 0, -1
	}
	return time.Duration(r.random.IntN(30)) * time.Millisecond, r.random.IntN(12)
}

func (r *randomKV) Get(ctx context.Context, key string) (consul.Value, error) {
	delay, failure := r.pick()
	time.Sleep(delay)
	if failure == 0 {
		return consul.Value{}, consul.ErrUnavailable
	}
	return r.memoryKV.Get(ctx, key)
}

func (r *randomKV) CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error) {
	delay, failure := r.pick()
	time.Sleep(delay)
	switch failure {
	case 0: // lost before it takes effect
		return false, consul.ErrUnavailable
	case 1, 2: // takes effect, response lost
		_, _ = r.memoryKV.CompareAndSwap(ctx, key, data, index)
		return false, consul.ErrUnavailable
	case 3, 4: // takes effect later, if no other write came first
		late := time.Duration(rand.New(rand.NewPCG(index, uint64(len(data)))).Int64N(int64(longestLateWrite)))
		time.AfterFunc(late, func() { _, _ = r.memoryKV.CompareAndSwap(context.Background(), key, data, index) })
		return false, consul.ErrUnavailable
	}
	return r.memoryKV.CompareAndSwap(ctx, key, data, index)
}

func (r *randomKV) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healthy = true
}

func (o *operator) run() {
	for i := range randomChanges {
		writeID := fmt.Sprintf("%s-%d", o.name, i)
		name := fmt.Sprint("p-", o.random.IntN(randomNames))
		base := o.store.Current().Entries[config.EntryKey{Kind: config.KindProfile, Name: name}].Revision
		edit := profileEdit(name, base, time.Duration(1+o.random.IntN(100))*time.Second)
		if base > 0 && o.random.IntN(4) == 0 {
			edit.Text = "" // delete
		}
		time.Sleep(time.Duration(o.random.IntN(50)) * time.Millisecond)
		revision, err := o.store.Commit(context.Background(), change(writeID, edit))
		o.results = append(o.results, result{writeID, revision, err})
	}
}

func (w *observer) run(done <-chan struct{}) {
	last := uint64(0)
	for {
		changed := w.store.Changed()
		if now := w.store.Current().Revision; now < last {
			w.decreased = true
		} else {
			last = now
		}
		select {
		case <-changed:
		case <-done:
			return
		}
	}
}

// TestRandomFaults guards against lost, repeated or reverted changes when operators on
// several daemons change the same entries while the platform fails at random. An
// accepted change is in the history once, at the revision that Commit returned, a
// refused change is not in it, and no daemon goes back to an older revision.
//
// proof: answer lost + operators race | config write | 8
// proof: platform slow + operators race | config write | 8
// proof: platform down + operators race | config write | 8
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRandomFaults(t, seed) })
		})
	}
}

func testRandomFaults(t *testing.T, seed uint64) {
	kv := newMemoryKV()
	var connections []*randomKV
	var stores []*configstore.Store
	var all []*operator
	var observers []*observer
	var working, watching sync.WaitGroup
	done := make(chan struct{})
	for s := range randomStores {
		connection := &randomKV{memoryKV: kv, random: rand.New(rand.NewPCG(seed, uint64(s)))}
		store := start(t, connection, fmt.Sprint("host-", s))
		w := &observer{store: store}
		watching.Go(func() { w.run(done) })
		connections, stores, observers = append(connections, connection), append(stores, store), append(observers, w)
		for n := range randomOperators {
			o := &operator{store: store, name: fmt.Sprintf("%d-%d", s, n), random: rand.New(rand.NewPCG(seed, uint64(100*s+n)))}
			all = append(all, o)
			working.Go(o.run)
		}
	}
	working.Wait()
	for _, c := range connections {
		c.heal()
	}
	time.Sleep(time.Minute) // by then late writes have taken effect and all daemons have polled
	close(done)
	watching.Wait()
	checkHistory(t, stores[0], all)
	for i, w := range observers {
		if w.decreased {
			t.Errorf("host-%d went back to an older revision", i)
		}
		if diff := cmp.Diff(stores[0].Current(), stores[i].Current()); diff != "" {
			t.Errorf("host-%d differs from host-0 (-0 +%d):\n%s", i, i, diff)
		}
	}
}

func checkHistory(t *testing.T, store *configstore.Store, all []*operator) {
	t.Helper()
	changes, err := store.History(context.Background(), randomStores*randomOperators*randomChanges+1, func(config.Change) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	revisions := map[string]uint64{}
	for i, c := range changes { // newest first
		if want := store.Current().Revision - uint64(i); c.Revision != want {
			t.Fatalf("the history has revision %d where %d is expected", c.Revision, want)
		}
		if _, ok := revisions[c.WriteID]; ok {
			t.Errorf("change %s was written twice", c.WriteID)
		}
		revisions[c.WriteID] = c.Revision
	}
	accepted, refused, unknown := 0, 0, 0
	for _, o := range all {
		for _, r := range o.results {
			revision, written := revisions[r.writeID]
			switch {
			case r.err == nil:
				accepted++
				if revision != r.revision {
					t.Errorf("change %s was accepted at revision %d and is in the history at %d", r.writeID, r.revision, revision)
				}
			case errors.Is(r.err, configstore.ErrUnconfirmed):
				unknown++
			default:
				refused++
				if written {
					t.Errorf("change %s was refused with %q and is in the history at %d", r.writeID, r.err, revision)
				}
			}
		}
	}
	t.Logf("%d changes accepted, %d refused, %d unconfirmed", accepted, refused, unknown)
	if accepted == 0 || refused == 0 {
		t.Errorf("%d accepted and %d refused: the run must have both", accepted, refused)
	}
}
