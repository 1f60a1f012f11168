package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/attempts"
	"github.com/hickoryfront/hickoryfront/core/eventstream"
	"github.com/hickoryfront/hickoryfront/core/health"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/http1"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

// errNoEvent means that a stream ended before it had brought an event.
var errNoEvent = errors.New("stream ended without an event")

// decode runs the request at a decode server, on the memory reserved there, and
// relays the events of the run. The server fetches the KV cache that source names.
//
// If the server stays silent and another one is ready to resume the stream, decode ends
// and the next attempt is the one at the other server.
func (g *generation) decode(ctx context.Context, held reservation, source kvHandle) error {
	g.tried, g.triedStarts = append(g.tried, held.server.ID), append(g.triedStarts, held.server.StartedAt)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := g.watchSilence(ctx, cancel)
	err := g.runAttempt(attemptCtx, watch, held, source)
	g.recordOutcome(err)
	successor := watch.stop()
	if successor == nil {
		return err
	}
	var failure *Failure
	migrated := (*migratedRun)(nil)
	if err == nil || errors.Is(err, ErrTruncated) || errors.As(err, &failure) || errors.As(err, &migrated) {
		if !successor.isRelayed {
			g.discard(successor.placement)
		}
		return err
	}
	g.successor = successor
	g.returnable = append(g.returnable, held.server.ID)
	return err
}

// runAttempt makes the attempt of decode.
func (g *generation) runAttempt(ctx context.Context, watch *silenceWatch, held reservation, source kvHandle) error {
	attempt := platform.Attempt{Reservation: held.id, LastEventID: g.relay.LastID(), IsResumed: g.relay.IsResumed()}
	if source.id != "" {
		attempt.KVSource = platform.KVSource(source.server.Address, source.id)
	}
	g.isSent, g.attemptEvents, g.phase = true, 0, phaseDecode
	if len(source.holders) > 0 {
		server, response, err := g.sendToHolders(ctx, source.holders, attempt)
		if err != nil {
			g.releaseHandle(source)
			return withCause(ctx, err)
		}
		defer response.Close()
		return g.relayResponse(ctx, watch, server, response)
	}
	response, err := g.send(ctx, held.server, g.request, attempt)
	if errors.Is(err, upstream.ErrNotSent) {
		g.recordResult(held.server.ID, health.Unreachable)
		g.releaseHandle(source)
		return err
	}
	if err != nil {
		g.recordBroken(ctx, held.server)
		g.releaseHandle(source)
		return withCause(ctx, err)
	}
	defer response.Close()
	if response.Metadata.IsNotRun {
		body := drain(response)
		g.releaseReservation(held)
		if response.Metadata.IsMisdirected {
			g.unusedHandle = source // the server has not fetched it
		} else {
			g.returnable = append(g.returnable, held.server.ID)
			g.releaseHandle(source)
			g.markFull(held.server.ID)
			if response.Metadata.RetryAfter == 0 {
				go g.runInspect(held.server)
			}
		}
		return fmt.Errorf("%w: status %d: %.80s", errNotRun, response.StatusCode, body)
	}
	return g.relayResponse(ctx, watch, held.server, response)
}

// relayResponse relays the response of a server that has taken the request.
func (g *generation) relayResponse(ctx context.Context, watch *silenceWatch, server serverlist.Server, response *upstream.Response) error {
	if response.StatusCode >= http.StatusMultipleChoices {
		return g.forwardFailure(ctx, server, response)
	}
	if err := checkStream(response); err != nil {
		g.recordResult(server.ID, health.Broken)
		return err
	}
	err := g.forward(ctx, response, watch, server)
	if migrated := (*migratedRun)(nil); errors.As(err, &migrated) {
		return err
	}
	if err != nil {
		if !errors.Is(err, ErrTruncated) {
			g.recordBroken(ctx, server)
		}
		return err
	}
	g.recordResult(server.ID, health.Success)
	g.quarantine.RecordRequestCompletion(time.Now(), g.request.Fingerprint)
	return nil
}

// checkStream returns an error if a response is no stream of a server's events. Such a response
// neither begins nor continues the stream of a caller.
func checkStream(response *upstream.Response) error {
	if r := response.Metadata; !r.IsEventStream || !r.HasStamp || r.IsEncoded {
		return fmt.Errorf("%w: status %d, content type %.40q, stamped %t, encoded %t",
			errInvalid, response.StatusCode, response.Header.Get("Content-Type"), r.HasStamp, r.IsEncoded)
	}
	return nil
}

// recordOutcome records how the attempt has ended.
func (g *generation) recordOutcome(err error) {
	migrated := (*migratedRun)(nil)
	switch {
	case errors.As(err, &migrated):
		g.history.Record(attempts.Migrated)
	case cannotHaveRun(err):
		g.history.Record(attempts.NotRun)
	default:
		g.history.Record(attempts.MayHaveRun)
	}
}

