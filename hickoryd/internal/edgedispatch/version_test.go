package edgedispatch_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/retrybudget"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/streamorigin"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

type (
	// originStore is the store of origins. It has stored of each stream.
	originStore struct {
		stored  *streamorigin.Stored
		avoided []string
	}

	// originPeers are other hosts with a finding about every stream. They record what is
	// reported to them.
	originPeers struct {
		noPeers
		finding streamorigin.Finding
		err     error

		mu       sync.Mutex
		reported []streamorigin.Origin
		queried  []netip.AddrPort
	}

	// hostList is a list of backend servers and hosts.
	hostList struct {
		*changingServers
		hosts         *atomic.Pointer[[]netip.AddrPort]
		isUnreachable *atomic.Bool
	}

	// resumption is a caller's request that resumes a stream.
	resumption struct {
		id, resumes string
		lastEvent   uint64
	}
)

func newHostList(list *changingServers) hostList {
	l := hostList{list, &atomic.Pointer[[]netip.AddrPort]{}, &atomic.Bool{}}
	l.setHosts("127.0.0.1:1", "127.0.0.2:1")
	return l
}

func (l hostList) setHosts(addresses ...string) {
	var hosts []netip.AddrPort
	for _, address := range addresses {
		hosts = append(hosts, netip.MustParseAddrPort(address))
	}
	l.hosts.Store(&hosts)
}

func (l hostList) Hosts() []netip.AddrPort { return *l.hosts.Load() }

func (l hostList) IsStoreUnreachable() bool { return l.isUnreachable.Load() }

func (p *originPeers) ReportOrigins(_ context.Context, _ netip.AddrPort, origins []streamorigin.Origin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported = append(p.reported, origins...)
}

func (p *originPeers) FindOrigin(_ context.Context, addresses []netip.AddrPort, _, _ string, _ time.Duration) (streamorigin.Finding, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queried = addresses
	return p.finding, p.err
}

func (p *originPeers) hasReport(want streamorigin.Origin) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, origin := range p.reported {
		if origin == want {
			return true
		}
	}
	return false
}

// recorded returns a store that has a complete record of versions.
func recorded(versions ...string) *streamorigin.Stored {
	return &streamorigin.Stored{Record: &streamorigin.Record{Versions: versions, IsComplete: true}}
}

func (s *originStore) Record(time.Time, streamorigin.Origin) {}

func (s *originStore) AvoidedVersions(time.Time, string) []string { return s.avoided }

func (s *originStore) Find(context.Context, string, string) *streamorigin.Stored { return s.stored }

// startVersion returns a decode server of a software version. A run sends the events from
// the one after that which the caller has up to number last, each with the version, and
// then ends by end.
func startVersion(t *testing.T, id, version string, last int, end http.HandlerFunc) serverlist.Server {
	var hasCapacity atomic.Bool
	hasCapacity.Store(true)
	server := startDecodeServer(t, id, &hasCapacity, func(w http.ResponseWriter, r *http.Request) {
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		beginEvents(w)
		for number := first + 1; number <= last; number++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, version)
		}
		_ = http.NewResponseController(w).Flush()
		end(w, r)
	})
	server.SoftwareVersion = version
	return server
}

func complete(http.ResponseWriter, *http.Request) {}

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// versionsOf returns the events of a body as "1:v1 2:v1".
func versionsOf(body string) string {
	return strings.TrimSpace(strings.NewReplacer("id: ", "", "\ndata: ", ":", "\n\n", " ").Replace(body))
}

func newVersionDispatcher(t *testing.T, list *changingServers, peers *originPeers) *edgedispatch.Dispatcher {
	t.Helper()
	return newHostDispatcher(t, newHostList(list), peers)
}

func newHostDispatcher(t *testing.T, list hostList, peers *originPeers) *edgedispatch.Dispatcher {
	t.Helper()
	return newStoringDispatcher(t, list, peers, &originStore{})
}

