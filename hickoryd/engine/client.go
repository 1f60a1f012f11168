package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	gojson "github.com/goccy/go-json" // decodes a token event five times as fast as encoding/json

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/tokenstream"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/http1"
)

const (
	// maxReadingBytes bounds a reading of an engine's state, such as a list of its cached blocks.
	maxReadingBytes = 16 << 20
	// maxReplyBytes bounds all other replies, and maxHeadBytes the head of each.
	maxReplyBytes = 64 << 10
	maxHeadBytes  = 64 << 10
	maxLineBytes  = 1 << 20
	dialTimeout   = time.Second
	dataPrefix    = "data: "
)

var (
	// ErrFull means that the engine has no free slot or memory for the request.
	ErrFull = errors.New("engine is full")
	// ErrLeaving means that the engine is leaving and accepts no new work.
	ErrLeaving = errors.New("engine is leaving")
	// ErrGone means that the KV cache or the request no longer exists.
	ErrGone = errors.New("not held by the engine any more")
	// ErrTransfer means that the KV cache could not be transferred.
	ErrTransfer = errors.New("KV transfer failed")
	// ErrFenced means that the engine has accepted an order with a newer fencing
	// token.
	ErrFenced = errors.New("order is older than the engine's newest")
	// ErrInvalid means that the engine refused the request and a retry is useless.
	ErrInvalid = errors.New("engine refused the request")
	// ErrBusy means that the weight store has no bandwidth left.
	ErrBusy = errors.New("weight store is busy")
	// ErrNotSent means that no byte of the request reached the engine.
	ErrNotSent = errors.New("engine not reached")
	// ErrBroken means that the connection failed, or that the response could not be
	// understood, after bytes of the request may have reached the engine.
	ErrBroken = errors.New("connection to the engine broke")
)

type (
	// Client sends requests to all engines. It is safe for concurrent use.
	//
	// Replies name no request, so a reply that a faulty engine sends twice would be taken for
	// that to the next call on its connection. A call that changes something therefore has a
	// connection of its own; only readings of an engine's state share connections.
	Client struct {
		readings *http.Client
		changes  *http.Client
	}

	// Stream is one token stream. Every stream has a connection of its own, so that
	// a connection that has gone silent is never reused.
	Stream struct {
		response *http.Response
		lines    *bufio.Reader
		partial  []byte // the start of a line that is longer than the buffer
		cancel   context.CancelFunc
	}
)

// New returns a client.
func New() *Client {
	return &Client{readings: &http.Client{Transport: newTransport(false)}, changes: &http.Client{Transport: newTransport(true)}}
}

// Prefill computes the KV cache of a prompt.
func (c *Client) Prefill(ctx context.Context, server backend.Server, request PrefillRequest) (PrefillReply, error) {
	var reply PrefillReply
	err := c.post(ctx, server.Address, PathPrefill, request, &reply)
	return reply, err
}

// Decode starts a token stream.
func (c *Client) Decode(ctx context.Context, server backend.Server, request DecodeRequest) (*Stream, error) {
	return c.stream(ctx, server.Address, PathDecode, request)
}

// Resume continues the stream of a running request over a new connection.
func (c *Client) Resume(ctx context.Context, server backend.Server, request ResumeRequest) (*Stream, error) {
	return c.stream(ctx, server.Address, PathResume, request)
}

// Cancel ends a request. A nil error confirms that the engine no longer runs the
// request and holds no memory for it.
func (c *Client) Cancel(ctx context.Context, server backend.Server, requestID string) error {
	return c.post(ctx, server.Address, PathCancel, CancelRequest{RequestID: requestID}, nil)
}

// Requests lists the running requests of an engine.
func (c *Client) Requests(ctx context.Context, address netip.AddrPort) ([]RequestInfo, error) {
	var reply RequestsReply
	err := c.get(ctx, address, PathRequests, nil, &reply)
	return reply.Requests, err
}

// Load reads the load report of an engine.
func (c *Client) Load(ctx context.Context, server backend.Server) (backend.Load, error) {
	var reply LoadReply
	if err := c.get(ctx, server.Address, PathLoad, nil, &reply); err != nil {
		return backend.Load{}, err
	}
	return backend.Load{
		ServerID:       server.ID,
		Incarnation:    reply.Incarnation,
		ObservedAt:     reply.ObservedAt,
		SlotsUsed:      reply.SlotsUsed,
		SlotsTotal:     reply.SlotsTotal,
		PrefillBacklog: time.Duration(reply.PrefillBacklogMS) * time.Millisecond,
		PrefillRate:    reply.PrefillRate,
		Batch:          reply.Batch,
		TokenGap:       time.Duration(reply.TokenGapUS) * time.Microsecond,
		Leaving:        reply.Leaving,
	}, nil
}

// Uptime reads how long the current incarnation of an engine has been running.
func (c *Client) Uptime(ctx context.Context, server backend.Server) (time.Duration, error) {
	var reply LoadReply
	err := c.get(ctx, server.Address, PathLoad, nil, &reply)
	return time.Duration(reply.UptimeMS) * time.Millisecond, err
}

// CacheEvents reads the cache events whose sequence numbers are above after.
func (c *Client) CacheEvents(ctx context.Context, address netip.AddrPort, after uint64) (CacheEventsReply, error) {
	var reply CacheEventsReply
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	err := c.get(ctx, address, PathCacheEvents, query, &reply)
	return reply, err
}

