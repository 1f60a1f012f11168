package home

import (
	"context"
	"errors"
	"time"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/journal"
)

const (
	// journalTimeout is the time after which a journal write counts as failed and
	// the platform as unavailable.
	journalTimeout       = 500 * time.Millisecond
	witnessTimeout       = 250 * time.Millisecond
	journalCheckInterval = time.Second
	// maxFlushGroup limits the grants in one journal write after an outage.
	maxFlushGroup = 128
	// maxUnjournaled limits the grants that a home gives during one outage.
	maxUnjournaled = 100_000
)

var (
	// errNoWitness means that, while the platform is unavailable, too few homes
	// recorded the outage or none recorded the grants, this daemon is not a home or
	// not that of the keys any more, or maxUnjournaled is reached.
	errNoWitness = errors.New("platform unavailable and claim not recorded by another home: too few homes respond, the keys have moved, or too many claims are not in the journal")
	// errFenced means that this daemon may not make a grant durable. It is also
	// returned for a grant whose witness responded after the outage had ended.
	errFenced   = errors.New("this daemon may not grant: it is not a home or is stopping, its journal is sealed, or its epoch has changed")
	errInFlight = errors.New("an earlier claim of this request is still being written")
)

type (
	// grantStore makes groups of grants durable: in the journal, or at a witness
	// while the platform is unavailable.
	grantStore struct {
		claims *Claims
	}

	// modeCall is one call that asks another home to record this home's mode.
	modeCall struct {
		claims   *Claims
		other    claim.Member
		epoch    uint64
		mode     claim.MemberMode
		recorded bool
	}
)

// Store implements journal.Store.
func (g grantStore) Store(ctx context.Context, grants []claim.Grant) error {
	c := g.claims
	c.mu.Lock()
	current, isPlatformDown, fenced := c.log, c.isPlatformDown, c.fenced
	epoch, complete := c.home.Epoch().Number, c.isComplete()
	isCurrent := current != nil && !fenced && c.grantedUnder(current.Member(), grants)
	c.mu.Unlock()
	if !isCurrent {
		return errFenced
	}
	if isPlatformDown {
		return c.storeAtWitness(ctx, grants)
	}
	appendCtx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	err := current.Append(appendCtx, epoch, complete, grants)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, journal.ErrSealed):
		c.fence(current)
		return errFenced
	}
	c.setPlatformDown(true)
	return c.storeAtWitness(ctx, grants)
}

// grantedUnder reports whether all grants were given under membership m. A grant of
// an earlier membership must not become durable in a later one: between the two,
// another home may have granted its key. The caller holds mu.
func (c *Claims) grantedUnder(m claim.Member, grants []claim.Grant) bool {
	for _, g := range grants {
		if granted, ok := c.pending[g.Key]; ok && granted != m {
			return false
		}
	}
	return true
}

// Prepare implements journal.Store.
func (g grantStore) Prepare(ctx context.Context) {
	c := g.claims
	c.mu.Lock()
	current, isPlatformDown := c.log, c.isPlatformDown
	c.mu.Unlock()
	if current == nil || isPlatformDown {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	_ = current.Prepare(ctx) // the next append reads the index if this fails
}

// storeAtWitness stores grants at another home. Before the first such grant, the
// other homes record that this home grants without its journal.
func (c *Claims) storeAtWitness(ctx context.Context, grants []claim.Grant) error {
	if !c.inOutage() && !c.beginOutage(ctx) {
		return errNoWitness
	}
	c.mu.Lock()
	epoch, others := c.home.Epoch().Number, c.home.Others()
	mode, err := c.memberMode()
	keysMoved := !c.home.IsHomeOf(grants)
	full := len(c.unjournaled)+len(grants) > maxUnjournaled
	c.mu.Unlock()
	if err != nil || keysMoved || full {
		return errNoWitness
	}
	for _, other := range others {
		if c.requestWitness(ctx, other, epoch, mode, grants) {
			return c.addUnjournaled(epoch, grants)
		}
	}
	return errNoWitness
}

func (c *Claims) addUnjournaled(epoch uint64, grants []claim.Grant) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.home.Epoch().Number != epoch || !c.home.InOutage() || c.fenced {
		return errFenced
	}
	c.unjournaled = append(c.unjournaled, grants...)
	c.metrics.witnessed.Add(len(grants))
	return nil
}

func (c *Claims) inOutage() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.home.InOutage()
}

