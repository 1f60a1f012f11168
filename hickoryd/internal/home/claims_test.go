package home_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/home"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/journal"
)

const (
	horizon = 10 * time.Minute
	// settleTime is enough time for an epoch change and its takeovers.
	settleTime = 10 * time.Second
)

var errUnreachable = errors.New("daemon can't be reached")

type (
	// fleet is a set of daemons in one process. It is also their platform, which
	// it keeps in memory.
	fleet struct {
		t            *testing.T
		mu           sync.Mutex
		platformDown bool
		index        uint64
		values       map[string]consul.Value
		daemons      map[string]*daemon
		next         int
	}

	// daemon is one daemon of a fleet. It implements home.Fleet and home.Homes for
	// its own claims.
	daemon struct {
		fleet       *fleet
		host        member.Host
		claims      *home.Claims
		stop        context.CancelFunc
		killed      bool
		unreachable bool // other daemons can't reach it
		draining    bool
		writeGate   chan struct{} // if not nil, journal writes of this daemon wait until it is closed
	}

	// ownKV is the platform as seen by one daemon, whose journal writes can be
	// delayed.
	ownKV struct {
		*fleet
		daemon *daemon
	}
)

func newFleet(t *testing.T, hosts int) *fleet {
	f := &fleet{t: t, values: map[string]consul.Value{}, daemons: map[string]*daemon{}}
	for range hosts {
		f.join()
	}
	time.Sleep(settleTime)
	return f
}

// join starts one more daemon.
func (f *fleet) join() {
	f.mu.Lock()
	defer f.mu.Unlock()
	logger := &log.Logger{Handler: discard.New()}
	d := &daemon{fleet: f, host: member.Host{Name: fmt.Sprintf("h%d", len(f.daemons)), Incarnation: 1}}
	owner := claim.Daemon{Host: d.host.Name, Incarnation: d.host.Incarnation}
	d.claims = home.NewClaims(owner, 1000, ownKV{f, d}, d, d, func() time.Duration { return horizon }, logger, metrics.NewSet())
	f.daemons[d.host.Name] = d
	ctx, stop := context.WithCancel(f.t.Context())
	d.stop = stop
	go d.claims.Run(ctx)
}

func (f *fleet) Get(_ context.Context, key string) (consul.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.platformDown {
		return consul.Value{}, consul.ErrUnavailable
	}
	return f.values[key], nil
}

func (f *fleet) List(_ context.Context, prefix string) ([]consul.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.platformDown {
		return nil, consul.ErrUnavailable
	}
	var values []consul.Value
	for key, v := range f.values {
		if strings.HasPrefix(key, prefix) {
			values = append(values, v)
		}
	}
	return values, nil
}

func (f *fleet) CompareAndSwap(_ context.Context, key string, data []byte, index uint64) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.platformDown {
		return false, consul.ErrUnavailable
	}
	if f.values[key].Index != index {
		return false, nil
	}
	f.index++
	f.values[key] = consul.Value{Key: key, Data: data, Index: f.index}
	return true, nil
}

// CompareAndSwap writes a value. A journal write first waits for the daemon's
// writeGate.
func (k ownKV) CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error) {
	k.mu.Lock()
	writeGate := k.daemon.writeGate
	k.mu.Unlock()
	if writeGate != nil && strings.HasPrefix(key, journal.Prefix) {
		<-writeGate
	}
	return k.fleet.CompareAndSwap(ctx, key, data, index)
}

func (f *fleet) Delete(_ context.Context, key string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.values, key)
	return nil
}

func (f *fleet) setPlatformDown(platformDown bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platformDown = platformDown
}

func (f *fleet) kill(d *daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.killed = true
	d.stop()
}

func (f *fleet) reachable(name string) (*daemon, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.daemons[name].killed || f.daemons[name].unreachable {
		return nil, errUnreachable
	}
	return f.daemons[name], nil
}

// claim claims a key at its home, as determined by any daemon that is reachable.
func (f *fleet) claim(key string) (claim.Outcome, error) {
	outcome, _, err := f.claimGrant(key)
	return outcome, err
}

func (f *fleet) claimGrant(key string) (claim.Outcome, claim.Grant, error) {
	f.t.Helper()
	f.next++
	owner := f.anyAlive()
	wanted := claim.Grant{
		Key: claim.Key{Value: key}, RequestID: fmt.Sprintf("r%d", f.next), Horizon: horizon,
		Owner: claim.Daemon{Host: owner.host.Name, Incarnation: 1},
	}
	d, err := f.reachable(owner.claims.HomeOf(wanted.Key))
	if err != nil {
		return claim.Undecided, wanted, err
	}
	return d.claims.Claim(f.t.Context(), time.Now(), wanted)
}

func (f *fleet) anyAlive() *daemon {
	for i := range len(f.daemons) {
		if d, err := f.reachable(fmt.Sprintf("h%d", i)); err == nil {
			return d
		}
	}
	f.t.Fatal("no daemon is alive")
	return nil
}

