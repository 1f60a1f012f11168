package requestlog_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/hickory/internal/requestlog"
)

const log = `
  1.2 host-b {"fields":{"host":"host-b","server":"s1"},"level":"info","timestamp":"2026-05-07T05:31:50.5Z","message":"backend server removed"}
{"fields":{"host":"host-a","server":"s1"},"level":"info","timestamp":"2026-05-07T05:31:40.5Z","message":"backend server registered"}
{"fields":{"host":"host-a","server":"s1"},"level":"info","timestamp":"2026-05-07T05:31:50.5Z","message":"backend server removed"}
{"fields":{"host":"host-a","server":"s9"},"level":"info","timestamp":"2026-05-07T05:31:50.5Z","message":"backend server removed"}
{"fields":{"age":"2s","host":"host-a","request":"r1","server":"s1","error":"refused"},"level":"info","timestamp":"2026-05-07T05:31:50.2Z","message":"prefill attempt failed"}
{"fields":{"host":"host-a","request":"r2"},"level":"info","timestamp":"2026-05-07T05:31:50.3Z","message":"prefill attempt failed"}
not a line of ours
{"fields":{"host":"host-a","request":"r1","room":"1.1s","prompt":"1.3s","first":"1.35s","longestGap":"90ms"},"level":"info","timestamp":"2026-05-07T05:31:51Z","message":"stream ended"}
{"fields":{"host":"host-a","request":"r1","outcome":"answered","status":200,"took":"3s"},"level":"info","timestamp":"2026-05-07T05:31:51Z","message":"request ended"}
`

func read(t *testing.T, id, text string) requestlog.Report {
	t.Helper()
	r := requestlog.NewReader(id)
	if err := r.Read(strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	return r.Report()
}

func TestReport(t *testing.T) {
	report := read(t, "r1", log)
	var got []string
	for _, l := range report.Lines {
		got = append(got, l.Text("host")+" "+l.Message)
	}
	want := []string{"host-a prefill attempt failed", "host-a backend server removed", "host-a stream ended", "host-a request ended"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if report.Skipped != 2 { // an empty line and one that no host wrote
		t.Errorf("%d lines skipped, want 2", report.Skipped)
	}
}

func TestSummary(t *testing.T) {
	line := func(message, fields string) string {
		return `{"fields":{"request":"r1",` + fields + `},"timestamp":"2026-05-07T05:31:51Z","message":"` + message + "\"}\n"
	}
	tests := []struct {
		name string
		log  string
		want string
	}{
		{name: "unknown", want: "no line names this request"},
		{name: "running", log: line("prefill attempt failed", `"server":"s1"`), want: "had not ended"},
		{name: "refused", log: line("request ended", `"outcome":"failed","status":503,"took":"0.7s","reason":"503: no room"`), want: "failed with status 503 after 0.7s: 503: no room"},
		{name: "delayed by memory", log: log, want: "first event after 1.35s, of which waiting for memory at a decode server took 1.1s"},
		{name: "delayed by prefill", log: line("stream ended", `"room":"5ms","prompt":"1.3s","first":"1.35s"`), want: "having its prompt read took 1.295s"},
		{name: "no event", log: line("stream ended", `"room":"5ms","prompt":"","first":""`), want: "it had no event; waiting for memory"},
		{name: "no decode server", log: line("stream ended", `"room":""`), want: "no decode server was found"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := read(t, "r1", tt.log).Summary(); !strings.Contains(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func TestReadTooLongLine(t *testing.T) {
	err := requestlog.NewReader("r1").Read(strings.NewReader(strings.Repeat("x", 2<<20)))
	if !errors.Is(err, requestlog.ErrTooLong) {
		t.Errorf("got %v, want ErrTooLong", err)
	}
}
