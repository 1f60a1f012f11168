// Package dispatch runs accepted requests: it reserves, prefills, decodes,
// resumes and retries until the caller has its whole answer once.
package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/answer"
	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/core/prefix"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
)

const (
	maxAttempts      = 4
	slotPollInterval = 20 * time.Millisecond
	prefillTimeout   = 30 * time.Second
	retryAfterFull   = time.Second
	reserveLifetime  = 10 * time.Minute

	priorityInteractive = 0
	priorityDeferrable  = 10
)

type (
	// ModelRequest is one accepted completion request.
	ModelRequest struct {
		ID        string
		Workspace string
		Service   config.Service
		Profile   config.Profile
		Prompt    string
		MaxTokens int
		ArrivedAt time.Time
	}

	// Sink takes the tokens of an answer, in order and each once. An error
	// means that the caller is gone.
	Sink interface {
		Token(token answer.Token) error
	}

	// Engines is what model requests need of the engines.
	Engines interface {
		Prefill(ctx context.Context, server backend.Server, request engine.PrefillRequest) (engine.PrefillReply, error)
		Decode(ctx context.Context, server backend.Server, request engine.DecodeRequest) (TokenStream, error)
		Resume(ctx context.Context, server backend.Server, request engine.ResumeRequest) (TokenStream, error)
	}

	// TokenStream is one attempt's stream of tokens.
	TokenStream interface {
		Next() (answer.Token, error)
		Close()
	}

	// Slots reserves slots at their homes.
	Slots interface {
		Holder() slot.Holder
		Reserve(ctx context.Context, now time.Time, server backend.Server, requestID string, terms slot.Terms) error
		Release(serverID, requestID string)
	}

	// Directory is what placement sees of the servers.
	Directory interface {
		Candidates(model string) []placement.Candidate
		SetLeaving(id string)
	}

	// Models runs model requests. It is safe for concurrent use.
	Models struct {
		failureDomain string
		policy        placement.Policy
		engines       Engines
		slots         Slots
		directory     Directory
		canceller     *Canceller
		wasted        *metrics.Counter
		resumed       *metrics.Counter
		retried       *metrics.Counter
	}

	// run is the state of one request.
	run struct {
		models   *Models
		request  ModelRequest
		sink     Sink
		assembly answer.Assembly
		text     string // tokens taken so far
	}
)

var (
	errCallerGone = errors.New("caller is gone")
	errNoSlot     = errors.New("no slot within the profile's maxWait")
)

// NewModels returns a runner of model requests.
func NewModels(failureDomain string, policy placement.Policy, engines Engines, slots Slots, directory Directory, canceller *Canceller, set *metrics.Set) *Models {
	return &Models{
		failureDomain: failureDomain,
		policy:        policy,
		engines:       engines,
		slots:         slots,
		directory:     directory,
		canceller:     canceller,
		wasted:        set.NewCounter(`hickoryfront_prefill_wasted_tokens_total`),
		resumed:       set.NewCounter(`hickoryfront_streams_resumed_total`),
		retried:       set.NewCounter(`hickoryfront_attempts_retried_total`),
	}
}

// Run answers one request. A nil error means that sink has the whole answer.
// Other errors are of type *refusal.Refusal, or the context's when the caller
// is gone.
func (m *Models) Run(ctx context.Context, request ModelRequest, sink Sink) error {
	r := &run{models: m, request: request, sink: sink}
	var last error
	for attempt := range maxAttempts {
		if attempt > 0 {
			m.retried.Inc()
		}
		last = r.try(ctx)
		if last == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(last, errCallerGone) || errors.Is(last, errNoSlot) || errors.Is(last, engine.ErrInvalid) {
			break
		}
	}
	return r.refuse(last)
}

func (r *run) refuse(err error) error {
	started := r.assembly.Next() > 0
	switch {
	case errors.Is(err, errCallerGone):
		return context.Canceled
	case errors.Is(err, errNoSlot) && !started:
		return refusal.NotRun(refusal.Overloaded, "all engines of model %q are full; try again later", r.request.Service.Model).After(retryAfterFull)
	case errors.Is(err, engine.ErrInvalid):
		return refusal.MayHaveRun(refusal.InvalidRequest, "the engine refused the request: %v", err)
	}
	return refusal.MayHaveRun(refusal.BackendFailed, "no engine of model %q could finish the request: %v", r.request.Service.Model, err).After(retryAfterFull)
}

