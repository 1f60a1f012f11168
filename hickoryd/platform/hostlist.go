package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

const backendServiceName = "backend"

type (
	// HostList reads the platform's list of backend servers. The list lags.
	HostList struct {
		client *Client
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

// Servers returns the listed backend servers. Entries that can't be used are
// left out and named in the second value.
func (h *HostList) Servers(ctx context.Context) ([]backend.Server, []string, error) {
	ctx, cancel := context.WithTimeout(ctx, h.client.timeout)
	defer cancel()
	data, err := h.client.call(ctx, "list", http.MethodGet, "/v1/catalog/service/"+backendServiceName, nil, nil)
	if err != nil {
		return nil, nil, err
	}
	var entries []catalogEntry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, nil, fmt.Errorf("%w: host list: %w", ErrUnavailable, err)
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
