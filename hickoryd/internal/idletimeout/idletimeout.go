// Package idletimeout limits an HTTP call by the time without progress instead of by its
// total time, so that a large response over a slow link is not cut off while it arrives.
package idletimeout

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// ErrTimeout means that a call made no progress within the timeout.
var ErrTimeout = errors.New("no progress within the timeout")

type (
	// Transport is an http.RoundTripper that cancels a call which makes no progress: no
	// byte of the request is sent and no byte of the response's body arrives. It is safe
	// for concurrent use.
	Transport struct {
		base    http.RoundTripper
		timeout time.Duration
	}

	// wait is what WithWait adds to a context.
	wait struct {
		duration time.Duration
		onStart  func()
	}

	waitKey struct{}

	// call is one call in progress.
	call struct {
		ctx     context.Context
		cancel  context.CancelCauseFunc
		timer   *time.Timer
		timeout time.Duration
		onStart func()
	}

	// requestBody counts the reads of a request's body as progress.
	requestBody struct {
		io.ReadCloser
		call *call
	}

	// responseBody counts the bytes of a response's body as progress.
	responseBody struct {
		io.ReadCloser
		call *call
	}
)

// NewTransport returns a transport that makes its calls over base and cancels a call after
// timeout without progress.
func NewTransport(base http.RoundTripper, timeout time.Duration) *Transport {
	return &Transport{base: base, timeout: timeout}
}

// WithWait returns a context for calls that the server may hold for duration before it
// responds, in addition to the timeout. If onStart is not nil, it is called when the first
// byte of the response's body has arrived.
func WithWait(ctx context.Context, duration time.Duration, onStart func()) context.Context {
	if onStart == nil {
		onStart = func() {}
	}
	return context.WithValue(ctx, waitKey{}, wait{duration, sync.OnceFunc(onStart)})
}

// RoundTrip implements http.RoundTripper. Its error and those of the response's body wrap
// ErrTimeout if the call was canceled.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	c := t.begin(request.Context())
	request = request.WithContext(c.ctx)
	if request.Body != nil && request.Body != http.NoBody {
		request.Body = &requestBody{request.Body, c}
	}
	response, err := t.base.RoundTrip(request)
	if err != nil {
		c.end()
		return nil, c.withCause(err)
	}
	response.Body = &responseBody{response.Body, c}
	return response, nil
}

func (t *Transport) begin(ctx context.Context) *call {
	c := &call{timeout: t.timeout, onStart: func() {}}
	limit := t.timeout
	if w, ok := ctx.Value(waitKey{}).(wait); ok {
		limit += w.duration
		c.onStart = w.onStart
	}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	c.timer = time.AfterFunc(limit, c.cancelIdle)
	return c
}

func (c *call) cancelIdle() {
	c.cancel(ErrTimeout)
}

func (c *call) end() {
	c.timer.Stop()
	c.cancel(nil)
}

// withCause returns err, and that the call was canceled for want of progress if it was.
func (c *call) withCause(err error) error {
	if errors.Is(context.Cause(c.ctx), ErrTimeout) && !errors.Is(err, ErrTimeout) {
		return fmt.Errorf("%w of %v: %w", ErrTimeout, c.timeout, err)
	}
	return err
}

// Read implements io.Reader. It is called when the bytes before have been sent.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.call.timer.Reset(b.call.timeout)
	}
	return n, err
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.call.onStart()
		b.call.timer.Reset(b.call.timeout)
	}
	if err != nil {
		b.call.timer.Stop()
		if err != io.EOF {
			err = b.call.withCause(err)
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.call.end()
	return err
}
