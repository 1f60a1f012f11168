// Package edgecaller serves callers on the users' platform: it finds the route
// of a request, reads it whole, and writes the answer.
package edgecaller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// defaultBody bounds a body in bytes where the operators set no limit.
	defaultBody = 4 << 20
	// bodyTimeout is the longest time that a body may take where the operators
	// set no limit.
	bodyTimeout = 10 * time.Second
	// defaultTimeout bounds a request whose route sets no time-out.
	defaultTimeout = 30 * time.Second
	// startRetryAfter tells a caller to come back when the host knows its routes.
	startRetryAfter = 500 * time.Millisecond
	// usualStream is the time that nearly all streams take: 160 events of 13
	// tokens at some milliseconds a token.
	usualStream = 5 * time.Second
	// leaveRetryAfter tells a caller to come back, by another host.
	leaveRetryAfter = 20 * time.Millisecond
	// maxHeldBytes bounds the bodies that are held at once, as a part of the
	// memory of the smallest host.
	maxHeldBytes = 24 << 20
)

var (
	errNoRoutes = &edgedispatch.Failure{Status: http.StatusServiceUnavailable, RetryAfter: startRetryAfter, Reason: "no configuration yet"}
	errBusy     = &edgedispatch.Failure{Status: http.StatusServiceUnavailable, RetryAfter: startRetryAfter, Reason: "too many bodies held"}
)

type (
	// Routes returns the routes in force, or nil.
	Routes interface {
		Table() *route.Table
	}

	// Dispatcher answers requests.
	Dispatcher interface {
		Serve(ctx context.Context, o *edgedispatch.Request, sink edgedispatch.Sink) error
	}

	// Handler serves callers. It is safe for concurrent use.
	Handler struct {
		routes     Routes
		dispatcher Dispatcher
		logger     log.Interface
		// leaving is when the process ends, or nil while it stays.
		leaving  atomic.Pointer[time.Time]
		held     atomic.Int64
		inFlight atomic.Int64

		requests *metrics.Counter
		set      *metrics.Set
	}
)

// New returns a handler.
func New(routes Routes, dispatcher Dispatcher, logger log.Interface, set *metrics.Set) *Handler {
	h := &Handler{routes: routes, dispatcher: dispatcher, logger: logger, set: set, requests: set.NewCounter(`hickoryfront_edge_requests_total`)}
	set.NewGauge(`hickoryfront_edge_requests_in_flight`, func() float64 { return float64(h.inFlight.Load()) })
	return h
}

// Drain makes callers send no more requests on their connections. What can't be
// finished by the given end is refused at once.
func (h *Handler) Drain(end time.Time) {
	h.leaving.Store(&end)
}

// InFlight returns the number of requests without a complete answer.
func (h *Handler) InFlight() int64 {
	return h.inFlight.Load()
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
	order, err := h.read(r, s.controller, arrived)
	defer h.held.Add(-int64(len(order.Body)))
	if err == nil {
		s.id = order.Metadata.ID
		err = h.dispatcher.Serve(r.Context(), order, s)
	}
	h.finish(r, order, s, err)
}

// limitBody bounds the time for a body. It holds for refused requests too: the
// server reads the rest of a body before it answers.
func (h *Handler) limitBody(controller *http.ResponseController, arrived time.Time) {
	if err := controller.SetReadDeadline(arrived.Add(bodyTimeout)); err != nil {
		h.logger.WithError(err).Warn("no time limit on a body")
	}
}

