package reportburn_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/burn"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/reportburn"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/root"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
)

var now = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

type reader struct {
	report burn.Report
	err    error
}

func (r reader) BurnReport(context.Context) (burn.Report, error) { return r.report, r.err }

func sampleReport() burn.Report {
	tracker := burn.NewTracker()
	for i := range 20 {
		tracker.Record(now, burn.Key{Service: "cart", FailureDomain: "howrah", Objective: burn.Response}, 0.99, i%2 == 0)
		tracker.Record(now, burn.Key{Service: "catalogue", FailureDomain: "<howrah>", Objective: burn.FirstToken}, 0.95, true)
	}
	return burn.Merge(now, []burn.HostSnapshot{
		{Host: "host-1", FailureDomain: "howrah", Alive: true, Source: burn.SourceLive, Snapshot: burn.Snapshot{Series: tracker.Series(), TakenAt: now}},
		{Host: "host-2", FailureDomain: "behala", Alive: true, Source: burn.SourceMissing},
		{Host: "host-3", FailureDomain: "behala", Source: burn.SourceSnapshot, Snapshot: burn.Snapshot{TakenAt: now.Add(-time.Minute)}},
	}, false)
}

func TestRun(t *testing.T) {
	page := filepath.Join(t.TempDir(), "burn.html")
	tests := map[string]struct {
		options reportburn.Options
		file    string
		want    []string
		absent  string
	}{
		"table": {options: reportburn.Options{}, want: []string{
			"SERVICE", "cart       answer", "50.00", "fast", "did not answer: host-2", "stored 1m0s ago, host gone", "The platform did not answer",
		}},
		"one service": {options: reportburn.Options{Service: "catalogue"}, want: []string{"catalogue"}, absent: "cart"},
		"page": {options: reportburn.Options{HTML: page}, file: page, want: []string{
			"<svg", "cart: answer", "Host host-2 did not answer", "&lt;howrah&gt;",
		}, absent: "http-equiv"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			test.options.Out = &out
			if err := reportburn.Run(t.Context(), &test.options, reader{report: sampleReport()}); err != nil {
				t.Fatal(err)
			}
			text := out.String()
			if test.file != "" {
				data, err := os.ReadFile(test.file)
				if err != nil {
					t.Fatal(err)
				}
				text = string(data)
			}
			for _, want := range test.want {
				if !strings.Contains(text, want) {
					t.Errorf("%q is missing in:\n%.3000s", want, text)
				}
			}
			if test.absent != "" && strings.Contains(text, test.absent) {
				t.Errorf("%q is in:\n%.3000s", test.absent, text)
			}
		})
	}
}

func TestRunJSON(t *testing.T) {
	var out bytes.Buffer
	if err := reportburn.Run(t.Context(), &reportburn.Options{Out: &out, JSON: true}, reader{report: sampleReport()}); err != nil {
		t.Fatal(err)
	}
	var got burn.Report
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Rows) != 4 || got.Rows[0].Alarm != burn.AlarmFast || got.PlatformRead {
		t.Errorf("decoded report: %+v", got)
	}
}

func TestFailuresAndUsage(t *testing.T) {
	failure := errors.New("daemon unreachable")
	if err := reportburn.Run(t.Context(), &reportburn.Options{Out: &bytes.Buffer{}}, reader{err: failure}); !errors.Is(err, failure) {
		t.Errorf("error %v, want the reader's", err)
	}
	for _, args := range [][]string{{"report", "burn", "--json", "--html", "x"}, {"report", "burn", "extra"}, {"report", "burn", "--no-such-flag"}} {
		streams := factory.Streams{In: &bytes.Buffer{}, Out: &bytes.Buffer{}, Err: &bytes.Buffer{}}
		f := &factory.Factory{Streams: streams, Getenv: func(string) string { return "" }}
		if code := root.Run(t.Context(), f, args); code != 2 {
			t.Errorf("%v: exit code %d, want 2", args, code)
		}
	}
}
