// Package bench measures the overhead of hickoryfront: the resource usage of the
// control work of a fleet of daemons, and the latency and processor time that a
// daemon adds to a request.
package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	wire "github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/consul"
)

const (
	operatorToken = "bench-operator-token"
	model         = "catalogue-8b"
	modelService  = "catalogue"
	plainService  = "cart"
	workspaceName = "boipara"

	callerPort   = 28080
	operatorPort = 28081
	peerPort     = 28082
	serverPort   = 19000
	platformPort = 28500

	domainCount     = 4
	waitTimeout     = 60 * time.Second
	stopTimeout     = 5 * time.Second
	pollInterval    = 50 * time.Millisecond
	engineSlots     = 20
	engineSlotsUsed = 17
)

// ErrTimeout means that a fleet did not reach an awaited state within
// waitTimeout, after its start or after a configuration change.
var ErrTimeout = errors.New("fleet did not reach the awaited state within the wait timeout")

type (
	// fleet is a set of daemons that run as processes. Stand-ins for the platform
	// and for the backend servers run in the current process.
	fleet struct {
		dir      string
		network  string // first two octets of all addresses
		platform *consul.Platform
		servers  []*http.Server
		daemons  []*daemon
		done     chan struct{}
	}

	// daemon is the process of one daemon.
	daemon struct {
		name            string
		callerAddress   string
		operatorAddress string
		command         *exec.Cmd
		exited          chan struct{}
	}

	// server is an HTTP server with its listener.
	server struct {
		http     *http.Server
		listener net.Listener
	}

	configEdit struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
		Text string `json:"text,omitempty"`
		Base uint64 `json:"base"`
	}

	changeRequest struct {
		Author string       `json:"author"`
		Edits  []configEdit `json:"edits"`
	}

	changeReply struct {
		Revision uint64 `json:"revision"`
	}

	hostStatus struct {
		Name string `json:"name"`
	}

	serverStatus struct {
		ID string `json:"id"`
	}

	statusReply struct {
		ConfigRevision uint64         `json:"configRevision"`
		Hosts          []hostStatus   `json:"hosts"`
		Servers        []serverStatus `json:"servers"`
	}
)

// newFleet returns a fleet with a running platform and without daemons. number
// selects the network, so that fleets with different numbers don't share addresses.
func newFleet(number int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "hickorylab-bench-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, network: networkPrefix(number), platform: consul.New(), done: make(chan struct{}),
	}
	go f.platform.Run(f.done)
	return f, f.serve(f.address(0, 1, platformPort), f.platform)
}

// networkPrefix returns the first two octets of a fleet's loopback addresses. They
// depend on the fleet's number, which keeps the fleets of one measurement apart, and
// on the process ID, so that concurrent measurements rarely share addresses. They lie
// outside of the range that the clusters of tests use.
func networkPrefix(number int) string {
	const first, count = 200, 50
	return fmt.Sprintf("127.%d", first+(os.Getpid()*7+number)%count)
}

func (f *fleet) address(high, low int, port uint16) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s.%d.%d:%d", f.network, high, low, port))
}

// hostAddress returns an address of the daemon with a number, which counts from 0.
// The last two octets start at 1.
func (f *fleet) hostAddress(number int, port uint16) netip.AddrPort {
	const perOctet = 200
	return f.address(1+number/perOctet, 1+number%perOctet, port)
}

func (f *fleet) serve(address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	s := &http.Server{Handler: handler}
	f.servers = append(f.servers, s)
	go server{http: s, listener: listener}.run()
	return nil
}

func (s server) run() {
	_ = s.http.Serve(s.listener) // returns when the fleet is closed
}

// addServers starts and registers backend servers that only report their load.
func (f *fleet) addServers(count int) error {
	handler := http.HandlerFunc(serveStatusOnly)
	for i := range count {
		address := f.address(100+i/250, 1+i%250, serverPort)
		if err := f.serve(address, handler); err != nil {
			return err
		}
		f.register(fmt.Sprintf("decode-%05d", i), address, map[string]string{
			"role": "decode", "model": model, "slots": strconv.Itoa(engineSlots), "failureDomain": domainOf(i), "fencing": "checked",
		})
	}
	return nil
}

func (f *fleet) register(id string, address netip.AddrPort, meta map[string]string) {
	meta["state"] = "live"
	f.platform.Register(consul.Service{
		ServiceID: id, ServiceAddress: address.Addr().String(), ServicePort: address.Port(), ServiceMeta: meta,
	})
}

// serveStatusOnly responds to the status requests that a home sends to an engine. It
// reports the load of a peak hour, no requests and no cache events.
func serveStatusOnly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	var reply any = struct{}{}
	switch r.URL.Path {
	case wire.PathLoad:
		reply = wire.LoadReply{ObservedAt: time.Now(), SlotsUsed: engineSlotsUsed, SlotsTotal: engineSlots}
	case wire.PathRequests:
		reply = wire.RequestsReply{Requests: []wire.RequestInfo{}}
	case wire.PathCacheEvents:
		reply = wire.CacheEventsReply{}
	case wire.PathCacheSnapshot:
		reply = wire.CacheSnapshotReply{}
	}
	_ = json.NewEncoder(w).Encode(reply) // fails if the daemon has disconnected
}

