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
)

const (
	// seedsVariable is the number of seeds of a soak by hand, firstVariable the
	// first of them.
	seedsVariable = "HICKORYFRONT_SOAK_SEEDS"
	firstVariable = "HICKORYFRONT_SOAK_FIRST"
	// callersPerHost send one request after the other.
	callersPerHost = 3
	// faultsPerSeed follow one another, some overlap.
	faultsPerSeed = 5
)

var paths = []string{"/lookup/", "/hold/", "/draft/", "/check/"}

// fault does something and returns what undoes it.
type fault struct {
	name string
	do   func(f *fleet, random *rand.Rand) (undo func())
}

var faults = []fault{
	{name: "a host is killed", do: func(f *fleet, random *rand.Rand) func() {
		host := f.hosts[random.IntN(hostCount)]
		host.Kill()
		return host.Start
	}},
	{name: "a host is stopped and started", do: func(f *fleet, random *rand.Rand) func() {
		host := f.hosts[random.IntN(hostCount)]
		host.Terminate()
		return func() {
			<-host.Exited()
			host.Start()
		}
	}},
	{name: "a host is paused", do: func(f *fleet, random *rand.Rand) func() {
		host := f.hosts[random.IntN(hostCount)]
		host.Pause()
		return host.Resume
	}},
	{name: "a model server crashes", do: func(f *fleet, random *rand.Rand) func() {
		server := f.models[random.IntN(len(f.models))]
		server.Crash()
		return func() { f.mustRestart(server.Restart) }
	}},
	{name: "a plain server crashes", do: func(f *fleet, random *rand.Rand) func() {
		server := f.plain[random.IntN(len(f.plain))]
		server.Crash()
		return func() { f.mustRestart(server.Restart) }
	}},
	{name: "a decode server leaves", do: func(f *fleet, random *rand.Rand) func() {
		server := f.models[2+random.IntN(3)]
		server.Drain()
		return func() {
			server.Crash()
			f.mustRestart(server.Restart)
		}
	}},
	{name: "the store refuses", do: storeFault(metastore.Refuse)},
	{name: "the store is silent", do: storeFault(metastore.Hang)},
	{name: "the store turns a host away", do: func(f *fleet, random *rand.Rand) func() {
		host := f.hostAddress(random.IntN(hostCount))
		f.store.SetMode(host, metastore.Refuse)
		return func() { f.store.SetMode(host, metastore.Serve) }
	}},
	{name: "the store forgets its history", do: func(f *fleet, _ *rand.Rand) func() {
		f.store.Compact()
		return func() {}
	}},
	{name: "the configuration changes", do: func(f *fleet, _ *rand.Rand) func() {
		f.store.Put("op/config", configuration(int(f.next.Add(1))+1000, "shop"))
		return func() {}
	}},
}

func storeFault(mode metastore.Mode) func(*fleet, *rand.Rand) func() {
	return func(f *fleet, _ *rand.Rand) func() {
		f.store.SetMode(netip.Addr{}, mode)
		return func() { f.store.SetMode(netip.Addr{}, metastore.Serve) }
	}
}

func (f *fleet) mustRestart(restart func() error) {
	f.await("a server listens again", func() bool { return restart() == nil })
}

// A soak by hand takes 50 fresh seeds: HICKORYFRONT_SOAK_SEEDS=50
// HICKORYFRONT_SOAK_FIRST=$RANDOM go test ./edgesoak -run Soak -timeout 60m.
func TestSoak(t *testing.T) {
	for seed := range numberFrom(seedsVariable, 3) {
		seed += numberFrom(firstVariable, 1)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, uint64(seed))
		})
	}
}

func soak(t *testing.T, seed uint64) {
	f := startFleet(t)
	random := rand.New(rand.NewPCG(seed, 1))
	c := &callers{fleet: f, stop: make(chan struct{})}
	for i := range hostCount * callersPerHost {
		c.group.Go(func() { c.loop(i, rand.New(rand.NewPCG(seed, uint64(i)+2))) })
	}
	for range faultsPerSeed {
		chosen := faults[random.IntN(len(faults))]
		t.Logf("%s", chosen.name)
		undo := chosen.do(f, random)
		time.Sleep(time.Duration(200+random.IntN(1200)) * time.Millisecond)
		undo()
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	close(c.stop)
	c.group.Wait()
	c.check(t)
	f.checkRecovery()
}

// callers send requests and remember what became of them.
type callers struct {
	fleet *fleet
	stop  chan struct{}
	group sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

func (c *callers) loop(i int, random *rand.Rand) {
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		o := c.fleet.ask(i%hostCount, paths[random.IntN(len(paths))])
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// check compares what callers were told with what servers ran.
func (c *callers) check(t *testing.T) {
	served, down := 0, 0
	for _, o := range c.outcomes {
		runs := c.fleet.workers.Runs(o.id)
		isRepeatable := o.path == "/lookup/" || o.path == "/draft/"
		if !isRepeatable && runs > 1 {
			t.Errorf("request %s %s ran %d times", o.id, o.path, runs)
		}
		if o.status == http.StatusServiceUnavailable && runs > 0 && !isRepeatable {
			t.Errorf("request %s %s was refused as not run, and ran %d times", o.id, o.path, runs)
		}
		if o.status == http.StatusNotFound || o.status == http.StatusBadRequest {
			t.Errorf("request %s %s was denied with %d", o.id, o.path, o.status)
		}
		if o.status == http.StatusOK && o.err == nil {
			served++
		}
		if errors.Is(o.err, syscall.ECONNREFUSED) {
			down++ // the host is killed: how often a caller finds that out says nothing
		}
	}
	reached := len(c.outcomes) - down
	t.Logf("%d of %d requests were served, %d found their host killed", served, len(c.outcomes), down)
	if served*2 < reached {
		t.Errorf("only %d of %d requests that reached a host were served", served, reached)
	}
}

// checkRecovery requires that all is served again and nothing stays reserved.
func (f *fleet) checkRecovery() {
	for i := range hostCount {
		f.awaitReady(i)
		for _, path := range paths {
			f.await(fmt.Sprintf("host %d serves %s", i, path), func() bool {
				o := f.ask(i, path)
				return o.status == http.StatusOK && o.err == nil
			})
		}
	}
	f.await("no memory is reserved", func() bool {
		for _, s := range f.models {
			if s.UsedTokens() > 0 {
				return false
			}
		}
		return true
	})
}

func numberFrom(variable string, standard int) int {
	if number, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return number
	}
	return standard
}
