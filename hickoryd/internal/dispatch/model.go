// Package dispatch runs accepted requests. Models runs completions: it reserves
// slots, prefills, decodes, resumes and retries until the caller has received
// the complete response exactly once. Plain runs calls of plain services. Keyed
// runs requests of both kinds that have an idempotency key.
package dispatch

import (
	"cmp"
	"context"
	"errors"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/core/retry"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/core/tokenstream"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
)

const (
	maxAttempts      = 4
	slotPollInterval = 20 * time.Millisecond
	// minRetryAfter is the Retry-After of refusals, unless a longer wait for a slot
	// is predicted.
	minRetryAfter = time.Second
	// reservationLifetime is the time until the deadline of a reservation. After it
	// the home queries the holder, and cancels the attempt if the holder does not
	// respond.
	reservationLifetime = 10 * time.Minute

	// Engines run requests with lower priority values first.
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
		Share     float64 // weight of the workspace; 0 means 1
	}

	// Sink receives the tokens of a response, in order and each once. An error
	// means that the caller has disconnected.
	Sink interface {
		Token(token tokenstream.Token) error
		// Flush sends the buffered tokens to the caller.
		Flush() error
	}

	// Engines calls the engines of prefill and decode servers.
	Engines interface {
		Prefill(ctx context.Context, server backend.Server, request engine.PrefillRequest) (engine.PrefillReply, error)
		Decode(ctx context.Context, server backend.Server, request engine.DecodeRequest) (TokenStream, error)
		Resume(ctx context.Context, server backend.Server, request engine.ResumeRequest) (TokenStream, error)
		Uptime(ctx context.Context, server backend.Server) (time.Duration, error)
	}

	// TokenStream is one attempt's stream of tokens. It ends with the context
	// of the call that opened it.
	TokenStream interface {
		Next() (tokenstream.Token, error)
		// Pending reports whether a complete line that is not empty is buffered.
		// Next then returns without waiting, unless it skips all the buffered
		// lines, for example because they are comments.
		Pending() bool
		Close()
	}

	// Slots reserves slots at the homes of the servers.
	Slots interface {
		Holder() slot.Holder
		Reserve(ctx context.Context, now time.Time, server backend.Server, attemptID string, terms slot.Terms) error
		// Force takes a slot without a grant of its home and notifies the home
		// later.
		Force(server backend.Server, attemptID string, terms slot.Terms)
		// UpdateTerms sends the home new terms for a slot that is held.
		UpdateTerms(server backend.Server, attemptID string, terms slot.Terms)
		Release(serverID, attemptID string)
		ReservePrefill(ctx context.Context, now time.Time, server backend.Server, p slot.Prefill) error
		ReleasePrefill(serverID, attemptID string)
	}

	// Prefixes predicts how many tokens of a prompt the prefill servers have
	// cached.
	Prefixes interface {
		CachedTokens(ctx context.Context, now time.Time, model string, servers []backend.Server, hashes []uint64) map[string]int
	}

	// Directory lists the servers that placement may choose from.
	Directory interface {
		Candidates(model string) []placement.Candidate
		Candidate(id string) (placement.Candidate, bool)
		SetLeaving(id string)
	}

	// Crashes tracks the requests that crash the servers that run them.
	Crashes interface {
		Check(ctx context.Context, now time.Time, fingerprint uint64) crash.Decision
		Report(ctx context.Context, now time.Time, fingerprint uint64, server backend.Server)
		ReportSuccess(ctx context.Context, now time.Time, fingerprint uint64)
	}

	// Models runs model requests. It is safe for concurrent use.
	Models struct {
		failureDomain string
		policy        placement.Policy
		engines       Engines
		slots         Slots
		prefixes      Prefixes
		waitQueues    *waitQueues
		kvSize        kvSize
		directory     Directory
		crashes       Crashes
		canceller     *Canceller
		budget        *retry.Budget
		counters      modelCounters
	}

	modelCounters struct {
		wasted         *metrics.Counter // tokens that were prefilled and never decoded from
		abandoned      *metrics.Counter // prompt tokens of prefills with an unknown outcome
		resumed        *metrics.Counter
		retried        *metrics.Counter
		overBudget     *metrics.Counter // retries that the budget refused
		crashes        *metrics.Counter
		silenceSeconds *metrics.Histogram // silence of a stream at its time-out, in seconds
	}

	// generation is the state of one request during all its attempts.
	generation struct {
		models           *Models
		request          ModelRequest
		sink             Sink
		assembly         tokenstream.Assembly
		text             strings.Builder // of the tokens accepted so far
		reachedEngine    bool            // a byte may have reached an engine
		kv               *prefillResult  // result from which no token has been decoded yet
		failed           failedServers
		fingerprint      uint64
		isolated         bool
		longestFailedRun time.Duration // longest run that ended with a failure of its server
		lastFailureAt    time.Time     // when the last such failure was detected
		// lastFailureDomain is the failure domain of the server that failed then.
		lastFailureDomain string
		direct            bool             // the decode server prefills the prompt
		reserved          *reservedPrefill // place in a prefill queue
		next              *backend.Server  // decode server that was secured for the next attempt
		charged           bool             // the next retry is charged already
		placedAt          time.Time        // start of the slot's reservation
		retryAfter        time.Duration    // of a refusal because no server was free
		hashes            []uint64         // of the prompt's blocks
	}
)

