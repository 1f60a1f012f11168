package edgecaller_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/json"
	gocmp "github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/core/identity"
	"github.com/hickoryfront/hickoryfront/core/quota"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgecaller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
)

type (
	// changingRoutes are routes that a test changes.
	changingRoutes struct{ atomic.Pointer[route.Table] }

	// readerFunc is the Read function of a body.
	readerFunc func(p []byte) (int, error)

	// quotas refuse workspaces and record the units that were taken and given back.
	quotas struct {
		refusal      *edgedispatch.Failure
		taken, given float64
		version      uint64
	}
)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

func (r *changingRoutes) Table() *route.Table { return r.Load() }

func (q *quotas) Admit(_ context.Context, _ *identity.Workspace, version uint64, units float64) (func(), *edgedispatch.Failure) {
	if q.refusal != nil {
		return nil, q.refusal
	}
	q.taken, q.version = units, version
	return func() { q.given += units }, nil
}

// workspace has a key with the prefix "key-" before its name.
func workspace(name string) identity.Workspace {
	return identity.Workspace{Name: name, Keys: []identity.KeyHash{identity.HashKey("key-" + name)}}
}

func newTable(workspaces ...identity.Workspace) *route.Table {
	return route.NewTable(&route.Configuration{
		Version: 7, Workspaces: workspaces,
		Routes: []route.Route{
			{Name: "private", HostName: "h.example", PathPrefix: "/a/", Service: "s", Priority: 3, IsGeneration: true},
			{Name: "resumable", HostName: "h.example", PathPrefix: "/resumable/", Service: "s", Priority: 3, IsGeneration: true, IsResumable: true},
			{Name: "public", HostName: "h.example", PathPrefix: "/public/", Service: "p", IsPublic: true},
			{Name: "split", HostName: "h.example", PathPrefix: "/split/", IsPublic: true, Split: []route.Share{{Service: "x", Weight: 1}, {Service: "y", Weight: 1}}},
		},
	})
}

// newPrivateTable returns the table of newTable without public routes.
func newPrivateTable(workspaces ...identity.Workspace) *route.Table {
	routes := slices.Clone(newTable().Routes())
	for i := range routes {
		routes[i].IsPublic = false
	}
	return route.NewTable(&route.Configuration{Version: 6, Workspaces: workspaces, Routes: routes})
}

// exchange sends a request to a handler without a network.
func exchange(handler http.Handler, path string, header http.Header) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://h.example"+path, strings.NewReader("b"))
	request.Header = header.Clone()
	request.Header.Set("Request-Id", "r1")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// TestIdentity guards against requests that are served with a wrong key, against valid ones
