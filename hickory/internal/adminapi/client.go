// Package adminapi speaks to the daemons' administration API.
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
	"time"

	"github.com/hickoryfront/hickoryfront/core/burn"
)

const (
	requestTimeout = 15 * time.Second
	maxReplyBytes  = 64 << 20
)

var (
	// ErrConflict means that another operator changed the entry first.
	ErrConflict = errors.New("conflict")
	// ErrNotFound means that the entry does not exist.
	ErrNotFound = errors.New("not found")
	// ErrRefused means that the daemon refused the request.
	ErrRefused = errors.New("refused")
	// ErrUnreachable means that the daemon did not answer.
	ErrUnreachable = errors.New("daemon unreachable")
)

type (
	// Entry is one configuration entry.
	Entry struct {
		Kind     string `json:"kind"`
		Name     string `json:"name"`
		Text     string `json:"text"`
		Revision uint64 `json:"revision"`
	}

	// Edit replaces or deletes one entry.
	Edit struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
		Text string `json:"text,omitempty"`
		Base uint64 `json:"base"`
	}

	// Host is one host of the system.
	Host struct {
		Name           string `json:"name"`
		FailureDomain  string `json:"failureDomain"`
		ConfigRevision uint64 `json:"configRevision"`
		Draining       bool   `json:"draining"`
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

	// Status is what one daemon knows.
	Status struct {
		Host           string   `json:"host"`
		ConfigRevision uint64   `json:"configRevision"`
		Hosts          []Host   `json:"hosts"`
		Servers        []Server `json:"servers"`
	}

	// Client speaks to one daemon.
	Client struct {
		base  string
		token string
		http  *http.Client
	}

	errorReply struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}

	changeRequest struct {
		Author string `json:"author"`
		Edits  []Edit `json:"edits"`
	}

	changeReply struct {
		Revision uint64 `json:"revision"`
	}
)

// New returns a client of the daemon at base. caFile names the authority that
// signed its certificate; empty means the system's.
func New(base, token, caFile string) (*Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if caFile != "" {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, err
		}
		authorities := x509.NewCertPool()
		if !authorities.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s holds no certificate", caFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12}
	}
	return &Client{base: base, token: token, http: &http.Client{Transport: transport, Timeout: requestTimeout}}, nil
}

// Entries lists the entries of a kind; "" lists all.
func (c *Client) Entries(ctx context.Context, kind string) ([]Entry, error) {
	var entries []Entry
	err := c.do(ctx, http.MethodGet, "/admin/v1/entries?kind="+url.QueryEscape(kind), nil, &entries)
	return entries, err
}

// Entry returns one entry. ErrNotFound means that it does not exist.
func (c *Client) Entry(ctx context.Context, kind, name string) (Entry, error) {
	var entry Entry
	err := c.do(ctx, http.MethodGet, "/admin/v1/entries/"+url.PathEscape(kind)+"/"+url.PathEscape(name), nil, &entry)
	return entry, err
}

// Change applies edits together and returns the new revision.
func (c *Client) Change(ctx context.Context, author string, edits ...Edit) (uint64, error) {
	var reply changeReply
	err := c.do(ctx, http.MethodPost, "/admin/v1/changes", changeRequest{Author: author, Edits: edits}, &reply)
	return reply.Revision, err
}

// Status returns what the daemon knows.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.do(ctx, http.MethodGet, "/admin/v1/status", nil, &status)
	return status, err
}

// BurnReport returns the burn of all services over all hosts.
func (c *Client) BurnReport(ctx context.Context) (burn.Report, error) {
	var report burn.Report
	err := c.do(ctx, http.MethodGet, "/admin/v1/report/burn", nil, &report)
	return report, err
}

func (c *Client) do(ctx context.Context, method, path string, body, reply any) error {
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
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		return statusError(response.StatusCode, answer)
	}
	return json.Unmarshal(answer, reply)
}

func statusError(status int, data []byte) error {
	var reply errorReply
	if json.Unmarshal(data, &reply) != nil {
		reply.Message = fmt.Sprintf("status %d", status)
	}
	switch status {
	case http.StatusConflict:
		return fmt.Errorf("%w: %s", ErrConflict, reply.Message)
	case http.StatusNotFound:
		return fmt.Errorf("%w: %s", ErrNotFound, reply.Message)
	}
	return fmt.Errorf("%w: %s", ErrRefused, reply.Message)
}
