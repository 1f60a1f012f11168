package configstore_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/configstore"
)

// fleet is a fixed view of the fleet.
type fleet struct {
	self member.Host
	live []member.State
}

func (f fleet) Self() member.Host             { return f.self }
func (f fleet) Live(time.Time) []member.State { return f.live }
func hostIn(name, domain string) member.Host  { return member.Host{Name: name, FailureDomain: domain} }

func stateOf(h member.Host, draining bool) member.State {
	return member.State{Host: h, Draining: draining}
}

// start runs a store until the test ends.
func start(t *testing.T, kv configstore.KV, name string) *configstore.Store {
	t.Helper()
	return startIn(t, kv, fleet{self: hostIn(name, name)})
}

func startIn(t *testing.T, kv configstore.KV, f fleet) *configstore.Store {
	t.Helper()
	store := configstore.New(kv, f, &log.Logger{Handler: discard.Default}, metrics.NewSet())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	t.Cleanup(func() { cancel(); <-done })
	go runStore(ctx, store, done)
	return store
}

func runStore(ctx context.Context, store *configstore.Store, done chan<- struct{}) {
	defer close(done)
	store.Run(ctx)
}

func profileEdit(name string, base uint64, firstToken time.Duration) config.Edit {
	return config.Edit{Kind: config.KindProfile, Name: name, Base: base, Text: fmt.Sprintf("[targets]\nfirstToken = %s\n", firstToken)}
}

func change(writeID string, edits ...config.Edit) config.Change {
	return config.Change{Author: "asha", At: time.Now(), WriteID: writeID, Edits: edits}
}

// commitResult is what Commit returned on another goroutine.
type commitResult struct {
	revision uint64
	err      error
}

func commitTo(results chan<- commitResult, store *configstore.Store, c config.Change) {
	revision, err := store.Commit(context.Background(), c)
	results <- commitResult{revision, err}
}

func mustCommit(t *testing.T, store *configstore.Store, c config.Change) uint64 {
	t.Helper()
	revision, err := store.Commit(context.Background(), c)
	if err != nil {
		t.Fatalf("commit of %s: %v", c.WriteID, err)
	}
	return revision
}

// fill commits n unrelated changes, one after the other.
func fill(t *testing.T, store *configstore.Store, prefix string, n int) {
	t.Helper()
	for i := range n {
		name := fmt.Sprintf("%s-%d", prefix, i)
		mustCommit(t, store, change(name, profileEdit(name, 0, time.Second)))
	}
}

// TestCommitRace guards against a lost update when two operators edit the same entry on two
// daemons at the same time: one commit succeeds, the other gets a conflict.
//
// proof: operators race | config write | 8
func TestCommitRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newMemoryKV()
		a, b := start(t, kv, "a"), start(t, kv, "b")
		base := mustCommit(t, a, change("first", profileEdit("p", 0, time.Second)))
		synctest.Wait()
		kv.set(func(m *memoryKV) { m.delay = time.Millisecond })
		results := make(chan commitResult, 2)
		for i, store := range []*configstore.Store{a, b} {
			go commitTo(results, store, change(fmt.Sprint("race-", i), profileEdit("p", base, time.Duration(i+2)*time.Second)))
		}
		won, conflicts := 0, 0
		for range 2 {
			r := <-results
			var conflict config.Conflict
			switch {
			case r.err == nil:
				won++
			case errors.As(r.err, &conflict):
				conflicts++
				if conflict.Base != base || conflict.Current != base+1 {
					t.Errorf("conflict names base %d and current %d, want %d and %d", conflict.Base, conflict.Current, base, base+1)
				}
			default:
				t.Errorf("unexpected error: %v", r.err)
			}
		}
		if won != 1 || conflicts != 1 {
			t.Errorf("%d commits won and %d conflicted, want one each", won, conflicts)
		}
	})
}

