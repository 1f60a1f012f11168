package edgesoak_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/metastore"
)

const (
	// graceTime is the hosts' default time from SIGTERM to SIGKILL.
	graceTime = 8 * time.Second
	// admittedTime is the time after SIGTERM up to which a request may still be at work at a
	// server when its host has to end.
	admittedTime = 3 * time.Second
	// generationTimeout is the timeout of the routes to model servers.
	generationTimeout = 14 * time.Second
	// maxGap is how long a caller waits for the next event of a stream.
	maxGap = 4 * latencyTarget
	// checkPeriod is the time between two readiness checks of the load balancer, which stops
	// sending new connections to a host after maxMisses failures.
	checkPeriod = time.Second
	maxMisses   = 2
	// unframedShare is the share of the streams that end with their connections.
	unframedShare = 0.1
	// fleetEvents is the maximum number of events of a stream.
	fleetEvents = 650
)

type (
	// fleet is an environment whose hosts are stopped and started while callers go on.
	fleet struct {
		*environment
		stop     chan struct{}
		group    sync.WaitGroup
		rotation []atomic.Bool
		version  atomic.Int64

		mu    sync.Mutex
		stops map[int][]time.Time // of the SIGTERMs, by host
		// restarting are the hosts that are being stopped and started.
		restarting map[int]bool
		outcomes   []outcome
	}

	// series is a row of disruptions that starts one every period on average.
	series struct {
		period time.Duration
		strike func(f *fleet, random *rand.Rand)
	}
)

// plannedSeries are the planned work of operators.
var plannedSeries = []series{
	{period: 400 * time.Millisecond, strike: (*fleet).restart},
	{period: 300 * time.Millisecond, strike: func(f *fleet, random *rand.Rand) {
		f.signal(random.IntN(f.hostCount), syscall.SIGHUP)
	}},
	{period: 2 * time.Second, strike: (*fleet).reconfigure},
	{period: 800 * time.Millisecond, strike: (*fleet).replaceServer},
}

// soundSeries are disruptions of the store and of servers, which excuse no lost request but those
// that a faulty server has broken off itself.
var soundSeries = []series{
	{period: 300 * time.Millisecond, strike: func(f *fleet, random *rand.Rand) { f.randomServer(random).Pause(silenceTime(random)) }},
	{period: time.Second, strike: func(f *fleet, random *rand.Rand) {
		f.randomDecodeServer(random).Garble(time.Duration(random.IntN(1000)) * time.Millisecond)
	}},
	{period: 5 * time.Second, strike: func(f *fleet, random *rand.Rand) {
		f.store.SetMode(netip.Addr{}, []metastore.Mode{metastore.Refuse, metastore.Hang}[random.IntN(2)])
		f.sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		f.store.SetMode(netip.Addr{}, metastore.Serve)
	}},
	{period: 2 * time.Second, strike: func(f *fleet, random *rand.Rand) {
		host, length := f.hostAddress(random.IntN(f.hostCount)), time.Duration(random.IntN(5000))*time.Millisecond
		f.store.SetMode(host, metastore.Refuse)
		f.group.Go(func() {
			f.sleep(length)
			f.store.SetMode(host, metastore.Serve)
		})
	}},
}

// unplannedSeries are disruptions of hosts and servers, which excuse the requests that they break.
var unplannedSeries = []series{
	{period: 2 * time.Second, strike: func(f *fleet, random *rand.Rand) {
		i, pause := random.IntN(f.hostCount), time.Duration(500+random.IntN(2500))*time.Millisecond
		f.signal(i, syscall.SIGSTOP)
		f.group.Go(func() {
			time.Sleep(pause)
			f.signal(i, syscall.SIGCONT)
		})
	}},
	{period: time.Second, strike: func(f *fleet, random *rand.Rand) {
		server, pause := f.randomServer(random), time.Duration(500+random.IntN(3500))*time.Millisecond
		if server.Uptime(time.Now()) < drainTime {
			return
		}
		server.Crash()
		f.group.Go(func() {
			time.Sleep(pause)
			f.mustRestart(server.Restart)
		})
	}},
}

