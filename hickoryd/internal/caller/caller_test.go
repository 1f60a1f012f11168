package caller_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/core/tokenstream"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/caller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/service"
)

// fakeBackends fakes everything that the handler calls and counts the calls.
type fakeBackends struct {
	document *config.Document
	refusal  *refusal.Refusal
	result   error
	models   int
	plain    int
	legacy   int
	target   string
}

func (f *fakeBackends) Run(_ context.Context, r dispatch.ModelRequest, sink dispatch.Sink) error {
	f.models++
	if f.result != nil {
		return f.result
	}
	for i, text := range []string{"a", "b", "c"} {
		if err := sink.Token(tokenstream.Token{Offset: i, Text: text, Last: i == 2}); err != nil {
			return err
		}
	}
	return nil
}

func (f *fakeBackends) Current() *config.Document { return f.document }

func (f *fakeBackends) Refuse(time.Time) *refusal.Refusal                           { return f.refusal }
func (f *fakeBackends) Completion(time.Time, config.Profile, string, caller.Timing) {}
func (f *fakeBackends) Call(time.Time, config.Profile, string, time.Duration, bool) {}
func (f *fakeBackends) Refused(string, *refusal.Refusal)                            {}
func (f *fakeBackends) DoURL(_ context.Context, t string, _ service.Call) (claim.Response, error) {
	f.legacy++
	f.target = t
	return claim.Response{Status: http.StatusOK, Body: []byte("legacy")}, nil
}

// drainingBody is a body during whose arrival the gate closes.
type drainingBody struct {
	io.Reader
	backends *fakeBackends
}

func (b *drainingBody) Read(p []byte) (int, error) {
	b.backends.refusal = refusal.NotRun(refusal.ShuttingDown, "draining")
	return b.Reader.Read(p)
}

// fakePlain is the plain service of fakeBackends, whose Run has another
// signature.
type fakePlain struct{ *fakeBackends }

func (f fakePlain) Run(context.Context, dispatch.PlainRequest) (claim.Response, error) {
	f.plain++
	return claim.Response{Status: http.StatusOK, Body: []byte("held")}, nil
}

