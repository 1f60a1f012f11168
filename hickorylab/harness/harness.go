// Package harness runs stand-ins and daemons as real processes on loopback
// addresses, for tests that kill, pause and cut them.
package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	wire "github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/platform"
	"github.com/hickoryfront/hickoryfront/hickorylab/service"
)

const (
	// OperatorToken is the token of every daemon's administration API.
	OperatorToken = "harness-operator-token"
	// Model is the model that the engines have loaded.
	Model = "catalogue-8b"
	// PlainService is the name of the plain service.
	PlainService = "cart"
	// ModelService is the name of the model service.
	ModelService = "catalogue"
	// Workspace is the workspace of all requests.
	Workspace = "boipara"

	callerPort   = 18080
	operatorPort = 18081
	peerPort     = 18082
	proxyPort    = 18083
	enginePort   = 19000
	servicePort  = 19100
	platformPort = 18500

	// hangGuard ends a wait that would never end; it is no bound on speed.
	hangGuard    = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

type (
	// Binaries are the built programs.
	Binaries struct {
		Daemon  string
		Command string
		Lab     string
	}

	// Options describes a cluster. Zero values take the defaults.
	Options struct {
		Hosts        int
		Prefill      int
		Decode       int
		Services     int           // servers of the plain service
		ServiceTime  time.Duration // time that a plain call takes
		EngineFlags  []string      // further flags of every engine
		Settings     string        // further INI text of every daemon
		Profile      string        // INI text of the model service's profile
		PlainProfile string        // INI text of the plain service's profile
		PeerProxies  bool          // daemons reach each other through proxies
	}

	// Cluster is a running set of processes. Platform and plain services run
	// in the test's own process, so that their logs are at hand.
	Cluster struct {
		tb       testing.TB
		binaries Binaries
		options  Options
		network  string // first three octets of all addresses
		dir      string
		done     chan struct{}

		Platform *platform.Platform
		Services []*PlainServer
		Hosts    []*Process
		Engines  map[string]*Process
		Proxies  map[string]*cutproxy.Proxy // before the daemons' peer addresses
	}

	// PlainServer is one server of the plain service.
	PlainServer struct {
		*service.Service
		ID     string
		server *http.Server
	}

	served struct {
		server   *http.Server
		listener net.Listener
	}

	// Process is one daemon or engine.
	Process struct {
		Name string
		// Address serves callers, or is the engine's.
		Address  string
		Operator string

		cluster *Cluster
		args    []string
		command *exec.Cmd
		exited  chan struct{}
		stdout  string
	}
)

var networks atomic.Uint32

// NewProcess returns a process of a test's own that is not started. Its log and
// its end are the test's.
func NewProcess(tb testing.TB, dir, name string, args ...string) *Process {
	p := &Process{Name: name, cluster: &Cluster{tb: tb, dir: dir}, args: args}
	tb.Cleanup(p.end)
	return p
}

// end ends a process that still runs.
func (p *Process) end() {
	if p.command != nil {
		p.Kill()
	}
}

// FreeNetwork returns the first three octets of addresses that no other test
// program uses. A listener holds them until the test ends.
func FreeNetwork(tb testing.TB) string {
	tb.Helper()
	for range 1 << 13 {
		number := int(networks.Add(1)) + os.Getpid()*61
		network := fmt.Sprintf("127.%d.%d", 64+number/200%128, 1+number%200) // measurements use 127.200 and up
		held, err := net.Listen("tcp", fmt.Sprintf("%s.251:%d", network, platformPort))
		if err == nil {
			tb.Cleanup(func() { held.Close() })
			return network
		}
	}
	tb.Fatal("no loopback network is free")
	return ""
}

// Main builds the programs for the tests of a package and runs them. It returns
// the exit code.
func Main(m *testing.M, binaries *Binaries) int {
	dir, err := os.MkdirTemp("", "hickoryfront")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if *binaries, err = Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// Build builds the programs into dir. Its working directory is any package of
// the workspace.
func Build(dir string) (Binaries, error) {
	b := Binaries{
		Daemon: filepath.Join(dir, "hickoryd"), Command: filepath.Join(dir, "hickory"), Lab: filepath.Join(dir, "hickorylab"),
	}
	for _, target := range []string{b.Daemon, b.Command, b.Lab} {
		module := "github.com/hickoryfront/hickoryfront/" + filepath.Base(target)
		build := exec.Command("go", "build", "-o", target, module)
		if output, err := build.CombinedOutput(); err != nil {
			return b, fmt.Errorf("build %s: %w: %s", module, err, output)
		}
	}
	return b, nil
}

// Start starts a cluster, configures it and waits until every host is ready
// and has the configuration. Everything ends with the test.
func Start(tb testing.TB, binaries Binaries, o Options) *Cluster {
	tb.Helper()
	c := &Cluster{
		tb: tb, binaries: binaries, options: withDefaults(o), dir: tb.TempDir(), done: make(chan struct{}),
		network: FreeNetwork(tb), Engines: map[string]*Process{},
		Proxies: map[string]*cutproxy.Proxy{},
	}
	tb.Cleanup(c.close)
	c.startPlatform()
	c.startServices()
	for i := range c.options.Prefill {
		c.StartEngine(fmt.Sprintf("prefill-%d", i+1), "prefill")
	}
	for i := range c.options.Decode {
		c.StartEngine(fmt.Sprintf("decode-%d", i+1), "decode")
	}
	for i := range c.options.Hosts {
		c.Hosts = append(c.Hosts, c.startHost(fmt.Sprintf("host-%d", i+1), i+1))
	}
	c.configure()
	return c
}

func withDefaults(o Options) Options {
	setDefault(&o.Hosts, 3)
	setDefault(&o.Prefill, 2)
	setDefault(&o.Decode, 2)
	setDefault(&o.Services, 1)
	return o
}

func setDefault(value *int, standard int) {
	if *value == 0 {
		*value = standard
	}
}

// Address returns an address of the cluster's network.
func (c *Cluster) Address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", c.network, host, port)
}

// PlatformAddress returns the platform's address.
func (c *Cluster) PlatformAddress() string {
	return c.Address(250, platformPort)
}

// StartEngine starts one more engine.
func (c *Cluster) StartEngine(id, role string) *Process {
	c.tb.Helper()
	number := 100 + len(c.Engines)
	address := c.Address(number, enginePort)
	args := append([]string{
		c.binaries.Lab, "engine", "--platform", c.PlatformAddress(), "--id", id, "--role", role,
		"--model", Model, "--listen", address,
	}, c.options.EngineFlags...)
	p := &Process{Name: id, Address: address, cluster: c, args: args}
	c.Engines[id] = p
	p.Start()
	c.await("engine "+id, func() bool { return dials(address) })
	return p
}

// AddHost starts one more daemon and waits until it is ready.
func (c *Cluster) AddHost(name string) *Process {
	c.tb.Helper()
	p := c.startHost(name, len(c.Hosts)+1)
	c.Hosts = append(c.Hosts, p)
	c.AwaitReady(p)
	return p
}

// AwaitReady waits until a daemon is ready.
func (c *Cluster) AwaitReady(p *Process) {
	c.tb.Helper()
	c.await(p.Name+" ready", func() bool { return statusOf("http://"+p.Operator+"/readyz") == http.StatusOK })
}

// Await waits until condition holds.
func (c *Cluster) Await(what string, condition func() bool) {
	c.tb.Helper()
	c.await(what, condition)
}

func (c *Cluster) startPlatform() {
	c.Platform = platform.New()
	go c.Platform.Run(c.done)
	c.listen(c.PlatformAddress(), c.Platform)
}

func (c *Cluster) startServices() {
	for i := range c.options.Services {
		stand := &PlainServer{Service: service.New(PlainService, c.options.ServiceTime), ID: fmt.Sprintf("cart-%d", i+1)}
		stand.server = c.listen(c.Address(200+i, servicePort), stand)
		c.Services = append(c.Services, stand)
		c.Platform.Register(platform.Service{
			ServiceID: stand.ID, ServiceAddress: fmt.Sprintf("%s.%d", c.network, 200+i), ServicePort: servicePort,
			ServiceMeta: map[string]string{"role": "plain", "service": PlainService, "state": "live", "failureDomain": "salt-lake"},
		})
	}
}

// Close ends the server at once.
func (s *PlainServer) Close() {
	s.server.Close()
}

func (c *Cluster) listen(address string, handler http.Handler) *http.Server {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		c.tb.Fatalf("listen: %v", err)
	}
	server := &http.Server{Handler: handler}
	go served{server: server, listener: listener}.run()
	c.tb.Cleanup(func() { server.Close() })
	return server
}

