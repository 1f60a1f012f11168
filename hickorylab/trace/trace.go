// Package trace reads and writes traces of requests and their stated outcomes,
// one JSON object a line.
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
	// KindCompletion requests go to a model service.
	KindCompletion Kind = "completion"
	// KindCall requests go to a plain service.
	KindCall Kind = "call"

	maxLine      = 1 << 20
	bytesPerWord = 5
	wordsText    = " book"
)

// ErrInvalidTrace marks a trace or outcome that can't be used.
var ErrInvalidTrace = errors.New("bad trace")

type (
	// Kind is the kind of a request.
	Kind string

	// Request is one line of a trace.
	Request struct {
		ID        string `json:"id"`
		AtMS      int64  `json:"atMs"` // after the start of the trace
		Kind      Kind   `json:"kind"`
		Host      int    `json:"host"` // entry host by number; counted round the hosts that there are
		Workspace string `json:"workspace"`
		Service   string `json:"service"`

		// Of completions. The prompt is made of the shared text, which is the
		// same for all requests that name it, and of the request's own text.
		Model        string `json:"model,omitempty"`
		Shared       string `json:"shared,omitempty"`
		SharedTokens int    `json:"sharedTokens,omitempty"`
		OwnTokens    int    `json:"ownTokens,omitempty"`
		Tokens       int    `json:"tokens,omitempty"`

		// Of calls.
		Method string `json:"method,omitempty"`
		Path   string `json:"path,omitempty"`
		Key    string `json:"key,omitempty"`
		Body   string `json:"body,omitempty"`

		// CancelMS is when the caller goes, after the request; 0: it stays.
		CancelMS int64 `json:"cancelMs,omitempty"`
	}

	// Outcome is what must become of one request. Empty fields state nothing.
	Outcome struct {
		ID     string `json:"id"`
		Status int    `json:"status,omitempty"`
		Ran    string `json:"ran,omitempty"`
		Code   string `json:"code,omitempty"`
		Complete  bool   `json:"whole,omitempty"`  // the whole answer to its own prompt
		SameAs string `json:"sameAs,omitempty"` // the answer of another request
		Cancelled   bool   `json:"gone,omitempty"`   // its caller went
	}
)

// At returns when the request is sent, after the start of the trace.
func (r Request) At() time.Duration {
	return time.Duration(r.AtMS) * time.Millisecond
}

// CancelAfter returns when the caller goes, after the request; 0: it stays.
func (r Request) CancelAfter() time.Duration {
	return time.Duration(r.CancelMS) * time.Millisecond
}

// Prompt returns the text of a completion.
func (r Request) Prompt() string {
	return textOf(r.Shared, r.SharedTokens) + textOf(r.ID, r.OwnTokens)
}

func textOf(name string, tokens int) string {
	const bytesPerToken = 4
	if tokens == 0 {
		return ""
	}
	return name + strings.Repeat(wordsText, tokens*bytesPerToken/bytesPerWord)
}

// ReadRequests reads a trace, sorted by time. The error is ErrBadTrace and
// names the line.
func ReadRequests(in io.Reader) ([]Request, error) {
	requests, err := readLines[Request](in)
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i, r := range requests {
		if err := r.check(seen); err != nil {
			return nil, fmt.Errorf("%w: line %d: %w", ErrInvalidTrace, i+1, err)
		}
		seen[r.ID] = true
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return requests, nil
}

// ReadOutcomes reads stated outcomes of the requests of a trace. The error is
// ErrBadTrace and names the line.
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

// Write writes requests or outcomes, one a line.
func Write[T Request | Outcome](out io.Writer, items []T) error {
	encoder := json.NewEncoder(out)
	for _, item := range items {
		if err := encoder.Encode(item); err != nil {
			return err
		}
	}
	return nil
}

func (r Request) check(seen map[string]bool) error {
	switch {
	case r.ID == "" || seen[r.ID]:
		return fmt.Errorf("id %q is missing or used before", r.ID)
	case r.AtMS < 0 || r.Host < 0 || r.CancelMS < 0:
		return errors.New("times and hosts are not below 0")
	case r.Kind == KindCompletion && (r.Tokens < 1 || r.OwnTokens < 1 || r.Model == ""):
		return errors.New("a completion has a model, tokens and ownTokens")
	case r.Kind == KindCall && (r.Method == "" || !strings.HasPrefix(r.Path, "/")):
		return errors.New("a call has a method and a path")
	case r.Kind != KindCompletion && r.Kind != KindCall:
		return fmt.Errorf("unknown kind %q", r.Kind)
	}
	return nil
}

func readLines[T any](in io.Reader) ([]T, error) {
	var items []T
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
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
