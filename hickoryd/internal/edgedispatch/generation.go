package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/eventstream"
)

const (
	// fullRetryAfter tells a caller to come back when memory may be free: about
	// the time in which a running request ends.
	fullRetryAfter = 1500 * time.Millisecond
	// maxPlacements bounds the servers that one stream is offered to.
	maxPlacements = 5
)

type (
	// generation is one request to model servers with its tries.
	generation struct {
		*Dispatcher
		order *Request
		// asked is when the caller asked for the first time.
		asked time.Time
		sink  Sink
		relay *eventstream.Relay
		tried []string
		// runs is the number of decode servers that may have run the request.
		runs     int
		prefills int
		// unused is a KV cache that was read for a server that did not fetch it.
		unused handleAt
		// isRead is set once a prefill server has read the prompt.
		isRead    bool
		isStarted bool
		// sent is set once a repeat of this request would count.
		sent   bool
		timing streamTiming
		// resumeAt is where a run that was moved goes on.
		resumeAt *movedRun
		isMoved  bool
	}
)

func (d *Dispatcher) serveGeneration(ctx context.Context, o *Request, sink Sink) error {
	g := &generation{Dispatcher: d, order: o, sink: sink, asked: d.askedAt(o), relay: eventstream.NewRelay(o.Metadata.LastEvent, o.Metadata.IsResumed)}
	defer g.logStream()
	defer func() { g.releaseHandle(g.unused) }()
	var last error
	for range maxPlacements {
		err := g.place(ctx)
		if err == nil {
			return nil
		}
		last = err
		var failure *Failure
		if errors.As(err, &failure) {
			if g.isStarted || g.runs > 0 {
				return g.failure(ctx, failure) // a refusal would say that it has not run
			}
			return failure
		}
		moved := (*movedRun)(nil)
		if errors.As(err, &moved) {
			g.resumeAt = moved
			continue
		}
		if errors.Is(err, ErrTruncated) || ctx.Err() != nil || !g.mayGoOn(err) {
			break
		}
		g.logger.WithFields(o.fields()).WithFields(log.Fields{"error": err.Error(), "runs": g.runs, "events": g.relay.Last()}).Info("stream placed again")
	}
	return g.failure(ctx, last)
}

// mayGoOn reports whether the request may be offered to another server.
func (g *generation) mayGoOn(err error) bool {
	if isFree(err) {
		return true
	}
	return g.order.Route.IsResumable && g.runs < max(g.order.Route.MaxServers, 1)
}

func (g *generation) failure(ctx context.Context, last error) error {
	if g.isStarted {
		return fmt.Errorf("%w: %v", ErrTruncated, last) // a cut answer is not a refusal as well
	}
	retryAfter := fullRetryAfter
	if ctx.Err() != nil {
		retryAfter = 0 // the caller's time is over
	}
	return finalFailure(ctx, g.runs, last, retryAfter)
}

// place runs the request at one decode server.
func (g *generation) place(ctx context.Context) error {
	if moved := g.resumeAt; moved != nil {
		g.resumeAt = nil
		return g.goOn(ctx, moved)
	}
	room, err := g.takeRoom(ctx)
	if err != nil {
		return err
	}
	g.timing.roomAt = time.Now()
	g.begin(room.server.ID, room.tokens)
	defer g.end(room.server.ID, room.tokens)
	source, err := g.prefill(ctx, room.server)
	if err != nil {
		g.releaseHold(room)
		return err
	}
	g.timing.promptAt = time.Now()
	if g.sent && !g.mayRepeat(g.order) {
		g.releaseHold(room)
		g.releaseHandle(source)
		return &Failure{Status: http.StatusServiceUnavailable, RetryAfter: fullRetryAfter, Reason: "retry budget is used up"}
	}
	return g.decode(ctx, room, source)
}
