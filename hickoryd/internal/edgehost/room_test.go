package edgehost_test

import (
	"context"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/hickoryfront/hickoryfront/core/room"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

func (h *host) AcquireRoom(_ context.Context, pool room.Pool, request room.Request, inFlight map[string]int) room.Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roomRequest, h.roomInFlight = request, inFlight
	h.roomPool = pool
	return h.rooms[pool.Service]
}

func (h *host) ReleaseRoom(_ room.Pool, released []room.Released) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = append(h.released, released...)
}

// TestRoom checks that a home gets what a host asks and reports, and a host what the home
// answers.
func TestRoom(t *testing.T) {
	answers := map[string]room.Answer{
		"granted": {Server: "s1"}, "refused": {RetryAfter: 1200 * time.Millisecond, Reason: room.ReasonNotInTime},
		"waiting": {}, "elsewhere": {IsNotHome: true},
	}
	h := &host{rooms: answers}
	address, client := serve(t, h, nil), newClient(t)
	now := time.Now()
	request := room.Request{
		ID: "10.0.0.1:82/a-1", Requester: "10.0.0.1:82", Workspace: "w", Urgency: 3, IsReturn: true,
		Arrived: now.Add(-time.Minute), Target: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour), FailureDomain: "z1", Excluded: []string{"s2"}, ServiceTime: 70 * time.Millisecond,
	}
	inFlight := map[string]int{"s1": 2}
	for service, want := range answers {
		pool := room.Pool{Service: service, Stage: serverlist.Prefill}
		got, err := client.AcquireRoom(t.Context(), address, pool, request, inFlight)
		if err != nil || got != want || h.roomPool != pool {
			t.Errorf("%s: answer %+v, error %v, want %+v", service, got, err, want)
		}
		if diff := gocmp.Diff(request, h.roomRequest, cmpopts.EquateApproxTime(transferTime)) + gocmp.Diff(inFlight, h.roomInFlight); diff != "" {
			t.Errorf("request (-sent +received):\n%s", diff)
		}
	}
	var released []room.Released
	for i, outcome := range []room.Outcome{room.Unused, room.Served, room.Shed, room.Failed} {
		released = append(released, room.Released{RequestID: string(rune('a' + i)), Outcome: outcome, Took: time.Duration(i) * time.Second})
	}
	if err := client.ReleaseRoom(t.Context(), address, room.Pool{Service: "granted"}, released); err != nil {
		t.Fatal(err)
	}
	if diff := gocmp.Diff(released, h.released); diff != "" {
		t.Errorf("reports (-sent +received):\n%s", diff)
	}
}

// BenchmarkAcquireRoom measures a call to a home on the loopback interface, with both ends in
// one process.
func BenchmarkAcquireRoom(b *testing.B) {
	h := &host{rooms: map[string]room.Answer{"s": {Server: "s1"}}}
	address, client := serve(b, h, nil), newClient(b)
	now := time.Now()
	request := room.Request{ID: "10.0.0.1:82/a-1", Workspace: "workspace", Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(time.Second), FailureDomain: "z1"}
	for b.Loop() {
		if _, err := client.AcquireRoom(b.Context(), address, room.Pool{Service: "s"}, request, map[string]int{"s1": 1}); err != nil {
			b.Fatal(err)
		}
	}
}
