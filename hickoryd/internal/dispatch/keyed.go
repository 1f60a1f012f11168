package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v4"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	claimRetryInterval = 100 * time.Millisecond
	// claimRetryAfter is the Retry-After of refusals after which the caller may
	// send its key again.
	claimRetryAfter = time.Second
	// abandonGrace lets a caller whose connection broke send its key again and
	// find its completion still running.
	abandonGrace          = 2 * time.Second
	abandonCheckInterval  = 250 * time.Millisecond
	settleInitialInterval = 50 * time.Millisecond
	settleTimeout         = time.Minute
	// sendDeadlineDivisor divides the horizon: a claimed call must be sent
	// within horizon/sendDeadlineDivisor. A process that was paused for longer
	// does not send the call.
	sendDeadlineDivisor = 2
)

type (
	// KeyedRequest is one accepted request with an idempotency key.
	KeyedRequest struct {
		ID       string
		Key      claim.Key
		BodyHash uint64
		Horizon  time.Duration
		Timeout  time.Duration
		// Releasable requests are cancelled when all their callers have
		// disconnected, and their key may then run again.
		Releasable bool
	}

	// Work runs a request and writes its response. Its errors are of type
	// *refusal.Refusal.
	Work interface {
		Run(ctx context.Context, to *Recording) error
	}

	// Claims claims and settles keys at their homes.
	Claims interface {
		Claim(ctx context.Context, now time.Time, wanted claim.Grant) (claim.Outcome, claim.Grant, error)
		Settle(ctx context.Context, now time.Time, grant claim.Grant, withdraw bool) error
	}

	// Keyed runs requests with idempotency keys at most once and returns their
	// responses to every caller that sends the key. It is safe for concurrent
	// use.
	Keyed struct {
		owner      claim.Daemon
		claims     Claims
		attacher   Attacher
		recordings *Recordings
		// takeoverTime is how long a caller waits for the home of its key:
		// after a failure of the home, another daemon has taken its keys over
		// by then.
		takeoverTime time.Duration
		attached     *metrics.Counter
		replayed     *metrics.Counter
		group        sync.WaitGroup
	}

	// execution is one run of a claimed request.
	execution struct {
		keyed     *Keyed
		request   KeyedRequest
		work      Work
		recording *Recording
		grant     claim.Grant
		cancel    context.CancelFunc
		ended     chan struct{}
	}

	// settlement reports to the home of a key how a request ended. withdraw withdraws
	// the claim: the request did not run, or is releasable and ended without a
	// complete response, so that it may run again.
	settlement struct {
		keyed    *Keyed
		grant    claim.Grant
		withdraw bool
	}

	// executionsWaiter waits for all executions to end.
	executionsWaiter struct {
		keyed *Keyed
		done  chan struct{}
	}
)

// errReleased means that the request that held the key did not run.
var errReleased = errors.New("the request that held the key was not run")

// NewKeyed returns a runner of requests with keys. takeoverTime is the longest
// time within which the keys of a failed home are taken over.
func NewKeyed(owner claim.Daemon, claims Claims, attacher Attacher, recordings *Recordings, takeoverTime time.Duration, set *metrics.Set) *Keyed {
	return &Keyed{
		owner: owner, claims: claims, attacher: attacher, recordings: recordings, takeoverTime: takeoverTime,
		attached: set.NewCounter(`hickoryfront_claims_attached_total`),
		replayed: set.NewCounter(`hickoryfront_claims_replayed_total`),
	}
}

// Open runs a request, or attaches to the run that holds its key. Its errors
// are of type *refusal.Refusal, or the context's error when the caller has
// disconnected.
func (k *Keyed) Open(ctx context.Context, request KeyedRequest, work Work) (Source, error) {
	started := time.Now()
	wanted := claim.Grant{Key: request.Key, BodyHash: request.BodyHash, RequestID: request.ID, Owner: k.owner, Horizon: request.Horizon}
	recording := k.recordings.Begin(request.ID)
	for {
		outcome, grant, err := k.claims.Claim(ctx, time.Now(), wanted)
		if err == nil && outcome == claim.Granted && time.Since(started) < request.Horizon/sendDeadlineDivisor {
			return k.start(ctx, request, work, recording, wanted), nil
		}
		if err == nil && outcome != claim.Granted && outcome != claim.Undecided {
			source, err := k.openExisting(ctx, outcome, grant)
			if !errors.Is(err, errReleased) {
				k.abandonClaim(recording, wanted, false)
				return source, err
			}
		}
		if time.Since(started) >= k.takeoverTime || timing.Sleep(ctx, claimRetryInterval) != nil {
			k.abandonClaim(recording, wanted, true)
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			return nil, refusal.NotRun(refusal.ClaimUndecided, "the key can't be checked now; ask again").WithRetryAfter(claimRetryAfter)
		}
	}
}

