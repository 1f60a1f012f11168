// Package configstore keeps the operators' configuration in force on this
// daemon: it reads and watches the platform, catches up from peers, and commits
// changes.
package configstore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/hickoryd/platform"
)

const (
	rootKey        = "hickoryfront/config/root"
	snapshotPrefix = "hickoryfront/config/snapshot/"
	watchWait      = 30 * time.Second
	retryInterval  = 500 * time.Millisecond
	commitAttempts = 16
)

// ErrUnconfirmed means that a change was sent and its fate is not known.
var ErrUnconfirmed = errors.New("the platform did not confirm the change; it may have taken effect")

type (
	// KV is what the store needs of the platform.
	KV interface {
		Get(ctx context.Context, key string) (platform.Value, error)
		Watch(ctx context.Context, key string, index uint64, wait time.Duration) (platform.Value, uint64, error)
		CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error)
	}

	// Store holds the configuration in force. It is safe for concurrent use.
	Store struct {
		kv       KV
		logger   log.Interface
		applied  *metrics.Counter
		current  atomic.Pointer[config.Document]
		mu       sync.Mutex // serialises apply
		lastRead atomic.Int64
	}
)

// New returns a store with the empty configuration.
func New(kv KV, logger log.Interface, set *metrics.Set) *Store {
	s := &Store{kv: kv, logger: logger, applied: set.NewCounter(`hickoryfront_config_applied_total`)}
	s.current.Store(config.NewDocument())
	set.NewGauge(`hickoryfront_config_revision`, func() float64 { return float64(s.Current().Revision) })
	return s
}

// Current returns the configuration in force. The caller must not change it.
func (s *Store) Current() *config.Document {
	return s.current.Load()
}

// LastRead returns when the platform was last read.
func (s *Store) LastRead() time.Time {
	return time.Unix(0, s.lastRead.Load())
}

// Run watches the platform until ctx ends.
func (s *Store) Run(ctx context.Context) {
	index := uint64(0)
	for ctx.Err() == nil {
		next, err := s.watch(ctx, index)
		if err != nil {
			index = 0
			sleep(ctx, retryInterval)
			continue
		}
		index = next
	}
}

// Offer applies a document learned from a peer if it is newer.
func (s *Store) Offer(document *config.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(document)
}

// Refresh reads the platform once.
func (s *Store) Refresh(ctx context.Context) error {
	value, err := s.kv.Get(ctx, rootKey)
	if err != nil {
		return err
	}
	return s.take(ctx, value)
}

// Commit writes a change. It returns its revision once the platform has
// confirmed it. Errors: config.ErrConflict, config.ErrInvalid, ErrUnconfirmed
// and those of the platform.
func (s *Store) Commit(ctx context.Context, change config.Change) (uint64, error) {
	sent := false
	for range commitAttempts {
		revision, done, err := s.tryCommit(ctx, change, &sent)
		if done || err != nil {
			return revision, err
		}
	}
	return 0, fmt.Errorf("%w: too many other changes at once; try again", ErrUnconfirmed)
}

func (s *Store) tryCommit(ctx context.Context, change config.Change, sent *bool) (uint64, bool, error) {
	value, err := s.kv.Get(ctx, rootKey)
	if err != nil {
		return 0, false, s.commitError(err, *sent)
	}
	if err := s.take(ctx, value); err != nil {
		return 0, false, err
	}
	root, err := config.DecodeRoot(value.Data)
	if err != nil {
		return 0, false, err
	}
	if root.Contains(change.Attempt) {
		return root.Revision, true, nil
	}
	change.Revision = root.Revision + 1
	next, err := s.Current().Apply(change)
	if err != nil {
		return 0, false, err
	}
	if root.NeedsSnapshot() {
		if root, err = s.fold(ctx, root, change.At); err != nil {
			return 0, false, s.commitError(err, *sent)
		}
	}
	data, err := root.Append(change).Encode()
	if err != nil {
		return 0, false, err
	}
	*sent = true
	won, err := s.kv.CompareAndSwap(ctx, rootKey, data, value.Index)
	if err != nil || !won {
		return 0, false, nil // read again: the write may be ours
	}
	s.Offer(next)
	return change.Revision, true, nil
}

// fold writes a snapshot of the current document, so that the root's changes
// can be dropped.
func (s *Store) fold(ctx context.Context, root config.Root, now time.Time) (config.Root, error) {
	data, err := s.Current().TakeSnapshot(now).Encode()
	if err != nil {
		return root, err
	}
	if _, err := s.kv.CompareAndSwap(ctx, snapshotKey(root.Revision), data, 0); err != nil {
		return root, err
	}
	return root.Folded(), nil
}

func (s *Store) commitError(err error, sent bool) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	return err
}

func (s *Store) watch(ctx context.Context, index uint64) (uint64, error) {
	if index == 0 {
		return 1, s.Refresh(ctx)
	}
	value, next, err := s.kv.Watch(ctx, rootKey, index, watchWait)
	if err != nil {
		return 0, err
	}
	return max(next, 1), s.take(ctx, value)
}

// take applies what a root value says.
func (s *Store) take(ctx context.Context, value platform.Value) error {
	s.lastRead.Store(time.Now().UnixNano())
	root, err := config.DecodeRoot(value.Data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	document := s.Current()
	changes, ok := root.ChangesAfter(document.Revision)
	if !ok {
		if document, err = s.readSnapshot(ctx, root.SnapshotRevision); err != nil {
			return err
		}
		changes = root.Recent
	}
	for _, change := range changes {
		if document, err = document.Apply(change); err != nil {
			return err
		}
	}
	s.replace(document)
	return nil
}

func (s *Store) readSnapshot(ctx context.Context, revision uint64) (*config.Document, error) {
	value, err := s.kv.Get(ctx, snapshotKey(revision))
	if err != nil {
		return nil, err
	}
	return config.DecodeSnapshot(value.Data)
}

// replace puts a newer document in force. The caller holds mu.
func (s *Store) replace(document *config.Document) {
	if document.Revision <= s.Current().Revision {
		return
	}
	s.current.Store(document)
	s.applied.Inc()
	s.logger.WithField("revision", document.Revision).Info("configuration in force")
}

func snapshotKey(revision uint64) string {
	return fmt.Sprintf("%s%d", snapshotPrefix, revision)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
