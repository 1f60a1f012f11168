// Package adminapi is a client of the daemons' administration API.
package adminapi

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hickoryfront/hickoryfront/core/burn"
)

const (
	requestTimeout   = 15 * time.Second
	maxResponseBytes = 64 << 20
)

const (
	codeNotFound    = "notFound"
	codeConflict    = "conflict"
	codeUnconfirmed = "unconfirmed"
	revisionHeader  = "X-Config-Revision"
)

var (
	// ErrConflict means that another operator changed the entry first.
	ErrConflict = errors.New("conflict")
	// ErrNotFound means that the entry does not exist.
	ErrNotFound = errors.New("not found")
	// ErrRefused means that the daemon refused the request.
	ErrRefused = errors.New("refused")
	// ErrUnreachable means that the daemon did not respond.
	ErrUnreachable = errors.New("daemon unreachable")
	// ErrUnconfirmed means that it is unknown whether a change took effect.
	ErrUnconfirmed = errors.New("unconfirmed")
)

type (
	// Entry is one configuration entry.
	Entry struct {
		Kind     string `json:"kind"`
		Name     string `json:"name"`
		Text     string `json:"text"`
		Revision uint64 `json:"revision"`
	}

	// Edit replaces one entry, or deletes it when Text is empty. Base is the revision of
	// the entry that the edit is based on; 0: the entry does not exist yet.
	Edit struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
		Text string `json:"text,omitempty"`
		Base uint64 `json:"base"`
	}

	// Host is one host of the system.
	Host struct {
		Name            string `json:"name"`
		FailureDomain   string `json:"failureDomain"`
		ConfigRevision  uint64 `json:"configRevision"`
		Draining        bool   `json:"draining"`
		OperatorAddress string `json:"operatorAddress"`
	}

	// ChangeRequest requests a change of several entries at once. WriteID
	// identifies the change; a retry carries the same one.
	ChangeRequest struct {
		Author  string `json:"author"`
		Edits   []Edit `json:"edits"`
		WriteID string `json:"attempt"`
		Since   uint64 `json:"since"` // newest revision that the client knew before the first attempt
		DryRun  bool   `json:"dryRun,omitempty"`
	}

	// Change is one change in the configuration's history.
	Change struct {
		Revision uint64    `json:"revision"`
		Author   string    `json:"author"`
		At       time.Time `json:"at"`
		Edits    []Edit    `json:"edits"`
	}

	// Service is one service with the numbers of requests that one daemon has
	// answered and refused.
	Service struct {
		Name     string `json:"name"`
		Kind     string `json:"kind"`
		Model    string `json:"model,omitempty"`
		Profile  string `json:"profile"`
		Enabled  bool   `json:"enabled"`
		Legacy   string `json:"legacy,omitempty"`
		Answered uint64 `json:"answered"`
		Refused  uint64 `json:"refused"`
	}

	// Version is the build of a program. Commit is the source commit.
	Version struct {
		Version   string `json:"version"`
		GoVersion string `json:"goVersion"`
		Commit    string `json:"revision,omitempty"`
	}

	// Server is one backend server.
	Server struct {
		ID            string `json:"id"`
		Role          string `json:"role"`
		Model         string `json:"model,omitempty"`
		Service       string `json:"service,omitempty"`
		FailureDomain string `json:"failureDomain"`
		State         string `json:"state"`
		SlotsUsed     int    `json:"slotsUsed"`
		SlotsTotal    int    `json:"slotsTotal"`
	}

	// Status is one daemon's view of the system.
	Status struct {
		Host           string    `json:"host"`
		ConfigRevision uint64    `json:"configRevision"`
		Hosts          []Host    `json:"hosts"`
		Services       []Service `json:"services"`
		Servers        []Server  `json:"servers"`
	}

	// Client is a client of one daemon.
	Client struct {
		base         string
		token        string
		http         *http.Client
		lastRevision atomic.Uint64
	}

	errorResponse struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}

	changeResponse struct {
		Revision uint64 `json:"revision"`
	}
)

// New returns a client of the daemon at the URL base. caFile is a PEM file with the
// authorities that may sign the daemon's certificate; if it is empty, the system's
// authorities are used.
func New(base, token, caFile string) (*Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if caFile != "" {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, err
		}
		authorities := x509.NewCertPool()
		if !authorities.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s contains no PEM certificate", caFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12}
	}
	return &Client{base: base, token: token, http: &http.Client{Transport: transport, Timeout: requestTimeout}}, nil
}

