package edge_test

import (
	"strings"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/quota"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edge"
)

const validSettings = `[host]
name = h1
failureDomain = z1
[listen]
caller = 10.1.0.1:80
ready = 10.1.0.1:81
peer = 10.1.0.1:82
operator = 10.1.0.1:9464
[store]
address = 10.200.1.7:8142
drainTimeout = 2000ms
[peers]
seeds = 10.1.0.2:82,10.1.0.3:82
`

func TestParseSettings(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string // parts of the error
	}{
		{name: "valid", text: validSettings},
		{name: "all wrong keys at once", text: strings.Replace(strings.Replace(validSettings, "10.1.0.1:80", "nowhere", 1), "2000ms", "soon", 1), want: []string{"caller", "drainTimeout"}},
		{name: "unknown key", text: validSettings + "[host2]\nx = 1\n", want: []string{"host2"}},
		{name: "drain timeout too short", text: strings.Replace(validSettings, "2000ms", "1100ms", 1), want: []string{"drainTimeout"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := edge.ParseSettings([]byte(tt.text))
			if (err != nil) != (len(tt.want) > 0) {
				t.Fatalf("error %v", err)
			}
			for _, part := range tt.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q does not name %s", err, part)
				}
			}
		})
	}
}

// A drain is noticed after a poll interval, a read of the store that times out and a
// fetch from other hosts at the latest. These must fit into the drain timeout.
func TestStorePollFitsTheDrainTimeout(t *testing.T) {
	s, err := edge.ParseSettings([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	const jitter, fetchTime = 1.125, 250 * time.Millisecond
	if longest := time.Duration(jitter*float64(s.StorePoll())) + s.StoreTimeout + fetchTime; longest > s.DrainTimeout {
		t.Errorf("a drain may be noticed only after %v, later than the drain timeout", longest)
	}
}

// TestQuotaBounds guards against bounds of quotas that the daemon does not get, and against a
// daemon that admits requests beyond quotas although the platform states no bounds.
func TestQuotaBounds(t *testing.T) {
	tests := []struct {
		name, text string
		want       quota.Bounds
	}{
		{name: "none", want: quota.Bounds{Window: 8 * time.Second}},
		{name: "bounds", text: "[quota]\nwindow = 4s\novershoot = 0.1\nslack = 140000\n", want: quota.Bounds{Window: 4 * time.Second, Overshoot: 0.1, Slack: 140_000}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := edge.ParseSettings([]byte(validSettings + tt.text))
			if err != nil || s.Quota != tt.want {
				t.Errorf("bounds %+v, error %v", s.Quota, err)
			}
		})
	}
}

// TestSetQuotaBounds guards against bounds that are lost or misread, with which hosts without homes
// would admit nothing or too much.
func TestSetQuotaBounds(t *testing.T) {
	standard := quota.Bounds{Window: 8 * time.Second}
	tests := []struct {
		text    string
		want    quota.Bounds
		isValid bool
	}{
		{text: "", want: standard, isValid: true},
		{text: ",,", want: standard, isValid: true},
		{text: "4,0.1,140000", want: quota.Bounds{Window: 4 * time.Second, Overshoot: 0.1, Slack: 140_000}, isValid: true},
		{text: "4,0.1"},
		{text: "4,much,1"},
		{text: "0,0.1,1"},
		{text: "4,-1,1"},
	}
	for _, tt := range tests {
		s, err := edge.ParseSettings([]byte(validSettings))
		if err != nil {
			t.Fatal(err)
		}
		err = s.SetQuotaBounds(tt.text)
		if (err == nil) != tt.isValid || tt.isValid && s.Quota != tt.want {
			t.Errorf("%q: bounds %+v, error %v", tt.text, s.Quota, err)
		}
	}
}
