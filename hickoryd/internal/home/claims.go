package home

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/journal"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	// maxHomes limits the number of daemons that are homes of keys. It thereby
	// limits the writes to the platform and the messages of a takeover.
	maxHomes = 16
	// journalWritesPerSecond limits the journal writes of the fleet in total. It is
	// divided evenly among the homes.
	journalWritesPerSecond = 160
	// journalBurst is the number of writes that a home may send at once after a
	// time without writes.
	journalBurst = 4
	// handoverTimeout limits how long a stopping daemon waits for the next homes to
	// list its grants. The next homes need two reads of the epoch for that.
	handoverTimeout = 10 * time.Second
)

var (
	// ErrUndecided means that the home of the key can't decide on it now.
	ErrUndecided = errors.New("the home of the key can't decide now")
	// ErrNoGrant means that this home has no grant of the key, or has one of
	// another request.
	ErrNoGrant = errors.New("no such grant at this home")
)

type (
	// Fleet is the part of the host membership that Claims uses.
	Fleet interface {
		Self() member.Host
		Live(now time.Time) []member.State
		Lookup(name string) (member.State, bool)
		IsAlive(now time.Time, name string, incarnation uint64) bool
	}

	// Homes calls the other homes of keys.
	Homes interface {
		// ListGrants returns the listing of another home, or that home's epoch when
		// it is newer than the given one.
		ListGrants(ctx context.Context, host member.Host, epoch claim.Epoch) (claim.Listing, *claim.Epoch, error)
		// Witness asks another home to record a mode and grants. It returns the
		// other home's newer epoch when that home did not record them.
		Witness(ctx context.Context, host member.Host, epoch uint64, mode claim.MemberMode, grants []claim.Grant) (*claim.Epoch, error)
	}

	// Claims decides on the claims of the keys whose home is this daemon. It
	// follows the epochs, takes keys over from former homes and writes the
	// journal. It is safe for concurrent use.
	Claims struct {
		self       claim.Daemon
		kv         journal.KV
		fleet      Fleet
		homes      Homes
		logger     log.Interface
		writer     *journal.Writer
		limiter    *rate.Limiter
		epochHints chan struct{}
		horizon    func() time.Duration
		metrics    claimMetrics

		mu              sync.Mutex
		home            *claim.Home
		formerLog       *journal.Log // journal of the last membership; used while this daemon is not a home
		log             *journal.Log
		completeThrough uint64                     // the journal is marked as complete for the epochs before this one
		fenced          bool                       // the journal of this membership is sealed, or this daemon is stopping
		isPlatformDown  bool                       // a journal write failed, and the outage has not ended
		listedEpoch     map[string]uint64          // by host: epoch for which it last listed the grants held here
		unjournaled     []claim.Grant              // grants that a witness recorded and the journal does not contain yet
		pending         map[claim.Key]claim.Member // membership under which each grant that is not durable yet was given

		epochIndex      uint64 // the platform's modification index of EpochKey
		nextRead        time.Time
		differsSince    time.Time
		failureDetector *claim.FailureDetector
		queriedAt       map[claim.Member]time.Time
	}

	claimMetrics struct {
		granted        *metrics.Counter
		undecided      *metrics.Counter
		witnessed      *metrics.Counter
		journalsSealed *metrics.Counter
	}
)

// NewClaims returns the claims of a daemon that is not a home yet. limit is the
// maximum number of held keys. horizon returns the longest time within which a
// caller may retry a key.
func NewClaims(self claim.Daemon, limit int, kv journal.KV, fleet Fleet, homes Homes, horizon func() time.Duration, logger log.Interface, set *metrics.Set) *Claims {
	c := &Claims{
		self: self, kv: kv, fleet: fleet, homes: homes, logger: logger, horizon: horizon,
		limiter: rate.NewLimiter(journalWritesPerSecond, journalBurst), epochHints: make(chan struct{}, 1),
		home: claim.NewHome(self, limit), queriedAt: map[claim.Member]time.Time{}, pending: map[claim.Key]claim.Member{},
		listedEpoch: map[string]uint64{}, failureDetector: claim.NewFailureDetector(),
		metrics: claimMetrics{
			granted:        set.NewCounter(`hickoryfront_claims_total{result="granted"}`),
			undecided:      set.NewCounter(`hickoryfront_claims_total{result="undecided"}`),
			witnessed:      set.NewCounter(`hickoryfront_claims_witnessed_total`),
			journalsSealed: set.NewCounter(`hickoryfront_claim_journals_sealed_total`),
		},
	}
	c.writer = journal.NewWriter(grantStore{c}, c.limiter)
	set.NewGauge(`hickoryfront_claims_held`, func() float64 { return float64(c.Len()) })
	set.NewGauge(`hickoryfront_claim_homes_uncleared`, func() float64 { return float64(len(c.unclearedHomes(time.Now()))) })
	set.NewGauge(`hickoryfront_claim_homes`, func() float64 { return float64(len(c.Epoch().Members)) })
	set.NewGauge(`hickoryfront_claim_epoch`, func() float64 { return float64(c.Epoch().Number) })
	return c
}

