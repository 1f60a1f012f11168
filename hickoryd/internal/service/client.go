// Package service is the HTTP client of the plain services: backend servers that
// are not model engines.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/http1"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/tcp"
)

const (
	maxResponseBytes = 16 << 20
	maxHeadBytes     = 64 << 10
	dialTimeout      = time.Second
	// endCheckTimeout limits the check of a server whose response has ended with its connection.
	endCheckTimeout = 150 * time.Millisecond
	// RequestIDHeader carries the router's request id to the server.
	RequestIDHeader = "X-Request-Id"
)

var (
	// ErrNotSent means that no byte of the call reached the server.
	ErrNotSent = errors.New("server not reached")
	// ErrBroken means that no complete response arrived after bytes of the call may
	// have reached the server.
	ErrBroken = errors.New("connection broke after the call was sent")

	// errServerEnded means that a server has ended together with a response that only the end of
	// its connection ends, so that the response may lack its end.
	errServerEnded = errors.New("the server has ended with its response")

	// unforwardedHeaders are the hop-by-hop headers, which apply to one connection only,
	// and Content-Length and Date, which apply to one message only.
	unforwardedHeaders = []string{
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

// New returns a client that opens a new connection for each call, so that a call is
// never written to a connection that the server has already closed.
func New() *Client {
	return &Client{http: &http.Client{
		Transport: http1.NewTransport(&http.Transport{
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives: true,

			MaxResponseHeaderBytes: maxHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends a call once, without retries. Its errors wrap ErrNotSent or ErrBroken.
func (c *Client) Do(ctx context.Context, server backend.Server, call Call) (claim.Response, error) {
	target := url.URL{Scheme: "http", Host: server.Address.String(), Path: call.Path, RawQuery: call.RawQuery}
	return c.DoURL(ctx, target.String(), call)
}

// DoURL is like Do for a target URL, such as the address of the legacy scripts.
func (c *Client) DoURL(ctx context.Context, target string, call Call) (claim.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return claim.Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	copyHeaders(request.Header, call.Header)
	request.Header.Set(RequestIDHeader, call.RequestID)
	var server net.Addr
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { server = info.Conn.RemoteAddr() }}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return claim.Response{}, sendError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return claim.Response{}, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if len(body) > maxResponseBytes {
		return claim.Response{}, fmt.Errorf("%w: answer is over %d bytes", ErrBroken, maxResponseBytes)
	}
	endsWithConnection := http1.EndsWithConnection(response) && !response.Uncompressed // gzip states its own end
	if endsWithConnection && hasEnded(ctx, server) {
		return claim.Response{}, fmt.Errorf("%w: %w", ErrBroken, errServerEnded)
	}
	return claim.Response{Status: response.StatusCode, Headers: headersOf(response.Header), Body: body}, nil
}

// hasEnded reports whether the process that listened at the address of a server has ended.
func hasEnded(ctx context.Context, server net.Addr) bool {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	return tcp.HasEnded(ctx, (&net.Dialer{}).DialContext, server.String())
}

// copyHeaders copies all headers except unforwardedHeaders.
func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(unforwardedHeaders, name) {
			to[name] = slices.Clone(values)
		}
	}
}

// headersOf converts all headers except unforwardedHeaders.
func headersOf(header http.Header) []claim.Header {
	var headers []claim.Header
	for name, values := range header {
		if slices.Contains(unforwardedHeaders, name) {
			continue
		}
		for _, value := range values {
			headers = append(headers, claim.Header{Name: name, Value: value})
		}
	}
	return headers
}

// sendError returns ErrNotSent if the connection could not be opened, and
// ErrBroken otherwise.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
