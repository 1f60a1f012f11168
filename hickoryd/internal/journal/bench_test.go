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
	// benchClaims is the least number of claims of a run.
	benchClaims = 200
	benchRounds = 3
	// platformRate is what the platform takes from all of its clients.
	platformRate = 300
)

// load is a number of callers that claim one key after the other.
type load struct {
	commit func(number int) error
	rounds int
	next   atomic.Int64
	took   atomic.Int64
	failed atomic.Int64
}

func (l *load) run() {
	for range l.rounds {
		started := time.Now()
		if l.commit(int(l.next.Add(1))) != nil {
			l.failed.Add(1)
		}
		l.took.Add(int64(time.Since(started)))
	}
}

func (l *load) measure(b *testing.B, callers int) (meanLatency, whole time.Duration) {
	l.rounds = max(benchRounds, benchClaims/callers)
	started := time.Now()
	var group sync.WaitGroup
	for range callers {
		group.Go(l.run)
	}
	group.Wait()
	if l.failed.Load() > 0 {
		b.Fatalf("%d claims failed", l.failed.Load())
	}
	return time.Duration(l.took.Load() / l.next.Load()), time.Since(started)
}

func slowKV() *kv {
	store := newKV()
	store.latency = benchLatency
	store.limiter = rate.NewLimiter(platformRate, 1)
	return store
}

// BenchmarkJournal compares grouped writes with one write for each claim, on a
// platform that answers in 2 ms and takes 300 writes a second.
func BenchmarkJournal(b *testing.B) {
	for _, callers := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for b.Loop() {
				grouped, single := slowKV(), slowKV()
				ctx, stop := context.WithCancel(b.Context())
				w := journal.NewWriter(groups{journal.NewLog(grouped, member)}, rate.NewLimiter(160, 4))
				var group sync.WaitGroup
				group.Go(func() { w.Run(ctx) })
				inGroups := load{commit: func(number int) error { return w.Commit(ctx, grant(number)) }}
				groupedLatency, groupedWhole := inGroups.measure(b, callers)
				stop()
				group.Wait()
				alone := load{commit: func(number int) error {
					_, err := single.CompareAndSwap(b.Context(), fmt.Sprint(number), []byte("grant"), 0)
					return err
				}}
				singleLatency, singleWhole := alone.measure(b, callers)
				b.ReportMetric(float64(grouped.writes)/float64(single.writes), "writes-ratio")
				b.ReportMetric(float64(groupedLatency)/float64(singleLatency), "latency-ratio")
				b.ReportMetric(float64(grouped.writes)/groupedWhole.Seconds(), "grouped-writes/s")
				b.ReportMetric(float64(single.writes)/singleWhole.Seconds(), "single-writes/s")
				b.ReportMetric(float64(groupedLatency)/float64(time.Millisecond), "grouped-ms/claim")
				b.ReportMetric(float64(singleLatency)/float64(time.Millisecond), "single-ms/claim")
			}
		})
	}
}
