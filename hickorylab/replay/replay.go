// Package replay sends the requests of a trace at their times and compares what
// becomes of them with the stated outcomes.
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

// ErrOutcomeDiffers means that an outcome is not the stated one.
var ErrOutcomeDiffers = errors.New("outcome differs")

type (
	// Options says where the trace is replayed.
	Options struct {
		Hosts    []string // callers' addresses of the daemons
		CallerTimeout time.Duration
	}

	// result is what became of one request.
	result struct {
		answer client.Answer
		err    error
		gone   bool // the caller went
	}

	// sender sends one request at its time.
	sender struct {
		ctx      context.Context
		client   *client.Client
		options  Options
		begin    time.Time
		request  trace.Request
		received *result
	}
)

// Run replays a trace and compares outcomes. The error is ErrDiffers and names
// the first difference, in the order of the outcomes.
func Run(ctx context.Context, o Options, requests []trace.Request, outcomes []trace.Outcome) error {
	results := send(ctx, o, requests)
	for _, stated := range outcomes {
		if err := compare(stated, results); err != nil {
			return fmt.Errorf("%w: request %s: %w", ErrOutcomeDiffers, stated.ID, err)
		}
	}
	return nil
}

func send(ctx context.Context, o Options, requests []trace.Request) map[string]*result {
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
	wait(s.ctx, time.Until(s.begin.Add(s.request.At())))
	limit := s.options.CallerTimeout
	if cancel := s.request.CancelAfter(); cancel > 0 {
		limit = cancel
	}
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	s.received.answer, s.received.err = s.send(ctx)
	s.received.gone = s.request.CancelAfter() > 0 && ctx.Err() != nil
}

func (s sender) send(ctx context.Context) (client.Answer, error) {
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

// compare returns the first difference between a stated outcome and what came.
func compare(stated trace.Outcome, results map[string]*result) error {
	got := results[stated.ID]
	if stated.Cancelled {
		return nil // its caller did not wait for an answer
	}
	if got.err != nil {
		return fmt.Errorf("no whole answer: %w", got.err)
	}
	switch {
	case stated.Status != 0 && got.answer.Status != stated.Status:
		return fmt.Errorf("status %d (%s), stated %d", got.answer.Status, got.answer.Body, stated.Status)
	case stated.Ran != "" && got.answer.Ran != stated.Ran:
		return fmt.Errorf("ran %q, stated %q", got.answer.Ran, stated.Ran)
	case stated.Code != "" && got.answer.Code != stated.Code:
		return fmt.Errorf("code %q, stated %q", got.answer.Code, stated.Code)
	case stated.Complete && got.answer.Tokens == 0:
		return errors.New("no tokens, stated a whole answer")
	}
	return compareSame(stated, got, results)
}

func compareSame(stated trace.Outcome, got *result, results map[string]*result) error {
	if stated.SameAs == "" {
		return nil
	}
	other := results[stated.SameAs].answer
	if got.answer.Body != other.Body || got.answer.Text != other.Text {
		return fmt.Errorf("answer %q, that of %s is %q", got.answer.Body+got.answer.Text, stated.SameAs, other.Body+other.Text)
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
