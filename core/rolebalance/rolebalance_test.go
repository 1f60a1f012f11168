package rolebalance_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/rolebalance"
)

const backlogTarget = time.Second

var (
	start   = time.Unix(1000, 0)
	options = rolebalance.Options{Hold: time.Minute, Cooldown: 10 * time.Minute, MinServers: 2, HighPressure: 0.9, LowPressure: 0.5}
)

// pool returns servers of one model, each decode server with used of its 20 slots in
// use, and each prefill server with about the given backlog.
func pool(prefills, decodes, used int, backlog time.Duration) []rolebalance.Server {
	var servers []rolebalance.Server
	for i := range prefills {
		servers = append(servers, rolebalance.Server{
			Server: backend.Server{ID: fmt.Sprintf("p%d", i), Role: backend.RolePrefill, State: backend.StateLive},
			Load:   backend.Load{PrefillBacklog: backlog + time.Duration(i)*time.Millisecond},
		})
	}
	for i := range decodes {
		servers = append(servers, rolebalance.Server{
			Server: backend.Server{ID: fmt.Sprintf("d%d", i), Role: backend.RoleDecode, State: backend.StateLive},
			Load:   backend.Load{SlotsUsed: used, SlotsTotal: 20},
		})
	}
	return servers
}

// observe reports the same servers once a second for a while, and returns the first
// change and the time until it.
func observe(b *rolebalance.Balancer, from time.Time, length time.Duration, servers []rolebalance.Server) (rolebalance.Change, time.Duration) {
	for at := time.Duration(0); at <= length; at += time.Second {
		if change, ok := b.Observe(from.Add(at), "m", servers, backlogTarget); ok {
			return change, at
		}
	}
	return rolebalance.Change{}, 0
}

// TestRecommends checks that a change is recommended only if one role is the
// bottleneck while the other one has servers to spare. A change between two
// busy roles would only move the bottleneck.
func TestRecommends(t *testing.T) {
	tests := map[string]struct {
		servers []rolebalance.Server
		want    rolebalance.Change
	}{
		"decode is the bottleneck":              {pool(4, 4, 19, 0), rolebalance.Change{ServerID: "p0", Model: "m", To: backend.RoleDecode}},
		"prefill is the bottleneck":             {pool(4, 4, 5, 2*time.Second), rolebalance.Change{ServerID: "d0", Model: "m", To: backend.RolePrefill}},
		"both are busy":                         {pool(4, 4, 19, 2*time.Second), rolebalance.Change{}},
		"neither is busy":                       {pool(4, 4, 5, 0), rolebalance.Change{}},
		"donor role has its minimum of servers": {pool(2, 4, 19, 0), rolebalance.Change{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, after := observe(rolebalance.New(options), start, 5*time.Minute, test.servers)
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			if got.ServerID != "" && after != options.Hold {
				t.Errorf("after %v, want %v", after, options.Hold)
			}
		})
	}
}

// TestInterruptionRestartsTheHold checks that a short interruption of a
// bottleneck restarts the hold. Otherwise separate peaks would add up to a
// change.
func TestInterruptionRestartsTheHold(t *testing.T) {
	b := rolebalance.New(options)
	if got, _ := observe(b, start, 50*time.Second, pool(4, 4, 19, 0)); got.ServerID != "" {
		t.Fatalf("change after 50 s: %+v", got)
	}
	b.Observe(start.Add(51*time.Second), "m", pool(4, 4, 10, 0), backlogTarget)
	if got, after := observe(b, start.Add(52*time.Second), 5*time.Minute, pool(4, 4, 19, 0)); after != options.Hold {
		t.Errorf("change %+v %v after the interruption, want %v", got, after, options.Hold)
	}
}

// TestCooldownAndMinServersAreRespected checks that, under any sequence of loads,
// changes of a model are a cooldown apart, and no role falls below its minimum
// of servers.
func TestCooldownAndMinServersAreRespected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := rolebalance.New(options)
		prefills, decodes := 4, 4
		var last time.Time
		for step := range 600 {
			now := start.Add(time.Duration(step) * 10 * time.Second)
			used := rapid.SampledFrom([]int{2, 19, 20}).Draw(t, "used")
			backlog := rapid.SampledFrom([]time.Duration{0, 2 * time.Second}).Draw(t, "backlog")
			if step%100 != 0 { // the load is steady for most steps
				used, backlog = 20, 0
			}
			change, ok := b.Observe(now, "m", pool(prefills, decodes, used, backlog), backlogTarget)
			if !ok {
				continue
			}
			if !last.IsZero() && now.Sub(last) < options.Cooldown {
				t.Fatalf("changes are %v apart, less than the cooldown", now.Sub(last))
			}
			last = now
			if change.To == backend.RoleDecode {
				prefills, decodes = prefills-1, decodes+1
			} else {
				prefills, decodes = prefills+1, decodes-1
			}
			if prefills < options.MinServers || decodes < options.MinServers {
				t.Fatalf("%d prefill and %d decode servers left", prefills, decodes)
			}
		}
	})
}
