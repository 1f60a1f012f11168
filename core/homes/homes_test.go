package homes_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/homes"
)

// TestRetention guards against homes that move when registrations lapse in an outage, and
// against hosts that stay homes after they have gone.
func TestRetention(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	set := homes.New()
	steps := []struct {
		seconds   int
		hosts     []netip.AddrPort
		isChanged bool
		want      int
	}{
		{0, []netip.AddrPort{a, b}, true, 2},
		{100, []netip.AddrPort{a, b}, false, 2},
		{110, []netip.AddrPort{a}, false, 2}, // b was last seen at 100
		{139, []netip.AddrPort{a}, false, 2},
		{141, []netip.AddrPort{a}, true, 1},
		{150, []netip.AddrPort{a, b}, true, 2},
		{189, nil, false, 2},
		{191, nil, true, 0},
	}
	for _, step := range steps {
		if isChanged := set.Observe(start.Add(time.Duration(step.seconds)*time.Second), step.hosts); isChanged != step.isChanged {
			t.Errorf("after %d s: changed %v", step.seconds, isChanged)
		}
		if homes := set.Of("key", 3); len(homes) != step.want || set.Len() != step.want {
			t.Errorf("after %d s: homes %v, want %d", step.seconds, homes, step.want)
		}
	}
}
