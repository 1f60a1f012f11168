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
	// EpochKey is the platform key of the epoch in force.
	EpochKey = "hickoryfront/claims/epoch"

	epochInterval = 100 * time.Millisecond
	// minEpochReadInterval is the minimum mean time between two reads of the epoch
	// by one daemon. readIntervalPerHost lengthens the interval with the number of
	// hosts, so that the reads of all hosts together do not grow with it.
	minEpochReadInterval = 500 * time.Millisecond
	readIntervalPerHost  = 20 * time.Millisecond
	// proposeDelay is the time for which the epoch must need a change before a
	// daemon that is not the proposer changes it.
	proposeDelay    = 3 * time.Second
	platformTimeout = time.Second
	listTimeout     = time.Second
	queryInterval   = 500 * time.Millisecond
	queryRetention  = time.Minute
	// expiriesPerHorizon is the number of scans for expired keys and journal
	// segments within one horizon.
	expiriesPerHorizon = 4
	// clockSkewMargin is added to the retention of journal segments because the
	// clocks of hosts differ.
	clockSkewMargin = time.Minute
)

// grantsQuery queries one daemon for its grants.
type grantsQuery struct {
	claims    *Claims
	daemon    claim.Daemon
	responded bool
}

// MaxTakeoverTime returns the longest time in which the keys of a failed home are
// taken over while the platform responds. It is the sum of the time until the home
// counts as failed for lack of heartbeats, the time until a daemon other than the
// proposer changes the epoch, and the time until the new home has listed the grants
// of the others.
func MaxTakeoverTime(peersTimeout time.Duration) time.Duration {
	return peersTimeout + proposeDelay + listTimeout
}

// loop follows and proposes epochs, takes keys over, ends outages and removes
// expired keys until ctx ends.
func (c *Claims) loop(ctx context.Context) {
	ticker := time.NewTicker(epochInterval)
	defer ticker.Stop()
	nextJournalCheck, nextExpiry := time.Time{}, time.Now().Add(c.horizon())
	for ctx.Err() == nil {
		now := time.Now()
		c.failureDetector.Tick(now)
		if !now.Before(c.nextRead) {
			c.readEpoch(ctx, now)
			c.failureDetector.Tick(time.Now())
			c.propose(ctx, now)
		}
		c.takeOver(ctx, now)
		if !now.Before(nextJournalCheck) {
			c.maintainJournal(ctx)
			nextJournalCheck = now.Add(journalCheckInterval)
		}
		if now.After(nextExpiry) {
			c.expire(ctx, now)
			nextExpiry = now.Add(c.horizon() / expiriesPerHorizon)
		}
		select {
		case <-ctx.Done():
		case <-c.epochHints:
			c.nextRead = time.Time{}
		case <-ticker.C:
		}
	}
}

// readEpoch reads the epoch from the platform and enters it.
func (c *Claims) readEpoch(ctx context.Context, now time.Time) {
	period := max(minEpochReadInterval, time.Duration(len(c.fleet.Live(now)))*readIntervalPerHost)
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
			c.logger.WithError(err).Error("can't decode claim epoch; ignoring it")
			return
		}
	}
	c.epochIndex = value.Index
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(now, epoch)
}

// propose writes the next epoch when the homes of the epoch in force differ from
// those that should be homes, or when this home's journal was sealed. To avoid
// concurrent writes, one daemon, the proposer, does it; the others do it when the
// epoch has needed a change for proposeDelay. A home whose journal was sealed does
// not wait.
func (c *Claims) propose(ctx context.Context, now time.Time) {
	c.mu.Lock()
	epoch, fenced := c.home.Epoch(), c.fenced
	self, selfErr := c.home.Member()
	c.mu.Unlock()
	eligible, names := c.eligibleHomes(now, epoch)
	homes := epoch.PickHomes(eligible, maxHomes)
	if len(homes) == 0 || !epoch.Differs(homes) && !fenced {
		c.differsSince = time.Time{}
		return
	}
	if c.differsSince.IsZero() {
		c.differsSince = now
	}
	isProposer := rendezvous.New(names).Home("claim epoch keeper") == c.self.Host
	if !isProposer && !fenced && now.Sub(c.differsSince) < proposeDelay {
		return
	}
	fencedMembers := map[claim.Member]bool{}
	if fenced && selfErr == nil {
		fencedMembers[self] = true
	}
	if !c.sealRetired(ctx, epoch.Retired(now)) {
		return
	}
	c.writeEpoch(ctx, now, epoch.Next(now, homes, fencedMembers, c.horizon(), uuid.NewString()))
}

// writeEpoch replaces the epoch on the platform. When the response is lost, the
// next read shows whether the write took effect.
func (c *Claims) writeEpoch(ctx context.Context, now time.Time, next claim.Epoch) {
	data, err := json.Marshal(next)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	done, err := c.kv.CompareAndSwap(ctx, EpochKey, data, c.epochIndex)
	if err != nil || !done {
		c.nextRead = now.Add(epochInterval)
		return
	}
	c.nextRead = now
}

