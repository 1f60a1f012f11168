package platform_test

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	client "github.com/hickoryfront/hickoryfront/hickoryd/platform"
	"github.com/hickoryfront/hickoryfront/hickorylab/platform"
)

func entry(number int, state string) platform.Service {
	return platform.Service{
		ServiceID: fmt.Sprintf("decode-%d", number), ServiceAddress: "127.0.2.1", ServicePort: 9000,
		ServiceMeta: map[string]string{"role": "decode", "state": state},
	}
}

func listOf(t *testing.T, stand *platform.Platform) *client.HostList {
	t.Helper()
	server := httptest.NewServer(stand)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return client.NewHostList(address, time.Second, metrics.NewSet())
}

func states(t *testing.T, list *client.HostList) string {
	t.Helper()
	servers, _, err := list.Servers(t.Context())
	if err != nil {
		return "error"
	}
	var text []string
	for _, s := range servers {
		text = append(text, s.ID+" "+string(s.State))
	}
	return strings.Join(text, ", ")
}

// TestListWaitsForChanges checks that a reader sees each change although it
// reads the list only when that changes.
//
// proof: backend server leaving | reserve | 6
func TestListWaitsForChanges(t *testing.T) {
	stand := platform.New()
	stand.Register(entry(1, "live"))
	list := listOf(t, stand)
	steps := []struct {
		name   string
		before func()
		want   string
	}{
		{"first read", func() {}, "decode-1 live"},
		{"changed already", func() { stand.Register(entry(1, "leaving")) }, "decode-1 leaving"},
		{"changed while it waits", func() { time.AfterFunc(200*time.Millisecond, func() { stand.Register(entry(2, "live")) }) }, "decode-1 leaving, decode-2 live"},
		{"down", func() { stand.SetFaults(platform.Faults{Down: true}) }, "error"},
		{"changed while it was down", func() {
			stand.Register(entry(2, "leaving"))
			stand.SetFaults(platform.Faults{})
		}, "decode-1 leaving, decode-2 leaving"},
		{"unchanged", func() {}, "decode-1 leaving, decode-2 leaving"},
	}
	for _, step := range steps {
		step.before()
		if got := states(t, list); got != step.want {
			t.Fatalf("%s: %q, want %q", step.name, got, step.want)
		}
	}
	// Read whole: at first, after each change and after the outage.
	if counts := stand.Counts(); counts.Reads != 4 || counts.Watches != 3 {
		t.Errorf("%d reads and %d watches, want 4 and 3", counts.Reads, counts.Watches)
	}
}
