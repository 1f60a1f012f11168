package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/burn"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/configstore"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/operator"
)

const token = "operators-token-1"

var errPlatform = errors.New("platform down")

// fakeDaemon implements all interfaces that the handler uses.
type fakeDaemon struct {
	document *config.Document
	err      error // returned by Commit and History
	changes  []config.Change
}

func (d *fakeDaemon) Current() *config.Document { return d.document }

func (d *fakeDaemon) Commit(_ context.Context, change config.Change) (uint64, error) {
	if d.err != nil {
		return 0, d.err
	}
	change.Revision = d.document.Revision + 1
	next, err := d.document.Apply(change)
	if err != nil {
		return 0, err
	}
	d.document, d.changes = next, append(d.changes, change)
	return change.Revision, nil
}

func (d *fakeDaemon) History(_ context.Context, _ int, keep func(config.Change) bool) ([]config.Change, error) {
	var kept []config.Change
	for _, c := range d.changes {
		if keep(c) {
			kept = append(kept, c)
		}
	}
	return kept, d.err
}

func (*fakeDaemon) Self() member.Host { return member.Host{Name: "host-1"} }

func (*fakeDaemon) Live(time.Time) []member.State {
	return []member.State{{Host: member.Host{Name: "host-1"}}}
}

func (*fakeDaemon) Servers() []backend.Server                       { return []backend.Server{{ID: "decode-1"}} }
func (*fakeDaemon) Candidates(string) []placement.Candidate         { return nil }
func (*fakeDaemon) NotReadyReason(time.Time) string                 { return "" }
func (*fakeDaemon) Count(string) (uint64, uint64)                   { return 3, 1 }
func (*fakeDaemon) Burn(context.Context, time.Time) (r burn.Report) { return r }

func newDaemon(t *testing.T) *fakeDaemon {
	t.Helper()
	document, err := config.NewDocument().Apply(config.Change{Revision: 1, Edits: []config.Edit{
		{Kind: config.KindProfile, Name: "p", Text: "[targets]\n"},
		{Kind: config.KindService, Name: "s", Text: "[service]\nmodel = m\nprofile = p\n"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return &fakeDaemon{document: document}
}

func call(d *fakeDaemon, auth, method, path, body string) *httptest.ResponseRecorder {
	gin.SetMode(gin.TestMode)
	router := gin.New()
	operator.New(token, d, d, d, d, d, d, metrics.NewSet()).Routes(router)
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+auth)
	recorder := httptest.NewRecorder()
	router.ServeHTTP(recorder, request)
	return recorder
}

// TestErrors guards against an error of the API without its stable code and
// status, and against a refused change that was written. Every kind has a case.
func TestErrors(t *testing.T) {
	const edit = `{"author":"asha","edits":[{"kind":"profile","name":"p","text":"[targets]\nfirstToken = 1s\n","base":1}]}`
	tests := []struct {
		name   string
		auth   string
		method string
		path   string
		body   string
		err    error
		want   operator.ErrorKind
		part   string
	}{
		{name: "wrong token", auth: "x", method: http.MethodGet, path: "/admin/v1/status", want: operator.Unauthorized},
		{name: "not JSON", method: http.MethodPost, path: "/admin/v1/changes", body: "{", want: operator.InvalidRequest},
		{name: "body too large", method: http.MethodPost, path: "/admin/v1/changes", body: `"` + strings.Repeat("x", 2<<20) + `"`, want: operator.InvalidRequest},
		{name: "bad limit", method: http.MethodGet, path: "/admin/v1/history?limit=x", want: operator.InvalidRequest},
		{name: "missing entry", method: http.MethodGet, path: "/admin/v1/entries/profile/q", want: operator.NotFound},
		{
			name: "conflict", method: http.MethodPost, path: "/admin/v1/changes", body: strings.Replace(edit, `"base":1`, `"base":0`, 1),
			want: operator.ConflictKind, part: `"conflict":{"kind":"profile","name":"p","base":0,"current":1}`,
		},
		{
			name: "conflict of a dry run", method: http.MethodPost, path: "/admin/v1/changes", want: operator.ConflictKind,
			body: strings.Replace(edit, `"base":1}]`, `"base":0}],"dryRun":true`, 1),
		},
		{
			name: "unknown key", method: http.MethodPost, path: "/admin/v1/changes", body: strings.Replace(edit, "firstToken", "first", 1),
			want: operator.InvalidConfiguration, part: "[targets] first: unknown key",
		},
		{
			name: "check of a bad text", method: http.MethodPost, path: "/admin/v1/checks", body: strings.Replace(edit, "1s", "fast", 1),
			want: operator.InvalidConfiguration, part: "[targets] firstToken",
		},
		{name: "not sent", method: http.MethodPost, path: "/admin/v1/changes", body: edit, err: configstore.ErrNotSent, want: operator.NotSent},
		{name: "unconfirmed", method: http.MethodPost, path: "/admin/v1/changes", body: edit, err: configstore.ErrUnconfirmed, want: operator.Unconfirmed},
		{name: "history while the platform is down", method: http.MethodGet, path: "/admin/v1/history", err: errPlatform, want: operator.Unavailable},
	}
	covered := map[operator.ErrorKind]bool{}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon(t)
			d.err = tt.err
			auth := tt.auth
			if auth == "" {
				auth = token
			}
			reply := call(d, auth, tt.method, tt.path, tt.body)
			var body operator.ErrorReply
			if err := json.Unmarshal(reply.Body.Bytes(), &body); err != nil {
				t.Fatal(err)
			}
			if reply.Code != tt.want.Status || body.Code != tt.want.Code || !strings.Contains(reply.Body.String(), tt.part) {
				t.Errorf("got %d %s, want %+v with %q", reply.Code, reply.Body, tt.want, tt.part)
			}
			if d.document.Revision != 1 {
				t.Error("a refused change was written")
			}
			covered[tt.want] = true
		})
	}
	for _, kind := range operator.ErrorKinds() {
		if !covered[kind] {
			t.Errorf("no test case for %s", kind.Code)
		}
	}
}