// finish ends the answer. One that has begun and can't be finished must not
// look complete.
func (h *Handler) finish(r *http.Request, o *edgedispatch.Request, s *sink, err error) {
	failure := failureOf(s, err)
	h.observe(o, s, failure, err)
	if failure != nil {
		s.fail(failure)
		return // whole, also where the body's time limit has ended the context
	}
	if err != nil || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// failureOf returns the answer of our own that an error stands for, or nil where
// there is none or another answer has begun.
func failureOf(s *sink, err error) *edgedispatch.Failure {
	var failure *edgedispatch.Failure
	if s.status == 0 && errors.As(err, &failure) {
		return failure
	}
	return nil
}

// read decodes a request and reads its body. The order is never nil.
func (h *Handler) read(r *http.Request, controller *http.ResponseController, arrived time.Time) (*edgedispatch.Request, error) {
	o := &edgedispatch.Request{Method: r.Method, Target: targetOf(r), Host: r.Host, Header: r.Header, Arrived: arrived}
	var err error
	o.Metadata, err = platform.DecodeRequest(r.Header)
	if errors.Is(err, platform.ErrNoRequestID) {
		return o, &edgedispatch.Failure{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	if err != nil {
		h.logger.WithError(err).WithField("request", o.Metadata.ID).Warn("header passed over")
	}
	table := h.routes.Table()
	if table == nil {
		return o, errNoRoutes
	}
	o.ConfigVersion = table.Version()
	o.Route = table.Find(r.Host, pathOf(o.Target))
	if o.Route == nil {
		return o, &edgedispatch.Failure{Status: http.StatusNotFound, Reason: "no route"}
	}
	o.Deadline = deadlineOf(o)
	if err := h.checkLeaving(o); err != nil {
		return o, err
	}
	if err := h.readBody(o, r, controller, table.Limits()); err != nil {
		return o, err
	}
	o.Fingerprint = crash.Fingerprint(o.Route.Service, []byte(o.Target), o.Body)
	return o, nil
}

// checkLeaving refuses what a leaving host can't be sure to finish.
func (h *Handler) checkLeaving(o *edgedispatch.Request) error {
	end := h.leaving.Load()
	if end == nil {
		return nil
	}
	need := o.Route.Timeout
	if o.Route.Kind == route.Streaming {
		need = min(need, usualStream)
	}
	if o.Arrived.Add(need).Before(*end) {
		return nil
	}
	return &edgedispatch.Failure{Status: http.StatusServiceUnavailable, RetryAfter: leaveRetryAfter, Reason: "host is leaving"}
}

func (h *Handler) readBody(o *edgedispatch.Request, r *http.Request, controller *http.ResponseController, limits route.Limits) error {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > limit {
		return &edgedispatch.Failure{Status: http.StatusRequestEntityTooLarge, Reason: "body too long"}
	}
	if h.held.Load()+max(r.ContentLength, 0) > maxHeldBytes {
		return errBusy
	}
	body, err := readAll(io.LimitReader(r.Body, limit+1), r.ContentLength)
	o.Body = body
	h.held.Add(int64(len(body)))
	if err != nil {
		return &edgedispatch.Failure{Status: http.StatusRequestTimeout, Reason: "body not read: " + err.Error()}
	}
	if int64(len(body)) > limit {
		return &edgedispatch.Failure{Status: http.StatusRequestEntityTooLarge, Reason: "body too long"}
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		h.logger.WithError(err).Warn("time limit on a body not lifted")
	}
	return nil
}

// readAll reads a body of the given length, or of unknown length where that is
// negative.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	n, err := io.ReadFull(r, body)
	return body[:n], err
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

func deadlineOf(o *edgedispatch.Request) time.Time {
	limit := o.Route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if o.Metadata.TimeLeft > 0 {
		limit = min(limit, o.Metadata.TimeLeft)
	}
	return o.Arrived.Add(limit)
}

// observe counts and logs the outcome of a request.
func (h *Handler) observe(o *edgedispatch.Request, s *sink, failure *edgedispatch.Failure, err error) {
	name := "none"
	if o.Route != nil {
		name = o.Route.Name
	}
	took := time.Since(o.Arrived)
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
		"request": o.Metadata.ID, "route": name, "configVersion": o.ConfigVersion, "status": status, "outcome": outcome,
		"took": took.Round(time.Millisecond / 10).String(), "bytes": s.bytes,
	})
	if !s.first.IsZero() {
		entry = entry.WithField("firstByte", s.first.Sub(o.Arrived).Round(time.Millisecond/10).String())
	}
	if err != nil {
		entry = entry.WithField("reason", err.Error())
	}
	entry.Info("request ended")
}
