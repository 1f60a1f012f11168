package configstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v4"

	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	// commitTimeout bounds the time during which a change is attempted.
	commitTimeout = 10 * time.Second
	// maxBatchBytes bounds the texts in one write, so that the root value stays far
	// below the platform's size limit.
	maxBatchBytes = config.MaxChangeBytes
	maxBatch      = 64

	minRetryPause = 2 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

var errSwapFailed = errors.New("another change was first, or no answer came")

type (
	// committer writes the changes of this daemon in batches. It writes a change at
	// once when no write is in flight; changes that arrive during a write share the
	// next one.
	committer struct {
		store  *Store
		writes *metrics.Counter
		lost   *metrics.Counter
		wake   chan struct{}

		mu    sync.Mutex
		queue []*pending
	}

	// pending is one change that is not yet decided.
	pending struct {
		change     config.Change
		deadline   time.Time
		since      uint64 // the change is in no revision up to this one
		sinceKnown bool   // since is set
		sent       bool   // a write with the change may have taken effect
		done       chan outcome
	}

	outcome struct {
		revision uint64
		err      error
	}

	// stagedWrite is the content of one write before it is sent.
	stagedWrite struct {
		document *config.Document
		changes  []config.Change
		accepted []*pending
		refused  []refusedChange
		bytes    int
	}

	refusedChange struct {
		pending *pending
		err     error
	}
)

func newCommitter(store *Store, set *metrics.Set) *committer {
	return &committer{
		store:  store,
		writes: set.NewCounter(`hickoryfront_config_writes_total`),
		lost:   set.NewCounter(`hickoryfront_config_writes_lost_total`),
		wake:   make(chan struct{}, 1),
	}
}

// Commit writes a change and returns its revision once the platform has confirmed
// the write. A change with the write ID of a committed change is not written
// again. Errors: config.ErrConflict, config.ErrInvalid, ErrNotSent,
// ErrUnconfirmed and those of the platform.
func (s *Store) Commit(ctx context.Context, change config.Change) (uint64, error) {
	p := &pending{
		change: change, deadline: time.Now().Add(commitTimeout), since: change.Since, sinceKnown: change.Since > 0,
		done: make(chan outcome, 1),
	}
	s.commits.add(p)
	select {
	case o := <-p.done:
		return o.revision, o.err
	case <-ctx.Done():
		if s.commits.withdraw(p) {
			return 0, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
		}
		return 0, fmt.Errorf("%w: %w", ErrUnconfirmed, ctx.Err())
	}
}

func (c *committer) add(p *pending) {
	c.mu.Lock()
	c.queue = append(c.queue, p)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// withdraw removes a change from the queue. It returns false if the change is
// already in a batch.
func (c *committer) withdraw(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.queue, p)
	if i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
	return i >= 0
}

// fillBatch moves queued changes to a batch, up to maxBatch changes.
func (c *committer) fillBatch(batch []*pending) []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.queue), max(0, maxBatch-len(batch)))
	batch = append(batch, c.queue[:n]...)
	c.queue = slices.Delete(c.queue, 0, n)
	return batch
}

// run commits the queued changes until ctx ends.
func (c *committer) run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(minRetryPause), backoff.WithMaxInterval(maxRetryPause), backoff.WithMaxElapsedTime(0))
	var batch []*pending
	for ctx.Err() == nil {
		batch = c.fillBatch(batch)
		if len(batch) == 0 {
			pause.Reset()
			select {
			case <-ctx.Done():
			case <-c.wake:
			}
			continue
		}
		rest, err := c.commitBatch(ctx, batch)
		batch = expire(time.Now(), rest, err)
		if err != nil {
			_ = timing.Sleep(ctx, pause.NextBackOff()) // the loop checks ctx
			continue
		}
		pause.Reset()
	}
	expire(time.Now().Add(commitTimeout), c.fillBatch(batch), ctx.Err()) // fails all of them: no deadline is later
}

// commitBatch reads the root, applies the batch to it and writes it once. It returns
// the changes that are not yet decided.
func (c *committer) commitBatch(ctx context.Context, batch []*pending) ([]*pending, error) {
	value, err := c.store.kv.Get(ctx, rootKey)
	if err != nil {
		return batch, err
	}
	root, document, err := c.store.applyRoot(ctx, value)
	if err != nil {
		return batch, err
	}
	batch, err = c.resolveCommitted(ctx, root, batch)
	if err != nil {
		return batch, err
	}
	staged, rest := newStagedWrite(document, batch)
	if len(staged.accepted) == 0 {
		staged.refuse()
		return rest, nil
	}
	if err := c.write(ctx, value, root, document, staged); err != nil {
		return batch, err
	}
	c.store.replace(staged.document, staged.changes)
	staged.complete()
	return rest, nil
}

