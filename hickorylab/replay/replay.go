// Package replay sends the requests of a trace at their recorded times and compares
// the outcomes with the stated ones.
package replay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/client"
	"github.com/hickoryfront/hickoryfront/hickorylab/trace"
)

// ErrOutcomeDiffers means that an outcome differs from the stated one.
var ErrOutcomeDiffers = errors.New("outcome differs")

type (
	// Options are the options of a replay.
	Options struct {
		Hosts         []string      // caller addresses of the daemons
		CallerTimeout time.Duration // time after which a caller abandons its request
	}

	// result is the outcome of one request.
	result struct {
		response  client.Response
		err       error
		cancelled bool // the caller cancelled the request
	}

	// sender sends one request at its time in the trace.
	sender struct {
		ctx      context.Context
		client   *client.Client
		options  Options
		begin    time.Time
		request  trace.Request
		received *result
	}
)

// Run replays a trace and compares the outcomes with the stated ones. The error is
// ErrOutcomeDiffers and names the first difference, in the order of the outcomes.
func Run(ctx context.Context, o Options, requests []trace.Request, outcomes []trace.Outcome) error {
	results := sendAll(ctx, o, requests)
	for _, stated := range outcomes {
		if err := compare(stated, results); err != nil {
			return fmt.Errorf("%w: request %s: %w", ErrOutcomeDiffers, stated.ID, err)
		}
	}
	return nil
}

// sendAll sends all requests and returns their results by request ID.
func sendAll(ctx context.Context, o Options, requests []trace.Request) map[string]*result {
	results := make(map[string]*result, len(requests))
	callers := client.New()
	begin := time.Now()
	var group sync.WaitGroup
	for _, request := range requests {
		received := &result{}
		results[request.ID] = received
		group.Go(sender{ctx: ctx, client: callers, options: o, begin: begin, request: request, received: received}.run)
	}
	group.Wait()
	return results
}

func (s sender) run() {
	sleep(s.ctx, time.Until(s.begin.Add(s.request.At())))
	limit := s.options.CallerTimeout
	if cancel := s.request.CancelAfter(); cancel > 0 {
		limit = cancel
	}
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	s.received.response, s.received.err = s.send(ctx)
	s.received.cancelled = s.request.CancelAfter() > 0 && ctx.Err() != nil
}

func (s sender) send(ctx context.Context) (client.Response, error) {
	r := s.request
	host := s.options.Hosts[r.Host%len(s.options.Hosts)]
	if r.Kind == trace.KindCompletion {
		return s.client.Complete(ctx, host, client.Completion{
			Workspace: r.Workspace, Service: r.Service, Model: r.Model, Prompt: r.Prompt(), Tokens: r.Tokens, Key: r.Key,
		})
	}
	return s.client.Call(ctx, host, client.Call{
		Workspace: r.Workspace, Service: r.Service, Method: r.Method, Path: r.Path, Key: r.Key, Body: r.Body,
	})
}

// compare returns the first difference between a stated outcome and the result.
func compare(stated trace.Outcome, results map[string]*result) error {
	got := results[stated.ID]
	if stated.Cancelled {
		return nil // the outcome of a cancelled request depends on timing and is not checked
	}
	if got.err != nil {
		return fmt.Errorf("incomplete response: %w", got.err)
	}
	switch {
	case stated.Status != 0 && got.response.Status != stated.Status:
		return fmt.Errorf("status %d (%s), stated %d", got.response.Status, got.response.Body, stated.Status)
	case stated.Ran != "" && got.response.Ran != stated.Ran:
		return fmt.Errorf("ran %q, stated %q", got.response.Ran, stated.Ran)
	case stated.Code != "" && got.response.Code != stated.Code:
		return fmt.Errorf("code %q, stated %q", got.response.Code, stated.Code)
	case stated.Complete && got.response.Tokens == 0:
		return errors.New("no tokens, stated a complete response")
	}
	return compareWithOther(stated, got, results)
}

// compareWithOther checks that a result has the same response as that of the request
// SameAs, if the outcome states one.
func compareWithOther(stated trace.Outcome, got *result, results map[string]*result) error {
	if stated.SameAs == "" {
		return nil
	}
	other := results[stated.SameAs].response
	if got.response.Body != other.Body || got.response.Text != other.Text {
		return fmt.Errorf("response %q, that of %s is %q", got.response.Body+got.response.Text, stated.SameAs, other.Body+other.Text)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
