package root_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/command/root"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
)

const (
	profileText = "[targets]\nfirstToken = 1s\n"
	requestLog  = `{"fields":{"host":"host-1","outcome":"failed","reason":"503: no decode server has room","request":"r1","status":503,"took":"700ms"},"level":"info","timestamp":"2026-05-07T05:31:51Z","message":"request ended"}` + "\n"
)

// serverLimit is the limit of a backend server.
var serverLimit = 1.9

// unreachableStore is the state of a host that can't reach the store.
var unreachableStore = hoststate.State{
	RefusedParts: []hoststate.RefusedParts{{Service: "model", Parts: []string{"5c1e", "91bd"}}},
	Host:         "host-7", FailureDomain: "z1", At: time.Unix(1000, 0), IsReady: true, InFlight: 2,
	Configuration: hoststate.Configuration{Version: 4, Routes: 9},
	Store:         hoststate.Store{IsUnreachable: true, LastResponse: time.Unix(1000, 0).Add(-1500 * time.Millisecond)},
	Servers: []hoststate.Server{
		{ID: "s1", Service: "model", Stage: "decode", FailureDomain: "z1", Address: netip.MustParseAddrPort("10.0.0.9:80"), Requests: 1, Tokens: 4000, FailureRate: 0.6, IsEjected: true, Limit: &serverLimit},
		{ID: "s2", Service: "shop", FailureDomain: "z2", Address: netip.MustParseAddrPort("10.0.0.8:80"), HasNoPath: true},
	},
	Workspaces: []hoststate.Workspace{{Received: 3, UnknownKey: 3}, {Name: "hule930", Received: 12, Served: 9, OverQuota: 2, OtherRefusals: 1}},
	Budgets:    []hoststate.Budget{{Service: "model", Requests: 40, Retries: 1, Allowed: 8}},
}

// daemon is a fake of the daemon's administration API.
type daemon struct {
	entries     []adminapi.Entry
	history     []adminapi.Change
	lagging     uint64 // revision that host-2 reports; 0: the newest
	unconfirmed int    // number of changes to reply to with the code unconfirmed
	changes     []adminapi.ChangeRequest
	revision    uint64
	state       hoststate.State
}

func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Config-Revision", "7")
	path := strings.TrimPrefix(r.URL.Path, "/admin/v1/")
	switch {
	case path == "changes":
		d.change(w, r)
	case path == "checks":
		reply(w, http.StatusUnprocessableEntity, map[string]string{"code": "invalidConfiguration", "message": "[targets] first: unknown key"})
	case path == "history":
		reply(w, http.StatusOK, d.history)
	case path == "entries":
		kind := r.URL.Query().Get("kind")
		reply(w, http.StatusOK, slices.DeleteFunc(slices.Clone(d.entries), func(e adminapi.Entry) bool { return kind != "" && e.Kind != kind }))
	case strings.HasPrefix(path, "entries/"):
		d.entry(w, strings.TrimPrefix(path, "entries/"))
	case r.URL.Path == hoststate.Path:
		reply(w, http.StatusOK, d.state)
	case path == "status":
		hostTwoRevision := d.revision
		if d.lagging > 0 {
			hostTwoRevision = d.lagging
		}
		reply(w, http.StatusOK, adminapi.Status{
			Host:     "host-1",
			Hosts:    []adminapi.Host{{Name: "host-1", ConfigRevision: d.revision}, {Name: "host-2", ConfigRevision: hostTwoRevision, OperatorAddress: "127.0.0.1:1"}},
			Services: []adminapi.Service{{Name: "cart", Kind: "plain", Profile: "p", Enabled: true, Answered: 5, Refused: 2}},
		})
	default:
		reply(w, http.StatusOK, adminapi.Version{Version: "v1", GoVersion: "go1"})
	}
}

func (d *daemon) change(w http.ResponseWriter, r *http.Request) {
	var request adminapi.ChangeRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	d.changes = append(d.changes, request)
	switch {
	case request.Edits[0].Base == 99:
		reply(w, http.StatusConflict, map[string]string{"code": "conflict", "message": "your base is revision 99, the current one is 5"})
	case d.unconfirmed > 0:
		d.unconfirmed--
		reply(w, http.StatusServiceUnavailable, map[string]string{"code": "unconfirmed", "message": "may have taken effect"})
	default:
		d.revision = 8
		reply(w, http.StatusOK, map[string]uint64{"revision": 8})
	}
}