// TestStopsInSeries guards against requests that are read by a host and get no answer, or are
// cut while their server goes on, because the host stops. Hosts are stopped and started in
// overlapping series, with further signals and changes of the configuration in between, while
// callers use their connections until these are closed. With even seeds hosts freeze and servers
// crash as well. Seeds are set as for TestSoak.
func TestStopsInSeries(t *testing.T) {
	t.Parallel()
	hosts := numberFromEnvironment(hostsVariable, 9)
	for seed := range numberFromEnvironment(seedsVariable, 2) {
		seed += numberFromEnvironment(firstVariable, 1)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, hosts)
			all := append(slices.Clone(plannedSeries), soundSeries...)
			if seed%2 == 0 {
				all = append(all, unplannedSeries...)
			}
			f.play(uint64(seed), all, 25*time.Second)
			f.check(t)
		})
	}
}

func startFleet(t *testing.T, hosts int) *fleet {
	e := startEnvironmentWith(t, environmentOptions{
		retrySlack: 194, hostCount: hosts, decodeServers: max(4, hosts*58/77), configuration: fleetConfiguration,
	})
	for _, s := range e.decodeServers() {
		s.SetUnframedShare(unframedShare)
	}
	f := &fleet{environment: e, stop: make(chan struct{}), rotation: make([]atomic.Bool, hosts), stops: make(map[int][]time.Time), restarting: make(map[int]bool)}
	for i := range hosts {
		f.rotation[i].Store(true)
		f.group.Go(func() { f.runChecks(i) })
	}
	return f
}

// fleetConfiguration is configuration with streams that may last long.
func fleetConfiguration(version int, shop string) map[string]any {
	document := configuration(version, shop)
	for _, r := range document["routes"].([]any) {
		if route := r.(map[string]any); isStream(route["path-prefix"].(string)) {
			route["timeout-ms"] = generationTimeout.Milliseconds()
		} else {
			route["timeout-ms"] = 1500
		}
	}
	return document
}

// runChecks keeps a host in rotation while its readiness checks succeed.
func (f *fleet) runChecks(i int) {
	client := &http.Client{Timeout: checkPeriod}
	misses := 0
	for f.sleep(checkPeriod) {
		response, err := client.Get("http://" + f.hostPort(i, 18081) + "/hickoryfront/readiness")
		if err == nil {
			response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		f.rotation[i].Store(misses < maxMisses)
	}
}

// sleep reports false if the play ends meanwhile.
func (f *fleet) sleep(d time.Duration) bool {
	select {
	case <-f.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// play runs callers and all series for the given time, and then waits for the callers.
func (f *fleet) play(seed uint64, all []series, length time.Duration) {
	for i := range f.hostCount * numberFromEnvironment(callersVariable, callersPerHost) {
		f.group.Go(func() { f.loop(rand.New(rand.NewPCG(seed, uint64(i)+100))) })
	}
	for i, s := range all {
		f.group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for f.sleep(time.Duration(random.Int64N(int64(2 * s.period)))) {
				s.strike(f, random)
			}
		})
	}
	time.Sleep(length)
	close(f.stop)
	f.group.Wait()
}

// restart stops a host with one SIGTERM or several and starts it again some time after its end.
func (f *fleet) restart(random *rand.Rand) {
	i := random.IntN(f.hostCount)
	f.mu.Lock()
	isRestarting := f.restarting[i]
	f.restarting[i] = true
	f.mu.Unlock()
	if isRestarting {
		return
	}
	host := f.hosts[i]
	host.Resume()
	f.mu.Lock()
	f.stops[i] = append(f.stops[i], time.Now())
	f.mu.Unlock()
	host.Terminate()
	further, pause := random.IntN(3), time.Duration(random.IntN(3000))*time.Millisecond
	f.group.Go(func() {
		killAt := time.After(graceTime)
		for range further {
			time.Sleep(pause / 2)
			host.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}[further])
		}
		select {
		case <-host.Exited():
		case <-killAt:
			f.tb.Logf("host %d has not ended in its grace period", i)
			host.Kill()
		}
		time.Sleep(pause)
		host.Start()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.restarting[i] = false
	})
}

