package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hickoryfront/hickoryfront/core/eventstream"
	"github.com/hickoryfront/hickoryfront/core/health"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// silenceLimit is the pause after which a stream that can be resumed goes on
	// at another server.
	silenceLimit = 1200 * time.Millisecond
)

// errSilent means that a stream paused for too long.
var errSilent = errors.New("the stream fell silent")

// decode runs the request at a decode server and relays its events.
func (g *generation) decode(ctx context.Context, room seat, source handleAt) error {
	g.tried = append(g.tried, room.server.ID)
	attempt := platform.Attempt{Reservation: room.hold, LastEventID: g.relay.LastID(), IsResumed: g.relay.IsResumed()}
	if source.id != "" {
		attempt.KVSource = platform.KVSource(source.server.Address, source.id)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := g.watch(cancel)
	if watchdog != nil {
		defer watchdog.Stop()
	}
	g.sent = true
	answer, err := g.send(ctx, room.server, g.order, attempt)
	if errors.Is(err, upstream.ErrNotSent) {
		g.report(room.server.ID, health.Unreachable)
		g.releaseHandle(source)
		return err
	}
	if err != nil {
		g.countRun()
		g.broken(ctx, room.server)
		g.releaseHandle(source)
		return err
	}
	defer answer.Close()
	if answer.Metadata.IsNotRun {
		body := readRest(answer)
		g.releaseHold(room)
		if answer.Metadata.IsMisdirected {
			g.unused = source // it was not fetched
		} else {
			g.releaseHandle(source)
			g.full(room.server.ID)
			go g.runLookAt(room.server)
		}
		return fmt.Errorf("%w: status %d: %.80s", errNotRun, answer.StatusCode, body)
	}
	g.countRun()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return g.refusedByServer(room.server, answer)
	}
	if !answer.Metadata.HasStamp || answer.Metadata.IsEncoded {
		g.report(room.server.ID, health.Broken)
		return fmt.Errorf("%w: status %d", errInvalid, answer.StatusCode)
	}
	err = g.forward(ctx, answer, watchdog, room.server)
	if moved := (*movedRun)(nil); errors.As(err, &moved) {
		return err
	}
	if err != nil {
		if !errors.Is(err, ErrCut) {
			g.broken(ctx, room.server)
		}
		return err
	}
	g.report(room.server.ID, health.Success)
	return nil
}

// countRun counts a server that may have run the request. A run that goes on
// from its own memory is the same run.
func (g *generation) countRun() {
	if !g.isMoved {
		g.runs++
	}
	g.isMoved = false
}

// refusedByServer passes a server's own failure on, unless the request may go on
// elsewhere.
func (g *generation) refusedByServer(server serverlist.Server, answer *upstream.Response) error {
	g.report(server.ID, health.Failure)
	body := readRest(answer)
	err := fmt.Errorf("%w: status %d", errInvalid, answer.StatusCode)
	if g.isStarted || g.mayGoOn(err) || !answer.Metadata.HasStamp {
		return err
	}
	reply := &wholeReply{response: answer.Response, body: body}
	return reply.send(g.sink)
}

// watch returns a timer that ends the attempt when a stream that can be resumed
// falls silent, or nil.
func (g *generation) watch(cancel context.CancelCauseFunc) *time.Timer {
	if !g.order.Route.IsResumable || g.runs+1 >= g.order.Route.MaxServers {
		return nil
	}
	return time.AfterFunc(silenceLimit, func() { cancel(errSilent) })
}

// forward relays events until the stream ends.
func (g *generation) forward(ctx context.Context, answer *upstream.Response, watchdog *time.Timer, server serverlist.Server) error {
	if !g.isStarted {
		g.isStarted = true
		if err := g.sink.Start(answer.StatusCode, platform.ResponseHeader(answer.Header)); err != nil {
			return fmt.Errorf("%w: %w", ErrCut, err)
		}
	}
	events := eventstream.NewReader(answer.Body)
	move := newMove(g, server)
	defer move.stop()
	for {
		event, err := events.Next()
		if err != nil {
			if moved := move.result(); moved != nil && !events.IsComplete(err) {
				return moved
			}
			return g.ended(ctx, events, err)
		}
		move.check(ctx)
		if watchdog != nil {
			watchdog.Reset(silenceLimit)
		}
		isNew, err := g.relay.Accept(event)
		if err != nil {
			return fmt.Errorf("%w: %w", upstream.ErrMayHaveRun, err)
		}
		if !isNew {
			continue
		}
		g.timing.event(time.Now())
		if err := g.sink.Write(event.Bytes); err != nil {
			return fmt.Errorf("%w: %w", ErrCut, err)
		}
	}
}

// ended returns nil where the stream ended as it should.
func (g *generation) ended(ctx context.Context, events *eventstream.Reader, err error) error {
	if events.IsComplete(err) {
		return nil
	}
	if ctx.Err() != nil {
		return fmt.Errorf("%w: stream ended after event %d: %w", upstream.ErrMayHaveRun, g.relay.LastID(), ctx.Err())
	}
	return fmt.Errorf("%w: stream ended after event %d: %w", upstream.ErrMayHaveRun, g.relay.LastID(), err)
}

// broken takes in that a server broke off a request, unless the caller left.
func (g *generation) broken(ctx context.Context, server serverlist.Server) {
	isSilent := errors.Is(context.Cause(ctx), errSilent)
	if ctx.Err() != nil && !isSilent {
		return
	}
	g.report(server.ID, health.Broken)
	if !isSilent {
		g.lost(g.order, server)
	}
}
