package home

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/journal"
)

const (
	// EpochKey holds the epoch in force.
	EpochKey = "hickoryfront/claims/epoch"

	epochTick = 100 * time.Millisecond
	// epochRead is the shortest time between reads of the epoch; readsPerHost
	// lengthens it with the fleet, so that reads do not grow with it.
	epochRead    = 500 * time.Millisecond
	readsPerHost = 20 * time.Millisecond
	// proposeAfter is when a daemon that is not the keeper changes the epoch.
	proposeAfter    = 3 * time.Second
	platformTimeout = time.Second
	listTimeout     = time.Second
	askAgain        = 500 * time.Millisecond
	forgetAsked     = time.Minute
	// expiriesPerHorizon is how often old keys and segments are looked for.
	expiriesPerHorizon = 4
	// clockMargin lengthens the life of journal segments by the difference
	// between the clocks of hosts.
	clockMargin = time.Minute
)

// asker asks one daemon for its grants.
type asker struct {
	claims *Claims
	owner  claim.Owner
	heard  bool
}

// MaxTakeoverTime returns the longest time in which the keys of a home that died
// are taken over while the platform answers: until its silence makes it dead,
// until another than the keeper changes the epoch, and until the new home has
// listed what others hold.
func MaxTakeoverTime(peersTimeout time.Duration) time.Duration {
	return peersTimeout + proposeAfter + listTimeout
}

// loop keeps the epoch, takes keys over and ends outages.
func (c *Claims) loop(ctx context.Context) {
	ticker := time.NewTicker(epochTick)
	defer ticker.Stop()
	nextProbe, nextExpiry := time.Time{}, time.Now().Add(c.horizon())
	for ctx.Err() == nil {
		now := time.Now()
		c.seenDead.Tick(now)
		if !now.Before(c.nextRead) {
			c.readEpoch(ctx, now)
			c.seenDead.Tick(time.Now())
			c.propose(ctx, now)
		}
		c.takeOver(ctx, now)
		if !now.Before(nextProbe) {
			c.tendJournal(ctx)
			nextProbe = now.Add(probeInterval)
		}
		if now.After(nextExpiry) {
			c.expire(ctx, now)
			nextExpiry = now.Add(c.horizon() / expiriesPerHorizon)
		}
		select {
		case <-ctx.Done():
		case <-c.hints:
			c.nextRead = time.Time{}
		case <-ticker.C:
		}
	}
}

// readEpoch enters the epoch that the platform holds.
func (c *Claims) readEpoch(ctx context.Context, now time.Time) {
	period := max(epochRead, time.Duration(len(c.fleet.Live(now)))*readsPerHost)
	c.nextRead = now.Add(period/2 + rand.N(period))
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	value, err := c.kv.Get(ctx, EpochKey)
	if err != nil {
		return
	}
	var epoch claim.Epoch
	if value.Index != 0 {
		if err := json.Unmarshal(value.Data, &epoch); err != nil {
			c.logger.WithError(err).Error("claim epoch can't be read")
			return
		}
	}
	c.epochIndex = value.Index
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(now, epoch)
}

// propose changes the epoch when its homes are not the ones that should be. One
// keeper does it; the others only when it does not for some time.
func (c *Claims) propose(ctx context.Context, now time.Time) {
	c.mu.Lock()
	epoch, fenced := c.home.Epoch(), c.fenced
	self, selfErr := c.home.Member()
	c.mu.Unlock()
	live, names := c.liveOwners(now, epoch)
	homes := epoch.PickHomes(live, maxHomes)
	if len(homes) == 0 || !epoch.Differs(homes) && !fenced {
		c.differsSince = time.Time{}
		return
	}
	if c.differsSince.IsZero() {
		c.differsSince = now
	}
	isKeeper := rendezvous.New(names).Home("claim epoch keeper") == c.self.Host
	if !isKeeper && !fenced && now.Sub(c.differsSince) < proposeAfter {
		return
	}
	dropped := map[claim.Member]bool{}
	if fenced && selfErr == nil {
		dropped[self] = true
	}
	if !c.sealRetired(ctx, epoch.Retired(now)) {
		return
	}
	c.writeEpoch(ctx, now, epoch.Next(now, homes, dropped, c.horizon(), uuid.NewString()))
}

// writeEpoch swaps the epoch in. After a lost answer the next read finds out.
func (c *Claims) writeEpoch(ctx context.Context, now time.Time, next claim.Epoch) {
	data, err := json.Marshal(next)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	done, err := c.kv.CompareAndSwap(ctx, EpochKey, data, c.epochIndex)
	if err != nil || !done {
		c.nextRead = now.Add(epochTick)
		return
	}
	c.nextRead = now
}

// sealRetired ends the journals of members whose change is about to be
// forgotten: a home that is paused since then must never write again.
func (c *Claims) sealRetired(ctx context.Context, retired []claim.Member) bool {
	for _, m := range retired {
		if _, err := journal.Seal(ctx, c.kv, m); err != nil {
			return false
		}
		if err := journal.Remove(ctx, c.kv, m); err != nil {
			return false
		}
	}
	return true
}

