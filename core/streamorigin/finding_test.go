package streamorigin_test

import (
	"testing"

	"github.com/hickoryfront/hickoryfront/core/streamorigin"
)

func TestMerge(t *testing.T) {
	var (
		unknown = streamorigin.Finding{}
		found   = streamorigin.Finding{IsFound: true, SoftwareVersion: "v1"}
		sole1   = streamorigin.Finding{IsSole: true, SoleVersion: "v1"}
		sole2   = streamorigin.Finding{IsSole: true, SoleVersion: "v2"}
		soleNo  = streamorigin.Finding{IsSole: true}
		mixed   = streamorigin.Finding{IsMixed: true}
	)
	tests := []struct {
		name       string
		a, b, want streamorigin.Finding
	}{
		{name: "both unknown", a: unknown, b: unknown, want: unknown},
		{name: "found by one", a: unknown, b: found, want: found},
		{name: "sole at one", a: unknown, b: sole1, want: sole1},
		{name: "sole at both", a: sole1, b: sole1, want: sole1},
		{name: "different sole versions", a: sole1, b: sole2, want: mixed},
		{name: "sole without a version and with one", a: soleNo, b: sole1, want: mixed},
		{name: "sole and mixed", a: sole1, b: mixed, want: mixed},
		{name: "found and mixed", a: found, b: mixed, want: streamorigin.Finding{IsFound: true, SoftwareVersion: "v1", IsMixed: true}},
		{name: "found and sole", a: found, b: sole2, want: streamorigin.Finding{IsFound: true, SoftwareVersion: "v1", IsSole: true, SoleVersion: "v2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.a.Merge(tt.b); got != tt.want {
				t.Errorf("a with b: %+v, want %+v", got, tt.want)
			}
			if got := tt.b.Merge(tt.a); got != tt.want {
				t.Errorf("b with a: %+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestResolve(t *testing.T) {
	tests := []struct {
		name    string
		finding streamorigin.Finding
		listed  []string
		want    string
		wantOK  bool
	}{
		{name: "found", finding: streamorigin.Finding{IsFound: true, SoftwareVersion: "v1", IsMixed: true}, listed: []string{"v2"}, want: "v1", wantOK: true},
		{name: "sole", finding: streamorigin.Finding{IsSole: true, SoleVersion: "v1"}, listed: []string{"v2"}, want: "v1", wantOK: true},
		{name: "mixed", finding: streamorigin.Finding{IsMixed: true}, listed: []string{"v2"}},
		{name: "no history, one listed", listed: []string{"v1"}, want: "v1", wantOK: true},
		{name: "no history, two listed", listed: []string{"v1", "v2"}},
		{name: "no history, none listed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, ok := tt.finding.Resolve(tt.listed); got != tt.want || ok != tt.wantOK {
				t.Errorf("version %q, %t; want %q, %t", got, ok, tt.want, tt.wantOK)
			}
		})
	}
}
