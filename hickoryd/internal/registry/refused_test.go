package registry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/storereader"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/idletimeout"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/platform"
)

// refusedPeers are readers that have in force a document which this host can't decode.
type refusedPeers struct {
	fleetPeers
	fetches atomic.Int64
}

func (p *refusedPeers) FetchConfigurationFrom(context.Context, netip.AddrPort, uint64) ([]byte, error) {
	p.fetches.Add(1)
	return []byte(`{"version":2,"routes":[{"public":"yes"}]}`), nil
}

func (p *refusedPeers) Follow(ctx context.Context, address netip.AddrPort, position serverlist.Position, period time.Duration, receive func(registry.Update) error) error {
	return p.fleetPeers.Follow(ctx, address, position, period, func(update registry.Update) error {
		update.ConfigVersion = 2
		return receive(update)
	})
}

// TestRefusedDocumentOfReader guards against a host that fetches a document over and over without
// a pause, because the reader that it follows has it in force and this host can't decode it: the
// reader may have another version.
func TestRefusedDocumentOfReader(t *testing.T) {
	f := newFleet(t)
	var self storereader.Host
	for _, h := range f.all {
		if readers := storereader.RoleOf(h, f.all).Follows; len(readers) > 0 {
			self = h
			f.start(t, storereader.Host{Address: readers[0], FailureDomain: "z"})
			f.start(t, storereader.Host{Address: readers[1], FailureDomain: "z"})
			break
		}
	}
	server := httptest.NewServer(f.handler(self.Address))
	t.Cleanup(server.Close)
	p := &refusedPeers{fleetPeers: fleetPeers{fleet: f}}
	r := registry.New(registry.Options{
		Self: platform.Host{Name: "h", Peer: self.Address, FailureDomain: "z"}, Poll: followPoll, Timeout: followTimeout,
	}, platform.NewStore(&http.Client{Transport: idletimeout.NewTransport(&http.Transport{}, followTimeout)}, netip.MustParseAddrPort(server.Listener.Addr().String())),
		p, &log.Logger{Handler: discard.New()}, metrics.NewSet())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go r.RunServers(ctx)
	go r.RunConfiguration(ctx)
	go r.RunHosts(ctx)
	await(t, "the host fetches the document", func() bool { return p.fetches.Load() > 0 })
	before := p.fetches.Load()
	time.Sleep(time.Second)
	if n := p.fetches.Load() - before; n > 4 {
		t.Errorf("%d fetches in a second, want a pause between them", n)
	}
}
