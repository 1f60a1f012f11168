package serverpath_test

import (
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverpath"
)

var start = time.Unix(1_700_000_000, 0)

func TestRecord(t *testing.T) {
	tests := []struct {
		name             string
		tried, connected int
		want             bool
	}{
		{name: "no server accepts", tried: 2, want: true},
		{name: "one server accepts", tried: 2, connected: 1},
		{name: "the service has no server"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := serverpath.NewTable()
			if !table.Begin(start, "s") {
				t.Fatal("first check not begun")
			}
			isLost, isChanged := table.Record(start, "s", tt.tried, tt.connected)
			if isLost != tt.want || isChanged != tt.want || table.IsLost("s") != tt.want || table.IsLost("other") {
				t.Errorf("lost %v, changed %v; want %v", isLost, isChanged, tt.want)
			}
			if tt.want {
				if isLost, isChanged = table.Record(start, "s", 1, 1); isLost || !isChanged || table.Lost() != 0 {
					t.Errorf("lost %v, changed %v after a server accepts; want false, true", isLost, isChanged)
				}
			}
		})
	}
}

// TestBegin guards against checks of a service that run at the same time or follow each other
// closely, since each connection to a server has a cost.
func TestBegin(t *testing.T) {
	table := serverpath.NewTable()
	if !table.Begin(start, "s") || table.Begin(start.Add(time.Minute), "s") {
		t.Error("want one check at a time")
	}
	if !table.Begin(start, "other") {
		t.Error("a check of another service not begun")
	}
	table.Record(start, "s", 1, 1)
	if table.Begin(start.Add(500*time.Millisecond), "s") || !table.Begin(start.Add(time.Second), "s") {
		t.Error("want a second between two checks")
	}
	table.Record(start.Add(time.Second), "s", 1, 0)
	if table.Begin(start.Add(time.Minute), "s") {
		t.Error("a second check begun while the first one goes on")
	}
}
