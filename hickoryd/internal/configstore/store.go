// Package configstore holds the operators' configuration that is in force on this
// daemon. It watches or polls the platform, applies updates from peers, and commits
// changes.
//
// On the platform, the root value holds the newest changes. Older changes are in
// history segments, and a snapshot holds the complete configuration at the revision
// before the root's changes.
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
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
)

const (
	rootKey        = "hickoryfront/config/root"
	snapshotPrefix = "hickoryfront/config/snapshot/"
	segmentPrefix  = "hickoryfront/config/history/"
	// maxLoggedChanges bounds the changes that are kept for peers at an older
	// revision.
	maxLoggedChanges = 256
)

var (
	// ErrUnconfirmed means that a change was sent and may or may not have taken effect.
	ErrUnconfirmed = errors.New("the platform did not confirm the change; it may have taken effect")
	// ErrNotSent means that a change timed out or was cancelled before it was sent.
	ErrNotSent = errors.New("the change was not sent")

	errStale   = errors.New("the platform shows an older revision than the one in force")
	errChanged = errors.New("the platform's configuration moved while it was read")
)

type (
	// KV is the part of the platform's key-value service that the store uses.
	KV interface {
		Get(ctx context.Context, key string) (consul.Value, error)
		Watch(ctx context.Context, key string, index uint64, wait time.Duration) (consul.Value, uint64, error)
		CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error)
		Delete(ctx context.Context, key string) error
	}

	// Fleet is the view of this and the other daemons. One daemon in each failure
	// domain watches the platform.
	Fleet interface {
		Self() member.Host
		Live(now time.Time) []member.State
	}

	// Store holds the configuration in force. It is safe for concurrent use.
	Store struct {
		kv       KV
		fleet    Fleet
		logger   log.Interface
		applied  *metrics.Counter
		refused  *metrics.Counter
		commits  *committer
		current  atomic.Pointer[config.Document]
		lastRead atomic.Int64

		mu      sync.Mutex // guards replacing current, and the fields below
		changes *config.Log
		changed chan struct{} // closed and replaced at each new revision
	}
)

// New returns a store with the empty configuration.
func New(kv KV, fleet Fleet, logger log.Interface, set *metrics.Set) *Store {
	s := &Store{
		kv:      kv,
		fleet:   fleet,
		logger:  logger,
		applied: set.NewCounter(`hickoryfront_config_applied_total`),
		refused: set.NewCounter(`hickoryfront_config_refused_total`),
		changes: config.NewLog(maxLoggedChanges),
		changed: make(chan struct{}),
	}
	s.commits = newCommitter(s, set)
	s.current.Store(config.NewDocument())
	set.NewGauge(`hickoryfront_config_revision`, func() float64 { return float64(s.Current().Revision) })
	return s
}

// Run follows the platform and commits changes until ctx ends.
func (s *Store) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.commits.run(ctx) })
	s.follow(ctx)
	group.Wait()
}

// Current returns the configuration in force. The caller must not change it.
func (s *Store) Current() *config.Document {
	return s.current.Load()
}

// LastRead returns when the platform was last read, or the Unix epoch before the
// first read.
func (s *Store) LastRead() time.Time {
	return time.Unix(0, s.lastRead.Load())
}

// Changed returns a channel that is closed at the next new revision.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// UpdateAfter returns the encoded update that brings a peer from revision to the
// configuration in force, and the revision of that configuration. The update is empty
// when the peer already has that revision.
func (s *Store) UpdateAfter(now time.Time, revision uint64) ([]byte, uint64, error) {
	s.mu.Lock()
	document := s.Current()
	if document.Revision <= revision {
		s.mu.Unlock()
		return nil, document.Revision, nil
	}
	update := document.UpdateFrom(revision, s.changes, now)
	s.mu.Unlock()
	data, err := update.Encode()
	return data, document.Revision, err
}

// ApplyUpdate applies the part of an update from a peer that is newer than the
// configuration in force.
func (s *Store) ApplyUpdate(data []byte) error {
	update, err := config.DecodeUpdate(data)
	if err != nil {
		return err
	}
	document, applied, err := update.Apply(s.Current())
	if err != nil {
		s.refused.Inc()
		return err
	}
	s.replace(document, applied)
	return nil
}

// Refresh reads the configuration from the platform once.
func (s *Store) Refresh(ctx context.Context) error {
	value, err := s.kv.Get(ctx, rootKey)
	if err != nil {
		return err
	}
	_, _, err = s.applyRoot(ctx, value)
	return err
}

// applyRoot puts the configuration of a root value in force. It returns the root and
// the document at exactly the root's revision. errStale means that a newer revision is
// already in force.
func (s *Store) applyRoot(ctx context.Context, value consul.Value) (config.Root, *config.Document, error) {
	root, err := config.DecodeRoot(value.Data)
	if err != nil {
		s.refused.Inc()
		return root, nil, err
	}
	current := s.Current()
	if root.Revision < current.Revision {
		return root, nil, fmt.Errorf("%w: %d, in force is %d", errStale, root.Revision, current.Revision)
	}
	document, applied, err := s.advance(ctx, current, root)
	if err != nil {
		return root, nil, err
	}
	s.lastRead.Store(time.Now().UnixNano())
	s.replace(document, applied)
	return root, document, nil
}

// advance brings a document to the root's revision. If the changes in the root don't
// go back to the document's revision, advance starts from the root's snapshot.
func (s *Store) advance(ctx context.Context, from *config.Document, root config.Root) (*config.Document, []config.Change, error) {
	document, applied, ok, err := from.Advance(root)
	if err == nil && !ok {
		if from, err = s.readSnapshot(ctx, root.SnapshotRevision); err != nil {
			return nil, nil, err
		}
		document, applied, _, err = from.Advance(root)
	}
	if err != nil {
		s.refused.Inc()
	}
	return document, applied, err
}

func (s *Store) readSnapshot(ctx context.Context, revision uint64) (*config.Document, error) {
	value, err := s.kv.Get(ctx, snapshotKey(revision))
	if err != nil {
		return nil, err
	}
	if value.Index == 0 {
		return nil, fmt.Errorf("%w: snapshot %d is gone", errChanged, revision)
	}
	document, err := config.DecodeSnapshot(value.Data)
	if err == nil && document.Revision != revision {
		return nil, fmt.Errorf("%w: snapshot %d holds revision %d", config.ErrInvalid, revision, document.Revision)
	}
	return document, err
}

// replace puts a document in force if it is newer than the present one. applied are
// the changes between the two, or none if they are not known.
func (s *Store) replace(document *config.Document, applied []config.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if document.Revision <= s.Current().Revision {
		return
	}
	if len(applied) == 0 {
		s.changes.Reset()
	}
	s.changes.Add(applied...)
	s.current.Store(document)
	s.applied.Inc()
	close(s.changed)
	s.changed = make(chan struct{})
	s.logger.WithField("revision", document.Revision).Info("configuration in force")
}

func snapshotKey(revision uint64) string {
	return fmt.Sprintf("%s%d", snapshotPrefix, revision)
}

func segmentKey(revision uint64) string {
	return fmt.Sprintf("%s%d", segmentPrefix, revision)
}
