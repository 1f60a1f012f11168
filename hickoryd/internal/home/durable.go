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
	// journalTimeout is how long a journal write may take before the platform
	// counts as down.
	journalTimeout = 500 * time.Millisecond
	witnessTimeout = 250 * time.Millisecond
	probeInterval  = time.Second
	// flushGroup bounds the grants of one write after an outage.
	flushGroup = 128
	// maxUnjournaled bounds the grants of one outage.
	maxUnjournaled = 100_000
)

var (
	errNoWitness = errors.New("platform down and no other home records the claim")
	errFenced    = errors.New("the keys were taken over by another home")
	errInFlight  = errors.New("the claim of this request is being written")
)

type (
	// groups makes groups of grants durable: in the journal, or at a witness
	// while the platform is down.
	groups struct {
		claims *Claims
	}

	// teller tells one other home a mode.
	teller struct {
		claims   *Claims
		other    claim.Member
		epoch    uint64
		flag     claim.MemberMode
		recorded bool
	}
)

// Store implements journal.Store.
func (g groups) Store(ctx context.Context, grants []claim.Grant) error {
	c := g.claims
	c.mu.Lock()
	current, down, fenced := c.log, c.down, c.fenced
	epoch, complete := c.home.Epoch().Number, c.isComplete()
	ours := current != nil && !fenced && c.grantedUnder(current.Member(), grants)
	c.mu.Unlock()
	if !ours {
		return errFenced
	}
	if down {
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
	c.setDown(true)
	return c.storeAtWitness(ctx, grants)
}

// grantedUnder reports whether all grants were given in one membership. A grant
// of an earlier one must not become durable in a later one: another home may
// have had its key in between. The caller holds mu.
func (c *Claims) grantedUnder(m claim.Member, grants []claim.Grant) bool {
	for _, g := range grants {
		if granted, ok := c.pending[g.Key]; ok && granted != m {
			return false
		}
	}
	return true
}

// Prepare implements journal.Store.
func (g groups) Prepare(ctx context.Context) {
	c := g.claims
	c.mu.Lock()
	current, down := c.log, c.down
	c.mu.Unlock()
	if current == nil || down {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	_ = current.Prepare(ctx) // the next append does it otherwise
}

// storeAtWitness makes grants known to a second home. The others are told
// before the first of them that this home grants without its journal.
func (c *Claims) storeAtWitness(ctx context.Context, grants []claim.Grant) error {
	if !c.inOutage() && !c.beginOutage(ctx) {
		return errNoWitness
	}
	c.mu.Lock()
	epoch, others := c.home.Epoch().Number, c.home.Others()
	flag, err := c.flag()
	moved := !c.home.IsHomeOf(grants)
	full := len(c.unjournaled)+len(grants) > maxUnjournaled
	c.mu.Unlock()
	if err != nil || moved || full {
		return errNoWitness
	}
	for _, other := range others {
		if c.tell(ctx, other, epoch, flag, grants) {
			return c.keepUnjournaled(epoch, grants)
		}
	}
	return errNoWitness
}

func (c *Claims) keepUnjournaled(epoch uint64, grants []claim.Grant) error {
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

// beginOutage tells the other homes that this one grants without its journal.
func (c *Claims) beginOutage(ctx context.Context) bool {
	c.mu.Lock()
	mode := c.home.BeginOutage()
	epoch, others := c.home.Epoch().Number, c.home.Others()
	self, err := c.home.Member()
	c.mu.Unlock()
	if err != nil {
		return false
	}
	recorded := c.tellAll(ctx, others, epoch, claim.MemberMode{Member: self, Mode: mode})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.home.ConfirmOutage(mode, epoch, recorded)
	if c.home.InOutage() {
		c.logger.WithField("epoch", epoch).Warn("platform down, claims are kept by homes only")
	}
	return c.home.InOutage()
}

// flush journals what was granted in an outage and says so to the others.
func (c *Claims) flush(ctx context.Context) {
	c.mu.Lock()
	current, pending := c.log, c.unjournaled
	epoch, others := c.home.Epoch().Number, c.home.Others()
	c.mu.Unlock()
	if current == nil {
		return
	}
	for start := 0; start < len(pending); start += flushGroup {
		group := pending[start:min(len(pending), start+flushGroup)]
		if err := current.Append(ctx, epoch, false, group); err != nil {
			if errors.Is(err, journal.ErrSealed) {
				c.fence(current)
			}
			return
		}
	}
	if flag, ended := c.endOutage(len(pending)); ended {
		c.tellAll(ctx, others, epoch, flag)
		c.logger.Info("platform is back, claims are journaled")
	}
}

// endOutage takes in how many grants were journaled since, and ends the outage
// when no others came meanwhile.
func (c *Claims) endOutage(journaled int) (claim.MemberMode, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unjournaled = c.unjournaled[journaled:]
	if len(c.unjournaled) > 0 {
		return claim.MemberMode{}, false
	}
	c.down = false
	mode := c.home.EndOutage()
	self, err := c.home.Member()
	return claim.MemberMode{Member: self, Mode: mode}, err == nil
}

// tellAll tells other homes a mode and returns how many recorded it.
func (c *Claims) tellAll(ctx context.Context, others []claim.Member, epoch uint64, flag claim.MemberMode) int {
	told := make([]teller, len(others))
	runAll(len(others), func(i int) {
		told[i] = teller{claims: c, other: others[i], epoch: epoch, flag: flag}
		told[i].run(ctx)
	})
	recorded := 0
	for _, t := range told {
		if t.recorded {
			recorded++
		}
	}
	return recorded
}

// tell tells one other home a mode and grants, and reports whether it recorded
// them.
func (c *Claims) tell(ctx context.Context, other claim.Member, epoch uint64, flag claim.MemberMode, grants []claim.Grant) bool {
	host, ok := c.hostOf(other.Owner())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	newer, err := c.homes.Witness(ctx, host, epoch, flag, grants)
	if newer != nil {
		c.mu.Lock()
		c.enter(time.Now(), *newer)
		c.mu.Unlock()
	}
	return err == nil && newer == nil
}

// hostOf returns the address of a life of a daemon, when it is not known to
// have been followed by another.
func (c *Claims) hostOf(o claim.Owner) (member.Host, bool) {
	state, ok := c.fleet.Lookup(o.Host)
	return state.Host, ok && state.Host.Incarnation == o.Incarnation
}

// isComplete reports whether every grant is journaled. The caller holds mu.
func (c *Claims) isComplete() bool {
	return len(c.unjournaled) == 0 && !c.home.InOutage()
}

// flag returns this home's current mode. The caller holds mu.
func (c *Claims) flag() (claim.MemberMode, error) {
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

func (c *Claims) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

func (t *teller) run(ctx context.Context) {
	t.recorded = t.claims.tell(ctx, t.other, t.epoch, t.flag, nil)
}
