// Package harness runs daemons and stand-ins for engines as real processes on
// loopback addresses, for tests that kill, pause and disconnect them. Stand-ins for
// the platform and for plain services run in the process of the test.
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
	"github.com/hickoryfront/hickoryfront/hickorylab/consul"
	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
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

	// waitTimeout ends a wait whose condition never holds. It does not bound how fast
	// the condition must hold.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

type (
	// Binaries are the paths of the built programs.
	Binaries struct {
		Daemon  string // hickoryd
		Command string // hickory
		Lab     string // hickorylab
	}

	// Options describes a cluster. The zero values of Hosts, Prefill, Decode and
	// Services stand for their defaults of 3, 2, 2 and 1.
	Options struct {
		Hosts        int
		Prefill      int
		Decode       int
		Services     int           // servers of the plain service
		ServiceTime  time.Duration // duration of a plain call
		EngineFlags  []string      // additional flags of every engine
		Settings     string        // additional INI text of every daemon
		Profile      string        // INI text of the model service's profile
		PlainProfile string        // INI text of the plain service's profile
		PeerProxies  bool          // daemons reach each other through proxies, as SetLinkMode needs
	}

	// Cluster is a running set of processes. Platform and plain services run
	// in the process of the test, so that it can read their logs directly.
	Cluster struct {
		tb       testing.TB
		binaries Binaries
		options  Options
		network  string // first three octets of all addresses
		dir      string
		done     chan struct{}

		Platform *consul.Platform
		Services []*PlainServer
		Hosts    []*Process
		Engines  map[string]*Process
		Proxies  map[string]*cutproxy.Proxy // in front of the daemons' peer addresses, by host name
	}

	// PlainServer is one server of the plain service.
	PlainServer struct {
		*service.Service
		ID     string
		server *http.Server
	}

	// listeningServer is an HTTP server with its listener.
	listeningServer struct {
		server   *http.Server
		listener net.Listener
	}

	// Process is one daemon or engine.
	Process struct {
		Name string
		// Address is a daemon's address for callers, or the address of an engine.
		Address string
		// Operator is a daemon's address for operators.
		Operator string

		cluster *Cluster
		args    []string
		command *exec.Cmd
		exited  chan struct{}
		logPath string
	}
)

var networkCounter atomic.Uint32

// NewProcess returns a process outside of a cluster that is not started yet. Its log
// is a file in dir, and the process is killed when the test ends.
func NewProcess(tb testing.TB, dir, name string, args ...string) *Process {
	p := &Process{Name: name, cluster: &Cluster{tb: tb, dir: dir}, args: args}
	tb.Cleanup(p.stop)
	return p
}

// stop kills the process if it was started.
func (p *Process) stop() {
	if p.command != nil {
		p.Kill()
	}
}

// FreeNetwork returns the first three octets of loopback addresses that no other
// test program uses. A listener reserves them until the test ends.
func FreeNetwork(tb testing.TB) string {
	tb.Helper()
	for range 1 << 13 {
		number := int(networkCounter.Add(1)) + os.Getpid()*61
		network := fmt.Sprintf("127.%d.%d", 64+number/200%128, 1+number%200) // benchmarks use 127.200 and up
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.251:%d", network, platformPort))
		if err == nil {
			tb.Cleanup(func() { listener.Close() })
			return network
		}
	}
	tb.Fatal("no loopback network is free")
	return ""
}

// Main builds the programs, runs the tests of a package and returns the exit code.
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

// Build builds the programs into dir. It must be called from a directory inside the
// Go workspace.
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
// and has the configuration. All of it is stopped when the test ends.
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

func setDefault(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
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

// StartEngine starts an additional engine and waits until it accepts connections.
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
	c.await("engine "+id, func() bool { return acceptsConnections(address) })
	return p
}

// AddHost starts an additional daemon and waits until it is ready.
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
	c.await(p.Name+" to be ready", func() bool { return statusOf("http://"+p.Operator+"/readyz") == http.StatusOK })
}

// Await waits until condition holds, and fails the test if it does not hold in time.
// The failure message names what was awaited.
func (c *Cluster) Await(what string, condition func() bool) {
	c.tb.Helper()
	c.await(what, condition)
}

func (c *Cluster) startPlatform() {
	c.Platform = consul.New()
	go c.Platform.Run(c.done)
	c.listen(c.PlatformAddress(), c.Platform)
}