// Epoch returns the epoch that is in force at this daemon.
func (c *Claims) Epoch() claim.Epoch {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.home.Epoch()
}

// Len returns the number of held keys.
func (c *Claims) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.home.Len()
}

// unclearedHomes returns the former homes whose grants are not all known here.
func (c *Claims) unclearedHomes(now time.Time) []claim.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.home.Uncleared(now)
}

// HomeOf returns the host that decides on a key, or "" before the first epoch.
func (c *Claims) HomeOf(key claim.Key) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.home.HomeOf(key)
}

// NotifyEpoch reports the number of an epoch that another daemon has seen. A newer
// epoch than the one in force here makes Run read the epoch at once.
func (c *Claims) NotifyEpoch(epoch uint64) {
	if epoch <= c.Epoch().Number {
		return
	}
	select {
	case c.epochHints <- struct{}{}:
	default:
	}
}

// Claim decides on one key. A returned grant is durable. The errors are
// ErrUndecided and claim.ErrNotHome; after an error the call must not run.
func (c *Claims) Claim(ctx context.Context, now time.Time, wanted claim.Grant) (claim.Outcome, claim.Grant, error) {
	outcome, grant, isNew, err := c.decide(now, wanted)
	if errors.Is(err, claim.ErrNotHome) {
		return claim.NotHome, grant, err
	}
	if err == nil && isNew {
		err = c.commit(ctx, grant)
	}
	if err != nil {
		c.metrics.undecided.Inc()
		return claim.Undecided, grant, fmt.Errorf("%w: %w", ErrUndecided, err)
	}
	return outcome, grant, nil
}

// decide decides on one key. isNew reports that the grant was given by this call
// and is not durable yet; pending then holds the membership under which it was
// given.
func (c *Claims) decide(now time.Time, wanted claim.Grant) (outcome claim.Outcome, grant claim.Grant, isNew bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, held := c.home.Lookup(now, wanted.Key)
	outcome, grant, err = c.home.Claim(now, wanted)
	if err == nil && outcome == claim.Running && c.isOutcomeLost(now, grant) {
		return claim.Unknown, grant, false, nil
	}
	if err != nil || outcome != claim.Granted {
		return outcome, grant, false, err
	}
	if held {
		if _, waiting := c.pending[wanted.Key]; waiting {
			return claim.Undecided, grant, false, errInFlight
		}
		return outcome, grant, false, nil
	}
	c.pending[wanted.Key], err = c.home.Member()
	return outcome, grant, true, err
}

// isOutcomeLost reports whether no daemon can know any more how a call ended: its
// owner has failed, and all former homes of its key are cleared. Until then,
// callers of the key are asked to retry. The caller holds mu.
func (c *Claims) isOutcomeLost(now time.Time, g claim.Grant) bool {
	return !c.fleet.IsAlive(now, g.Owner.Host, g.Owner.Incarnation) && c.home.IsCleared(now, g.Key)
}

// commit makes a grant durable. It withdraws the grant when that fails.
func (c *Claims) commit(ctx context.Context, grant claim.Grant) error {
	err := c.writer.Commit(ctx, grant)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, grant.Key)
	if err != nil {
		c.home.Withdraw(grant.Key, grant.RequestID)
		return err
	}
	c.metrics.granted.Inc()
	return nil
}