// that are refused, and against a key or a caller's own Tenant that are passed on or logged.
func TestIdentity(t *testing.T) {
	first := 0
	urgent := workspace("urgent")
	urgent.Priority = &first
	twin := identity.Workspace{Name: "twin", Keys: workspace("shared").Keys}
	all := []identity.Workspace{workspace("w"), urgent, workspace("shared"), twin}
	tests := []struct {
		name          string
		isOpen        bool // no workspaces
		path          string
		authorization []string
		want          int
		tenant        string
		priority      int
	}{
		{name: "valid key", path: "/a/", authorization: []string{"Token key-w"}, want: http.StatusOK, tenant: "w", priority: 3},
		{name: "scheme in lower case", path: "/a/", authorization: []string{"token key-w"}, want: http.StatusOK, tenant: "w", priority: 3},
		{name: "priority of the workspace", path: "/a/", authorization: []string{"Token key-urgent"}, want: http.StatusOK, tenant: "urgent"},
		{name: "no key", path: "/a/", want: http.StatusUnauthorized},
		{name: "unknown key", path: "/a/", authorization: []string{"Token key-x"}, want: http.StatusUnauthorized},
		{name: "shared key", path: "/a/", authorization: []string{"Token key-shared"}, want: http.StatusUnauthorized},
		{name: "repeated key", path: "/a/", authorization: []string{"Token key-w", "Token key-w"}, want: http.StatusUnauthorized},
		{name: "empty key", path: "/a/", authorization: []string{"Token "}, want: http.StatusUnauthorized},
		{name: "other scheme", path: "/a/", authorization: []string{"Bearer key-w"}, want: http.StatusUnauthorized},
		{name: "16 KB", path: "/a/", authorization: []string{"Token " + strings.Repeat("key-", 4<<10)}, want: http.StatusUnauthorized},
		{name: "no route", path: "/b/", authorization: []string{"Token key-w"}, want: http.StatusNotFound},
		{name: "public with a key", path: "/public/", authorization: []string{"Token key-w"}, want: http.StatusOK, tenant: "w"},
		{name: "public without a key", path: "/public/", want: http.StatusOK},
		{name: "public with an unknown key", path: "/public/", authorization: []string{"Token key-x"}, want: http.StatusOK},
		{name: "public with a repeated key", path: "/public/", authorization: []string{"Token key-w", "x"}, want: http.StatusOK},
		{name: "no workspaces", isOpen: true, path: "/a/", authorization: []string{"Token key-w"}, want: http.StatusOK, priority: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable(all...)
			if tt.isOpen {
				table = newTable()
			}
			var passed *edgedispatch.Request
			dispatch := dispatcher(func(request *edgedispatch.Request, sink edgedispatch.Sink) error {
				passed = request
				return echo(request, sink)
			})
			var logged bytes.Buffer
			handler := edgecaller.New(routes{table}, servers{}, nil, dispatch, newLedger(), &log.Logger{Handler: json.New(&logged)}, metrics.NewSet())
			header := http.Header{"Tenant": {"forged", "w"}, "X-Own": {"1"}}
			if tt.authorization != nil {
				header["Authorization"] = tt.authorization
			}
			response := exchange(handler, tt.path, header)
			if response.Code != tt.want || (response.Header().Get("WWW-Authenticate") != "") != (tt.want == http.StatusUnauthorized) {
				t.Fatalf("status %d, want %d; headers %v", response.Code, tt.want, response.Header())
			}
			if text := logged.String() + response.Body.String(); strings.Contains(text, "key-") {
				t.Errorf("a key in the log or the response:\n%s", text)
			}
			if tt.want != http.StatusOK {
				if passed != nil {
					t.Error("a refused request was dispatched")
				}
				return
			}
			want := header.Clone()
			if !tt.isOpen {
				want = http.Header{"X-Own": {"1"}}
			}
			if tt.tenant != "" {
				want.Set("Tenant", tt.tenant)
			}
			want.Set("Request-Id", "r1")
			if diff := gocmp.Diff(want, passed.Header); diff != "" {
				t.Errorf("headers passed on (-want +got):\n%s", diff)
			}
			isRanked := !tt.isOpen && tt.path == "/a/"
			if passed.Workspace != tt.tenant || passed.Priority != tt.priority || passed.IsRanked != isRanked {
				t.Errorf("workspace %q, priority %d, ranked %t, want %q, %d, %t", passed.Workspace, passed.Priority, passed.IsRanked, tt.tenant, tt.priority, isRanked)
			}
			if hasField := strings.Contains(logged.String(), `"workspace":"`+tt.tenant+`"`); hasField != (tt.tenant != "") {
				t.Errorf("log of the request: %s", logged.String())
			}
		})
	}
}

// TestRevokedKeyOnOpenConnection guards against a key that stays valid on a connection which
// was opened before the key was revoked.
func TestRevokedKeyOnOpenConnection(t *testing.T) {
	var current changingRoutes
	current.Store(newTable(workspace("w"), workspace("v")))
	server := httptest.NewUnstartedServer(edgecaller.New(&current, servers{}, nil, dispatcher(echo), newLedger(), &log.Logger{Handler: discard.New()}, metrics.NewSet()))
	var connections atomic.Int64
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	for _, want := range []int{http.StatusOK, http.StatusUnauthorized, http.StatusOK} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/a/", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "h.example"
		request.Header = http.Header{"Authorization": {"Token key-w"}, "Request-Id": {"r"}}
		response, err := server.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("status %d, want %d", response.StatusCode, want)
		}
		if want == http.StatusOK {
			current.Store(newTable(workspace("v")))
		} else {
			current.Store(newTable(workspace("w")))
		}
	}
	if got := connections.Load(); got != 1 {
		t.Errorf("%d connections, want one for all requests", got)
	}
}

