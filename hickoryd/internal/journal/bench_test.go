package journal_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/journal"
)

const (
	benchLatency = 2 * time.Millisecond
	// minBenchClaims is the minimum number of claims in one run.
	minBenchClaims = 200
	minBenchRounds = 3
	// platformWritesPerSecond is the rate of writes that the platform accepts from
	// all of its clients together.
	platformWritesPerSecond = 300
)

// workload is a number of concurrent callers, each of which claims one key after the
// other.
type workload struct {
	commit func(number int) error
	rounds int
	next   atomic.Int64
	took   atomic.Int64
	failed atomic.Int64
}

func (w *workload) run() {
	for range w.rounds {
		started := time.Now()
		if w.commit(int(w.next.Add(1))) != nil {
			w.failed.Add(1)
		}
		w.took.Add(int64(time.Since(started)))
	}
}

func (w *workload) measure(b *testing.B, callers int) (meanLatency, total time.Duration) {
	w.rounds = max(minBenchRounds, minBenchClaims/callers)
	started := time.Now()
	var group sync.WaitGroup
	for range callers {
		group.Go(w.run)
	}
	group.Wait()
	if w.failed.Load() > 0 {
		b.Fatalf("%d claims failed", w.failed.Load())
	}
	return time.Duration(w.took.Load() / w.next.Load()), time.Since(started)
}

func slowKV() *kv {
	store := newKV()
	store.latency = benchLatency
	store.limiter = rate.NewLimiter(platformWritesPerSecond, 1)
	return store
}

// BenchmarkJournal compares grouped writes with one write for each claim, on a platform
// that responds in 2 ms and accepts 300 writes per second.
func BenchmarkJournal(b *testing.B) {
	for _, callers := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for b.Loop() {
				grouped, single := slowKV(), slowKV()
				ctx, stop := context.WithCancel(b.Context())
				w := journal.NewWriter(logStore{journal.NewLog(grouped, member)}, rate.NewLimiter(160, 4))
				var group sync.WaitGroup
				group.Go(func() { w.Run(ctx) })
				inGroups := workload{commit: func(number int) error { return w.Commit(ctx, grant(number)) }}
				groupedLatency, groupedTotal := inGroups.measure(b, callers)
				stop()
				group.Wait()
				ungrouped := workload{commit: func(number int) error {
					_, err := single.CompareAndSwap(b.Context(), fmt.Sprint(number), []byte("grant"), 0)
					return err
				}}
				singleLatency, singleTotal := ungrouped.measure(b, callers)
				b.ReportMetric(float64(grouped.writes)/float64(single.writes), "writes-ratio")
				b.ReportMetric(float64(groupedLatency)/float64(singleLatency), "latency-ratio")
				b.ReportMetric(float64(grouped.writes)/groupedTotal.Seconds(), "grouped-writes/s")
				b.ReportMetric(float64(single.writes)/singleTotal.Seconds(), "single-writes/s")
				b.ReportMetric(float64(groupedLatency)/float64(time.Millisecond), "grouped-ms/claim")
				b.ReportMetric(float64(singleLatency)/float64(time.Millisecond), "single-ms/claim")
			}
		})
	}
}
