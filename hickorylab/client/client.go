// Package client calls the daemons as callers do, and checks what they answer.
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

	dataPrefix = "data: "
	streamEnd  = "[DONE]"
	maxIdle    = 1024
	maxLine    = 1 << 20
)

// ErrWrong marks an answer that is not the one to its request.
var ErrWrong = errors.New("wrong answer")

type (
	// Client sends requests. It is safe for concurrent use.
	Client struct {
		http *http.Client
	}

	// Completion is one streamed completion request.
	Completion struct {
		Workspace string
		Service   string // "" leaves the choice to the daemon
		Model     string
		Prompt    string
		Tokens    int
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

	// Answer is what a caller got. Times count from the start of the request.
	Answer struct {
		Status     int
		Ran        string // of a refusal: "no" or "unknown"
		Code       string // of a refusal
		Body       string // of a plain call or refusal
		Text       string // of a completion
		Tokens     int
		FirstToken time.Duration
		WorstGap   time.Duration
		Whole      time.Duration
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

// New returns a client that keeps connections.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}}}
}

// Complete sends a completion to the daemon at host and reads its stream. The
// error is ErrWrong when a whole answer is not the one to the prompt; others
// mean that no whole answer came. A refusal is an answer.
func (c *Client) Complete(ctx context.Context, host string, request Completion) (Answer, error) {
	body, err := json.Marshal(completionBody{Model: request.Model, Prompt: request.Prompt, MaxTokens: request.Tokens, Stream: true})
	if err != nil {
		return Answer{}, err
	}
	begin := time.Now()
	response, err := c.send(ctx, http.MethodPost, "http://"+host+"/v1/completions", body, map[string]string{
		headerWorkspace: request.Workspace, headerService: request.Service, headerKey: request.Key,
	})
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readWhole(response, begin)
	}
	answer, err := readStream(response, begin)
	if err != nil {
		return answer, err
	}
	if want := engine.ResponseText(request.Prompt, request.Tokens); answer.Text != want {
		return answer, fmt.Errorf("%w: %d tokens, want %d; text %.120q, want %.120q", ErrWrong, answer.Tokens, request.Tokens, answer.Text, want)
	}
	return answer, nil
}

// Call sends a call of a plain service to the daemon at host.
func (c *Client) Call(ctx context.Context, host string, call Call) (Answer, error) {
	begin := time.Now()
	url := "http://" + host + "/services/" + call.Service + call.Path
	response, err := c.send(ctx, call.Method, url, []byte(call.Body), map[string]string{
		headerWorkspace: call.Workspace, headerKey: call.Key,
	})
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	return readWhole(response, begin)
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

func readWhole(response *http.Response, begin time.Time) (Answer, error) {
	data, err := io.ReadAll(response.Body)
	answer := Answer{Status: response.StatusCode, Ran: response.Header.Get(headerRan), Body: string(data), Whole: time.Since(begin)}
	var refused errorBody
	if json.Unmarshal(data, &refused) == nil {
		answer.Code = refused.Error.Code
	}
	return answer, err
}

func readStream(response *http.Response, begin time.Time) (Answer, error) {
	answer := Answer{Status: response.StatusCode}
	var text strings.Builder
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLine)
	previous := begin
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		if !ok {
			continue
		}
		if data == streamEnd {
			answer.Text = text.String()
			answer.Whole = time.Since(begin)
			return answer, nil
		}
		piece, err := readChunk(data)
		if err != nil {
			return answer, err
		}
		text.WriteString(piece)
		previous = answer.note(begin, previous, time.Now())
	}
	return answer, errors.Join(fmt.Errorf("the stream ended after %d tokens without its end mark", answer.Tokens), lines.Err())
}

// note takes in the time of one token and returns it.
func (a *Answer) note(begin, previous, now time.Time) time.Time {
	if a.Tokens == 0 {
		a.FirstToken = now.Sub(begin)
	} else {
		a.WorstGap = max(a.WorstGap, now.Sub(previous))
	}
	a.Tokens++
	return now
}

func readChunk(data string) (string, error) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return "", fmt.Errorf("%w: chunk %.120q: %w", ErrWrong, data, err)
	}
	if c.Error != nil {
		return "", fmt.Errorf("the stream ended with %s: %s", c.Error.Code, c.Error.Message)
	}
	if len(c.Choices) != 1 {
		return "", fmt.Errorf("%w: chunk %.120q", ErrWrong, data)
	}
	return c.Choices[0].Text, nil
}