// signal sends a signal to a host unless it is being stopped and started.
func (f *fleet) signal(i int, s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.restarting[i] {
		f.hosts[i].Signal(s)
	}
}

// replaceServer drains a model server and starts it again once its requests have ended.
func (f *fleet) replaceServer(random *rand.Rand) {
	server := f.modelServers[random.IntN(len(f.modelServers))]
	if server.Uptime(time.Now()) < drainTime {
		return
	}
	server.Drain()
	f.group.Go(func() {
		time.Sleep(drainTime)
		f.await("a draining server has ended its requests", func() bool { return server.InFlight() == 0 })
		if server.IsCrashed() {
			return // and is restarted by who has crashed it
		}
		server.Crash()
		f.mustRestart(server.Restart)
	})
}

func (f *fleet) reconfigure(random *rand.Rand) {
	f.store.Put("op/config", fleetConfiguration(int(f.version.Add(1))+1000, []string{"shop", "annex"}[random.IntN(2)]))
}

// loop sends one request after the other on one connection, and on a new one to any host in
// rotation when that has ended.
func (f *fleet) loop(random *rand.Rand) {
	member := &caller{environment: f.environment, random: random, maxGap: maxGap}
	defer member.close()
	for f.sleep(time.Duration(random.IntN(300)) * time.Millisecond) {
		if member.conn == nil {
			member.host = f.pickHost(random)
		}
		path, timeout := paths[random.IntN(len(paths))], 1500*time.Millisecond
		r := f.newRequest(path)
		if isStream(path) {
			timeout = generationTimeout
			r.events, r.promptTokens = 1+random.IntN(fleetEvents), 3300
		}
		o := member.attempt(r, time.Now().Add(timeout))
		f.mu.Lock()
		f.outcomes = append(f.outcomes, o)
		f.mu.Unlock()
	}
}

func (f *fleet) pickHost(random *rand.Rand) int {
	var inRotation []int
	for i := range f.rotation {
		if f.rotation[i].Load() {
			inRotation = append(inRotation, i)
		}
	}
	if len(inRotation)*2 < f.hostCount {
		return random.IntN(f.hostCount)
	}
	return inRotation[random.IntN(len(inRotation))]
}

// check requires that each host runs and that no request was lost, and counts the others by their
// result.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	for i, host := range f.hosts {
		select {
		case <-host.Exited():
			t.Errorf("host %d has ended by itself; its log ends with:\n%s", i, lastLines(host.Log(), 10))
		default:
		}
	}
	counts := make(map[string]int)
	for _, o := range f.outcomes {
		switch {
		case o.err == nil:
			counts[fmt.Sprint("status ", o.status)]++
			continue
		case !o.isSent():
			counts["not sent"]++
			continue
		case f.isExcused(o):
			counts["at work at the end of its host"]++
			continue
		}
		cause := o.breakCause(f.workers)
		if netErr, ok := o.err.(net.Error); ok && netErr.Timeout() {
			cause = "given up by the caller"
		}
		counts[cause]++
		if cause == causeLost {
			t.Errorf("%v was read and got no complete response; its host was stopped %s before it was sent; log of its host:\n%s", o, f.describeStop(o), f.hostLog(o))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%6d %s", counts[name], name)
	}
}

// isExcused reports whether a server was still at work on a request when its host had to end,
// and the request was sent soon enough.
func (f *fleet) isExcused(o outcome) bool {
	for _, at := range f.stops[o.host] {
		if o.sentAt.Before(at.Add(admittedTime)) && o.endedAt.After(at.Add(graceTime*5/6)) && o.endedAt.Before(at.Add(graceTime+time.Second)) && f.workers.Runs(o.id) > 0 {
			return true
		}
	}
	return false
}

func (f *fleet) describeStop(o outcome) string {
	last := "never"
	for _, at := range f.stops[o.host] {
		if at.Before(o.endedAt) {
			last = o.sentAt.Sub(at).Round(time.Millisecond).String()
		}
	}
	return last
}