var (
	errCallerDisconnected = errors.New("caller has disconnected")
	errNoSlot             = errors.New("no slot within the profile's maxWait")
	errNoServer           = errors.New("no engine is live")
	errCrashesServers     = errors.New("requests like this one crash the engines that run them")
	errTimeout            = errors.New("no answer in time")
)

// NewModels returns a runner of model requests.
func NewModels(failureDomain string, policy placement.Policy, engines Engines, slots Slots, prefixes Prefixes, directory Directory, crashes Crashes, canceller *Canceller, set *metrics.Set) *Models {
	return &Models{
		failureDomain: failureDomain,
		policy:        policy,
		engines:       engines,
		slots:         slots,
		prefixes:      prefixes,
		waitQueues:    newWaitQueues(set),
		directory:     directory,
		crashes:       crashes,
		canceller:     canceller,
		budget:        retry.NewBudget(),
		counters:      newModelCounters(set),
	}
}

func newModelCounters(set *metrics.Set) modelCounters {
	return modelCounters{
		wasted:         set.NewCounter(`hickoryfront_prefill_wasted_tokens_total`),
		abandoned:      set.NewCounter(`hickoryfront_prefill_abandoned_tokens_total`),
		resumed:        set.NewCounter(`hickoryfront_streams_resumed_total`),
		retried:        set.NewCounter(`hickoryfront_attempts_retried_total`),
		overBudget:     set.NewCounter(`hickoryfront_retries_over_budget_total`),
		crashes:        set.NewCounter(`hickoryfront_server_crashes_seen_total`),
		silenceSeconds: set.NewHistogram(`hickoryfront_stream_silence_seconds`),
	}
}