// run serves until the server is closed.
func (s served) run() {
	_ = s.server.Serve(s.listener) // ends with the test
}

func (c *Cluster) startHost(name string, number int) *Process {
	p := &Process{
		Name: name, Address: c.Address(number, callerPort), Operator: c.Address(number, operatorPort), cluster: c,
	}
	domains := []string{"salt-lake", "new-town", "howrah", "behala"}
	text := fmt.Sprintf("[host]\nname = %s\nfailureDomain = %s\n[listen]\ncaller = %s\noperator = %s\npeer = %s\n"+
		"[platform]\nkv = %s\nhostList = %s\n[peers]\nseeds = %s\n[auth]\noperatorToken = %s\n%s\n",
		name, domains[number%len(domains)], p.Address, p.Operator, c.Address(number, peerPort),
		c.PlatformAddress(), c.PlatformAddress(), c.seeds(), OperatorToken, c.options.Settings)
	if c.options.PeerProxies {
		text += c.startProxy(name, number)
	}
	path := filepath.Join(c.dir, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.tb.Fatal(err)
	}
	p.args = []string{c.binaries.Daemon, "serve", "--settings", path}
	p.Start()
	return p
}

// startProxy puts a proxy before a daemon's peer address and returns the
// settings that announce it.
func (c *Cluster) startProxy(name string, number int) string {
	proxy, err := cutproxy.Listen(c.Address(number, proxyPort), c.Address(number, peerPort))
	if err != nil {
		c.tb.Fatal(err)
	}
	c.tb.Cleanup(proxy.Close)
	c.Proxies[name] = proxy
	return fmt.Sprintf("[listen]\npeerAdvertised = %s\n", c.Address(number, proxyPort))
}