// TestKeyChangesWhileTheBodyArrives guards against a key that stays valid, or with its former
// workspace, for a request whose body arrives slowly, and against a request that is refused although
// its route has become public.
func TestKeyChangesWhileTheBodyArrives(t *testing.T) {
	moved := identity.Workspace{Name: "v", Keys: workspace("w").Keys}
	tests := []struct {
		name, path string
		first      *route.Table // nil: one with the key
		next       *route.Table
		want       int
		tenant     string
	}{
		{name: "revoked", path: "/a/", next: newTable(workspace("v")), want: http.StatusUnauthorized},
		{name: "revoked on a public route", path: "/public/", next: newTable(workspace("v")), want: http.StatusOK},
		{name: "another workspace", path: "/a/", next: newTable(moved), want: http.StatusOK, tenant: "v"},
		{name: "still valid", path: "/a/", next: newTable(workspace("v"), workspace("w")), want: http.StatusOK, tenant: "w"},
		{name: "first workspaces, valid key", path: "/a/", first: newTable(), next: newTable(workspace("w")), want: http.StatusOK, tenant: "w"},
		{name: "first workspaces, unknown key", path: "/a/", first: newTable(), next: newTable(workspace("v")), want: http.StatusUnauthorized},
		{name: "first workspaces, route is public since then", path: "/public/", first: newPrivateTable(), next: newTable(workspace("v")), want: http.StatusOK},
		{name: "revoked, route is public since then", path: "/public/", first: newPrivateTable(workspace("w")), next: newTable(workspace("v")), want: http.StatusOK},
		{name: "no workspaces any more", path: "/a/", next: newTable(), want: http.StatusOK, tenant: "w"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var current changingRoutes
			current.Store(cmp.Or(tt.first, newTable(workspace("w"))))
			tenant := ""
			dispatch := dispatcher(func(request *edgedispatch.Request, sink edgedispatch.Sink) error {
				tenant = request.Header.Get("Tenant")
				return echo(request, sink)
			})
			handler := edgecaller.New(&current, servers{}, nil, dispatch, newLedger(), &log.Logger{Handler: discard.New()}, metrics.NewSet())
			request := httptest.NewRequest(http.MethodPost, "http://h.example"+tt.path, readerFunc(func([]byte) (int, error) {
				current.Store(tt.next)
				return 0, io.EOF
			}))
			request.Header = http.Header{"Authorization": {"Token key-w"}, "Request-Id": {"r"}}
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			if recorder.Code != tt.want || tenant != tt.tenant {
				t.Errorf("status %d, Tenant %q, want %d, %q", recorder.Code, tenant, tt.want, tt.tenant)
			}
		})
	}
}

// TestSplitRoute guards against a resumed stream that goes on at another service, and against
// sessions at a service without servers.
func TestSplitRoute(t *testing.T) {
	available := servers{"x": true, "y": true}
	services := make(map[string]int)
	var service string
	dispatch := dispatcher(func(request *edgedispatch.Request, sink edgedispatch.Sink) error {
		service = request.Route.Service
		return echo(request, sink)
	})
	handler := edgecaller.New(routes{newTable()}, available, nil, dispatch, newLedger(), &log.Logger{Handler: discard.New()}, metrics.NewSet())
	for i := range 100 {
		prompt := http.Header{"Prompt-Prefix": {fmt.Sprintf("common:10,own-%d:5", i)}}
		exchange(handler, "/split/", prompt)
		first := service
		services[first]++
		prompt.Set("Last-Event-Id", "5")
		prompt.Set("Resumes", "r0")
		if exchange(handler, "/split/", prompt); service != first {
			t.Errorf("stream %d began at service %s and was resumed at %s", i, first, service)
		}
	}
	if services["x"] < 30 || services["y"] < 30 {
		t.Errorf("sessions of the services %v, want about half each", services)
	}
	delete(available, "x")
	for i := range 20 {
		exchange(handler, "/split/", http.Header{"Prompt-Prefix": {fmt.Sprintf("own-%d:5", i)}})
		if service != "y" {
			t.Errorf("session %d at service %q, want the one with servers", i, service)
		}
	}
}

