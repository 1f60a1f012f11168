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

	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgecaller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
)

type (
	// routes is a table that may be missing.
	routes struct{ table *route.Table }

	// dispatcher answers as a test says.
	dispatcher func(o *edgedispatch.Request, sink edgedispatch.Sink) error
)

func (r routes) Table() *route.Table { return r.table }

func (d dispatcher) Serve(_ context.Context, o *edgedispatch.Request, sink edgedispatch.Sink) error {
	return d(o, sink)
}

func known() routes {
	return routes{route.NewTable(&route.Configuration{
		Version: 3, Limits: route.Limits{BodyBytes: 10},
		Routes: []route.Route{{Name: "r", HostName: "h.example", PathPrefix: "/a/", Timeout: time.Second}},
	})}
}

func echo(o *edgedispatch.Request, sink edgedispatch.Sink) error {
	if err := sink.Start(http.StatusOK, http.Header{}); err != nil {
		return err
	}
	return sink.Write([]byte(o.Method + " " + o.Target + " " + string(o.Body)))
}

func cutAfterStart(o *edgedispatch.Request, sink edgedispatch.Sink) error {
	return errors.Join(echo(o, sink), edgedispatch.ErrTruncated, &edgedispatch.Failure{Status: http.StatusServiceUnavailable})
}

func TestServeHTTP(t *testing.T) {
	tests := []struct {
		name     string
		routes   routes
		dispatch dispatcher
		path     string
		id       string
		body     string
		leaving  time.Duration // time until the end of a leaving host
		want     int           // 0: the answer is cut off
		wantBody string
	}{
		{name: "answered as sent", routes: known(), path: "/a/x%2fy?q=1", id: "r1", body: "b", want: http.StatusOK, wantBody: "POST /a/x%2fy?q=1 b"},
		{name: "no configuration yet", path: "/a/", id: "r1", want: http.StatusServiceUnavailable},
		{name: "no route", routes: known(), path: "/b/", id: "r1", want: http.StatusNotFound},
		{name: "no id", routes: known(), path: "/a/", want: http.StatusBadRequest},
		{name: "body too long", routes: known(), path: "/a/", id: "r1", body: strings.Repeat("x", 11), want: http.StatusRequestEntityTooLarge},
		{name: "a leaving host serves what it can finish", routes: known(), path: "/a/", id: "r1", leaving: time.Minute, want: http.StatusOK, wantBody: "POST /a/ "},
		{name: "and refuses what it can't", routes: known(), path: "/a/", id: "r1", leaving: 500 * time.Millisecond, want: http.StatusServiceUnavailable},
		{name: "a cut answer does not look complete", routes: known(), dispatch: cutAfterStart, path: "/a/", id: "r1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dispatch := tt.dispatch
			if dispatch == nil {
				dispatch = echo
			}
			handler := edgecaller.New(tt.routes, dispatch, &log.Logger{Handler: discard.New()}, metrics.NewSet())
			if tt.leaving > 0 {
				handler.Drain(time.Now().Add(tt.leaving))
			}
			server := httptest.NewServer(handler)
			defer server.Close()
			status, body, err := send(t, server.URL+tt.path, tt.id, tt.body)
			if tt.want == 0 {
				if err == nil {
					t.Errorf("the answer looks complete: %d %q", status, body)
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
