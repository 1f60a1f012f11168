package consul_test

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	client "github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickorylab/consul"
)

func service(number int, state string) consul.Service {
	return consul.Service{
		ServiceID: fmt.Sprintf("decode-%d", number), ServiceAddress: "127.0.2.1", ServicePort: 9000,
		ServiceMeta: map[string]string{"role": "decode", "state": state},
	}
}

func newServerList(t *testing.T, standIn *consul.Platform) *client.ServerList {
	t.Helper()
	server := httptest.NewServer(standIn)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return client.NewServerList(address, time.Second, metrics.NewSet())
}

func states(t *testing.T, list *client.ServerList) string {
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

// TestListWaitsForChanges checks that a client of the server list sees each change,
// although the client reads the complete list only after a change. The test guards
// against changes that are missed between two watches or during an outage of the
// platform.
//
// proof: backend server leaving | reserve | 6
func TestListWaitsForChanges(t *testing.T) {
	standIn := consul.New()
	standIn.Register(service(1, "live"))
	list := newServerList(t, standIn)
	steps := []struct {
		name   string
		before func()
		want   string
	}{
		{"first read", func() {}, "decode-1 live"},
		{"changed already", func() { standIn.Register(service(1, "leaving")) }, "decode-1 leaving"},
		{"changed during the watch", func() { time.AfterFunc(200*time.Millisecond, func() { standIn.Register(service(2, "live")) }) }, "decode-1 leaving, decode-2 live"},
		{"down", func() { standIn.SetFaults(consul.Faults{Down: true}) }, "error"},
		{"changed during the outage", func() {
			standIn.Register(service(2, "leaving"))
			standIn.SetFaults(consul.Faults{})
		}, "decode-1 leaving, decode-2 leaving"},
		{"unchanged", func() {}, "decode-1 leaving, decode-2 leaving"},
	}
	for _, step := range steps {
		step.before()
		if got := states(t, list); got != step.want {
			t.Fatalf("%s: %q, want %q", step.name, got, step.want)
		}
	}
	// The complete list is read at the start, after each change and after the outage.
	if counts := standIn.Counts(); counts.Reads != 4 || counts.Watches != 3 {
		t.Errorf("%d reads and %d watches, want 4 and 3", counts.Reads, counts.Watches)
	}
}