func (c *Cluster) startServices() {
	for i := range c.options.Services {
		plainServer := &PlainServer{Service: service.New(PlainService, c.options.ServiceTime), ID: fmt.Sprintf("cart-%d", i+1)}
		plainServer.server = c.listen(c.Address(200+i, servicePort), plainServer)
		c.Services = append(c.Services, plainServer)
		c.Platform.Register(consul.Service{
			ServiceID: plainServer.ID, ServiceAddress: fmt.Sprintf("%s.%d", c.network, 200+i), ServicePort: servicePort,
			ServiceMeta: map[string]string{"role": "plain", "service": PlainService, "state": "live", "failureDomain": "salt-lake"},
		})
	}
}

// Close stops the server immediately.
func (s *PlainServer) Close() {
	s.server.Close()
}

func (c *Cluster) listen(address string, handler http.Handler) *http.Server {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		c.tb.Fatalf("listen: %v", err)
	}
	server := &http.Server{Handler: handler}
	go listeningServer{server: server, listener: listener}.run()
	c.tb.Cleanup(func() { server.Close() })
	return server
}

// run serves until the server is closed.
func (s listeningServer) run() {
	_ = s.server.Serve(s.listener) // returns when the server is closed at the end of the test
}

func (c *Cluster) startHost(name string, number int) *Process {
	p := &Process{
		Name: name, Address: c.Address(number, callerPort), Operator: c.Address(number, operatorPort), cluster: c,
	}
	domains := []string{"salt-lake", "new-town", "howrah", "behala"}
	text := fmt.Sprintf("[host]\nname = %s\nfailureDomain = %s\n[listen]\ncaller = %s\noperator = %s\npeer = %s\n"+
		"[platform]\nkv = %s\nhostList = %s\n[peers]\nseeds = %s\n[auth]\noperatorToken = %s\n%s\n",
		name, domains[number%len(domains)], p.Address, p.Operator, c.Address(number, peerPort),
		c.PlatformAddress(), c.PlatformAddress(), c.peerSeeds(), OperatorToken, c.options.Settings)
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

// startProxy puts a proxy in front of a daemon's peer address and returns the
// settings that advertise it.
func (c *Cluster) startProxy(name string, number int) string {
	proxy, err := cutproxy.Listen(c.Address(number, proxyPort), c.Address(number, peerPort))
	if err != nil {
		c.tb.Fatal(err)
	}
	c.tb.Cleanup(proxy.Close)
	c.Proxies[name] = proxy
	return fmt.Sprintf("[listen]\npeerAdvertised = %s\n", c.Address(number, proxyPort))
}

// SetLinkMode sets how the traffic between two daemons is treated, in both
// directions.
func (c *Cluster) SetLinkMode(a, b *Process, mode cutproxy.Mode) {
	c.Proxies[a.Name].SetMode(b.SourceAddress(), mode)
	c.Proxies[b.Name].SetMode(a.SourceAddress(), mode)
}

// SourceAddress returns the IP address from which a daemon connects to the others.
func (p *Process) SourceAddress() netip.Addr {
	return netip.MustParseAddrPort(p.Address).Addr()
}

func (c *Cluster) peerSeeds() string {
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
		data, _ := os.ReadFile(p.logPath) // the log is only an aid to understand a failure
		c.tb.Logf("log of %s:\n%s", p.Name, data)
	}
}

func (c *Cluster) await(what string, condition func() bool) {
	c.tb.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.tb.Fatalf("timed out after %v waiting for %s", waitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// Start starts the process. It may be called again after Kill.
func (p *Process) Start() {
	p.cluster.tb.Helper()
	p.logPath = filepath.Join(p.cluster.dir, p.Name+".log")
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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

// run waits for the end of the process.
func (p *Process) run() {
	_ = p.command.Wait() // being killed is not an error here
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

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.signal(s)
}

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}

// Log returns what the process has written to its log.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		p.cluster.tb.Fatal(err)
	}
	return string(data)
}

// SetSwitches sets the faults that an engine simulates.
func (p *Process) SetSwitches(s engine.Switches) {
	p.cluster.post("http://"+p.Address+"/lab/switches", s, nil)
}

// Runs returns the run log of an engine.
func (p *Process) Runs() []engine.Run {
	var runs []engine.Run
	p.cluster.get("http://"+p.Address+"/lab/log", &runs)
	return runs
}

// AcceptsConnections reports whether an engine accepts connections.
func (p *Process) AcceptsConnections() bool {
	return acceptsConnections(p.Address)
}

// HeldRequests returns the number of requests that an engine holds in memory. An
// engine that does not respond counts as holding one.
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

func acceptsConnections(address string) bool {
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
