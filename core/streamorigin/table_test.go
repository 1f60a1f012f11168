package streamorigin_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/streamorigin"
)

const (
	lifetime = 30 * time.Second
	limit    = 4
)

var start = time.Unix(1000, 0)

func originOf(request int) streamorigin.Origin {
	return streamorigin.Origin{
		RequestID: fmt.Sprint("r", request), Service: "s", SoftwareVersion: fmt.Sprint("v", request%3),
	}
}

func TestTable(t *testing.T) {
	first := streamorigin.Origin{RequestID: "r1", Service: "s", SoftwareVersion: "v1"}
	tests := []struct {
		name    string
		arrange func(table *streamorigin.Table)
		after   time.Duration
		isFound bool
	}{
		{name: "unknown request", arrange: func(*streamorigin.Table) {}},
		{name: "within the lifetime", arrange: func(table *streamorigin.Table) { table.Record(start, first) }, after: lifetime - 1, isFound: true},
		{name: "after the lifetime", arrange: func(table *streamorigin.Table) { table.Record(start, first) }, after: lifetime},
		{
			name: "lifetime extended by a lookup", after: lifetime + time.Second, isFound: true,
			arrange: func(table *streamorigin.Table) {
				table.Record(start, first)
				table.Lookup(start.Add(2*time.Second), "r1")
			},
		},
		{
			name: "lifetime extended by a second record", after: lifetime + time.Second, isFound: true,
			arrange: func(table *streamorigin.Table) {
				table.Record(start, first)
				table.Record(start.Add(2*time.Second), first)
			},
		},
		{
			name: "first record counts", isFound: true,
			arrange: func(table *streamorigin.Table) {
				table.Record(start, first)
				table.Record(start, streamorigin.Origin{RequestID: "r1", Service: "s", SoftwareVersion: "v2"})
			},
		},
		{
			name: "evicted as the oldest of a full table",
			arrange: func(table *streamorigin.Table) {
				table.Record(start, first)
				for i := range limit {
					table.Record(start, originOf(100+i))
				}
			},
		},
		{
			name: "kept after a lookup in a full table", isFound: true,
			arrange: func(table *streamorigin.Table) {
				table.Record(start, first)
				table.Record(start, originOf(100))
				table.Lookup(start, "r1")
				for i := range limit - 1 {
					table.Record(start, originOf(101+i))
				}
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := streamorigin.NewTable(limit, lifetime)
			tt.arrange(table)
			got, ok := table.Lookup(start.Add(tt.after), "r1")
			if ok != tt.isFound {
				t.Fatalf("found %v, want %v", ok, tt.isFound)
			}
			if ok && got != first {
				t.Errorf("origin %+v, want %+v", got, first)
			}
		})
	}
}

// TestTableAgainstModel compares the table with a list in the order of last use.
func TestTableAgainstModel(t *testing.T) {
	type use struct {
		request int
		at      time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		table := streamorigin.NewTable(limit, lifetime)
		now := start
		var model []use // least recently used first
		touch := func(request int) {
			kept := model[:0]
			for _, u := range model {
				if u.request != request {
					kept = append(kept, u)
				}
			}
			model = append(kept, use{request, now})
			model = model[max(0, len(model)-limit):]
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(lifetime)/3).Draw(t, "pause")))
			for len(model) > 0 && now.Sub(model[0].at) >= lifetime {
				model = model[1:]
			}
			request := rapid.IntRange(0, 2*limit).Draw(t, "request")
			isKnown := false
			for _, u := range model {
				isKnown = isKnown || u.request == request
			}
			if rapid.Bool().Draw(t, "record") {
				table.Record(now, originOf(request))
				touch(request)
			} else {
				got, ok := table.Lookup(now, originOf(request).RequestID)
				if ok != isKnown || (ok && got != originOf(request)) {
					t.Fatalf("lookup of %d returned %+v, %v; want found %v", request, got, ok, isKnown)
				}
				if isKnown {
					touch(request)
				}
			}
			if table.Len() != len(model) {
				t.Fatalf("%d origins, want %d", table.Len(), len(model))
			}
		}
	})
}

// BenchmarkTable runs a full table at one lookup for 10 records.
func BenchmarkTable(b *testing.B) {
	const size = 20_000
	ids := make([]string, 4*size)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	table := streamorigin.NewTable(size, lifetime)
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		table.Record(now, streamorigin.Origin{RequestID: ids[i%len(ids)], Service: "s", SoftwareVersion: "v1"})
		if i%10 == 0 {
			table.Lookup(now, ids[(i+len(ids)-size/2)%len(ids)])
		}
	}
}

func TestOriginsOfService(t *testing.T) {
	table := streamorigin.NewTable(10, time.Minute)
	kept := streamorigin.Origin{RequestID: "r2", Service: "s", SoftwareVersion: "v1"}
	table.Record(start, streamorigin.Origin{RequestID: "r1", Service: "s", SoftwareVersion: "v1"})
	table.Record(start.Add(time.Second), kept)
	table.Record(start.Add(time.Second), streamorigin.Origin{RequestID: "r3", Service: "other", SoftwareVersion: "v1"})
	got := table.Origins(start.Add(time.Minute), "s")
	if len(got) != 1 || got[0] != kept {
		t.Errorf("origins %v, want %v: r1 has expired, r3 is of another service", got, kept)
	}
}
