package quarantine

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/idletimeout"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// maxWrites is the number of writes that wait for the store. Further ones are lost.
	maxWrites = 256
	// maxTransactionWrites is the number of writes in one transaction, of which the
	// platform allows 32.
	maxTransactionWrites = 30
	// leaseTTL is how long what is written stays in the store, the platform's maximum. It
	// is longer than a refusal. Keys are bound to a lease until it is maxLeaseAge old.
	leaseTTL    = 10 * time.Minute
	maxLeaseAge = time.Minute
	// callTimeout limits a call of the store, without the wait of a watch.
	callTimeout = 5 * time.Second
	// watchWait is how long a watch waits for a refusal. The platform allows 30 s.
	watchWait = 25 * time.Second
	// roleWait is how long a host that starts waits until it is known whether it follows
	// another one.
	roleWait = 4 * time.Second
	// retryDelay is the minimum time between two attempts at a call that fails.
	retryDelay = 400 * time.Millisecond
)

type (
	// write is a key that waits to be written to the store.
	write struct {
		item platform.Item
		// loss is what the key holds if it is a loss, or nil.
		loss *crash.PartLoss
	}

	// storeLease is the lease that new keys are bound to. Its id is 0 before the first one.
	storeLease struct {
		id        uint64
		grantedAt time.Time
	}
)

func (q *Quarantine) enqueueLoss(now time.Time, loss crash.PartLoss) {
	item, err := platform.EncodePartLoss(platform.PartLoss{PartLoss: loss, At: now})
	q.enqueue(write{item: item, loss: &loss}, err)
}

func (q *Quarantine) enqueueRefusal(now time.Time, refusal crash.PartRefusal, isLifted bool) {
	item, err := platform.EncodePartRefusal(platform.PartRefusal{PartRefusal: refusal, At: now, IsLifted: isLifted})
	q.enqueue(write{item: item}, err)
}

func (q *Quarantine) enqueue(w write, err error) {
	if err != nil {
		q.logger.WithError(err).Error("can't encode a loss or refusal of prompt parts for the store")
		return
	}
	select {
	case q.writes <- w:
	default:
		q.logger.WithField("key", w.item.Key).Warn("too many writes to the store; a loss or refusal of prompt parts is not written")
	}
}

// RunWrites writes losses and refusals to the store until ctx ends. Once a loss is written,
// it reads those of the other hosts and decides with them.
func (q *Quarantine) RunWrites(ctx context.Context) {
	var lease storeLease
	for ctx.Err() == nil {
		pending := q.awaitWrites(ctx)
		for len(pending) > 0 && ctx.Err() == nil {
			if !q.renew(ctx, &lease) || !q.commit(ctx, pending, &lease) {
				_ = timing.Sleep(ctx, retryDelay+rand.N(retryDelay)) // the loop condition checks ctx
				continue
			}
			q.decideWithStore(ctx, pending)
			pending = nil
		}
	}
}

// awaitWrites returns the writes that wait, at least one unless ctx has ended.
func (q *Quarantine) awaitWrites(ctx context.Context) []write {
	var pending []write
	select {
	case <-ctx.Done():
		return nil
	case w := <-q.writes:
		pending = append(pending, w)
	}
	for len(pending) < maxTransactionWrites {
		select {
		case w := <-q.writes:
			pending = append(pending, w)
		default:
			return pending
		}
	}
	return pending
}

// renew replaces a lease that is too old, and reports whether there is one.
func (q *Quarantine) renew(ctx context.Context, lease *storeLease) bool {
	now := time.Now()
	if lease.id != 0 && now.Sub(lease.grantedAt) <= maxLeaseAge {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id, _, err := q.store.NewLease(ctx, leaseTTL)
	if err != nil {
		q.logger.WithError(err).Debug("no lease for failures of servers; retrying")
		id = 0
	}
	*lease = storeLease{id: id, grantedAt: now}
	return id != 0
}

// commit writes to the store and reports whether that has succeeded. It drops the lease if it
// has expired.
func (q *Quarantine) commit(ctx context.Context, writes []write, lease *storeLease) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var transaction platform.Transaction
	for _, w := range writes {
		put := platform.Put{Key: w.item.Key, Value: w.item.Value, Lease: lease.id}
		transaction.Puts = append(transaction.Puts, put)
	}
	_, err := q.store.Commit(ctx, transaction)
	if err != nil {
		q.logger.WithError(err).Debug("losses of prompt parts not written; retrying")
	}
	if errors.Is(err, platform.ErrNotFound) {
		lease.id = 0
	}
	return err == nil
}

// decideWithStore reads the losses of all hosts and decides on those that were written.
func (q *Quarantine) decideWithStore(ctx context.Context, written []write) {
	hasRead := false
	for _, w := range written {
		if w.loss == nil {
			continue
		}
		if !hasRead {
			q.readLosses(ctx)
			hasRead = true
		}
		q.decide(ctx, *w.loss)
	}
}

