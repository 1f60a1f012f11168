package load_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/load"
	"github.com/hickoryfront/hickoryfront/hickorylab/replay"
	"github.com/hickoryfront/hickoryfront/hickorylab/trace"
)

// secondToken is the prefix of the second token of every response of the engine
// stand-in.
var secondToken, _, _ = strings.Cut(engine.TokenText(0, 1), ".")

// daemon is a stand-in for a daemon that can change the tokens of completions and
// the responses to calls.
type daemon struct {
	transform    func(text string) string // changes a token of a completion
	callResponse func(key string) string  // response to a call with a key
	runs         atomic.Int64
}

func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/services/") {
		fmt.Fprint(w, d.callResponse(r.Header.Get("Idempotency-Key")))
		return
	}
	var request struct {
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for i := range request.MaxTokens {
		text := d.transform(engine.TokenText(engine.Seed(request.Prompt), i))
		if text != "" {
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", text)
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (d *daemon) responsePerRun(string) string { return fmt.Sprint("run ", d.runs.Add(1)) }

func optionsFor(t *testing.T, d *daemon) load.Options {
	t.Helper()
	server := httptest.NewServer(d)
	t.Cleanup(server.Close)
	return load.Options{
		Hosts: []string{strings.TrimPrefix(server.URL, "http://")}, Rate: 400, Duration: 200 * time.Millisecond, CallerTimeout: 10 * time.Second,
		Workspaces: []string{"boipara"}, Model: "m", PlainService: "cart", PlainShare: 0.5, RetryShare: 1,
		PromptMin: 5, PromptMax: 50, MaxTokens: 4, FirstToken: time.Minute, TokenGap: time.Minute, Seed: 1,
	}
}

// TestEveryResponseIsChecked checks that a load fails if a daemon changes, drops or
// repeats a token, or runs a call with an idempotency key twice.
func TestEveryResponseIsChecked(t *testing.T) {
	unchanged := func(text string) string { return text }
	dropSecond := func(text string) string {
		if strings.HasPrefix(text, secondToken) {
			return ""
		}
		return text
	}
	byKey := func(key string) string { return "held for " + key }
	tests := map[string]struct {
		daemon *daemon
		wrong  bool
	}{
		"correct responses": {&daemon{transform: unchanged, callResponse: byKey}, false},
		"token changed":     {&daemon{transform: func(text string) string { return text + "x" }, callResponse: byKey}, true},
		"token dropped":     {&daemon{transform: dropSecond, callResponse: byKey}, true},
		"token repeated":    {&daemon{transform: func(text string) string { return text + text }, callResponse: byKey}, true},
		"call run twice":    {&daemon{transform: unchanged}, true},
	}
	tests["call run twice"].daemon.callResponse = tests["call run twice"].daemon.responsePerRun
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report, err := load.Run(t.Context(), optionsFor(t, test.daemon))
			if errors.Is(err, load.ErrWrongResponses) != test.wrong {
				t.Errorf("error %v, report %+v", err, report)
			}
			if report.Sent == 0 || (!test.wrong && (report.Answered < report.Sent || report.Good != report.Completed)) {
				t.Errorf("got report %+v, want requests and, if no response is wrong, all of them answered and all completions good", report)
			}
		})
	}
}

// TestReplayNamesTheFirstDifference checks that a replay returns the first outcome
// that differs from the stated one, and no error if all outcomes match.
func TestReplayNamesTheFirstDifference(t *testing.T) {
	server := httptest.NewServer(&daemon{transform: func(text string) string { return text }, callResponse: func(string) string { return "held" }})
	defer server.Close()
	o := replay.Options{Hosts: []string{strings.TrimPrefix(server.URL, "http://")}, CallerTimeout: 10 * time.Second}
	requests := []trace.Request{
		{ID: "match", Kind: trace.KindCompletion, Model: "m", OwnTokens: 10, Tokens: 3},
		{ID: "hold", Kind: trace.KindCall, Method: "POST", Path: "/holds", Key: "k"},
		{ID: "again", Kind: trace.KindCall, Method: "POST", Path: "/holds", Key: "k"},
	}
	tests := map[string]struct {
		outcomes []trace.Outcome
		want     string
	}{
		"as stated":      {[]trace.Outcome{{ID: "match", Status: 200, Complete: true}, {ID: "again", SameAs: "hold"}}, ""},
		"other status":   {[]trace.Outcome{{ID: "hold", Status: 409}, {ID: "match", Status: 404}}, "request hold: status 200"},
		"other response": {[]trace.Outcome{{ID: "match", SameAs: "hold"}}, "request match: response"},
		"not refused":    {[]trace.Outcome{{ID: "hold", Ran: "no"}}, `ran "", stated "no"`},
		"code missing":   {[]trace.Outcome{{ID: "hold", Code: "overloaded"}}, `code ""`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := replay.Run(t.Context(), o, requests, test.outcomes)
			if test.want == "" && err == nil {
				return
			}
			if !errors.Is(err, replay.ErrOutcomeDiffers) || !strings.Contains(err.Error(), test.want) || test.want == "" {
				t.Errorf("error %v, want %q", err, test.want)
			}
		})
	}
}
