package streamorigin_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/streamorigin"
)

const (
	retention = time.Minute
	window    = 20 * time.Second
	period    = 2 * time.Second
)

func listOf(versions ...string) []serverlist.Server {
	var servers []serverlist.Server
	for i, version := range versions {
		servers = append(servers, serverlist.Server{ID: fmt.Sprint("i-", i), Service: "s", Stage: serverlist.Decode, SoftwareVersion: version})
	}
	return servers
}

func TestHistory(t *testing.T) {
	const count = int(window/period) + 1 // observations that cover the window
	var (
		v1    = listOf("v1")
		v2    = listOf("v2")
		both  = listOf("v1", "v2")
		other = []serverlist.Server{{ID: "o", Service: "other", SoftwareVersion: "v9"}, {ID: "i", Service: "s", SoftwareVersion: "v1"}}
		stage = append(listOf("v1"), serverlist.Server{ID: "p", Service: "s", Stage: serverlist.Prefill, SoftwareVersion: "v2"})
		drain = append(listOf("v1"), serverlist.Server{ID: "d", Service: "s", IsDraining: true, SoftwareVersion: "v2"})
	)
	repeat := func(n int, list []serverlist.Server) [][]serverlist.Server {
		var lists [][]serverlist.Server
		for range n {
			lists = append(lists, list)
		}
		return lists
	}
	join := func(parts ...[][]serverlist.Server) [][]serverlist.Server {
		var lists [][]serverlist.Server
		for _, part := range parts {
			lists = append(lists, part...)
		}
		return lists
	}
	tests := []struct {
		name string
		// lists are observed one period after another, the last one at now - after.
		lists   [][]serverlist.Server
		after   time.Duration
		window  time.Duration
		want    string
		isSole  bool
		isMixed bool
	}{
		{name: "no observation", window: window},
		{name: "one version", lists: repeat(count, v1), window: window, want: "v1", isSole: true},
		{name: "history shorter than the window", lists: repeat(count-1, v1), window: window},
		{name: "window longer than the retention", lists: repeat(4*count, v1), window: retention + 1},
		{name: "no server", lists: repeat(count, nil), window: window},
		{name: "two versions", lists: repeat(count, both), window: window, isMixed: true},
		{name: "mixed in a short history", lists: repeat(1, both), window: window, isMixed: true},
		{name: "second version appears", lists: join(repeat(count, v1), repeat(1, both)), window: window, isMixed: true},
		{name: "replaced within the window", lists: join(repeat(count, v1), repeat(count-1, v2)), window: window, isMixed: true},
		{
			// The last server of v1 may have been removed just before the observation
			// that no longer shows it.
			name: "replaced at the begin of the window", lists: join(repeat(count, v1), repeat(count, v2)), window: window, isMixed: true,
		},
		{name: "replaced before the window", lists: join(repeat(count, v1), repeat(count+1, v2)), window: window, want: "v2", isSole: true},
		{name: "removed within the window", lists: join(repeat(count, v1), repeat(2, nil)), window: window, want: "v1", isSole: true},
		{name: "removed before the window", lists: join(repeat(count, v1), repeat(count+1, nil)), window: window},
		{name: "other service", lists: repeat(count, other), window: window, want: "v1", isSole: true},
		{name: "prefill servers do not count", lists: repeat(count, stage), window: window, want: "v1", isSole: true},
		{name: "draining servers count", lists: repeat(count, drain), window: window, isMixed: true},
		{name: "servers without a version", lists: repeat(count, listOf("", "")), window: window, isSole: true},
		{name: "no observation for a short time", lists: repeat(count, v1), after: 9 * time.Second, window: window, want: "v1", isSole: true},
		{name: "no observation for a long time", lists: repeat(count, v1), after: 9*time.Second + 1, window: window},
		{name: "window after the last observation", lists: repeat(count, both), after: period, window: time.Second, isMixed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			history := streamorigin.NewHistory(retention)
			now := start
			for i, list := range tt.lists {
				if i > 0 {
					now = now.Add(period)
				}
				history.Observe(now, list)
			}
			now = now.Add(tt.after)
			if got, ok := history.Sole(now, "s", tt.window); got != tt.want || ok != tt.isSole {
				t.Errorf("sole version %q, %v; want %q, %v", got, ok, tt.want, tt.isSole)
			}
			if got := history.IsMixed(now, "s", tt.window); got != tt.isMixed {
				t.Errorf("mixed %v, want %v", got, tt.isMixed)
			}
		})
	}
}

