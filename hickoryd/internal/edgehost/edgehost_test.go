package edgehost_test

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	gocmp "github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"

	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/room"
	"github.com/hickoryfront/hickoryfront/core/serverlimit"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/streamorigin"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgehost"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	// findTimeout is the time limit of Client.FindOrigin.
	findTimeout = 200 * time.Millisecond
	// attempts is how often a call is made whose result depends on that limit.
	attempts = 10
)

// host is a host that knows one server and records the reports it receives.
type host struct {
	mu       sync.Mutex
	lost     []string
	replaced []string
	origins  []streamorigin.Origin
	losses   []crash.PartLoss
	refusals []crash.PartRefusal
	lifted   []crash.PartRefusal
	limits   []serverlimit.Statement
	// permit is the response to each request for a permit.
	permit serverlimit.Permit
	// quotas is nil if the host knows no quotas.
	quotas   edgehost.QuotaReceiver
	ages     map[string]time.Duration
	reported chan struct{}
	// rooms are the responses to requests for room by service. The others are what was
	// received last.
	rooms        map[string]room.Answer
	roomRequest  room.Request
	roomPool     room.Pool
	roomInFlight map[string]int
	released     []room.Released
	// version and document are those of its configuration.
	version  uint64
	document []byte
	// finding is the response of FindOrigin for the request "r1" of the service
	// "model" over a window of 1.5 s. It is sent when silence is closed, or at once
	// if silence is nil.
	finding streamorigin.Finding
	silence chan struct{}
}

func (h *host) ViewSince(time.Time, serverlist.Position) registry.StoreView {
	return registry.StoreView{
		Servers:    []serverlist.Server{{ID: "s1", Service: "model", Address: netip.MustParseAddrPort("10.0.0.9:80"), Stage: serverlist.Decode, SoftwareVersion: "v1.2", Slots: 4, CreateRevision: 3}},
		HasServers: true, Position: serverlist.Position{Era: 2, Revision: 7}, IsStoreReachable: true, Hosts: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")},
	}
}

func (h *host) Configuration() (uint64, []byte) {
	return h.version, h.document
}

func (h *host) Follow(ctx context.Context, position serverlist.Position, _ time.Duration, send func(registry.Update) error) error {
	for _, update := range h.updates(position) {
		if err := send(update); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// updates returns what a host gets that follows this one.
func (h *host) updates(position serverlist.Position) []registry.Update {
	server := h.ViewSince(time.Time{}, serverlist.Position{}).Servers[0]
	return []registry.Update{
		{StoreAge: time.Second, IsComplete: true, Servers: []serverlist.Server{server}, Position: serverlist.Position{Era: position.Era, Revision: position.Revision + 1}, ConfigVersion: 4, Refusals: 2},
		{Changes: []serverlist.Change{{ID: server.ID, Server: &server, Revision: 9}, {ID: "gone", Revision: 10}}, Position: serverlist.Position{Era: position.Era, Revision: 10}, ConfigVersion: 5},
	}
}

// TestFollow checks that a follower gets the updates as they are sent.
func TestFollow(t *testing.T) {
	h := &host{}
	address := serve(t, h, nil)
	client := newClient(t, address)
	position := serverlist.Position{Era: 2, Revision: 7}
	errEnough := errors.New("enough")
	var got []registry.Update
	err := client.Follow(t.Context(), address, position, time.Second, func(update registry.Update) error {
		got = append(got, update)
		if len(got) == 2 {
			return errEnough
		}
		return nil
	})
	if !errors.Is(err, errEnough) {
		t.Fatalf("error %v, want %v", err, errEnough)
	}
	if diff := gocmp.Diff(h.updates(position), got, gocmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Errorf("updates (-sent +received):\n%s", diff)
	}
}

func (h *host) ReportLoss(_ time.Time, _ uint64, server string) { h.record(&h.lost, server) }

func (h *host) ReportReplaced(_ time.Time, server string) { h.record(&h.replaced, server) }

func (h *host) ReportOrigins(_ time.Time, origins []streamorigin.Origin) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.origins = append(h.origins, origins...)
	h.reported <- struct{}{}
}

func (h *host) ReportPartLoss(_ time.Time, loss crash.PartLoss) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.losses = append(h.losses, loss)
	h.reported <- struct{}{}
}

func (h *host) ReportRefusal(_ time.Time, refusal crash.PartRefusal, isLifted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if isLifted {
		h.lifted = append(h.lifted, refusal)
	} else {
		h.refusals = append(h.refusals, refusal)
	}
	h.reported <- struct{}{}
}

func (h *host) ReportLimit(statement serverlimit.Statement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = append(h.limits, statement)
	h.reported <- struct{}{}
}

