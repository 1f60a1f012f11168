// Package trace generates, reads and writes traces of requests and their stated
// outcomes, with one JSON object per line.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// KindCompletion is a request to a model service.
	KindCompletion Kind = "completion"
	// KindCall is a request to a plain service.
	KindCall Kind = "call"

	maxLineBytes       = 1 << 20
	bytesPerFillerWord = 5
	fillerWord         = " book"
)

// ErrInvalidTrace means that a line of a trace or of its outcomes is invalid, or that
// there is no trace with the given name.
var ErrInvalidTrace = errors.New("invalid trace")

type (
	// Kind is the kind of a request.
	Kind string

	// Request is a line of a trace.
	Request struct {
		ID        string `json:"id"`
		AtMS      int64  `json:"atMs"` // time after the start of the trace
		Kind      Kind   `json:"kind"`
		Host      int    `json:"host"` // index of the host that gets the request, modulo the number of hosts
		Workspace string `json:"workspace"`
		Service   string `json:"service"`

		// The following fields are of completions. The prompt consists of the shared
		// text, which is the same for all requests that name it, and the text of the
		// request itself.
		Model        string `json:"model,omitempty"`
		Shared       string `json:"shared,omitempty"`
		SharedTokens int    `json:"sharedTokens,omitempty"`
		OwnTokens    int    `json:"ownTokens,omitempty"`
		Tokens       int    `json:"tokens,omitempty"`

		// The following fields are of calls.
		Method string `json:"method,omitempty"`
		Path   string `json:"path,omitempty"`
		Key    string `json:"key,omitempty"`
		Body   string `json:"body,omitempty"`

		// CancelMS is the time after which the caller cancels the request; 0: never.
		CancelMS int64 `json:"cancelMs,omitempty"`
	}

	// Outcome is the expected outcome of a request. Empty fields are not checked.
	Outcome struct {
		ID        string `json:"id"`
		Status    int    `json:"status,omitempty"`
		Ran       string `json:"ran,omitempty"`
		Code      string `json:"code,omitempty"`
		Complete  bool   `json:"whole,omitempty"`  // the complete response to its own prompt
		SameAs    string `json:"sameAs,omitempty"` // ID of a request with the same response
		Cancelled bool   `json:"gone,omitempty"`   // the caller cancelled the request
	}
)

// At returns the time after the start of the trace at which the request is sent.
func (r Request) At() time.Duration {
	return time.Duration(r.AtMS) * time.Millisecond
}

// CancelAfter returns the time after which the caller cancels the request; 0: never.
func (r Request) CancelAfter() time.Duration {
	return time.Duration(r.CancelMS) * time.Millisecond
}

// Prompt returns the prompt of a completion.
func (r Request) Prompt() string {
	return fillerText(r.Shared, r.SharedTokens) + fillerText(r.ID, r.OwnTokens)
}

func fillerText(name string, tokens int) string {
	const bytesPerToken = 4
	if tokens == 0 {
		return ""
	}
	return name + strings.Repeat(fillerWord, tokens*bytesPerToken/bytesPerFillerWord)
}

// ReadRequests reads a trace and sorts it by time. The error for an invalid line is
// ErrInvalidTrace and names the line.
func ReadRequests(in io.Reader) ([]Request, error) {
	requests, err := readLines[Request](in)
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i, r := range requests {
		if err := r.validate(seen); err != nil {
			return nil, fmt.Errorf("%w: line %d: %w", ErrInvalidTrace, i+1, err)
		}
		seen[r.ID] = true
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return requests, nil
}

// ReadOutcomes reads the stated outcomes of the requests of a trace. The error for an
// invalid line is ErrInvalidTrace and names the line.
func ReadOutcomes(in io.Reader, requests []Request) ([]Outcome, error) {
	outcomes, err := readLines[Outcome](in)
	if err != nil {
		return nil, err
	}
	known := map[string]bool{}
	for _, r := range requests {
		known[r.ID] = true
	}
	for i, o := range outcomes {
		if !known[o.ID] || (o.SameAs != "" && !known[o.SameAs]) {
			return nil, fmt.Errorf("%w: outcome line %d: the trace has no request %q or %q", ErrInvalidTrace, i+1, o.ID, o.SameAs)
		}
	}
	return outcomes, nil
}

// Write writes requests or outcomes, one per line.
func Write[T Request | Outcome](out io.Writer, items []T) error {
	encoder := json.NewEncoder(out)
	for _, item := range items {
		if err := encoder.Encode(item); err != nil {
			return err
		}
	}
	return nil
}

func (r Request) validate(seen map[string]bool) error {
	switch {
	case r.ID == "" || seen[r.ID]:
		return fmt.Errorf("id %q is empty or used by an earlier request", r.ID)
	case r.AtMS < 0 || r.Host < 0 || r.CancelMS < 0:
		return errors.New("atMs, host and cancelMs must not be below 0")
	case r.Kind == KindCompletion && (r.Tokens < 1 || r.OwnTokens < 1 || r.Model == ""):
		return errors.New("a completion needs a model, tokens and ownTokens")
	case r.Kind == KindCall && (r.Method == "" || !strings.HasPrefix(r.Path, "/")):
		return errors.New("a call needs a method and a path that begins with /")
	case r.Kind != KindCompletion && r.Kind != KindCall:
		return fmt.Errorf("unknown kind %q", r.Kind)
	}
	return nil
}

func readLines[T any](in io.Reader) ([]T, error) {
	var items []T
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		var item T
		decoder := json.NewDecoder(bytes.NewReader(lines.Bytes()))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&item); err != nil {
			return nil, fmt.Errorf("%w: line %d: %w", ErrInvalidTrace, number, err)
		}
		items = append(items, item)
	}
	return items, lines.Err()
}