// readLosses records the losses that the store has.
func (q *Quarantine) readLosses(ctx context.Context) {
	items, _, err := q.registry.List(ctx, platform.PartLossesPrefix)
	if err != nil {
		q.logger.WithError(err).Debug("can't read the losses of prompt parts from the store")
		return
	}
	now := time.Now()
	for _, item := range items {
		loss, err := platform.DecodePartLoss(item)
		if err != nil {
			q.logger.WithError(err).Warn("can't decode a loss of prompt parts; ignoring it")
			continue
		}
		q.mu.Lock()
		q.table.RecordLoss(now.Add(-ageOf(now, loss.At)), loss.PartLoss)
		q.mu.Unlock()
	}
}

// RunRefusals follows the refusals in the store until ctx ends.
func (q *Quarantine) RunRefusals(ctx context.Context) {
	var after serverlist.Position
	for ctx.Err() == nil {
		if q.registry.IsStoreUnreachable() {
			after = serverlist.Position{}
			_ = timing.Sleep(ctx, retryDelay) // the loop condition checks ctx
			continue
		}
		if refusals, changed, isFollowing := q.registry.FollowedRefusals(); isFollowing {
			if q.readRefusals(ctx, refusals) {
				awaitChange(ctx, changed)
			}
			after = serverlist.Position{}
			continue
		}
		if after != (serverlist.Position{}) || q.registry.IsFirstStart() {
			q.registry.AwaitRole(ctx, roleWait) // reads of the store may be unnecessary then
			if _, _, isFollowing := q.registry.FollowedRefusals(); isFollowing {
				continue
			}
		}
		next, err := q.followRefusals(ctx, after)
		if err != nil {
			after = serverlist.Position{}
			_ = timing.Sleep(ctx, retryDelay+rand.N(retryDelay)) // the loop condition checks ctx
			continue
		}
		after = next
	}
}

// readRefusals reads the refusals if the number that a reader of the store has told has changed
// since they were read last. It reports whether they are up to date.
func (q *Quarantine) readRefusals(ctx context.Context, refusals uint64) bool {
	if q.refusalsRead == refusals {
		return true
	}
	items, _, err := q.registry.List(ctx, platform.PartRefusalsPrefix)
	if err != nil {
		_ = timing.Sleep(ctx, retryDelay+rand.N(retryDelay)) // the caller's loop checks ctx
		return false
	}
	q.applyRefusals(items)
	q.refusalsRead = refusals
	return true
}

func awaitChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

// followRefusals reads all refusals if after is zero, and otherwise waits for a change after
// that position. It returns the position from which the next call continues.
func (q *Quarantine) followRefusals(ctx context.Context, after serverlist.Position) (serverlist.Position, error) {
	if after == (serverlist.Position{}) {
		items, position, err := q.registry.List(ctx, platform.PartRefusalsPrefix)
		q.applyRefusals(items)
		if len(items) > 0 {
			q.registry.NotifyRefusals() // they may have changed while this host read nothing
		}
		return position, err
	}
	ctx, cancel := context.WithTimeout(idletimeout.WithWait(ctx, watchWait, nil), watchWait+callTimeout)
	defer cancel()
	page, err := q.store.Watch(ctx, platform.PartRefusalsPrefix, after.Revision, watchWait)
	if err != nil {
		return serverlist.Position{}, err
	}
	q.applyRefusals(page.Items)
	if len(page.Items) > 0 {
		q.registry.NotifyRefusals()
	}
	if page.Era != after.Era {
		return serverlist.Position{}, nil // these events do not follow those of the era before
	}
	for _, item := range page.Items {
		after.Revision = max(after.Revision, item.ModRevision)
	}
	return after, nil
}

// applyRefusals applies refusals from the store. A key that has expired changes nothing:
// each host ends a refusal itself.
func (q *Quarantine) applyRefusals(items []platform.Item) {
	now := time.Now()
	for _, item := range items {
		if item.IsDeleted {
			continue
		}
		if platform.IsRequestRefusal(item.Key) {
			q.applyRequestRefusal(now, item)
			continue
		}
		refusal, err := platform.DecodePartRefusal(item)
		if err != nil {
			q.logger.WithError(err).Warn("can't decode a refusal of prompt parts; ignoring it")
			continue
		}
		refusal.Duration -= ageOf(now, refusal.At)
		q.ReportRefusal(now, refusal.PartRefusal, refusal.IsLifted || refusal.Duration <= 0)
	}
}

// ageOf returns the time since at, which is of another host's clock. The clocks of hosts
// may differ, so the age may be too small or too large, but it is not negative.
func ageOf(now, at time.Time) time.Duration {
	return max(now.Sub(at), 0)
}
