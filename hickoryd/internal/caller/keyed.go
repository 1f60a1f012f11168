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

// completionTimeout bounds a completion with a key, which runs on while its
// callers disconnect and retry.
const completionTimeout = 10 * time.Minute

// completionWork runs a completion with a key.
type completionWork struct {
	handler   *Handler
	request   call
	parsed    parsedBody
	arrivedAt time.Time
}

// serveKeyedCompletion serves a completion with a key. The completion runs
// once, and every caller that sends the key gets the same bytes.
func (h *Handler) serveKeyedCompletion(c *gin.Context, request call, parsed parsedBody, key string, arrivedAt time.Time) {
	ctx := c.Request.Context()
	source, err := h.keyed.Open(ctx, dispatch.KeyedRequest{
		ID:         request.id,
		Key:        claim.Key{Workspace: request.workspace, Service: request.service.Name, Value: key},
		BodyHash:   bodyHash(c, request.body),
		Horizon:    request.profile.RetryHorizon,
		Timeout:    completionTimeout,
		Releasable: true,
	}, completionWork{handler: h, request: request, parsed: parsed, arrivedAt: arrivedAt})
	started := false
	if err == nil {
		started, err = dispatch.Copy(ctx, c.Writer, source)
	}
	switch {
	case err == nil, errors.Is(err, context.Canceled):
	case !started:
		h.refuse(c, request.service.Name, asRefusal(err))
	default:
		h.writeErrorEvent(c, request.service.Name, asRefusal(err))
	}
}

// writeErrorEvent ends a response that could not be read to its end: it writes
// an error event in place of the end of the stream.
func (h *Handler) writeErrorEvent(c *gin.Context, serviceName string, r *refusal.Refusal) {
	h.recorder.Refused(serviceName, r)
	data, err := json.Marshal(newErrorBody(r))
	if err != nil {
		return
	}
	_, _ = c.Writer.WriteString("data: " + string(data) + "\n\n") // the caller may have disconnected
}

// Run implements dispatch.Work.
func (w completionWork) Run(ctx context.Context, to *dispatch.Recording) error {
	h := w.handler
	sink := newSink(ctx, to, w.request.id, w.parsed, w.arrivedAt, w.request.profile.SlowReaderTimeout)
	err := h.models.Run(ctx, modelRequest(w.request, w.parsed, w.arrivedAt), sink)
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
		_ = sink.writeEvent(newErrorBody(r)) // fails only if the recording is full or ctx has ended
	}
	return r
}
