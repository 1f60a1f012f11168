// Package consul is the client of a platform that serves its key-value store and
// its server list through a subset of the published Consul HTTP API. The protocol
// of the users' own platform is in the module platform.
package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/http1"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/idletimeout"
)

const (
	maxValueBytes = 1 << 20
	maxReplyBytes = 64 << 20
	maxHeadBytes  = 64 << 10
	indexHeader   = "X-Consul-Index"
	// maxCallTime limits an entire call, without the wait of a blocking query. A call
	// that makes no progress is canceled much earlier.
	maxCallTime = 30 * time.Second
)

var (
	// ErrUnavailable means that the platform did not respond, or not with a valid
	// response. A write may have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrTooLarge means that a value exceeds the platform's limit.
	ErrTooLarge = errors.New("value is larger than the platform allows")
	// ErrLeaseExpired means that the lease has expired or was revoked.
	ErrLeaseExpired = errors.New("lease expired or revoked")
)

type (
	// Client sends requests to the key-value service over its own connection pool.
	Client struct {
		baseURL string
		http    *http.Client
		calls   map[string]*metrics.Counter // by class of call
		errors  *metrics.Counter
	}

	// Value is one stored value. Index is the platform's index of the last change
	// of the key; 0 means that the key does not exist.
	Value struct {
		Key   string
		Data  []byte
		Index uint64
		Lease string // lease that holds the key, if any
	}

	// pair is a stored value in the Consul HTTP API.
	pair struct {
		Key         string
		Value       []byte
		ModifyIndex uint64
		Session     string
	}

	// sessionRequest creates a session, which is Consul's name for a lease.
	sessionRequest struct {
		Name      string
		TTL       string
		Behavior  string
		LockDelay string
	}

	sessionReply struct {
		ID string
	}
)

// New returns a client for the service at address. It cancels a call that makes no progress
// for timeout.
func New(address netip.AddrPort, timeout time.Duration, set *metrics.Set) *Client {
	calls := map[string]*metrics.Counter{}
	for _, class := range []string{"get", "list", "watch", "put", "delete", "lease"} {
		calls[class] = set.NewCounter(fmt.Sprintf(`hickoryfront_platform_calls_total{class=%q}`, class))
	}
	transport := http1.NewTransport(&http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes})
	return &Client{
		baseURL: "http://" + address.String(),
		http:    &http.Client{Transport: idletimeout.NewTransport(transport, timeout)},
		calls:   calls,
		errors:  set.NewCounter(`hickoryfront_platform_errors_total`),
	}
}

// Get reads one key. For a missing key it returns a Value with Index 0.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	v, _, err := c.read(ctx, "get", key, nil)
	return v, err
}

// Watch waits until the key changes after index, or until wait has passed. Watch
// returns the value and the index for the next call.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, uint64, error) {
	ctx, cancel := withWait(ctx, wait+wait/16)
	defer cancel()
	query := url.Values{}
	query.Set("index", strconv.FormatUint(index, 10))
	query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10)+"ms")
	return c.read(ctx, "watch", key, query)
}

// List reads all keys under a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Value, error) {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	pairs, _, err := c.fetch(ctx, "list", prefix, url.Values{"recurse": {"true"}})
	if err != nil {
		return nil, err
	}
	values := make([]Value, 0, len(pairs))
	for _, p := range pairs {
		values = append(values, p.value())
	}
	return values, nil
}

// CompareAndSwap writes data if the key's index is still index; index 0 means that
// the key must not exist. CompareAndSwap returns false if another write came
// first. After ErrUnavailable the write may have taken effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error) {
	return c.write(ctx, key, data, url.Values{"cas": {strconv.FormatUint(index, 10)}})
}

// Acquire writes data and attaches the key to a lease. Acquire returns false if
// another lease holds the key.
func (c *Client) Acquire(ctx context.Context, key string, data []byte, lease string) (bool, error) {
	return c.write(ctx, key, data, url.Values{"acquire": {lease}})
}

// Delete removes a key.
func (c *Client) Delete(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	_, err := c.call(ctx, "delete", http.MethodDelete, "/v1/kv/"+escape(key), nil, nil)
	return err
}