// sealRetired seals and removes the journals of members whose change is past its
// horizon, before the next epoch drops that change. A home that has been paused since
// the change must not be able to write its journal afterwards.
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

// eligibleHomes returns the daemons that may be homes: those that are alive and not
// draining, and the members of the epoch that have not been seen as dead for long
// enough. names are the hosts of those that are alive and not draining.
func (c *Claims) eligibleHomes(now time.Time, epoch claim.Epoch) (daemons []claim.Daemon, names []string) {
	live := map[string]bool{}
	for _, s := range c.fleet.Live(now) {
		live[s.Host.Name] = true
		if !s.Draining {
			daemons = append(daemons, claim.Daemon{Host: s.Host.Name, Incarnation: s.Host.Incarnation})
			names = append(names, s.Host.Name)
		}
	}
	for _, m := range epoch.Members {
		if live[m.Host] {
			c.failureDetector.ReportAlive(m.Host)
		} else if !c.failureDetector.ReportDead(now, m.Host) {
			daemons = append(daemons, m.Daemon())
		}
	}
	return daemons, names
}

// takeOver clears the former homes of keys. It queries them. For those that do not
// respond and are not members of the epoch any more, it seals the journals and queries
// the possible witnesses.
func (c *Claims) takeOver(ctx context.Context, now time.Time) {
	for _, m := range c.unclearedHomes(now) {
		if now.Before(c.queriedAt[m].Add(queryInterval)) {
			continue
		}
		c.queriedAt[m] = now
		c.clear(ctx, m)
		c.failureDetector.Tick(time.Now())
	}
	maps.DeleteFunc(c.queriedAt, func(_ claim.Member, at time.Time) bool { return now.Sub(at) > queryRetention })
}

// clear collects the grants of one former home.
func (c *Claims) clear(ctx context.Context, m claim.Member) {
	if c.queryGrants(ctx, []claim.Daemon{m.Daemon()}) == 1 {
		return
	}
	c.mu.Lock()
	_, isMember := c.home.Epoch().Member(m.Daemon())
	sealed := c.home.IsSealed(m)
	c.mu.Unlock()
	if isMember {
		return
	}
	if !sealed && !c.seal(ctx, m) {
		return
	}
	c.mu.Lock()
	possibleWitnesses := c.home.PossibleWitnesses(m)
	c.mu.Unlock()
	daemons := make([]claim.Daemon, 0, len(possibleWitnesses))
	for _, witness := range possibleWitnesses {
		daemons = append(daemons, witness.Daemon())
	}
	c.queryGrants(ctx, daemons)
	c.contribute(ctx, m)
}

// contribute adds the grants of a failed home that this daemon has recorded to that
// home's sealed journal, because this daemon may have failed too when the next home
// reads the journal.
func (c *Claims) contribute(ctx context.Context, m claim.Member) {
	c.mu.Lock()
	contributors, grants, outage := c.home.Contribution(time.Now(), m)
	c.mu.Unlock()
	if len(contributors) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	known, err := journal.AddContribution(ctx, c.kv, m, contributors, outage, grants)
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
	c.metrics.journalsSealed.Inc()
	return true
}

// queryGrants queries daemons for their grants and returns how many responded.
func (c *Claims) queryGrants(ctx context.Context, daemons []claim.Daemon) int {
	queries := make([]grantsQuery, len(daemons))
	runAll(len(daemons), func(i int) {
		queries[i] = grantsQuery{claims: c, daemon: daemons[i]}
		queries[i].run(ctx)
	})
	responded := 0
	for _, query := range queries {
		if query.responded {
			responded++
		}
	}
	return responded
}

func (q *grantsQuery) run(ctx context.Context) {
	c := q.claims
	host, ok := c.hostOf(q.daemon)
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
	if err != nil || newer != nil || listing.Daemon != q.daemon {
		return
	}
	c.home.MergeListing(listing)
	q.responded = true
}

// maintainJournal ends an outage and marks the journal as complete for the epochs
// before the one in force. The mark saves the next homes from querying the witnesses
// of those epochs.
func (c *Claims) maintainJournal(ctx context.Context) {
	c.mu.Lock()
	current, isPlatformDown, fenced := c.log, c.isPlatformDown, c.fenced
	epoch, complete := c.home.Epoch().Number, c.isComplete()
	stale := c.completeThrough < epoch
	c.mu.Unlock()
	if current == nil || fenced || (!isPlatformDown && !stale) {
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
	if isPlatformDown {
		c.flush(ctx)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if complete && c.log == current {
		c.completeThrough = epoch
	}
}

// expire removes grants that are past their horizon from the table and from the
// journal.
func (c *Claims) expire(ctx context.Context, now time.Time) {
	c.mu.Lock()
	c.home.Expire(now)
	current, isPlatformDown := c.log, c.isPlatformDown
	c.mu.Unlock()
	if current == nil || isPlatformDown {
		return
	}
	_ = current.Expire(ctx, now.Add(-c.horizon()-clockSkewMargin)) // the next scan retries
}

// runAll calls work concurrently for 0 to count-1 and waits for all calls.
func runAll(count int, work func(i int)) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { work(i) })
	}
	group.Wait()
}
