package node_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/node"
)

var errDown = errors.New("down")

type (
	// fakeDaemon provides a configuration, the time of its last read, and the
	// peers. It implements all interfaces that Gate and ConfigSync use.
	fakeDaemon struct {
		revision          uint64
		read              time.Time
		contact           time.Time
		peers             []member.State
		refreshed         int
		announced         int
		fetchable         map[string]uint64
		serverListMissing bool
		platformUp        bool
	}
)

func (s *fakeDaemon) Current() *config.Document {
	d := config.NewDocument()
	d.Revision = s.revision
	return d
}
func (s *fakeDaemon) LastRead() time.Time              { return s.read }
func (s *fakeDaemon) LastContact() time.Time           { return s.contact }
func (s *fakeDaemon) Live(time.Time) []member.State    { return s.peers }
func (s *fakeDaemon) IsLoaded() bool                   { return !s.serverListMissing }
func (s *fakeDaemon) Changed() <-chan struct{}         { return nil }
func (s *fakeDaemon) ConfigAnnounced() <-chan struct{} { return nil }
func (s *fakeDaemon) SetSelf(uint64, bool)             {}
func (s *fakeDaemon) Self() member.Host                { return member.Host{Name: "a"} }
func (s *fakeDaemon) HeartbeatNow()                    { s.announced++ }
func (s *fakeDaemon) PeersWithNewerConfig(time.Time) []member.State {
	var ahead []member.State
	for _, p := range s.peers {
		if p.ConfigRevision > s.revision {
			ahead = append(ahead, p)
		}
	}
	return ahead
}

func (s *fakeDaemon) Refresh(context.Context) error {
	s.refreshed++
	if s.platformUp {
		return nil
	}
	return errDown
}

func (s *fakeDaemon) ApplyUpdate(update []byte) error {
	s.revision = max(s.revision, uint64(update[0]))
	return nil
}

func (s *fakeDaemon) Fetch(_ context.Context, from member.Host, _ uint64) ([]byte, error) {
	revision, ok := s.fetchable[from.Name]
	if !ok {
		return nil, errDown
	}
	return []byte{byte(revision)}, nil
}

func peerAt(name string, port uint16, revision uint64) member.State {
	return member.State{
		Host:           member.Host{Name: name, PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)},
		ConfigRevision: revision,
	}
}

// TestGate guards against a daemon that serves with an outdated configuration
// after its start, or while it is cut off from the platform and the peers.
//
// proof: daemon killed + platform down | config spread | 8
// proof: daemons cut off | config spread | 8
// proof: daemons cut off + platform down | config spread | 8
func TestGate(t *testing.T) {
	const isolation = 15 * time.Second
	now := time.Unix(1_000_000, 0)
	seeds := []netip.AddrPort{peerAt("b", 2, 0).Host.PeerAddress, peerAt("c", 3, 0).Host.PeerAddress}
	tests := []struct {
		name   string
		source fakeDaemon
		ready  bool
	}{
		{name: "platform read", source: fakeDaemon{revision: 5, read: now, contact: now}, ready: true},
		{name: "platform read, a peer is newer", source: fakeDaemon{revision: 5, read: now, contact: now, peers: []member.State{peerAt("b", 2, 6)}}},
		{name: "platform read, server list not", source: fakeDaemon{revision: 5, read: now, contact: now, serverListMissing: true}},
		{name: "new daemon in an outage without peers", source: fakeDaemon{read: time.Unix(0, 0)}},
		{name: "new daemon in an outage with one of two seeds", source: fakeDaemon{revision: 5, read: time.Unix(0, 0), contact: now, peers: []member.State{peerAt("b", 2, 5)}}},
		{
			name:   "new daemon in an outage with all seeds",
			source: fakeDaemon{revision: 5, read: time.Unix(0, 0), contact: now, peers: []member.State{peerAt("b", 2, 5), peerAt("c", 3, 4)}}, ready: true,
		},
		{
			name:   "new daemon in an outage that has not fetched yet",
			source: fakeDaemon{read: time.Unix(0, 0), contact: now, peers: []member.State{peerAt("b", 2, 5), peerAt("c", 3, 5)}},
		},
		{
			name:   "all daemons replaced in an outage: no host has a configuration",
			source: fakeDaemon{read: time.Unix(0, 0), contact: now, peers: []member.State{peerAt("b", 2, 0), peerAt("c", 3, 0)}},
		},
		{name: "cut off from platform and peers", source: fakeDaemon{revision: 5, read: now.Add(-isolation - 1), contact: now.Add(-isolation - 1)}},
		{name: "cut off from the platform only", source: fakeDaemon{revision: 5, read: now.Add(-time.Hour), contact: now}, ready: true},
		{name: "cut off from the peers only", source: fakeDaemon{revision: 5, read: now, contact: now.Add(-time.Hour)}, ready: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &tt.source
			gate := node.NewGate(s, s, s, seeds, isolation)
			if reason := gate.NotReadyReason(now); (reason == "") != tt.ready {
				t.Errorf("not ready because of %q, want ready %v", reason, tt.ready)
			}
			if refused := gate.Refuse(now); (refused == nil) != tt.ready || (refused != nil && refused.Ran != "no") {
				t.Errorf("refusal is %+v", refused)
			}
		})
	}
}

