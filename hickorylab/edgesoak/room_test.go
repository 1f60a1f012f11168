package edgesoak_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
)

const (
	// roomPhase is the length of the burst before the home is killed, and after.
	roomPhase = 2 * time.Second
	// roomCallers is the number of callers of each host. All together they want more than the
	// slots of the service.
	roomCallers = 8
	// minRoomShare is the least share of the attempts at other hosts than the killed one that
	// must be served.
	minRoomShare = 0.5
)

// TestRoomHomeIsKilled guards against requests that get no response, or are refused in numbers,
// because the host is killed that grants the room at the servers.
func TestRoomHomeIsKilled(t *testing.T) {
	t.Parallel()
	e := startEnvironmentWith(t, environmentOptions{hostCount: 9, roomServices: "all", retrySlack: 100})
	e.awaitSettled()
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	var outcomes []outcome
	for i := range e.hostCount * roomCallers {
		group.Go(func() {
			c := &caller{environment: e, home: i % e.hostCount, host: i % e.hostCount, random: rand.New(rand.NewPCG(1, uint64(i)))}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(c.random.Int64N(int64(10 * time.Millisecond)))):
				}
				o := c.attempt(e.newRequest("/hold/"), time.Now().Add(callerTimeout))
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
			}
		})
	}
	time.Sleep(roomPhase)
	home := -1
	e.await("a host grants room", func() bool {
		for i := range e.hostCount {
			isHome := func(r hoststate.Room) bool { return r.Service == "shop" }
			if slices.ContainsFunc(e.state(i).Rooms, isHome) {
				home = i
			}
		}
		return home >= 0
	})
	e.killHost(home)
	time.Sleep(roomPhase)
	close(stop)
	group.Wait()
	served, others := 0, 0
	for _, o := range outcomes {
		if o.host == home {
			continue
		}
		others++
		switch {
		case o.err != nil:
			t.Errorf("%v, cause: %s", o, o.breakCause(e.workers))
		case o.status == http.StatusOK:
			served++
		}
	}
	t.Logf("host %d was the home; %d of %d attempts at the other hosts were served", home, served, others)
	if float64(served) < minRoomShare*float64(others) {
		t.Errorf("%d of %d attempts were served, want at least %.0f%%", served, others, 100*minRoomShare)
	}
}
