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
	// maxHomes bounds the daemons that are homes of keys, and with them the
	// platform's writes and the messages of a takeover.
	maxHomes = 16
	// journalWrites is the rate of journal writes of the whole fleet, per second.
	journalWrites = 160
	// journalBurst lets a few writes go out at once after a pause.
	journalBurst = 4
	// handoverTimeout bounds how long a daemon that stops waits for the next
	// homes. They need two reads of the epoch.
	handoverTimeout = 10 * time.Second
)

var (
	// ErrUndecided means that this home can't decide on the key now.
	ErrUndecided = errors.New("the home of the key can't decide now")
	// ErrNoGrant means that the key is not held here, or not by this request.
	ErrNoGrant = errors.New("no such grant at this home")
)

type (
	// Fleet is what claims need of the membership.
	Fleet interface {
		Self() member.Host
		Live(now time.Time) []member.State
		Lookup(name string) (member.State, bool)
		IsAlive(now time.Time, name string, incarnation uint64) bool
	}

	// Homes speaks to the other homes of keys.
	Homes interface {
		// ListGrants returns a listing, or the newer epoch of the other.
		ListGrants(ctx context.Context, host member.Host, epoch claim.Epoch) (claim.Listing, *claim.Epoch, error)
		// Witness tells another home a mode and grants. It returns the newer
		// epoch of the other when it did not record them.
		Witness(ctx context.Context, host member.Host, epoch uint64, flag claim.MemberMode, grants []claim.Grant) (*claim.Epoch, error)
	}

	// Claims is this daemon's part in the claims of keys. It is safe for
	// concurrent use.
	Claims struct {
		self    claim.Owner
		kv      journal.KV
		fleet   Fleet
		homes   Homes
		logger  log.Interface
		writer  *journal.Writer
		limiter *rate.Limiter
		hints   chan struct{}
		horizon func() time.Duration
		metrics claimMetrics

		mu          sync.Mutex
		home        *claim.Home
		former      *journal.Log // of the last membership, while this daemon is no home
		log         *journal.Log
		marked      uint64                     // epoch up to which the journal says it is complete
		fenced      bool                       // this membership's journal is sealed
		down        bool                       // the platform did not take the last write
		listedTo    map[string]uint64          // by host: epoch in which it last asked
		unjournaled []claim.Grant              // granted with a witness, not in the journal yet
		pending     map[claim.Key]claim.Member // memberships of grants that are not durable yet

		epochIndex   uint64 // platform's index of the epoch key
		nextRead     time.Time
		differsSince time.Time
		seenDead     *claim.FailureDetector
		askedAt      map[claim.Member]time.Time
	}

	claimMetrics struct {
		granted   *metrics.Counter
		undecided *metrics.Counter
		witnessed *metrics.Counter
		takeovers *metrics.Counter
	}
)

// NewClaims returns the claims of a daemon that is a home of none yet. horizon
// returns the longest time in which callers may send a key again.
func NewClaims(self claim.Owner, limit int, kv journal.KV, fleet Fleet, homes Homes, horizon func() time.Duration, logger log.Interface, set *metrics.Set) *Claims {
	c := &Claims{
		self: self, kv: kv, fleet: fleet, homes: homes, logger: logger, horizon: horizon,
		limiter: rate.NewLimiter(journalWrites, journalBurst), hints: make(chan struct{}, 1),
		home: claim.NewHome(self, limit), askedAt: map[claim.Member]time.Time{}, pending: map[claim.Key]claim.Member{},
		listedTo: map[string]uint64{}, seenDead: claim.NewFailureDetector(),
		metrics: claimMetrics{
			granted:   set.NewCounter(`hickoryfront_claims_total{result="granted"}`),
			undecided: set.NewCounter(`hickoryfront_claims_total{result="undecided"}`),
			witnessed: set.NewCounter(`hickoryfront_claims_witnessed_total`),
			takeovers: set.NewCounter(`hickoryfront_claim_journals_sealed_total`),
		},
	}
	c.writer = journal.NewWriter(groups{c}, c.limiter)
	set.NewGauge(`hickoryfront_claims_held`, func() float64 { return float64(c.Len()) })
	set.NewGauge(`hickoryfront_claim_homes_uncleared`, func() float64 { return float64(len(c.wanted(time.Now()))) })
	set.NewGauge(`hickoryfront_claim_homes`, func() float64 { return float64(len(c.Epoch().Members)) })
	set.NewGauge(`hickoryfront_claim_epoch`, func() float64 { return float64(c.Epoch().Number) })
	return c
}

// Epoch returns the epoch that this daemon knows.
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

