package serverlimit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/serverlimit"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func limited(rate, seconds float64) serverlimit.Statement {
	return serverlimit.Statement{Server: "s", IsLimited: true, Rate: rate, At: at(seconds), Since: at(seconds)}
}

func unlimited(seconds float64) serverlimit.Statement {
	return serverlimit.Statement{Server: "s", At: at(seconds)}
}

func ofIncarnation(s serverlimit.Statement, started float64) serverlimit.Statement {
	s.ServerStarted = at(started)
	return s
}

func TestTable(t *testing.T) {
	tests := []struct {
		name       string
		statements []serverlimit.Statement
		want       []serverlimit.Change
		// rate is the limit in the end, or 0 without one.
		rate  float64
		since time.Time
	}{
		{name: "no limit was stated", statements: []serverlimit.Statement{unlimited(1)}, want: []serverlimit.Change{serverlimit.Unchanged}},
		{name: "a limit", statements: []serverlimit.Statement{limited(2, 1), limited(2, 2)}, want: []serverlimit.Change{serverlimit.Began, serverlimit.Unchanged}, rate: 2, since: at(1)},
		{name: "another rate", statements: []serverlimit.Statement{limited(2, 1), limited(3, 2)}, want: []serverlimit.Change{serverlimit.Began, serverlimit.RateChanged}, rate: 3, since: at(1)},
		{name: "an older statement", statements: []serverlimit.Statement{limited(2, 2), limited(3, 1)}, want: []serverlimit.Change{serverlimit.Began, serverlimit.Unchanged}, rate: 2, since: at(2)},
		{name: "the limit ends", statements: []serverlimit.Statement{limited(2, 1), unlimited(2)}, want: []serverlimit.Change{serverlimit.Began, serverlimit.Ended}},
		{name: "a response to an earlier request does not end it", statements: []serverlimit.Statement{limited(2, 2), unlimited(1)}, want: []serverlimit.Change{serverlimit.Began, serverlimit.Unchanged}, rate: 2, since: at(2)},
		{name: "an older limit does not come back", statements: []serverlimit.Statement{limited(2, 1), unlimited(3), limited(2, 2)}, want: []serverlimit.Change{serverlimit.Began, serverlimit.Ended, serverlimit.Unchanged}},
		{name: "a limit begins again", statements: []serverlimit.Statement{limited(2, 1), unlimited(2), limited(1, 3)}, want: []serverlimit.Change{serverlimit.Began, serverlimit.Ended, serverlimit.Began}, rate: 1, since: at(3)},
		{name: "another host has heard it earlier", statements: []serverlimit.Statement{limited(2, 2), {Server: "s", IsLimited: true, Rate: 2, At: at(3), Since: at(1)}}, want: []serverlimit.Change{serverlimit.Began, serverlimit.Unchanged}, rate: 2, since: at(1)},
		{name: "the next incarnation has none", statements: []serverlimit.Statement{ofIncarnation(limited(2, 2), 0), ofIncarnation(unlimited(1), 1)}, want: []serverlimit.Change{serverlimit.Began, serverlimit.Unchanged}},
		{name: "the next incarnation has another", statements: []serverlimit.Statement{ofIncarnation(limited(2, 2), 0), ofIncarnation(limited(5, 3), 1)}, want: []serverlimit.Change{serverlimit.Began, serverlimit.Began}, rate: 5, since: at(3)},
		{name: "an earlier incarnation", statements: []serverlimit.Statement{ofIncarnation(limited(2, 2), 1), ofIncarnation(limited(5, 3), 0)}, want: []serverlimit.Change{serverlimit.Began, serverlimit.Unchanged}, rate: 2, since: at(2)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := serverlimit.NewTable()
			var got []serverlimit.Change
			for _, s := range tt.statements {
				got = append(got, table.Update(s))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("changes (-want +got):\n%s", diff)
			}
			s, ok := table.Limit("s")
			if ok != (tt.rate > 0) || ok && (s.Rate != tt.rate || !s.Since.Equal(tt.since)) {
				t.Errorf("limit %v of %v since %v, want %v since %v", ok, s.Rate, s.Since, tt.rate, tt.since)
			}
		})
	}
}

func TestRetain(t *testing.T) {
	tests := []struct {
		name    string
		servers []serverlist.Server
		now     float64
		want    bool
	}{
		{name: "listed", servers: []serverlist.Server{{ID: "s", StartedAt: at(0)}}, now: 1000, want: true},
		{name: "listed without the time of its start", servers: []serverlist.Server{{ID: "s"}}, now: 1000, want: true},
		{name: "started again", servers: []serverlist.Server{{ID: "s", StartedAt: at(5)}}, now: 6},
		{name: "registration has just lapsed", now: 60, want: true},
		{name: "gone", now: 1000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := serverlimit.NewTable()
			table.Update(ofIncarnation(limited(2, 1), 0))
			table.Retain(at(tt.now), tt.servers)
			if _, ok := table.Limit("s"); ok != tt.want {
				t.Errorf("limit kept: %v, want %v", ok, tt.want)
			}
		})
	}
}
