package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/attempts"
	"github.com/hickoryfront/hickoryfront/core/health"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// maxBufferedResponseBytes is the maximum size of a response that is buffered completely
	// before the caller gets any of it, so that the request can still be retried.
	maxBufferedResponseBytes = 256 << 10
	// forwardBytes is the size of the parts in which the rest of a longer response is forwarded.
	forwardBytes = 16 << 10
	// maxDrainedBytes and drainTimeout limit the reading of a response that is not
	// forwarded.
	maxDrainedBytes = 64 << 10
	drainTimeout    = 100 * time.Millisecond
	// maxPlainAttempts is the maximum number of servers that one request is sent to.
	maxPlainAttempts = 4
	// slowShare is the part of the target latency after which a safe request without
	// a response is sent to another server as well.
	slowShare = 0.6
	// minSlow keeps routes with a short target latency from sending every request twice.
	minSlow = 10 * time.Millisecond
	// shortRetryAfter is the least Retry-After of a plain request that no server has run.
	shortRetryAfter = 300 * time.Millisecond
)

var (
	// errNotRun means that the server responded that it did not run the request.
	errNotRun = errors.New("the server did not run the request")
	// errInvalid means that the response must not be forwarded to a caller.
	errInvalid = errors.New("the answer is not valid")
	// errSlow means that the server did not respond within slowShare of the target
	// latency, while another server that got the request later did respond.
	errSlow = fmt.Errorf("no response from the server within %.0f%% of the target latency", slowShare*100)
	// errAnswered means that another server has responded first, which is no fault of
	// this one.
	errAnswered = errors.New("another server has responded")
	// errServerFailure means that the server has run the request and responded with an
	// error.
	errServerFailure = errors.New("the server responded with an error")
)

type (
	// plainCall is one request to a plain service, with the state of its attempts. A
	// safe request may have several attempts in progress at the same time.
	plainCall struct {
		*Dispatcher
		request *Request
		tried   []string
		// withoutPermit is the number of those to which the request was not sent because of
		// their limit.
		withoutPermit int
		// attempts are all attempts, in the order in which they were started.
		attempts []*plainAttempt
		// sent holds a time for each attempt that has reached a server or still may. At
		// each time but the first a retry was taken from the budget.
		sent []time.Time
		// history is what has happened to the request at servers.
		history *attempts.History
		// room is what the home of the service has granted for the first attempt, or nil.
		room *grantedRoom
		// inProgress is the number of attempts that have not ended.
		inProgress int
		// results receives each attempt once its result is set.
		results chan *plainAttempt
	}

	// plainAttempt is one attempt of a plainCall at a server.
	plainAttempt struct {
		*Dispatcher
		request *Request
		server  serverlist.Server
		number  int
		started time.Time
		// room is released when the attempt has ended. It is nil without a grant.
		room *grantedRoom
		// cancel ends the attempt.
		cancel context.CancelCauseFunc
		result plainResult
	}

	// plainResult is the result of an attempt: a response or an error, or both if the
	// server has broken off a long response.
	plainResult struct {
		response *plainResponse
		err      error
		// mayHaveRun is set if the server may have run the request.
		mayHaveRun bool
	}

	// plainResponse is a response that was read completely, or up to
	// maxBufferedResponseBytes, or as far as there was memory for it.
	plainResponse struct {
		response *http.Response
		body     []byte
		// rest is where the rest of a longer response is read from until it is closed,
		// or nil.
		rest *upstream.Response
	}
)

// servePlain makes attempts at servers until one completes the request or the request
// can't be retried. A slow attempt goes on while another server is tried, and the first
// complete response is sent.
func (d *Dispatcher) servePlain(ctx context.Context, r *Request, sink Sink) error {
	call := &plainCall{Dispatcher: d, request: r, history: attempts.New(ruleOf(r.Route)), results: make(chan *plainAttempt, maxPlainAttempts)}
	defer call.finish(ctx)
	if err := call.acquireRoom(ctx); err != nil {
		return err
	}
	call.startNext(ctx) // before the ticker, so that it is slow at the first tick
	slow := time.NewTicker(max(slowAfter(r.Route), minSlow))
	defer slow.Stop()
	var last error
	var failed *plainAttempt // an attempt with a server's error response
	for call.inProgress > 0 || call.startNext(ctx) {
		select {
		case <-slow.C:
			if ctx.Err() == nil && call.mayHedge() {
				call.startNext(ctx)
			}
			continue
		case attempt := <-call.results:
			call.receive(attempt)
			switch {
			case attempt.result.err != nil:
				last = attempt.result.err
			case attempt.result.response.response.StatusCode < http.StatusInternalServerError:
				call.cancelOthers(time.Now(), attempt)
				return attempt.forward(ctx, sink)
			default:
				failed, last = attempt, errServerFailure
			}
		}
		// After the deadline the attempts in progress end at once; each may have run.
		if call.inProgress == 0 && (ctx.Err() != nil || !call.history.MayRun(0)) {
			break
		}
	}
	if failed != nil {
		return failed.forward(ctx, sink)
	}
	if errors.Is(last, upstream.ErrNotSent) {
		if err := call.relay(ctx, sink); !errors.Is(err, errNoRelay) {
			return err
		}
	}
	return finalFailure(ctx, call.history.Runs(), last, d.plainRetryAfter(r))
}

