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
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/home"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/journal"
	"github.com/hickoryfront/hickoryfront/hickoryd/platform"
)

const (
	horizon = 10 * time.Minute
	// settled is long enough for an epoch change and its takeovers.
	settled = 10 * time.Second
)

var errDown = errors.New("daemon can't be reached")

type (
	// fleet is a set of daemons in one process, with a platform in memory.
	fleet struct {
		t       *testing.T
		mu      sync.Mutex
		down    bool // platform
		index   uint64
		values  map[string]platform.Value
		daemons map[string]*daemon
		next    int
	}

	// daemon is one of them, and its view of the others.
	daemon struct {
		fleet    *fleet
		host     member.Host
		claims   *home.Claims
		stop     context.CancelFunc
		dead     bool
		cut      bool // the others can't reach it
		draining bool
		hold     chan struct{} // its journal writes wait for this
	}

	// ownKV is the platform as one daemon writes to it.
	ownKV struct {
		*fleet
		daemon *daemon
	}
)

func newFleet(t *testing.T, hosts int) *fleet {
	f := &fleet{t: t, values: map[string]platform.Value{}, daemons: map[string]*daemon{}}
	for range hosts {
		f.join()
	}
	time.Sleep(settled)
	return f
}

// join starts one more daemon.
func (f *fleet) join() {
	f.mu.Lock()
	defer f.mu.Unlock()
	logger := &log.Logger{Handler: discard.New()}
	d := &daemon{fleet: f, host: member.Host{Name: fmt.Sprintf("h%d", len(f.daemons)), Incarnation: 1}}
	owner := claim.Owner{Host: d.host.Name, Incarnation: d.host.Incarnation}
	d.claims = home.NewClaims(owner, 1000, ownKV{f, d}, d, d, func() time.Duration { return horizon }, logger, metrics.NewSet())
	f.daemons[d.host.Name] = d
	ctx, stop := context.WithCancel(f.t.Context())
	d.stop = stop
	go d.claims.Run(ctx)
}

func (f *fleet) Get(_ context.Context, key string) (platform.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Value{}, platform.ErrUnavailable
	}
	return f.values[key], nil
}

func (f *fleet) List(_ context.Context, prefix string) ([]platform.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrUnavailable
	}
	var values []platform.Value
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
	if f.down {
		return false, platform.ErrUnavailable
	}
	if f.values[key].Index != index {
		return false, nil
	}
	f.index++
	f.values[key] = platform.Value{Key: key, Data: data, Index: f.index}
	return true, nil
}

// CompareAndSwap writes, late when the daemon's journal is held up.
func (k ownKV) CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error) {
	k.mu.Lock()
	hold := k.daemon.hold
	k.mu.Unlock()
	if hold != nil && strings.HasPrefix(key, journal.Prefix) {
		<-hold
	}
	return k.fleet.CompareAndSwap(ctx, key, data, index)
}

func (f *fleet) Delete(_ context.Context, key string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.values, key)
	return nil
}

func (f *fleet) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fleet) kill(d *daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.dead = true
	d.stop()
}

func (f *fleet) reach(name string) (*daemon, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.daemons[name].dead || f.daemons[name].cut {
		return nil, errDown
	}
	return f.daemons[name], nil
}

// claim asks the home of a key, as a daemon that lives knows it.
func (f *fleet) claim(key string) (claim.Outcome, error) {
	outcome, _, err := f.claimGrant(key)
	return outcome, err
}

func (f *fleet) claimGrant(key string) (claim.Outcome, claim.Grant, error) {
	f.t.Helper()
	f.next++
	owner := f.living()
	wanted := claim.Grant{
		Key: claim.Key{Value: key}, RequestID: fmt.Sprintf("r%d", f.next), Horizon: horizon,
		Owner: claim.Owner{Host: owner.host.Name, Incarnation: 1},
	}
	d, err := f.reach(owner.claims.HomeOf(wanted.Key))
	if err != nil {
		return claim.Undecided, wanted, err
	}
	return d.claims.Claim(f.t.Context(), time.Now(), wanted)
}

func (f *fleet) living() *daemon {
	for i := range len(f.daemons) {
		if d, err := f.reach(fmt.Sprintf("h%d", i)); err == nil {
			return d
		}
	}
	f.t.Fatal("no daemon lives")
	return nil
}

// grantAll claims keys and returns them by home.
func (f *fleet) grantAll(prefix string, count int) map[string][]string {
	f.t.Helper()
	byHome := map[string][]string{}
	for i := range count {
		key := fmt.Sprintf("%s%d", prefix, i)
		if outcome, err := f.claim(key); outcome != claim.Granted || err != nil {
			f.t.Errorf("key %s: outcome %d, %v", key, outcome, err)
		}
		at := f.living().claims.HomeOf(claim.Key{Value: key})
		byHome[at] = append(byHome[at], key)
	}
	return byHome
}

