// Package client sends requests to the daemons as callers do and checks the responses.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
)

const (
	headerWorkspace = "X-Workspace"
	headerService   = "X-Service"
	headerKey       = "Idempotency-Key"
	headerRan       = "X-Request-Ran"

	dataPrefix         = "data: "
	streamEndMarker    = "[DONE]"
	maxIdleConnections = 1024
	maxLineBytes       = 1 << 20
)

// ErrWrongResponse marks a response that is malformed or does not belong to its
// request.
var ErrWrongResponse = errors.New("response does not match the request")

type (
	// Client sends requests. It is safe for concurrent use.
	Client struct {
		http *http.Client
	}

	// Completion is one streamed completion request.
	Completion struct {
		Workspace string
		Service   string // empty: chosen by the daemon
		Model     string
		Prompt    string
		Tokens    int // max_tokens; the engine stand-in generates exactly this number
		Key       string
	}

	// Call is one call of a plain service.
	Call struct {
		Workspace string
		Service   string
		Method    string
		Path      string
		Key       string
		Body      string
	}

	// Response is the response that a caller received. FirstToken and TotalTime are
	// measured from the start of the request.
	Response struct {
		Status      int
		Ran         string // of a refusal: "no" or "unknown"
		Code        string // of a refusal
		Body        string // of a plain call or refusal
		Text        string // of a completion
		Tokens      int
		FirstToken  time.Duration
		MaxTokenGap time.Duration
		TotalTime   time.Duration
	}

	completionBody struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}

	chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Error *errorDetail `json:"error"`
	}

	errorDetail struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}

	errorBody struct {
		Error errorDetail `json:"error"`
	}
)

// New returns a client that keeps idle connections for later requests.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}}
}

// Complete sends a completion to the daemon at host and reads its stream. The error
// is ErrWrongResponse if a chunk is malformed or a complete response does not belong to
// the prompt. Any other error means that no complete response arrived. A refusal is a
// response, not an error.
func (c *Client) Complete(ctx context.Context, host string, request Completion) (Response, error) {
	body, err := json.Marshal(completionBody{Model: request.Model, Prompt: request.Prompt, MaxTokens: request.Tokens, Stream: true})
	if err != nil {
		return Response{}, err
	}
	begin := time.Now()
	response, err := c.send(ctx, http.MethodPost, "http://"+host+"/v1/completions", body, map[string]string{
		headerWorkspace: request.Workspace, headerService: request.Service, headerKey: request.Key,
	})
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readBody(response, begin)
	}
	received, err := readStream(response, begin)
	if err != nil {
		return received, err
	}
	if want := engine.ResponseText(request.Prompt, request.Tokens); received.Text != want {
		return received, fmt.Errorf("%w: %d tokens, want %d; text %.120q, want %.120q", ErrWrongResponse, received.Tokens, request.Tokens, received.Text, want)
	}
	return received, nil
}

// Call sends a call of a plain service to the daemon at host.
func (c *Client) Call(ctx context.Context, host string, call Call) (Response, error) {
	begin := time.Now()
	url := "http://" + host + "/services/" + call.Service + call.Path
	response, err := c.send(ctx, call.Method, url, []byte(call.Body), map[string]string{
		headerWorkspace: call.Workspace, headerKey: call.Key,
	})
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	return readBody(response, begin)
}

func (c *Client) send(ctx context.Context, method, url string, body []byte, headers map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, value := range headers {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	return c.http.Do(request)
}

func readBody(response *http.Response, begin time.Time) (Response, error) {
	data, err := io.ReadAll(response.Body)
	received := Response{Status: response.StatusCode, Ran: response.Header.Get(headerRan), Body: string(data), TotalTime: time.Since(begin)}
	var refusal errorBody
	if json.Unmarshal(data, &refusal) == nil {
		received.Code = refusal.Error.Code
	}
	return received, err
}

func readStream(response *http.Response, begin time.Time) (Response, error) {
	received := Response{Status: response.StatusCode}
	var text strings.Builder
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLineBytes)
	previous := begin
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		if !ok {
			continue
		}
		if data == streamEndMarker {
			received.Text = text.String()
			received.TotalTime = time.Since(begin)
			return received, nil
		}
		token, err := readChunk(data)
		if err != nil {
			return received, err
		}
		text.WriteString(token)
		previous = received.recordToken(begin, previous, time.Now())
	}
	return received, errors.Join(fmt.Errorf("stream ended after %d tokens without the end marker", received.Tokens), lines.Err())
}

// recordToken records the arrival of one token at now and returns now, which is
// previous for the next token. begin is the start of the request.
func (r *Response) recordToken(begin, previous, now time.Time) time.Time {
	if r.Tokens == 0 {
		r.FirstToken = now.Sub(begin)
	} else {
		r.MaxTokenGap = max(r.MaxTokenGap, now.Sub(previous))
	}
	r.Tokens++
	return now
}

func readChunk(data string) (string, error) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return "", fmt.Errorf("%w: chunk %.120q: %w", ErrWrongResponse, data, err)
	}
	if c.Error != nil {
		return "", fmt.Errorf("stream ended with error %s: %s", c.Error.Code, c.Error.Message)
	}
	if len(c.Choices) != 1 {
		return "", fmt.Errorf("%w: chunk %.120q", ErrWrongResponse, data)
	}
	return c.Choices[0].Text, nil
}
