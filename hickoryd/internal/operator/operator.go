// Package operator serves the operators over HTTP: the administration API,
// health checks and metrics.
package operator

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/burn"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/placement"
)

const maxBodyBytes = 1 << 20

type (
	// Config is the configuration in force and the way to change it.
	Config interface {
		Current() *config.Document
		Commit(ctx context.Context, change config.Change) (uint64, error)
	}

	// Membership is the view of the fleet.
	Membership interface {
		Self() member.Host
		Live(now time.Time) []member.State
	}

	// Directory is the view of the backend servers.
	Directory interface {
		Servers() []backend.Server
		Candidates(model string) []placement.Candidate
	}

	// Readiness says why the daemon is not ready, or nothing.
	Readiness interface {
		NotReady(now time.Time) string
	}

	// Reports merges what the hosts have counted.
	Reports interface {
		Burn(ctx context.Context, now time.Time) burn.Report
	}

	// Handler serves operators. It is safe for concurrent use.
	Handler struct {
		token      string
		config     Config
		membership Membership
		directory  Directory
		readiness  Readiness
		reports    Reports
		set        *metrics.Set
	}

	// Entry is one configuration entry.
	Entry struct {
		Kind     string `json:"kind"`
		Name     string `json:"name"`
		Text     string `json:"text"`
		Revision uint64 `json:"revision"`
	}

	// ChangeRequest asks for a change of several entries at once.
	ChangeRequest struct {
		Author string        `json:"author"`
		Edits  []config.Edit `json:"edits"`
	}

	// ChangeReply tells the revision at which a change is in force.
	ChangeReply struct {
		Revision uint64 `json:"revision"`
	}

	// HostStatus is one host of the system.
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

	// Status is what one daemon knows.
	Status struct {
		Host           string         `json:"host"`
		ConfigRevision uint64         `json:"configRevision"`
		Hosts          []HostStatus   `json:"hosts"`
		Servers        []ServerStatus `json:"servers"`
	}

	// ErrorReply is the body of every error.
	ErrorReply struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
)

// New returns a handler that accepts the bearer token.
func New(token string, configuration Config, membership Membership, directory Directory, readiness Readiness, reports Reports, set *metrics.Set) *Handler {
	return &Handler{
		token: token, config: configuration, membership: membership, directory: directory, readiness: readiness, reports: reports, set: set,
	}
}

// Routes adds the operators' paths to the engine.
func (h *Handler) Routes(engine *gin.Engine) {
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", h.ready)
	engine.GET("/metrics", h.writeMetrics)
	api := engine.Group("/admin/v1", h.authenticate)
	api.GET("/entries", h.listEntries)
	api.GET("/entries/:kind/:name", h.getEntry)
	api.POST("/changes", h.change)
	api.GET("/status", h.status)
	api.GET("/report/burn", h.reportBurn)
	api.GET("/debug/pprof/:name", h.profile)
}

func (h *Handler) authenticate(c *gin.Context) {
	given := strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(given), []byte(h.token)) != 1 {
		abort(c, http.StatusUnauthorized, "unauthorized", "the operators' token is missing or wrong")
	}
}

func (h *Handler) ready(c *gin.Context) {
	if reason := h.readiness.NotReady(time.Now()); reason != "" {
		c.String(http.StatusServiceUnavailable, reason+"\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (h *Handler) writeMetrics(c *gin.Context) {
	c.Header("Content-Type", "text/plain; charset=utf-8")
	h.set.WritePrometheus(c.Writer)
	metrics.WriteProcessMetrics(c.Writer)
}

func (h *Handler) listEntries(c *gin.Context) {
	kind := c.Query("kind")
	entries := []Entry{}
	for _, e := range h.config.Current().List() {
		if kind == "" || string(e.Kind) == kind {
			entries = append(entries, entryOf(e))
		}
	}
	c.JSON(http.StatusOK, entries)
}

func (h *Handler) getEntry(c *gin.Context) {
	key := config.EntryKey{Kind: config.Kind(c.Param("kind")), Name: c.Param("name")}
	e, ok := h.config.Current().Entries[key]
	if !ok {
		abort(c, http.StatusNotFound, "notFound", string(key.Kind)+" "+key.Name+" does not exist")
		return
	}
	c.JSON(http.StatusOK, entryOf(e))
}

func (h *Handler) change(c *gin.Context) {
	var request ChangeRequest
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
	if err := c.ShouldBindJSON(&request); err != nil {
		abort(c, http.StatusBadRequest, "invalidRequest", err.Error())
		return
	}
	change := config.Change{Author: request.Author, At: time.Now().UTC(), Attempt: uuid.NewString(), Edits: request.Edits}
	revision, err := h.config.Commit(c.Request.Context(), change)
	switch {
	case errors.Is(err, config.ErrConflict):
		abort(c, http.StatusConflict, "conflict", err.Error())
	case errors.Is(err, config.ErrInvalid):
		abort(c, http.StatusUnprocessableEntity, "invalidConfiguration", err.Error())
	case err != nil:
		abort(c, http.StatusServiceUnavailable, "unavailable", err.Error())
	default:
		c.JSON(http.StatusOK, ChangeReply{Revision: revision})
	}
}

func (h *Handler) status(c *gin.Context) {
	document := h.config.Current()
	status := Status{Host: h.membership.Self().Name, ConfigRevision: document.Revision, Hosts: []HostStatus{}, Servers: []ServerStatus{}}
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

func (h *Handler) reportBurn(c *gin.Context) {
	c.JSON(http.StatusOK, h.reports.Burn(c.Request.Context(), time.Now()))
}

func (h *Handler) loads(document *config.Document) map[string]backend.Load {
	loads := map[string]backend.Load{}
	for _, s := range document.Services {
		for _, candidate := range h.directory.Candidates(s.Model) {
			loads[candidate.Server.ID] = candidate.Load
		}
	}
	return loads
}

func entryOf(e config.Entry) Entry {
	return Entry{Kind: string(e.Kind), Name: e.Name, Text: e.Text, Revision: e.Revision}
}

func abort(c *gin.Context, status int, code, message string) {
	c.AbortWithStatusJSON(status, ErrorReply{Code: code, Message: message})
}
