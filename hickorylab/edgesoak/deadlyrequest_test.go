package edgesoak_test

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// deadlyName is the start of the name of a request that crashes servers.
	deadlyName = "deadly"
	// knownRequestCrashes is the number of failures after which a request must be known.
	knownRequestCrashes = 3
)

// TestDeadlyRequestAcrossRestarts guards against hosts that forget a request that crashes servers,
// or haven't heard of it, and pass it on again.
func TestDeadlyRequestAcrossRestarts(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name             string
		path             string
		hosts            int
		areHostsIsolated bool
		// rounds is how often the request is sent to each host.
		rounds int
		// restart starts hosts again after each round, or is nil.
		restart func(e *environment)
	}{
		{name: "hosts start again one after the other", path: "/hold/", hosts: 3, rounds: 4, restart: restartInTurn},
		{name: "all hosts start again at once", path: "/hold/", hosts: 3, rounds: 4, restart: restartAtOnce},
		{name: "all hosts start again after each failure", path: "/hold/", hosts: 1, rounds: 8, restart: restartAtOnce},
		{name: "a stream", path: "/check/", hosts: 3, rounds: 4, restart: restartAtOnce},
		{name: "hosts that can't reach each other", path: "/hold/", hosts: 7, rounds: 2, areHostsIsolated: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := startEnvironmentWith(t, environmentOptions{retrySlack: 500, decodeServers: 4, hostCount: tt.hosts, areHostsIsolated: tt.areHostsIsolated})
			e.workers.SetDeadlyPath(tt.path + deadlyName)
			request := e.newRequest(tt.path)
			request.target = tt.path + deadlyName
			request.prompt = "91bd3f06:1200" // a part of its own
			for range tt.rounds {
				for host := range tt.hosts {
					c := &caller{environment: e, home: host, host: host, random: rand.New(rand.NewPCG(uint64(host), 0))}
					c.attempt(request, time.Now().Add(callerTimeout))
					c.close()
					time.Sleep(time.Second)
				}
				if tt.restart != nil {
					tt.restart(e)
					time.Sleep(contactTime)
				}
			}
			checkDeadlyRequest(t, e.workers.DeadlyCrashes())
		})
	}
}

func restartInTurn(e *environment) {
	for i := range e.hostCount {
		e.killHost(i)
		e.hosts[i].Start()
		e.awaitReady(i)
	}
}

func restartAtOnce(e *environment) {
	for i := range e.hostCount {
		e.killHost(i)
	}
	for i := range e.hostCount {
		e.hosts[i].Start()
	}
	for i := range e.hostCount {
		e.awaitReady(i)
	}
}

// checkDeadlyRequest requires that few further servers fail once the request must be known.
func checkDeadlyRequest(t *testing.T, crashes []time.Time) {
	t.Helper()
	further := 0
	for _, at := range crashes[min(len(crashes), knownRequestCrashes):] {
		if at.After(crashes[knownRequestCrashes-1].Add(contactTime)) {
			further++
		}
	}
	t.Logf("%d servers failed, %d of them after the request had to be known", len(crashes), further)
	if len(crashes) == 0 {
		t.Error("no server failed")
	}
	if further > maxFurtherArrivals {
		t.Errorf("%d servers failed later than %v after failure %d, want at most %d", further, contactTime, knownRequestCrashes, maxFurtherArrivals)
	}
}