// resolveCommitted completes the changes that are already committed: the response to
// an earlier write was lost, or the sender retries a change. It returns the other
// changes.
func (c *committer) resolveCommitted(ctx context.Context, root config.Root, batch []*pending) ([]*pending, error) {
	rest := make([]*pending, 0, len(batch))
	for i, p := range batch {
		if !p.sinceKnown {
			p.since, p.sinceKnown = root.Revision, true
		}
		revision, found, err := c.store.findWrite(ctx, root, p.change.WriteID, p.since)
		if err != nil {
			return append(rest, batch[i:]...), err
		}
		if found {
			p.done <- outcome{revision: revision}
			continue
		}
		p.since = root.Revision // the change is in no revision up to this one
		rest = append(rest, p)
	}
	return rest, nil
}

func (c *committer) write(ctx context.Context, value consul.Value, root config.Root, document *config.Document, staged *stagedWrite) error {
	if root.NeedsSnapshot() {
		var err error
		if root, err = c.store.compact(ctx, root, document, time.Now()); err != nil {
			return err
		}
	}
	data, err := root.Append(staged.changes...).Encode()
	if err != nil {
		return err
	}
	for _, p := range staged.accepted {
		p.sent = true
	}
	c.writes.Inc()
	won, err := c.store.kv.CompareAndSwap(ctx, rootKey, data, value.Index)
	if err != nil || !won {
		c.lost.Inc()
		return errors.Join(errSwapFailed, err) // the root is read again, because the write may have taken effect
	}
	return nil
}

// newStagedWrite applies the batch to the document as far as it fits one write. It
// returns the staged write and the changes that must wait for the next write.
func newStagedWrite(document *config.Document, batch []*pending) (*stagedWrite, []*pending) {
	s := &stagedWrite{document: document}
	for i, p := range batch {
		if s.bytes+p.change.TextBytes() > maxBatchBytes && len(s.accepted) > 0 {
			return s, batch[i:]
		}
		s.add(p)
	}
	return s, nil
}

func (s *stagedWrite) add(p *pending) {
	change := p.change
	change.Revision = s.document.Revision + 1
	next, err := s.document.Apply(change)
	if err == nil {
		err = checkSnapshotSize(next, change.At)
	}
	if err != nil {
		s.refused = append(s.refused, refusedChange{p, err})
		return
	}
	s.document = next
	s.changes = append(s.changes, change)
	s.accepted = append(s.accepted, p)
	s.bytes += change.TextBytes()
}

// complete reports the results of a write that has taken effect.
func (s *stagedWrite) complete() {
	for i, p := range s.accepted {
		p.done <- outcome{revision: s.changes[i].Revision}
	}
	s.refuse()
}

// refuse reports the changes that can't be applied. A refusal is final, so refuse is
// called only when the document against which they were checked is committed.
func (s *stagedWrite) refuse() {
	for _, r := range s.refused {
		r.pending.done <- outcome{err: r.err}
	}
}

// checkSnapshotSize refuses a document whose snapshot would exceed the size limit of
// a value on the platform. A document whose texts are within the limit is always
// accepted.
func checkSnapshotSize(document *config.Document, now time.Time) error {
	if document.TextBytes() <= config.MaxSnapshotBytes {
		return nil
	}
	data, err := document.TakeSnapshot(now).Encode()
	if err != nil {
		return err
	}
	if len(data) > config.MaxSnapshotBytes {
		return fmt.Errorf("%w: the whole configuration would be larger than %d bytes; delete entries that are not used",
			config.ErrInvalid, config.MaxSnapshotBytes)
	}
	return nil
}

// expire fails the changes whose deadline has passed and returns the others.
func expire(now time.Time, batch []*pending, cause error) []*pending {
	return slices.DeleteFunc(batch, func(p *pending) bool {
		if now.Before(p.deadline) {
			return false
		}
		p.done <- outcome{err: timeoutError(p, cause)}
		return true
	})
}

func timeoutError(p *pending, cause error) error {
	if p.sent {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, cause)
	}
	return fmt.Errorf("%w: %w", ErrNotSent, cause)
}