// Settle stores how a call ended. ErrNoGrant means that this home does not have
// the grant of the call, or has not taken it over yet.
func (c *Claims) Settle(now time.Time, key claim.Key, requestID string, response *claim.Response, unknown bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held, ok := c.home.Lookup(now, key); !ok || held.RequestID != requestID {
		return ErrNoGrant
	}
	c.home.Settle(key, requestID, response, unknown)
	return nil
}

// Withdraw removes a grant. Its call did not run, or ended without a complete
// response and may run again.
func (c *Claims) Withdraw(key claim.Key, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.home.Withdraw(key, requestID)
}

// List returns the grants of this daemon to a home that takes keys over. This
// daemon first enters the requester's epoch. When a newer epoch is in force here,
// List returns that epoch instead of the listing.
func (c *Claims) List(now time.Time, epoch claim.Epoch, requester string) (claim.Listing, *claim.Epoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(now, epoch)
	listing, err := c.home.List(now, epoch.Number, requester)
	if err != nil {
		newer := c.home.Epoch()
		return claim.Listing{}, &newer
	}
	c.listedEpoch[requester] = epoch.Number
	return listing, nil
}

// Witness records the mode and the grants of another home. When it can't record
// them, it returns the epoch in force here.
func (c *Claims) Witness(epoch uint64, mode claim.MemberMode, grants []claim.Grant) *claim.Epoch {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.home.Witness(mode.Member, epoch, mode.Mode, grants); err != nil {
		current := c.home.Epoch()
		return &current
	}
	return nil
}

// Run follows and proposes epochs, takes keys over and writes the journal until
// ctx ends.
func (c *Claims) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { c.writer.Run(ctx) })
	c.loop(ctx)
	group.Wait()
}

// Close hands the keys of a stopping daemon over to the next homes. It waits at
// most handoverTimeout until the next homes have listed the grants and responses
// held here. Unless the journal lacks grants or was sealed, Close then closes it, so
// that later homes need not query this daemon or its witnesses.
func (c *Claims) Close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for c.hasSuccessors(time.Now()) && !c.isHandedOver() && ctx.Err() == nil {
		_ = timing.Sleep(ctx, epochInterval) // the loop condition checks ctx
	}
	c.logger.WithField("complete", c.isHandedOver()).Info("claim handover ended")
	c.mu.Lock()
	current := c.log
	if current == nil {
		current = c.formerLog
	}
	complete := len(c.unjournaled) == 0 && !c.fenced
	c.fenced = true // this daemon grants nothing any more
	c.mu.Unlock()
	if complete && current != nil {
		closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), journalTimeout)
		defer cancel()
		_ = current.Close(closeCtx) // the next homes seal the journal if this fails
	}
}

// hasSuccessors reports whether another daemon is alive and not draining, so that
// it can be a home.
func (c *Claims) hasSuccessors(now time.Time) bool {
	for _, s := range c.fleet.Live(now) {
		if s.Host.Name != c.self.Host && !s.Draining {
			return true
		}
	}
	return false
}

// isHandedOver reports whether this daemon is not a home any more and every home
// of the epoch in force has listed the grants held here.
func (c *Claims) isHandedOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	epoch := c.home.Epoch()
	if _, err := c.home.Member(); err == nil {
		return false
	}
	for _, m := range epoch.Members {
		if c.listedEpoch[m.Host] < epoch.Number {
			return false
		}
	}
	return true
}

// enter puts a newer epoch in force. The caller holds mu.
func (c *Claims) enter(now time.Time, epoch claim.Epoch) {
	if !c.home.Enter(epoch) {
		return
	}
	c.home.MarkUncleared(now)
	c.openLog()
	c.limiter.SetLimit(rate.Limit(float64(journalWritesPerSecond) / float64(max(1, len(epoch.Members)))))
	c.logger.WithFields(log.Fields{"epoch": epoch.Number, "homes": len(epoch.Members)}).Info("claim epoch in force")
}

// openLog opens the journal of a new membership, or sets the journal aside when
// this daemon is not a home any more. The caller holds mu.
func (c *Claims) openLog() {
	m, err := c.home.Member()
	switch {
	case err == nil && (c.log == nil || c.log.Member() != m):
		c.log, c.fenced, c.completeThrough = journal.NewLog(c.kv, m), false, 0
	case err != nil && c.log != nil:
		c.formerLog, c.log = c.log, nil
	}
}