func newStoringDispatcher(t *testing.T, list hostList, peers *originPeers, store *originStore) *edgedispatch.Dispatcher {
	t.Helper()
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	return edgedispatch.New(t.Context(), edgedispatch.Options{Budget: retrybudget.Limits{Slack: 100}}, list,
		upstream.NewPool(netip.Addr{}, metrics.NewSet()), peers, noQuarantine{}, store, logger, metrics.NewSet())
}

// resume sends a request that resumes a stream and returns what send returns.
func resume(t *testing.T, d *edgedispatch.Dispatcher, from resumption) (int, string) {
	t.Helper()
	r := resumable
	r.Name, r.Service, r.Timeout, r.LatencyTarget = "r", "s", callerTimeout, 300*time.Millisecond
	now := time.Now()
	header := http.Header{"Request-Id": {from.id}}
	metadata := platform.Request{ID: from.id, PromptTokens: promptTokens, MaxOutputTokens: 10, TimeLeft: callerTimeout}
	if from.resumes != "" {
		header.Set("Last-Event-Id", strconv.FormatUint(from.lastEvent, 10))
		metadata.LastEventID, metadata.IsResumed, metadata.ResumesID = from.lastEvent, true, from.resumes
	}
	got := &sink{}
	err := d.Serve(t.Context(), &edgedispatch.Request{
		Metadata: metadata, Route: &r, Method: http.MethodPost, Target: "/x", Host: "h", Header: header, Arrived: now, Deadline: now.Add(callerTimeout),
	}, got)
	var failure *edgedispatch.Failure
	switch {
	case err == nil:
		return got.status, versionsOf(got.body.String())
	case errors.As(err, &failure):
		return failure.Status, failure.Reason
	default:
		return 0, versionsOf(got.body.String())
	}
}

// TestStreamKeepsItsSoftwareVersion guards against a response with events of servers of two
// software versions: it breaks off at one server, or the server stays silent, and other
// versions have capacity.
func TestStreamKeepsItsSoftwareVersion(t *testing.T) {
	const noEvent = -1
	tests := []struct {
		name   string
		last   int              // number of the last event of the first server's run; 0 is 2
		end    http.HandlerFunc // of the first server's run, after that event
		others []string         // versions of the other servers, the preferred one first
		want   string
		status int
	}{
		{name: "broken off", end: broken, others: []string{"v2", "v1"}, want: "1:v1 2:v1 3:v1", status: http.StatusOK},
		{name: "silent", end: silent, others: []string{"v2", "v1"}, want: "1:v1 2:v1 3:v1", status: http.StatusOK},
		{name: "silent after the headers, so that no event binds the stream", last: noEvent, end: silent, others: []string{"v2", "v1"}, want: "1:v2 2:v2 3:v2", status: http.StatusOK},
		{name: "broken off without another server of the version", end: broken, others: []string{"v2", "v3"}, want: "1:v1 2:v1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			list := &changingServers{}
			var others servers
			for i, version := range tt.others {
				other := startVersion(t, fmt.Sprint("other", i), version, 3, complete)
				if i > 0 {
					other.FailureDomain = "elsewhere" // the others are preferred
				}
				others = append(others, other)
			}
			first := startVersion(t, "first", "v1", cmp.Or(tt.last, 2), func(w http.ResponseWriter, r *http.Request) {
				list.set(append(others, list.Servers().Servers...))
				tt.end(w, r)
			})
			list.set(servers{first})
			d := newVersionDispatcher(t, list, &originPeers{})
			started := time.Now()
			status, got := resume(t, d, resumption{id: "r1"})
			if status != tt.status || got != tt.want {
				t.Errorf("status %d, want %d; events %s, want %s", status, tt.status, got, tt.want)
			}
			if took := time.Since(started); tt.status == 0 && took > callerTimeout/2 {
				t.Errorf("the response ended after %v, want at once: no server can go on with the stream", took)
			}
		})
	}
}

