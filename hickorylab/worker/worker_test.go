package worker_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
	"github.com/hickoryfront/hickoryfront/hickorylab/metastore"
	"github.com/hickoryfront/hickoryfront/hickorylab/worker"
)

const (
	pauseTime = 600 * time.Millisecond
	// streamEvents is the number of events of a stream. It ends well after the pause
	// has started.
	streamEvents = 40
)

type (
	// servers are one server of each stage and a plain one.
	servers struct {
		tb      testing.TB
		group   *worker.Group
		byStage map[string]*worker.Server
		network string
	}

	// timedLine is a line of a stream and when it was read.
	timedLine struct {
		text string
		at   time.Time
	}
)

var lastOctets = map[string]int{"": 20, "prefill": 30, "decode": 31}

func startServers(tb testing.TB) *servers {
	tb.Helper()
	s := &servers{tb: tb, group: worker.NewGroup(metastore.New()), byStage: make(map[string]*worker.Server), network: harness.FreeNetwork(tb)}
	for stage := range lastOctets {
		server, err := s.group.Start("service", stage, s.address(stage))
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(server.Crash)
		s.byStage[stage] = server
	}
	return s
}

func (s *servers) address(stage string) string {
	return fmt.Sprintf("%s.%d:19000", s.network, lastOctets[stage])
}

// request returns a request to the server of a stage.
func (s *servers) request(stage, method, path, id, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+s.address(stage)+path, strings.NewReader(body))
	if err != nil {
		s.tb.Fatal(err)
	}
	r.Header.Set("Request-Id", id)
	r.Header.Set("Token-Counts", fmt.Sprintf("1500,%d", streamEvents))
	if stage == "prefill" {
		r.Header.Set("Serving-Stage", "prefill")
	}
	return r
}

