// Package caller serves callers over HTTP: completions in the format of the
// OpenAI API, and calls of plain services, which run without a model.
package caller

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/service"
)

const (
	// HeaderWorkspace names the caller's workspace.
	HeaderWorkspace = "X-Workspace"
	// HeaderService names the service of a completion request.
	HeaderService = "X-Service"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderRequestID is the caller's own ID of the request. The response
	// echoes it.
	HeaderRequestID = "X-Request-Id"
	// HeaderRan states on each refusal whether the request was run.
	HeaderRan = "X-Request-Ran"

	maxHeaderValueBytes = 256
	// minBodyReadLimit is the size up to which a body is read in any case before its
	// service, and thereby its profile's limit, is known.
	minBodyReadLimit = 1 << 20
)

type (
	// Models runs completion requests.
	Models interface {
		Run(ctx context.Context, request dispatch.ModelRequest, sink dispatch.Sink) error
	}

	// Plain runs calls of plain services.
	Plain interface {
		Run(ctx context.Context, request dispatch.PlainRequest) (claim.Response, error)
	}

	// Keyed runs requests with idempotency keys at most once.
	Keyed interface {
		Open(ctx context.Context, request dispatch.KeyedRequest, work dispatch.Work) (dispatch.Source, error)
	}

	// Legacy sends calls of disabled services to the legacy scripts, which are
	// being retired.
	Legacy interface {
		DoURL(ctx context.Context, target string, call service.Call) (claim.Response, error)
	}

	// Config returns the configuration in force.
	Config interface {
		Current() *config.Document
	}

	// Gate decides whether new requests are accepted.
	Gate interface {
		Refuse(now time.Time) *refusal.Refusal
	}

	// Recorder records the latencies and refusals that callers saw.
	Recorder interface {
		Completion(now time.Time, profile config.Profile, service string, timing Timing)
		Call(now time.Time, profile config.Profile, service string, took time.Duration, ok bool)
		Refused(service string, r *refusal.Refusal)
	}

	// Timing is the timing of one completion as its caller saw it.
	Timing struct {
		FirstToken time.Duration
		WorstGap   time.Duration
		Total      time.Duration
		Tokens     int
		OK         bool
	}

	// Handler serves callers. It is safe for concurrent use.
	Handler struct {
		models      Models
		plain       Plain
		keyed       Keyed
		legacy      Legacy
		config      Config
		gate        Gate
		recorder    Recorder
		maxInFlight int64
		inFlight    atomic.Int64
	}

	// call holds the data that all requests of callers have in common.
	call struct {
		id        string
		workspace string
		share     float64 // of the workspace
		service   config.Service
		profile   config.Profile
		body      []byte
	}

	errorBody struct {
		Error errorDetail `json:"error"`
	}

	errorDetail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	}
)

// New returns a handler that serves at most maxInFlight requests at once.
func New(models Models, plain Plain, keyed Keyed, legacy Legacy, configuration Config, gate Gate, recorder Recorder, maxInFlight int) *Handler {
	return &Handler{
		models: models, plain: plain, keyed: keyed, legacy: legacy, config: configuration, gate: gate, recorder: recorder, maxInFlight: int64(maxInFlight),
	}
}

// Routes adds the callers' paths to the engine.
func (h *Handler) Routes(engine *gin.Engine) {
	engine.POST("/v1/chat/completions", h.admit(h.serveChat))
	engine.POST("/v1/completions", h.admit(h.serveText))
	engine.GET("/v1/models", h.listModels)
	engine.Any("/services/:service/*path", h.admit(h.servePlain))
	engine.NoRoute(func(c *gin.Context) {
		h.refuse(c, "", refusal.NotRun(refusal.UnknownService, "no such path; see the API page for the paths that are served"))
	})
}

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int64 {
	return h.inFlight.Load()
}

func (h *Handler) admit(serve gin.HandlerFunc) gin.HandlerFunc {
	return func(c *gin.Context) {
		now := time.Now()
		count := h.inFlight.Add(1)
		defer h.inFlight.Add(-1)
		if r := h.gate.Refuse(now); r != nil {
			h.refuse(c, "", r)
			return
		}
		if count > h.maxInFlight {
			h.refuse(c, "", refusal.NotRun(refusal.Overloaded, "this host serves %d requests already", h.maxInFlight).WithRetryAfter(time.Second))
			return
		}
		serve(c)
	}
}

func (h *Handler) serveChat(c *gin.Context) { h.serveCompletion(c, true) }
func (h *Handler) serveText(c *gin.Context) { h.serveCompletion(c, false) }

