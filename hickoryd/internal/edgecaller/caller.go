// Package edgecaller serves callers over HTTP on the users' platform: it finds the
// route of a request, reads its body, and writes the response.
package edgecaller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/draining"
	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/core/memoryledger"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// defaultBodyBytes is the maximum size of a body if the operators set no limit.
	defaultBodyBytes = 4 << 20
	// bodyTimeout limits the time in which a body must arrive. The operators set no
	// limit on it.
	bodyTimeout = 10 * time.Second
	// defaultTimeout limits a request whose route sets no timeout.
	defaultTimeout = 30 * time.Second
	// startRetryAfter is the Retry-After while the host has no configuration or buffers
	// too many bodies: the time after which it should have loaded its routes.
	startRetryAfter = 500 * time.Millisecond
)

var (
	errNoConfiguration = &edgedispatch.Failure{Status: http.StatusServiceUnavailable, RetryAfter: startRetryAfter, Reason: "no configuration yet"}
	errTooManyBodies   = &edgedispatch.Failure{Status: http.StatusServiceUnavailable, RetryAfter: startRetryAfter, Reason: "too many bodies held"}
)

type (
	// Routes holds the routes of the current configuration.
	Routes interface {
		// Table returns the routes, or nil if no configuration was loaded yet.
		Table() *route.Table
	}

	// Dispatcher runs requests on backend servers.
	Dispatcher interface {
		Serve(ctx context.Context, request *edgedispatch.Request, sink edgedispatch.Sink) error
	}

	// Handler serves callers. It is safe for concurrent use.
	Handler struct {
		routes     Routes
		services   Services
		quotas     Quotas
		dispatcher Dispatcher
		logger     log.Interface
		// stop is the planned end of the host, or nil if the host is not draining.
		stop atomic.Pointer[draining.Stop]
		// memory counts the request bodies that are being read or in memory.
		memory   *memoryledger.Ledger
		inFlight atomic.Int64
		accounts accounts
		// responses counts the responses that callers have not taken.
		responses responses

		requests      *metrics.Counter
		bodiesRefused *metrics.Counter
		set           *metrics.Set
	}
)

// New returns a handler that counts request bodies in the ledger memory. Without quotas, which
// may be nil, workspaces are not limited.
func New(routes Routes, services Services, quotas Quotas, dispatcher Dispatcher, memory *memoryledger.Ledger, logger log.Interface, set *metrics.Set) *Handler {
	h := &Handler{
		routes: routes, services: services, quotas: quotas, accounts: accounts{set: set}, dispatcher: dispatcher, memory: memory, logger: logger, set: set,
		requests: set.NewCounter(`hickoryfront_edge_requests_total`), bodiesRefused: set.NewCounter(`hickoryfront_edge_bodies_refused_total`),
	}
	set.NewGauge(`hickoryfront_edge_body_bytes`, func() float64 { return float64(memory.Used()) })
	set.NewGauge(`hickoryfront_edge_requests_in_flight`, func() float64 { return float64(h.inFlight.Load()) })
	return h
}

// Drain closes each caller's connection after its current request, so that callers
// connect to another host. From then on, requests that might not finish before the host ends
// are refused at once.
func (h *Handler) Drain(stop draining.Stop) {
	h.stop.Store(&stop)
}

// InFlight returns the number of requests without a complete response.
func (h *Handler) InFlight() int64 {
	return h.inFlight.Load()
}

// Describe adds the requests of each workspace to s.
func (h *Handler) Describe(s *hoststate.State) {
	s.Workspaces = h.accounts.describe()
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	h.requests.Inc()
	s := &sink{writer: w, controller: http.NewResponseController(w), handler: h}
	if r.ContentLength != 0 {
		h.limitBody(s.controller, arrived)
	}
	b := &body{ledger: h.memory}
	defer b.release()
	a := &admission{}
	request, err := h.read(r, b, a, s.controller, arrived)
	if err == nil {
		s.id = request.Metadata.ID
		err = h.serve(r.Context(), request, s)
	}
	h.finish(r, request, b, a, s, err)
}

// serve dispatches a request if there is memory for its response.
func (h *Handler) serve(ctx context.Context, request *edgedispatch.Request, s *sink) error {
	if err := h.responses.admit(s, request.Route.Name); err != nil {
		return err
	}
	defer h.responses.release(s)
	return h.dispatcher.Serve(ctx, request, s)
}

// limitBody sets the deadline for reading a body. The deadline applies to refused
// requests too, since the HTTP server reads the rest of a body before it responds.
func (h *Handler) limitBody(controller *http.ResponseController, arrived time.Time) {
	if err := controller.SetReadDeadline(arrived.Add(bodyTimeout)); err != nil {
		h.logger.WithError(err).Warn("can't set the read deadline of a body")
	}
}

