package edgehost_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"

	"github.com/hickoryfront/hickoryfront/core/identity"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgehost"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

type (
	// relayDispatcher serves the requests of other hosts by serve.
	relayDispatcher struct {
		isWithoutPath bool
		serve         func(ctx context.Context, request *edgedispatch.Request, sink edgedispatch.Sink) error
	}

	// responseSink keeps a response.
	responseSink struct {
		status int
		header http.Header
		body   bytes.Buffer
		// begun is closed when the response begins, if it is not nil.
		begun chan struct{}
	}

	// formerHost is a host of a version that takes no requests of other hosts.
	formerHost struct {
		peerapi.UnimplementedEdgeServer
	}
)

func (d relayDispatcher) AcceptsRelay(service string, _ bool) bool {
	return service == "s" && !d.isWithoutPath
}

func (d relayDispatcher) Serve(ctx context.Context, request *edgedispatch.Request, sink edgedispatch.Sink) error {
	return d.serve(ctx, request, sink)
}

func (s *responseSink) Start(status int, header http.Header) error {
	s.status, s.header = status, header
	if s.begun != nil {
		close(s.begun)
	}
	return nil
}

func (s *responseSink) Write(part []byte) error {
	s.body.Write(part)
	return nil
}

// serveRelays starts a host with a dispatcher.
func serveRelays(t *testing.T, d relayDispatcher) (netip.AddrPort, *edgehost.Server, *grpc.Server) {
	t.Helper()
	h := &host{}
	edgeServer := edgehost.NewServer(edgehost.Receivers{Source: h, Reports: h, Origins: h, Quarantine: h, Limits: h, Relays: d})
	address, server := serveEdge(t, edgeServer)
	return address, edgeServer, server
}

func serveEdge(t *testing.T, edgeServer peerapi.EdgeServer) (netip.AddrPort, *grpc.Server) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peerapi.RegisterEdgeServer(server, edgeServer)
	go func() { _ = server.Serve(listener) }() // ends when the test stops the server
	t.Cleanup(server.Stop)
	return netip.MustParseAddrPort(listener.Addr().String()), server
}

// newRelayRequest returns a request with a body that needs several messages.
func newRelayRequest(now time.Time) *edgedispatch.Request {
	r := &edgedispatch.Request{
		Method: http.MethodPost, Target: "/a%2fb?q=1", Host: "h.example", Header: http.Header{"Request-Id": {"r1"}, "X-Two": {"a", "b"}, "Token-Counts": {"10,20"}, "Deadline-Ms": {"9000"}},
		ConfigVersion: 7, Fingerprint: 1 << 63, Body: []byte(strings.Repeat("body ", 20000)), Arrived: now.Add(-time.Second), Deadline: now.Add(time.Minute),
		Route: &route.Route{
			Name: "r", Kind: route.Streaming, Service: "s", Timeout: 10 * time.Second, LatencyTarget: 900 * time.Millisecond, GapTarget: 300 * time.Millisecond,
			Priority: 2, MaxServers: 3, IsGeneration: true, IsResumable: true,
		},
	}
	r.Metadata.ID = "r1"
	return r
}

// TestRelay guards against a request or response that a host changes when it passes it on.
func TestRelay(t *testing.T) {
	now := time.Now()
	sent := newRelayRequest(now)
	sent.IsContinued, sent.SoftwareVersion = true, "v2"
	sent.Metadata.IsResumed, sent.Metadata.LastEventID = true, 12
	long := strings.Repeat("response ", 20000)
	var got *edgedispatch.Request
	address, _, _ := serveRelays(t, relayDispatcher{serve: func(_ context.Context, r *edgedispatch.Request, s edgedispatch.Sink) error {
		got = r
		return errors.Join(s.Start(http.StatusCreated, http.Header{"Server-Stamp": {"x"}}), s.Write([]byte(long)), s.Write([]byte("end")))
	}})
	response := &responseSink{}
	if err := newClient(t).Relay(t.Context(), address, sent, response); err != nil {
		t.Fatal(err)
	}
	if response.status != http.StatusCreated || response.header.Get("Server-Stamp") != "x" || response.body.String() != long+"end" {
		t.Errorf("status %d, header %v, body of %d bytes", response.status, response.header, response.body.Len())
	}
	if diff := gocmp.Diff(sent.Route, got.Route); diff != "" {
		t.Errorf("route (-want +got):\n%s", diff)
	}
	if diff := gocmp.Diff(sent.Header, got.Header); diff != "" {
		t.Errorf("header (-want +got):\n%s", diff)
	}
	if got.Method != sent.Method || got.Target != sent.Target || got.Host != sent.Host || !bytes.Equal(got.Body, sent.Body) || got.Fingerprint != sent.Fingerprint || got.ConfigVersion != 7 {
		t.Errorf("request %+v", got)
	}
	if !got.IsRelayed || !got.IsContinued || got.SoftwareVersion != "v2" || !got.Metadata.IsResumed || got.Metadata.LastEventID != 12 || got.Metadata.ID != "r1" || got.Metadata.PromptTokens != 10 {
		t.Errorf("request %+v", got)
	}
	if left := got.Deadline.Sub(sent.Deadline); left > transferTime || left < -transferTime {
		t.Errorf("deadline off by %v", left)
	}
}

