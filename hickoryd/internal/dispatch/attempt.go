package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/prefix"
	"github.com/hickoryfront/hickoryfront/core/tokenstream"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	// maxResumes is the number of consecutive resumes of one stream that yield
	// no token after which another server is to take over.
	maxResumes = 2
	// resumeTimeout bounds the wait for the head of a resumed stream, which an
	// engine sends at once. It grows with the resumes after maxResumes, up to
	// minOpenTimeout, so that an engine which stays slow is still heard.
	resumeTimeout = 500 * time.Millisecond
	// minOpenTimeout is the wait for the head of a stream, in addition to the
	// time for the transfer or the prefill of its prompt.
	minOpenTimeout = 2 * time.Second
	// minTransferRate, in bytes per second, is the rate below which a transfer
	// counts as stalled.
	minTransferRate = 100 << 20
	// minSilenceTimeout keeps short pauses of a busy host from counting as
	// silence.
	minSilenceTimeout    = 250 * time.Millisecond
	minFirstTokenTimeout = 2 * time.Second
)

type (
	// attempt is one execution of the request on one decode server.
	attempt struct {
		generation *generation
		server     backend.Server
		id         string
		number     int
		offset     int
		sent       bool      // the server may hold state of the attempt
		opened     time.Time // when its first stream was opened
	}

	// callLimit ends a call after limit, once giveUp agrees.
	callLimit struct {
		limit   time.Duration
		giveUp  func(ctx context.Context) bool
		cancel  context.CancelFunc // of the call
		givenUp bool
		done    chan struct{} // closed when the wait has ended
	}

	// limitedStream cancels the context of its opening call when it is closed.
	limitedStream struct {
		TokenStream
		cancel context.CancelFunc
	}
)

func (g *generation) beginAttempt(server backend.Server) *attempt {
	number, offset := g.assembly.Begin()
	return &attempt{generation: g, server: server, id: g.attemptID(number), number: number, offset: offset}
}

// open prefills the prompt, unless the decode server does, and opens the
// token stream. When the engine reports that the KV cache no longer exists, the
// prompt is prefilled once more.
func (a *attempt) open(ctx context.Context) (TokenStream, error) {
	g := a.generation
	prompt := g.request.Prompt + g.text.String()
	if g.isolated || g.direct {
		g.dropKV()
		return a.decode(ctx, prompt, nil)
	}
	for isRetry := false; ; isRetry = true {
		if err := a.ensureKV(ctx, prompt); err != nil {
			return nil, err
		}
		stream, err := a.decode(ctx, prompt, &g.kv.kv)
		g.recordTransferResult(ctx, err)
		if !errors.Is(err, engine.ErrGone) {
			return stream, err
		}
		if isRetry || !g.takeRetry() {
			return nil, err
		}
	}
}

func (a *attempt) decode(ctx context.Context, prompt string, kv *engine.KVHandle) (TokenStream, error) {
	g := a.generation
	started := time.Now()
	timeout := minOpenTimeout + time.Duration(prefix.EstimateTokens(prompt))*prefillTimePerToken
	if kv != nil {
		timeout = minOpenTimeout + time.Duration(float64(kv.Bytes)/minTransferRate*float64(time.Second))
	}
	// The call can't be resumed over a new connection. So its server is avoided only
	// at first: later it may run the next attempt itself.
	avoid := sync.OnceFunc(func() { g.failed[a.server.ID] = time.Now() })
	giveUp := func(ctx context.Context) bool {
		avoid()
		return a.mayGiveUp(ctx, a.server)
	}
	stream, err := openWithin(ctx, timeout, giveUp, func(ctx context.Context) (TokenStream, error) {
		return g.models.engines.Decode(ctx, a.server, engine.DecodeRequest{
			RequestID: a.id, Model: g.request.Service.Model, Prompt: prompt, KV: kv,
			MaxTokens: g.request.MaxTokens - a.offset, Offset: a.offset, Priority: g.priority(),
		})
	})
	g.recordCallResult(a.server, err)
	a.sent = a.sent || !errors.Is(err, engine.ErrNotSent)
	if errors.Is(err, engine.ErrBroken) {
		g.checkServerFailure(ctx, a.server, started)
	}
	return stream, err
}

