package edgesoak_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/metastore"
	"github.com/hickoryfront/hickoryfront/hickorylab/worker"
)

const (
	// seedsVariable names the environment variable with the number of seeds,
	// firstVariable the one with the first seed.
	seedsVariable = "HICKORYFRONT_SOAK_SEEDS"
	firstVariable = "HICKORYFRONT_SOAK_FIRST"
	// hostsVariable names the environment variable with the number of hosts of a fleet,
	// callersVariable that of the callers of each host.
	hostsVariable   = "HICKORYFRONT_SOAK_HOSTS"
	callersVariable = "HICKORYFRONT_SOAK_CALLERS"
	// callersPerHost is the number of callers of each host. Each of them sends one
	// request after the other.
	callersPerHost = 3
	// faultsPerSeed is the number of faults, which follow one another. The effects
	// of some overlap. The first one is a silence.
	faultsPerSeed = 5
	// minSilence and maxSilence bound how long a server falls silent.
	minSilence = 800 * time.Millisecond
	maxSilence = 1600 * time.Millisecond
	// lossSlack is the time after the last byte of a request in which a host may close the
	// connection without having read the request, as their closings may cross.
	lossSlack = 200 * time.Millisecond
)

var paths = []string{"/lookup/", "/hold/", "/draft/", "/check/"}

// retrySlacks are the retries in 10 s that hosts have in addition to a share of the
// requests, for even and for odd seeds. With the smaller number a few faults use up the
// budget.
var retrySlacks = []int{500, 5}

// fault is a kind of fault. Its inject function returns how to end the fault.
type fault struct {
	name   string
	inject func(e *environment, random *rand.Rand) (repair func())
}

// silences are the faults by which sound servers fall silent and go on.
var silences = []fault{
	{name: "a model server falls silent", inject: func(e *environment, random *rand.Rand) func() {
		e.modelServers[random.IntN(len(e.modelServers))].Pause(silenceTime(random))
		return func() {}
	}},
	{name: "a plain server falls silent", inject: func(e *environment, random *rand.Rand) func() {
		e.plainServers[random.IntN(len(e.plainServers))].Pause(silenceTime(random))
		return func() {}
	}},
	{name: "servers fall silent in a row", inject: func(e *environment, random *rand.Rand) func() {
		for range 4 {
			e.randomServer(random).Pause(silenceTime(random))
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		}
		return func() {}
	}},
	{name: "all decode servers fall silent", inject: func(e *environment, random *rand.Rand) func() {
		for _, server := range e.decodeServers() {
			server.Pause(silenceTime(random))
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		}
		return func() {}
	}},
	{name: "a server falls silent while the configuration changes", inject: func(e *environment, random *rand.Rand) func() {
		e.randomServer(random).Pause(silenceTime(random))
		for range 3 {
			e.changeConfiguration(random)
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		}
		return func() {}
	}},
	{name: "a decode server falls silent while it drains", inject: func(e *environment, random *rand.Rand) func() {
		server := e.randomDecodeServer(random)
		server.Drain()
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		server.Pause(silenceTime(random))
		return func() {
			e.await("a draining server has ended its requests", func() bool { return server.InFlight() == 0 })
			server.Crash()
			e.mustRestart(server.Restart)
		}
	}},
	{name: "a host is stopped while a server is silent", inject: func(e *environment, random *rand.Rand) func() {
		host := e.hosts[random.IntN(hostCount)]
		e.randomServer(random).Pause(silenceTime(random))
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		host.Terminate()
		return func() {
			<-host.Exited()
			host.Start()
		}
	}},
}