// TestCommitResponseLost guards against writing a change twice when the response to its write
// is lost. The writer reads the root again, where other changes may have followed by then.
//
// proof: answer lost | config write | 8
// proof: answer lost + operators race | config write | 8
func TestCommitResponseLost(t *testing.T) {
	tests := []struct {
		name  string
		later int // changes of another operator before the root is read again
	}{
		{name: "nothing else happens", later: 0},
		{name: "others change other entries", later: 3},
		{name: "the change is compacted out of the root", later: 3 * config.MaxRecentChanges},
		{name: "the entry is deleted meanwhile", later: -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := newMemoryKV()
				a, b := start(t, kv, "a"), start(t, kv, "b")
				fill(t, a, "before", 5)
				synctest.Wait()
				written := make(chan struct{})
				lost := &lostResponse{memoryKV: kv, written: written}
				c := start(t, lost, "c")
				synctest.Wait()
				got := make(chan commitResult, 1)
				go commitTo(got, c, change("mine", profileEdit("p", 0, time.Second)))
				<-written
				if tt.later < 0 {
					mustCommit(t, b, change("delete", config.Edit{Kind: config.KindProfile, Name: "p", Base: 6}))
				}
				fill(t, b, "later", max(0, tt.later))
				lost.release()
				if r := <-got; r.revision != 6 || r.err != nil {
					t.Errorf("committed at revision %d with error %v, want 6", r.revision, r.err)
				}
				synctest.Wait()
				entry, ok := b.Current().Entries[config.EntryKey{Kind: config.KindProfile, Name: "p"}]
				if deleted := tt.later < 0; ok == deleted || (ok && entry.Revision != 6) {
					t.Errorf("entry is %+v, present %v: it was written twice", entry, ok)
				}
			})
		})
	}
}

// lostResponse loses the response to the first write of the root. That write returns only
// after release, so that the writer's next read of the root comes after it.
type lostResponse struct {
	*memoryKV
	written chan struct{}
	blocked chan struct{}
	done    bool
}

func (l *lostResponse) CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error) {
	ok, err := l.memoryKV.CompareAndSwap(ctx, key, data, index)
	if key != rootKey || l.done {
		return ok, err
	}
	l.done = true
	l.blocked = make(chan struct{})
	close(l.written)
	<-l.blocked
	return false, consul.ErrUnavailable
}

func (l *lostResponse) release() { close(l.blocked) }

// TestCommitRepeatedBySender guards against writing a change twice when its sender retries it
// on another daemon after the first attempt has moved into the history.
//
// proof: answer lost | config write | 8
func TestCommitRepeatedBySender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newMemoryKV()
		a, b := start(t, kv, "a"), start(t, kv, "b")
		first := mustCommit(t, a, change("token", profileEdit("p", 0, time.Second)))
		fill(t, a, "later", 2*config.MaxRecentChanges)
		retry := change("token", profileEdit("p", 0, time.Second))
		retry.Since = 1
		if revision := mustCommit(t, b, retry); revision != first {
			t.Errorf("the retry got revision %d, want %d", revision, first)
		}
	})
}

// TestCommitAfterPause guards against a write that is based on an old root: a daemon is
// paused between its read of the root and its write, while another daemon commits changes.
//
// proof: daemon paused | config write | 8
func TestCommitAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newMemoryKV()
		a, b := start(t, kv, "a"), start(t, kv, "b")
		fill(t, a, "before", config.MaxRecentChanges) // the next commit compacts the root
		synctest.Wait()
		paused := false
		kv.set(func(m *memoryKV) {
			m.onWrite = func(key string) {
				if key == rootKey && !paused {
					paused = true
					fill(t, b, "meanwhile", 2*config.MaxRecentChanges)
				}
			}
		})
		revision := mustCommit(t, a, change("late", profileEdit("p", 0, time.Second)))
		if want := uint64(3*config.MaxRecentChanges + 1); revision != want {
			t.Errorf("the paused daemon's change got revision %d, want %d", revision, want)
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff(a.Current().List(), b.Current().List()); diff != "" {
			t.Errorf("the daemons differ (-a +b):\n%s", diff)
		}
	})
}