// TestMigrationKeepsSoftwareVersion guards against a run that is migrated to a server of
// another software version.
func TestMigrationKeepsSoftwareVersion(t *testing.T) {
	tests := []struct {
		name       string
		hasSame    bool // whether another server has the version
		wantServer string
	}{
		{name: "to a server of the version", hasSame: true, wantServer: "same"},
		{name: "not without a server of the version"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var resumedAt atomic.Value
			resumedAt.Store("")
			target := func(id, version string) serverlist.Server {
				s := startServer(t, id, serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
					if strings.HasPrefix(r.URL.Path, "/hickoryfront/") {
						_, _ = io.WriteString(w, `{"hold":"h"}`)
						return
					}
					resumedAt.Store(id)
					last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
					sendEvents(w, fmt.Sprint(last+1))
				})
				s.SoftwareVersion = version
				return s
			}
			source := &migrationSource{events: 30, drainAt: 2, stopped: make(chan struct{})}
			first := startServer(t, "first", serverlist.Decode, source.ServeHTTP)
			first.SoftwareVersion = "v1"
			others := servers{target("new", "v2")}
			if tt.hasSame {
				same := target("same", "v1")
				same.FailureDomain = "elsewhere" // the new version is preferred
				others = append(others, same)
			}
			list := &changingServers{}
			list.set(servers{first})
			source.onDrain = func() {
				draining := first
				draining.IsDraining = true
				list.set(append(servers{draining}, others...))
			}
			status, body := send(t, newVersionDispatcher(t, list, &originPeers{}), resumable, callerTimeout)
			if got := resumedAt.Load().(string); status != http.StatusOK || !isWhole(body) || got != tt.wantServer {
				t.Errorf("status %d, want 200; run resumed at %q, want %q; body %q", status, got, tt.wantServer, body)
			}
		})
	}
}

// TestCallerResumesAtSoftwareVersion guards against a stream that goes on at another
// software version when its caller resumes it, at the host that began it or at another.
func TestCallerResumesAtSoftwareVersion(t *testing.T) {
	from := resumption{id: "r2", resumes: "r1", lastEvent: 2}
	unknown := errors.New("no host has responded")
	tests := []struct {
		name     string
		versions []string // of the servers, the preferred one first
		finding  streamorigin.Finding
		stored   *streamorigin.Stored
		err      error
		isAlone  bool // whether the list has no host but this one
		isCutOff bool // whether the store does not respond to this host
		status   int
		want     string // events; "" for a refusal
	}{
		{name: "another host began the stream", versions: []string{"v2", "v1"}, finding: streamorigin.Finding{IsFound: true, SoftwareVersion: "v1"}, status: http.StatusOK, want: "3:v1"},
		{name: "no server of the version is left", versions: []string{"v2", "v3"}, finding: streamorigin.Finding{IsFound: true, SoftwareVersion: "v1"}, status: http.StatusServiceUnavailable},
		{name: "the origin is unknown and several versions serve", versions: []string{"v2", "v1"}, finding: streamorigin.Finding{IsMixed: true}, status: http.StatusServiceUnavailable},
		{name: "the origin is unknown and no other host responds", versions: []string{"v2", "v1"}, err: unknown, status: http.StatusServiceUnavailable},
		{name: "this host knows no other host yet", versions: []string{"v2"}, finding: streamorigin.Finding{IsFound: true, SoftwareVersion: "v1"}, isAlone: true, status: http.StatusServiceUnavailable},
		{name: "the service has had one version only", versions: []string{"v1"}, finding: streamorigin.Finding{IsSole: true, SoleVersion: "v1"}, status: http.StatusOK, want: "3:v1"},
		{name: "the service had another version only", versions: []string{"v2"}, finding: streamorigin.Finding{IsSole: true, SoleVersion: "v1"}, status: http.StatusServiceUnavailable},
		{name: "no host knows it and the list may be out of date", versions: []string{"v1"}, isCutOff: true, status: http.StatusServiceUnavailable},
		{name: "all hosts have started again, with one version recorded", versions: []string{"v1"}, stored: recorded("v1"), status: http.StatusOK, want: "3:v1"},
		{name: "all hosts have started again, another version has served", versions: []string{"v2"}, stored: recorded("v1", "v2"), status: http.StatusServiceUnavailable},
		{name: "all hosts have started again, with nothing recorded", versions: []string{"v2"}, stored: &streamorigin.Stored{}, status: http.StatusServiceUnavailable},
		{name: "all hosts have started again, the store has the origin", versions: []string{"v2", "v1"}, stored: &streamorigin.Stored{IsFound: true, SoftwareVersion: "v1"}, status: http.StatusOK, want: "3:v1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			list := &changingServers{}
			var all servers
			for i, version := range tt.versions {
				s := startVersion(t, fmt.Sprint("s", i), version, 3, complete)
				if i > 0 {
					s.FailureDomain = "elsewhere" // the others are preferred
				}
				all = append(all, s)
			}
			list.set(all)
			hosts := newHostList(list)
			if tt.isAlone {
				hosts.setHosts()
			}
			hosts.isUnreachable.Store(tt.isCutOff)
			d := newStoringDispatcher(t, hosts, &originPeers{finding: tt.finding, err: tt.err}, &originStore{stored: tt.stored})
			started := time.Now()
			status, got := resume(t, d, from)
			if status != tt.status || tt.want != "" && got != tt.want {
				t.Errorf("status %d, want %d; got %q, want %q", status, tt.status, got, tt.want)
			}
			if took := time.Since(started); tt.want == "" && took > time.Second {
				t.Errorf("refused after %v, want at once", took)
			}
		})
	}
}