func TestBadInputIsRefusedBeforeAnyServer(t *testing.T) {
	const validBody = `{"model":"m","prompt":"hello","max_tokens":4}`
	overlongHeader := strings.Repeat("x", 300)
	tests := []struct {
		name   string
		method string
		path   string
		body   string
		header map[string]string
		status int
		code   string
	}{
		{name: "no workspace", path: "/v1/completions", body: validBody, header: map[string]string{"X-Workspace": ""}, status: 403, code: "unknownWorkspace"},
		{name: "unknown workspace", path: "/v1/completions", body: validBody, header: map[string]string{"X-Workspace": "w2"}, status: 403, code: "unknownWorkspace"},
		{name: "body is not JSON", path: "/v1/completions", body: "{", status: 400, code: "invalidRequest"},
		{name: "empty body", path: "/v1/completions", status: 400, code: "invalidRequest"},
		{name: "no model", path: "/v1/completions", body: `{"prompt":"x"}`, status: 400, code: "invalidRequest"},
		{name: "unknown model", path: "/v1/completions", body: `{"model":"z","prompt":"x"}`, status: 404, code: "unknownModel"},
		{name: "unknown service", path: "/v1/completions", body: validBody, header: map[string]string{"X-Service": "z"}, status: 404, code: "unknownService"},
		{name: "service of another model", path: "/v1/completions", body: `{"model":"z","prompt":"x"}`, header: map[string]string{"X-Service": "briefs"}, status: 404, code: "unknownModel"},
		{name: "prompt is a list", path: "/v1/completions", body: `{"model":"m","prompt":["a"]}`, status: 400, code: "invalidRequest"},
		{name: "empty prompt", path: "/v1/completions", body: `{"model":"m","prompt":""}`, status: 400, code: "invalidRequest"},
		{name: "zero tokens requested", path: "/v1/completions", body: `{"model":"m","prompt":"x","max_tokens":0}`, status: 400, code: "invalidRequest"},
		{name: "more tokens than the profile allows", path: "/v1/completions", body: `{"model":"m","prompt":"x","max_tokens":5000}`, status: 400, code: "invalidRequest"},
		{name: "several choices", path: "/v1/completions", body: `{"model":"m","prompt":"x","n":2}`, status: 400, code: "invalidRequest"},
		{name: "chat without messages", path: "/v1/chat/completions", body: `{"model":"m"}`, status: 400, code: "invalidRequest"},
		{name: "chat with an image", path: "/v1/chat/completions", body: `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, status: 400, code: "invalidRequest"},
		{name: "body over the profile's limit", path: "/v1/completions", body: `{"model":"m","prompt":"` + strings.Repeat("x", 2000) + `"}`, status: 413, code: "bodyTooLarge"},
		{name: "key too long", path: "/v1/completions", body: validBody, header: map[string]string{"Idempotency-Key": overlongHeader}, status: 431, code: "headerTooLong"},
		{name: "request id too long", path: "/services/cart/holds", header: map[string]string{"X-Request-Id": overlongHeader}, status: 431, code: "headerTooLong"},
		{name: "unknown plain service", path: "/services/none/x", status: 404, code: "unknownService"},
		{name: "model service called as plain", path: "/services/briefs/x", status: 404, code: "unknownService"},
		{name: "call that may not be repeated without a key", path: "/services/cart/holds", status: 400, code: "missingIdempotencyKey"},
		{name: "unknown path", path: "/v2/nothing", status: 404, code: "unknownService"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeBackends(t)
			response := send(t, f, http.MethodPost, tt.path, tt.body, tt.header)
			if response.Code != tt.status || codeOf(t, response) != tt.code {
				t.Errorf("got %d %s, want %d %s", response.Code, response.Body, tt.status, tt.code)
			}
			if ran := response.Header().Get(caller.HeaderRan); ran != "no" {
				t.Errorf("%s is %q, want no", caller.HeaderRan, ran)
			}
			if f.models+f.plain+f.legacy > 0 {
				t.Error("the request reached a server")
			}
		})
	}
}

func TestResponses(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		body   string
		header map[string]string
		want   []string
	}{
		{name: "completion in one piece", path: "/v1/completions", body: `{"model":"m","prompt":"x"}`, want: []string{`"text":"abc"`, `"completion_tokens":3`, `"finish_reason":"stop"`}},
		{name: "streamed completion", path: "/v1/completions", body: `{"model":"m","prompt":"x","stream":true}`, want: []string{`"text":"a"`, `"text":"c"`, "data: [DONE]"}},
		{name: "chat in one piece", path: "/v1/chat/completions", body: `{"model":"m","messages":[{"role":"user","content":"x"}]}`, want: []string{`"content":"abc"`, `"role":"assistant"`}},
		{name: "streamed chat", path: "/v1/chat/completions", body: `{"model":"m","stream":true,"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`, want: []string{`"delta":{"role":"assistant","content":"a"}`, `"finish_reason":"stop"`}},
		{name: "plain call with a key", path: "/services/cart/holds", header: map[string]string{"Idempotency-Key": "k"}, want: []string{"held"}},
		{name: "disabled service goes to the legacy address", path: "/services/old/x?a=b", header: map[string]string{"Idempotency-Key": "k"}, want: []string{"legacy"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeBackends(t)
			response := send(t, f, http.MethodPost, tt.path, tt.body, tt.header)
			if response.Code != http.StatusOK {
				t.Fatalf("status %d: %s", response.Code, response.Body)
			}
			for _, want := range tt.want {
				if !strings.Contains(response.Body.String(), want) {
					t.Errorf("response %s lacks %s", response.Body, want)
				}
			}
		})
	}
}

func TestLegacyAddressKeepsThePath(t *testing.T) {
	f := newFakeBackends(t)
	send(t, f, http.MethodGet, "/services/old/x?a=b", "", nil)
	if want := "http://127.0.0.9:80/services/old/x?a=b"; f.target != want {
		t.Errorf("forwarded to %q, want %q", f.target, want)
	}
}

func TestRefusalsCarryRetryAfter(t *testing.T) {
	f := newFakeBackends(t)
	f.result = refusal.NotRun(refusal.Overloaded, "full").WithRetryAfter(1500 * time.Millisecond)
	response := send(t, f, http.MethodPost, "/v1/completions", `{"model":"m","prompt":"x"}`, nil)
	if response.Code != http.StatusTooManyRequests || response.Header().Get("Retry-After") != "2" || response.Header().Get(caller.HeaderRan) != "no" {
		t.Errorf("got %d with headers %v", response.Code, response.Header())
	}
}

func TestClosedGateRefuses(t *testing.T) {
	f := newFakeBackends(t)
	f.refusal = refusal.NotRun(refusal.ShuttingDown, "draining")
	response := send(t, f, http.MethodPost, "/v1/completions", `{"model":"m","prompt":"x"}`, nil)
	if response.Code != http.StatusServiceUnavailable || f.models != 0 {
		t.Errorf("got %d, %d requests ran", response.Code, f.models)
	}
}

// FuzzCompletionBody checks that every body is either served or refused as not
// run, with a status below 500.
// TestGateIsCheckedAfterTheBody guards against a request that a host accepts because its
// headers arrived before the host began to drain, although its body arrived after that.
func TestGateIsCheckedAfterTheBody(t *testing.T) {
	tests := []struct {
		method string
		path   string
		body   string
	}{
		{method: http.MethodPost, path: "/v1/completions", body: `{"model":"m","prompt":"hello","max_tokens":4}`},
		{method: http.MethodGet, path: "/services/cart/holds", body: "x"},
		{method: http.MethodPost, path: "/services/old/x", body: "x"},
	}
	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			f := newFakeBackends(t)
			body := &drainingBody{Reader: strings.NewReader(tt.body), backends: f}
			response := sendBody(t, f, tt.method, tt.path, body, nil)
			if response.Code != http.StatusServiceUnavailable || response.Header().Get(caller.HeaderRan) != "no" {
				t.Errorf("got %d %s", response.Code, response.Body)
			}
			if f.models+f.plain+f.legacy > 0 {
				t.Error("the request reached a server")
			}
		})
	}
}