// try runs one attempt from reservation to the last token.
func (r *run) try(ctx context.Context) error {
	server, err := r.reserve(ctx)
	if err != nil {
		return err
	}
	attempt, offset := r.assembly.Begin()
	attemptID := r.attemptID(attempt)
	defer r.release(server, attemptID)
	stream, err := r.start(ctx, server, attemptID, offset)
	if err != nil {
		r.noteLeaving(server, err)
		return err
	}
	return r.relay(ctx, server, attemptID, attempt, stream)
}

// start prefills where that pays and opens the token stream.
func (r *run) start(ctx context.Context, server backend.Server, attemptID string, offset int) (TokenStream, error) {
	prompt := r.request.Prompt + r.text
	decode := engine.DecodeRequest{
		RequestID: attemptID, Model: r.request.Service.Model, Prompt: prompt,
		MaxTokens: r.request.MaxTokens - offset, Offset: offset, Priority: r.priority(),
	}
	if prefix.Tokens(prompt) > r.request.Profile.DirectPrompt {
		kv, err := r.prefill(ctx, attemptID, prompt)
		if err != nil {
			return nil, err
		}
		decode.KV = kv
	}
	stream, err := r.models.engines.Decode(ctx, server, decode)
	if err != nil && decode.KV != nil {
		r.models.wasted.Add(prefix.Tokens(prompt))
	}
	return stream, err
}

func (r *run) prefill(ctx context.Context, attemptID, prompt string) (*engine.KV, error) {
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	servers := r.plan(time.Now()).Prefill
	err := errors.New("no prefill server is listed")
	for _, server := range servers {
		var reply engine.PrefillReply
		reply, err = r.models.engines.Prefill(ctx, server, engine.PrefillRequest{
			RequestID: attemptID, Model: r.request.Service.Model, Prompt: prompt, Priority: r.priority(),
		})
		if err == nil {
			return &reply.KV, nil
		}
		r.noteLeaving(server, err)
		if ctx.Err() != nil {
			r.models.canceller.Cancel(server, attemptID, nil)
			return nil, ctx.Err()
		}
	}
	return nil, err
}

// relay passes tokens to the sink until the answer is whole. A stream that
// breaks or stays silent is resumed over a new connection.
func (r *run) relay(ctx context.Context, server backend.Server, attemptID string, attempt int, stream TokenStream) error {
	resumes := 0
	for {
		err := r.copyTokens(attempt, stream)
		stream.Close()
		if err == nil || errors.Is(err, errCallerGone) || ctx.Err() != nil {
			return err
		}
		if resumes >= maxAttempts {
			return err
		}
		resumes++
		r.models.resumed.Inc()
		request := engine.ResumeRequest{RequestID: attemptID, Offset: r.assembly.Next()}
		if stream, err = r.models.engines.Resume(ctx, server, request); err != nil {
			return err
		}
	}
}

func (r *run) copyTokens(attempt int, stream TokenStream) error {
	watchdog := time.AfterFunc(r.silence(), stream.Close)
	defer watchdog.Stop()
	for !r.assembly.Done() {
		token, err := stream.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = engine.ErrBroken
			}
			return err
		}
		watchdog.Reset(r.silence())
		taken, err := r.assembly.Accept(attempt, token)
		if err != nil {
			return err
		}
		if !taken {
			continue
		}
		r.text += token.Text
		if err := r.sink.Token(token); err != nil {
			return errCallerGone
		}
	}
	return nil
}

func (r *run) silence() time.Duration {
	const minSilence = 250 * time.Millisecond
	return max(minSilence, r.request.Profile.TokenGapTarget*time.Duration(r.request.Profile.SilentGaps))
}

func (r *run) priority() int {
	if r.request.Profile.Class == config.ClassDeferrable {
		return priorityDeferrable
	}
	return priorityInteractive
}

func (r *run) noteLeaving(server backend.Server, err error) {
	if errors.Is(err, engine.ErrLeaving) {
		r.models.directory.SetLeaving(server.ID)
	}
}

// release gives the slot back once the engine holds nothing of the attempt.
func (r *run) release(server backend.Server, attemptID string) {
	release := func() { r.models.slots.Release(server.ID, attemptID) }
	if r.assembly.Done() {
		release()
		return
	}
	r.models.canceller.Cancel(server, attemptID, release)
}

func (r *run) terms() slot.Terms {
	return slot.Terms{Lifetime: reserveLifetime}
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