// TestRelayErrors guards against a request that is sent again, or refused as not run, although
// another host may have sent it to a server, and against one that is lost although no host has.
func TestRelayErrors(t *testing.T) {
	failure := &edgedispatch.Failure{Status: http.StatusServiceUnavailable, RetryAfter: 1500 * time.Millisecond, Reason: "no room"}
	tests := []struct {
		name          string
		isWithoutPath bool
		isDraining    bool
		// serve serves a request at the other host. stop ends that host, and begun is closed
		// when the response has begun to arrive.
		serve    func(ctx context.Context, stop func(), begun <-chan struct{}, s edgedispatch.Sink) error
		want     error
		wantRuns int
	}{
		{name: "no path to servers", isWithoutPath: true, want: edgedispatch.ErrRelayRejected},
		{name: "host is leaving", isDraining: true, want: edgedispatch.ErrRelayRejected},
		{name: "host fails before it responds", serve: func(ctx context.Context, stop func(), _ <-chan struct{}, _ edgedispatch.Sink) error {
			go stop()
			<-ctx.Done()
			return ctx.Err()
		}, want: upstream.ErrMayHaveRun, wantRuns: 1},
		{name: "host fails while it responds", serve: func(ctx context.Context, stop func(), begun <-chan struct{}, s edgedispatch.Sink) error {
			err := errors.Join(s.Start(http.StatusOK, http.Header{}), s.Write([]byte("a")))
			<-begun
			go stop()
			<-ctx.Done()
			return err
		}, want: edgedispatch.ErrTruncated, wantRuns: 1},
		{name: "response breaks off", serve: func(_ context.Context, _ func(), _ <-chan struct{}, s edgedispatch.Sink) error {
			return errors.Join(s.Start(http.StatusOK, http.Header{}), s.Write([]byte("a")), edgedispatch.ErrTruncated)
		}, want: edgedispatch.ErrTruncated, wantRuns: 1},
		{name: "host can't serve it", serve: func(context.Context, func(), <-chan struct{}, edgedispatch.Sink) error { return failure }, want: failure, wantRuns: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runs := 0
			response := &responseSink{begun: make(chan struct{})}
			var server *grpc.Server
			address, edgeServer, server := serveRelays(t, relayDispatcher{isWithoutPath: tt.isWithoutPath, serve: func(ctx context.Context, _ *edgedispatch.Request, s edgedispatch.Sink) error {
				runs++
				return tt.serve(ctx, func() { server.Stop() }, response.begun, s)
			}})
			if tt.isDraining {
				edgeServer.DrainRelays()
			}
			err := newClient(t).Relay(t.Context(), address, newRelayRequest(time.Now()), response)
			var got *edgedispatch.Failure
			if errors.As(err, &got) && *got == *failure {
				err = failure
			}
			if !errors.Is(err, tt.want) || runs != tt.wantRuns {
				t.Errorf("error %v, want %v; %d runs, want %d", err, tt.want, runs, tt.wantRuns)
			}
		})
	}
}

// A host of a former version does not take requests of other hosts, and none may be lost there.
func TestRelayToFormerVersion(t *testing.T) {
	address, _ := serveEdge(t, formerHost{})
	err := newClient(t).Relay(t.Context(), address, newRelayRequest(time.Now()), &responseSink{})
	if !errors.Is(err, edgedispatch.ErrRelayRejected) {
		t.Errorf("error %v, want that the request is rejected", err)
	}
}

// A silent host must not hold a request that another host could serve.
func TestRelayToSilentHost(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	began := time.Now()
	err = newClient(t).Relay(t.Context(), netip.MustParseAddrPort(listener.Addr().String()), newRelayRequest(began), &responseSink{})
	if !errors.Is(err, edgedispatch.ErrRelayRejected) {
		t.Errorf("error %v, want that the request is rejected", err)
	}
	if took := time.Since(began); took > transferTime {
		t.Errorf("rejected after %v", took)
	}
}

// TestRelayIsCanceled guards against servers that work for a caller that has left.
func TestRelayIsCanceled(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	address, _, _ := serveRelays(t, relayDispatcher{serve: func(ctx context.Context, _ *edgedispatch.Request, s edgedispatch.Sink) error {
		err := s.Start(http.StatusOK, http.Header{})
		<-ctx.Done()
		close(ended)
		return err
	}})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	if err := newClient(t).Relay(ctx, address, newRelayRequest(time.Now()), &responseSink{begun: begun}); !errors.Is(err, edgedispatch.ErrTruncated) {
		t.Errorf("error %v, want that the response is truncated", err)
	}
	select {
	case <-ended:
	case <-time.After(transferTime):
		t.Error("the other host goes on")
	}
}

