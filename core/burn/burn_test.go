package burn_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/burn"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func record(t *burn.Tracker, now time.Time, domain string, good, bad int) {
	key := burn.Key{Service: "cart", FailureDomain: domain, Objective: burn.Response}
	for range good {
		t.Record(now, key, 0.99, true)
	}
	for range bad {
		t.Record(now, key, 0.99, false)
	}
}

func hostSnapshot(name, domain string, t *burn.Tracker) burn.HostSnapshot {
	return burn.HostSnapshot{
		Host: name, FailureDomain: domain, Alive: true, Source: burn.SourceLive,
		Snapshot: burn.Snapshot{Host: name, FailureDomain: domain, Series: t.Series()},
	}
}

func TestAlarmNeedsTwoWindows(t *testing.T) {
	tests := map[string]struct {
		record func(*burn.Tracker)
		want   burn.Alarm
	}{
		"one bad response of 1001":      {func(b *burn.Tracker) { record(b, start, "howrah", 1000, 1) }, burn.AlarmNone},
		"half of the responses bad now": {func(b *burn.Tracker) { record(b, start, "howrah", 10, 10) }, burn.AlarmFast},
		"two bad responses, none good":  {func(b *burn.Tracker) { record(b, start, "howrah", 0, 2) }, burn.AlarmNone},
		"bad only half an hour ago":     {func(b *burn.Tracker) { record(b, start.Add(-30*time.Minute), "howrah", 10, 10) }, burn.AlarmSlow},
		"bad only four hours ago":       {func(b *burn.Tracker) { record(b, start.Add(-4*time.Hour), "howrah", 10, 10) }, burn.AlarmNone},
		"bad minute in a good hour": {func(b *burn.Tracker) {
			record(b, start.Add(-20*time.Minute), "howrah", 10000, 0)
			record(b, start, "howrah", 0, 50)
		}, burn.AlarmNone},
		"slow burn over some hours": {func(b *burn.Tracker) {
			record(b, start.Add(-3*time.Hour), "howrah", 930, 70)
			record(b, start, "howrah", 930, 70)
		}, burn.AlarmSlow},
		"burn older than all windows": {func(b *burn.Tracker) {
			record(b, start.Add(-7*time.Hour), "howrah", 0, 1000)
			record(b, start, "howrah", 1, 0)
		}, burn.AlarmNone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := burn.NewTracker()
			test.record(tracker)
			report := burn.Merge(start, []burn.HostSnapshot{hostSnapshot("host-1", "howrah", tracker)}, true)
			if got := report.Rows[0].Alarm; got != test.want {
				t.Errorf("alarm %q, want %q; windows %+v", got, test.want, report.Rows[0].Windows)
			}
		})
	}
}

func TestMergeSumsDomainsAndListsMissingHosts(t *testing.T) {
	first, second := burn.NewTracker(), burn.NewTracker()
	record(first, start, "howrah", 90, 10)
	record(second, start, "behala", 100, 0)
	report := burn.Merge(start, []burn.HostSnapshot{
		hostSnapshot("host-2", "behala", second),
		hostSnapshot("host-1", "howrah", first),
		{Host: "host-3", FailureDomain: "behala", Alive: true, Source: burn.SourceMissing},
	}, true)
	got := map[string]burn.Count{}
	for _, row := range report.Rows {
		got[row.Key.FailureDomain] = row.Windows[0].Count
	}
	want := map[string]burn.Count{"": {Good: 190, Bad: 10}, "howrah": {Good: 90, Bad: 10}, "behala": {Good: 100}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"host-3"}, report.Missing()); diff != "" {
		t.Error(diff)
	}
}

// TestWindowsAgainstPlainCount compares the counts of the ring buffers with those
// of a plain list of all responses.
func TestWindowsAgainstPlainCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s burn.Series
		var at []time.Time
		now := start
		for range rapid.IntRange(0, 200).Draw(t, "responses") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Minute)).Draw(t, "pause")))
			s.Add(now, false)
			at = append(at, now)
		}
		for i, w := range burn.Windows() {
			width := w.Length / 30
			oldest := now.Truncate(width).Add(width - w.Length)
			want := uint64(0)
			for _, moment := range at {
				if !moment.Before(oldest) {
					want++
				}
			}
			if got := s.Counts(now)[i].Bad; got != want {
				t.Fatalf("window %s: %d, want %d", w.Name, got, want)
			}
		}
	})
}