func (d *daemon) entry(w http.ResponseWriter, key string) {
	for _, e := range d.entries {
		if e.Kind+"/"+e.Name == key {
			reply(w, http.StatusOK, e)
			return
		}
	}
	reply(w, http.StatusNotFound, map[string]string{"code": "notFound", "message": key + " does not exist"})
}

func reply(w http.ResponseWriter, status int, value any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
}

func run(t *testing.T, d *daemon, input string, args ...string) (code int, out, errs string) {
	t.Helper()
	server := httptest.NewServer(d)
	defer server.Close()
	var stdout, stderr bytes.Buffer
	f := &factory.Factory{
		Streams: factory.Streams{In: strings.NewReader(input), Out: &stdout, Err: &stderr},
		Getenv: func(name string) string {
			return map[string]string{factory.EnvAddress: server.URL, factory.EnvToken: "t", factory.EnvAuthor: "asha"}[name]
		},
	}
	code = root.Run(context.Background(), f, args)
	return code, stdout.String(), stderr.String()
}

func TestCommands(t *testing.T) {
	stored := []adminapi.Entry{
		{Kind: "profile", Name: "p", Text: profileText, Revision: 5},
		{Kind: "profile", Name: "old", Text: "[legacy]\naddress = http://10.0.0.1:80\n", Revision: 4},
		{Kind: "service", Name: "cart", Text: "[service]\nkind = plain\nprofile = p\n", Revision: 3},
		{Kind: "service", Name: "moved", Text: "[service]\nmodel = m\nprofile = old\n", Revision: 2},
	}
	history := []adminapi.Change{
		{Revision: 5, Author: "asha", Edits: []adminapi.Edit{{Kind: "profile", Name: "p", Text: profileText}}},
		{Revision: 1, Author: "ravi", Edits: []adminapi.Edit{{Kind: "profile", Name: "p", Text: "[targets]\nfirstToken = 2s\n"}}},
	}
	tests := []struct {
		name   string
		daemon daemon
		input  string
		args   string
		code   int
		out    string
		errs   string
		edits  []adminapi.Edit
	}{
		{
			name: "set on the current base", input: "[targets]\n", args: "profile set p --file -",
			out: "profile p is at revision 8, in force on all 2 hosts", edits: []adminapi.Edit{{Kind: "profile", Name: "p", Text: "[targets]\n", Base: 5}},
		},
		{name: "set on another base", input: "[targets]\n", args: "profile set --base 99 --file - p", code: 3, errs: "your base is revision 99, the current one is 5"},
		{name: "set while a host lags", daemon: daemon{lagging: 6}, input: "[targets]\n", args: "profile set p --file - --timeout 50ms", code: 4, out: "accepted at revision 8", errs: "host-2 (at 6)"},
		{name: "set without waiting", daemon: daemon{lagging: 6}, input: "[targets]\n", args: "profile set p --file - --no-wait", out: "accepted at revision 8"},
		{name: "set without a file", args: "profile set p", code: 2, errs: "--file"},
		{name: "set of an empty text", args: "profile set p --file -", code: 2, errs: "profile delete p"},
		{name: "unknown flag", args: "profile set p --fil -", code: 2, errs: "-fil"},
		{name: "unknown verb", args: "profile sett p", code: 2},
		{name: "check of a bad text", input: "[targets]\nfirst = 1\n", args: "profile check --file -", code: 1, errs: "[targets] first: unknown key"},
		{name: "get", args: "profile get p", out: profileText},
		{name: "get of a missing entry", args: "profile get q", code: 1, errs: "not found"},
		{name: "list", args: "profile list", out: "old   4\n"},
		{name: "list as JSON", args: "profile list --json", out: `"revision": 5`},
		{name: "delete", args: "profile delete p", out: "deletion of profile p", edits: []adminapi.Edit{{Kind: "profile", Name: "p", Base: 5}}},
		{name: "history", args: "profile history p", out: "ravi    set profile p"},
		{name: "diff with a file", input: "[targets]\ntokenGap = 5ms\n", args: "profile diff p --file -", out: "- [targets] firstToken = 1s\n+ [targets] tokenGap = 5ms\n"},
		{name: "diff with the revision before", args: "profile diff p", out: "- [targets] firstToken = 2s\n+ [targets] firstToken = 1s\n"},
		{name: "diff of two entries", args: "profile diff p --from 0 --to 0 q", code: 2, errs: "give one profile name"},
		{name: "service list", args: "service list", out: "cart     plain  p        bound  5         2\nwithout host-2, which did not answer"},
		{name: "service watch", args: "service watch cart --count 2 --interval 1ms", out: "cart under p: answered 5 (+0), refused 2 (+0) without host-2"},
		{name: "service watch of an unbound service", args: "service watch nothing", code: 1, errs: "service bind"},
		{
			name: "bind a new plain service", args: "service bind stock --profile p",
			edits: []adminapi.Edit{{Kind: "service", Name: "stock", Text: "[service]\nkind = plain\nprofile = p\n"}},
		},
		{
			name: "bind keeps the model", args: "service bind moved --profile p",
			edits: []adminapi.Edit{{Kind: "service", Name: "moved", Text: "[service]\nkind = model\nmodel = m\nprofile = p\n", Base: 2}},
		},
		{
			name: "unbind to the legacy address", args: "service unbind moved", out: "its calls go to http://10.0.0.1:80",
			edits: []adminapi.Edit{{Kind: "service", Name: "moved", Text: "[service]\nkind = model\nprofile = old\nenabled = false\nmodel = m\n", Base: 2}},
		},
		{name: "unbind without a legacy address", args: "service unbind cart", out: "refused as not run", edits: []adminapi.Edit{{Kind: "service", Name: "cart", Base: 3}}},
		{name: "drain", args: "drain host-2", edits: []adminapi.Edit{{Kind: "host", Name: "host-2", Text: "[host]\ndrain = true\n"}}},
		{name: "undrain of a host that is not drained", args: "undrain host-2", code: 1, errs: "not found"},
		{name: "host list", args: "host list", out: "host-2"},
		{name: "status", args: "status", out: "cart"},
		{name: "edge status", daemon: daemon{state: unreachableStore}, args: "edge status", out: "host-7  z1      ready  4              lost, answered 1.5s ago  2          2        0      model 1 of 8     model 5c1e+91bd"},
		{name: "edge status of workspaces", daemon: daemon{state: unreachableStore}, args: "edge status", out: "-          3         0       3            0           0\nhule930    12        9       0            2           1"},
		{name: "edge status as JSON", daemon: daemon{state: unreachableStore}, args: "edge status --json", out: `"isLost": true`},
		{name: "edge status of an unreachable host", args: "edge status 127.0.0.1:1", code: 1, errs: "host did not respond"},
		{name: "edge servers", daemon: daemon{state: unreachableStore}, args: "edge servers", out: "s1      model    decode  z1      10.0.0.9:80  ejected  1         4000    60 %      1.9/s"},
		{name: "edge servers without a path", daemon: daemon{state: unreachableStore}, args: "edge servers", out: "10.0.0.8:80  no path"},
		{name: "edge servers of a service", daemon: daemon{state: unreachableStore}, args: "edge servers --service shop --json", out: `"id": "s2"`},
		{name: "edge servers of two hosts", args: "edge servers 10.0.0.1:1 10.0.0.2:1", code: 2, errs: "each host has its own view"},
		{name: "request explain", input: requestLog, args: "request explain r1", out: "failed with status 503 after 700ms: 503: no decode server has room"},
		{name: "request explain as JSON", input: requestLog, args: "request explain r1 - --json", out: `"verdict": "failed`},
		{name: "request explain of an unknown id", input: requestLog, args: "request explain r2", code: 1, errs: "request not found"},
		{name: "request explain without an id", args: "request explain", code: 2, errs: "give the request's id"},
		{name: "request explain of a missing log", args: "request explain r1 no-such-file.log", code: 1, errs: "no-such-file.log"},
		{name: "version", args: "version --json", out: `"daemon"`},
		{name: "help", args: "help", out: "status"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := tt.daemon
			d.entries, d.history, d.revision = stored, history, 7
			code, out, errs := run(t, &d, tt.input, strings.Fields(tt.args)...)
			if code != tt.code || !strings.Contains(out, tt.out) || !strings.Contains(errs, tt.errs) {
				t.Errorf("exit code %d, output:\n%s\nerrors:\n%s\nwant code %d, %q and %q", code, out, errs, tt.code, tt.out, tt.errs)
			}
			if tt.edits == nil {
				return
			}
			if len(d.changes) != 1 {
				t.Fatalf("%d changes were sent, want 1", len(d.changes))
			}
			if diff := cmp.Diff(tt.edits, d.changes[0].Edits); diff != "" {
				t.Errorf("edits (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRetriesKeepWriteID guards against a retry that a daemon cannot
// recognize as the change whose response was lost. Every retry must carry the write ID
// of the first request.
//
// proof: answer lost | config write | 8
func TestRetriesKeepWriteID(t *testing.T) {
	d := &daemon{unconfirmed: 2, revision: 7}
	if code, _, errs := run(t, d, "[targets]\n", "profile", "set", "p", "--file", "-"); code != 0 {
		t.Fatalf("exit code %d: %s", code, errs)
	}
	if len(d.changes) != 3 || d.changes[0].WriteID == "" {
		t.Fatalf("got changes %+v, want three with one write ID", d.changes)
	}
	for _, c := range d.changes {
		if c.WriteID != d.changes[0].WriteID || c.Since != 7 || c.Author != "asha" {
			t.Errorf("first attempt %+v, retry %+v", d.changes[0], c)
		}
	}
}

func TestApply(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("profile/same.ini", profileText)
	write("profile/changed.ini", profileText)
	write("service/new.ini", "[service]\nkind = plain\nprofile = same\n")
	stored := []adminapi.Entry{
		{Kind: "profile", Name: "same", Text: profileText, Revision: 1},
		{Kind: "profile", Name: "changed", Text: "[targets]\n", Revision: 2},
		{Kind: "workspace", Name: "gone", Text: "[workspace]\n", Revision: 3},
		{Kind: "host", Name: "host-1", Text: "[host]\ndrain = true\n", Revision: 4},
	}
	edits := []adminapi.Edit{
		{Kind: "profile", Name: "changed", Text: profileText, Base: 2},
		{Kind: "service", Name: "new", Text: "[service]\nkind = plain\nprofile = same\n"},
	}
	deletion := adminapi.Edit{Kind: "workspace", Name: "gone", Base: 3}
	tests := []struct {
		name string
		args []string
		want []adminapi.Edit
		dry  bool
	}{
		{name: "changed and new entries", want: edits},
		{name: "prune deletes the others but no host entries", args: []string{"--prune"}, want: append(edits[:2:2], deletion)},
		{name: "dry run", args: []string{"--dry-run"}, want: edits, dry: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &daemon{entries: stored, revision: 7}
			code, out, errs := run(t, d, "", append([]string{"apply", "--dir", dir}, tt.args...)...)
			if code != 0 || !strings.Contains(out, "~ profile changed\n+ service new\n") {
				t.Fatalf("exit code %d, output %q, errors %q", code, out, errs)
			}
			if len(d.changes) != 1 || d.changes[0].DryRun != tt.dry {
				t.Fatalf("changes sent: %+v", d.changes)
			}
			if diff := cmp.Diff(tt.want, d.changes[0].Edits); diff != "" {
				t.Errorf("edits (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHelpHasExamples guards against a command whose help has no example.
func TestHelpHasExamples(t *testing.T) {
	for _, command := range []string{
		"status", "drain", "undrain", "version", "apply", "profile set", "profile get", "profile list", "profile delete",
		"profile check", "profile diff", "profile history", "service bind", "service unbind", "service watch", "host list", "report burn",
	} {
		words := strings.Fields(command)
		args := append(words[:len(words)-1:len(words)-1], "help", words[len(words)-1])
		code, out, errs := run(t, &daemon{}, "", args...)
		if code != 0 || !strings.Contains(out+errs, "Examples:\n  hickory "+command) {
			t.Errorf("help of %q: exit code %d, output:\n%s%s", command, code, out, errs)
		}
	}
}

func TestNoDaemonAddress(t *testing.T) {
	f := &factory.Factory{
		Streams: factory.Streams{In: strings.NewReader(""), Out: io.Discard, Err: io.Discard},
		Getenv:  func(string) string { return "" },
	}
	if code := root.Run(context.Background(), f, []string{"status"}); code != 1 {
		t.Errorf("exit code %d without an address, want 1", code)
	}
}