// TestCommitWhilePlatformFails checks the result of a commit while the platform is down, slow
// or loses writes and responses. ErrNotSent may be returned only when nothing was sent, and
// a change that was not accepted must not be in force.
//
// proof: platform down | config write | 8
// proof: platform slow | config write | 8
func TestCommitWhilePlatformFails(t *testing.T) {
	tests := []struct {
		name string
		fail func(*memoryKV)
		heal func(*memoryKV)
		want error
	}{
		{name: "down before", fail: func(m *memoryKV) { m.down = true }, want: configstore.ErrNotSent},
		{name: "down before, healed in time", fail: func(m *memoryKV) { m.down = true }, heal: func(m *memoryKV) { m.down = false }},
		{name: "down during the write", fail: func(m *memoryKV) {
			m.onWrite = func(string) { m.set(func(m *memoryKV) { m.down = true; m.drop = 1 }) }
		}, want: configstore.ErrUnconfirmed},
		{name: "down during the write, healed in time", fail: func(m *memoryKV) {
			m.onWrite = func(string) { m.set(func(m *memoryKV) { m.down = true; m.drop = 1; m.onWrite = nil }) }
		}, heal: func(m *memoryKV) { m.down = false }},
		{name: "slow", fail: func(m *memoryKV) { m.delay = time.Second }},
		{name: "writes lost before their effect", fail: func(m *memoryKV) { m.drop = 3 }},
		{name: "responses lost", fail: func(m *memoryKV) { m.lose = 1 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := newMemoryKV()
				store := start(t, kv, "a")
				mustCommit(t, store, change("first", profileEdit("p", 0, time.Second)))
				kv.set(tt.fail)
				if tt.heal != nil {
					time.AfterFunc(5*time.Second, func() { kv.set(tt.heal) })
				}
				revision, err := store.Commit(context.Background(), change("second", profileEdit("p", 1, 2*time.Second)))
				if !errors.Is(err, tt.want) {
					t.Fatalf("got error %v, want %v", err, tt.want)
				}
				if err == nil && revision != 2 {
					t.Errorf("got revision %d, want 2", revision)
				}
				if got := store.Current().Profiles["p"].FirstTokenTarget; err != nil && got != time.Second {
					t.Errorf("the change was not accepted, but its target of %v is in force", got)
				}
			})
		})
	}
}

// TestOutageKeepsConfiguration checks that an outage of the platform leaves the configuration
// in force, and that a change after the outage reaches the other daemons in time.
//
// proof: platform down | config spread | 8
func TestOutageKeepsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newMemoryKV()
		a, b := start(t, kv, "a"), start(t, kv, "b")
		fill(t, a, "p", 3)
		synctest.Wait()
		kv.set(func(m *memoryKV) { m.down = true })
		time.Sleep(time.Hour)
		if a.Current().Revision != 3 || b.Current().Revision != 3 {
			t.Errorf("revisions after an hour of outage: %d and %d, want 3", a.Current().Revision, b.Current().Revision)
		}
		kv.set(func(m *memoryKV) { m.down = false })
		mustCommit(t, a, change("after", profileEdit("q", 0, time.Second)))
		time.Sleep(9 * time.Second)
		if got := b.Current().Revision; got != 4 {
			t.Errorf("9 s after the outage the other daemon is at revision %d, want 4", got)
		}
	})
}

// TestStaleReadNeverReverts guards against going back to an older revision when the platform
// returns a stale root.
//
// proof: platform slow | config spread | 8
func TestStaleReadNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newMemoryKV()
		a := start(t, kv, "a")
		fill(t, a, "p", 2)
		old, _ := kv.Get(context.Background(), rootKey)
		fill(t, a, "q", 2)
		kv.set(func(m *memoryKV) { m.stale = map[string]consul.Value{rootKey: old} })
		if err := a.Refresh(context.Background()); err == nil {
			t.Error("a stale read returned no error")
		}
		if got := a.Current().Revision; got != 4 {
			t.Errorf("a stale read put revision %d in force, want 4", got)
		}
		time.AfterFunc(time.Second, func() { kv.set(func(m *memoryKV) { m.stale = nil }) })
		if got := mustCommit(t, a, change("r", profileEdit("r", 0, time.Second))); got != 5 {
			t.Errorf("committed at revision %d after a stale read, want 5", got)
		}
	})
}

// hookedKV calls a function after a write of the root has taken effect.
type hookedKV struct {
	*memoryKV
	after func()
}

func (h *hookedKV) CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error) {
	ok, err := h.memoryKV.CompareAndSwap(ctx, key, data, index)
	if key == rootKey && ok && h.after != nil {
		h.after()
	}
	return ok, err
}