// forwardFailure sends a server's error response to the caller, unless the request
// may be retried on another server.
func (g *generation) forwardFailure(ctx context.Context, server serverlist.Server, response *upstream.Response) error {
	g.recordResult(server.ID, health.Failure)
	err := fmt.Errorf("%w: status %d", errInvalid, response.StatusCode)
	if g.isStarted || g.history.MayReplace() || !response.Metadata.HasStamp {
		drain(response)
		return err
	}
	body, _ := response.ReadBody(maxBufferedResponseBytes) // after an error the body is incomplete
	if !response.IsComplete() {
		return fmt.Errorf("%w, incomplete body of %d bytes", err, len(body))
	}
	if err := g.checkEndOfConnection(ctx, server, response); err != nil {
		return err
	}
	buffered := &plainResponse{response: response.Response, body: body}
	return buffered.send(g.sink)
}

// forward relays events to the caller until the stream ends or its run is migrated.
func (g *generation) forward(ctx context.Context, response *upstream.Response, watch *silenceWatch, server serverlist.Server) error {
	events := eventstream.NewReader(response.Body, response)
	hasNewEvents := false
	migration := newMigration(g, server)
	defer migration.stop()
	for {
		event, err := events.Next()
		if err != nil {
			if events.IsComplete(err) && !http1.EndsWithConnection(response.Response) {
				return g.end(hasNewEvents, response, watch, server)
			}
			if migrated := migration.result(ctx); migrated != nil {
				return migrated
			}
			if events.IsComplete(err) && ctx.Err() == nil && !migration.mayHaveStopped.Load() {
				if err := g.checkEndOfConnection(ctx, server, response); err != nil {
					return err
				}
				return g.end(hasNewEvents, response, watch, server)
			}
			return withCause(ctx, fmt.Errorf("%w: stream ended after event %d: %w", upstream.ErrMayHaveRun, g.relay.LastID(), err))
		}
		g.attemptEvents++
		if g.attemptEvents == 1 {
			g.quarantine.RecordStart(time.Now(), g.request.Route.Service, g.request.sharedParts())
		}
		migration.check(ctx)
		isNew, err := g.relay.Accept(event)
		watch.suspend()
		if err != nil {
			return fmt.Errorf("%w: %w", upstream.ErrMayHaveRun, err)
		}
		hasNewEvents = hasNewEvents || isNew && event.HasID
		if isNew && hasNewEvents { // the first event begins the response, and not a comment before it
			if err := g.relayEvent(event, response, watch, server); err != nil {
				return fmt.Errorf("%w: %w", ErrTruncated, err)
			}
		}
		watch.observe(g.relay)
	}
}

// relayEvent sends an event to the caller.
func (g *generation) relayEvent(event eventstream.Event, response *upstream.Response, watch *silenceWatch, server serverlist.Server) error {
	if err := g.begin(response, watch, server); err != nil {
		return err
	}
	g.recordEvent(time.Now(), server)
	return g.sink.Write(event.Bytes)
}

// begin begins the response to the caller, unless an earlier server has done so.
func (g *generation) begin(response *upstream.Response, watch *silenceWatch, server serverlist.Server) error {
	if g.isStarted {
		return nil
	}
	g.isStarted = true
	g.beginStream(server)
	watch.begin(g.softwareVersion)
	return g.sink.Start(response.StatusCode, platform.ResponseHeader(response.Header))
}

// end ends the response to the caller with that of a server. It returns an error if the caller may
// lack a part of the stream: a run has at least one event, so a server without a new one may have
// lost the run, and a run has as many events as its server has reported. IDs may begin at 0.
func (g *generation) end(hasNewEvents bool, response *upstream.Response, watch *silenceWatch, server serverlist.Server) error {
	if g.relay.LastID()+1 < g.reportedEvents {
		return fmt.Errorf("%w: stream ended after event %d of %d", upstream.ErrMayHaveRun, g.relay.LastID(), g.reportedEvents)
	}
	if !hasNewEvents && !g.hasAllEvents() {
		return fmt.Errorf("%w: %w after event %d", upstream.ErrMayHaveRun, errNoEvent, g.relay.LastID())
	}
	if err := g.begin(response, watch, server); err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return nil
}

// hasAllEvents reports whether the caller has as many events as the request allows tokens, so that
// the stream has no further one.
func (g *generation) hasAllEvents() bool {
	maxEvents := g.request.Metadata.MaxOutputTokens
	return maxEvents > 0 && g.relay.LastID() >= uint64(maxEvents)
}

// recordEvent records an event of server that is sent to the caller at now.
func (g *generation) recordEvent(now time.Time, server serverlist.Server) {
	g.timing.recordEvent(now)
	if !slices.Contains(g.sentVersions, server.SoftwareVersion) {
		g.sentVersions = append(g.sentVersions, server.SoftwareVersion)
	}
}

// withCause adds to the error of an attempt the reason why this host has canceled the
// attempt, if it has.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// recordBroken records that a server broke off a request. It does nothing if the
// caller disconnected or its deadline passed.
func (g *generation) recordBroken(ctx context.Context, server serverlist.Server) {
	isSilent := errors.Is(context.Cause(ctx), errSilent)
	if ctx.Err() != nil && !isSilent {
		return
	}
	g.recordResult(server.ID, health.Broken)
	if isSilent {
		g.suspectPaths(server)
		g.silences++
		g.counters.silences.Inc()
		return
	}
	g.checkReachable(g.request, server, g.attemptEvents)
}