func (h *Handler) serveCompletion(c *gin.Context, chat bool) {
	arrivedAt := time.Now()
	document := h.config.Current()
	request, parsed, r := h.readCompletion(c, document, chat)
	if r != nil {
		h.refuse(c, request.service.Name, r)
		return
	}
	if !request.service.Enabled {
		h.forward(c, request, c.Request.URL.Path)
		return
	}
	if key := c.GetHeader(HeaderKey); key != "" {
		h.serveKeyedCompletion(c, request, parsed, key, arrivedAt)
		return
	}
	sink := newSink(c.Request.Context(), c.Writer, request.id, parsed, arrivedAt, request.profile.SlowReaderTimeout)
	sink.deadlineEndsWaits = c.Request.ProtoMajor > 1
	err := h.models.Run(c.Request.Context(), modelRequest(request, parsed, arrivedAt), sink)
	if errors.Is(err, context.Canceled) {
		return
	}
	h.recorder.Completion(time.Now(), request.profile, request.service.Name, sink.timing(time.Now(), err == nil))
	if err != nil {
		h.failCompletion(c, request.service.Name, sink, err)
		return
	}
	sink.finish(time.Now())
}

func modelRequest(request call, parsed parsedBody, arrivedAt time.Time) dispatch.ModelRequest {
	return dispatch.ModelRequest{
		ID: request.id, Workspace: request.workspace, Service: request.service, Profile: request.profile,
		Prompt: parsed.prompt, MaxTokens: parsed.maxTokens, ArrivedAt: arrivedAt, Share: request.share,
	}
}

// failCompletion ends a response that could not be completed. The status of a
// stream that has begun can't change, so the error is its last event.
func (h *Handler) failCompletion(c *gin.Context, serviceName string, sink *sink, err error) {
	r := asRefusal(err)
	if !sink.started {
		h.refuse(c, serviceName, r)
		return
	}
	h.recorder.Refused(serviceName, r)
	sink.writeEvent(newErrorBody(r))
}

func (h *Handler) readCompletion(c *gin.Context, document *config.Document, chat bool) (call, parsedBody, *refusal.Refusal) {
	request, r := h.readHeaders(c, document)
	if r != nil {
		return request, parsedBody{}, r
	}
	body, r := h.readBody(c, largestBodyLimit(document))
	if r != nil {
		return request, parsedBody{}, r
	}
	// The token limit is that of the profile, which is known only once the model has
	// been parsed. The body is therefore parsed again below.
	parsed, err := parseBody(body, chat, math.MaxInt32)
	if err != nil {
		return request, parsed, refusal.NotRun(refusal.InvalidRequest, "%v", err)
	}
	request.body = body
	if r = request.bindModel(document, c.GetHeader(HeaderService), parsed.model); r != nil {
		return request, parsed, r
	}
	if int64(len(body)) > request.profile.MaxBodyBytes {
		return request, parsed, bodyTooLarge(request.profile.MaxBodyBytes)
	}
	if parsed, err = parseBody(body, chat, request.profile.MaxTokens); err != nil {
		return request, parsed, refusal.NotRun(refusal.InvalidRequest, "%v", err)
	}
	return request, parsed, nil
}

func (h *Handler) readHeaders(c *gin.Context, document *config.Document) (call, *refusal.Refusal) {
	request := call{id: uuid.NewString(), workspace: c.GetHeader(HeaderWorkspace)}
	for _, name := range []string{HeaderWorkspace, HeaderService, HeaderKey, HeaderRequestID} {
		if len(c.GetHeader(name)) > maxHeaderValueBytes {
			return request, refusal.NotRun(refusal.HeaderTooLong, "header %s is over %d characters", name, maxHeaderValueBytes)
		}
	}
	if requestID := c.GetHeader(HeaderRequestID); requestID != "" {
		c.Header(HeaderRequestID, requestID)
	} else {
		c.Header(HeaderRequestID, request.id)
	}
	workspace, ok := document.Workspaces[request.workspace]
	request.share = workspace.Share
	if !ok {
		return request, refusal.NotRun(refusal.UnknownWorkspace, "header %s: workspace %q is not configured", HeaderWorkspace, request.workspace)
	}
	return request, nil
}

// bindModel finds the service of a completion request, and sets the service and its
// profile.
func (r *call) bindModel(document *config.Document, name, model string) *refusal.Refusal {
	found, ok := document.ServiceForModel(model)
	if name != "" {
		found, ok = document.Services[name]
		if !ok || found.Kind != config.ServiceModel {
			return refusal.NotRun(refusal.UnknownService, "header %s: no model service %q is bound", HeaderService, name)
		}
		if found.Model != model {
			return refusal.NotRun(refusal.UnknownModel, "service %q serves model %q, not %q", name, found.Model, model)
		}
	}
	if !ok {
		return refusal.NotRun(refusal.UnknownModel, "no service, or more than one, serves model %q; name the service in header %s", model, HeaderService)
	}
	r.service = found
	r.profile = document.Profiles[found.Profile]
	return nil
}