// GrantLease creates a lease that expires ttl after its last renewal. The platform
// then deletes the keys that the lease holds.
func (c *Client) GrantLease(ctx context.Context, name string, ttl time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	body, err := json.Marshal(sessionRequest{Name: name, TTL: ttl.String(), Behavior: "delete", LockDelay: "0s"})
	if err != nil {
		return "", err
	}
	data, err := c.call(ctx, "lease", http.MethodPut, "/v1/session/create", nil, body)
	if err != nil {
		return "", err
	}
	var reply sessionReply
	if err := json.Unmarshal(data, &reply); err != nil || reply.ID == "" {
		return "", fmt.Errorf("%w: invalid lease response %q", ErrUnavailable, data)
	}
	return reply.ID, nil
}

// KeepLease renews a lease. It returns ErrLeaseExpired if the lease has expired or
// was revoked.
func (c *Client) KeepLease(ctx context.Context, lease string) error {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	_, err := c.call(ctx, "lease", http.MethodPut, "/v1/session/renew/"+lease, nil, nil)
	if errors.Is(err, errNotFound) {
		return ErrLeaseExpired
	}
	return err
}

// RevokeLease ends a lease. The platform deletes the keys that the lease holds.
func (c *Client) RevokeLease(ctx context.Context, lease string) error {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	_, err := c.call(ctx, "lease", http.MethodPut, "/v1/session/destroy/"+lease, nil, nil)
	return err
}

var errNotFound = errors.New("not found")

// withWait returns the context of a blocking query, which the platform may hold for wait.
func withWait(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, wait+maxCallTime)
	return idletimeout.WithWait(ctx, wait, nil), cancel
}

func (c *Client) read(ctx context.Context, class, key string, query url.Values) (Value, uint64, error) {
	pairs, index, err := c.fetch(ctx, class, key, query)
	if err != nil || len(pairs) == 0 {
		return Value{Key: key}, index, err
	}
	return pairs[0].value(), index, nil
}

// fetch reads the pairs of a key or prefix and the index of the response. A
// missing key gives no pairs and no error.
func (c *Client) fetch(ctx context.Context, class, key string, query url.Values) ([]pair, uint64, error) {
	c.calls[class].Inc()
	request, err := c.request(ctx, http.MethodGet, "/v1/kv/"+escape(key), query, nil)
	if err != nil {
		return nil, 0, err
	}
	response, data, err := c.roundTrip(request)
	if err != nil {
		return nil, 0, err
	}
	index, _ := strconv.ParseUint(response.Header.Get(indexHeader), 10, 64)
	if response.StatusCode == http.StatusNotFound {
		return nil, index, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, 0, c.statusError(response, data)
	}
	var pairs []pair
	if err := json.Unmarshal(data, &pairs); err != nil {
		return nil, 0, fmt.Errorf("%w: reply for %s: %w", ErrUnavailable, key, err)
	}
	return pairs, index, nil
}

func (c *Client) write(ctx context.Context, key string, data []byte, query url.Values) (bool, error) {
	if len(data) > maxValueBytes {
		return false, fmt.Errorf("%w: %s has %d bytes", ErrTooLarge, key, len(data))
	}
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	reply, err := c.call(ctx, "put", http.MethodPut, "/v1/kv/"+escape(key), query, data)
	if err != nil {
		return false, err
	}
	switch text := strings.TrimSpace(string(reply)); text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default: // a part of a reply without a length
		return false, fmt.Errorf("%w: invalid reply %.40q to the write of %s", ErrUnavailable, text, key)
	}
}

// call sends a request and returns the body of a successful response. It counts
// the request under class.
func (c *Client) call(ctx context.Context, class, method, path string, query url.Values, body []byte) ([]byte, error) {
	c.calls[class].Inc()
	request, err := c.request(ctx, method, path, query, body)
	if err != nil {
		return nil, err
	}
	response, data, err := c.roundTrip(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusNotFound {
		return nil, errNotFound
	}
	if response.StatusCode != http.StatusOK {
		return nil, c.statusError(response, data)
	}
	return data, nil
}

func (c *Client) request(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Request, error) {
	target := c.baseURL + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	return http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
}

func (c *Client) roundTrip(request *http.Request) (*http.Response, []byte, error) {
	response, err := c.http.Do(request)
	if err != nil {
		c.errors.Inc()
		return nil, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		c.errors.Inc()
		return nil, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return response, data, nil
}

func (c *Client) statusError(response *http.Response, data []byte) error {
	c.errors.Inc()
	return fmt.Errorf("%w: status %d: %s", ErrUnavailable, response.StatusCode, bytes.TrimSpace(data))
}

func (p pair) value() Value {
	return Value{Key: p.Key, Data: p.Value, Index: p.ModifyIndex, Lease: p.Session}
}

// escape escapes a key for use in a URL path and keeps its slashes.
func escape(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}
