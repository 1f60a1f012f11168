package room_test

import (
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/room"
)

// snapshots is a registry whose snapshot a test sets.
type snapshots struct {
	list
	current atomic.Pointer[registry.Snapshot]
}

func (s *snapshots) Servers() *registry.Snapshot { return s.current.Load() }

// TestOlderServerList guards against a home that forgets its grants at a new server because an ask
// that began before the server was listed takes effect later.
func TestOlderServerList(t *testing.T) {
	self := netip.MustParseAddrPort("127.0.0.10:82")
	older := &registry.Snapshot{Version: 1, Servers: []serverlist.Server{{ID: "a", Service: service, Slots: slots}}}
	newer := &registry.Snapshot{Version: 2, Servers: append(older.Servers, serverlist.Server{ID: "b", Service: service, Slots: slots})}
	s := &snapshots{list: list{hosts: []netip.AddrPort{self}}}
	rooms := room.New(t.Context(), room.Options{Self: self}, s, nil, &log.Logger{Handler: discard.New()}, metrics.NewSet())
	for i, snapshot := range []*registry.Snapshot{newer, older, newer} {
		s.current.Store(snapshot)
		ask := newAsk(waitTimeout)
		if i == 0 {
			ask.Excluded = []string{"a"}
		}
		if _, err := rooms.Acquire(t.Context(), ask); err != nil {
			t.Fatal(err)
		}
	}
	var described hoststate.State
	rooms.Describe(&described)
	granted := 0
	for _, server := range described.Rooms[0].Servers {
		granted += server.Granted
	}
	if granted != 3 {
		t.Errorf("the home has %d grants, want 3: %+v", granted, described.Rooms[0].Servers)
	}
}