func TestHistoryStartsAgainAfterGap(t *testing.T) {
	history := streamorigin.NewHistory(retention)
	history.Observe(start, listOf("v1"))
	now := start.Add(window)
	history.Observe(now, listOf("v1"))
	if _, ok := history.Sole(now, "s", window); ok {
		t.Error("sole version over a window without observations")
	}
	for range window / period {
		now = now.Add(period)
		history.Observe(now, listOf("v1"))
	}
	if _, ok := history.Sole(now, "s", window); !ok {
		t.Error("no sole version although the window is covered again")
	}
}

// TestSoleVersionIsTheOnlyOne changes the list at random times between observations. A
// sole version must be the only one that was listed during the window, and the window
// must be covered by observations.
func TestSoleVersionIsTheOnlyOne(t *testing.T) {
	type interval struct {
		list []serverlist.Server
		end  time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		history := streamorigin.NewHistory(retention)
		var ended []interval
		list := listOf("v1")
		now, coveredSince := start, start
		history.Observe(now, list)
		changeRate := rapid.IntRange(1, 10).Draw(t, "changeRate")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			pause := time.Duration(rapid.Int64Range(1, int64(2*period)).Draw(t, "pause"))
			if rapid.IntRange(0, 19).Draw(t, "gap") == 0 {
				pause += 9 * time.Second
				coveredSince = now.Add(pause)
			}
			if rapid.IntRange(1, 10).Draw(t, "change") <= changeRate {
				after := time.Duration(rapid.Int64Range(0, int64(pause)).Draw(t, "changeAfter"))
				ended = append(ended, interval{list, now.Add(after)})
				list = listOf(rapid.SliceOfN(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 0, 3).Draw(t, "list")...)
			}
			now = now.Add(pause)
			history.Observe(now, list)
			asked := time.Duration(rapid.Int64Range(0, int64(window)).Draw(t, "window"))
			begin := now.Add(-asked)
			listed := make(map[string]bool)
			for _, i := range append(ended[:len(ended):len(ended)], interval{list, now}) {
				for _, s := range i.list {
					if !i.end.Before(begin) {
						listed[s.SoftwareVersion] = true
					}
				}
			}
			got, ok := history.Sole(now, "s", asked)
			if ok && (history.IsMixed(now, "s", asked) || begin.Before(coveredSince)) {
				t.Fatalf("sole version %q over %v, although mixed or not covered", got, asked)
			}
			if ok && (len(listed) > 1 || (len(listed) == 1 && !listed[got])) {
				t.Fatalf("sole version %q over %v, want one of %v", got, asked, listed)
			}
			if isExpected := len(listed) == 1 && !begin.Before(coveredSince) && len(ended) == 0; isExpected && !ok {
				t.Fatalf("no sole version over %v, want %v", asked, listed)
			}
		}
	})
}

// TestMayReturn guards against streams that are refused for good while the servers of their
// version start again.
func TestMayReturn(t *testing.T) {
	const period = 10 * time.Second
	server := func(stage serverlist.Stage, isDraining bool) []serverlist.Server {
		return []serverlist.Server{{ID: "i", Service: "s", Stage: stage, SoftwareVersion: "v1", IsDraining: isDraining}}
	}
	tests := []struct {
		name  string
		lists [][]serverlist.Server
		want  bool
	}{
		{name: "never listed", lists: [][]serverlist.Server{nil}},
		{name: "listed", lists: [][]serverlist.Server{server(serverlist.Decode, false)}},
		{name: "vanished", lists: [][]serverlist.Server{server(serverlist.Decode, false), nil}, want: true},
		{name: "vanished after a drain", lists: [][]serverlist.Server{server(serverlist.Decode, false), server(serverlist.Decode, true), nil}},
		{name: "a prefill server vanished", lists: [][]serverlist.Server{server(serverlist.Prefill, false), nil}},
		{name: "changed its stage", lists: [][]serverlist.Server{server(serverlist.Decode, false), server(serverlist.Prefill, false)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, now := streamorigin.NewHistory(retention), time.Unix(1000, 0)
			for _, list := range tt.lists {
				h.Observe(now, list)
			}
			if got := h.MayReturn(now.Add(period), "s", "v1"); got != tt.want {
				t.Errorf("may return: %t, want %t", got, tt.want)
			}
			if h.MayReturn(now.Add(period+1), "s", "v1") || h.MayReturn(now, "s", "v2") || h.MayReturn(now, "other", "v1") {
				t.Error("may return after the period, at another version or in another service")
			}
		})
	}
}