func FuzzCompletionBody(f *testing.F) {
	for _, seed := range []string{`{"model":"m","prompt":"x"}`, `{"model":"m","messages":[{"role":"user","content":"x"}]}`, `[]`, `{"model":1}`, "\x00"} {
		f.Add(seed, true)
		f.Add(seed, false)
	}
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		path := "/v1/completions"
		if chat {
			path = "/v1/chat/completions"
		}
		response := send(t, newFakeBackends(t), http.MethodPost, path, body, nil)
		if response.Code >= http.StatusInternalServerError {
			t.Errorf("status %d for %q", response.Code, body)
		}
		if response.Code != http.StatusOK && response.Header().Get(caller.HeaderRan) != "no" {
			t.Errorf("status %d without %s: no", response.Code, caller.HeaderRan)
		}
	})
}

func newFakeBackends(t *testing.T) *fakeBackends {
	t.Helper()
	const limits = "[limits]\nmaxBodyBytes = 1000\n"
	document, err := config.NewDocument().Apply(config.Change{Revision: 1, Edits: []config.Edit{
		{Kind: config.KindProfile, Name: "p", Text: limits},
		{Kind: config.KindProfile, Name: "moving", Text: "[legacy]\naddress = http://127.0.0.9:80\n"},
		{Kind: config.KindService, Name: "briefs", Text: "[service]\nmodel = m\nprofile = p\n"},
		{Kind: config.KindService, Name: "cart", Text: "[service]\nkind = plain\nprofile = p\n"},
		{Kind: config.KindService, Name: "old", Text: "[service]\nkind = plain\nprofile = moving\nenabled = false\n"},
		{Kind: config.KindWorkspace, Name: "w", Text: "[workspace]\nshare = 1\n"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return &fakeBackends{document: document}
}

func send(t *testing.T, f *fakeBackends, method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	t.Helper()
	return sendBody(t, f, method, path, strings.NewReader(body), header)
}

func sendBody(t *testing.T, f *fakeBackends, method, path string, body io.Reader, header map[string]string) *httptest.ResponseRecorder {
	t.Helper()
	gin.SetMode(gin.TestMode)
	router := gin.New()
	caller.New(f, fakePlain{f}, nil, f, f, f, f, 10).Routes(router)
	request := httptest.NewRequestWithContext(t.Context(), method, path, body)
	request.Header.Set(caller.HeaderWorkspace, "w")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response := httptest.NewRecorder()
	router.ServeHTTP(response, request)
	return response
}

func codeOf(t *testing.T, response *httptest.ResponseRecorder) string {
	t.Helper()
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal(response.Body.Bytes(), &body); err != nil {
		t.Fatalf("refusal has no error object: %s", response.Body)
	}
	return body.Error.Code
}
