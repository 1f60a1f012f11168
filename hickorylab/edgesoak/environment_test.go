package edgesoak_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
	"github.com/hickoryfront/hickoryfront/hickorylab/metastore"
	"github.com/hickoryfront/hickoryfront/hickorylab/worker"
)

const (
	hostCount = 3
	// shopCount is the number of plain servers of the service shop, which come first.
	shopCount = 3
	// firstHostOctet is the last octet of the address of host 0.
	firstHostOctet = 100
	// prefillCount is the number of model servers that start with the stage prefill.
	prefillCount = 2
	// waitTimeout ends a wait whose condition never holds. It does not bound how fast
	// the condition must hold.
	waitTimeout = 60 * time.Second
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 4 * time.Second
)

type (
	// environmentOptions are what tests vary of an environment.
	environmentOptions struct {
		// retrySlack is a setting of the hosts.
		retrySlack    int
		decodeServers int
		// hostCount is the number of hosts, or 0 for the constant hostCount.
		hostCount int
		// areHostsIsolated is set if the hosts don't find each other.
		areHostsIsolated bool
		// hasPaths is set if each host reaches each server over a path of its own.
		hasPaths bool
		// grace is the time from SIGTERM to the end of a host, or 0 for the default.
		grace time.Duration
		// roomServices is a setting of the hosts, or empty for the default.
		roomServices string
		// hasWorkspaces is set if callers need the keys of workspaces.
		hasWorkspaces bool
		// configuration returns the configurations, or is nil for the function configuration or
		// securedConfiguration.
		configuration func(version int, shop string) map[string]any
	}

	// environment is a store, backend servers and hosts.
	environment struct {
		environmentOptions
		tb           testing.TB
		network      string
		store        *metastore.Store
		workers      *worker.Group
		plainServers []*worker.Server
		modelServers []*worker.Server
		hosts        []*harness.Process
		// settings are the paths of the hosts' settings files.
		settings []string
		client   *http.Client
		counter  atomic.Uint64
		// newest is the newest configuration that was written. writing is held while one is.
		writing sync.Mutex
		newest  atomic.Pointer[map[string]any]
		// kills counts the starts and the ends of the kills of each host. It is odd while
		// a kill is in progress.
		kills []atomic.Uint64
		// paths are the paths of each host to the servers, if it has some of its own.
		paths []map[*worker.Server]*cutproxy.Path
	}
)

// startEnvironment starts a store, backend servers and hosts and waits until each
// host is ready. retrySlack is a setting of the hosts.
func startEnvironment(tb testing.TB, retrySlack int) *environment {
	tb.Helper()
	return startEnvironmentWith(tb, environmentOptions{retrySlack: retrySlack, decodeServers: 3})
}

// startEnvironmentWith is like startEnvironment with other options.
func startEnvironmentWith(tb testing.TB, options environmentOptions) *environment {
	tb.Helper()
	if options.hostCount == 0 {
		options.hostCount = hostCount
	}
	if options.configuration == nil {
		options.configuration = configuration
		if options.hasWorkspaces {
			options.configuration = securedConfiguration
		}
	}
	store := metastore.New()
	e := &environment{
		environmentOptions: options, tb: tb, network: harness.FreeNetwork(tb), store: store, workers: worker.NewGroup(store),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}, kills: make([]atomic.Uint64, options.hostCount),
	}
	if options.areHostsIsolated {
		store.Hide("hickoryfront/hosts/")
	}
	e.serve(e.storeAddress(), store)
	store.Put("op/config", options.configuration(1, "shop"))
	for i := range shopCount {
		e.plainServers = append(e.plainServers, e.startServer("shop", "", 20+i))
	}
	for i := range 2 {
		e.plainServers = append(e.plainServers, e.startServer("annex", "", 25+i))
	}
	for i := range prefillCount + options.decodeServers {
		stage := "decode"
		if i < prefillCount {
			stage = "prefill"
		}
		e.modelServers = append(e.modelServers, e.startServer("model", stage, 30+i))
	}
	for i := range e.hostCount {
		if e.hasPaths {
			e.startPaths(i)
		}
		e.hosts = append(e.hosts, e.startHost(i))
	}
	for i := range e.hostCount {
		e.awaitReady(i)
		e.writeSettings(i, false)
	}
	return e
}

// configuration returns a configuration whose plain routes lead to the service shop.
func configuration(version int, shop string) map[string]any {
	route := func(name, prefix, kind, service string, attempts int, isModel, isResumable bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h.example", "path-prefix": prefix, "kind": kind, "service": service, "timeout-ms": 4000,
			"target-latency-ms": 900, "max-attempts": attempts, "sticky-sessions": isModel, "resumable": isResumable, "target-gap-ms": 300,
		}
	}
	return map[string]any{"version": version, "routes": []any{
		route("lookup", "/lookup/", "safe", shop, 2, false, false),
		route("hold", "/hold/", "unsafe", shop, 1, false, false),
		route("draft", "/draft/", "streaming", "model", 2, true, true),
		route("check", "/check/", "streaming", "model", 1, true, false),
	}}
}