// finish ends the response. A response that has started and can't be finished must
// not look complete, so its connection is aborted.
func (h *Handler) finish(r *http.Request, request *edgedispatch.Request, b *body, a *admission, s *sink, err error) {
	failure := unsentFailure(s, err)
	h.settle(request, a, failure, err)
	h.observe(request, s, failure, err)
	if failure != nil && b.isRefused {
		h.refuseEarly(r, s, failure)
		return
	}
	if failure != nil {
		s.fail(failure)
		return // the response is complete, even if the read deadline of the body has canceled the context
	}
	if err != nil || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// unsentFailure returns the *Failure that err holds, or nil if there is none or a
// response has already started.
func unsentFailure(s *sink, err error) *edgedispatch.Failure {
	var failure *edgedispatch.Failure
	if s.status == 0 && errors.As(err, &failure) {
		return failure
	}
	return nil
}

// read decodes a request, finds its workspace and reads its body. The request returned is never nil.
func (h *Handler) read(r *http.Request, b *body, a *admission, controller *http.ResponseController, arrived time.Time) (*edgedispatch.Request, error) {
	request := &edgedispatch.Request{Method: r.Method, Target: targetOf(r), Host: r.Host, Header: r.Header, Arrived: arrived}
	var err error
	request.Metadata, err = platform.DecodeRequest(r.Header)
	if errors.Is(err, platform.ErrNoRequestID) {
		return request, &edgedispatch.Failure{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	if err != nil {
		h.logger.WithError(err).WithField("request", request.Metadata.ID).Warn("can't decode a request header; ignoring it")
	}
	table := h.routes.Table()
	if table == nil {
		return request, errNoConfiguration
	}
	request.ConfigVersion = table.Version()
	request.Route = table.Find(r.Host, pathOf(request.Target))
	if request.Route == nil {
		return request, &edgedispatch.Failure{Status: http.StatusNotFound, Reason: "no route"}
	}
	if err := h.identify(request, table, a); err != nil {
		return request, err
	}
	request.Deadline = deadlineOf(request)
	if err := h.checkDraining(request, arrived); err != nil {
		return request, err
	}
	if err := h.readBody(request, b, r, controller, table.Limits()); err != nil {
		return request, err
	}
	if err := h.checkDraining(request, time.Now()); err != nil { // the drain may have begun meanwhile
		return request, err
	}
	if err := h.recheck(request, table, a); err != nil {
		return request, err
	}
	if err := h.admit(r.Context(), request, a); err != nil {
		return request, err
	}
	request.Fingerprint = crash.Fingerprint(request.Route.Service, []byte(request.Target), request.Body)
	return request, nil
}

// checkDraining refuses a request that a draining host may not be able to finish if it
// starts now.
func (h *Handler) checkDraining(request *edgedispatch.Request, now time.Time) error {
	stop := h.stop.Load()
	if stop == nil || stop.CanFinish(now, now, request.Deadline, request.Route.Kind == route.Streaming) {
		return nil
	}
	return &edgedispatch.Failure{Status: http.StatusServiceUnavailable, RetryAfter: draining.RetryAfter, Reason: "host is leaving"}
}

// targetOf returns path and query as the caller sent them.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// deadlineOf returns the earlier of the route's deadline and the caller's.
func deadlineOf(request *edgedispatch.Request) time.Time {
	limit := request.Route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if request.Metadata.TimeLeft > 0 {
		limit = min(limit, request.Metadata.TimeLeft)
	}
	return request.Arrived.Add(limit)
}

// observe counts and logs the outcome of a request.
func (h *Handler) observe(request *edgedispatch.Request, s *sink, failure *edgedispatch.Failure, err error) {
	name := "none"
	if request.Route != nil {
		name = request.Route.Name
	}
	took := time.Since(request.Arrived)
	status := s.status
	outcome := "answered"
	switch {
	case failure != nil:
		outcome, status = "failed", failure.Status
	case err != nil:
		outcome = "cut"
	}
	h.set.GetOrCreateHistogram(`hickoryfront_edge_request_seconds{outcome="` + outcome + `"}`).Update(took.Seconds())
	h.set.GetOrCreateCounter(`hickoryfront_edge_answers_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	entry := h.logger.WithFields(log.Fields{
		"request": request.Metadata.ID, "route": name, "configVersion": request.ConfigVersion, "status": status, "outcome": outcome,
		"took": took.Round(time.Millisecond / 10).String(), "bytes": s.bytes,
	})
	if request.Workspace != "" {
		entry = entry.WithField("workspace", request.Workspace)
	}
	if !s.firstByteAt.IsZero() {
		entry = entry.WithField("firstByte", s.firstByteAt.Sub(request.Arrived).Round(time.Millisecond/10).String())
	}
	if err != nil {
		entry = entry.WithField("reason", err.Error())
	}
	entry.Info("request ended")
}