// TestUnrecordedVersionsBeginNoStream guards against streams at a version that the store has not
// recorded: if all hosts fail, nothing shows that there was one.
func TestUnrecordedVersionsBeginNoStream(t *testing.T) {
	t.Parallel()
	list := &changingServers{}
	recorded := startVersion(t, "recorded", "v1", 3, complete)
	recorded.FailureDomain = "elsewhere" // the other version is preferred
	list.set(servers{startVersion(t, "new", "v2", 3, complete), recorded})
	d := newStoringDispatcher(t, newHostList(list), &originPeers{}, &originStore{avoided: []string{"v2"}})
	if status, got := resume(t, d, resumption{id: "r1"}); status != http.StatusOK || got != "1:v1 2:v1 3:v1" {
		t.Errorf("status %d, events %s; want events of v1", status, got)
	}
}

// TestHostKnowsItsOwnStreams begins a stream whose caller then resumes it at the same host,
// and checks what the host tells the others.
func TestHostKnowsItsOwnStreams(t *testing.T) {
	first := startVersion(t, "first", "v1", 2, broken)
	list := &changingServers{}
	list.set(servers{first})
	peers := &originPeers{}
	d := newVersionDispatcher(t, list, peers)
	if status, got := resume(t, d, resumption{id: "r1"}); status != 0 || got != "1:v1 2:v1" {
		t.Fatalf("status %d, events %s; want a truncated stream", status, got)
	}
	other := startVersion(t, "other", "v2", 3, complete)
	same := startVersion(t, "same", "v1", 3, complete)
	same.FailureDomain = "elsewhere" // the other version is preferred
	list.set(servers{other, same})
	if status, got := resume(t, d, resumption{id: "r2", resumes: "r1", lastEvent: 2}); status != http.StatusOK || got != "3:v1" {
		t.Errorf("status %d, events %s; want event 3 of v1", status, got)
	}
	want := streamorigin.Origin{RequestID: "r1", Service: "s", SoftwareVersion: "v1"}
	for deadline := time.Now().Add(5 * time.Second); !peers.hasReport(want); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("reported %v, want %v once a second version serves", peers.reported, want)
		}
	}
}

