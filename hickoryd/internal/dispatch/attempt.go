package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/prefix"
	"github.com/hickoryfront/hickoryfront/core/tokenstream"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
)

const (
	// maxResumes bounds the resumes of one stream without a token between.
	maxResumes = 2
	// resumeTimeout is the wait for the head of a resumed stream: an engine
	// answers it at once.
	resumeTimeout = 500 * time.Millisecond
	// minOpenTimeout is the wait for the head of a stream besides the time
	// that its transfer or prompt takes.
	minOpenTimeout = 2 * time.Second
	// transferRate is the slowest transfer, in bytes per second, that is not
	// taken for a stalled one.
	transferRate = 100 << 20
	// minSilence keeps short pauses of a busy host from being taken for
	// silence.
	minSilence        = 250 * time.Millisecond
	minFirstTokenWait = 2 * time.Second
)

type (
	// attempt is one try on one decode server.
	attempt struct {
		run    *run
		server backend.Server
		id     string
		number int
		offset int
		sent   bool      // the server may hold something of it
		opened time.Time // when its first stream began
	}

	// limitedStream ends the context that its opening was limited by.
	limitedStream struct {
		TokenStream
		cancel context.CancelFunc
	}
)

func (r *run) begin(server backend.Server) *attempt {
	number, offset := r.assembly.Begin()
	return &attempt{run: r, server: server, id: r.attemptID(number), number: number, offset: offset}
}

// open prefills where that pays and opens the token stream. When the engine
// proves that the KV cache is gone, it is computed once more.
func (a *attempt) open(ctx context.Context) (TokenStream, error) {
	r := a.run
	prompt := r.request.Prompt + r.text.String()
	if r.isolated || r.direct {
		r.dropKV()
		return a.decode(ctx, prompt, nil)
	}
	for again := false; ; again = true {
		if err := r.ensureKV(ctx, a.id, prompt); err != nil {
			return nil, err
		}
		stream, err := a.decode(ctx, prompt, &r.kv.kv)
		r.noteTransfer(ctx, err)
		if !errors.Is(err, engine.ErrGone) {
			return stream, err
		}
		if again || !r.takeRetry() {
			return nil, err
		}
	}
}

func (a *attempt) decode(ctx context.Context, prompt string, kv *engine.KV) (TokenStream, error) {
	r := a.run
	started := time.Now()
	timeout := minOpenTimeout + time.Duration(prefix.Tokens(prompt))*prefillTimePerToken
	if kv != nil {
		timeout = minOpenTimeout + time.Duration(float64(kv.Bytes)/transferRate*float64(time.Second))
	}
	stream, err := openWithin(ctx, timeout, func(ctx context.Context) (TokenStream, error) {
		return r.models.engines.Decode(ctx, a.server, engine.DecodeRequest{
			RequestID: a.id, Model: r.request.Service.Model, Prompt: prompt, KV: kv,
			MaxTokens: r.request.MaxTokens - a.offset, Offset: a.offset, Priority: r.priority(),
		})
	})
	r.note(a.server, err)
	a.sent = a.sent || !errors.Is(err, engine.ErrNotSent)
	if errors.Is(err, engine.ErrBroken) {
		r.checkLoss(ctx, a.server, started)
	}
	return stream, err
}

// relay passes tokens to the sink until the answer is whole. A stream that
// breaks or stays silent is resumed at its offset over a new connection.
func (a *attempt) relay(ctx context.Context, stream TokenStream) error {
	r := a.run
	a.opened = time.Now()
	resumes := 0
	for {
		before := r.assembly.Next()
		err := a.copyTokens(stream)
		stream.Close()
		if err == nil || errors.Is(err, errCallerGone) || ctx.Err() != nil {
			return err
		}
		if r.assembly.Next() > before {
			resumes = 0
		}
		if stream, err = a.resume(ctx, &resumes); err != nil {
			r.failed[a.server.ID] = time.Now()
			r.checkLoss(ctx, a.server, a.opened)
			return err
		}
	}
}

// resume opens the stream again until it succeeds, the engine no longer has
// the request, or the tries are used up.
func (a *attempt) resume(ctx context.Context, resumes *int) (TokenStream, error) {
	r := a.run
	err := errTimeout
	for *resumes < maxResumes && ctx.Err() == nil {
		*resumes++
		r.models.counters.resumed.Inc()
		var stream TokenStream
		stream, err = openWithin(ctx, resumeTimeout, func(ctx context.Context) (TokenStream, error) {
			return r.models.engines.Resume(ctx, a.server, engine.ResumeRequest{RequestID: a.id, Offset: r.assembly.Next()})
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

// copyTokens passes the tokens of one connection on. The time that the caller
// takes to read does not count as silence of the engine.
func (a *attempt) copyTokens(stream TokenStream) error {
	r := a.run
	dog := newWatchdog(stream.Close, r.models.counters.silences)
	defer dog.stop()
	for !r.assembly.Done() {
		token, err := a.next(stream, dog)
		if errors.Is(err, io.EOF) {
			return engine.ErrBroken
		}
		if err != nil {
			return err
		}
		taken, err := r.assembly.Accept(a.number, token)
		if err != nil {
			return err
		}
		if !taken {
			continue
		}
		r.kv = nil // it was decoded from
		r.text.WriteString(token.Text)
		a.endProbation(time.Now())
		if err := r.sink.Token(token); err != nil {
			return errCallerGone
		}
		if stream.Pending() {
			continue // it goes out together with the next token
		}
		if err := r.sink.Flush(); err != nil {
			return errCallerGone
		}
	}
	return nil
}

// next reads the next token. The watchdog runs only while there is something
// to wait for.
func (a *attempt) next(stream TokenStream, dog *watchdog) (tokenstream.Token, error) {
	if stream.Pending() {
		return stream.Next()
	}
	dog.start(a.run.patience())
	defer dog.stop()
	return stream.Next()
}

// patience is the wait for the next token before the stream counts as silent.
func (r *run) patience() time.Duration {
	profile := r.request.Profile
	if r.assembly.Next() == 0 {
		return max(minFirstTokenWait, profile.FirstTokenTarget)
	}
	return max(minSilence, profile.TokenGapTarget*time.Duration(profile.MaxSilentGaps))
}

// release gives the slot back once the engine holds nothing of the attempt.
func (a *attempt) release() {
	a.run.releasePrefill()
	if a.run.assembly.Done() {
		a.run.models.lines.observe(a.run.request.Service.Name, time.Since(a.run.placedAt))
	}
	lines, model := a.run.models.lines, a.run.request.Service.Model
	release := func() {
		a.run.models.slots.Release(a.server.ID, a.id)
		lines.released(time.Now(), model)
	}
	if a.run.assembly.Done() || !a.sent {
		release()
		return
	}
	a.run.models.canceller.Cancel(a.server, a.id, release)
}

// openWithin opens a stream whose head must arrive within timeout.
func openWithin(ctx context.Context, timeout time.Duration, open func(ctx context.Context) (TokenStream, error)) (TokenStream, error) {
	limited, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(timeout, cancel)
	stream, err := open(limited)
	late := !timer.Stop()
	if err == nil && !late {
		return limitedStream{TokenStream: stream, cancel: cancel}, nil
	}
	if err == nil {
		stream.Close()
	}
	cancel()
	if late && ctx.Err() == nil {
		return nil, fmt.Errorf("%w: %w", errTimeout, engine.ErrBroken)
	}
	return nil, err
}

// Close implements TokenStream.
func (s limitedStream) Close() {
	s.TokenStream.Close()
	s.cancel()
}
