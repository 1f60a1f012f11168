package edgecaller_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/draining"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgecaller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
)

type (
	// routes are fixed routes, or none.
	routes struct{ table *route.Table }

	// servers are the services that have servers.
	servers map[string]bool

	// dispatcher is the Serve function of a test.
	dispatcher func(request *edgedispatch.Request, sink edgedispatch.Sink) error
)

func (r routes) Table() *route.Table { return r.table }

func (s servers) HasServer(service string) bool { return s[service] }

func (d dispatcher) Serve(_ context.Context, request *edgedispatch.Request, sink edgedispatch.Sink) error {
	return d(request, sink)
}

func newRoutes() routes {
	return routes{route.NewTable(&route.Configuration{
		Version: 3, Limits: route.Limits{BodyBytes: 10},
		Routes: []route.Route{{Name: "r", HostName: "h.example", PathPrefix: "/a/", Timeout: time.Second}},
	})}
}

func echo(request *edgedispatch.Request, sink edgedispatch.Sink) error {
	if err := sink.Start(http.StatusOK, http.Header{}); err != nil {
		return err
	}
	return sink.Write([]byte(request.Method + " " + request.Target + " " + string(request.Body)))
}

func truncateAfterStart(request *edgedispatch.Request, sink edgedispatch.Sink) error {
	return errors.Join(echo(request, sink), edgedispatch.ErrTruncated, &edgedispatch.Failure{Status: http.StatusServiceUnavailable})
}

func TestServeHTTP(t *testing.T) {
	tests := []struct {
		name      string
		routes    routes
		dispatch  dispatcher
		path      string
		id        string
		body      string
		drainTime time.Duration // time until a draining host ends
		want      int           // 0: the response is truncated
		wantBody  string
	}{
		{name: "the request is dispatched as sent", routes: newRoutes(), path: "/a/x%2fy?q=1", id: "r1", body: "b", want: http.StatusOK, wantBody: "POST /a/x%2fy?q=1 b"},
		{name: "no configuration loaded", path: "/a/", id: "r1", want: http.StatusServiceUnavailable},
		{name: "no route", routes: newRoutes(), path: "/b/", id: "r1", want: http.StatusNotFound},
		{name: "no id", routes: newRoutes(), path: "/a/", want: http.StatusBadRequest},
		{name: "body too long", routes: newRoutes(), path: "/a/", id: "r1", body: strings.Repeat("x", 11), want: http.StatusRequestEntityTooLarge},
		{name: "a draining host serves what it can finish", routes: newRoutes(), path: "/a/", id: "r1", drainTime: time.Minute, want: http.StatusOK, wantBody: "POST /a/ "},
		{name: "a draining host refuses what it can't finish", routes: newRoutes(), path: "/a/", id: "r1", drainTime: 500 * time.Millisecond, want: http.StatusServiceUnavailable},
		{name: "a truncated response does not look complete", routes: newRoutes(), dispatch: truncateAfterStart, path: "/a/", id: "r1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dispatch := tt.dispatch
			if dispatch == nil {
				dispatch = echo
			}
			handler := edgecaller.New(tt.routes, servers{}, nil, dispatch, newLedger(), &log.Logger{Handler: discard.New()}, metrics.NewSet())
			if tt.drainTime > 0 {
				stop := time.Now().Add(tt.drainTime)
				handler.Drain(draining.Stop{OutOfRotation: stop, End: stop})
			}
			server := httptest.NewServer(handler)
			defer server.Close()
			status, body, err := send(t, server.URL+tt.path, tt.id, tt.body)
			if tt.want == 0 {
				if err == nil {
					t.Errorf("the truncated response looks complete: %d %q", status, body)
				}
				return
			}
			if err != nil || status != tt.want || (tt.wantBody != "" && body != tt.wantBody) {
				t.Errorf("status %d, want %d; body %q; error %v", status, tt.want, body, err)
			}
		})
	}
}

func send(t *testing.T, url, id, body string) (int, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h.example"
	if id != "" {
		request.Header.Set("Request-Id", id)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