var faults = append([]fault{
	{name: "a host is killed", inject: func(e *environment, random *rand.Rand) func() {
		i := random.IntN(hostCount)
		e.killHost(i)
		return e.hosts[i].Start
	}},
	{name: "a host is stopped and started", inject: func(e *environment, random *rand.Rand) func() {
		host := e.hosts[random.IntN(hostCount)]
		host.Terminate()
		return func() {
			<-host.Exited()
			host.Start()
		}
	}},
	{name: "a host is paused", inject: func(e *environment, random *rand.Rand) func() {
		host := e.hosts[random.IntN(hostCount)]
		host.Pause()
		return host.Resume
	}},
	{name: "a model server crashes", inject: func(e *environment, random *rand.Rand) func() {
		server := e.modelServers[random.IntN(len(e.modelServers))]
		server.Crash()
		return func() { e.mustRestart(server.Restart) }
	}},
	{name: "a plain server crashes", inject: func(e *environment, random *rand.Rand) func() {
		server := e.plainServers[random.IntN(len(e.plainServers))]
		server.Crash()
		return func() { e.mustRestart(server.Restart) }
	}},
	{name: "a decode server drains", inject: func(e *environment, random *rand.Rand) func() {
		server := e.randomDecodeServer(random)
		server.Drain()
		return func() {
			server.Crash()
			e.mustRestart(server.Restart)
		}
	}},
	{name: "the store refuses all calls", inject: storeFault(metastore.Refuse)},
	{name: "the store does not respond", inject: storeFault(metastore.Hang)},
	{name: "the store refuses the calls of one host", inject: func(e *environment, random *rand.Rand) func() {
		host := e.hostAddress(random.IntN(hostCount))
		e.store.SetMode(host, metastore.Refuse)
		return func() { e.store.SetMode(host, metastore.Serve) }
	}},
	{name: "the store compacts its history", inject: func(e *environment, _ *rand.Rand) func() {
		e.store.Compact()
		return func() {}
	}},
	{name: "the store goes back to an older copy", inject: func(e *environment, random *rand.Rand) func() {
		older := e.store.Copy()
		e.changeConfiguration(random)
		server := e.randomDecodeServer(random)
		server.Drain()
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		e.restoreStore(older)
		return func() {
			server.Crash()
			e.mustRestart(server.Restart)
		}
	}},
	{name: "the configuration changes", inject: func(e *environment, random *rand.Rand) func() {
		e.changeConfiguration(random)
		return func() {}
	}},
}, silences...)

func storeFault(mode metastore.Mode) func(*environment, *rand.Rand) func() {
	return func(e *environment, _ *rand.Rand) func() {
		e.store.SetMode(netip.Addr{}, mode)
		return func() { e.store.SetMode(netip.Addr{}, metastore.Serve) }
	}
}

func silenceTime(random *rand.Rand) time.Duration {
	return minSilence + time.Duration(random.Int64N(int64(maxSilence-minSilence)))
}

// randomServer returns a model server or a plain one.
func (e *environment) randomServer(random *rand.Rand) *worker.Server {
	servers := e.modelServers
	if random.IntN(2) == 0 {
		servers = e.plainServers
	}
	return servers[random.IntN(len(servers))]
}

func (e *environment) randomDecodeServer(random *rand.Rand) *worker.Server {
	servers := e.decodeServers()
	return servers[random.IntN(len(servers))]
}

func (e *environment) mustRestart(restart func() error) {
	e.await("a server listens again", func() bool { return restart() == nil })
}

// TestSoak guards against requests that run twice, are refused as not run although
// they ran, get a wrong response, or are read and get no complete one although their
// server and host go on, while random faults follow one another. At
// least half of the requests that reach a host must be served. After the faults every
// host must serve again, and no memory may stay reserved. The seed selects requests and faults.
//
// A longer run by hand takes 50 fresh seeds: HICKORYFRONT_SOAK_SEEDS=50
// HICKORYFRONT_SOAK_FIRST=$RANDOM go test ./edgesoak -run Soak -timeout 60m.
func TestSoak(t *testing.T) {
	t.Parallel()
	for seed := range numberFromEnvironment(seedsVariable, 3) {
		seed += numberFromEnvironment(firstVariable, 1)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, uint64(seed))
		})
	}
}

