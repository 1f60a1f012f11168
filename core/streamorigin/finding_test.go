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

func storedOf(versions ...string) *streamorigin.Stored {
	return &streamorigin.Stored{Record: &streamorigin.Record{Versions: versions, IsComplete: true}}
}

func TestResolve(t *testing.T) {
	tests := []struct {
		name    string
		finding streamorigin.Finding
		stored  *streamorigin.Stored
		isAlone bool // whether no other host was heard
		want    string
		wantOK  bool
	}{
		{name: "found", finding: streamorigin.Finding{IsFound: true, SoftwareVersion: "v1", IsMixed: true}, stored: storedOf("v2"), want: "v1", wantOK: true},
		{name: "found in the store", finding: streamorigin.Finding{IsMixed: true}, stored: &streamorigin.Stored{IsFound: true, SoftwareVersion: "v1"}, want: "v1", wantOK: true},
		{name: "sole, store not read", finding: streamorigin.Finding{IsSole: true, SoleVersion: "v1"}, want: "v1", wantOK: true},
		{name: "sole, neither store nor other hosts heard", finding: streamorigin.Finding{IsSole: true, SoleVersion: "v1"}, isAlone: true},
		{name: "sole, store read, no other host heard", finding: streamorigin.Finding{IsSole: true, SoleVersion: "v1"}, stored: storedOf("v1"), isAlone: true, want: "v1", wantOK: true},
		{name: "found here, nothing else heard", finding: streamorigin.Finding{IsFound: true, SoftwareVersion: "v1"}, isAlone: true, want: "v1", wantOK: true},
		{name: "sole, no record", finding: streamorigin.Finding{IsSole: true, SoleVersion: "v1"}, stored: &streamorigin.Stored{}, want: "v1", wantOK: true},
		{name: "sole in lists of servers that are out of date", finding: streamorigin.Finding{IsSole: true, SoleVersion: "v1"}, stored: storedOf("v1", "v2")},
		{name: "sole here, another version recorded", finding: streamorigin.Finding{IsSole: true, SoleVersion: "v1"}, stored: storedOf("v2")},
		{name: "mixed", finding: streamorigin.Finding{IsMixed: true}, stored: storedOf("v2")},
		{name: "no history, store not read"},
		{name: "no history, no record", stored: &streamorigin.Stored{}},
		{name: "no history, one version recorded", stored: storedOf("v1"), want: "v1", wantOK: true},
		{name: "no history, two versions recorded", stored: storedOf("v1", "v2")},
		{name: "no history, incomplete record", stored: &streamorigin.Stored{Record: &streamorigin.Record{Versions: []string{"v1"}}}},
		{name: "no history, record of an older era", stored: &streamorigin.Stored{Era: 2, Record: &streamorigin.Record{Versions: []string{"v1"}, IsComplete: true, Era: 1}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, ok := tt.finding.Resolve(tt.stored, !tt.isAlone); got != tt.want || ok != tt.wantOK {
				t.Errorf("version %q, %t; want %q, %t", got, ok, tt.want, tt.wantOK)
			}
		})
	}
}
