package crowd_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
	"github.com/hickoryfront/hickoryfront/hickorylab/metastore"
	"github.com/hickoryfront/hickoryfront/hickorylab/worker"
)

const (
	// memoryMB and descriptors limit the host. 88 MB is the smallest host in use; it has more
	// descriptors, but a small number allows a small crowd.
	memoryMB    = 88
	descriptors = 1024
	// maxDescriptors leaves a part of the descriptors for connections to backend servers.
	maxDescriptors = descriptors * 7 / 8
	// longResponseBytes is the size of the response of the service long.
	longResponseBytes = 8 << 20
	// waitTimeout ends a wait whose condition never holds. It is not a bound on speed.
	waitTimeout = 45 * time.Second

	callerPort   = 18080
	readyPort    = 18081
	peerPort     = 18082
	operatorPort = 18083
)

// environment is a store and plain servers.
type environment struct {
	network string
	store   *metastore.Store
	client  *http.Client
	counter int
}

// host is a process under test.
type host struct {
	*environment
	process *harness.Process
	pid     int
}

func startEnvironment(t *testing.T) *environment {
	t.Helper()
	store := newStore()
	e := &environment{network: harness.FreeNetwork(t), store: store, client: &http.Client{
		Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	serve(t, e.address(10, 18500), store)
	server, err := worker.NewGroup(store).Start("shop", "", e.address(20, 19000))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Crash)
	serve(t, e.address(30, 19000), http.HandlerFunc(serveLong))
	store.Put("servers/long-1", map[string]any{
		"service": "long", "address": e.address(30, 19000), "zone": "z1", "version": worker.DefaultVersion, "slots": 500, "state": "ready", "sequence": 1,
		"born": time.Now().UnixMilli(),
	})
	return e
}

func serve(t *testing.T, address string, handler http.Handler) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed at the end of the test
	t.Cleanup(func() { server.Close() })
}

// serveLong responds like a plain server, with a long body.
func serveLong(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", "stamp")
	part := make([]byte, 64<<10)
	for range longResponseBytes / len(part) {
		if _, err := w.Write(part); err != nil {
			return // the host has closed the connection
		}
	}
}

func (e *environment) address(lastOctet, port int) string {
	return fmt.Sprintf("%s.%d:%d", e.network, lastOctet, port)
}

// hostAddress returns the address of a listener of the host.
func (e *environment) hostAddress(port int) string {
	return e.address(100, port)
}

// startHost starts a host that has no memory of an earlier case, and waits until it is ready.
func (e *environment) startHost(t *testing.T) *host {
	t.Helper()
	return e.startHostWith(t, descriptors)
}

// startHostWith is like startHost with another number of descriptors.
func (e *environment) startHostWith(t *testing.T, descriptors int) *host {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "host.ini")
	text := fmt.Sprintf("[host]\nname = host\nfailureDomain = z1\nfirstStart = true\nmemoryMB = %d\n[listen]\ncaller = %s\nready = %s\npeer = %s\noperator = %s\n"+
		"[store]\naddress = %s\n[peers]\nseeds = %s\n[log]\nlevel = warn\n", memoryMB, e.hostAddress(callerPort), e.hostAddress(readyPort), e.hostAddress(peerPort),
		e.hostAddress(operatorPort), e.address(10, 18500), e.hostAddress(peerPort))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	// The process writes its ID before the shell becomes the daemon.
	command := fmt.Sprintf("ulimit -n %d && echo $$ > %s/pid && exec %s edge --settings %s", descriptors, dir, binaries.Daemon, path)
	h := &host{environment: e, process: harness.NewProcess(t, dir, "host", "sh", "-c", command)}
	h.process.Start()
	await(t, "the host is ready", func() bool { return h.get(readyPort, "/hickoryfront/readiness") == nil })
	await(t, "the host serves requests", func() bool {
		return h.get(callerPort, "/lookup/ready") == nil && h.get(callerPort, "/long/ready") == nil
	})
	text = strings.TrimSpace(readFile(t, filepath.Join(dir, "pid")))
	var err error
	if h.pid, err = strconv.Atoi(text); err != nil {
		t.Fatal(err)
	}
	return h
}

// get makes a request on a new connection and returns an error unless it is answered with 200.
func (h *host) get(port int, path string) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+h.hostAddress(port)+path, nil)
	if err != nil {
		return err
	}
	h.counter++
	request.Host = "h.example"
	request.Header.Set("Request-Id", fmt.Sprintf("ordinary-%d", h.counter))
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return errors.Join(fmt.Errorf("status %d", response.StatusCode), err)
	}
	return err
}

// peakMB returns the largest resident memory that the process has had, in MB of 2^20 bytes.
func (h *host) peakMB(t *testing.T) float64 {
	t.Helper()
	for line := range strings.Lines(readFile(t, fmt.Sprintf("/proc/%d/status", h.pid))) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			if err != nil {
				t.Fatal(err)
			}
			return kb / 1024
		}
	}
	t.Fatal("the process has ended")
	return 0
}

// openDescriptors returns the number of descriptors that the process has open.
func (h *host) openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	return len(entries)
}

func (h *host) isAlive() bool {
	select {
	case <-h.process.Exited():
		return false
	default:
		return true
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting until %s", waitTimeout, what)
		}
	}
}
