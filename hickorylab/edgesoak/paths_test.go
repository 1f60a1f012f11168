package edgesoak_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
	"github.com/hickoryfront/hickoryfront/hickorylab/metastore"
	"github.com/hickoryfront/hickoryfront/hickorylab/worker"
)

const (
	// serverPort is the port of the servers, firstPathPort that of the path of host 0 to a
	// server.
	serverPort    = 19000
	firstPathPort = 20000
	// latencyTarget is that of all routes.
	latencyTarget = 900 * time.Millisecond
	// cutTime is how long hosts have no paths to servers.
	cutTime = contactTime + 5*time.Second
)

// storeAddressOf returns the address of the store that a host uses.
func (e *environment) storeAddressOf(i int) string {
	if !e.hasPaths {
		return e.storeAddress()
	}
	return e.address(10, 18600+i)
}

// startPaths starts the paths of a host to all servers. The host reads the addresses of its
// paths from the store in place of those of the servers.
func (e *environment) startPaths(i int) {
	paths := make(map[*worker.Server]*cutproxy.Path)
	for n, server := range append(append([]*worker.Server{}, e.plainServers...), e.modelServers...) {
		octet := 20 + n // the octets with which startEnvironmentWith starts the servers
		switch {
		case n >= len(e.plainServers):
			octet = 30 + n - len(e.plainServers)
		case n >= shopCount:
			octet = 25 + n - shopCount
		}
		path, err := cutproxy.ListenPath(e.address(octet, firstPathPort+i), e.address(octet, serverPort))
		if err != nil {
			e.tb.Fatal(err)
		}
		e.tb.Cleanup(path.Close)
		paths[server] = path
	}
	e.paths = append(e.paths, paths)
	e.serve(e.storeAddressOf(i), metastore.View{Store: e.store, Prefix: "servers/", Rewrite: func(value []byte) []byte { return withPort(e.tb, value, firstPathPort+i) }})
}

// withPort replaces the port in the address of a server's registration.
func withPort(tb testing.TB, value []byte, port int) []byte {
	var registration map[string]any
	if err := json.Unmarshal(value, &registration); err != nil {
		tb.Errorf("registration of a server: %v", err)
		return value
	}
	address := netip.MustParseAddrPort(registration["address"].(string))
	registration["address"] = netip.AddrPortFrom(address.Addr(), uint16(port)).String()
	text, err := json.Marshal(registration)
	if err != nil {
		tb.Errorf("registration of a server: %v", err)
	}
	return text
}

// cut cuts the paths of hosts to the servers for which isCut returns true.
func (e *environment) cut(hosts []int, how cutproxy.Cut, isCut func(s *worker.Server) bool) {
	for _, i := range hosts {
		for server, path := range e.paths[i] {
			if !isCut(server) {
				continue
			}
			if err := path.Cut(how); err != nil {
				e.tb.Fatal(err)
			}
		}
	}
}

// heal ends all cuts.
func (e *environment) heal() {
	for _, paths := range e.paths {
		for _, path := range paths {
			if err := path.Heal(); err != nil {
				e.tb.Fatal(err)
			}
		}
	}
}

// firstTries are the first attempts of callers, who send one request after the other.
type firstTries struct {
	environment *environment
	stop        chan struct{}
	group       sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

func (f *firstTries) loop(i int, paths []string, random *rand.Rand) {
	host := i % f.environment.hostCount
	member := &caller{environment: f.environment, home: host, host: host, random: random}
	defer member.close()
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(requestPause)))):
		}
		o := member.attempt(f.environment.newRequest(paths[random.IntN(len(paths))]), time.Now().Add(callerTimeout))
		f.mu.Lock()
		f.outcomes = append(f.outcomes, o)
		f.mu.Unlock()
	}
}

// served returns the numbers of attempts that were sent between two times to hosts for which
// isCut is as given, of those that were served, and of those that were served in time.
func (f *firstTries) served(from, to time.Time, hosts []int, isCut bool) (sent, served, inTime int) {
	for _, o := range f.outcomes {
		if o.startedAt.Before(from) || o.startedAt.After(to) || slices.Contains(hosts, o.host) != isCut {
			continue
		}
		sent++
		if o.err != nil || o.status != http.StatusOK {
			f.environment.tb.Logf("%v; logs:\n%s", o, f.environment.logsOf(o.id))
			continue
		}
		served++
		if o.endedAt.Sub(o.startedAt) < latencyTarget {
			inTime++
		}
	}
	return sent, served, inTime
}

