package consul

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
	// listWait bounds the wait for a change of the list, and with it the time for
	// which a silent connection can hide a leaving server.
	listWait = 3 * time.Second
	// noEntries is a filter that matches no entry.
	noEntries = `ServiceID == ""`
)

type (
	// ServerList reads the platform's list of backend servers, which lags behind. A
	// ServerList is not safe for concurrent use.
	ServerList struct {
		client *Client
		index  uint64 // of the list read last; 0 if none was read or the platform sent no index

		servers []backend.Server
		invalid []string // entries that can't be used, each with the reason
	}

	// catalogEntry is a list entry in the Consul HTTP API.
	catalogEntry struct {
		ServiceID      string
		ServiceAddress string
		ServicePort    uint16
		ServiceMeta    map[string]string
	}
)

// NewServerList returns a reader of the list at address.
func NewServerList(address netip.AddrPort, timeout time.Duration, set *metrics.Set) *ServerList {
	client := New(address, timeout, metrics.NewSet())
	client.calls["list"] = set.NewCounter(`hickoryfront_host_list_calls_total`)
	return &ServerList{client: client}
}

// Servers returns the listed backend servers. After the first read, Servers waits
// for a change of the list, for a bounded time, and reads the list again only if
// it has changed. Servers leaves out the entries that can't be used and returns
// them, with the reasons, as the second result.
func (l *ServerList) Servers(ctx context.Context) ([]backend.Server, []string, error) {
	changed, err := l.awaitChange(ctx)
	if err == nil && changed {
		err = l.read(ctx)
	}
	if err != nil {
		l.index = 0 // the next read does not wait
		return nil, nil, err
	}
	return slices.Clone(l.servers), l.invalid, nil
}

// awaitChange waits for a change since the last read and reports whether there was
// one. The filter keeps the entries out of the response.
func (l *ServerList) awaitChange(ctx context.Context) (bool, error) {
	if l.index == 0 {
		return true, nil
	}
	index, _, err := l.fetch(ctx, listWait, url.Values{
		"index": {strconv.FormatUint(l.index, 10)}, "wait": {listWait.String()}, "filter": {noEntries},
	})
	return index != l.index, err
}

func (l *ServerList) read(ctx context.Context) error {
	index, entries, err := l.fetch(ctx, 0, nil)
	if err != nil {
		return err
	}
	l.index, l.servers, l.invalid = index, make([]backend.Server, 0, len(entries)), nil
	for _, e := range entries {
		s, err := e.server()
		if err != nil {
			l.invalid = append(l.invalid, fmt.Sprintf("%s: %v", e.ServiceID, err))
			continue
		}
		l.servers = append(l.servers, s)
	}
	return nil
}

// fetch sends one list request, which the platform may hold for up to wait. The
// result is the index of the list and its entries.
func (l *ServerList) fetch(ctx context.Context, wait time.Duration, query url.Values) (uint64, []catalogEntry, error) {
	ctx, cancel := withWait(ctx, wait)
	defer cancel()
	l.client.calls["list"].Inc()
	request, err := l.client.request(ctx, http.MethodGet, "/v1/catalog/service/"+backendServiceName, query, nil)
	if err != nil {
		return 0, nil, err
	}
	response, data, err := l.client.roundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, nil, l.client.statusError(response, data)
	}
	var entries []catalogEntry
	if err := json.Unmarshal(data, &entries); err != nil {
		return 0, nil, fmt.Errorf("%w: decode server list: %w", ErrUnavailable, err)
	}
	index, _ := strconv.ParseUint(response.Header.Get(indexHeader), 10, 64)
	return index, entries, nil
}

// server converts the entry, or returns why it can't be used.
func (e catalogEntry) server() (backend.Server, error) {
	ip, err := netip.ParseAddr(e.ServiceAddress)
	if err != nil {
		return backend.Server{}, fmt.Errorf("address %q is not an IP address", e.ServiceAddress)
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