func (f *fleet) checkHeld(byHome map[string][]string) {
	f.t.Helper()
	for at, keys := range byHome {
		for _, key := range keys {
			if outcome, err := f.claim(key); outcome == claim.Granted || err != nil {
				f.t.Errorf("key %s of %s, again: outcome %d, %v", key, at, outcome, err)
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
		if !other.dead {
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
	_, err := d.fleet.reach(name)
	return err == nil
}

func (d *daemon) ListGrants(_ context.Context, host member.Host, epoch claim.Epoch) (claim.Listing, *claim.Epoch, error) {
	other, err := d.fleet.reach(host.Name)
	if err != nil {
		return claim.Listing{}, nil, err
	}
	listing, newer := other.claims.List(time.Now(), epoch, d.host.Name)
	return listing, newer, nil
}

func (d *daemon) Witness(_ context.Context, host member.Host, epoch uint64, flag claim.MemberMode, grants []claim.Grant) (*claim.Epoch, error) {
	other, err := d.fleet.reach(host.Name)
	if err != nil {
		return nil, err
	}
	return other.claims.Witness(epoch, flag, grants), nil
}

// TestNextHomesKnowTheGrants ends one home in several ways.
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
			f.setDown(true)
			during := f.grantAll("during", 30)
			f.kill(d)
			time.Sleep(settled)
			f.setDown(false)
			return during
		}},
		{name: "killed after an outage ended", end: func(f *fleet, d *daemon) map[string][]string {
			f.setDown(true)
			during := f.grantAll("during", 30)
			f.setDown(false)
			time.Sleep(settled)
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
				time.Sleep(settled)
				f.checkHeld(before)
				f.checkHeld(during)
				f.grantAll("after", 30)
			})
		})
	}
}

// TestEveryHostIsReplacedAfterItsDeath kills all hosts one by one and starts
// others, within the horizon of the grants of the first.
//
// proof: daemon killed | claim | 5
// proof: platform down + daemon killed | claim | 5
func TestEveryHostIsReplacedAfterItsDeath(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage=%v", outage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				before := f.grantAll("before", 30)
				f.setDown(outage)
				during := f.grantAll("during", 30)
				f.kill(f.daemons["h0"])
				f.setDown(false)
				for _, name := range []string{"h1", "h2", "h3"} {
					time.Sleep(settled)
					f.join()
					time.Sleep(settled)
					f.kill(f.daemons[name])
				}
				time.Sleep(settled)
				f.join()
				time.Sleep(settled)
				f.checkHeld(before)
				f.checkHeld(during)
				f.grantAll("after", 30)
			})
		})
	}
}

// TestDrainedHomeHandsItsAnswersOver settles calls at a home that then stops.
func TestDrainedHomeHandsItsAnswersOver(t *testing.T) {
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

// TestWithdrawnKeyMayBeSentAgain takes a claim back whose call was not run.
func TestWithdrawnKeyMayBeSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.grantAll("k", 1)
		_, held, _ := f.claimGrant("k0")
		f.daemons[f.living().claims.HomeOf(held.Key)].claims.Withdraw(held.Key, held.RequestID)
		if outcome, err := f.claim("k0"); outcome != claim.Granted || err != nil {
			t.Errorf("claim after withdrawal: outcome %d, %v", outcome, err)
		}
	})
}

// TestLoneHomeRefusesInAnOutage has nobody to witness its grants.
//
// proof: platform down | claim | 4
func TestLoneHomeRefusesInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		f.grantAll("k", 3)
		f.setDown(true)
		if outcome, err := f.claim("late"); outcome != claim.Undecided || !errors.Is(err, home.ErrUndecided) {
			t.Errorf("claim in the outage: outcome %d, %v", outcome, err)
		}
		f.setDown(false)
		time.Sleep(settled)
		f.grantAll("late", 3)
	})
}

// TestGrantIsNotWrittenInALaterMembership excludes a home whose journal write
// hangs, lets another home grant a key that waits behind that write, and takes
// the first home in again before the write ends.
//
// proof: daemons cut off + platform slow | claim | 5
func TestGrantIsNotWrittenInALaterMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		keys := keysOf(f, "h2", 2)
		late := f.daemons["h2"]
		hold := make(chan struct{})
		f.set(late, func(d *daemon) { d.hold = hold })
		results := make(chan claim.Outcome, len(keys))
		for _, key := range keys {
			go func() { results <- f.claimAt(late, key, "first") }()
			time.Sleep(10 * time.Millisecond) // the second waits behind the first
		}
		f.set(late, func(d *daemon) { d.cut, d.draining = true, true })
		time.Sleep(settled)
		other := f.daemons["h0"].claims.HomeOf(claim.Key{Value: keys[1]})
		second := f.claimAt(f.daemons[other], keys[1], "second")
		f.set(late, func(d *daemon) { d.draining, d.hold = false, nil })
		time.Sleep(settled)
		close(hold)
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
		Key: claim.Key{Value: key}, RequestID: request, Horizon: horizon, Owner: claim.Owner{Host: d.host.Name, Incarnation: 1},
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