func (e *environment) address(lastOctet, port int) string {
	return fmt.Sprintf("%s.%d:%d", e.network, lastOctet, port)
}

func (e *environment) storeAddress() string {
	return e.address(10, 18500)
}

func (e *environment) hostAddress(i int) netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("%s.%d", e.network, firstHostOctet+i))
}

// hostPort returns the address of a host's listener.
func (e *environment) hostPort(i, port int) string {
	return netip.AddrPortFrom(e.hostAddress(i), uint16(port)).String()
}

func (e *environment) serve(address string, handler http.Handler) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		e.tb.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed at the end of the test
	e.tb.Cleanup(func() { server.Close() })
}

func (e *environment) startServer(service, stage string, lastOctet int) *worker.Server {
	s, err := e.workers.Start(service, stage, e.address(lastOctet, 19000))
	if err != nil {
		e.tb.Fatal(err)
	}
	e.tb.Cleanup(s.Crash)
	return s
}

func (e *environment) startHost(i int) *harness.Process {
	e.settings = append(e.settings, filepath.Join(e.tb.TempDir(), "host.ini"))
	e.writeSettings(i, true)
	p := harness.NewProcess(e.tb, e.tb.TempDir(), fmt.Sprintf("host-%d", i), binaries.Daemon, "edge", "--settings", e.settings[i])
	p.Start()
	return p
}

// writeSettings writes the settings file of a host, which its next start reads.
func (e *environment) writeSettings(i int, isFirstStart bool) {
	seeds := []string{e.hostPort(i, 18082)}
	if !e.areHostsIsolated {
		seeds = nil
		for n := range min(e.hostCount, hostCount) {
			seeds = append(seeds, e.hostPort(n, 18082))
		}
	}
	text := fmt.Sprintf("[host]\nname = host-%d\nfailureDomain = z1\nfirstStart = %t\n[listen]\ncaller = %s\nready = %s\npeer = %s\noperator = %s\n"+
		"[store]\naddress = %s\n[peers]\nseeds = %s\n[repeats]\nslack = %d\n",
		i, isFirstStart, e.hostPort(i, 18080), e.hostPort(i, 18081), e.hostPort(i, 18082), e.hostPort(i, 18083), e.storeAddressOf(i), strings.Join(seeds, ","), e.retrySlack)
	if e.grace > 0 {
		text += fmt.Sprintf("[shutdown]\ngrace = %s\n", e.grace)
	}
	if e.roomServices != "" {
		text += fmt.Sprintf("[room]\nservices = %s\nminHosts = 1\n", e.roomServices)
	}
	if err := os.WriteFile(e.settings[i], []byte(text), 0o600); err != nil {
		e.tb.Fatal(err)
	}
}

func (e *environment) await(what string, condition func() bool) {
	e.tb.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			e.tb.Fatalf("timed out after %v waiting until %s", waitTimeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (e *environment) awaitReady(i int) {
	e.tb.Helper()
	e.await(fmt.Sprintf("host %d is ready", i), func() bool { return e.isReady(i) })
}

func (e *environment) isReady(i int) bool {
	response, err := e.client.Get("http://" + e.hostPort(i, 18081) + "/hickoryfront/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// decodeServers returns the model servers that start with the stage decode.
func (e *environment) decodeServers() []*worker.Server {
	return e.modelServers[prefillCount:]
}

// changeConfiguration writes a new configuration, which may lead the plain routes to
// another service.
func (e *environment) changeConfiguration(random *rand.Rand) {
	e.writing.Lock()
	defer e.writing.Unlock()
	service := []string{"shop", "annex"}[random.IntN(2)]
	document := e.configuration(int(e.counter.Add(1))+1000, service)
	e.newest.Store(&document)
	e.store.Put("op/config", document)
}

// restoreStore replaces the store by an older copy. After some time the operators and the
// servers write again what it lacks.
func (e *environment) restoreStore(older metastore.Copy) {
	e.store.Restore(older)
	time.Sleep(storeGap)
	e.workers.RegisterAgain()
	e.writing.Lock()
	defer e.writing.Unlock()
	if document := e.newest.Load(); document != nil {
		e.store.Put("op/config", *document)
	}
}

// killHost kills a host.
func (e *environment) killHost(i int) {
	e.kills[i].Add(1)
	e.hosts[i].Kill()
	e.kills[i].Add(1)
}

// hostLog returns what the host of an attempt has logged about it.
func (e *environment) hostLog(o outcome) string {
	var lines []string
	for line := range strings.Lines(e.hosts[o.host].Log()) {
		if strings.Contains(line, o.id) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// send sends one request through a host, on a new connection and without a retry.
func (e *environment) send(host int, path string) outcome {
	c := &caller{environment: e, home: host, host: host, random: rand.New(rand.NewPCG(e.counter.Load(), 0))}
	defer c.close()
	return c.attempt(e.newRequest(path), time.Now().Add(callerTimeout))
}