// TestAwaitRelays guards against a host that stops while it serves a request of another host.
func TestAwaitRelays(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	address, edgeServer, _ := serveRelays(t, relayDispatcher{serve: func(_ context.Context, _ *edgedispatch.Request, s edgedispatch.Sink) error {
		close(begun)
		<-end
		return errors.Join(s.Start(http.StatusOK, http.Header{}), s.Write([]byte("a")))
	}})
	result := make(chan error, 1)
	client := newClient(t)
	go func() { result <- client.Relay(t.Context(), address, newRelayRequest(time.Now()), &responseSink{}) }()
	<-begun
	edgeServer.DrainRelays()
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := edgeServer.AwaitRelays(short); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the wait ends with %v while a request is served", err)
	}
	close(end)
	if err := <-result; err != nil {
		t.Errorf("the request ends with %v", err)
	}
	if err := edgeServer.AwaitRelays(t.Context()); err != nil {
		t.Error(err)
	}
}

// relayRoutes are the routes of a host.
type relayRoutes struct{ table *route.Table }

func (r relayRoutes) Table() *route.Table { return r.table }

// TestRelayIdentity guards against a caller's key, or a Tenant that the caller has set, that reach
// a backend server through another host which does not know workspaces, because its version is
// earlier or its configuration older, and against requests that are refused although the other
// host has identified them.
func TestRelayIdentity(t *testing.T) {
	configuration := &route.Configuration{
		Version: 7, Workspaces: []identity.Workspace{{Name: "w", Keys: []identity.KeyHash{identity.HashKey("key-w")}}},
		Routes: []route.Route{{HostName: "h.example", PathPrefix: "/a", Service: "s"}, {HostName: "h.example", PathPrefix: "/public", Service: "s", IsPublic: true}},
	}
	enforced := route.NewTable(configuration)
	open := route.NewTable(&route.Configuration{Version: 7, Routes: configuration.Routes})
	tests := []struct {
		name, key, tenant string
		table             *route.Table
		target            string
		workspace         string
		version           uint64
		isContinued       bool
		wantStatus        int // of the refusal
		want              http.Header
	}{
		{name: "valid key", key: "Token key-w", tenant: "forged", table: enforced, target: "/a", want: http.Header{"Tenant": {"w"}}},
		{name: "unknown key", key: "Token key-x", tenant: "w", table: enforced, target: "/a", wantStatus: http.StatusUnauthorized},
		{name: "no key", tenant: "w", table: enforced, target: "/a?q", wantStatus: http.StatusUnauthorized},
		{name: "public, no key", tenant: "w", table: enforced, target: "/public?q", want: http.Header{}},
		{name: "public, unknown key", key: "Token key-x", tenant: "w", table: enforced, target: "/public", want: http.Header{}},
		{name: "public, valid key", key: "Token key-w", table: enforced, target: "/public", want: http.Header{"Tenant": {"w"}}},
		{name: "identified", tenant: "v", workspace: "v", table: enforced, target: "/a", want: http.Header{"Tenant": {"v"}}},
		{name: "newer configuration", table: enforced, target: "/a", version: 8, want: http.Header{}},
		{name: "stream that has begun", key: "Token key-x", tenant: "w", table: enforced, target: "/a", isContinued: true, want: http.Header{}},
		{name: "no workspaces", key: "Token key-w", tenant: "own", table: open, target: "/a", want: http.Header{"Authorization": {"Token key-w"}, "Tenant": {"own"}}},
		{name: "no configuration, identified", tenant: "v", workspace: "v", target: "/a", want: http.Header{"Tenant": {"v"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got *edgedispatch.Request
			h := &host{}
			address, _ := serveEdge(t, edgehost.NewServer(edgehost.Receivers{
				Source: h, Reports: h, Limits: h, Routes: relayRoutes{tt.table},
				Relays: relayDispatcher{serve: func(_ context.Context, r *edgedispatch.Request, s edgedispatch.Sink) error {
					got = r
					return s.Start(http.StatusOK, nil)
				}},
			}))
			sent := newRelayRequest(time.Now())
			sent.Target, sent.Workspace, sent.IsContinued, sent.ConfigVersion = tt.target, tt.workspace, tt.isContinued, max(tt.version, 3)
			sent.Header = http.Header{"Request-Id": {"r1"}}
			if tt.key != "" {
				sent.Header.Set("Authorization", tt.key)
			}
			if tt.tenant != "" {
				sent.Header.Set("Tenant", tt.tenant)
			}
			err := newClient(t).Relay(t.Context(), address, sent, &responseSink{})
			if tt.wantStatus != 0 {
				var failure *edgedispatch.Failure
				if !errors.As(err, &failure) || failure.Status != tt.wantStatus || got != nil {
					t.Fatalf("error %v, dispatched %t, want status %d", err, got != nil, tt.wantStatus)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			tt.want.Set("Request-Id", "r1")
			if diff := gocmp.Diff(tt.want, got.Header); diff != "" {
				t.Errorf("headers (-want +got):\n%s", diff)
			}
			if workspace := tt.want.Get("Tenant"); tt.table == enforced && got.Workspace != workspace {
				t.Errorf("workspace %q, want %q", got.Workspace, workspace)
			}
		})
	}
}