// grantAll claims new keys, expects a grant for each, and returns the keys by home.
func (f *fleet) grantAll(prefix string, count int) map[string][]string {
	f.t.Helper()
	byHome := map[string][]string{}
	for i := range count {
		key := fmt.Sprintf("%s%d", prefix, i)
		if outcome, err := f.claim(key); outcome != claim.Granted || err != nil {
			f.t.Errorf("key %s: outcome %d, %v", key, outcome, err)
		}
		at := f.anyAlive().claims.HomeOf(claim.Key{Value: key})
		byHome[at] = append(byHome[at], key)
	}
	return byHome
}

func (f *fleet) checkNotGrantedAgain(byHome map[string][]string) {
	f.t.Helper()
	for at, keys := range byHome {
		for _, key := range keys {
			if outcome, err := f.claim(key); outcome == claim.Granted || err != nil {
				f.t.Errorf("second claim of key %s of home %s: outcome %d, %v", key, at, outcome, err)
			}
		}
	}
}

func (d *daemon) Self() member.Host { return d.host }

func (d *daemon) Live(time.Time) []member.State {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	var live []member.State
	for _, other := range d.fleet.daemons {
		if !other.killed {
			live = append(live, member.State{Host: other.host, Draining: other.draining})
		}
	}
	return live
}

func (d *daemon) Lookup(name string) (member.State, bool) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	other, ok := d.fleet.daemons[name]
	if !ok {
		return member.State{}, false
	}
	return member.State{Host: other.host}, true
}

func (d *daemon) IsAlive(_ time.Time, name string, _ uint64) bool {
	_, err := d.fleet.reachable(name)
	return err == nil
}

func (d *daemon) ListGrants(_ context.Context, host member.Host, epoch claim.Epoch) (claim.Listing, *claim.Epoch, error) {
	other, err := d.fleet.reachable(host.Name)
	if err != nil {
		return claim.Listing{}, nil, err
	}
	listing, newer := other.claims.List(time.Now(), epoch, d.host.Name)
	return listing, newer, nil
}

func (d *daemon) Witness(_ context.Context, host member.Host, epoch uint64, mode claim.MemberMode, grants []claim.Grant) (*claim.Epoch, error) {
	other, err := d.fleet.reachable(host.Name)
	if err != nil {
		return nil, err
	}
	return other.claims.Witness(epoch, mode, grants), nil
}

// TestNextHomesKnowTheGrants checks that no key is granted twice when its home ends.
// The home is killed or drained; it may have given grants during an outage of the
// platform before, which only witnesses have recorded.
//
// proof: daemon killed | claim | 5
// proof: platform down | claim | 5
// proof: platform down + daemon killed | claim | 5
func TestNextHomesKnowTheGrants(t *testing.T) {
	tests := []struct {
		name string
		end  func(f *fleet, d *daemon) map[string][]string
	}{
		{name: "killed", end: func(f *fleet, d *daemon) map[string][]string {
			f.kill(d)
			return nil
		}},
		{name: "killed after an outage began", end: func(f *fleet, d *daemon) map[string][]string {
			f.setPlatformDown(true)
			during := f.grantAll("during", 30)
			f.kill(d)
			time.Sleep(settleTime)
			f.setPlatformDown(false)
			return during
		}},
		{name: "killed after an outage ended", end: func(f *fleet, d *daemon) map[string][]string {
			f.setPlatformDown(true)
			during := f.grantAll("during", 30)
			f.setPlatformDown(false)
			time.Sleep(settleTime)
			f.kill(d)
			return during
		}},
		{name: "drained", end: func(f *fleet, d *daemon) map[string][]string {
			f.mu.Lock()
			d.draining = true
			f.mu.Unlock()
			d.claims.Close(f.t.Context())
			f.kill(d)
			return nil
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				before := f.grantAll("before", 30)
				ended := f.daemons["h2"]
				if len(before["h2"]) == 0 {
					t.Fatal("no key has its home at h2")
				}
				during := test.end(f, ended)
				time.Sleep(settleTime)
				f.checkNotGrantedAgain(before)
				f.checkNotGrantedAgain(during)
				f.grantAll("after", 30)
			})
		})
	}
}

// TestGrantsSurviveReplacementOfEveryHost checks that grants are still known when every
// daemon that had recorded them has failed. All hosts are killed one by one and
// replaced, within the horizon of the first grants; a takeover that keeps a former
// home's grants only in the memory of the next home would lose them.
//
// proof: daemon killed | claim | 5
// proof: platform down + daemon killed | claim | 5
func TestGrantsSurviveReplacementOfEveryHost(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage=%v", outage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				before := f.grantAll("before", 30)
				f.setPlatformDown(outage)
				during := f.grantAll("during", 30)
				f.kill(f.daemons["h0"])
				f.setPlatformDown(false)
				for _, name := range []string{"h1", "h2", "h3"} {
					time.Sleep(settleTime)
					f.join()
					time.Sleep(settleTime)
					f.kill(f.daemons[name])
				}
				time.Sleep(settleTime)
				f.join()
				time.Sleep(settleTime)
				f.checkNotGrantedAgain(before)
				f.checkNotGrantedAgain(during)
				f.grantAll("after", 30)
			})
		})
	}
}