// relay passes tokens to the sink until the response is complete. A stream that
// breaks or stays silent is resumed at its offset over a new connection.
func (a *attempt) relay(ctx context.Context, stream TokenStream) error {
	g := a.generation
	a.opened = time.Now()
	resumes := 0
	for {
		before := g.assembly.NextOffset()
		err := a.copyTokens(stream)
		stream.Close()
		if err == nil || errors.Is(err, errCallerDisconnected) || ctx.Err() != nil {
			return err
		}
		if g.assembly.NextOffset() > before {
			resumes = 0
		}
		if stream, err = a.resume(ctx, err, &resumes); err != nil {
			g.failed[a.server.ID] = time.Now()
			g.checkServerFailure(ctx, a.server, a.opened)
			return err
		}
	}
}

// resume reopens the stream, which ended with err, until that succeeds or the
// engine no longer has the request. After maxResumes it gives up a stream that
// breaks, but a silent one only once another server can take over or the platform
// no longer lists its server.
func (a *attempt) resume(ctx context.Context, err error, resumes *int) (TokenStream, error) {
	g := a.generation
	for ctx.Err() == nil {
		if *resumes >= maxResumes {
			g.failed[a.server.ID] = time.Now()
			if !errors.Is(err, errTimeout) || a.mayGiveUp(ctx, a.server) {
				break
			}
		}
		*resumes++
		g.models.counters.resumed.Inc()
		timeout := min(minOpenTimeout, resumeTimeout*time.Duration(max(1, *resumes-maxResumes+1)))
		var stream TokenStream
		stream, err = openWithin(ctx, timeout, always, func(ctx context.Context) (TokenStream, error) {
			return g.models.engines.Resume(ctx, a.server, engine.ResumeRequest{RequestID: a.id, Offset: g.assembly.NextOffset()})
		})
		if err == nil {
			return stream, nil
		}
		if errors.Is(err, engine.ErrGone) || errors.Is(err, engine.ErrNotSent) {
			break
		}
	}
	return nil, fmt.Errorf("stream on %s lost: %w", a.server.ID, err)
}

// mayGiveUp reports whether a silent server may be given up: the next attempt is
// secured, or the platform no longer lists the server.
func (a *attempt) mayGiveUp(ctx context.Context, server backend.Server) bool {
	if a.secureNext(ctx) {
		return true
	}
	_, isListed := a.generation.models.directory.Candidate(server.ID)
	return !isListed
}

// secureNext reserves the servers of the next attempt and charges it to the retry
// budget. It waits for no slot and joins no queue, because a request behind this
// one may be able to use the server that this attempt must avoid.
func (a *attempt) secureNext(ctx context.Context) bool {
	g := a.generation
	if g.next != nil {
		return true
	}
	if a.number >= maxAttempts || !g.takeRetry() {
		return false
	}
	held := g.reserved
	server, err := g.place(ctx, time.Now(), g.attemptID(g.assembly.NextAttempt()))
	if err != nil {
		g.models.budget.Deposit(g.request.Service.Name, 1)
		return false
	}
	if held != nil && g.reserved != held {
		g.models.slots.ReleasePrefill(held.server.ID, held.id)
	}
	g.next = &server
	return true
}

