// Package service speaks HTTP to the plain services beside the model engines.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/claim"
)

const (
	maxAnswerBytes = 16 << 20
	dialTimeout    = time.Second
	// RequestIDHeader carries the router's request id to the server.
	RequestIDHeader = "X-Request-Id"
)

var (
	// ErrNotSent means that no byte of the call reached the server.
	ErrNotSent = errors.New("server not reached")
	// ErrBroken means that the answer was lost after the call was sent.
	ErrBroken = errors.New("connection broke after the call was sent")

	// hopHeaders belong to one connection and are not passed on.
	hopHeaders = []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Date",
	}
)

type (
	// Call is one call of a plain service.
	Call struct {
		RequestID string
		Method    string
		Path      string
		RawQuery  string
		Header    http.Header
		Body      []byte
	}

	// Client sends calls to plain servers. It is safe for concurrent use.
	Client struct {
		http *http.Client
	}
)

// New returns a client. It opens a connection for each call, so that a call is
// never written to a connection that the server has forgotten.
func New() *Client {
	return &Client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends a call once. The errors are ErrNotSent and ErrBroken.
func (c *Client) Do(ctx context.Context, server backend.Server, call Call) (claim.Response, error) {
	target := url.URL{Scheme: "http", Host: server.Address.String(), Path: call.Path, RawQuery: call.RawQuery}
	return c.DoURL(ctx, target.String(), call)
}

// DoURL sends a call to a URL, such as that of the legacy scripts.
func (c *Client) DoURL(ctx context.Context, target string, call Call) (claim.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return claim.Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	copyHeaders(request.Header, call.Header)
	request.Header.Set(RequestIDHeader, call.RequestID)
	response, err := c.http.Do(request)
	if err != nil {
		return claim.Response{}, sendError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return claim.Response{}, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if len(body) > maxAnswerBytes {
		return claim.Response{}, fmt.Errorf("%w: answer is over %d bytes", ErrBroken, maxAnswerBytes)
	}
	return claim.Response{Status: response.StatusCode, Headers: headersOf(response.Header), Body: body}, nil
}

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopHeaders, name) {
			to[name] = slices.Clone(values)
		}
	}
}

func headersOf(header http.Header) []claim.Header {
	var headers []claim.Header
	for name, values := range header {
		if slices.Contains(hopHeaders, name) {
			continue
		}
		for _, value := range values {
			headers = append(headers, claim.Header{Name: name, Value: value})
		}
	}
	return headers
}

func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
