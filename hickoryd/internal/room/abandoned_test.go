package room_test

import (
	"context"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	coreroom "github.com/hickoryfront/hickoryfront/core/room"
)

// TestBusyHomeDropsRequestsOfDeadHosts guards against a home that keeps the requests and grants of
// hosts which have died for as long as other hosts report the end of requests without a pause.
func TestBusyHomeDropsRequestsOfDeadHosts(t *testing.T) {
	c := newCluster(t, false)
	home, _ := c.home()
	pool := coreroom.Pool{Service: service}
	ctx := context.WithoutCancel(t.Context())
	ask := func(id string) coreroom.Answer {
		now := time.Now()
		request := coreroom.Request{ID: id, Requester: "dead", Arrived: now, Target: now.Add(waitTimeout), Deadline: now.Add(waitTimeout)}
		return c.rooms[home].AcquireRoom(ctx, pool, request, nil)
	}
	for i := range 4 * slots {
		if ask("dead/"+string(rune('a'+i))).Server == "" {
			break
		}
	}
	waiting := func() int {
		var s hoststate.State
		c.rooms[home].Describe(&s)
		return s.Rooms[0].Waiting
	}
	if waiting() != 1 {
		t.Fatalf("%d requests wait, want 1", waiting())
	}
	for deadline := time.Now().Add(waitTimeout / 4); waiting() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the request of a dead host still waits")
		}
		c.rooms[home].ReleaseRoom(pool, []coreroom.Released{{RequestID: "unknown", Outcome: coreroom.Served}})
	}
}