func (h *host) IssuePermit(_ time.Time, statement serverlimit.Statement) serverlimit.Permit {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = append(h.limits, statement)
	return h.permit
}

func (h *host) FindStarts(time.Time, string, []string) map[string]time.Duration {
	return h.ages
}

func (h *host) FindOrigin(_ time.Time, requestID, service string, window time.Duration) streamorigin.Finding {
	if h.silence != nil {
		<-h.silence
	}
	if requestID != "r1" || service != "model" || window != 1500*time.Millisecond {
		return streamorigin.Finding{}
	}
	return h.finding
}

func (h *host) record(list *[]string, server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, server)
	h.reported <- struct{}{}
}

// newPair returns a host with a running gRPC server, and a client that has the host as
// its seed.
func newPair(t *testing.T) (*host, *edgehost.Client) {
	t.Helper()
	h := &host{reported: make(chan struct{}, 10)}
	client := newClient(t, serve(t, h, h))
	return h, client
}

// serve starts a gRPC server of h and returns its address. origins may be nil.
func serve(t testing.TB, h *host, origins edgehost.OriginReceiver) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peerapi.RegisterEdgeServer(server, edgehost.NewServer(edgehost.Receivers{Source: h, Reports: h, Origins: origins, Quarantine: h, Limits: h, Quotas: h.quotas, Rooms: h}))
	go func() { _ = server.Serve(listener) }() // ends when the test stops the server
	t.Cleanup(server.Stop)
	return netip.MustParseAddrPort(listener.Addr().String())
}

func newClient(t testing.TB, seeds ...netip.AddrPort) *edgehost.Client {
	t.Helper()
	client := edgehost.NewClient(netip.MustParseAddrPort("127.0.0.1:1"), seeds, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
	t.Cleanup(client.Close)
	return client
}

func TestFetch(t *testing.T) {
	_, client := newPair(t)
	got, err := client.Fetch(t.Context(), serverlist.Position{})
	if err != nil {
		t.Fatal(err)
	}
	if !got.HasServers || got.Position != (serverlist.Position{Era: 2, Revision: 7}) || !got.IsStoreReachable || len(got.Hosts) != 1 {
		t.Errorf("view %+v", got)
	}
	if want := (&host{}).ViewSince(time.Time{}, serverlist.Position{}).Servers[0]; len(got.Servers) != 1 || got.Servers[0] != want {
		t.Errorf("servers %+v, want %+v", got.Servers, want)
	}
}

func TestFetchWithoutHosts(t *testing.T) {
	client := edgehost.NewClient(netip.MustParseAddrPort("127.0.0.1:1"), nil, &log.Logger{Handler: discard.New()})
	if _, err := client.Fetch(t.Context(), serverlist.Position{}); err == nil {
		t.Error("Fetch without any host returned no error")
	}
}

func TestReports(t *testing.T) {
	h, client := newPair(t)
	client.ReportLoss(context.Background(), 1, "s1")
	client.ReportReplaced(context.Background(), "s2")
	<-h.reported
	<-h.reported
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.lost) != 1 || h.lost[0] != "s1" || len(h.replaced) != 1 || h.replaced[0] != "s2" {
		t.Errorf("lost %v, replaced %v; want [s1] and [s2]", h.lost, h.replaced)
	}
}

func TestReportOrigins(t *testing.T) {
	h := &host{reported: make(chan struct{}, 10)}
	address := serve(t, h, h)
	origins := []streamorigin.Origin{
		{RequestID: "r1", Service: "model", SoftwareVersion: "v1.2"},
		{RequestID: "r2", Service: "other"},
	}
	newClient(t).ReportOrigins(context.Background(), address, origins)
	<-h.reported
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Equal(h.origins, origins) {
		t.Errorf("origins %+v, want %+v", h.origins, origins)
	}
}