// TestChangeAndRead makes changes through the API and reads them back.
func TestChangeAndRead(t *testing.T) {
	d := newDaemon(t)
	steps := []struct {
		method, path, body, want string
	}{
		{http.MethodPost, "/admin/v1/checks", `{"edits":[{"kind":"profile","name":"p","text":"[targets]\n"}]}`, `{"revision":1}`},
		{http.MethodPost, "/admin/v1/changes", `{"dryRun":true,"edits":[{"kind":"profile","name":"p","text":"[targets]\n","base":1}]}`, `{"revision":1}`},
		{http.MethodPost, "/admin/v1/changes", `{"author":"asha","attempt":"a-1","edits":[{"kind":"workspace","name":"w","text":"[workspace]\n"}]}`, `{"revision":2}`},
		{http.MethodGet, "/admin/v1/entries?kind=workspace", "", `"revision":2`},
		{http.MethodGet, "/admin/v1/history?kind=workspace&name=w", "", `"attempt":"a-1"`},
		{http.MethodGet, "/admin/v1/history?kind=workspace&name=x", "", `[]`},
		{http.MethodGet, "/admin/v1/status", "", `{"name":"s","kind":"model","model":"m","profile":"p","enabled":true,"answered":3,"refused":1}`},
		{http.MethodGet, "/admin/v1/version", "", `"goVersion":"go1`},
	}
	for _, step := range steps {
		reply := call(d, token, step.method, step.path, step.body)
		if reply.Code != http.StatusOK || !strings.Contains(reply.Body.String(), step.want) {
			t.Errorf("%s %s: got %d %s, want %q", step.method, step.path, reply.Code, reply.Body, step.want)
		}
	}
	if got := call(d, token, http.MethodGet, "/admin/v1/entries", "").Header().Get("X-Config-Revision"); got != "2" {
		t.Errorf("the reply was read at revision %q, want 2", got)
	}
}
