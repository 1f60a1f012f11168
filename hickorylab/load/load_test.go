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

// secondToken begins the second token of every answer of the stand-in engine.
var secondToken, _, _ = strings.Cut(engine.TokenText(0, 1), ".")

// daemon answers like one, with a fault in every completion or call.
type daemon struct {
	spoil   func(text string) string // of completions
	callRun func(key string) string  // the answer to a call
	runs    atomic.Int64
}

func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/services/") {
		fmt.Fprint(w, d.callRun(r.Header.Get("Idempotency-Key")))
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
		text := d.spoil(engine.TokenText(engine.Seed(request.Prompt), i))
		if text != "" {
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", text)
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (d *daemon) eachRun(string) string { return fmt.Sprint("run ", d.runs.Add(1)) }

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

func TestEveryAnswerIsChecked(t *testing.T) {
	intact := func(text string) string { return text }
	lose := func(text string) string {
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
		"right answers":  {&daemon{spoil: intact, callRun: byKey}, false},
		"token changed":  {&daemon{spoil: func(text string) string { return text + "x" }, callRun: byKey}, true},
		"token lost":     {&daemon{spoil: lose, callRun: byKey}, true},
		"token doubled":  {&daemon{spoil: func(text string) string { return text + text }, callRun: byKey}, true},
		"call run twice": {&daemon{spoil: intact}, true},
	}
	tests["call run twice"].daemon.callRun = tests["call run twice"].daemon.eachRun
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report, err := load.Run(t.Context(), optionsFor(t, test.daemon))
			if errors.Is(err, load.ErrWrongResponses) != test.wrong {
				t.Errorf("error %v, report %+v", err, report)
			}
			if report.Sent == 0 || (!test.wrong && (report.Answered < report.Sent || report.Good != report.Completed)) {
				t.Errorf("report %+v", report)
			}
		})
	}
}

// TestReplayNamesTheFirstDifference lets every outcome but one come true.
func TestReplayNamesTheFirstDifference(t *testing.T) {
	server := httptest.NewServer(&daemon{spoil: func(text string) string { return text }, callRun: func(string) string { return "held" }})
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
		"other answer":   {[]trace.Outcome{{ID: "match", SameAs: "hold"}}, "request match: answer"},
		"not refused":    {[]trace.Outcome{{ID: "hold", Ran: "no"}}, `ran "", stated "no"`},
		"no stated code": {[]trace.Outcome{{ID: "hold", Code: "overloaded"}}, `code ""`},
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
