package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/balance"
	"github.com/hickoryfront/hickoryfront/core/fleet"
	"github.com/hickoryfront/hickoryfront/core/health"
	"github.com/hickoryfront/hickoryfront/core/stream"
	"github.com/hickoryfront/hickoryfront/core/waiting"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// holdLifetime is how long a reservation waits for its request: a prompt's
	// reading and its transfer.
	holdLifetime = 1900 * time.Millisecond
	// holdTimeout is the longest wait for the answer to a reservation.
	holdTimeout = 300 * time.Millisecond
	// searchLimit bounds the servers that one search for room asks. Those that had
	// none are passed over by the next, so that a few searches ask all of a hundred.
	searchLimit = 16
	// memoryMargin is the memory that is reserved for each expected token: with
	// five to ten requests on a server some are longer than expected, and one that
	// finds no memory has its prompt read again.
	memoryMargin = 1.35
	// fullRetryAfter tells a caller to come back when memory may be free: about
	// the time in which a running request ends.
	fullRetryAfter = 1500 * time.Millisecond
	// prefillTimeout is the longest wait for a prompt to be read: a prompt that is
	// given up was read in vain, so only a silent server should take so long.
	prefillTimeout = 1500 * time.Millisecond
	// readLocallyAfter is the wait at the prefill servers from which the decode
	// server reads the prompt: it takes about as long, at half the speed.
	readLocallyAfter = 350 * time.Millisecond
	// maxPrefills bounds the prefill servers that one prompt is offered to.
	maxPrefills = 2
	// maxPlacements bounds the servers that one stream is offered to.
	maxPlacements = 5
	// silenceLimit is the pause after which a stream that can be resumed goes on
	// at another server.
	silenceLimit = 1200 * time.Millisecond
)

// errSilent means that a stream paused for too long.
var errSilent = errors.New("the stream fell silent")