// Run runs one request. A nil error means that sink has received the complete
// response. Other errors are of type *refusal.Refusal, or the context's error
// when the caller has disconnected.
func (m *Models) Run(ctx context.Context, request ModelRequest, sink Sink) error {
	g := &generation{
		models: m, request: request, sink: sink, failed: failedServers{},
		fingerprint: crash.Fingerprint(request.Service.Name, request.Prompt),
	}
	defer g.dropKV()
	defer g.releaseNext()
	m.budget.Deposit(request.Service.Name, request.Profile.RetryRatio)
	var last error
	for attempts := 1; ; attempts++ {
		err := g.runAttempt(ctx)
		if err == nil {
			g.reportSuccess()
			return nil
		}
		noServer := errors.Is(err, errNoServer)
		if noServer {
			err = cmp.Or(last, err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if g.next == nil && (noServer || attempts == maxAttempts || !g.mayRetry(err)) {
			return g.refuse(err)
		}
		last = err
		m.counters.retried.Inc()
	}
}

// runAttempt runs one attempt from its reservation to the last token.
func (g *generation) runAttempt(ctx context.Context) error {
	wasIsolated := g.isolated
	err := g.checkCrashes(ctx)
	if err != nil || g.isolated != wasIsolated {
		g.releaseNext() // it was secured on other terms
	}
	if err != nil {
		return err
	}
	server, err := g.takeNext(ctx)
	if err != nil {
		return err
	}
	a := g.beginAttempt(server)
	defer a.release()
	if err := g.awaitDomainFailure(ctx, server); err != nil {
		return err
	}
	stream, err := a.open(ctx)
	if err != nil {
		return err
	}
	return a.relay(ctx, stream)
}

// mayRetry reports whether another attempt may follow. Retries that cost an
// engine work are charged to the service's retry budget.
func (g *generation) mayRetry(err error) bool {
	for _, permanent := range []error{errCallerDisconnected, errNoSlot, errNoServer, errCrashesServers, engine.ErrInvalid} {
		if errors.Is(err, permanent) {
			return false
		}
	}
	for _, withoutCost := range []error{engine.ErrNotSent, engine.ErrLeaving, engine.ErrFull} {
		if errors.Is(err, withoutCost) {
			return true
		}
	}
	return g.takeRetry()
}

// chargeRetry charges the next retry before its cause is known to mayRetry.
func (g *generation) chargeRetry() bool {
	g.charged = g.takeRetry()
	return g.charged
}

func (g *generation) takeRetry() bool {
	if g.charged {
		g.charged = false
		return true
	}
	if g.models.budget.Take(g.request.Service.Name) {
		return true
	}
	g.models.counters.overBudget.Inc()
	return false
}

// refuse turns the last error into the error that Run returns.
func (g *generation) refuse(err error) error {
	model := g.request.Service.Model
	switch {
	case errors.Is(err, errCallerDisconnected):
		return context.Canceled
	case errors.Is(err, errNoSlot):
		return g.refusal(refusal.Overloaded, "all engines of model %q are full; try again later", model).WithRetryAfter(max(minRetryAfter, g.retryAfter))
	case errors.Is(err, errNoServer):
		return g.refusal(refusal.Unavailable, "no engine of model %q is live; try again later", model).WithRetryAfter(minRetryAfter)
	case errors.Is(err, errCrashesServers):
		return g.refusal(refusal.CrashesServers, "%v; do not send it again", err)
	case errors.Is(err, engine.ErrInvalid):
		return g.refusal(refusal.InvalidRequest, "the engine refused the request: %v", err)
	}
	return g.refusal(refusal.BackendFailed, "no engine of model %q could finish the request: %v", model, err).WithRetryAfter(minRetryAfter)
}

// refusal returns a refusal that says "not run" only if no byte can have
// reached an engine.
func (g *generation) refusal(kind refusal.Kind, format string, args ...any) *refusal.Refusal {
	if g.reachedEngine {
		return refusal.MayHaveRun(kind, format, args...)
	}
	return refusal.NotRun(kind, format, args...)
}

// recordCallResult updates the state of the request after a call to an engine.
func (g *generation) recordCallResult(server backend.Server, err error) {
	if err == nil || !errors.Is(err, engine.ErrNotSent) {
		g.reachedEngine = true
	}
	if errors.Is(err, engine.ErrLeaving) {
		g.models.directory.SetLeaving(server.ID)
	}
	if err != nil && !errors.Is(err, engine.ErrGone) && !errors.Is(err, engine.ErrTransfer) {
		g.failed[server.ID] = time.Now()
	}
}

func (g *generation) priority() int {
	if g.request.Profile.Class == config.ClassDeferrable {
		return priorityDeferrable
	}
	return priorityInteractive
}
