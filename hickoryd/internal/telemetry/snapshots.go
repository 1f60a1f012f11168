package telemetry

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/burn"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/hickoryd/platform"
)

const (
	// SnapshotKeyPrefix begins the keys of the hosts' stored counts.
	SnapshotKeyPrefix = "hickoryfront/burn/"

	snapshotInterval = 3 * time.Minute
	// restoreInterval is shorter: counts are not stored before the counts of
	// the host's earlier life have been read.
	restoreInterval = 10 * time.Second
	// lastStoreTimeout bounds the write of a daemon that stops.
	lastStoreTimeout = time.Second
	// sweepInterval is the time between searches for counts that nobody needs.
	sweepInterval = time.Hour
	// sweepKey names the task of searching in the ring.
	sweepKey = "burn-sweep"
)

type (
	// KV is what the keeper needs of the platform.
	KV interface {
		Get(ctx context.Context, key string) (platform.Value, error)
		List(ctx context.Context, prefix string) ([]platform.Value, error)
		CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error)
		Delete(ctx context.Context, key string) error
	}

	// Homes says which host does a task that one host should do.
	Homes interface {
		Ring(now time.Time) *rendezvous.HostSet
	}

	// SnapshotStore stores the counts of this host on the platform, so that they
	// outlive it. A host that starts again takes over the counts of its name.
	SnapshotStore struct {
		recorder *Recorder
		self     member.Host
		kv       KV
		homes    Homes
		logger   log.Interface
		stored   *metrics.Counter
		failed   *metrics.Counter

		restored  bool
		index     uint64 // of the stored value
		nextSweep time.Time
	}
)

// NewSnapshotStore returns a keeper of the recorder's counts.
func NewSnapshotStore(recorder *Recorder, self member.Host, kv KV, homes Homes, logger log.Interface, set *metrics.Set) *SnapshotStore {
	return &SnapshotStore{
		recorder: recorder, self: self, kv: kv, homes: homes, logger: logger,
		stored: set.NewCounter(`hickoryfront_burn_snapshots_total{result="stored"}`),
		failed: set.NewCounter(`hickoryfront_burn_snapshots_total{result="failed"}`),
	}
}

// Run stores the counts until ctx ends, and once more then.
func (k *SnapshotStore) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		k.restore(ctx)
		k.sweep(ctx, now)
		wait := snapshotInterval
		if !k.restored {
			wait = restoreInterval
		}
		if timing.Sleep(ctx, wait) == nil {
			k.Save(ctx, time.Now())
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastStoreTimeout)
	defer cancel()
	k.Save(last, time.Now())
}

// Save writes the counts, if the earlier ones have been read. A write whose
// answer is lost is found by reading the key again.
func (k *SnapshotStore) Save(ctx context.Context, now time.Time) {
	if !k.restored {
		return
	}
	data, err := k.recorder.EncodedSnapshot(now)
	if err != nil {
		k.failed.Inc()
		return
	}
	written, err := k.kv.CompareAndSwap(ctx, k.key(), data, k.index)
	value, readErr := k.kv.Get(ctx, k.key())
	if err != nil || readErr != nil || !k.owns(value) {
		k.failed.Inc()
		return
	}
	k.index = value.Index // 0 when another host has swept the key
	if written {
		k.stored.Inc()
	}
}

// owns reports whether the stored counts are of this life of the host. Counts
// of a newer life stay as they are.
func (k *SnapshotStore) owns(value platform.Value) bool {
	if value.Index == 0 {
		return true
	}
	stored, err := burn.DecodeSnapshot(value.Data)
	return err == nil && stored.Incarnation <= k.self.Incarnation
}

func (k *SnapshotStore) restore(ctx context.Context) {
	if k.restored {
		return
	}
	value, err := k.kv.Get(ctx, k.key())
	if err != nil {
		return
	}
	k.restored = true
	k.index = value.Index
	if value.Index == 0 {
		return
	}
	earlier, err := burn.DecodeSnapshot(value.Data)
	if err != nil {
		k.logger.WithError(err).Warn("stored burn counts are left out")
		return
	}
	k.recorder.Restore(earlier)
}

// sweep deletes the counts of hosts that are gone for longer than any window.
// One host of the fleet does it.
func (k *SnapshotStore) sweep(ctx context.Context, now time.Time) {
	if now.Before(k.nextSweep) || k.homes.Ring(now).Home(sweepKey) != k.self.Name {
		return
	}
	values, err := k.kv.List(ctx, SnapshotKeyPrefix)
	if err != nil {
		return
	}
	k.nextSweep = now.Add(sweepInterval)
	for _, value := range values {
		stored, err := burn.DecodeSnapshot(value.Data)
		if err != nil || now.Sub(stored.TakenAt) > 2*burn.LongestWindow() {
			_ = k.kv.Delete(ctx, value.Key) // the next sweep tries again
		}
	}
}

func (k *SnapshotStore) key() string {
	return SnapshotKeyPrefix + k.self.Name
}