func TestFindOrigin(t *testing.T) {
	const window = 1500*time.Millisecond - 1 // rounded up to whole milliseconds
	found := streamorigin.Finding{IsFound: true, SoftwareVersion: "v1.2", IsMixed: true}
	sole := streamorigin.Finding{IsSole: true, SoleVersion: "v1"}
	otherSole := streamorigin.Finding{IsSole: true, SoleVersion: "v2"}
	silence := make(chan struct{})
	t.Cleanup(func() { close(silence) })
	// closed is an address at which no host listens.
	closed := netip.MustParseAddrPort("127.0.0.1:2")
	start := func(finding streamorigin.Finding) netip.AddrPort {
		h := &host{finding: finding}
		return serve(t, h, h)
	}
	silent := &host{silence: silence, finding: found}
	silentAddress, oldAddress := serve(t, silent, silent), serve(t, &host{}, nil)
	tests := []struct {
		name      string
		addresses []netip.AddrPort
		requestID string
		want      streamorigin.Finding
		err       error
	}{
		{name: "no host", err: edgehost.ErrNoResponse},
		{name: "host is down", addresses: []netip.AddrPort{closed}, err: edgehost.ErrNoResponse},
		{name: "host does not respond", addresses: []netip.AddrPort{silentAddress}, err: edgehost.ErrNoResponse},
		{name: "host without origins", addresses: []netip.AddrPort{oldAddress}, err: edgehost.ErrNoResponse},
		{name: "found", addresses: []netip.AddrPort{start(found)}, want: found},
		{name: "found by one of the hosts", addresses: []netip.AddrPort{closed, silentAddress, oldAddress, start(found)}, want: found},
		{name: "unknown to all hosts", addresses: []netip.AddrPort{start(streamorigin.Finding{}), closed}},
		{name: "unknown request", requestID: "r2", addresses: []netip.AddrPort{start(found)}},
		{name: "sole version", addresses: []netip.AddrPort{start(streamorigin.Finding{}), silentAddress, start(sole)}, want: sole},
		{name: "different sole versions", addresses: []netip.AddrPort{start(otherSole), start(sole)}, want: streamorigin.Finding{IsMixed: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := newClient(t)
			requestID := cmp.Or(tt.requestID, "r1")
			var got streamorigin.Finding
			var err error
			for range attempts {
				began := time.Now()
				got, err = client.FindOrigin(t.Context(), tt.addresses, requestID, "model", window)
				// A busy host may respond too late, which is no wrong response.
				if time.Since(began) < findTimeout || (got == tt.want && errors.Is(err, tt.err)) {
					break
				}
			}
			if !errors.Is(err, tt.err) {
				t.Fatalf("error %v, want %v", err, tt.err)
			}
			if got != tt.want {
				t.Errorf("finding %+v, want %+v", got, tt.want)
			}
		})
	}
}

// FindOrigin must not wait for a host that does not respond when another host has found
// the origin.
func TestFindOriginReturnsFirstFound(t *testing.T) {
	silence := make(chan struct{})
	t.Cleanup(func() { close(silence) })
	silent := &host{silence: silence}
	fast := &host{finding: streamorigin.Finding{IsFound: true, SoftwareVersion: "v1"}}
	addresses := []netip.AddrPort{serve(t, silent, silent), serve(t, fast, fast)}
	client := newClient(t)
	fastest := time.Hour
	for range attempts {
		began := time.Now()
		got, err := client.FindOrigin(t.Context(), addresses, "r1", "model", 1500*time.Millisecond)
		if err == nil && got.IsFound {
			fastest = min(fastest, time.Since(began))
		}
	}
	if fastest >= findTimeout {
		t.Errorf("found after %v at the earliest, want less than the time limit %v", fastest, findTimeout)
	}
}

func TestPartReports(t *testing.T) {
	h, client := newPair(t)
	loss := crash.PartLoss{Service: "model", Parts: []string{"p", "q"}, RequestID: "r1", Server: "s1", ServerStarted: time.UnixMilli(1700000000123)}
	refusal := crash.PartRefusal{Service: "model", Parts: []string{"q"}, Duration: 90 * time.Second}
	client.ReportPartLoss(context.Background(), loss)
	client.ReportRefusal(context.Background(), refusal, false)
	client.ReportRefusal(context.Background(), refusal, true)
	for range 3 {
		<-h.reported
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if diff := gocmp.Diff([]crash.PartLoss{loss}, h.losses); diff != "" {
		t.Errorf("losses (-want +got):\n%s", diff)
	}
	for _, got := range [][]crash.PartRefusal{h.refusals, h.lifted} {
		if diff := gocmp.Diff([]crash.PartRefusal{refusal}, got); diff != "" {
			t.Errorf("refusals (-want +got):\n%s", diff)
		}
	}
}

// The youngest start that any host has seen must count, and a host that does not respond
// must not delay the decision.
func TestFindStarts(t *testing.T) {
	hosts := []*host{{ages: map[string]time.Duration{"p": 3 * time.Second}}, {ages: map[string]time.Duration{"p": 2 * time.Second, "q": time.Minute}}, {}}
	seeds := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	for _, h := range hosts {
		seeds = append(seeds, serve(t, h, nil))
	}
	want := map[string]time.Duration{"p": 2 * time.Second, "q": time.Minute}
	for range attempts { // a response may miss the time limit on a busy machine
		started := time.Now()
		got := newClient(t, seeds...).FindStarts(t.Context(), "model", []string{"p", "q"})
		if gocmp.Equal(want, got) {
			return
		}
		if time.Since(started) < findTimeout {
			t.Fatalf("starts %v, want %v", got, want)
		}
	}
	t.Errorf("no complete result in %d attempts", attempts)
}