// wanted returns the former homes whose grants are not known yet.
func (c *Claims) wanted(now time.Time) []claim.Member {
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

// NotifyEpoch says that a newer epoch may be in force.
func (c *Claims) NotifyEpoch(epoch uint64) {
	if epoch <= c.Epoch().Number {
		return
	}
	select {
	case c.hints <- struct{}{}:
	default:
	}
}

// Claim decides on one key. A grant is durable when it is returned. With an
// error nothing may run: ErrUndecided, or claim.ErrNotHome.
func (c *Claims) Claim(ctx context.Context, now time.Time, wanted claim.Grant) (claim.Outcome, claim.Grant, error) {
	outcome, grant, fresh, err := c.decide(now, wanted)
	if errors.Is(err, claim.ErrNotHome) {
		return claim.NotHome, grant, err
	}
	if err == nil && fresh {
		err = c.commit(ctx, grant)
	}
	if err != nil {
		c.metrics.undecided.Inc()
		return claim.Undecided, grant, fmt.Errorf("%w: %w", ErrUndecided, err)
	}
	return outcome, grant, nil
}

// decide decides on one key. fresh says that the grant was given just now, in
// the membership that is noted with it, and is not durable yet.
func (c *Claims) decide(now time.Time, wanted claim.Grant) (outcome claim.Outcome, grant claim.Grant, fresh bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, held := c.home.Lookup(now, wanted.Key)
	outcome, grant, err = c.home.Claim(now, wanted)
	if err == nil && outcome == claim.Running && c.isLost(now, grant) {
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

// isLost reports whether nobody can tell any more how a request ended: its owner
// is dead and all that former homes may tell is known. Until then its callers
// are told to ask again. The caller holds mu.
func (c *Claims) isLost(now time.Time, g claim.Grant) bool {
	return !c.fleet.IsAlive(now, g.Owner.Host, g.Owner.Incarnation) && c.home.IsCleared(now, g.Key)
}

// commit makes a grant durable, or takes it back.
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

// Settle stores how a call ended. ErrNoGrant means that this home does not know
// of the call, or not yet.
func (c *Claims) Settle(now time.Time, key claim.Key, requestID string, answer *claim.Response, unknown bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held, ok := c.home.Lookup(now, key); !ok || held.RequestID != requestID {
		return ErrNoGrant
	}
	c.home.Settle(key, requestID, answer, unknown)
	return nil
}

// Withdraw drops a claim whose call was not run and will not be.
func (c *Claims) Withdraw(key claim.Key, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.home.Withdraw(key, requestID)
}

// List answers a home that takes keys over: this daemon enters the asker's
// epoch first. When a newer one is in force here, that is returned instead.
func (c *Claims) List(now time.Time, epoch claim.Epoch, asker string) (claim.Listing, *claim.Epoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(now, epoch)
	listing, err := c.home.List(now, epoch.Number, asker)
	if err != nil {
		newer := c.home.Epoch()
		return claim.Listing{}, &newer
	}
	c.listedTo[asker] = epoch.Number
	return listing, nil
}

// Witness records grants and the mode of another home. When it can't, it
// returns the epoch in force.
func (c *Claims) Witness(epoch uint64, flag claim.MemberMode, grants []claim.Grant) *claim.Epoch {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.home.Witness(flag.Member, epoch, flag.Mode, grants); err != nil {
		held := c.home.Epoch()
		return &held
	}
	return nil
}

// Run takes part in epochs, takeovers and the journal until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { c.writer.Run(ctx) })
	c.loop(ctx)
	group.Wait()
}

// Close hands the keys of a daemon that stops to the next homes and ends its
// journal, so that nobody needs to ask about it. It waits for a bounded time
// until the next homes have listed the grants and answers held here.
func (c *Claims) Close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for c.hasSuccessors(time.Now()) && !c.isHandedOver() && ctx.Err() == nil {
		_ = timing.Sleep(ctx, epochTick) // the loop sees the end of ctx
	}
	c.logger.WithField("complete", c.isHandedOver()).Info("claims handed over")
	c.mu.Lock()
	current := c.log
	if current == nil {
		current = c.former
	}
	complete := len(c.unjournaled) == 0 && !c.fenced
	c.fenced = true // nothing is granted from here on
	c.mu.Unlock()
	if complete && current != nil {
		closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), journalTimeout)
		defer cancel()
		_ = current.Close(closeCtx) // the next homes seal it otherwise
	}
}

// hasSuccessors reports whether another daemon can be a home.
func (c *Claims) hasSuccessors(now time.Time) bool {
	for _, s := range c.fleet.Live(now) {
		if s.Host.Name != c.self.Host && !s.Draining {
			return true
		}
	}
	return false
}

// isHandedOver reports whether this daemon is no home any more and every home
// of the epoch in force has listed what is held here.
func (c *Claims) isHandedOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	epoch := c.home.Epoch()
	if _, err := c.home.Member(); err == nil {
		return false
	}
	for _, m := range epoch.Members {
		if c.listedTo[m.Host] < epoch.Number {
			return false
		}
	}
	return true
}

// enter takes in an epoch. The caller holds mu.
func (c *Claims) enter(now time.Time, epoch claim.Epoch) {
	if !c.home.Enter(epoch) {
		return
	}
	c.home.MarkUncleared(now)
	c.openLog()
	c.limiter.SetLimit(rate.Limit(float64(journalWrites) / float64(max(1, len(epoch.Members)))))
	c.logger.WithFields(log.Fields{"epoch": epoch.Number, "homes": len(epoch.Members)}).Info("claim epoch in force")
}

// openLog begins the journal of a new membership. The caller holds mu.
func (c *Claims) openLog() {
	m, err := c.home.Member()
	switch {
	case err == nil && (c.log == nil || c.log.Member() != m):
		c.log, c.fenced, c.marked = journal.NewLog(c.kv, m), false, 0
	case err != nil && c.log != nil:
		c.former, c.log = c.log, nil
	}
}