// TestOriginIsReportedBeforeOtherVersions guards against streams that no other host can take up
// because their host fell silent before a second software version served.
func TestOriginIsReportedBeforeOtherVersions(t *testing.T) {
	list := &changingServers{}
	list.set(servers{startVersion(t, "first", "v1", 3, complete)})
	peers := &originPeers{}
	if status, _ := resume(t, newVersionDispatcher(t, list, peers), resumption{id: "r1"}); status != http.StatusOK {
		t.Fatalf("status %d, want 200", status)
	}
	want := streamorigin.Origin{RequestID: "r1", Service: "s", SoftwareVersion: "v1"}
	for deadline := time.Now().Add(5 * time.Second); !peers.hasReport(want); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the origin of a stream is not reported while its service has one version")
		}
	}
}

// TestLapsedHostsAreQueried guards against streams that can't be resumed because the
// registrations of the other hosts have lapsed, as they do when the store was away.
func TestLapsedHostsAreQueried(t *testing.T) {
	servers := &changingServers{}
	servers.set([]serverlist.Server{startVersion(t, "s1", "v1", 3, complete), startVersion(t, "s2", "v2", 3, complete)})
	list := newHostList(servers)
	peers := &originPeers{finding: streamorigin.Finding{IsFound: true, SoftwareVersion: "v1"}}
	d := newHostDispatcher(t, list, peers)
	if status, _ := resume(t, d, resumption{id: "r1"}); status != http.StatusOK {
		t.Fatalf("status %d, want 200", status)
	}
	list.setHosts("127.0.0.1:1")
	if status, got := resume(t, d, resumption{id: "r3", resumes: "r2", lastEvent: 2}); status != http.StatusOK || got != "3:v1" {
		t.Errorf("status %d, events %s; want event 3 of v1", status, got)
	}
	if len(peers.queried) != 2 {
		t.Errorf("queried %v, want both hosts", peers.queried)
	}
}

// TestResumedStreamWaitsForCapacity guards against a caller that resumes a stream and is
// refused, or served late, as if it were a late retry that yields to new requests.
func TestResumedStreamWaitsForCapacity(t *testing.T) {
	t.Parallel()
	var hasCapacity atomic.Bool
	server := startDecodeServer(t, "s1", &hasCapacity, func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, "3") })
	server.SoftwareVersion = "v1"
	list := &changingServers{}
	list.set(servers{server})
	d := newVersionDispatcher(t, list, &originPeers{finding: streamorigin.Finding{IsFound: true, SoftwareVersion: "v1"}})
	const wait = time.Second // more than three target latencies
	time.AfterFunc(wait, func() { hasCapacity.Store(true) })
	started := time.Now()
	status, got := resume(t, d, resumption{id: "r2", resumes: "r1", lastEvent: 2})
	if took := time.Since(started); status != http.StatusOK || got != "3" || took > wait+wait/2 {
		t.Errorf("status %d, events %q after %v; want event 3 soon after %v", status, got, took, wait)
	}
}