// beginOutage asks the other homes to record that this home grants without its
// journal. It reports whether enough of them did.
func (c *Claims) beginOutage(ctx context.Context) bool {
	c.mu.Lock()
	mode := c.home.BeginOutage()
	epoch, others := c.home.Epoch().Number, c.home.Others()
	self, err := c.home.Member()
	c.mu.Unlock()
	if err != nil {
		return false
	}
	recorded := c.publishMode(ctx, others, epoch, claim.MemberMode{Member: self, Mode: mode})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.home.ConfirmOutage(mode, epoch, recorded)
	if c.home.InOutage() {
		c.logger.WithField("epoch", epoch).Warn("platform unavailable, claims are recorded by other homes only")
	}
	return c.home.InOutage()
}

// flush writes the grants of an outage to the journal and then notifies the other
// homes that the outage has ended.
func (c *Claims) flush(ctx context.Context) {
	c.mu.Lock()
	current, unjournaled := c.log, c.unjournaled
	epoch, others := c.home.Epoch().Number, c.home.Others()
	c.mu.Unlock()
	if current == nil {
		return
	}
	for start := 0; start < len(unjournaled); start += maxFlushGroup {
		group := unjournaled[start:min(len(unjournaled), start+maxFlushGroup)]
		if err := current.Append(ctx, epoch, false, group); err != nil {
			if errors.Is(err, journal.ErrSealed) {
				c.fence(current)
			}
			return
		}
	}
	if mode, ended := c.endOutage(len(unjournaled)); ended {
		c.publishMode(ctx, others, epoch, mode)
		c.logger.Info("platform available again, claims are written to the journal")
	}
}

// endOutage removes the given number of journaled grants from the unjournaled
// ones. It ends the outage unless further grants were given meanwhile.
func (c *Claims) endOutage(journaled int) (claim.MemberMode, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unjournaled = c.unjournaled[journaled:]
	if len(c.unjournaled) > 0 {
		return claim.MemberMode{}, false
	}
	c.isPlatformDown = false
	mode := c.home.EndOutage()
	self, err := c.home.Member()
	return claim.MemberMode{Member: self, Mode: mode}, err == nil
}

// publishMode asks other homes to record a mode and returns how many of them did.
func (c *Claims) publishMode(ctx context.Context, others []claim.Member, epoch uint64, mode claim.MemberMode) int {
	calls := make([]modeCall, len(others))
	runAll(len(others), func(i int) {
		calls[i] = modeCall{claims: c, other: others[i], epoch: epoch, mode: mode}
		calls[i].run(ctx)
	})
	recorded := 0
	for _, call := range calls {
		if call.recorded {
			recorded++
		}
	}
	return recorded
}

// requestWitness asks another home to record a mode and grants, and reports whether
// it did.
func (c *Claims) requestWitness(ctx context.Context, other claim.Member, epoch uint64, mode claim.MemberMode, grants []claim.Grant) bool {
	host, ok := c.hostOf(other.Daemon())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	newer, err := c.homes.Witness(ctx, host, epoch, mode, grants)
	if newer != nil {
		c.mu.Lock()
		c.enter(time.Now(), *newer)
		c.mu.Unlock()
	}
	return err == nil && newer == nil
}

// hostOf returns the host of a daemon's incarnation. It returns false when the
// fleet lists another incarnation of the daemon, or none.
func (c *Claims) hostOf(o claim.Daemon) (member.Host, bool) {
	state, ok := c.fleet.Lookup(o.Host)
	return state.Host, ok && state.Host.Incarnation == o.Incarnation
}

// isComplete reports whether the journal contains every grant of this home. The
// caller holds mu.
func (c *Claims) isComplete() bool {
	return len(c.unjournaled) == 0 && !c.home.InOutage()
}

// memberMode returns this home's membership and current mode. The caller holds mu.
func (c *Claims) memberMode() (claim.MemberMode, error) {
	self, err := c.home.Member()
	return claim.MemberMode{Member: self, Mode: c.home.Mode()}, err
}

func (c *Claims) fence(sealed *journal.Log) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.log == sealed && !c.fenced {
		c.fenced = true
		c.logger.Warn("claim journal was sealed by another home")
	}
}

func (c *Claims) setPlatformDown(isPlatformDown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isPlatformDown = isPlatformDown
}

func (m *modeCall) run(ctx context.Context) {
	m.recorded = m.claims.requestWitness(ctx, m.other, m.epoch, m.mode, nil)
}