// copyTokens passes the tokens of one connection to the sink. The error is
// errTimeout if the connection was silent for too long. The time that the caller
// takes to read does not count as silence of the engine.
func (a *attempt) copyTokens(stream TokenStream) error {
	g := a.generation
	silenceTimer := newWatchdog(stream.Close, g.models.counters.silenceSeconds)
	defer silenceTimer.stop()
	for !g.assembly.Done() {
		token, err := a.next(stream, silenceTimer)
		switch {
		case err != nil && silenceTimer.expired.Load():
			return errTimeout
		case errors.Is(err, io.EOF):
			return engine.ErrBroken
		case err != nil:
			return err
		}
		accepted, err := g.assembly.Accept(a.number, token)
		if err != nil {
			return err
		}
		if !accepted {
			continue
		}
		g.kv = nil // a token was decoded from it, so it is not wasted
		g.text.WriteString(token.Text)
		a.endIsolation(time.Now())
		if err := g.sink.Token(token); err != nil {
			return errCallerDisconnected
		}
		if stream.Pending() {
			continue // the next token is flushed together with this one
		}
		if err := g.sink.Flush(); err != nil {
			return errCallerDisconnected
		}
	}
	return nil
}

// next reads the next token. The watchdog runs only if no line of the stream is
// pending when next is called.
func (a *attempt) next(stream TokenStream, silenceTimer *watchdog) (tokenstream.Token, error) {
	if stream.Pending() {
		return stream.Next()
	}
	silenceTimer.start(a.generation.silenceTimeout())
	defer silenceTimer.stop()
	return stream.Next()
}

// silenceTimeout is the wait for the next token before the stream counts as
// silent.
func (g *generation) silenceTimeout() time.Duration {
	profile := g.request.Profile
	if g.assembly.NextOffset() == 0 {
		return max(minFirstTokenTimeout, profile.FirstTokenTarget)
	}
	return max(minSilenceTimeout, profile.TokenGapTarget*time.Duration(profile.MaxSilentGaps))
}

// release frees the slot once the engine holds no state of the attempt.
func (a *attempt) release() {
	a.generation.releasePrefill(a.id)
	if a.generation.assembly.Done() {
		a.generation.models.waitQueues.observe(a.generation.request.Service.Name, time.Since(a.generation.placedAt))
	}
	waitQueues, model := a.generation.models.waitQueues, a.generation.request.Service.Model
	release := func() {
		a.generation.models.slots.Release(a.server.ID, a.id)
		waitQueues.notifySlotReleased(time.Now(), model)
	}
	if a.generation.assembly.Done() || !a.sent {
		release()
		return
	}
	a.generation.models.canceller.Cancel(a.server, a.id, release)
}

// openWithin opens a stream. If its head does not arrive within limit, the call is
// ended once giveUp agrees, and the error is errTimeout.
func openWithin(ctx context.Context, limit time.Duration, giveUp func(ctx context.Context) bool, open func(ctx context.Context) (TokenStream, error)) (TokenStream, error) {
	openCtx, cancel := context.WithCancel(ctx)
	stop := startCallLimit(ctx, limit, giveUp, cancel)
	stream, err := open(openCtx)
	givenUp := stop()
	if err == nil && !givenUp {
		return limitedStream{TokenStream: stream, cancel: cancel}, nil
	}
	if err == nil {
		stream.Close()
	}
	cancel()
	if givenUp && ctx.Err() == nil {
		return nil, fmt.Errorf("%w: %w", errTimeout, engine.ErrBroken)
	}
	return nil, err
}

// startCallLimit limits a call that begins now. The returned function ends the limit
// after the call and reports whether the call was given up.
func startCallLimit(ctx context.Context, limit time.Duration, giveUp func(ctx context.Context) bool, cancel context.CancelFunc) (stop func() bool) {
	ctx, end := context.WithCancel(ctx)
	l := &callLimit{limit: limit, giveUp: giveUp, cancel: cancel, done: make(chan struct{})}
	go l.run(ctx)
	return func() bool {
		end()
		<-l.done
		return l.givenUp
	}
}

// run waits until ctx ends or the call is given up.
func (l *callLimit) run(ctx context.Context) {
	defer close(l.done)
	for wait := l.limit; timing.Sleep(ctx, wait) == nil; wait = turnCheckInterval {
		if l.giveUp(ctx) {
			l.givenUp = true
			l.cancel()
			return
		}
	}
}

func always(context.Context) bool { return true }

// Close implements TokenStream.
func (s limitedStream) Close() {
	s.TokenStream.Close()
	s.cancel()
}
