package order_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/order"
)

func TestNext(t *testing.T) {
	pool := config.Pool{Model: "m", Version: "2", Adapters: []string{"a", "b"}}
	right := order.State{Role: backend.RoleDecode, Model: "m", Version: "2", Adapters: []string{"b", "a"}}
	tests := []struct {
		name  string
		state func(order.State) order.State
		want  order.Order
	}{
		{name: "nothing missing", state: func(s order.State) order.State { return s }},
		{name: "model first", state: func(order.State) order.State { return order.State{} }, want: order.Order{Kind: order.LoadModel, Argument: "m"}},
		{name: "version", state: func(s order.State) order.State { s.Version = "1"; return s }, want: order.Order{Kind: order.LoadVersion, Argument: "2"}},
		{name: "adapter", state: func(s order.State) order.State { s.Adapters = []string{"a"}; return s }, want: order.Order{Kind: order.LoadAdapter, Argument: "b"}},
		{name: "role", state: func(s order.State) order.State { s.Role = backend.RolePrefill; return s }, want: order.Order{Kind: order.SetRole, Argument: "decode"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, needed := order.Next(pool, backend.RoleDecode, tt.state(right))
			if diff := cmp.Diff(tt.want, got); diff != "" || needed != (tt.want != order.Order{}) {
				t.Errorf("needed %v (-want +got):\n%s", needed, diff)
			}
		})
	}
}

func TestRoles(t *testing.T) {
	servers := []backend.Server{{ID: "a", Role: backend.RoleDecode}, {ID: "b", Role: backend.RolePrefill}, {ID: "c", Role: backend.RoleDecode}}
	tests := []struct {
		name    string
		prefill int
		servers []backend.Server
		want    map[string]backend.Role
	}{
		{name: "roles not set", servers: servers},
		{name: "no change needed", prefill: 1, servers: servers, want: map[string]backend.Role{"a": backend.RoleDecode, "b": backend.RolePrefill, "c": backend.RoleDecode}},
		{name: "one changes", prefill: 2, servers: servers, want: map[string]backend.Role{"a": backend.RolePrefill, "b": backend.RolePrefill, "c": backend.RoleDecode}},
		{name: "at least one decodes", prefill: 9, servers: servers, want: map[string]backend.Role{"a": backend.RolePrefill, "b": backend.RolePrefill, "c": backend.RoleDecode}},
		{name: "too few to have both", prefill: 1, servers: servers[:1]},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := order.Roles(config.Pool{Prefill: tt.prefill, Decode: 1}, tt.servers)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("roles (-want +got):\n%s", diff)
			}
		})
	}
}

// TestGroupKeepsItsLimits draws random outcomes of orders and checks that no
// engine gets an order outside the owner's lease, that an engine that ignores
// fencing tokens gets none while orders of the previous owner may still arrive,
// that fencing tokens rise, and that no more engines load weights at once than
// the share allows.
func TestGroupKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const engines, lease = 8, 15 * time.Second
		start := time.Unix(0, 0)
		epoch := rapid.Uint64Range(1, 3).Draw(t, "epoch")
		group := order.NewGroup(start, order.Ownership{Epoch: epoch}, lease)
		pool := config.Pool{Model: "m", Version: "2", LoadShare: 0.25}
		var servers []backend.Server
		for i := range engines {
			fencing := backend.FencingChecked
			if i%2 == 1 {
				fencing = backend.FencingIgnored
			}
			servers = append(servers, backend.Server{ID: fmt.Sprint(i), Fencing: fencing})
		}
		now, newest, loading := start, uint64(0), map[string]order.Action{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			leaseUntil := now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "lease")) * time.Second)
			for _, a := range group.NextActions(now, leaseUntil, pool, servers, nil, func(string) bool { return false }) {
				if a.Order == nil {
					group.RecordState(now, a.Server.ID, order.State{Model: "m", Version: "1"}, rapid.Bool().Draw(t, "read"))
					continue
				}
				if !now.Before(leaseUntil) {
					t.Fatal("an order was sent outside the lease")
				}
				if epoch > 1 && a.Server.Fencing == backend.FencingIgnored && now.Before(start.Add(lease+order.MaxOrderDuration)) {
					t.Fatal("an engine that ignores fencing got an order while orders of the previous owner may arrive")
				}
				if a.Order.Fence <= newest || a.Order.Fence <= order.FenceOf(epoch, 0) || a.Order.Fence >= order.FenceOf(epoch+1, 0) {
					t.Fatalf("fencing token %d after %d in epoch %d", a.Order.Fence, newest, epoch)
				}
				newest = a.Order.Fence
				loading[a.Server.ID] = a
			}
			if len(loading) > engines/4 {
				t.Fatalf("%d engines load at once, more than a quarter of them", len(loading))
			}
			for id, a := range loading {
				if rapid.Bool().Draw(t, "responded") {
					delete(loading, id)
					group.RecordResult(now, a.Server, order.Result(rapid.IntRange(int(order.Done), int(order.Deferred)).Draw(t, "result")))
				}
			}
		}
	})
}