// TestDrainedHomeHandsOverItsResponses checks that the responses of settled calls reach
// the next homes when their home is drained: a journal does not store responses.
func TestDrainedHomeHandsOverItsResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		byHome := f.grantAll("k", 30)
		d := f.daemons["h2"]
		for i, key := range byHome["h2"] {
			_, held, _ := f.claimGrant(key)
			if err := d.claims.Settle(time.Now(), held.Key, held.RequestID, &claim.Response{Status: 200 + i}, false); err != nil {
				t.Fatal(err)
			}
		}
		f.mu.Lock()
		d.draining = true
		f.mu.Unlock()
		d.claims.Close(t.Context())
		f.kill(d)
		for i, key := range byHome["h2"] {
			outcome, held, err := f.claimGrant(key)
			if err != nil || outcome != claim.Settled || held.Response.Status != 200+i {
				t.Errorf("key %s: outcome %d, %+v, %v", key, outcome, held.Response, err)
			}
		}
	})
}

// TestWithdrawnKeyCanBeGrantedAgain checks that a key can be granted again after its
// claim was withdrawn because the call did not run.
func TestWithdrawnKeyCanBeGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.grantAll("k", 1)
		_, held, _ := f.claimGrant("k0")
		f.daemons[f.anyAlive().claims.HomeOf(held.Key)].claims.Withdraw(held.Key, held.RequestID)
		if outcome, err := f.claim("k0"); outcome != claim.Granted || err != nil {
			t.Errorf("claim after withdrawal: outcome %d, %v", outcome, err)
		}
	})
}

// TestLoneHomeRefusesInAnOutage checks that a home without other homes grants nothing
// while the platform is unavailable: no witness can record its grants.
//
// proof: platform down | claim | 4
func TestLoneHomeRefusesInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		f.grantAll("k", 3)
		f.setPlatformDown(true)
		if outcome, err := f.claim("late"); outcome != claim.Undecided || !errors.Is(err, home.ErrUndecided) {
			t.Errorf("claim in the outage: outcome %d, %v", outcome, err)
		}
		f.setPlatformDown(false)
		time.Sleep(settleTime)
		f.grantAll("late", 3)
	})
}

// TestGrantIsNotWrittenInALaterMembership checks that a grant of an earlier membership
// does not become durable in a later one. The journal write of a home hangs, and a
// second grant waits behind the write. The home is removed from the epoch, another
// home grants the same key, and the first home becomes a member again before the
// write ends.
//
// proof: daemons cut off + platform slow | claim | 5
func TestGrantIsNotWrittenInALaterMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		keys := keysOf(f, "h2", 2)
		slow := f.daemons["h2"]
		writeGate := make(chan struct{})
		f.set(slow, func(d *daemon) { d.writeGate = writeGate })
		results := make(chan claim.Outcome, len(keys))
		for _, key := range keys {
			go func() { results <- f.claimAt(slow, key, "first") }()
			time.Sleep(10 * time.Millisecond) // the second claim waits behind the first write
		}
		f.set(slow, func(d *daemon) { d.unreachable, d.draining = true, true })
		time.Sleep(settleTime)
		other := f.daemons["h0"].claims.HomeOf(claim.Key{Value: keys[1]})
		second := f.claimAt(f.daemons[other], keys[1], "second")
		f.set(slow, func(d *daemon) { d.draining, d.writeGate = false, nil })
		time.Sleep(settleTime)
		close(writeGate)
		<-results
		first := <-results
		if second != claim.Granted {
			t.Fatalf("the other home decided %d, want a grant", second)
		}
		if first == claim.Granted {
			t.Error("the key was granted by both homes")
		}
	})
}

func (f *fleet) set(d *daemon, change func(*daemon)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(d)
}

func (f *fleet) claimAt(d *daemon, key, request string) claim.Outcome {
	outcome, _, _ := d.claims.Claim(f.t.Context(), time.Now(), claim.Grant{
		Key: claim.Key{Value: key}, RequestID: request, Horizon: horizon, Owner: claim.Daemon{Host: d.host.Name, Incarnation: 1},
	})
	return outcome
}

func keysOf(f *fleet, host string, count int) []string {
	var keys []string
	for i := 0; len(keys) < count; i++ {
		key := fmt.Sprintf("key%d", i)
		if f.daemons[host].claims.HomeOf(claim.Key{Value: key}) == host {
			keys = append(keys, key)
		}
	}
	return keys
}
