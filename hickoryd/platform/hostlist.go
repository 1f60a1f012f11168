package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

const (
	backendServiceName = "backend"
	// listWait bounds the wait for a change, and so the time in which a silent
	// connection hides a server that leaves.
	listWait = 3 * time.Second
)

type (
	// HostList reads the platform's list of backend servers. The list lags. One
	// goroutine may use it at a time.
	HostList struct {
		client *Client
		index  uint64 // of the list read last; 0: none, or the platform has none
	}

	catalogEntry struct {
		ServiceID      string
		ServiceAddress string
		ServicePort    uint16
		ServiceMeta    map[string]string
	}
)

// NewHostList returns a reader of the list at address.
func NewHostList(address netip.AddrPort, timeout time.Duration, set *metrics.Set) *HostList {
	client := New(address, timeout, metrics.NewSet())
	client.calls["list"] = set.NewCounter(`hickoryfront_host_list_calls_total`)
	return &HostList{client: client}
}

// Servers returns the listed backend servers. After the first read it waits for
// a change, for a bounded time. Entries that can't be used are left out and
// named in the second value.
func (h *HostList) Servers(ctx context.Context) ([]backend.Server, []string, error) {
	entries, err := h.read(ctx)
	if err != nil {
		h.index = 0 // the next read does not wait
		return nil, nil, err
	}
	servers := make([]backend.Server, 0, len(entries))
	var refused []string
	for _, e := range entries {
		s, err := e.server()
		if err != nil {
			refused = append(refused, fmt.Sprintf("%s: %v", e.ServiceID, err))
			continue
		}
		servers = append(servers, s)
	}
	return servers, refused, nil
}

func (h *HostList) read(ctx context.Context) ([]catalogEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, listWait+h.client.timeout)
	defer cancel()
	query := url.Values{}
	if h.index > 0 {
		query.Set("index", strconv.FormatUint(h.index, 10))
		query.Set("wait", listWait.String())
	}
	h.client.calls["list"].Inc()
	request, err := h.client.request(ctx, http.MethodGet, "/v1/catalog/service/"+backendServiceName, query, nil)
	if err != nil {
		return nil, err
	}
	response, data, err := h.client.roundTrip(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, h.client.statusError(response, data)
	}
	var entries []catalogEntry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, fmt.Errorf("%w: host list: %w", ErrUnavailable, err)
	}
	h.index, _ = strconv.ParseUint(response.Header.Get(indexHeader), 10, 64)
	return entries, nil
}

func (e catalogEntry) server() (backend.Server, error) {
	ip, err := netip.ParseAddr(e.ServiceAddress)
	if err != nil {
		return backend.Server{}, fmt.Errorf("address %q is not an IP number", e.ServiceAddress)
	}
	s := backend.Server{
		ID:            e.ServiceID,
		Address:       netip.AddrPortFrom(ip, e.ServicePort),
		Role:          backend.Role(e.ServiceMeta["role"]),
		Model:         e.ServiceMeta["model"],
		Service:       e.ServiceMeta["service"],
		FailureDomain: e.ServiceMeta["failureDomain"],
		State:         backend.State(e.ServiceMeta["state"]),
		Fencing:       backend.Fencing(e.ServiceMeta["fencing"]),
	}
	switch s.Role {
	case backend.RolePrefill, backend.RoleDecode, backend.RolePlain:
	default:
		return s, fmt.Errorf("unknown role %q", s.Role)
	}
	if s.State == "" {
		s.State = backend.StateLive
	}
	if text := e.ServiceMeta["slots"]; text != "" {
		s.Slots, err = strconv.Atoi(text)
		if err != nil {
			return s, fmt.Errorf("slots %q is not a number", text)
		}
	}
	return s, nil
}
