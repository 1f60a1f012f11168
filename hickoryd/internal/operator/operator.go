// Package operator serves operators over HTTP: the administration API, health
// checks and metrics.
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/burn"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/placement"
)

const (
	maxBodyBytes = 1 << 20
	// revisionHeader holds the configuration revision that a reply was read from.
	revisionHeader = "X-Config-Revision"
)

type (
	// Config provides the configuration in force and its history, and commits
	// changes.
	Config interface {
		Current() *config.Document
		Commit(ctx context.Context, change config.Change) (uint64, error)
		History(ctx context.Context, limit int, keep func(config.Change) bool) ([]config.Change, error)
	}

	// Membership lists the live hosts, this one included.
	Membership interface {
		Self() member.Host
		Live(now time.Time) []member.State
	}

	// Directory lists the backend servers and their loads.
	Directory interface {
		Servers() []backend.Server
		Candidates(model string) []placement.Candidate
	}

	// Readiness returns why the daemon is not ready, or "" if it is.
	Readiness interface {
		NotReadyReason(now time.Time) string
	}

	// Requests provides the numbers of requests that this daemon has answered and
	// refused.
	Requests interface {
		Count(service string) (answered, refused uint64)
	}

	// Reports merges the counts of all hosts into reports.
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
		requests   Requests
		reports    Reports
		set        *metrics.Set
	}

	// ErrorReply is the body of every error response.
	ErrorReply struct {
		Code     string         `json:"code"`
		Message  string         `json:"message"`
		Conflict *ConflictReply `json:"conflict,omitempty"`
	}

	// ErrorKind is one kind of error, with its stable code, its HTTP status and its
	// meaning in the API reference.
	ErrorKind struct {
		Code    string
		Status  int
		Meaning string
	}
)

var (
	// Unauthorized means that the token is missing or wrong.
	Unauthorized = ErrorKind{"unauthorized", http.StatusUnauthorized, "the operators' token is missing or wrong"}
	// InvalidRequest means that the request is malformed or too large, or that a value
	// is out of bounds.
	InvalidRequest = ErrorKind{"invalidRequest", http.StatusBadRequest, "the request is malformed or too large, or a value is out of bounds"}
	// NotFound means that the entry does not exist.
	NotFound = ErrorKind{"notFound", http.StatusNotFound, "the entry does not exist"}
	// ConflictKind means that another operator changed the entry first.
	ConflictKind = ErrorKind{"conflict", http.StatusConflict, "another operator changed the entry first; the response contains the base and the current revision"}
	// InvalidConfiguration means that the changed configuration would not be valid.
	InvalidConfiguration = ErrorKind{"invalidConfiguration", http.StatusUnprocessableEntity, "the configuration would not be valid; the message names section and key; nothing was written"}
	// NotSent means that a change was abandoned before it was written.
	NotSent = ErrorKind{"notSent", http.StatusServiceUnavailable, "the platform can't be reached; nothing was written"}
	// Unconfirmed means that a change may or may not have been written.
	Unconfirmed = ErrorKind{"unconfirmed", http.StatusServiceUnavailable, "the platform did not confirm the change; retry with the same attempt token"}
	// Unavailable means that the platform can't be read.
	Unavailable = ErrorKind{"unavailable", http.StatusServiceUnavailable, "the platform can't be read now"}
)

// ErrorKinds returns all kinds in the order of the API reference.
func ErrorKinds() []ErrorKind {
	return []ErrorKind{Unauthorized, InvalidRequest, NotFound, ConflictKind, InvalidConfiguration, NotSent, Unconfirmed, Unavailable}
}

// New returns a handler whose administration API requires token as bearer token.
func New(token string, configuration Config, membership Membership, directory Directory, readiness Readiness, requests Requests, reports Reports, set *metrics.Set) *Handler {
	return &Handler{
		token: token, config: configuration, membership: membership, directory: directory, readiness: readiness,
		requests: requests, reports: reports, set: set,
	}
}

// Routes adds the operators' paths to the HTTP engine.
func (h *Handler) Routes(engine *gin.Engine) {
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", h.ready)
	engine.GET("/metrics", h.writeMetrics)
	api := engine.Group("/admin/v1", h.authenticate)
	api.GET("/entries", h.listEntries)
	api.GET("/entries/:kind/:name", h.getEntry)
	api.POST("/changes", h.change)
	api.POST("/checks", h.check)
	api.GET("/history", h.history)
	api.GET("/version", h.version)
	api.GET("/status", h.status)
	api.GET("/report/burn", h.reportBurn)
	api.GET("/debug/pprof/:name", h.servePprof)
}

func (h *Handler) authenticate(c *gin.Context) {
	given := strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(given), []byte(h.token)) != 1 {
		abort(c, Unauthorized, Unauthorized.Meaning)
	}
}

func (h *Handler) ready(c *gin.Context) {
	if reason := h.readiness.NotReadyReason(time.Now()); reason != "" {
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

func (h *Handler) reportBurn(c *gin.Context) {
	c.JSON(http.StatusOK, h.reports.Burn(c.Request.Context(), time.Now()))
}

func abort(c *gin.Context, kind ErrorKind, message string) {
	c.AbortWithStatusJSON(kind.Status, ErrorReply{Code: kind.Code, Message: message})
}
