// Command standin plays one case of the review: it starts the project's own program with the
// command of the deploy file, and stand-ins for the platform's store, the workers and the
// clients, all on loopback addresses.
//
//	standin CASE RECORD
//
// It runs in the repository's root. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case couldn't run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
	// longest ends a case that hangs.
	longest = 115 * time.Second
)

// record is the file record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, arguments...))
}

// host is one process of hickoryd.
type host struct {
	name, ip string
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// system is a small deployment.
type system struct {
	*record
	hasTrouble bool
	network    string // the first three bytes of its addresses
	folder     string
	store      *store
	cluster    *cluster
	hosts      []*host
	client     *http.Client
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin CASE RECORD")
		os.Exit(failed)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	s := &system{record: &record{file: file, begin: time.Now()}, hasTrouble: os.Getenv("TROUBLE") != "0", folder: folder}
	s.client = &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	time.AfterFunc(longest, func() { s.finish(failed, "the case took too long") })
	s.note("case %s, with the disruption: %t", os.Args[1], s.hasTrouble)
	result, text, err := cases[os.Args[1]](s)
	if err != nil {
		s.finish(failed, err.Error())
	}
	s.finish(result, text)
}

var finishing sync.Once

// finish ends all processes and exits.
func (s *system) finish(result int, text string) {
	finishing.Do(func() {
		for _, h := range s.hosts {
			h.kill()
		}
		s.note("result %d (1: broken, 0: held, 2: couldn't run): %s", result, text)
		fmt.Println(text)
		_ = os.RemoveAll(s.folder)
		os.Exit(result)
	})
	select {}
}

// begin finds a free network and starts the store with a configuration.
func (s *system) begin(routes []any) error {
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d", 60+rand.IntN(150), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", s.network+".10:18500")
		if err != nil {
			continue
		}
		s.store = newStore()
		s.cluster = &cluster{store: s.store, record: s.record, handles: make(map[string]handle), ran: make(map[string]bool)}
		go func() { _ = http.Serve(listener, s.store) }()
		s.store.put("op/config", map[string]any{
			"version": 7, "routes": routes,
			"services": []any{
				map[string]any{"name": "model", "health-path": "/health", "max-connections": 360, "protocol": "h1", "tls": false},
				map[string]any{"name": "shop", "health-path": "/health", "max-connections": 100, "protocol": "h1", "tls": false},
			},
			"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		})
		return nil
	}
	return errors.New("no free network")
}

// targetLatency is the time within which the first event of a stream is due, in ms.
const targetLatency = 900

func streamRoute(name, prefix string, attempts int, isResumable bool) map[string]any {
	return slowStreamRoute(name, prefix, targetLatency, attempts, isResumable)
}

func slowStreamRoute(name, prefix string, targetMS, attempts int, isResumable bool) map[string]any {
	return map[string]any{
		"name": name, "hostname": "h.example", "path-prefix": prefix, "kind": "streaming", "timeout-ms": 14000, "target-latency-ms": targetMS, "priority": 1,
		"service": "model", "max-attempts": attempts, "sticky-sessions": true, "resumable": isResumable, "target-gap-ms": 300,
	}
}

func plainRoute(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": "h.example", "path-prefix": prefix, "kind": kind, "timeout-ms": 800, "target-latency-ms": 100, "priority": 2,
		"service": "shop", "max-attempts": attempts, "sticky-sessions": false, "resumable": false,
	}
}

// startHosts starts hosts and waits until they are ready and their list of workers is settled.
func (s *system) startHosts(zones ...string) error {
	program, err := filepath.Abs("target/hickoryd")
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(len(zones), 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:18082", s.network, 100+i))
	}
	for i, zone := range zones {
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: fmt.Sprintf("%s.%d", s.network, 100+i)}
		h.settings = filepath.Join(s.folder, h.name+".ini")
		if err := s.writeSettings(h, zone, seeds, true); err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		if err := s.startHost(h, program); err != nil {
			return err
		}
	}
	for i, h := range s.hosts {
		if !s.await(20*time.Second, func() bool { return s.isReady(h) }) {
			return fmt.Errorf("host %s is not ready", h.name)
		}
		if err := s.writeSettings(h, zones[i], seeds, false); err != nil {
			return err
		}
	}
	time.Sleep(10 * time.Second) // as on the platform, traffic starts 10 s after the machines
	return nil
}

// writeSettings fills in the template of the deploy file.
func (s *system) writeSettings(h *host, zone string, seeds []string, isFirst bool) error {
	text, err := os.ReadFile("deploy/settings.ini.tmpl")
	if err != nil {
		return err
	}
	values := strings.NewReplacer(
		"{{node-name}}", h.name, "{{zone}}", zone, "{{limits.memory-mb}}", "134", "{{bootstrap}}", fmt.Sprint(isFirst),
		"{{listen-addresses.front}}", h.ip+":18080", "{{listen-addresses.ready}}", h.ip+":18081", "{{listen-addresses.control}}", h.ip+":18082",
		"{{ip}}", h.ip, "{{platform.address}}", s.network+".10:18500", "{{bounds.drain-timeout-ms}}", "2000", "{{seed-nodes}}", strings.Join(seeds, ","),
		"{{bounds.retry-budget-ratio}}", "0.2", "{{bounds.retry-budget-slack}}", "54", "{{bounds.grace-period-s}}", "8",
	)
	filled := values.Replace(string(text))
	if strings.Contains(filled, "{{") {
		return errors.New("the settings template has a field that this stand-in doesn't know")
	}
	return os.WriteFile(h.settings, []byte(filled), 0o600)
}

// startHost starts a process with the command of the deploy file.
func (s *system) startHost(h *host, program string) error {
	h.command = exec.Command(program, "edge")
	h.command.Env = append(os.Environ(), "HICKORYFRONT_SETTINGS="+h.settings)
	log, err := os.OpenFile(filepath.Join(s.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), h.command
	h.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	s.note("host %s started", h.name)
	return nil
}

func (h *host) kill() {
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Kill()
		<-h.ended
	}
}

func (s *system) isReady(h *host) bool {
	response, err := s.client.Get("http://" + h.ip + ":18081/hickoryfront/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func (s *system) await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// hostLog writes the lines of a host's log that contain a text into the record.
func (s *system) hostLog(h *host, text string) {
	content, _ := os.ReadFile(filepath.Join(s.folder, h.name+".log"))
	for line := range strings.Lines(string(content)) {
		if strings.Contains(line, text) {
			s.note("log of %s: %s", h.name, strings.TrimSpace(line))
		}
	}
}
