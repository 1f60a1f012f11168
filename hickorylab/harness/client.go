package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	headerRan       = "X-Request-Ran"
	headerKey       = "Idempotency-Key"
	headerWorkspace = "X-Workspace"
	dataPrefix      = "data: "
	streamEndMarker = "[DONE]"
)

type (
	// Reply is the result of a request as its caller saw it.
	Reply struct {
		Status     int
		Ran        string // X-Request-Ran of a refusal
		Code       string // error code of a refusal or of a failed stream
		RetryAfter string
		Body       string
		Text       string // of a completion
		IsComplete bool   // the stream ended with its end marker, or the body holds a completion
		Err        error  // no response, or a malformed one
	}

	// Completion is one completion request. A non-empty Key becomes its
	// Idempotency-Key.
	Completion struct {
		Prompt    string
		MaxTokens int
		Stream    bool
		Key       string
		// OnToken is called for each streamed token.
		OnToken func(number int)
	}

	configEdit struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
		Text string `json:"text,omitempty"`
		Base uint64 `json:"base"`
	}

	errorBody struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}

	completionBody struct {
		Choices []struct {
			Text         string  `json:"text"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
		errorBody
	}

	statusBody struct {
		ConfigRevision uint64 `json:"configRevision"`
		Hosts          []struct {
			Name           string `json:"name"`
			ConfigRevision uint64 `json:"configRevision"`
		} `json:"hosts"`
		Servers []struct {
			ID string `json:"id"`
		} `json:"servers"`
	}
)

// Prompt returns a prompt of about the given number of tokens. It begins with name,
// so that its response differs from those to other prompts.
func Prompt(name string, tokens int) string {
	const word = " book"
	return name + strings.Repeat(word, max(0, tokens*4-len(name))/len(word)+1)
}

// Complete sends a completion request to a daemon.
func (c *Cluster) Complete(ctx context.Context, host *Process, request Completion) Reply {
	body := map[string]any{"model": Model, "prompt": request.Prompt, "max_tokens": request.MaxTokens, "stream": request.Stream}
	response, err := c.send(ctx, http.MethodPost, "http://"+host.Address+"/v1/completions", request.Key, body)
	if err != nil {
		return Reply{Err: err}
	}
	defer response.Body.Close()
	if request.Stream && response.StatusCode == http.StatusOK {
		return readStream(response, request.OnToken)
	}
	reply := readReply(response)
	var parsed completionBody
	if json.Unmarshal([]byte(reply.Body), &parsed) == nil && len(parsed.Choices) == 1 {
		reply.Text = parsed.Choices[0].Text
		reply.IsComplete = true
	}
	return reply
}

// Call sends a call of the plain service to a daemon.
func (c *Cluster) Call(ctx context.Context, host *Process, method, path, key, body string) Reply {
	response, err := c.send(ctx, method, "http://"+host.Address+"/services/"+PlainService+path, key, body)
	if err != nil {
		return Reply{Err: err}
	}
	defer response.Body.Close()
	return readReply(response)
}

// SetEntry creates or replaces a configuration entry through a daemon and returns
// the status of the response, or 0 if the daemon does not respond. The change is based
// on the revision base, which is 0 for a new entry.
func (c *Cluster) SetEntry(host *Process, kind, name, text string, base uint64) int {
	change := map[string]any{"author": "harness", "edits": []configEdit{{Kind: kind, Name: name, Text: text, Base: base}}}
	return c.post("http://"+host.Operator+"/admin/v1/changes", change, nil)
}

// Revision returns the configuration revision in force on a daemon, or 0 if the daemon
// does not respond.
func (c *Cluster) Revision(host *Process) uint64 {
	var status statusBody
	c.get("http://"+host.Operator+"/admin/v1/status", &status)
	return status.ConfigRevision
}

// LiveHosts returns the number of hosts that a daemon considers alive, or 0 if the
// daemon does not respond.
func (c *Cluster) LiveHosts(host *Process) int {
	var status statusBody
	c.get("http://"+host.Operator+"/admin/v1/status", &status)
	return len(status.Hosts)
}

// configure creates the profiles, services and the workspace of the cluster and waits
// until every daemon has the configuration and lists all hosts and backend servers.
func (c *Cluster) configure() {
	c.tb.Helper()
	for _, host := range c.Hosts {
		c.await(host.Name, func() bool { return statusOf("http://"+host.Operator+"/readyz") == http.StatusOK })
	}
	edits := []configEdit{
		{Kind: "profile", Name: "model", Text: c.options.Profile + "\n"},
		{Kind: "profile", Name: "plain", Text: c.options.PlainProfile + "\n"},
		{Kind: "service", Name: ModelService, Text: "[service]\nkind = model\nmodel = " + Model + "\nprofile = model\n"},
		{Kind: "service", Name: PlainService, Text: "[service]\nkind = plain\nprofile = plain\n"},
		{Kind: "workspace", Name: Workspace, Text: "[workspace]\nshare = 1\n"},
	}
	change := map[string]any{"author": "harness", "edits": edits}
	if status := c.post("http://"+c.Hosts[0].Operator+"/admin/v1/changes", change, nil); status != http.StatusOK {
		c.tb.Fatalf("configuration refused with status %d, want 200", status)
	}
	servers := c.options.Prefill + c.options.Decode + c.options.Services
	for _, host := range c.Hosts {
		c.await(host.Name+" to be configured", func() bool { return c.isConfigured(host, servers) })
	}
}

// isConfigured reports whether a daemon has the configuration and lists all hosts and
// backend servers.
func (c *Cluster) isConfigured(host *Process, servers int) bool {
	var status statusBody
	if c.get("http://"+host.Operator+"/admin/v1/status", &status) != http.StatusOK {
		return false
	}
	return status.ConfigRevision > 0 && len(status.Hosts) == len(c.Hosts) && len(status.Servers) >= servers
}

func (c *Cluster) send(ctx context.Context, method, url, key string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set(headerWorkspace, Workspace)
	if key != "" {
		request.Header.Set(headerKey, key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(request)
}

func (c *Cluster) post(url string, body, reply any) int {
	return c.callJSON(http.MethodPost, url, body, reply)
}

func (c *Cluster) get(url string, reply any) int {
	return c.callJSON(http.MethodGet, url, nil, reply)
}

func (c *Cluster) callJSON(method, url string, body, reply any) int {
	const callTimeout = 30 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		c.tb.Fatal(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		c.tb.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+OperatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if reply != nil && response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(responseBody, reply); err != nil {
			return 0
		}
	}
	return response.StatusCode
}

func readReply(response *http.Response) Reply {
	reply := Reply{Status: response.StatusCode, Ran: response.Header.Get(headerRan), RetryAfter: response.Header.Get("Retry-After")}
	data, err := io.ReadAll(response.Body)
	reply.Body = string(data)
	reply.Err = err
	var refusal errorBody
	if json.Unmarshal(data, &refusal) == nil {
		reply.Code = refusal.Error.Code
	}
	return reply
}

func readStream(response *http.Response, onToken func(int)) Reply {
	reply := Reply{Status: response.StatusCode}
	lines := bufio.NewScanner(response.Body)
	number := 0
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		if !ok {
			continue
		}
		if data == streamEndMarker {
			reply.IsComplete = true
			break
		}
		var chunk completionBody
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			reply.Err = err
			break
		}
		reply.Code = chunk.Error.Code
		for _, choice := range chunk.Choices {
			reply.Text += choice.Text
			if onToken != nil {
				onToken(number)
			}
			number++
		}
	}
	if reply.Err == nil {
		reply.Err = lines.Err()
	}
	return reply
}