type (
	// generation is one request to model servers with its tries.
	generation struct {
		*Dispatcher
		order *Order
		// asked is when the caller asked for the first time.
		asked time.Time
		sink  Sink
		relay *stream.Relay
		tried []string
		// runs is the number of decode servers that may have run the request.
		runs     int
		prefills int
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

	// streamTiming is how a stream reached the caller.
	streamTiming struct {
		roomAt, promptAt, firstAt, lastAt time.Time
		longestGap                        time.Duration
		events                            int
	}

	// seat is room at a decode server.
	seat struct {
		server fleet.Server
		hold   string
		tokens int
	}
)

func (d *Dispatcher) serveGeneration(ctx context.Context, o *Order, sink Sink) error {
	g := &generation{Dispatcher: d, order: o, sink: sink, asked: d.askedAt(o), relay: stream.NewRelay(o.Request.LastEvent, o.Request.IsResumed)}
	defer g.logStream()
	var last error
	for range maxPlacements {
		err := g.place(ctx)
		if err == nil {
			return nil
		}
		last = err
		var failure *Failure
		if errors.As(err, &failure) {
			if g.isStarted {
				return fmt.Errorf("%w: %s", ErrCut, failure.Reason)
			}
			return failure
		}
		moved := (*movedRun)(nil)
		if errors.As(err, &moved) {
			g.resumeAt = moved
			continue
		}
		if errors.Is(err, ErrCut) || ctx.Err() != nil || !g.mayGoOn(err) {
			break
		}
		g.logger.WithFields(o.fields()).WithFields(log.Fields{"error": err.Error(), "runs": g.runs, "events": g.relay.Last()}).Info("stream placed again")
	}
	return g.failure(ctx, last)
}

// mayGoOn reports whether the request may be offered to another server.
func (g *generation) mayGoOn(err error) bool {
	if errors.Is(err, upstream.ErrNotSent) || errors.Is(err, errNotRun) {
		return true
	}
	return g.order.Route.IsResumable && g.runs < max(g.order.Route.MaxServers, 1)
}

func (g *generation) failure(ctx context.Context, last error) error {
	if g.isStarted {
		return fmt.Errorf("%w: %w", ErrCut, last)
	}
	reason := "no backend server"
	if last != nil {
		reason = last.Error()
	}
	switch {
	case g.runs == 0 && ctx.Err() == nil:
		return &Failure{Status: http.StatusServiceUnavailable, RetryAfter: fullRetryAfter, Reason: reason}
	case g.runs == 0:
		return &Failure{Status: http.StatusServiceUnavailable, Reason: reason}
	case ctx.Err() != nil:
		return &Failure{Status: http.StatusGatewayTimeout, Reason: reason}
	default:
		return &Failure{Status: http.StatusBadGateway, Reason: reason}
	}
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

// takeRoom reserves memory and a slot at a decode server. A request that can
// still be on time looks for room often; one that is late yields to those, and
// is served when there is room to spare.
func (g *generation) takeRoom(ctx context.Context) (seat, error) {
	tokens := g.order.Request.PromptTokens + int(memoryMargin*float64(g.expectedOutput(g.order)))
	want := balance.Want{Service: g.order.Route.Service, Stage: fleet.Decode, FailureDomain: g.options.FailureDomain, Excluded: g.tried}
	for {
		now := time.Now()
		turn := waiting.TurnAt(now, g.promise())
		if turn.IsOver {
			return seat{}, &Failure{Status: http.StatusServiceUnavailable, RetryAfter: turn.RetryAfter, Reason: "no decode server has room"}
		}
		candidates := g.Dispatcher.order(want)
		for _, server := range candidates[:min(len(candidates), searchLimit)] {
			hold, err := g.hold(ctx, server, tokens)
			if err == nil {
				return seat{server: server, hold: hold, tokens: tokens}, nil
			}
			if ctx.Err() != nil {
				return seat{}, fmt.Errorf("%w: %w", upstream.ErrNotSent, ctx.Err())
			}
		}
		if err := timing.Sleep(ctx, turn.Pause); err != nil {
			return seat{}, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
		}
	}
}

// promise returns what the caller was promised.
func (g *generation) promise() waiting.Promise {
	return waiting.Promise{
		Asked: g.asked, Arrived: g.order.Arrived, Spread: rand.Float64(), Deadline: g.order.Deadline, Target: g.order.Route.TargetLatency,
		IsUnderWay: g.isStarted,
	}
}

func (g *generation) hold(ctx context.Context, server fleet.Server, tokens int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	call, err := platform.HoldCall(server.ID, tokens, holdLifetime)
	if err != nil {
		return "", err
	}
	status, body, err := g.pool.Call(ctx, server.Address, call)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		g.report(server.ID, health.Unreachable)
		return "", err
	case err != nil:
		g.report(server.ID, health.Broken)
		return "", err
	case status != http.StatusOK:
		g.full(server.ID)
		return "", fmt.Errorf("%w: reservation answered %d", errNotRun, status)
	}
	hold, err := platform.DecodeHold(body)
	if err != nil {
		g.report(server.ID, health.Broken)
	}
	return hold, err
}

// prefill has the prompt read at a prefill server and returns where its KV cache
// is fetched from. Where none has time for it, the decode server reads it.
func (g *generation) prefill(ctx context.Context, decode fleet.Server) (handleAt, error) {
	var tried []string
	for range maxPrefills {
		server, wait, ok := g.pickPrefill(g.order, tried, decode.FailureDomain)
		if !ok || wait > readLocallyAfter {
			break
		}
		if !g.hasRepeat(g.order) {
			break // a refusal would count as a repeat
		}
		if g.isRead {
			g.spendRepeat(g.order)
		}
		handle, err := g.prefillAt(ctx, server)
		if err == nil {
			g.isRead = true
			return handle, nil
		}
		if !errors.Is(err, upstream.ErrNotSent) {
			g.spendRepeat(g.order)
		}
		if ctx.Err() != nil {
			return handleAt{}, fmt.Errorf("%w: %w", upstream.ErrNotSent, ctx.Err())
		}
		g.logger.WithFields(g.order.fields()).WithFields(log.Fields{"server": server.ID, "error": err.Error()}).Info("prompt not read")
		tried = append(tried, server.ID)
	}
	g.counters.preparedLocally.Inc()
	return handleAt{}, nil
}

// handleAt is a KV cache that waits at the server that read the prompt.
type handleAt struct {
	server fleet.Server
	id     string
}

func (g *generation) prefillAt(ctx context.Context, server fleet.Server) (handleAt, error) {
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	ticket := g.beginReading(server.ID, g.order.Request.PromptTokens)
	handle, err := g.read(ctx, server)
	g.endReading(ticket, err)
	return handle, err
}

// read sends the prompt to a prefill server.
func (g *generation) read(ctx context.Context, server fleet.Server) (handleAt, error) {
	attempt := platform.Attempt{ServerID: server.ID, IsPrefill: true, LastEvent: g.relay.Last(), IsResumed: g.relay.IsResumed()}
	answer, err := g.pool.Do(ctx, server.Address, g.outbound(g.order, attempt))
	if errors.Is(err, upstream.ErrNotSent) {
		g.report(server.ID, health.Unreachable)
		return handleAt{}, err
	}
	g.prefills++
	if err != nil {
		g.report(server.ID, health.Broken)
		return handleAt{}, err
	}
	defer answer.Close()
	body := discard(answer)
	if answer.StatusCode != http.StatusOK {
		return handleAt{}, fmt.Errorf("%w: reading the prompt answered %d", errNotRun, answer.StatusCode)
	}
	handle, err := platform.DecodeHandle(body)
	if err != nil {
		g.report(server.ID, health.Broken)
		return handleAt{}, err
	}
	g.report(server.ID, health.Success)
	return handleAt{server: server, id: handle.ID}, nil
}

// decode runs the request at a decode server and relays its events.
func (g *generation) decode(ctx context.Context, room seat, source handleAt) error {
	g.tried = append(g.tried, room.server.ID)
	attempt := platform.Attempt{
		ServerID: room.server.ID, Hold: room.hold, LastEvent: g.relay.Last(), IsResumed: g.relay.IsResumed(),
	}
	if source.id != "" {
		attempt.Source = platform.Source(source.server.Address, source.id)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := g.watch(cancel)
	if watchdog != nil {
		defer watchdog.Stop()
	}
	g.sent = true
	answer, err := g.pool.Do(ctx, room.server.Address, g.outbound(g.order, attempt))
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
	if answer.Reply.IsNotRun {
		body := discard(answer)
		g.releaseHandle(source)
		g.releaseHold(room)
		g.full(room.server.ID)
		go g.runLookAt(room.server)
		return fmt.Errorf("%w: status %d: %.80s", errNotRun, answer.StatusCode, body)
	}
	g.countRun()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return g.refusedByServer(room.server, answer)
	}
	if !answer.Reply.HasStamp || answer.Reply.IsEncoded {
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

// runLookAt asks a server that has rejected a request with a reservation whether
// it changes its stage.
func (g *generation) runLookAt(server fleet.Server) {
	ctx, cancel := context.WithTimeout(g.life, releaseTimeout)
	defer cancel()
	status, body, err := g.pool.Call(ctx, server.Address, platform.ReportCall(server.ID))
	if err != nil || status != http.StatusOK {
		return // the rejection itself was noted
	}
	report, err := platform.DecodeReport(body)
	if err != nil {
		g.logger.WithError(err).WithField("server", server.ID).Warn("report passed over")
		return
	}
	if report.IsSwitching || report.Stage != server.Stage {
		g.changing(server.ID)
		g.logger.WithField("server", server.ID).Info("backend server changes its stage")
	}
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
func (g *generation) refusedByServer(server fleet.Server, answer *upstream.Answer) error {
	g.report(server.ID, health.Failure)
	body := discard(answer)
	err := fmt.Errorf("%w: status %d", errInvalid, answer.StatusCode)
	if g.isStarted || g.mayGoOn(err) || !answer.Reply.HasStamp {
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
func (g *generation) forward(ctx context.Context, answer *upstream.Answer, watchdog *time.Timer, server fleet.Server) error {
	if !g.isStarted {
		header := http.Header{}
		platform.CopyReply(header, answer.Header)
		g.isStarted = true
		if err := g.sink.Start(answer.StatusCode, header); err != nil {
			return fmt.Errorf("%w: %w", ErrCut, err)
		}
	}
	events := stream.NewReader(answer.Body)
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
func (g *generation) ended(ctx context.Context, events *stream.Reader, err error) error {
	if events.IsComplete(err) {
		return nil
	}
	if ctx.Err() != nil {
		return fmt.Errorf("%w: stream ended after event %d: %w", upstream.ErrMayHaveRun, g.relay.Last(), ctx.Err())
	}
	return fmt.Errorf("%w: stream ended after event %d: %w", upstream.ErrMayHaveRun, g.relay.Last(), err)
}

// broken takes in that a server broke off a request, unless the caller left.
func (g *generation) broken(ctx context.Context, server fleet.Server) {
	isSilent := errors.Is(context.Cause(ctx), errSilent)
	if ctx.Err() != nil && !isSilent {
		return
	}
	g.report(server.ID, health.Broken)
	if !isSilent {
		g.lost(g.order, server)
	}
}

func (g *generation) releaseHold(room seat) {
	if room.hold != "" {
		go g.runRelease(room.server, platform.ReleaseHoldCall(room.server.ID, room.hold))
	}
}

func (g *generation) releaseHandle(source handleAt) {
	if source.id != "" {
		g.counters.wasted.Inc()
		go g.runRelease(source.server, platform.ReleaseHandleCall(source.server.ID, source.id))
	}
}

func (g *generation) runRelease(server fleet.Server, call platform.Call) {
	ctx, cancel := context.WithTimeout(g.life, releaseTimeout)
	defer cancel()
	if _, _, err := g.pool.Call(ctx, server.Address, call); err != nil {
		g.logger.WithError(err).WithField("server", server.ID).Debug("release not answered; it lapses by itself")
	}
}

func (t *streamTiming) event(now time.Time) {
	if t.events == 0 {
		t.firstAt = now
	} else {
		t.longestGap = max(t.longestGap, now.Sub(t.lastAt))
	}
	t.lastAt = now
	t.events++
}

// logStream writes how the stream went.
func (g *generation) logStream() {
	since := func(at time.Time) string {
		if at.IsZero() {
			return ""
		}
		return at.Sub(g.order.Arrived).Round(time.Millisecond).String()
	}
	r := g.order.Request
	g.logger.WithFields(g.order.fields()).WithFields(log.Fields{
		"promptTokens": r.PromptTokens, "maxOutputTokens": r.MaxOutputTokens, "outputHint": r.OutputHint,
		"servers": g.tried, "runs": g.runs, "prefills": g.prefills, "events": g.timing.events,
		"room": since(g.timing.roomAt), "prompt": since(g.timing.promptAt), "first": since(g.timing.firstAt), "last": since(g.timing.lastAt),
		"longestGap": g.timing.longestGap.Round(time.Millisecond).String(),
	}).Info("stream ended")
}
