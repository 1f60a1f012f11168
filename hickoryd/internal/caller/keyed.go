package caller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
)

// completionLimit bounds a completion with a key, whose callers may come and go.
const completionLimit = 10 * time.Minute

// completionWork is the run of a completion with a key.
type completionWork struct {
	handler *Handler
	request call
	parsed  parsedBody
	arrived time.Time
}

// completeKeyed answers a completion with a key: it runs once, and every caller
// that sends the key gets the same bytes.
func (h *Handler) completeKeyed(c *gin.Context, request call, parsed parsedBody, key string, arrived time.Time) {
	ctx := c.Request.Context()
	source, err := h.keyed.Open(ctx, dispatch.KeyedRequest{
		ID:         request.id,
		Key:        claim.Key{Workspace: request.workspace, Service: request.service.Name, Value: key},
		BodyHash:   bodyHash(c, request.body),
		Horizon:    request.profile.RetryHorizon,
		Timeout:    completionLimit,
		Releasable: true,
	}, completionWork{handler: h, request: request, parsed: parsed, arrived: arrived})
	started := false
	if err == nil {
		started, err = dispatch.Copy(ctx, c.Writer, source)
	}
	switch {
	case err == nil, errors.Is(err, context.Canceled):
	case !started:
		h.refuse(c, request.service.Name, asRefusal(err))
	default:
		h.breakOff(c, request.service.Name, asRefusal(err))
	}
}

// breakOff ends an answer whose rest was lost: a stream by an error event in
// place of its end.
func (h *Handler) breakOff(c *gin.Context, serviceName string, r *refusal.Refusal) {
	h.recorder.Refused(serviceName, r)
	data, err := json.Marshal(errorOf(r))
	if err != nil {
		return
	}
	_, _ = c.Writer.WriteString("data: " + string(data) + "\n\n") // the caller may be gone
}

// Run implements dispatch.Work.
func (w completionWork) Run(ctx context.Context, to *dispatch.Recording) error {
	h := w.handler
	sink := newSink(ctx, to, w.request.id, w.parsed, w.arrived, w.request.profile.SlowReaderTimeout)
	err := h.models.Run(ctx, modelRequest(w.request, w.parsed, w.arrived), sink)
	if errors.Is(err, context.Canceled) {
		return refusal.MayHaveRun(refusal.OutcomeUnknown, "the request was given up because its callers were gone")
	}
	h.recorder.Completion(time.Now(), w.request.profile, w.request.service.Name, sink.timing(time.Now(), err == nil))
	if err == nil {
		sink.finish(time.Now())
		return nil
	}
	r := asRefusal(err)
	if sink.started {
		_ = sink.event(errorOf(r)) // the recording takes it
	}
	return r
}