// CacheSnapshot reads all cached blocks.
func (c *Client) CacheSnapshot(ctx context.Context, address netip.AddrPort) (CacheSnapshotReply, error) {
	var reply CacheSnapshotReply
	err := c.get(ctx, address, PathCacheSnapshot, nil, &reply)
	return reply, err
}

// Order sends an order: a fenced command to load a model or to change role.
func (c *Client) Order(ctx context.Context, address netip.AddrPort, order OrderRequest) error {
	return c.post(ctx, address, PathOrders, order, nil)
}

// State reads what an engine runs and the newest fencing token that it has
// accepted.
func (c *Client) State(ctx context.Context, address netip.AddrPort) (StateReply, error) {
	var reply StateReply
	err := c.get(ctx, address, PathState, nil, &reply)
	return reply, err
}

// Next returns the next token, or io.EOF when the stream has ended.
func (s *Stream) Next() (tokenstream.Token, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return tokenstream.Token{}, err
		}
		data, ok := bytes.CutPrefix(line, []byte(dataPrefix))
		if !ok {
			continue
		}
		var event TokenEvent
		if err := gojson.Unmarshal(data, &event); err != nil {
			return tokenstream.Token{}, fmt.Errorf("%w: token event: %w", ErrBroken, err)
		}
		return tokenstream.Token{Offset: event.Offset, Text: event.Text, Last: event.Last}, nil
	}
}

// Pending reports whether a complete line that is not empty is buffered. Next then
// does not block if the engine sends only events and ends lines with LF: a comment, or
// an empty line that ends with CRLF, counts as a line too, but Next skips it.
func (s *Stream) Pending() bool {
	buffered, _ := s.lines.Peek(s.lines.Buffered()) // can't fail for buffered bytes
	return bytes.IndexByte(bytes.TrimLeft(buffered, "\n"), '\n') >= 0
}

// readLine returns the next line without its line ending. The slice is valid until
// the next call.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	for errors.Is(err, bufio.ErrBufferFull) && len(s.partial)+len(line) <= maxLineBytes {
		s.partial = append(s.partial, line...)
		line, err = s.lines.ReadSlice('\n')
	}
	if len(s.partial) > 0 {
		line = append(s.partial, line...)
		s.partial = s.partial[:0]
	}
	switch {
	case errors.Is(err, io.EOF) && len(line) == 0:
		return nil, io.EOF
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// Close closes the connection and unblocks a concurrent call of Next.
func (s *Stream) Close() {
	s.cancel()
	s.response.Body.Close()
}

func (c *Client) stream(ctx context.Context, address netip.AddrPort, path string, body any) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	request, err := newRequest(ctx, http.MethodPost, address, path, nil, body)
	if err != nil {
		cancel()
		return nil, err
	}
	client := &http.Client{Transport: newTransport(true)}
	response, err := send(client, request)
	if err != nil {
		cancel()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, replyError(response)
	}
	return &Stream{response: response, lines: bufio.NewReader(response.Body), cancel: cancel}, nil
}

func (c *Client) post(ctx context.Context, address netip.AddrPort, path string, body, reply any) error {
	request, err := newRequest(ctx, http.MethodPost, address, path, nil, body)
	if err != nil {
		return err
	}
	return do(c.changes, request, maxReplyBytes, reply)
}

func (c *Client) get(ctx context.Context, address netip.AddrPort, path string, query url.Values, reply any) error {
	request, err := newRequest(ctx, http.MethodGet, address, path, query, nil)
	if err != nil {
		return err
	}
	return do(c.readings, request, maxReadingBytes, reply)
}

func do(client *http.Client, request *http.Request, limit int64, reply any) error {
	response, err := send(client, request)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return replyError(response)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return fmt.Errorf("%w: reply of %s: %w", ErrBroken, request.URL.Path, err)
	}
	return nil
}

func newRequest(ctx context.Context, method string, address netip.AddrPort, path string, query url.Values, body any) (*http.Request, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	target := url.URL{Scheme: "http", Host: address.String(), Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func newTransport(singleUse bool) http.RoundTripper {
	return http1.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
		DisableKeepAlives:   singleUse,

		MaxResponseHeaderBytes: maxHeadBytes,
	})
}

// send returns ErrNotSent only if no connection to the engine was ever available.
// The last error alone does not show this: http.Transport retries a request by
// itself when a keep-alive connection is closed during the request, so the last
// attempt can fail to connect although an earlier one was sent.
func send(client *http.Client, request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	switch {
	case err == nil:
		return response, nil
	case connected.Load():
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
}

// replyError returns the error for a response with a status other than 200.
func replyError(response *http.Response) error {
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	var reply ErrorReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return fmt.Errorf("%w: status %d", ErrBroken, response.StatusCode)
	}
	if sentinel := errorOf(reply.Code); sentinel != nil {
		return fmt.Errorf("%w: %s", sentinel, reply.Message)
	}
	return fmt.Errorf("%w: status %d: %s", ErrBroken, response.StatusCode, strings.TrimSpace(reply.Message))
}

// errorOf returns the error for a code of the engine, or nil for an unknown code.
func errorOf(code string) error {
	switch code {
	case CodeFull:
		return ErrFull
	case CodeLeaving:
		return ErrLeaving
	case CodeGone:
		return ErrGone
	case CodeTransfer:
		return ErrTransfer
	case CodeFenced:
		return ErrFenced
	case CodeInvalid:
		return ErrInvalid
	case CodeBusy:
		return ErrBusy
	}
	return nil
}