// TestNewerDocumentDuringCommit guards against a commit that puts its own, older revision
// in force when a newer document arrives from a peer between the write and its response.
//
// proof: operators race | config spread | 8
func TestNewerDocumentDuringCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newMemoryKV()
		hooked := &hookedKV{memoryKV: kv}
		a, b := start(t, hooked, "a"), start(t, kv, "b")
		hooked.after = func() {
			fill(t, b, "later", 3)
			data, _, err := b.UpdateAfter(time.Now(), 0)
			if err == nil {
				err = a.ApplyUpdate(data)
			}
			if err != nil {
				t.Errorf("update: %v", err)
			}
		}
		if got := mustCommit(t, a, change("first", profileEdit("p", 0, time.Second))); got != 1 {
			t.Errorf("committed at revision %d, want 1", got)
		}
		if got := a.Current().Revision; got != 4 {
			t.Errorf("after the commit revision %d is in force, want 4", got)
		}
	})
}

// TestCompactionInterrupted guards against a root that can no longer be compacted after a daemon
// has stopped between the snapshot and the history segment: another daemon completes the
// compaction.
//
// proof: daemon killed | config write | 8
func TestCompactionInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newMemoryKV()
		a, b := start(t, kv, "a"), start(t, kv, "b")
		fill(t, a, "p", config.MaxRecentChanges)
		synctest.Wait()
		kv.set(func(m *memoryKV) {
			m.onWrite = func(key string) {
				if strings.Contains(key, "history") {
					m.set(func(m *memoryKV) { m.down = true; m.drop = 1 }) // the snapshot is written, the segment and the root are not
				}
			}
		})
		if _, err := a.Commit(context.Background(), change("x", profileEdit("x", 0, time.Second))); !errors.Is(err, configstore.ErrNotSent) {
			t.Fatalf("got error %v, want ErrNotSent", err)
		}
		kv.set(func(m *memoryKV) { m.down = false; m.onWrite = nil })
		if got := mustCommit(t, b, change("y", profileEdit("y", 0, time.Second))); got != config.MaxRecentChanges+1 {
			t.Errorf("committed at revision %d, want %d", got, config.MaxRecentChanges+1)
		}
	})
}

func TestFreshDaemonReadsSnapshotAndChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newMemoryKV()
		a := start(t, kv, "a")
		fill(t, a, "p", 5*config.MaxRecentChanges+7)
		b := start(t, kv, "b")
		time.Sleep(time.Second)
		if diff := cmp.Diff(a.Current(), b.Current()); diff != "" {
			t.Errorf("a fresh daemon differs (-old +fresh):\n%s", diff)
		}
		kv.mu.Lock()
		defer kv.mu.Unlock()
		if got := len(kv.values); got > 6 {
			t.Errorf("the platform holds %d keys: old snapshots and segments are not deleted", got)
		}
	})
}

func TestBurstOfCommits(t *testing.T) {
	const daemons, burst = 7, 50
	synctest.Test(t, func(t *testing.T) {
		kv := newMemoryKV()
		var stores []*configstore.Store
		for i := range daemons {
			stores = append(stores, start(t, kv, fmt.Sprint("host-", i)))
		}
		kv.set(func(m *memoryKV) { m.delay = 3 * time.Millisecond })
		results := make(chan commitResult, burst)
		for i := range burst {
			name := fmt.Sprint("p-", i)
			go commitTo(results, stores[i%daemons], change(name, profileEdit(name, 0, time.Second)))
		}
		for range burst {
			if r := <-results; r.err != nil {
				t.Error(r.err)
			}
		}
		time.Sleep(time.Second)
		if got := stores[0].Current().Revision; got != burst {
			t.Errorf("revision is %d, want %d", got, burst)
		}
		t.Logf("%d writes for %d changes on %d daemons", kv.count("put"), burst, daemons)
	})
}

func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newMemoryKV()
		a := start(t, kv, "a")
		mustCommit(t, a, change("one", profileEdit("p", 0, time.Second)))
		fill(t, a, "other", 2*config.MaxRecentChanges)
		mustCommit(t, a, change("two", profileEdit("p", 1, 2*time.Second)))
		changes, err := a.History(context.Background(), 10, func(c config.Change) bool { return c.Edits[0].Name == "p" })
		if err != nil {
			t.Fatal(err)
		}
		var writeIDs []string
		for _, c := range changes {
			writeIDs = append(writeIDs, c.WriteID)
		}
		if diff := cmp.Diff([]string{"two", "one"}, writeIDs); diff != "" {
			t.Errorf("history (-want +got):\n%s", diff)
		}
	})
}

func TestUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newMemoryKV()
		a := start(t, kv, "a")
		fill(t, a, "p", 10)
		peer := configstore.New(newMemoryKV(), fleet{}, &log.Logger{Handler: discard.Default}, metrics.NewSet())
		for _, after := range []uint64{0, 7, 3} { // the first update is complete, the others have nothing newer
			data, revision, err := a.UpdateAfter(time.Now(), after)
			if err != nil || revision != 10 {
				t.Fatalf("update after %d: revision %d, error %v", after, revision, err)
			}
			if err := peer.ApplyUpdate(data); err != nil {
				t.Fatal(err)
			}
			if got := peer.Current().Revision; got != 10 {
				t.Errorf("after the update from %d the peer is at %d, want 10", after, got)
			}
		}
		if diff := cmp.Diff(a.Current(), peer.Current()); diff != "" {
			t.Errorf("the peer differs (-a +peer):\n%s", diff)
		}
	})
}

// silentKV delays the responses to watches until the client times out, like a connection
// that has become silent.
type silentKV struct {
	*memoryKV
}

func (s silentKV) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (consul.Value, uint64, error) {
	if index == 0 {
		return s.memoryKV.Watch(ctx, key, index, wait)
	}
	const clientTimeout = 2 * time.Second // what the client of the platform adds to the wait
	time.Sleep(wait + wait/16 + clientTimeout)
	return consul.Value{}, 0, consul.ErrUnavailable
}

// TestSilentWatch checks that a daemon whose watch connection has become silent still gets a
// change in time.
//
// proof: silent connection | config spread | 8
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newMemoryKV()
		a, b := start(t, kv, "a"), start(t, silentKV{kv}, "b")
		time.Sleep(time.Second)
		mustCommit(t, a, change("x", profileEdit("p", 0, time.Second)))
		time.Sleep(9 * time.Second) // the target for a change to be in force
		if got := b.Current().Revision; got != 1 {
			t.Errorf("the daemon with a silent connection is at revision %d, want 1", got)
		}
	})
}

// TestOneWatcherPerFailureDomain checks that one daemon in each failure domain watches the
// platform, and that the others get a change by the poll if no heartbeat announces it.
//
// proof: failure domain lost | config spread | 8
func TestOneWatcherPerFailureDomain(t *testing.T) {
	const domains, perDomain = 3, 4
	synctest.Test(t, func(t *testing.T) {
		kv := newMemoryKV()
		var live []member.State
		for d := range domains {
			for h := range perDomain {
				live = append(live, stateOf(hostIn(fmt.Sprintf("host-%d-%d", d, h), fmt.Sprint("domain-", d)), false))
			}
		}
		var stores []*configstore.Store
		for _, s := range live {
			stores = append(stores, startIn(t, kv, fleet{self: s.Host, live: live}))
		}
		time.Sleep(5 * time.Second)
		mustCommit(t, stores[0], change("x", profileEdit("p", 0, time.Second)))
		time.Sleep(time.Second)
		reached := 0
		for _, s := range stores {
			reached += int(s.Current().Revision)
		}
		if reached < domains || kv.maxWatches() != domains {
			t.Errorf("%d daemons have the change and %d watched at once, want at least %d and %d", reached, kv.maxWatches(), domains, domains)
		}
		time.Sleep(40 * time.Second) // only the poll reaches the other daemons
		for i, s := range stores {
			if s.Current().Revision != 1 {
				t.Errorf("%s did not poll the platform", live[i].Host.Name)
			}
		}
	})
}

func TestIsWatcher(t *testing.T) {
	a, b := hostIn("a", "x"), hostIn("b", "x")
	if configstore.IsWatcher(a, []member.State{stateOf(a, false), stateOf(b, false)}) ==
		configstore.IsWatcher(b, []member.State{stateOf(a, false), stateOf(b, false)}) {
		t.Error("both or none of two daemons are the watcher, want one")
	}
	if !configstore.IsWatcher(a, []member.State{stateOf(a, false), stateOf(b, true)}) {
		t.Error("the only daemon that is not draining is not the watcher")
	}
}
