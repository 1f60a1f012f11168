package journal_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/journal"
)

var member = claim.Member{Host: "h1", Incarnation: 7, Since: 3}

// kv is a key-value service in memory.
type kv struct {
	mu      sync.Mutex
	index   uint64
	values  map[string]consul.Value
	writes  int
	latency time.Duration
	limiter *rate.Limiter // of writes; nil: none

	loseResponses int // number of next writes that take effect and whose response is lost
	dropWrites    int // number of next writes that fail without effect
	down          bool
}

func newKV() *kv {
	return &kv{values: map[string]consul.Value{}}
}

func (k *kv) Get(_ context.Context, key string) (consul.Value, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return consul.Value{}, consul.ErrUnavailable
	}
	v := k.values[key]
	v.Key = key
	return v, nil
}

func (k *kv) List(_ context.Context, prefix string) ([]consul.Value, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var values []consul.Value
	for key, v := range k.values {
		if strings.HasPrefix(key, prefix) {
			values = append(values, v)
		}
	}
	return values, nil
}

func (k *kv) CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error) {
	if k.limiter != nil {
		if err := k.limiter.Wait(ctx); err != nil {
			return false, err
		}
	}
	time.Sleep(k.latency)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writes++
	if k.down || k.dropWrites > 0 {
		k.dropWrites--
		return false, consul.ErrUnavailable
	}
	if k.values[key].Index != index {
		return false, nil
	}
	k.index++
	k.values[key] = consul.Value{Key: key, Data: data, Index: k.index}
	if k.loseResponses > 0 {
		k.loseResponses--
		return false, consul.ErrUnavailable
	}
	return true, nil
}

func (k *kv) Delete(_ context.Context, key string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.values, key)
	return nil
}

func grant(number int) claim.Grant {
	return claim.Grant{
		Key: claim.Key{Workspace: "boipara", Service: strings.Repeat("cart", 100), Value: fmt.Sprintf("k%d", number)}, RequestID: fmt.Sprint(number),
		Owner: claim.Daemon{Host: "h2", Incarnation: 1}, GrantedAt: time.Unix(1000, 0).UTC(), Horizon: time.Minute,
	}
}

func countByKey(grants []claim.Grant) map[string]int {
	counts := map[string]int{}
	for _, g := range grants {
		counts[g.Key.Value]++
	}
	return counts
}

// TestSealedJournalHoldsEveryAcknowledgedGrant checks that a sealed journal contains
// every grant that its home has acknowledged. The home keeps writing while another
// home seals the journal, at each point between and during the writes.
//
// proof: daemon paused | claim | 5
// proof: daemon killed | claim | 5
func TestSealedJournalHoldsEveryAcknowledgedGrant(t *testing.T) {
	for _, before := range []int{0, 1, 75} {
		for after := range 12 * time.Millisecond / time.Millisecond {
			synctest.Test(t, func(t *testing.T) { sealWhileWriting(t, before, after*time.Millisecond) })
		}
	}
}

func sealWhileWriting(t *testing.T, before int, after time.Duration) {
	store := newKV()
	w := writer{ctx: t.Context(), log: journal.NewLog(store, member), acked: map[string]bool{}}
	for range before {
		if err := w.append(); err != nil {
			t.Fatal(err)
		}
	}
	store.latency = 2 * time.Millisecond
	var group sync.WaitGroup
	group.Go(w.run)
	time.Sleep(after)
	sealed, err := journal.Seal(t.Context(), store, member)
	if err != nil {
		t.Fatalf("%d grants before, sealed after %v: %v", before, after, err)
	}
	group.Wait()
	held := countByKey(sealed.Grants)
	for key := range w.acked {
		if held[key] == 0 {
			t.Errorf("%d grants before, sealed after %v: %s was acknowledged and is not in the journal", before, after, key)
		}
	}
	if again, err := journal.Seal(t.Context(), store, member); err != nil || len(again.Grants) != len(sealed.Grants) {
		t.Errorf("second seal: %d grants, %v; want %d", len(again.Grants), err, len(sealed.Grants))
	}
}

// writer appends grants, 5 ms apart as a home does, until its journal is sealed.
type writer struct {
	ctx   context.Context
	log   *journal.Log
	next  int
	acked map[string]bool
}

func (w *writer) append() error {
	w.next++
	err := w.log.Append(w.ctx, 3, false, []claim.Grant{grant(w.next)})
	if err == nil {
		w.acked[grant(w.next).Key.Value] = true
	}
	return err
}

func (w *writer) run() {
	const pace = 5 * time.Millisecond
	for !errors.Is(w.append(), journal.ErrSealed) {
		time.Sleep(pace)
	}
}