// startDaemons starts daemons and waits until each lists all hosts and registered
// servers and has the configuration.
func (f *fleet) startDaemons(ctx context.Context, program string, count, servers, workspaces int) error {
	for i := range count {
		if err := f.startDaemon(program, i); err != nil {
			return err
		}
	}
	if err := f.waitUntil(ctx, f.allReady); err != nil {
		return err
	}
	if err := f.configure(ctx, workspaces); err != nil {
		return err
	}
	return f.waitUntil(ctx, func() bool { return f.allConverged(count, servers) })
}

func (f *fleet) startDaemon(program string, number int) error {
	d := &daemon{
		name: fmt.Sprintf("host-%03d", number), callerAddress: f.hostAddress(number, callerPort).String(),
		operatorAddress: f.hostAddress(number, operatorPort).String(), exited: make(chan struct{}),
	}
	file := filepath.Join(f.dir, d.name+".ini")
	if err := os.WriteFile(file, []byte(f.settings(d, number)), 0o600); err != nil {
		return err
	}
	d.command = exec.Command(program, "serve", "--settings", file)
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	f.daemons = append(f.daemons, d)
	go d.run()
	return nil
}

// run waits until the process has exited.
func (d *daemon) run() {
	_ = d.command.Wait() // close kills the process, so it exits with an error
	close(d.exited)
}

func (f *fleet) settings(d *daemon, number int) string {
	seeds := []string{f.hostAddress(0, peerPort).String(), f.hostAddress(1, peerPort).String()}
	kv := f.address(0, 1, platformPort)
	return fmt.Sprintf("[host]\nname = %s\nfailureDomain = %s\n\n[listen]\ncaller = %s\noperator = %s\npeer = %s\n\n"+
		"[platform]\nkv = %s\nhostList = %s\n\n[peers]\nseeds = %s\n\n[auth]\noperatorToken = %s\n\n[log]\nlevel = error\n",
		d.name, domainOf(number), d.callerAddress, d.operatorAddress, f.hostAddress(number, peerPort), kv, kv, strings.Join(seeds, ", "), operatorToken)
}

// configure commits a configuration with a model service, a plain service and the
// workspaces. directPrompt lets decode servers prefill prompts of up to a million
// tokens, because the fleet has no prefill servers.
func (f *fleet) configure(ctx context.Context, workspaces int) error {
	edits := []configEdit{
		{Kind: "profile", Name: "model", Text: "[targets]\nfirstToken = 2s\n\n[admission]\nmaxWait = 30s\ndirectPrompt = 1000000\n"},
		{Kind: "profile", Name: "plain", Text: "[targets]\nanswer = 5s\n"},
		{Kind: "service", Name: modelService, Text: "[service]\nkind = model\nmodel = " + model + "\nprofile = model\n"},
		{Kind: "service", Name: plainService, Text: "[service]\nkind = plain\nprofile = plain\n"},
	}
	for i := range workspaces {
		edits = append(edits, configEdit{Kind: "workspace", Name: workspaceOf(i), Text: "[workspace]\nshare = 1\n"})
	}
	_, err := f.change(ctx, edits)
	return err
}

// change commits edits through the first daemon and returns the new revision.
func (f *fleet) change(ctx context.Context, edits []configEdit) (uint64, error) {
	var reply changeReply
	err := f.admin(ctx, http.MethodPost, f.daemons[0], "/admin/v1/changes", changeRequest{Author: "bench", Edits: edits}, &reply)
	return reply.Revision, err
}

func (f *fleet) admin(ctx context.Context, method string, d *daemon, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.operatorAddress+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	replyData, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s of %s: status %d: %s", path, d.name, response.StatusCode, replyData)
	}
	return json.Unmarshal(replyData, reply)
}

func (f *fleet) allReady() bool {
	for _, d := range f.daemons {
		response, err := http.Get("http://" + d.operatorAddress + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

func (f *fleet) allConverged(hosts, servers int) bool {
	for _, d := range f.daemons {
		var status statusReply
		if err := f.admin(context.Background(), http.MethodGet, d, "/admin/v1/status", nil, &status); err != nil {
			return false
		}
		if len(status.Hosts) != hosts || len(status.Servers) < servers || status.ConfigRevision == 0 {
			return false
		}
	}
	return true
}

func (f *fleet) waitUntil(ctx context.Context, condition func() bool) error {
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return ErrTimeout
		}
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// close stops all processes and servers.
func (f *fleet) close() {
	for _, d := range f.daemons {
		_ = d.command.Process.Kill() // fails if the process has exited already
	}
	for _, d := range f.daemons {
		select {
		case <-d.exited:
		case <-time.After(stopTimeout):
		}
	}
	for _, s := range f.servers {
		s.Close()
	}
	close(f.done)
	os.RemoveAll(f.dir)
}

func domainOf(number int) string {
	return fmt.Sprintf("domain-%d", number%domainCount)
}

func workspaceOf(number int) string {
	if number == 0 {
		return workspaceName
	}
	return fmt.Sprintf("%s-%03d", workspaceName, number)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