// Entries lists the entries of a kind, or all entries if kind is empty.
func (c *Client) Entries(ctx context.Context, kind string) ([]Entry, error) {
	var entries []Entry
	err := c.do(ctx, http.MethodGet, "/admin/v1/entries?kind="+url.QueryEscape(kind), nil, &entries)
	return entries, err
}

// Entry returns one entry, or ErrNotFound if the entry does not exist.
func (c *Client) Entry(ctx context.Context, kind, name string) (Entry, error) {
	var entry Entry
	err := c.do(ctx, http.MethodGet, "/admin/v1/entries/"+url.PathEscape(kind)+"/"+url.PathEscape(name), nil, &entry)
	return entry, err
}

// Change applies a change and returns its revision. ErrConflict means that another
// operator changed an entry first. After ErrUnconfirmed or ErrUnreachable the change
// may have taken effect: retry with the same request.
func (c *Client) Change(ctx context.Context, request ChangeRequest) (uint64, error) {
	var response changeResponse
	err := c.do(ctx, http.MethodPost, "/admin/v1/changes", request, &response)
	return response.Revision, err
}

// Check checks edits without applying them, and returns the revision that they were
// checked against.
func (c *Client) Check(ctx context.Context, edits ...Edit) (uint64, error) {
	var response changeResponse
	err := c.do(ctx, http.MethodPost, "/admin/v1/checks", ChangeRequest{Edits: edits}, &response)
	return response.Revision, err
}

// History returns the changes of an entry, newest first. An empty kind or name matches
// every entry.
func (c *Client) History(ctx context.Context, kind, name string, limit int) ([]Change, error) {
	var changes []Change
	query := url.Values{"kind": {kind}, "name": {name}, "limit": {strconv.Itoa(limit)}}
	err := c.do(ctx, http.MethodGet, "/admin/v1/history?"+query.Encode(), nil, &changes)
	return changes, err
}

// Version returns the daemon's build.
func (c *Client) Version(ctx context.Context) (Version, error) {
	var version Version
	err := c.do(ctx, http.MethodGet, "/admin/v1/version", nil, &version)
	return version, err
}

// LastRevision returns the newest configuration revision in the responses so far.
func (c *Client) LastRevision() uint64 {
	return c.lastRevision.Load()
}

// WithAddress returns a client of another daemon's operator address.
func (c *Client) WithAddress(address string) *Client {
	scheme, _, _ := strings.Cut(c.base, "://")
	return &Client{base: scheme + "://" + address, token: c.token, http: c.http}
}

// Status returns the daemon's view of the system.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.do(ctx, http.MethodGet, "/admin/v1/status", nil, &status)
	return status, err
}

// BurnReport returns the burn rates of all services over all hosts.
func (c *Client) BurnReport(ctx context.Context) (burn.Report, error) {
	var report burn.Report
	err := c.do(ctx, http.MethodGet, "/admin/v1/report/burn", nil, &report)
	return report, err
}

// do sends a request with a JSON body and decodes the JSON response into result.
func (c *Client) do(ctx context.Context, method, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if revision, err := strconv.ParseUint(response.Header.Get(revisionHeader), 10, 64); err == nil {
		c.lastRevision.Store(max(c.lastRevision.Load(), revision))
	}
	if response.StatusCode != http.StatusOK {
		return statusError(response.StatusCode, content)
	}
	return json.Unmarshal(content, result)
}

// statusError returns the error for a response whose status is not 200.
func statusError(status int, data []byte) error {
	var response errorResponse
	if json.Unmarshal(data, &response) != nil {
		response.Message = fmt.Sprintf("status %d", status)
	}
	switch response.Code {
	case codeConflict:
		return fmt.Errorf("%w: %s", ErrConflict, response.Message)
	case codeNotFound:
		return fmt.Errorf("%w: %s", ErrNotFound, response.Message)
	case codeUnconfirmed:
		return fmt.Errorf("%w: %s", ErrUnconfirmed, response.Message)
	}
	return fmt.Errorf("%w: %s", ErrRefused, response.Message)
}
