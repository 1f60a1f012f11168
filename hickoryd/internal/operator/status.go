package operator

import (
	"maps"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
)

type (
	// HostStatus is one live host.
	HostStatus struct {
		Name            string `json:"name"`
		FailureDomain   string `json:"failureDomain"`
		ConfigRevision  uint64 `json:"configRevision"`
		Draining        bool   `json:"draining"`
		OperatorAddress string `json:"operatorAddress"`
	}

	// ServerStatus is one backend server.
	ServerStatus struct {
		ID            string `json:"id"`
		Role          string `json:"role"`
		Model         string `json:"model,omitempty"`
		Service       string `json:"service,omitempty"`
		FailureDomain string `json:"failureDomain"`
		State         string `json:"state"`
		SlotsUsed     int    `json:"slotsUsed"`
		SlotsTotal    int    `json:"slotsTotal"`
	}

	// ServiceStatus is one service with the numbers of requests that this daemon has
	// answered and refused since it started.
	ServiceStatus struct {
		Name     string `json:"name"`
		Kind     string `json:"kind"`
		Model    string `json:"model,omitempty"`
		Profile  string `json:"profile"`
		Enabled  bool   `json:"enabled"`
		Legacy   string `json:"legacy,omitempty"` // address that serves the service while it is not enabled
		Answered uint64 `json:"answered"`
		Refused  uint64 `json:"refused"`
	}

	// Status is the state of the system as one daemon sees it.
	Status struct {
		Host           string          `json:"host"`
		ConfigRevision uint64          `json:"configRevision"`
		Hosts          []HostStatus    `json:"hosts"`
		Services       []ServiceStatus `json:"services"`
		Servers        []ServerStatus  `json:"servers"`
	}

	// VersionReply describes the build of the daemon.
	VersionReply struct {
		Version   string `json:"version"`
		GoVersion string `json:"goVersion"`
		Revision  string `json:"revision,omitempty"` // of the source code
	}
)

func (h *Handler) status(c *gin.Context) {
	document := h.config.Current()
	status := Status{Host: h.membership.Self().Name, ConfigRevision: document.Revision, Hosts: []HostStatus{}, Servers: []ServerStatus{}}
	status.Services = h.services(document)
	for _, s := range h.membership.Live(time.Now()) {
		status.Hosts = append(status.Hosts, HostStatus{
			Name: s.Host.Name, FailureDomain: s.Host.FailureDomain, ConfigRevision: s.ConfigRevision,
			Draining: s.Draining, OperatorAddress: s.Host.OperatorAddress.String(),
		})
	}
	loads := h.loads(document)
	for _, server := range h.directory.Servers() {
		load := loads[server.ID]
		status.Servers = append(status.Servers, ServerStatus{
			ID: server.ID, Role: string(server.Role), Model: server.Model, Service: server.Service,
			FailureDomain: server.FailureDomain, State: string(server.State),
			SlotsUsed: load.SlotsUsed, SlotsTotal: load.SlotsTotal,
		})
	}
	c.JSON(http.StatusOK, status)
}

func (h *Handler) services(document *config.Document) []ServiceStatus {
	services := []ServiceStatus{}
	for _, name := range slices.Sorted(maps.Keys(document.Services)) {
		s := document.Services[name]
		answered, refused := h.requests.Count(name)
		services = append(services, ServiceStatus{
			Name: name, Kind: string(s.Kind), Model: s.Model, Profile: s.Profile, Enabled: s.Enabled,
			Legacy: document.Profiles[s.Profile].LegacyAddress, Answered: answered, Refused: refused,
		})
	}
	return services
}

// loads returns the loads of the candidates of all model services, by server ID.
func (h *Handler) loads(document *config.Document) map[string]backend.Load {
	loads := map[string]backend.Load{}
	for _, s := range document.Services {
		for _, candidate := range h.directory.Candidates(s.Model) {
			loads[candidate.Server.ID] = candidate.Load
		}
	}
	return loads
}

func (h *Handler) version(c *gin.Context) {
	c.JSON(http.StatusOK, Version())
}

// Version describes the build of this program.
func Version() VersionReply {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return VersionReply{Version: "unknown"}
	}
	reply := VersionReply{Version: info.Main.Version, GoVersion: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			reply.Revision = s.Value
		}
	}
	return reply
}
