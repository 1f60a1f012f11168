package edgesoak_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
	"github.com/hickoryfront/hickoryfront/hickorylab/metastore"
	"github.com/hickoryfront/hickoryfront/hickorylab/worker"
)

const (
	hostCount = 3
	// hangGuard ends a wait that would never end; it is no bound on speed.
	hangGuard = 60 * time.Second
	// callerPatience is how long a caller waits.
	callerPatience = 4 * time.Second
)

type (
	// fleet is a store, backend servers and hosts.
	fleet struct {
		tb      testing.TB
		network string
		store   *metastore.Store
		workers *worker.Group
		plain   []*worker.Server
		models  []*worker.Server
		hosts   []*harness.Process
		client  *http.Client
		next    atomic.Uint64
	}

	// outcome is what a caller has seen of one request.
	outcome struct {
		id     string
		path   string
		status int // 0: no answer
		err    error
	}
)

// startFleet starts everything and waits until each host is ready.
func startFleet(tb testing.TB) *fleet {
	tb.Helper()
	store := metastore.New()
	f := &fleet{
		tb: tb, network: harness.FreeNetwork(tb), store: store, workers: worker.NewGroup(store),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}},
	}
	f.serve(f.storeAddress(), store)
	store.Put("op/config", configuration(1, "shop"))
	for i := range 3 {
		f.plain = append(f.plain, f.startServer("shop", "", 20+i))
	}
	for i, stage := range []string{"prefill", "prefill", "decode", "decode", "decode"} {
		f.models = append(f.models, f.startServer("model", stage, 30+i))
	}
	for i := range hostCount {
		f.hosts = append(f.hosts, f.startHost(i))
	}
	for i := range hostCount {
		f.awaitReady(i)
	}
	return f
}

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

func (f *fleet) address(last, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.network, last, port)
}

func (f *fleet) storeAddress() string {
	return f.address(10, 18500)
}

func (f *fleet) hostAddress(i int) netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("%s.%d", f.network, 1+i))
}

func (f *fleet) serve(address string, handler http.Handler) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		f.tb.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with the test
	f.tb.Cleanup(func() { server.Close() })
}

func (f *fleet) startServer(service, stage string, last int) *worker.Server {
	s, err := f.workers.Start(service, stage, f.address(last, 19000))
	if err != nil {
		f.tb.Fatal(err)
	}
	f.tb.Cleanup(s.Crash)
	return s
}

func (f *fleet) startHost(i int) *harness.Process {
	seeds := make([]string, hostCount)
	for n := range seeds {
		seeds[n] = f.address(1+n, 18082)
	}
	text := fmt.Sprintf("[host]\nname = host-%d\nfailureDomain = z1\n[listen]\ncaller = %s\nready = %s\npeer = %s\noperator = %s\n"+
		"[store]\naddress = %s\n[peers]\nseeds = %s\n[repeats]\nslack = 500\n",
		i, f.address(1+i, 18080), f.address(1+i, 18081), f.address(1+i, 18082), f.address(1+i, 18083), f.storeAddress(), strings.Join(seeds, ","))
	path := filepath.Join(f.tb.TempDir(), "host.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.tb.Fatal(err)
	}
	p := harness.NewProcess(f.tb, f.tb.TempDir(), fmt.Sprintf("host-%d", i), binaries.Daemon, "edge", "--settings", path)
	p.Start()
	return p
}

func (f *fleet) await(what string, condition func() bool) {
	f.tb.Helper()
	deadline := time.Now().Add(hangGuard)
	for !condition() {
		if time.Now().After(deadline) {
			f.tb.Fatalf("waited %v in vain until %s", hangGuard, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) awaitReady(i int) {
	f.tb.Helper()
	f.await(fmt.Sprintf("host %d is ready", i), func() bool { return f.isReady(i) })
}

func (f *fleet) isReady(i int) bool {
	response, err := f.client.Get("http://" + f.address(1+i, 18081) + "/hickoryfront/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ask sends one request through a host and checks that an answer with success
// is whole and its own.
func (f *fleet) ask(host int, path string) outcome {
	id := fmt.Sprintf("r-%06d", f.next.Add(1))
	o := outcome{id: id, path: path}
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	method, body := http.MethodPost, "body-"+id
	if strings.HasPrefix(path, "/lookup/") {
		method, body = http.MethodGet, ""
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.address(1+host, 18080)+path+id+"?q=a%2fb", strings.NewReader(body))
	if err != nil {
		f.tb.Error(err)
		return o
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(callerPatience.Milliseconds()))
	if isStream(path) {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Counts", fmt.Sprintf("1500,%d", events))
	}
	response, err := f.client.Do(request)
	if err != nil {
		o.err = err
		return o
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	o.status, o.err = response.StatusCode, err
	if o.status == http.StatusOK && err == nil {
		if want := wanted(method, path, request.URL.RequestURI(), body); string(got) != want {
			f.tb.Errorf("request %s %s got another answer:\n%.200q\nwant\n%.200q", id, path, got, want)
		}
	}
	return o
}

// events is the length of a stream.
const events = 25

func isStream(path string) bool {
	return strings.HasPrefix(path, "/draft/") || strings.HasPrefix(path, "/check/")
}

func wanted(method, path, target, body string) string {
	if !isStream(path) {
		return worker.ResponseBody(method, target, body)
	}
	var whole strings.Builder
	for number := range uint64(events) {
		whole.WriteString(worker.Event(target, body, number+1))
	}
	return whole.String()
}