// relay passes the request to another host if no server is in reach. The error is errNoRelay if
// a server is, or if no host takes the request.
func (c *plainCall) relay(ctx context.Context, sink Sink) error {
	if c.request.IsRelayed || c.awaitPaths(ctx, c.request.Route.Service) || ctx.Err() != nil {
		return errNoRelay
	}
	return c.relayAgain(ctx, c.request, sink, c.history)
}

// slowAfter returns the time after which a request without a response is sent to another
// server as well.
func slowAfter(r *route.Route) time.Duration {
	return time.Duration(slowShare * float64(r.LatencyTarget))
}

// startNext starts an attempt at another server. It reports false if there is no other
// server or the retry budget is used up.
func (c *plainCall) startNext(ctx context.Context) bool {
	if len(c.tried)-c.withoutPermit == maxPlainAttempts {
		return false
	}
	server, room, ok := c.next()
	if !ok || !c.countSend(time.Now()) {
		return false
	}
	c.tried = append(c.tried, server.ID)
	c.inProgress++
	ctx, cancel := context.WithCancelCause(ctx)
	attempt := &plainAttempt{Dispatcher: c.Dispatcher, request: c.request, server: server, number: len(c.tried), started: time.Now(), room: room, cancel: cancel}
	c.attempts = append(c.attempts, attempt)
	go attempt.run(ctx, c.results)
	return true
}

// countSend counts an attempt that is sent at now, and takes a retry from the budget unless
// it is the only one that may reach a server. It reports false if the budget is used up.
func (c *plainCall) countSend(now time.Time) bool {
	if len(c.sent) > 0 && !c.takeRetry(now, c.request) {
		return false
	}
	c.sent = append(c.sent, now)
	return true
}

// uncountSend takes back the count of an attempt that never reached a server. Which attempt
// that is doesn't matter: the first one that does reach a server needs no retry.
func (c *plainCall) uncountSend() {
	last := len(c.sent) - 1
	if last > 0 {
		c.returnRetry(c.sent[last], c.request)
	}
	c.sent = c.sent[:last]
}

// receive counts an attempt that has its result.
func (c *plainCall) receive(a *plainAttempt) {
	c.inProgress--
	if a.result.mayHaveRun {
		c.history.Record(attempts.MayHaveRun)
	} else {
		c.history.Record(attempts.NotRun)
	}
	if errors.Is(a.result.err, upstream.ErrNotSent) {
		c.uncountSend()
	}
	if errors.Is(a.result.err, errNoPermit) {
		c.withoutPermit++
	}
}

// cancelOthers cancels all attempts but winner, which has its response at now. The server
// of a slow attempt is at fault only if winner was started later: otherwise the request
// itself may take long.
func (c *plainCall) cancelOthers(now time.Time, winner *plainAttempt) {
	for _, a := range c.attempts {
		switch {
		case a == winner:
		case a.started.Before(winner.started) && now.Sub(a.started) >= slowAfter(c.request.Route):
			a.cancel(errSlow)
		default:
			a.cancel(errAnswered)
		}
	}
}

// finish cancels the attempts in progress, waits for them and closes the responses that
// were not forwarded.
func (c *plainCall) finish(ctx context.Context) {
	for _, a := range c.attempts {
		a.cancel(errAnswered)
	}
	for c.inProgress > 0 {
		c.receive(<-c.results)
	}
	for _, a := range c.attempts {
		a.close(ctx, nil)
	}
}

// mayHedge reports whether a slow request may be sent to another server as well.
func (c *plainCall) mayHedge() bool {
	return c.request.Route.Kind == route.Safe && c.request.Route.LatencyTarget > 0 && c.history.MayRun(c.inProgress)
}

// run sends the request to the server. The attempt ends with its result, or when the rest
// of a long response is closed.
func (a *plainAttempt) run(ctx context.Context, results chan<- *plainAttempt) {
	a.beginRequest(a.server.ID, 0)
	suspicion := time.AfterFunc(suspectDelay, a.suspect)
	defer suspicion.Stop()
	if a.acquirePermit(ctx, a.server) {
		a.result = a.exchange(ctx)
	} else {
		a.result.err = errNoPermit
	}
	if !a.hasRest() {
		a.end(ctx)
	}
	results <- a
}

// suspect starts a check of the paths to the servers, since the server has not responded for
// long.
func (a *plainAttempt) suspect() {
	a.suspectPaths(a.server)
}

// end records that the attempt has ended, and its outcome.
func (a *plainAttempt) end(ctx context.Context) {
	a.endRequest(a.server.ID, 0)
	a.releaseRoom(ctx)
	a.recordOutcome(ctx)
}

func (a *plainAttempt) hasRest() bool {
	return a.result.response != nil && a.result.response.rest != nil
}