func soak(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	// Two of three seeds have workspaces.
	e := startEnvironmentWith(t, environmentOptions{retrySlack: retrySlacks[seed%2], decodeServers: 3, hasWorkspaces: seed%3 != 0})
	c := &callers{environment: e, stop: make(chan struct{})}
	for i := range hostCount * callersPerHost {
		c.group.Go(func() { c.loop(i, rand.New(rand.NewPCG(seed, uint64(i)+2))) })
	}
	p := &prober{environment: e, stop: c.stop}
	if e.hasWorkspaces {
		c.group.Go(func() { p.loop(rand.New(rand.NewPCG(seed, 0))) })
	}
	for n := range faultsPerSeed {
		kinds := faults
		if n == 0 {
			kinds = silences
		}
		chosen := kinds[random.IntN(len(kinds))]
		t.Logf("%s", chosen.name)
		repair := chosen.inject(e, random)
		time.Sleep(time.Duration(200+random.IntN(1200)) * time.Millisecond)
		repair()
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	close(c.stop)
	c.group.Wait()
	c.check(t)
	e.checkRecovery()
	if e.hasWorkspaces {
		e.checkRevocation(random) // after which every host has counted requests of the workspace
		p.check(t)
	}
}

// callers send requests and record their outcomes.
type callers struct {
	environment *environment
	stop        chan struct{}
	group       sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

func (c *callers) loop(i int, random *rand.Rand) {
	member := &caller{environment: c.environment, home: i % hostCount, random: random}
	defer member.close()
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		outcomes := member.call(paths[random.IntN(len(paths))])
		c.mu.Lock()
		c.outcomes = append(c.outcomes, outcomes...)
		c.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// check compares the outcomes that callers saw with what servers ran.
func (c *callers) check(t *testing.T) {
	t.Helper()
	c.checkOutcomes(t)
	c.checkServed(t, c.outcomes)
}

// checkOutcomes requires that no request ran or was refused against the protocol, and that none
// was lost by its host.
func (c *callers) checkOutcomes(t *testing.T) {
	t.Helper()
	broken := make(map[string]int)
	for _, o := range c.outcomes {
		runs := c.environment.workers.Runs(o.id)
		isRepeatable := o.path == "/lookup/" || o.path == "/draft/"
		if !isRepeatable && runs > 1 {
			t.Errorf("%v ran %d times, want at most 1; log of its host:\n%s", o, runs, c.environment.hostLog(o))
		}
		if o.isPromise() && runs > 0 && !isRepeatable {
			t.Errorf("%v was refused as not run but ran %d times; log of its host:\n%s", o, runs, c.environment.hostLog(o))
		}
		if o.status == http.StatusNotFound || o.status == http.StatusBadRequest {
			t.Errorf("request %s %s got status %d, want neither 400 nor 404", o.id, o.path, o.status)
		}
		if o.err != nil && o.isSent() {
			cause := o.breakCause(c.environment.workers)
			broken[cause]++
			if cause == causeLost {
				t.Errorf("%v was read and got no complete response, though no server or host crashed and its deadline had not passed; log of its host:\n%s",
					o, c.environment.hostLog(o))
			}
		}
	}
	t.Logf("%d requests, without a complete response by cause: %v", len(c.outcomes), broken)
}

// checkServed requires that three quarters of the requests were served that reached a host and that the test
// did not disturb.
func (c *callers) checkServed(t *testing.T, outcomes []outcome) {
	t.Helper()
	served, disturbed := 0, 0
	results := make(map[string]int)
	for _, o := range outcomes {
		switch cause := o.breakCause(c.environment.workers); {
		case o.err == nil && o.status == http.StatusOK:
			served++
		case o.err == nil:
			results[fmt.Sprint("status ", o.status)]++
		case errors.Is(o.err, syscall.ECONNREFUSED) || cause == causeDropped || cause == causeHostKilled:
			disturbed++ // by the test; how often it does so is no measure of service
		default:
			results[cause]++
		}
	}
	reached := len(outcomes) - disturbed
	t.Logf("%d of %d requests were served, %d were disturbed by the test, the others ended with %v", served, len(outcomes), disturbed, results)
	if served*4 < reached*3 {
		t.Errorf("only %d of %d requests that reached a host were served", served, reached)
	}
}

// checkRecovery requires that every host serves all routes again and that no memory
// stays reserved.
func (e *environment) checkRecovery() {
	for i := range hostCount {
		e.awaitReady(i)
		for _, path := range paths {
			e.await(fmt.Sprintf("host %d serves %s", i, path), func() bool {
				o := e.send(i, path)
				return o.status == http.StatusOK && o.err == nil
			})
		}
	}
	e.await("no memory is reserved", func() bool {
		for _, s := range e.modelServers {
			if s.UsedTokens() > 0 {
				return false
			}
		}
		return true
	})
}

func numberFromEnvironment(variable string, fallback int) int {
	if number, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return number
	}
	return fallback
}
