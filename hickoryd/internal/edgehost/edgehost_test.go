package edgehost_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"google.golang.org/grpc"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgehost"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// host is a host that knows one server and records the reports it receives.
type host struct {
	mu       sync.Mutex
	lost     []string
	replaced []string
	reported chan struct{}
}

func (h *host) ViewSince(_ time.Time, version, _ uint64) registry.StoreView {
	view := registry.StoreView{
		Servers:    []serverlist.Server{{ID: "s1", Service: "model", Address: netip.MustParseAddrPort("10.0.0.9:80"), Stage: serverlist.Decode, SoftwareVersion: "v1.2", Slots: 4, CreateRevision: 3}},
		HasServers: true, Revision: 7, IsStoreReachable: true, Hosts: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")},
	}
	if version < 5 {
		view.Document = []byte("{}")
	}
	return view
}

func (h *host) ReportLoss(_ time.Time, _ uint64, server string) { h.record(&h.lost, server) }

func (h *host) ReportReplaced(_ time.Time, server string) { h.record(&h.replaced, server) }

func (h *host) record(list *[]string, server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, server)
	h.reported <- struct{}{}
}

// newPair returns a host with a running gRPC server, and a client that has the host as
// its seed.
func newPair(t *testing.T) (*host, *edgehost.Client) {
	t.Helper()
	h := &host{reported: make(chan struct{}, 10)}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peerapi.RegisterEdgeServer(server, edgehost.NewServer(h, h))
	go func() { _ = server.Serve(listener) }() // ends when the test stops the server
	t.Cleanup(server.Stop)
	seeds := []netip.AddrPort{netip.MustParseAddrPort(listener.Addr().String())}
	client := edgehost.NewClient(netip.MustParseAddrPort("127.0.0.1:1"), seeds, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
	t.Cleanup(client.Close)
	return h, client
}

func TestFetch(t *testing.T) {
	_, client := newPair(t)
	for _, tt := range []struct {
		version     uint64
		hasDocument bool
	}{{version: 0, hasDocument: true}, {version: 5}} {
		got, err := client.Fetch(t.Context(), tt.version, 0)
		if err != nil {
			t.Fatal(err)
		}
		if (got.Document != nil) != tt.hasDocument || !got.HasServers || got.Revision != 7 || !got.IsStoreReachable || len(got.Hosts) != 1 {
			t.Errorf("version %d: %+v", tt.version, got)
		}
		if want := (&host{}).ViewSince(time.Time{}, 0, 0).Servers[0]; len(got.Servers) != 1 || got.Servers[0] != want {
			t.Errorf("servers %+v, want %+v", got.Servers, want)
		}
	}
}

func TestFetchWithoutHosts(t *testing.T) {
	client := edgehost.NewClient(netip.MustParseAddrPort("127.0.0.1:1"), nil, &log.Logger{Handler: discard.New()})
	if _, err := client.Fetch(t.Context(), 0, 0); err == nil {
		t.Error("Fetch without any host returned no error")
	}
}

func TestReports(t *testing.T) {
	h, client := newPair(t)
	client.ReportLoss(context.Background(), 1, "s1")
	client.ReportReplaced(context.Background(), "s2")
	<-h.reported
	<-h.reported
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.lost) != 1 || h.lost[0] != "s1" || len(h.replaced) != 1 || h.replaced[0] != "s2" {
		t.Errorf("lost %v, replaced %v; want [s1] and [s2]", h.lost, h.replaced)
	}
}