// liveOwners returns the daemons that may be homes: those that are alive, and the
// members of the epoch that were not seen dead for long enough.
func (c *Claims) liveOwners(now time.Time, epoch claim.Epoch) (owners []claim.Owner, names []string) {
	live := map[string]bool{}
	for _, s := range c.fleet.Live(now) {
		live[s.Host.Name] = true
		if !s.Draining {
			owners = append(owners, claim.Owner{Host: s.Host.Name, Incarnation: s.Host.Incarnation})
			names = append(names, s.Host.Name)
		}
	}
	for _, m := range epoch.Members {
		if live[m.Host] {
			c.seenDead.ReportAlive(m.Host)
		} else if !c.seenDead.ReportDead(now, m.Host) {
			owners = append(owners, m.Owner())
		}
	}
	return owners, names
}

// takeOver clears the former homes of keys: it asks them, or seals the journals
// of those that can't be asked and asks their companions.
func (c *Claims) takeOver(ctx context.Context, now time.Time) {
	for _, m := range c.wanted(now) {
		if now.Before(c.askedAt[m].Add(askAgain)) {
			continue
		}
		c.askedAt[m] = now
		c.clear(ctx, m)
		c.seenDead.Tick(time.Now())
	}
	maps.DeleteFunc(c.askedAt, func(_ claim.Member, at time.Time) bool { return now.Sub(at) > forgetAsked })
}

// clear learns what one former home granted.
func (c *Claims) clear(ctx context.Context, m claim.Member) {
	if c.askAll(ctx, []claim.Owner{m.Owner()}) == 1 {
		return
	}
	c.mu.Lock()
	_, isMember := c.home.Epoch().Member(m.Owner())
	sealed := c.home.IsSealed(m)
	c.mu.Unlock()
	if isMember {
		return
	}
	if !sealed && !c.seal(ctx, m) {
		return
	}
	c.mu.Lock()
	companions := c.home.PossibleWitnesses(m)
	c.mu.Unlock()
	owners := make([]claim.Owner, 0, len(companions))
	for _, o := range companions {
		owners = append(owners, o.Owner())
	}
	c.askAll(ctx, owners)
	c.vouch(ctx, m)
}

// vouch adds what this daemon knows of a dead home's grants to its journal: this
// daemon may be gone when the next home reads it.
func (c *Claims) vouch(ctx context.Context, m claim.Member) {
	c.mu.Lock()
	vouchers, grants, outage := c.home.Contribution(time.Now(), m)
	c.mu.Unlock()
	if len(vouchers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	known, err := journal.AddContribution(ctx, c.kv, m, vouchers, outage, grants)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.home.MergeJournal(known)
}

func (c *Claims) seal(ctx context.Context, m claim.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	sealed, err := journal.Seal(ctx, c.kv, m)
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.home.MergeJournal(sealed)
	c.metrics.takeovers.Inc()
	return true
}

// askAll asks daemons for their grants and returns how many answered.
func (c *Claims) askAll(ctx context.Context, owners []claim.Owner) int {
	asked := make([]asker, len(owners))
	runAll(len(owners), func(i int) {
		asked[i] = asker{claims: c, owner: owners[i]}
		asked[i].run(ctx)
	})
	heard := 0
	for _, a := range asked {
		if a.heard {
			heard++
		}
	}
	return heard
}

func (a *asker) run(ctx context.Context) {
	c := a.claims
	host, ok := c.hostOf(a.owner)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, newer, err := c.homes.ListGrants(ctx, host, c.Epoch())
	c.mu.Lock()
	defer c.mu.Unlock()
	if newer != nil {
		c.enter(time.Now(), *newer)
	}
	if err != nil || newer != nil || listing.Owner != a.owner {
		return
	}
	c.home.MergeListing(listing)
	a.heard = true
}

// tendJournal ends an outage, and marks the journal as complete through the
// epoch, which spares the next homes from asking about earlier ones.
func (c *Claims) tendJournal(ctx context.Context) {
	c.mu.Lock()
	current, down, fenced := c.log, c.down, c.fenced
	epoch, complete := c.home.Epoch().Number, c.isComplete()
	stale := c.marked < epoch
	c.mu.Unlock()
	if current == nil || fenced || (!down && !stale) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err := current.Append(ctx, epoch, complete, nil)
	if errors.Is(err, journal.ErrSealed) {
		c.fence(current)
	}
	if err != nil {
		return
	}
	if down {
		c.flush(ctx)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if complete && c.log == current {
		c.marked = epoch
	}
}

// expire drops what is past its horizon, here and in the journal.
func (c *Claims) expire(ctx context.Context, now time.Time) {
	c.mu.Lock()
	c.home.Expire(now)
	current, down := c.log, c.down
	c.mu.Unlock()
	if current == nil || down {
		return
	}
	_ = current.Expire(ctx, now.Add(-c.horizon()-clockMargin)) // tried again later
}

// runAll calls work for 0 to count-1 at once and waits for all.
func runAll(count int, work func(i int)) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { work(i) })
	}
	group.Wait()
}
