package telemetry

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/burn"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	// SnapshotKeyPrefix is the prefix of the platform keys under which hosts store
	// their snapshots.
	SnapshotKeyPrefix = "hickoryfront/burn/"

	snapshotInterval = 3 * time.Minute
	// restoreInterval is the time between attempts to read the snapshot of the
	// host's earlier incarnation. It is shorter than snapshotInterval, because
	// nothing is stored before that snapshot has been read.
	restoreInterval = 10 * time.Second
	// finalSaveTimeout bounds the last write of a daemon that shuts down.
	finalSaveTimeout = time.Second
	// sweepInterval is the time between deletions of expired snapshots.
	sweepInterval = time.Hour
	// sweepKey is the key of the sweep in the rendezvous hash, which assigns it to
	// one host.
	sweepKey = "burn-sweep"
)

type (
	// KV is the part of the platform's key-value service that SnapshotStore and
	// Reporter use.
	KV interface {
		Get(ctx context.Context, key string) (consul.Value, error)
		List(ctx context.Context, prefix string) ([]consul.Value, error)
		CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error)
		Delete(ctx context.Context, key string) error
	}

	// Homes returns the hosts that can be homes. A task that only one host should do
	// is assigned to the home of its key.
	Homes interface {
		HomeHosts(now time.Time) *rendezvous.HostSet
	}

	// SnapshotStore stores snapshots of this host's counts on the platform, so that
	// the counts survive the process. A restarted host merges the snapshot that is
	// stored under its name into its own counts.
	SnapshotStore struct {
		recorder *Recorder
		self     member.Host
		kv       KV
		homes    Homes
		logger   log.Interface
		stored   *metrics.Counter
		failed   *metrics.Counter

		restored  bool
		index     uint64 // platform index of the stored value; 0 if there is none
		nextSweep time.Time
	}
)

// NewSnapshotStore returns a SnapshotStore for the counts of recorder.
func NewSnapshotStore(recorder *Recorder, self member.Host, kv KV, homes Homes, logger log.Interface, set *metrics.Set) *SnapshotStore {
	return &SnapshotStore{
		recorder: recorder, self: self, kv: kv, homes: homes, logger: logger,
		stored: set.NewCounter(`hickoryfront_burn_snapshots_total{result="stored"}`),
		failed: set.NewCounter(`hickoryfront_burn_snapshots_total{result="failed"}`),
	}
}

// Run saves snapshots until ctx ends, and a final one after that.
func (s *SnapshotStore) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		s.restore(ctx)
		s.sweep(ctx, now)
		wait := snapshotInterval
		if !s.restored {
			wait = restoreInterval
		}
		if timing.Sleep(ctx, wait) == nil {
			s.Save(ctx, time.Now())
		}
	}
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalSaveTimeout)
	defer cancel()
	s.Save(final, time.Now())
}

// Save writes a snapshot, unless the earlier snapshot has not been read yet. Save
// reads the key after the write, which shows whether a write took effect whose
// response was lost.
func (s *SnapshotStore) Save(ctx context.Context, now time.Time) {
	if !s.restored {
		return
	}
	data, err := s.recorder.EncodedSnapshot(now)
	if err != nil {
		s.failed.Inc()
		return
	}
	written, err := s.kv.CompareAndSwap(ctx, s.key(), data, s.index)
	value, readErr := s.kv.Get(ctx, s.key())
	if err != nil || readErr != nil || !s.owns(value) {
		s.failed.Inc()
		return
	}
	s.index = value.Index // 0 if another host has deleted the key in a sweep
	if written {
		s.stored.Inc()
	}
}

// owns reports whether this incarnation of the host may overwrite the stored
// snapshot. Snapshots of a newer incarnation are not overwritten.
func (s *SnapshotStore) owns(value consul.Value) bool {
	if value.Index == 0 {
		return true
	}
	stored, err := burn.DecodeSnapshot(value.Data)
	return err == nil && stored.Incarnation <= s.self.Incarnation
}

// restore merges the stored snapshot of an earlier incarnation, once.
func (s *SnapshotStore) restore(ctx context.Context) {
	if s.restored {
		return
	}
	value, err := s.kv.Get(ctx, s.key())
	if err != nil {
		return
	}
	s.restored = true
	s.index = value.Index
	if value.Index == 0 {
		return
	}
	earlier, err := burn.DecodeSnapshot(value.Data)
	if err != nil {
		s.logger.WithError(err).Warn("can't decode the stored burn snapshot; ignoring it")
		return
	}
	s.recorder.Restore(earlier)
}

// sweep deletes snapshots that can't be decoded or that are older than twice the
// longest burn window: those of hosts that no longer run. Only the home of
// sweepKey does this.
func (s *SnapshotStore) sweep(ctx context.Context, now time.Time) {
	if now.Before(s.nextSweep) || s.homes.HomeHosts(now).Home(sweepKey) != s.self.Name {
		return
	}
	values, err := s.kv.List(ctx, SnapshotKeyPrefix)
	if err != nil {
		return
	}
	s.nextSweep = now.Add(sweepInterval)
	for _, value := range values {
		stored, err := burn.DecodeSnapshot(value.Data)
		if err != nil || now.Sub(stored.TakenAt) > 2*burn.LongestWindow() {
			_ = s.kv.Delete(ctx, value.Key) // retried at the next sweep
		}
	}
}

func (s *SnapshotStore) key() string {
	return SnapshotKeyPrefix + s.self.Name
}