func (h *Handler) servePlain(c *gin.Context) {
	started := time.Now()
	document := h.config.Current()
	request, r := h.readPlain(c, document)
	if r != nil {
		h.refuse(c, request.service.Name, r)
		return
	}
	if !request.service.Enabled {
		h.forward(c, request, c.Request.URL.Path)
		return
	}
	key := c.GetHeader(HeaderKey)
	repeatable := dispatch.IsRepeatable(request.profile, c.Request.Method)
	if key == "" && !repeatable {
		h.refuse(c, request.service.Name, refusal.NotRun(refusal.MissingIdempotencyKey, "%s calls of %q run at most once; send header %s", c.Request.Method, request.service.Name, HeaderKey))
		return
	}
	response, err := h.plain.Run(c.Request.Context(), dispatch.PlainRequest{
		ID: request.id, Workspace: request.workspace, Service: request.service, Profile: request.profile,
		Key: key, BodyHash: bodyHash(c, request.body), Repeatable: repeatable, Call: serviceCall(c, request, c.Param("path")),
	})
	if errors.Is(err, context.Canceled) {
		return
	}
	h.recorder.Call(time.Now(), request.profile, request.service.Name, time.Since(started), err == nil)
	if err != nil {
		h.refuse(c, request.service.Name, asRefusal(err))
		return
	}
	writeResponse(c, response)
}

func (h *Handler) readPlain(c *gin.Context, document *config.Document) (call, *refusal.Refusal) {
	request, r := h.readHeaders(c, document)
	if r != nil {
		return request, r
	}
	found, ok := document.Services[c.Param("service")]
	if !ok || found.Kind != config.ServicePlain {
		return request, refusal.NotRun(refusal.UnknownService, "no plain service %q is bound", c.Param("service"))
	}
	request.service = found
	request.profile = document.Profiles[found.Profile]
	request.body, r = h.readBody(c, request.profile.MaxBodyBytes)
	return request, r
}

// forward sends a call of a disabled service to the legacy address of its
// profile.
func (h *Handler) forward(c *gin.Context, request call, path string) {
	target := strings.TrimSuffix(request.profile.LegacyAddress, "/") + path
	if c.Request.URL.RawQuery != "" {
		target += "?" + c.Request.URL.RawQuery
	}
	response, err := h.legacy.DoURL(c.Request.Context(), target, serviceCall(c, request, path))
	switch {
	case errors.Is(err, service.ErrNotSent):
		h.refuse(c, request.service.Name, refusal.NotRun(refusal.Unavailable, "the legacy address can't be reached").WithRetryAfter(time.Second))
	case err != nil:
		h.refuse(c, request.service.Name, refusal.MayHaveRun(refusal.BackendFailed, "the legacy address failed: %v", err))
	default:
		writeResponse(c, response)
	}
}

func (h *Handler) listModels(c *gin.Context) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	models := []model{}
	seen := map[string]bool{}
	for _, s := range h.config.Current().Services {
		if s.Kind == config.ServiceModel && !seen[s.Model] {
			seen[s.Model] = true
			models = append(models, model{ID: s.Model, Object: "model"})
		}
	}
	c.JSON(http.StatusOK, gin.H{"object": "list", "data": models})
}

func (h *Handler) refuse(c *gin.Context, serviceName string, r *refusal.Refusal) {
	h.recorder.Refused(serviceName, r)
	c.Header(HeaderRan, string(r.Ran))
	if r.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	c.JSON(r.Kind.Status, newErrorBody(r))
}

func newErrorBody(r *refusal.Refusal) errorBody {
	return errorBody{Error: errorDetail{Message: r.Message, Type: errorType(r.Kind.Status), Code: r.Kind.Code}}
}

func errorType(status int) string {
	if status < http.StatusInternalServerError {
		return "invalid_request_error"
	}
	return "server_error"
}

func asRefusal(err error) *refusal.Refusal {
	if r := refusal.FromError(err); r != nil {
		return r
	}
	return refusal.MayHaveRun(refusal.BackendFailed, "%v", err)
}

// readBody reads the body of a request. It checks the gate again, which may have closed
// meanwhile.
func (h *Handler) readBody(c *gin.Context, limit int64) ([]byte, *refusal.Refusal) {
	data, err := io.ReadAll(io.LimitReader(c.Request.Body, limit+1))
	if err != nil {
		return nil, refusal.NotRun(refusal.InvalidRequest, "the body can't be read: %v", err)
	}
	if int64(len(data)) > limit {
		return nil, bodyTooLarge(limit)
	}
	return data, h.gate.Refuse(time.Now())
}

func bodyTooLarge(limit int64) *refusal.Refusal {
	return refusal.NotRun(refusal.BodyTooLarge, "the body is over %d bytes", limit)
}

// largestBodyLimit bounds a body whose service is not known yet.
func largestBodyLimit(document *config.Document) int64 {
	limit := int64(minBodyReadLimit)
	for _, p := range document.Profiles {
		limit = max(limit, p.MaxBodyBytes)
	}
	return limit
}

func bodyHash(c *gin.Context, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.Request.Method + " " + c.Request.URL.RequestURI() + "\n")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

func serviceCall(c *gin.Context, request call, path string) service.Call {
	return service.Call{
		RequestID: request.id, Method: c.Request.Method, Path: path, RawQuery: c.Request.URL.RawQuery,
		Header: c.Request.Header, Body: request.body,
	}
}

func writeResponse(c *gin.Context, response claim.Response) {
	for _, header := range response.Headers {
		c.Writer.Header().Add(header.Name, header.Value)
	}
	c.Writer.WriteHeader(response.Status)
	_, _ = c.Writer.Write(response.Body) // the caller may have disconnected
}