// TestGateAfterPause guards against a process that serves with an outdated
// configuration after a pause: the gate stays closed until the configuration has
// been compared with that of the platform or of a peer.
//
// proof: daemon paused | config spread | 8
// proof: daemon paused + platform down | config spread | 8
func TestGateAfterPause(t *testing.T) {
	tests := []struct {
		name   string
		source fakeDaemon
		ready  bool
	}{
		{name: "platform responds", source: fakeDaemon{revision: 5, platformUp: true}, ready: true},
		{name: "a peer has the same revision", source: fakeDaemon{revision: 5, peers: []member.State{peerAt("b", 2, 5)}, fetchable: map[string]uint64{"b": 5}}, ready: true},
		{name: "neither platform nor peer responds", source: fakeDaemon{revision: 5, peers: []member.State{peerAt("b", 2, 5)}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &tt.source
				s.read, s.contact = time.Now().Add(time.Hour), time.Now().Add(time.Hour)
				gate := node.NewGate(s, s, s, nil, time.Second)
				gate.Tick(time.Now())
				if reason := gate.NotReadyReason(time.Now()); reason != "" {
					t.Fatalf("not ready before the pause: %s", reason)
				}
				time.Sleep(6 * time.Second) // no call of Tick, as in a paused process
				if gate.NotReadyReason(time.Now()) == "" {
					t.Error("ready right after the pause, before any check")
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				node.NewConfigSync(s, s, s, gate).Run(ctx)
				if reason := gate.NotReadyReason(time.Now()); (reason == "") != tt.ready {
					t.Errorf("not ready because of %q, want ready %v", reason, tt.ready)
				}
			})
		})
	}
}

// TestGateOfAMinority guards against two configurations in use after a network
// partition: a minority of the fleet that can't read the platform must not serve,
// because the majority may have changed the configuration.
//
// proof: daemons cut off + platform down | config spread | 8
// proof: failure domain lost + platform down | config spread | 8
func TestGateOfAMinority(t *testing.T) {
	const isolation = 15 * time.Second
	peers := func(n int) []member.State {
		var states []member.State
		for i := range n {
			states = append(states, peerAt(fmt.Sprint("host-", i), uint16(i+1), 5))
		}
		return states
	}
	tests := []struct {
		name       string
		before     int // live hosts before the partition
		after      int // live hosts after it
		platformUp bool
		wait       time.Duration // since the partition
		ready      bool
	}{
		{name: "majority in an outage", before: 7, after: 4, wait: time.Hour, ready: true},
		{name: "half in an outage", before: 4, after: 2, wait: time.Hour, ready: true},
		{name: "minority in an outage, within the isolation time", before: 7, after: 3, wait: isolation, ready: true},
		{name: "minority in an outage", before: 7, after: 3, wait: isolation + 1},
		{name: "minority in a long outage", before: 7, after: 3, wait: time.Hour},
		{name: "minority that reads the platform", before: 7, after: 3, wait: time.Hour, platformUp: true, ready: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			s := &fakeDaemon{revision: 5, read: now, contact: now, peers: peers(tt.before)}
			gate := node.NewGate(s, s, s, nil, isolation)
			gate.UpdateMinority(now)
			s.peers = peers(tt.after)
			gate.UpdateMinority(now)
			now = now.Add(tt.wait)
			s.contact = now
			if tt.platformUp {
				s.read = now
			}
			gate.UpdateMinority(now)
			if reason := gate.NotReadyReason(now); (reason == "") != tt.ready {
				t.Errorf("not ready because of %q, want ready %v", reason, tt.ready)
			}
		})
	}
}

// TestConfigSync guards against a daemon that stays behind its peers: it fetches
// the newest revision from a live peer, tries the next peer if one does not
// respond, and reads the platform if none does.
//
// proof: platform down | config spread | 8
// proof: daemon paused | config spread | 8
func TestConfigSync(t *testing.T) {
	tests := []struct {
		name          string
		source        fakeDaemon
		want          uint64
		wantRefreshes bool
	}{
		{name: "no peer is ahead", source: fakeDaemon{revision: 5, peers: []member.State{peerAt("b", 2, 4)}}, want: 5},
		{name: "a peer is ahead", source: fakeDaemon{revision: 5, peers: []member.State{peerAt("b", 2, 7)}, fetchable: map[string]uint64{"b": 7}}, want: 7},
		{
			name:   "the newest peer is paused, the next one responds",
			source: fakeDaemon{revision: 5, peers: []member.State{peerAt("b", 2, 7), peerAt("c", 3, 6)}, fetchable: map[string]uint64{"c": 6}}, want: 6,
			wantRefreshes: true,
		},
		{name: "no peer responds: the platform is read", source: fakeDaemon{revision: 5, peers: []member.State{peerAt("b", 2, 7)}}, want: 5, wantRefreshes: true},
		{name: "a peer responds with an older revision", source: fakeDaemon{revision: 5, peers: []member.State{peerAt("b", 2, 7)}, fetchable: map[string]uint64{"b": 3}}, want: 5, wantRefreshes: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &tt.source
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				node.NewConfigSync(s, s, s, node.NewGate(s, s, s, nil, time.Second)).Run(ctx)
				if s.revision != tt.want {
					t.Errorf("revision is %d, want %d", s.revision, tt.want)
				}
				if (s.refreshed > 0) != tt.wantRefreshes {
					t.Errorf("the platform was read %d times", s.refreshed)
				}
				if s.announced == 0 {
					t.Error("the revision was not announced immediately")
				}
			})
		})
	}
}