// Close waits for running requests, also those without a caller, until ctx
// ends.
func (k *Keyed) Close(ctx context.Context) {
	w := executionsWaiter{keyed: k, done: make(chan struct{})}
	go w.run()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

func (w executionsWaiter) run() {
	w.keyed.group.Wait()
	close(w.done)
}

// start runs a claimed request in the background. The run goes on if its caller
// disconnects, but a releasable request is cancelled once it is abandoned.
func (k *Keyed) start(ctx context.Context, request KeyedRequest, work Work, recording *Recording, grant claim.Grant) Source {
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), request.Timeout)
	e := &execution{
		keyed: k, request: request, work: work, recording: recording, grant: grant, cancel: cancel, ended: make(chan struct{}),
	}
	source := newLocalSource(recording)
	k.group.Go(func() { e.run(runCtx) })
	if request.Releasable {
		k.group.Go(e.cancelWhenAbandoned)
	}
	return source
}

// abandonClaim finishes the recording of a request that did not run. If claimed
// is set, it also withdraws the claim, which may have reached a home.
func (k *Keyed) abandonClaim(recording *Recording, wanted claim.Grant, claimed bool) {
	k.recordings.Finish(recording, refusal.NotRun(refusal.ClaimUndecided, "this request was not run"))
	if claimed {
		w := settlement{keyed: k, grant: wanted, withdraw: true}
		k.group.Go(w.run)
	}
}

// openExisting returns the response of the request that holds a key.
func (k *Keyed) openExisting(ctx context.Context, outcome claim.Outcome, grant claim.Grant) (Source, error) {
	switch outcome {
	case claim.Settled:
		k.replayed.Inc()
		return storedSource{*grant.Response}, nil
	case claim.Running:
		return k.attach(ctx, grant)
	case claim.BodyMismatch:
		return nil, refusal.NotRun(refusal.IdempotencyKeyReused, "this key was used with another request; use a new key")
	}
	return nil, refusal.MayHaveRun(refusal.OutcomeUnknown, "a call with this key was run and its answer is lost")
}

// attach reads the response of the request that holds a key, from this daemon
// or another.
func (k *Keyed) attach(ctx context.Context, grant claim.Grant) (Source, error) {
	source, err := k.openSource(ctx, grant)
	switch {
	case errors.Is(err, ErrNotRecorded), errors.Is(err, ErrResponseDropped):
		return nil, refusal.MayHaveRun(refusal.OutcomeUnknown, "a call with this key was run and its answer is lost")
	case err != nil:
		return nil, refusal.MayHaveRun(refusal.OutcomeUnknown, "a call with this key is running on a host that can't be reached; ask again").WithRetryAfter(claimRetryAfter)
	}
	if notRun, err := source.NotRun(ctx); err != nil || notRun {
		source.Close()
		if !notRun {
			return nil, refusal.MayHaveRun(refusal.OutcomeUnknown, "a call with this key is running on a host that can't be reached; ask again").WithRetryAfter(claimRetryAfter)
		}
		_ = k.claims.Settle(ctx, time.Now(), grant, true) // on an error the next claim finds the key held and retries this
		return nil, errReleased
	}
	k.attached.Inc()
	return source, nil
}

func (k *Keyed) openSource(ctx context.Context, grant claim.Grant) (Source, error) {
	if grant.Owner != k.owner {
		return openRemote(ctx, k.attacher, grant.Owner, grant.RequestID)
	}
	recording, err := k.recordings.Find(grant.RequestID)
	if err != nil {
		return nil, err
	}
	return newLocalSource(recording), nil
}

// run runs the request to its end and settles its key at the home.
func (e *execution) run(ctx context.Context) {
	defer e.cancel()
	err := e.work.Run(ctx, e.recording)
	close(e.ended)
	end := refusal.FromError(err)
	if err != nil && end == nil {
		end = refusal.MayHaveRun(refusal.BackendFailed, "%v", err)
	}
	e.keyed.recordings.Finish(e.recording, end)
	grant := e.grant
	grant.Settled = true
	grant.Response = e.keyed.recordings.Response(e.recording)
	notRun := end != nil && end.Ran == refusal.RanNo
	grant.Unknown = end != nil && !notRun
	released := e.request.Releasable && end != nil
	settlement{keyed: e.keyed, grant: grant, withdraw: notRun || released}.run()
}

// cancelWhenAbandoned cancels the request when its callers have been
// disconnected for abandonGrace.
func (e *execution) cancelWhenAbandoned() {
	ticker := time.NewTicker(abandonCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ended:
			return
		case now := <-ticker.C:
			if e.recording.IsAbandoned(now, abandonGrace) {
				e.cancel()
				return
			}
		}
	}
}

// run retries the settle until a home accepts it or settleTimeout has passed.
func (s settlement) run() {
	policy := backoff.NewExponentialBackOff(backoff.WithInitialInterval(settleInitialInterval), backoff.WithMaxElapsedTime(settleTimeout))
	_ = backoff.Retry(s.attempt, policy) // if no home accepts it, callers still find the recording at its owner
}

func (s settlement) attempt() error {
	return s.keyed.claims.Settle(context.Background(), time.Now(), s.grant, s.withdraw)
}