// do sends a request on a connection of its own and returns status and body.
func do(r *http.Request) (int, string, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// TestPause guards against a stand-in that answers or sends while it is silent, or that
// loses what was in progress.
func TestPause(t *testing.T) {
	s := startServers(t)
	stream, err := http.DefaultClient.Do(s.request("decode", "POST", "/draft/", "stream", "prompt"))
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Body.Close()
	events := bufio.NewReader(stream.Body)
	first, err := events.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	for _, server := range s.byStage {
		server.Pause(pauseTime)
	}
	end := began.Add(pauseTime)

	var group sync.WaitGroup
	for _, call := range []struct {
		name, stage, method, path, body string
	}{
		{"plain request", "", "GET", "/lookup/", ""},
		{"prefill", "prefill", "POST", "/draft/", "prompt"},
		{"stream", "decode", "POST", "/draft/", "prompt"},
		{"report", "decode", "GET", "/hickoryfront/report", ""},
		{"reservation", "decode", "POST", "/hickoryfront/hold-take", `{"tokens":10}`},
		{"transfer", "decode", "POST", "/hickoryfront/kv-move", `{"id":"stream","to":"` + s.address("prefill") + `"}`},
	} {
		group.Go(func() {
			status, _, err := do(s.request(call.stage, call.method, call.path, call.name, call.body))
			if now := time.Now(); now.Before(end) {
				t.Errorf("%s was answered %v before the end of the pause", call.name, end.Sub(now))
			}
			if status != http.StatusOK || err != nil {
				t.Errorf("%s after the pause: status %d, error %v, want 200", call.name, status, err)
			}
		})
	}
	lines := readLines(t, events)
	group.Wait()

	complete := first
	for _, line := range lines {
		complete += line.text
		if late := began.Add(pauseTime / 2); line.at.After(late) && line.at.Before(end) { // an event sent before the pause may be read during its first half
			t.Errorf("line %q of the stream came %v before the end of the pause", line.text, end.Sub(line.at))
		}
	}
	var want strings.Builder
	for number := range uint64(streamEvents) {
		want.WriteString(worker.Event("/draft/", "prompt", number+1))
	}
	if complete != want.String() {
		t.Errorf("stream = %q, want %q", complete, want.String())
	}
	if runs := s.group.Runs("stream"); runs != 2 { // the stream in progress and the one during the pause
		t.Errorf("stream ran %d times, want 2", runs)
	}
}

// TestPauseExtended guards against a second pause that is ignored or ends the first.
func TestPauseExtended(t *testing.T) {
	s := startServers(t)
	end := time.Now().Add(pauseTime)
	s.byStage[""].Pause(pauseTime)
	s.byStage[""].Pause(pauseTime / 4)
	if _, _, err := do(s.request("", "GET", "/lookup/", "r", "")); err != nil {
		t.Fatal(err)
	}
	if now := time.Now(); now.Before(end) {
		t.Errorf("request was answered %v before the end of the longer pause", end.Sub(now))
	}
}

// TestCrashDuringPause guards against a server that stays silent after its crash, and
// against a restarted server that is still silent.
func TestCrashDuringPause(t *testing.T) {
	s := startServers(t)
	stream, err := http.DefaultClient.Do(s.request("decode", "POST", "/draft/", "cut", "prompt"))
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Body.Close()
	const endless = time.Hour
	s.byStage["decode"].Pause(endless)
	s.byStage["decode"].Crash()
	if _, err := io.ReadAll(stream.Body); err == nil {
		t.Error("the stream ended as complete, want an error")
	}
	if err := s.byStage["decode"].Restart(); err != nil {
		t.Fatal(err)
	}
	if status, _, err := do(s.request("decode", "GET", "/hickoryfront/report", "r", "")); status != http.StatusOK || err != nil {
		t.Errorf("report after the restart: status %d, error %v, want 200", status, err)
	}
}

// TestIsBrokenOff guards against a request that counts as broken off by a crash although
// its response was complete or its server was only paused, and against a crash that
// leaves no record.
func TestIsBrokenOff(t *testing.T) {
	s := startServers(t)
	if _, _, err := do(s.request("", "GET", "/lookup/", "complete", "")); err != nil {
		t.Fatal(err)
	}
	stream, err := http.DefaultClient.Do(s.request("decode", "POST", "/draft/", "cut", "prompt"))
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Body.Close()
	s.byStage["decode"].Pause(time.Millisecond)
	if s.group.IsBrokenOff("cut") {
		t.Error("the stream counts as broken off before the crash")
	}
	s.byStage["decode"].Crash()
	s.byStage["prefill"].Crash()
	for id, want := range map[string]bool{"cut": true, "complete": false, "unknown": false} {
		if got := s.group.IsBrokenOff(id); got != want {
			t.Errorf("IsBrokenOff(%q) = %v, want %v", id, got, want)
		}
	}
	for id, want := range map[string]int{"cut": 1, "complete": 1, "unknown": 0} {
		if got := s.group.Arrivals(id); got != want {
			t.Errorf("Arrivals(%q) = %d, want %d", id, got, want)
		}
	}
}

// TestVersion guards against events that do not name the software that sent them, and
// against a version that a restart changes.
func TestVersion(t *testing.T) {
	store := metastore.New()
	s := &servers{tb: t, group: worker.NewGroup(store), network: harness.FreeNetwork(t)}
	server, err := s.group.StartVersion("service", "decode", s.address("decode"), "v2")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Crash)
	for _, when := range []string{"at its start", "after a restart"} {
		_, body, err := do(s.request("decode", "POST", "/draft/", "r", "prompt"))
		if err != nil {
			t.Fatal(err)
		}
		events := strings.SplitAfter(strings.TrimSuffix(body, "\n\n"), "\n\n")
		if len(events) != streamEvents {
			t.Fatalf("%s: %d events, want %d", when, len(events), streamEvents)
		}
		plain, version := worker.SplitVersion(events[2])
		if want := worker.Event("/draft/", "prompt", 3); plain != want || version != "v2" {
			t.Errorf("%s: event %q of version %q, want %q of v2", when, plain, version, want)
		}
		if got := registeredVersions(t, store); !slices.Equal(got, []string{"v2"}) {
			t.Errorf("%s: registered versions %q, want v2", when, got)
		}
		server.Crash()
		if up := server.Uptime(time.Now()); up != 0 {
			t.Errorf("%s: uptime after a crash = %v, want 0", when, up)
		}
		if err := server.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	if plain, version := worker.SplitVersion(worker.Event("/draft/", "prompt", 3)); plain != worker.Event("/draft/", "prompt", 3) || version != worker.DefaultVersion {
		t.Errorf("event without a version = %q of version %q, want it unchanged of %s", plain, version, worker.DefaultVersion)
	}
	if server.Uptime(time.Now().Add(time.Second)) < time.Second {
		t.Error("uptime of a ready server is too short")
	}
	server.Drain()
	if up := server.Uptime(time.Now()); up != 0 {
		t.Errorf("uptime of a draining server = %v, want 0", up)
	}
}

// registeredVersions returns the software versions of the registered servers.
func registeredVersions(tb testing.TB, store *metastore.Store) []string {
	tb.Helper()
	recorder := httptest.NewRecorder()
	store.ServeHTTP(recorder, httptest.NewRequest("GET", "/hickoryfront/kv-range?path-prefix=servers/", nil))
	var page struct {
		Items []struct {
			Value []byte `json:"value"`
		} `json:"items"`
	}
	if err := json.NewDecoder(recorder.Body).Decode(&page); err != nil {
		tb.Fatal(err)
	}
	var versions []string
	for _, item := range page.Items {
		var entry struct {
			Version string `json:"version"`
		}
		if err := json.Unmarshal(item.Value, &entry); err != nil {
			tb.Fatal(err)
		}
		versions = append(versions, entry.Version)
	}
	return versions
}

func readLines(tb testing.TB, r *bufio.Reader) []timedLine {
	tb.Helper()
	var lines []timedLine
	for {
		text, err := r.ReadString('\n')
		lines = append(lines, timedLine{text: text, at: time.Now()})
		if err == io.EOF {
			return lines
		}
		if err != nil {
			tb.Errorf("stream broke off: %v", err)
			return lines
		}
	}
}
