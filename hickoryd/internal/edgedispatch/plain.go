package edgedispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/balance"
	"github.com/hickoryfront/hickoryfront/core/health"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// wholeAnswer is the size of an answer, in bytes, up to which it is read
	// whole before the caller gets any of it, so that it can still be repeated.
	wholeAnswer = 256 << 10
	// maxSends bounds the servers that one request is offered to.
	maxSends = 4
	// slowShare is the part of the target latency after which a request that may
	// be repeated is sent to another server.
	slowShare = 0.6
	// shortRetryAfter tells a caller to come back when a server may be free.
	shortRetryAfter = 300 * time.Millisecond
)

var (
	// errNotRun means that the server states that it did not run the request.
	errNotRun = errors.New("the server did not run the request")
	// errInvalid means that the answer is not one that a caller may get.
	errInvalid = errors.New("the answer is not valid")
	// errSlow means that the server took too long for a first try.
	errSlow = errors.New("the server is slow")
)

// plainCall is one request to a plain service with its tries.
type plainCall struct {
	*Dispatcher
	order *Order
	tried []string
	// runs is the number of servers that may have run the request.
	runs int
}

func (d *Dispatcher) servePlain(ctx context.Context, o *Order, sink Sink) error {
	call := &plainCall{Dispatcher: d, order: o}
	var last error
	var held *wholeReply
	for sends := 0; sends < maxSends; sends++ {
		server, ok := d.pick(balance.Criteria{Service: o.Route.Service, FailureDomain: d.options.FailureDomain, Excluded: call.tried})
		if !ok {
			break
		}
		if sends > 0 && !errors.Is(last, upstream.ErrNotSent) && !d.mayRepeat(o) {
			break
		}
		reply, err := call.try(ctx, server, sink)
		if errors.Is(err, ErrCut) {
			return err
		}
		if err == nil && reply == nil {
			return nil // it went through as a stream
		}
		if err == nil && (reply.response.StatusCode < http.StatusInternalServerError || !call.mayRunAgain()) {
			return reply.send(sink)
		}
		if err == nil {
			held = reply
		}
		last = err
		if ctx.Err() != nil || !isFree(err) && !call.mayRunAgain() {
			break
		}
	}
	if held != nil {
		return held.send(sink)
	}
	return finalFailure(ctx, call.runs, last, shortRetryAfter)
}

// wholeReply is an answer that was read whole.
type wholeReply struct {
	response *http.Response
	body     []byte
}

func (r *wholeReply) send(sink Sink) error {
	header := platform.ResponseHeader(r.response.Header)
	if len(r.body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	if err := sink.Start(r.response.StatusCode, header); err != nil {
		return fmt.Errorf("%w: %w", ErrCut, err)
	}
	if err := sink.Write(r.body); err != nil {
		return fmt.Errorf("%w: %w", ErrCut, err)
	}
	return nil
}

func (c *plainCall) mayRunAgain() bool {
	return c.order.Route.IsRetryable() && c.runs < max(c.order.Route.MaxServers, 1)
}

// try sends the request to one server. The reply is nil where it was too long to
// hold and went through.
func (c *plainCall) try(ctx context.Context, server serverlist.Server, sink Sink) (*wholeReply, error) {
	c.tried = append(c.tried, server.ID)
	c.begin(server.ID, 0)
	defer c.end(server.ID, 0)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if c.order.Route.Kind == route.Safe && c.runs+1 < c.order.Route.MaxServers {
		slow := time.AfterFunc(time.Duration(slowShare*float64(c.order.Route.TargetLatency)), func() { cancel(errSlow) })
		defer slow.Stop()
	}
	reply, err := c.exchange(ctx, server, sink)
	c.judge(ctx, server, reply, err)
	return reply, err
}

func (c *plainCall) exchange(ctx context.Context, server serverlist.Server, sink Sink) (*wholeReply, error) {
	answer, err := c.send(ctx, server, c.order, platform.Attempt{})
	if err != nil {
		if errors.Is(err, upstream.ErrMayHaveRun) {
			c.runs++
		}
		return nil, err
	}
	defer answer.Close()
	if answer.Metadata.IsNotRun {
		readRest(answer)
		return nil, fmt.Errorf("%w: status %d", errNotRun, answer.StatusCode)
	}
	c.runs++
	if !answer.Metadata.HasStamp || answer.Metadata.IsEncoded {
		return nil, fmt.Errorf("%w: status %d, stamped %t, encoded %t", errInvalid, answer.StatusCode, answer.Metadata.HasStamp, answer.Metadata.IsEncoded)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeAnswer))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrMayHaveRun, err)
	}
	if len(body) == wholeAnswer && !answer.IsComplete() {
		return nil, c.passOn(answer, body, sink)
	}
	return &wholeReply{response: answer.Response, body: body}, nil
}

// passOn sends a long answer on as it comes.
func (c *plainCall) passOn(answer *upstream.Response, begun []byte, sink Sink) error {
	err := sink.Start(answer.StatusCode, platform.ResponseHeader(answer.Header))
	buffer := begun
	for err == nil {
		if err = sink.Write(buffer); err != nil {
			break
		}
		buffer = buffer[:cap(buffer)]
		n, readErr := answer.Body.Read(buffer)
		buffer = buffer[:n]
		if readErr == io.EOF && n == 0 {
			return nil
		}
		if readErr != nil && readErr != io.EOF {
			err = readErr
		}
	}
	return fmt.Errorf("%w: %w", ErrCut, err)
}

// judge takes in how the try went.
func (c *plainCall) judge(ctx context.Context, server serverlist.Server, reply *wholeReply, err error) {
	result := health.Success
	switch {
	case err == nil && reply != nil && reply.response.StatusCode >= http.StatusInternalServerError:
		result = health.Failure
	case err == nil:
	case errors.Is(context.Cause(ctx), errSlow):
		result = health.Broken
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return // the caller left
	case errors.Is(err, upstream.ErrNotSent):
		result = health.Unreachable
	case errors.Is(err, errNotRun):
		c.full(server.ID)
		result = health.Failure
	default:
		result = health.Broken
		if ctx.Err() == nil {
			c.lost(c.order, server)
		}
	}
	c.report(server.ID, result)
	if result != health.Success {
		c.logger.WithFields(c.order.fields()).WithFields(log.Fields{
			"server": server.ID, "tries": len(c.tried), "runs": c.runs, "result": resultNames[result], "error": fmt.Sprint(err),
		}).Info("try failed")
	}
}

var resultNames = map[health.Result]string{
	health.Success: "success", health.Failure: "failure", health.Broken: "broken", health.Unreachable: "unreachable",
}

// readRest reads what is left of a short answer, so that its connection is kept.
func readRest(answer *upstream.Response) []byte {
	var body bytes.Buffer
	_, _ = io.Copy(&body, io.LimitReader(answer.Body, wholeAnswer)) // a cut answer only costs its connection
	return body.Bytes()
}