// TestMergeEqualsOneTracker guards against counts that are lost or doubled when a
// host restarts: the report does not depend on which incarnation of the host
// counted a response.
func TestMergeEqualsOneTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		single, before, after := burn.NewTracker(), burn.NewTracker(), burn.NewTracker()
		now := start
		restartAt := rapid.IntRange(0, 50).Draw(t, "restart at")
		for i := range 50 {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Minute)).Draw(t, "pause")))
			bad := rapid.IntRange(0, 2).Draw(t, "bad")
			record(single, now, "howrah", 1, bad)
			if i < restartAt {
				record(before, now, "howrah", 1, bad)
			} else {
				record(after, now, "howrah", 1, bad)
			}
		}
		after.Restore(burn.Snapshot{Series: before.Series()})
		want := burn.Merge(now, []burn.HostSnapshot{hostSnapshot("a", "howrah", single)}, true).Rows
		got := burn.Merge(now, []burn.HostSnapshot{hostSnapshot("a", "howrah", after)}, true).Rows
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestSnapshotRoundTrip(t *testing.T) {
	tracker := burn.NewTracker()
	record(tracker, start, "howrah", 3, 1)
	want := burn.Snapshot{
		Host: "host-1", Incarnation: 7, TakenAt: start, StartedAt: start, Series: tracker.Series(),
		Latencies: []burn.Latency{{Service: "cart", Objective: burn.Response, Histogram: burn.Histogram{"1.000e-02...1.136e-02": 4}}},
		Usage:     burn.Usage{WastedPrefillTokens: 5, PlatformCalls: map[string]uint64{"get": 2}},
	}
	data, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := burn.DecodeSnapshot(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for name, bad := range map[string][]byte{"empty": nil, "text": []byte("{}"), "cut": data[:len(data)/2]} {
		if _, err := burn.DecodeSnapshot(bad); !errors.Is(err, burn.ErrBadSnapshot) {
			t.Errorf("%s: error %v, want ErrBadSnapshot", name, err)
		}
	}
}

func TestHistogramQuantile(t *testing.T) {
	h := burn.Histogram{"1.000e-02...1.136e-02": 90, "2.000e-01...2.100e-01": 9}
	h.Merge(burn.Histogram{"1.000e+00...1.136e+00": 1})
	got := []float64{h.Quantile(0.5), h.Quantile(0.95), h.Quantile(0.995), burn.Histogram{}.Quantile(0.5)}
	if diff := cmp.Diff([]float64{0.01136, 0.21, 1.136, 0}, got); diff != "" {
		t.Error(diff)
	}
}

func TestTrackerIsBounded(t *testing.T) {
	tracker := burn.NewTracker()
	for i := range 5000 {
		tracker.Record(start, burn.Key{Service: string(rune('a' + i))}, 0.9, true)
	}
	if got := len(tracker.Series()); got > 513 {
		t.Errorf("%d series are held, limit 513", got)
	}
}

// BenchmarkSnapshot encodes the counts of 20 services with full windows and
// reports the size that is stored.
func BenchmarkSnapshot(b *testing.B) {
	tracker := burn.NewTracker()
	objectives := []burn.Objective{burn.FirstToken, burn.TokenGap, burn.Response}
	random := rand.New(rand.NewPCG(1, 1))
	for minute := range 360 {
		now := start.Add(time.Duration(minute) * time.Minute)
		for service := range 20 {
			for _, objective := range objectives {
				key := burn.Key{Service: string(rune('a' + service)), FailureDomain: "howrah", Objective: objective}
				for range random.IntN(200) {
					tracker.Record(now, key, 0.95, random.IntN(9) != 0)
				}
			}
		}
	}
	var size int
	for b.Loop() {
		data, err := burn.Snapshot{Host: "host-1", Series: tracker.Series()}.Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}