// TestAppendResponseLost checks that a write whose response is lost is neither reported as
// failed when it took effect nor as durable when it did not, and that the next append
// succeeds.
//
// proof: answer lost | claim | 5
// proof: platform down | claim | 4
func TestAppendResponseLost(t *testing.T) {
	tests := []struct {
		name   string
		faults func(*kv)
		want   error
	}{
		{name: "write took effect", faults: func(k *kv) { k.loseResponses = 1 }},
		{name: "write had no effect", faults: func(k *kv) { k.dropWrites = 1 }, want: consul.ErrUnavailable},
		{name: "platform down", faults: func(k *kv) { k.down = true }, want: consul.ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := newKV()
			log := journal.NewLog(store, member)
			if err := log.Append(t.Context(), 3, true, []claim.Grant{grant(1)}); err != nil {
				t.Fatal(err)
			}
			test.faults(store)
			if err := log.Append(t.Context(), 3, true, []claim.Grant{grant(2)}); !errors.Is(err, test.want) {
				t.Errorf("append: %v, want %v", err, test.want)
			}
			store.down = false
			if err := log.Append(t.Context(), 3, true, []claim.Grant{grant(3)}); err != nil {
				t.Errorf("next append: %v", err)
			}
			sealed, err := journal.Seal(t.Context(), store, member)
			if err != nil {
				t.Fatal(err)
			}
			if held := countByKey(sealed.Grants); held["k1"] != 1 || held["k3"] != 1 || held["k2"] > 1 {
				t.Errorf("journal holds %v", held)
			}
			if sealed.CompleteThrough != 3 || sealed.Complete {
				t.Errorf("complete through %d, complete %v", sealed.CompleteThrough, sealed.Complete)
			}
		})
	}
}

// TestClosedJournalRejectsAppends checks that a journal that a stopping home has closed
// accepts no further grants and is marked as complete.
func TestClosedJournalRejectsAppends(t *testing.T) {
	store := newKV()
	log := journal.NewLog(store, member)
	if err := log.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := log.Append(t.Context(), 3, true, []claim.Grant{grant(1)}); !errors.Is(err, journal.ErrSealed) {
		t.Errorf("append: %v, want %v", err, journal.ErrSealed)
	}
	sealed, err := journal.Seal(t.Context(), store, member)
	if err != nil || !sealed.Complete || len(sealed.Grants) != 0 {
		t.Errorf("seal: %+v, %v", sealed, err)
	}
}

// TestOldSegmentsAreDeleted checks that segments stay below their maximum size and are
// deleted when their grants have expired, so that a journal does not grow without
// limit.
func TestOldSegmentsAreDeleted(t *testing.T) {
	store := newKV()
	log := journal.NewLog(store, member)
	for number := range 400 {
		if err := log.Append(t.Context(), 3, true, []claim.Grant{grant(number)}); err != nil {
			t.Fatal(err)
		}
	}
	for key, v := range store.values {
		if len(v.Data) > 33<<10 {
			t.Errorf("segment %s has %d bytes", key, len(v.Data))
		}
	}
	if err := log.Expire(t.Context(), grant(0).GrantedAt.Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if len(store.values) != 1 {
		t.Errorf("%d segments are left, want only the newest", len(store.values))
	}
}

// logStore implements journal.Store: it appends each group of grants to a journal.
type logStore struct{ log *journal.Log }

func (g logStore) Store(ctx context.Context, grants []claim.Grant) error {
	return g.log.Append(ctx, 3, true, grants)
}

func (g logStore) Prepare(ctx context.Context) { _ = g.log.Prepare(ctx) }

// TestClaimsShareWrites checks that a hundred grants that arrive while one write is in
// flight share the next write.
func TestClaimsShareWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newKV()
		store.latency = 5 * time.Millisecond
		w := journal.NewWriter(logStore{journal.NewLog(store, member)}, rate.NewLimiter(rate.Inf, 1))
		ctx, stop := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { w.Run(ctx) })
		var commits sync.WaitGroup
		for number := range 101 {
			commits.Go(func() {
				if number > 0 {
					time.Sleep(time.Millisecond)
				}
				if err := w.Commit(ctx, grant(number)); err != nil {
					t.Error(err)
				}
			})
		}
		commits.Wait()
		stop()
		group.Wait()
		if store.writes != 2 {
			t.Errorf("%d writes for 101 grants, want 2", store.writes)
		}
	})
}

// TestJournalKeepsToItsRate checks that the writer keeps to the rate of its limiter
// while one grant follows the other for a minute.
func TestJournalKeepsToItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newKV()
		w := journal.NewWriter(logStore{journal.NewLog(store, member)}, rate.NewLimiter(10, 4))
		ctx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		var group sync.WaitGroup
		group.Go(func() { w.Run(ctx) })
		for number := 0; ctx.Err() == nil; number++ {
			_ = w.Commit(ctx, grant(number)) // the last commit fails when the context ends
		}
		group.Wait()
		if store.writes > 10*60+4 {
			t.Errorf("%d writes in a minute, want at most 604", store.writes)
		}
	})
}