// TestStreamWaitsForRestartOfItsServers guards against streams that are cut or refused because
// the last server of their software version has crashed and is about to start again.
func TestStreamWaitsForRestartOfItsServers(t *testing.T) {
	const downTime = 700 * time.Millisecond
	for _, isResumed := range []bool{false, true} {
		for _, keepsID := range []bool{false, true} {
			t.Run(fmt.Sprintf("resumed by its caller %t, under its ID %t", isResumed, keepsID), func(t *testing.T) {
				t.Parallel()
				list := &changingServers{}
				other := startVersion(t, "other", "v2", 3, complete)
				next := startVersion(t, "next", "v1", 3, complete)
				next.StartedAt = time.UnixMilli(2000)
				var crash func()
				first := startVersion(t, "first", "v1", 2, func(http.ResponseWriter, *http.Request) {
					crash()
					panic(http.ErrAbortHandler)
				})
				first.StartedAt = time.UnixMilli(1000)
				gone := first
				gone.Address = netip.MustParseAddrPort("127.0.0.1:1")
				crash = func() {
					if keepsID {
						next.ID = first.ID
						list.set(servers{gone, other}) // the registration stays for a while
					} else {
						list.set(servers{other})
					}
					time.AfterFunc(downTime, func() { list.set(servers{other, next}) })
				}
				list.set(servers{first, other})
				d := newVersionDispatcher(t, list, &originPeers{finding: streamorigin.Finding{IsFound: true, SoftwareVersion: "v1"}})
				from, want := resumption{id: "r1", resumes: "r0", lastEvent: 1}, "2:v1 3:v1"
				if isResumed {
					_ = d.FindOrigin(time.Now(), "r0", "s", time.Second) // observes the list
					from, want = resumption{id: "r1", resumes: "r0", lastEvent: 2}, "3:v1"
					crash()
				}
				if status, got := resume(t, d, from); status != http.StatusOK || got != want {
					t.Errorf("status %d, events %q; want 200 and %s", status, got, want)
				}
			})
		}
	}
}

// TestRestartedServerProvesNoVersion guards against streams that go on, or begin, at a server that
// has started again under its ID with another version, while the list of servers shows the one
// before.
func TestRestartedServerProvesNoVersion(t *testing.T) {
	registered, restarted := time.UnixMilli(1000), time.UnixMilli(2000)
	start := func(t *testing.T, id, version string, started time.Time) serverlist.Server {
		s := startVersion(t, id, version, 3, complete)
		backend := s.Address.String()
		proxied := startServer(t, id, serverlist.Decode, func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/report") {
				_, _ = fmt.Fprintf(w, `{"stage":"decode","born":%d}`, started.UnixMilli())
				return
			}
			(&httputil.ReverseProxy{Rewrite: func(p *httputil.ProxyRequest) { p.Out.URL.Scheme, p.Out.URL.Host = "http", backend }}).ServeHTTP(w, r)
		})
		proxied.SoftwareVersion, proxied.StartedAt = "v1", registered
		return proxied
	}
	tests := []struct {
		name          string
		from          resumption
		isUnreachable bool // the store
		hasOther      bool // whether a server of the version serves that has not started again
		status        int
		want          string
	}{
		{name: "a stream is taken up", from: resumption{id: "r2", resumes: "r1", lastEvent: 2}, hasOther: true, status: http.StatusOK, want: "3:v1"},
		{name: "a stream is taken up, the store is away", from: resumption{id: "r2", resumes: "r1", lastEvent: 2}, isUnreachable: true, hasOther: true, status: http.StatusOK, want: "3:v1"},
		{name: "a stream is taken up, no other server", from: resumption{id: "r2", resumes: "r1", lastEvent: 2}, status: http.StatusServiceUnavailable, want: `no decode server of software version "v1" is left`},
		{name: "a stream begins while the store is away", from: resumption{id: "r1"}, isUnreachable: true, hasOther: true, status: http.StatusOK, want: "1:v1 2:v1 3:v1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			list := &changingServers{}
			all := servers{start(t, "restarted", "v2", restarted)}
			if tt.hasOther {
				other := start(t, "other", "v1", registered)
				other.FailureDomain = "elsewhere" // the restarted one is preferred
				all = append(all, other)
			}
			list.set(all)
			hosts := newHostList(list)
			hosts.isUnreachable.Store(tt.isUnreachable)
			d := newHostDispatcher(t, hosts, &originPeers{finding: streamorigin.Finding{IsFound: true, SoftwareVersion: "v1"}})
			if status, got := resume(t, d, tt.from); status != tt.status || got != tt.want {
				t.Errorf("status %d, got %q; want %d and %q", status, got, tt.status, tt.want)
			}
		})
	}
}
