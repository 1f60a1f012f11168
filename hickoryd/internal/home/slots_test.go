package home_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/home"
)

type (
	// alone is the membership of the only daemon of a fleet, which is the home of
	// every server.
	alone struct{}

	// listed is a directory with a fixed server list.
	listed []backend.Server

	// countedEngines counts the load reads of each server.
	countedEngines struct {
		mu    sync.Mutex
		reads map[string]int
	}

	// noCancels is a canceller that does nothing.
	noCancels struct{}
)

func (alone) Self() member.Host                         { return member.Host{Name: "host-1"} }
func (alone) HomeHosts(time.Time) *rendezvous.HostSet   { return rendezvous.New([]string{"host-1"}) }
func (alone) IsAlive(time.Time, string, uint64) bool    { return true }
func (l listed) Version() uint64                        { return 1 }
func (l listed) Servers() []backend.Server              { return l }
func (listed) ObserveLoad(backend.Load)                 {}
func (noCancels) Cancel(backend.Server, string, func()) {}

func (e *countedEngines) Load(_ context.Context, server backend.Server) (backend.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reads[server.ID]++
	return backend.Load{ServerID: server.ID, ObservedAt: time.Now(), SlotsTotal: 20}, nil
}

// TestLoadReadsAreBounded checks that a home of many servers reads the loads of all of
// them in rotation, within a fixed total rate.
func TestLoadReadsAreBounded(t *testing.T) {
	const period, maxPerSecond, perInterval = 60, 30, 6 // an interval starts at the beginning and at the end of the period
	tests := map[string]struct{ servers, wantEach int }{
		"5 servers, one interval reads all": {5, 5 * period},
		"33 servers in rotation":            {33, period * 9 / 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var servers listed
				for i := range test.servers {
					servers = append(servers, backend.Server{ID: fmt.Sprintf("decode-%02d", i), Role: backend.RoleDecode, State: backend.StateLive, Slots: 20})
				}
				engines := &countedEngines{reads: map[string]int{}}
				logger := &log.Logger{Handler: json.New(io.Discard), Level: log.InfoLevel}
				slots := home.NewSlots(servers, engines, noCancels{}, logger, metrics.NewSet())
				slots.SetMembership(alone{})
				ctx, cancel := context.WithTimeout(t.Context(), period*time.Second)
				defer cancel()
				slots.Run(ctx)
				total := 0
				for id, reads := range engines.reads {
					total += reads
					if reads < test.wantEach {
						t.Errorf("%s was read %d times in %d s, want %d", id, reads, period, test.wantEach)
					}
				}
				if total > maxPerSecond*period+perInterval || len(engines.reads) != test.servers {
					t.Errorf("%d reads of %d servers in %d s", total, len(engines.reads), period)
				}
			})
		})
	}
}

// changingMembership is the membership of a daemon beside which another one can fail
// and restart.
type changingMembership struct {
	alone
	mu    sync.Mutex
	homes *rendezvous.HostSet
}

func (s *changingMembership) HomeHosts(time.Time) *rendezvous.HostSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.homes
}

func (s *changingMembership) set(hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.homes = rendezvous.New(hosts)
}

// TestTrackedServersFollowMembership checks that a daemon takes over the servers of a failed one,
// and stops tracking them when the failed daemon has restarted.
//
// proof: daemon killed | reserve | 1
func TestTrackedServersFollowMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const settle = 2 * time.Second
		var servers listed
		for i := range 30 {
			servers = append(servers, backend.Server{ID: fmt.Sprintf("decode-%02d", i), Role: backend.RoleDecode, State: backend.StateLive, Slots: 20})
		}
		fleet := &changingMembership{}
		logger := &log.Logger{Handler: json.New(io.Discard), Level: log.InfoLevel}
		slots := home.NewSlots(servers, &countedEngines{reads: map[string]int{}}, noCancels{}, logger, metrics.NewSet())
		slots.SetMembership(fleet)
		fleet.set("host-1", "host-2")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go slots.Run(ctx)
		time.Sleep(settle)
		shared := len(slots.LocalLoads(time.Now()))
		fleet.set("host-1")
		time.Sleep(settle)
		all := len(slots.LocalLoads(time.Now()))
		fleet.set("host-1", "host-2")
		time.Sleep(settle)
		again := len(slots.LocalLoads(time.Now()))
		if shared == 0 || shared >= all || all != len(servers) || again != shared {
			t.Errorf("%d servers tracked beside another daemon, %d alone and %d after its restart; %d are listed", shared, all, again, len(servers))
		}
	})
}
