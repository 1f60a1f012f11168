package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
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
	// noEntries is a filter that no entry passes.
	noEntries = `ServiceID == ""`
)

type (
	// HostList reads the platform's list of backend servers. The list lags. One
	// goroutine may use it at a time.
	HostList struct {
		client *Client
		index  uint64 // of the list read last; 0: none, or the platform has none

		servers []backend.Server
		refused []string // entries that can't be used
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
// a change, for a bounded time, and reads the list again only when it changed.
// Entries that can't be used are left out and named in the second value.
func (h *HostList) Servers(ctx context.Context) ([]backend.Server, []string, error) {
	changed, err := h.awaitChange(ctx)
	if err == nil && changed {
		err = h.read(ctx)
	}
	if err != nil {
		h.index = 0 // the next read does not wait
		return nil, nil, err
	}
	return slices.Clone(h.servers), h.refused, nil
}

// awaitChange waits until the list is another than the one read last. The
// filter keeps the entries out of the answer.
func (h *HostList) awaitChange(ctx context.Context) (bool, error) {
	if h.index == 0 {
		return true, nil
	}
	index, _, err := h.fetch(ctx, listWait, url.Values{
		"index": {strconv.FormatUint(h.index, 10)}, "wait": {listWait.String()}, "filter": {noEntries},
	})
	return index != h.index, err
}

func (h *HostList) read(ctx context.Context) error {
	index, entries, err := h.fetch(ctx, 0, nil)
	if err != nil {
		return err
	}
	h.index, h.servers, h.refused = index, make([]backend.Server, 0, len(entries)), nil
	for _, e := range entries {
		s, err := e.server()
		if err != nil {
			h.refused = append(h.refused, fmt.Sprintf("%s: %v", e.ServiceID, err))
			continue
		}
		h.servers = append(h.servers, s)
	}
	return nil
}

func (h *HostList) fetch(ctx context.Context, wait time.Duration, query url.Values) (uint64, []catalogEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+h.client.timeout)
	defer cancel()
	h.client.calls["list"].Inc()
	request, err := h.client.request(ctx, http.MethodGet, "/v1/catalog/service/"+backendServiceName, query, nil)
	if err != nil {
		return 0, nil, err
	}
	response, data, err := h.client.roundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, nil, h.client.statusError(response, data)
	}
	var entries []catalogEntry
	if err := json.Unmarshal(data, &entries); err != nil {
		return 0, nil, fmt.Errorf("%w: host list: %w", ErrUnavailable, err)
	}
	index, _ := strconv.ParseUint(response.Header.Get(indexHeader), 10, 64)
	return index, entries, nil
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
