package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// deployment is a small deployment: a store, workers and hosts of hickoryfront, which are
// separate processes.
type deployment struct {
	network string // the first three bytes of all addresses
	dir     string
	store   *store
	hosts   []*exec.Cmd
	count   int
	memory  int
}

const (
	storePort = 18500
	callPort  = 18080
	readyPort = 18081
	peerPort  = 18082
)

var zones = []string{"salt-lake", "new-town", "howrah", "behala"}

func newDeployment(count int) (*deployment, error) {
	d := &deployment{store: newStore(), count: count, memory: 134}
	for n := range 200 {
		d.network = fmt.Sprintf("127.%d.%d", 80+os.Getpid()%100, (os.Getpid()/100+n)%250)
		l, err := net.Listen("tcp4", d.network+".10:18500")
		if err == nil {
			l.Close()
			break
		}
	}
	var err error
	d.dir, err = os.MkdirTemp("", "lab3-")
	return d, err
}

func (d *deployment) address(octet, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.network, octet, port)
}

func (d *deployment) hostAddress(i, port int) string { return d.address(100+i, port) }

// startHosts starts all hosts with the command of the deploy file, and waits until they are ready.
func (d *deployment) startHosts() error {
	for i := range d.count {
		if err := (view{d.store, rewrite(i)}).listen(d.address(10, storePort+i)); err != nil {
			return err
		}
	}
	seeds := []string{}
	for i := range min(3, d.count) {
		seeds = append(seeds, d.hostAddress(i, peerPort))
	}
	for i := range d.count {
		text := fmt.Sprintf("[host]\nname = front-%d\nfailureDomain = %s\nmemoryMB = %d\nfirstStart = true\n\n[listen]\ncaller = %s\nready = %s\npeer = %s\noperator = %s\n\n"+
			"[store]\naddress = %s\ndrainTimeout = 2000ms\n\n[peers]\nseeds = %s\n\n[repeats]\nratio = 0.2\nslack = 54\n\n[room]\nservices = all\n\n[shutdown]\ngrace = 8s\n",
			i, zones[i%len(zones)], d.memory, d.hostAddress(i, callPort), d.hostAddress(i, readyPort), d.hostAddress(i, peerPort), d.hostAddress(i, 9464),
			d.address(10, storePort+i), strings.Join(seeds, ","))
		if err := os.WriteFile(d.settings(i), []byte(text), 0o600); err != nil {
			return err
		}
		d.hosts = append(d.hosts, nil)
		if err := d.startHost(i); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

// startHost starts the process of a host.
func (d *deployment) startHost(i int) error {
	log, err := os.OpenFile(filepath.Join(d.dir, fmt.Sprintf("host-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/hickoryd", "edge", "--quota-bounds", ",,")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HICKORYFRONT_SETTINGS=" + d.settings(i)}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.hosts[i] = command
	return command.Start()
}

func (d *deployment) settings(i int) string {
	return filepath.Join(d.dir, fmt.Sprintf("host-%d.ini", i))
}

// killAll kills the processes of all hosts.
func (d *deployment) killAll() {
	for _, h := range d.hosts {
		_ = h.Process.Kill()
	}
	for _, h := range d.hosts {
		_ = h.Wait()
	}
}

// restartAll starts all hosts again. The fleet has run before.
func (d *deployment) restartAll() error {
	for i := range d.hosts {
		text, err := os.ReadFile(d.settings(i))
		if err != nil {
			return err
		}
		text = []byte(strings.Replace(string(text), "firstStart = true", "firstStart = false", 1))
		if err := os.WriteFile(d.settings(i), text, 0o600); err != nil {
			return err
		}
		if err := d.startHost(i); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

// awaitReady waits until all hosts are ready.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for i := range d.count {
		for !d.isReady(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("host %d is not ready", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (d *deployment) isReady(i int) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.hostAddress(i, readyPort) + "/hickoryfront/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all hosts.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		_ = h.Process.Kill()
		_ = h.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// configuration is a document of the operator with the routes of a small deployment.
func configuration() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "shop.example", "path-prefix": prefix, "kind": kind, "service": "dokan", "timeout-ms": 800,
			"target-latency-ms": 100, "priority": 2, "max-attempts": attempts, "sticky-sessions": false, "resumable": false,
		}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("cart-hold", "/hold/", "unsafe", 1), route("stock-lookup", "/stock/", "safe", 2)},
		"services": []any{map[string]any{"name": "dokan", "health-path": "/health", "max-connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
