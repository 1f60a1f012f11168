package edgesoak_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/metastore"
)

// TestHostOutOfStepInRelease guards against streams that go on at a server of another version of
// its software: a host stands still while a server of a new version joins, and then hears neither
// from the store nor from the hosts at which streams have begun on that server.
func TestHostOutOfStepInRelease(t *testing.T) {
	t.Parallel()
	const (
		outOfStep = 0
		// historyTime is the time after which a host may conclude from the servers that it has
		// known which versions there are: the timeout of the route and the lag of the list.
		historyTime = callerTimeout + 4*time.Second
	)
	e := startEnvironment(t, retrySlacks[0])
	for began := time.Now(); time.Since(began) < historyTime; time.Sleep(500 * time.Millisecond) {
		e.send(outOfStep, "/draft/") // a host observes the servers when it has requests
	}
	e.hosts[outOfStep].Pause()
	next, err := e.workers.StartVersion("model", "decode", e.address(50, 19000), newVersion)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Crash)
	c := &caller{environment: e, random: rand.New(rand.NewPCG(1, 0))}
	defer c.close()
	var s stream
	e.await("a stream begins on the new version", func() bool {
		c.close()
		c.host = 1
		s = stream{request: e.newRequest("/draft/")}
		s.request.dropAfter = 300
		s.add(c.attempt(s.request, time.Now().Add(callerTimeout)), false)
		return s.version() == newVersion
	})
	e.store.SetMode(e.hostAddress(outOfStep), metastore.Hang)
	for i := range hostCount {
		if i != outOfStep {
			e.hosts[i].Pause()
		}
	}
	e.hosts[outOfStep].Resume()
	c.close()
	c.host, s.request.dropAfter = outOfStep, 0
	o := c.attempt(s.request, time.Now().Add(callerTimeout))
	for _, event := range o.events() {
		if o.status == http.StatusOK && event.version != newVersion {
			t.Fatalf("a stream of %s went on with %s; log of its host:\n%s", newVersion, event.version, e.hostLog(o))
		}
	}
	for i := range hostCount {
		e.hosts[i].Resume()
	}
	e.store.SetMode(e.hostAddress(outOfStep), metastore.Serve)
	e.checkRecovery()
}