// TestQuotas guards against requests that count for other units than the page states, and
// against units that are not given back, or given back for a request that may have run.
func TestQuotas(t *testing.T) {
	refused := &edgedispatch.Failure{Status: http.StatusTooManyRequests, RetryAfter: time.Second, Reason: "over the quota"}
	unknown := &edgedispatch.Failure{Status: http.StatusServiceUnavailable, RetryAfter: time.Second, Reason: "no home"}
	tests := []struct {
		name    string
		path    string // "": /a/
		resumes bool
		unit    quota.Unit
		counts  string
		refusal *edgedispatch.Failure
		result  error // of the dispatcher
		want    int
		taken   float64
		given   float64
	}{
		{name: "requests", counts: "100,20", want: http.StatusOK, taken: 1},
		{name: "tokens", unit: quota.Tokens, counts: "100,20", want: http.StatusOK, taken: 120},
		{name: "no counts", unit: quota.Tokens, want: http.StatusOK, taken: 200},
		{name: "malformed counts", unit: quota.Tokens, counts: "1,x", want: http.StatusOK, taken: 200},
		{name: "negative counts", unit: quota.Tokens, counts: "-1000,5", want: http.StatusOK, taken: 200},
		{name: "counts beyond an integer", unit: quota.Tokens, counts: "9223372036854775807,9223372036854775807", want: http.StatusOK, taken: 2 * (1 << 63)},
		{name: "refused", refusal: refused, want: http.StatusTooManyRequests},
		{name: "a resumed stream is refused", resumes: true, refusal: refused, want: http.StatusTooManyRequests},
		{name: "no home", refusal: unknown, want: http.StatusServiceUnavailable},
		{name: "a resumed stream without a home goes on", path: "/resumable/", resumes: true, refusal: unknown, want: http.StatusOK},
		{name: "no home, the route can't be resumed", resumes: true, refusal: unknown, want: http.StatusServiceUnavailable},
		{name: "not run", result: &edgedispatch.Failure{Status: http.StatusServiceUnavailable}, want: http.StatusServiceUnavailable, taken: 1, given: 1},
		{name: "misdirected", result: &edgedispatch.Failure{Status: http.StatusMisdirectedRequest}, want: http.StatusMisdirectedRequest, taken: 1, given: 1},
		{name: "may have run", result: &edgedispatch.Failure{Status: http.StatusBadGateway}, want: http.StatusBadGateway, taken: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			limited := workspace("w")
			limited.Quota, limited.PlainTokens = quota.Limit{Unit: tt.unit, Rate: 5, Burst: 5}, 200
			q := &quotas{refusal: tt.refusal}
			dispatch := dispatcher(func(request *edgedispatch.Request, sink edgedispatch.Sink) error {
				if tt.result != nil {
					return tt.result
				}
				return echo(request, sink)
			})
			handler := edgecaller.New(routes{newTable(limited, workspace("unlimited"))}, servers{}, q, dispatch, newLedger(), &log.Logger{Handler: discard.New()}, metrics.NewSet())
			header := http.Header{"Authorization": {"Token key-w"}}
			if tt.counts != "" {
				header.Set("Token-Counts", tt.counts)
			}
			if tt.resumes {
				header.Set("Last-Event-Id", "3")
			}
			response := exchange(handler, cmp.Or(tt.path, "/a/"), header)
			if response.Code != tt.want || q.taken != tt.taken || q.given != tt.given || tt.taken > 0 && q.version != 7 {
				t.Errorf("status %d, want %d; took %g units, want %g; gave %g back, want %g", response.Code, tt.want, q.taken, tt.taken, q.given, tt.given)
			}
			q.taken = 0
			header.Set("Authorization", "Token key-unlimited")
			if exchange(handler, "/a/", header); q.taken != 0 {
				t.Error("a workspace without a quota took units")
			}
		})
	}
}

// TestAccounts guards against workspaces that are missing from the state, against outcomes
// that count for a wrong workspace, and against one time series for each of many workspaces.
func TestAccounts(t *testing.T) {
	set := metrics.NewSet()
	var workspaces []identity.Workspace
	for i := range 100 {
		workspaces = append(workspaces, workspace(fmt.Sprintf("w\"%02d\n", i)))
	}
	var result error
	dispatch := dispatcher(func(request *edgedispatch.Request, sink edgedispatch.Sink) error {
		if result != nil {
			return result
		}
		return echo(request, sink)
	})
	handler := edgecaller.New(routes{newTable(workspaces...)}, servers{}, nil, dispatch, newLedger(), &log.Logger{Handler: discard.New()}, set)
	var state hoststate.State
	if handler.Describe(&state); len(state.Workspaces) != 0 {
		t.Errorf("accounts %v before the first request", state.Workspaces)
	}
	result = &edgedispatch.Failure{Status: http.StatusBadGateway}
	exchange(handler, "/a/", http.Header{"Authorization": {"Token key-" + workspaces[0].Name}})
	exchange(handler, "/a/", http.Header{"Authorization": {"Token key-x"}})
	result = nil
	exchange(handler, "/public/", http.Header{})
	for _, w := range workspaces {
		exchange(handler, "/a/", http.Header{"Authorization": {"Token key-" + w.Name}})
	}
	handler.Describe(&state)
	want := []hoststate.Workspace{{Received: 2, Served: 1, UnknownKey: 1}, {Name: workspaces[0].Name, Received: 2, Served: 1, OtherRefusals: 1}, {Name: workspaces[1].Name, Received: 1, Served: 1}}
	if diff := gocmp.Diff(want, state.Workspaces[:3]); diff != "" || len(state.Workspaces) != 101 {
		t.Errorf("%d accounts (-want +got):\n%s", len(state.Workspaces), diff)
	}
	var text bytes.Buffer
	set.WritePrometheus(&text)
	if got := strings.Count(text.String(), "hickoryfront_edge_workspace_requests_received_total{"); got != 65 {
		t.Errorf("%d labels, want 64 and the one of the other workspaces", got)
	}
}