// SetLinkMode stops the traffic between two daemons in both directions.
func (c *Cluster) SetLinkMode(a, b *Process, mode cutproxy.Mode) {
	c.Proxies[a.Name].SetMode(b.SourceAddress(), mode)
	c.Proxies[b.Name].SetMode(a.SourceAddress(), mode)
}

// SourceAddress returns the IP number from which a daemon reaches the others.
func (p *Process) SourceAddress() netip.Addr {
	return netip.MustParseAddrPort(p.Address).Addr()
}

func (c *Cluster) seeds() string {
	port := peerPort
	if c.options.PeerProxies {
		port = proxyPort
	}
	seeds := make([]string, 0, c.options.Hosts)
	for i := range c.options.Hosts {
		seeds = append(seeds, c.Address(i+1, port))
	}
	return strings.Join(seeds, ", ")
}

func (c *Cluster) close() {
	for _, p := range c.Hosts {
		p.Kill()
	}
	for _, p := range c.Engines {
		p.Kill()
	}
	close(c.done)
	if !c.tb.Failed() {
		return
	}
	for _, p := range c.Hosts {
		data, _ := os.ReadFile(p.stdout) // the log only helps to read a failure
		c.tb.Logf("log of %s:\n%s", p.Name, data)
	}
}

func (c *Cluster) await(what string, condition func() bool) {
	c.tb.Helper()
	deadline := time.Now().Add(hangGuard)
	for !condition() {
		if time.Now().After(deadline) {
			c.tb.Fatalf("waited %v in vain for %s", hangGuard, what)
		}
		time.Sleep(pollInterval)
	}
}

// Start starts the process, also again after Kill.
func (p *Process) Start() {
	p.cluster.tb.Helper()
	p.stdout = filepath.Join(p.cluster.dir, p.Name+".log")
	output, err := os.OpenFile(p.stdout, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.cluster.tb.Fatal(err)
	}
	p.command = exec.Command(p.args[0], p.args[1:]...)
	p.command.Stdout = output
	p.command.Stderr = output
	if err := p.command.Start(); err != nil {
		p.cluster.tb.Fatal(err)
	}
	output.Close()
	p.exited = make(chan struct{})
	go p.run()
}

// run reaps the process.
func (p *Process) run() {
	_ = p.command.Wait() // a killed process is no error here
	close(p.exited)
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() {
	p.signal(syscall.SIGSTOP)
}

// Resume continues a paused process.
func (p *Process) Resume() {
	p.signal(syscall.SIGCONT)
}

// Terminate asks the process to shut down with SIGTERM.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}

// Log returns what the process has written to its log.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.stdout)
	if err != nil {
		p.cluster.tb.Fatal(err)
	}
	return string(data)
}

// SetSwitches changes the behaviour of an engine.
func (p *Process) SetSwitches(s engine.Switches) {
	p.cluster.post("http://"+p.Address+"/lab/switches", s, nil)
}

// Runs returns what an engine ran.
func (p *Process) Runs() []engine.Run {
	var runs []engine.Run
	p.cluster.get("http://"+p.Address+"/lab/log", &runs)
	return runs
}

// AcceptsConnections reports whether an engine accepts connections.
func (p *Process) AcceptsConnections() bool {
	return dials(p.Address)
}

// HeldRequests returns the number of requests that an engine holds in memory. An
// engine that does not answer counts as holding one.
func (p *Process) HeldRequests() int {
	var reply wire.RequestsReply
	if p.cluster.get("http://"+p.Address+wire.PathRequests, &reply) != http.StatusOK {
		return 1
	}
	return len(reply.Requests)
}

func (p *Process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s) // the process may have ended
}

func dials(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

func statusOf(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	return response.StatusCode
}
