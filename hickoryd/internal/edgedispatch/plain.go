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
	// maxBufferedResponseBytes is the maximum size of a response that is buffered completely
	// before the caller gets any of it, so that the request can still be retried. It
	// also bounds what readRest reads.
	maxBufferedResponseBytes = 256 << 10
	// maxPlainAttempts is the maximum number of servers that one request is sent to.
	maxPlainAttempts = 4
	// slowShare is the part of the target latency after which a safe request without
	// a response is sent to another server.
	slowShare = 0.6
	// shortRetryAfter is the Retry-After of a plain request that no server has run:
	// the time after which a server may be free.
	shortRetryAfter = 300 * time.Millisecond
)

var (
	// errNotRun means that the server responded that it did not run the request.
	errNotRun = errors.New("the server did not run the request")
	// errInvalid means that the response must not be forwarded to a caller.
	errInvalid = errors.New("the answer is not valid")
	// errSlow means that the server did not respond within slowShare of the target
	// latency while another server may still be tried.
	errSlow = fmt.Errorf("no response from the server within %.0f%% of the target latency", slowShare*100)
)

// plainCall is one request to a plain service, with the state of its attempts.
type plainCall struct {
	*Dispatcher
	request *Request
	tried   []string
	// runs is the number of servers that may have run the request.
	runs int
}

// servePlain makes attempts at servers until one completes the request or the request
// can't be retried.
func (d *Dispatcher) servePlain(ctx context.Context, r *Request, sink Sink) error {
	call := &plainCall{Dispatcher: d, request: r}
	var last error
	var buffered *bufferedResponse
	for attempts := 0; attempts < maxPlainAttempts; attempts++ {
		server, ok := d.pick(balance.Criteria{Service: r.Route.Service, FailureDomain: d.options.FailureDomain, Excluded: call.tried})
		if !ok {
			break
		}
		if attempts > 0 && !errors.Is(last, upstream.ErrNotSent) && !d.takeRetry(r) {
			break
		}
		response, err := call.attempt(ctx, server, sink)
		if errors.Is(err, ErrTruncated) {
			return err
		}
		if err == nil && response == nil {
			return nil // the response was streamed to the caller
		}
		if err == nil && (response.response.StatusCode < http.StatusInternalServerError || !call.mayRetry()) {
			return response.send(sink)
		}
		if err == nil {
			buffered = response
		}
		last = err
		if ctx.Err() != nil || !cannotHaveRun(err) && !call.mayRetry() {
			break
		}
	}
	if buffered != nil {
		return buffered.send(sink)
	}
	return finalFailure(ctx, call.runs, last, shortRetryAfter)
}

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	response *http.Response
	body     []byte
}

func (r *bufferedResponse) send(sink Sink) error {
	header := platform.ResponseHeader(r.response.Header)
	if len(r.body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	if err := sink.Start(r.response.StatusCode, header); err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if err := sink.Write(r.body); err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return nil
}

// mayRetry reports whether the request may be sent to another server although a server
// may have run it already.
func (c *plainCall) mayRetry() bool {
	return c.request.Route.IsRetryable() && c.runs < max(c.request.Route.MaxServers, 1)
}

// attempt sends the request to one server and records the outcome. The response is nil
// if it was too long to be buffered and was streamed to the caller.
func (c *plainCall) attempt(ctx context.Context, server serverlist.Server, sink Sink) (*bufferedResponse, error) {
	c.tried = append(c.tried, server.ID)
	c.beginRequest(server.ID, 0)
	defer c.endRequest(server.ID, 0)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if c.request.Route.Kind == route.Safe && c.runs+1 < c.request.Route.MaxServers {
		slow := time.AfterFunc(time.Duration(slowShare*float64(c.request.Route.LatencyTarget)), func() { cancel(errSlow) })
		defer slow.Stop()
	}
	response, err := c.exchange(ctx, server, sink)
	c.recordOutcome(ctx, server, response, err)
	return response, err
}

// exchange sends the request to one server and reads the response.
func (c *plainCall) exchange(ctx context.Context, server serverlist.Server, sink Sink) (*bufferedResponse, error) {
	response, err := c.send(ctx, server, c.request, platform.Attempt{})
	if err != nil {
		if errors.Is(err, upstream.ErrMayHaveRun) {
			c.runs++
		}
		return nil, err
	}
	defer response.Close()
	if response.Metadata.IsNotRun {
		readRest(response)
		return nil, fmt.Errorf("%w: status %d", errNotRun, response.StatusCode)
	}
	c.runs++
	if !response.Metadata.HasStamp || response.Metadata.IsEncoded {
		return nil, fmt.Errorf("%w: status %d, stamped %t, encoded %t", errInvalid, response.StatusCode, response.Metadata.HasStamp, response.Metadata.IsEncoded)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrMayHaveRun, err)
	}
	if len(body) == maxBufferedResponseBytes && !response.IsComplete() {
		return nil, c.forward(response, body, sink)
	}
	return &bufferedResponse{response: response.Response, body: body}, nil
}

// forward streams a long response to the caller. prefix is the part that was already
// read.
func (c *plainCall) forward(response *upstream.Response, prefix []byte, sink Sink) error {
	err := sink.Start(response.StatusCode, platform.ResponseHeader(response.Header))
	buffer := prefix
	for err == nil {
		if err = sink.Write(buffer); err != nil {
			break
		}
		buffer = buffer[:cap(buffer)]
		n, readErr := response.Body.Read(buffer)
		buffer = buffer[:n]
		if readErr == io.EOF && n == 0 {
			return nil
		}
		if readErr != nil && readErr != io.EOF {
			err = readErr
		}
	}
	return fmt.Errorf("%w: %w", ErrTruncated, err)
}

// recordOutcome records the outcome of an attempt in the server's health.
func (c *plainCall) recordOutcome(ctx context.Context, server serverlist.Server, response *bufferedResponse, err error) {
	result := health.Success
	switch {
	case err == nil && response != nil && response.response.StatusCode >= http.StatusInternalServerError:
		result = health.Failure
	case err == nil:
	case errors.Is(context.Cause(ctx), errSlow):
		result = health.Broken
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return // the caller disconnected
	case errors.Is(err, upstream.ErrNotSent):
		result = health.Unreachable
	case errors.Is(err, errNotRun):
		c.markFull(server.ID)
		result = health.Failure
	default:
		result = health.Broken
		if ctx.Err() == nil {
			c.checkReachable(c.request, server)
		}
	}
	c.recordResult(server.ID, result)
	if result != health.Success {
		c.logger.WithFields(c.request.logFields()).WithFields(log.Fields{
			"server": server.ID, "tries": len(c.tried), "runs": c.runs, "result": resultNames[result], "error": fmt.Sprint(err),
		}).Info("attempt failed")
	}
}

var resultNames = map[health.Result]string{
	health.Success: "success", health.Failure: "failure", health.Broken: "broken", health.Unreachable: "unreachable",
}

// readRest reads the rest of a short response, so that its connection can be reused.
func readRest(response *upstream.Response) []byte {
	var body bytes.Buffer
	_, _ = io.Copy(&body, io.LimitReader(response.Body, maxBufferedResponseBytes)) // after an error the body is incomplete and the connection is not reused
	return body.Bytes()
}