// close closes the rest of a long response, if there is one, and ends the attempt. err is
// the error with which the server has broken off the response, or nil.
func (a *plainAttempt) close(ctx context.Context, err error) {
	if !a.hasRest() {
		return
	}
	a.result.response.rest.Close()
	a.result.response.rest = nil
	a.result.err = err
	a.end(ctx)
}

// exchange sends the request to the server and reads the response, a long one up to
// maxBufferedResponseBytes.
func (a *plainAttempt) exchange(ctx context.Context) plainResult {
	response, err := a.send(ctx, a.server, a.request, platform.Attempt{})
	if err != nil {
		return plainResult{err: err, mayHaveRun: errors.Is(err, upstream.ErrMayHaveRun)}
	}
	if response.Metadata.IsNotRun {
		defer response.Close()
		drain(response)
		return plainResult{err: fmt.Errorf("%w: status %d", errNotRun, response.StatusCode)}
	}
	if !response.Metadata.HasStamp || response.Metadata.IsEncoded {
		defer response.Close()
		err := fmt.Errorf("%w: status %d, stamped %t, encoded %t", errInvalid, response.StatusCode, response.Metadata.HasStamp, response.Metadata.IsEncoded)
		return plainResult{err: err, mayHaveRun: true}
	}
	body, err := response.ReadBody(maxBufferedResponseBytes)
	if err == nil && !response.IsComplete() {
		return plainResult{response: &plainResponse{response: response.Response, body: body, rest: response}, mayHaveRun: true}
	}
	response.Close()
	if err != nil {
		return plainResult{err: fmt.Errorf("%w: %w", upstream.ErrMayHaveRun, err), mayHaveRun: true}
	}
	if err := a.checkEndOfConnection(ctx, a.server, response); err != nil {
		return plainResult{err: err, mayHaveRun: true}
	}
	return plainResult{response: &plainResponse{response: response.Response, body: body}, mayHaveRun: true}
}

// forward sends the response to the caller and closes it.
func (a *plainAttempt) forward(ctx context.Context, sink Sink) error {
	if err := a.result.response.send(sink); err != nil {
		return err
	}
	if !a.hasRest() {
		return nil
	}
	if err := a.forwardRest(ctx, sink); err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return nil
}

// send sends the part of the response that was read to the caller.
func (r *plainResponse) send(sink Sink) error {
	header := platform.ResponseHeader(r.response.Header)
	if len(r.body) > 0 && r.rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	if err := sink.Start(r.response.StatusCode, header); err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	part := len(r.body)
	if r.rest != nil {
		part = forwardBytes // the caller may be as slow with the rest
	}
	for body := r.body; ; {
		next := body[:min(part, len(body))]
		if err := sink.Write(next); err != nil {
			return fmt.Errorf("%w: %w", ErrTruncated, err)
		}
		if body = body[len(next):]; len(body) == 0 {
			return nil
		}
	}
}

// forwardRest streams the part of the response that was not read yet and closes the
// response.
func (a *plainAttempt) forwardRest(ctx context.Context, sink Sink) error {
	r := a.result.response
	r.body = nil
	r.rest.Hold(0)
	buffer := make([]byte, forwardBytes)
	for {
		n, readErr := r.rest.Body.Read(buffer)
		if n > 0 {
			if err := sink.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			readErr = a.checkEndOfConnection(ctx, a.server, r.rest)
			a.close(ctx, readErr)
			return readErr
		}
		if readErr != nil {
			a.close(ctx, readErr)
			return readErr
		}
	}
}

// recordOutcome records the outcome of an attempt in the server's health.
func (a *plainAttempt) recordOutcome(ctx context.Context) {
	r := a.result
	result := health.Success
	switch {
	case r.err == nil && r.response.response.StatusCode >= http.StatusInternalServerError:
		result = health.Failure
	case r.err == nil:
	case errors.Is(context.Cause(ctx), errSlow):
		result = health.Broken
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return // the caller disconnected, or another server has responded
	case errors.Is(r.err, errNoPermit):
		return
	case errors.Is(r.err, upstream.ErrNotSent):
		result = health.Unreachable
	case errors.Is(r.err, errNotRun):
		a.markFull(a.server.ID)
		result = health.Failure
	default:
		result = health.Broken
		if ctx.Err() == nil {
			a.checkReachable(a.request, a.server, 0)
		}
	}
	a.recordResult(a.server.ID, result)
	if result == health.Success {
		a.quarantine.RecordRequestCompletion(time.Now(), a.request.Fingerprint)
	} else {
		a.logger.WithFields(a.request.logFields()).WithFields(log.Fields{
			"server": a.server.ID, "tries": a.number, "mayHaveRun": r.mayHaveRun, "result": resultNames[result], "error": fmt.Sprint(r.err),
		}).Info("attempt failed")
	}
}

var resultNames = map[health.Result]string{
	health.Success: "success", health.Failure: "failure", health.Broken: "broken", health.Unreachable: "unreachable",
}

// drain reads a response that is not forwarded, so that its connection can be reused. It
// returns what it has read within drainTimeout, as the body may have no end.
func drain(response *upstream.Response) []byte {
	return response.ReadRest(maxDrainedBytes, drainTimeout)
}