// TestHostsWithoutPathsToServers guards against hosts that refuse their callers because they
// have lost their paths to the servers, although they reach hosts that have paths.
func TestHostsWithoutPathsToServers(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		how   cutproxy.Cut
		paths []string
		hosts []int
		// isPartial is set if one plain server, one prefill and one decode server stay in
		// reach.
		isPartial bool
	}{
		{name: "connections hang", how: cutproxy.Hang, paths: paths, hosts: []int{0, 1}},
		{name: "connections are reset", how: cutproxy.Reset, paths: paths, hosts: []int{0, 1}},
		{name: "new connections are refused", how: cutproxy.RefuseNew, paths: paths, hosts: []int{0, 1}},
		{name: "all hosts but one", how: cutproxy.Hang, paths: paths, hosts: []int{0, 1, 2}},
		{name: "plain requests", how: cutproxy.Hang, paths: []string{"/lookup/", "/hold/"}, hosts: []int{0}},
		{name: "streams", how: cutproxy.Reset, paths: []string{"/draft/", "/check/"}, hosts: []int{0}},
		{name: "most of the servers", how: cutproxy.Hang, paths: paths, hosts: []int{0, 1}, isPartial: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := startEnvironmentWith(t, environmentOptions{retrySlack: 500, decodeServers: 4, hostCount: 4, hasPaths: true, hasWorkspaces: !tt.isPartial})
			f := &firstTries{environment: e, stop: make(chan struct{})}
			for i := range e.hostCount * callersPerHost {
				f.group.Go(func() { f.loop(i, tt.paths, rand.New(rand.NewPCG(3, uint64(i)))) })
			}
			time.Sleep(contactTime)
			e.cut(tt.hosts, tt.how, func(s *worker.Server) bool {
				return !tt.isPartial || s != e.plainServers[0] && s != e.modelServers[0] && s != e.decodeServers()[0]
			})
			began := time.Now()
			time.Sleep(cutTime)
			e.heal()
			ended := time.Now()
			time.Sleep(contactTime)
			close(f.stop)
			f.group.Wait()
			f.check(t, began.Add(contactTime), ended, tt.hosts, tt.isPartial)
			f.checkRuns(t)
			e.checkRecovery()
		})
	}
}

// check requires that hosts without paths serve at least two thirds as often as the others, and
// as often in time if they have paths to some servers.
func (f *firstTries) check(t *testing.T, from, to time.Time, hosts []int, isPartial bool) {
	t.Helper()
	cutSent, cutServed, cutInTime := f.served(from, to, hosts, true)
	otherSent, otherServed, otherInTime := f.served(from, to, hosts, false)
	t.Logf("hosts without paths served %d of %d first attempts, %d in time; the others %d of %d, %d in time", cutServed, cutSent, cutInTime, otherServed, otherSent, otherInTime)
	if 3*cutServed*otherSent < 2*otherServed*cutSent || cutSent == 0 {
		t.Errorf("hosts without paths served %d of %d first attempts, the others %d of %d; want at least two thirds as often", cutServed, cutSent, otherServed, otherSent)
	}
	if isPartial && 3*cutInTime*otherSent < 2*otherInTime*cutSent {
		t.Errorf("hosts without paths to most servers served %d of %d first attempts in time, the others %d of %d; want at least two thirds as often", cutInTime, cutSent, otherInTime, otherSent)
	}
}

// checkRuns requires that no request that may run once ran twice, that none ran that was
// refused as not run, and that none reached a server with a key or a wrong workspace.
func (f *firstTries) checkRuns(t *testing.T) {
	t.Helper()
	for _, fault := range f.environment.workers.IdentityFaults() {
		t.Errorf("server got a wrong identity: %s", fault)
	}
	for _, o := range f.outcomes {
		runs := f.environment.workers.Runs(o.id)
		if isOnce := o.path == "/hold/" || o.path == "/check/"; isOnce && (runs > 1 || o.isPromise() && runs > 0) {
			t.Errorf("%v ran %d times; logs:\n%s", o, runs, f.environment.logsOf(o.id))
		}
	}
}

// logsOf returns what all hosts have logged about a request.
func (e *environment) logsOf(id string) string {
	var lines []string
	for i, host := range e.hosts {
		for line := range strings.Lines(host.Log()) {
			if strings.Contains(line, id) {
				lines = append(lines, fmt.Sprintf("host %d: %s", i, line))
			}
		}
	}
	return strings.Join(lines, "")
}

// TestNoHostHasPaths guards against hosts that pass requests around when the servers
// themselves have failed, and against refusals that take long then.
func TestNoHostHasPaths(t *testing.T) {
	t.Parallel()
	e := startEnvironmentWith(t, environmentOptions{retrySlack: 500, decodeServers: 2, hostCount: 4, hasPaths: true})
	e.cut([]int{0, 1, 2, 3}, cutproxy.Reset, func(*worker.Server) bool { return true })
	f := &firstTries{environment: e, stop: make(chan struct{})}
	for i := range e.hostCount * callersPerHost {
		f.group.Go(func() { f.loop(i, paths, rand.New(rand.NewPCG(4, uint64(i)))) })
	}
	time.Sleep(contactTime)
	from := time.Now()
	time.Sleep(contactTime)
	close(f.stop)
	f.group.Wait()
	total, slow := 0, 0
	for _, o := range f.outcomes {
		if o.startedAt.Before(from) {
			continue
		}
		total++
		if o.status == http.StatusOK {
			t.Errorf("%v was served without a path", o)
		}
		if o.endedAt.Sub(o.startedAt) > time.Second {
			slow++
		}
	}
	if total == 0 || slow*10 > total {
		t.Errorf("%d of %d requests took over a second to be refused", slow, total)
	}
	e.heal()
	e.checkRecovery()
}
