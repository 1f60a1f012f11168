package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v4"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	cancelTimeout     = time.Second
	cancelInterval    = 100 * time.Millisecond
	maxCancelInterval = time.Second
)

type (
	// CancelEngines cancels requests at engines.
	CancelEngines interface {
		Cancel(ctx context.Context, server backend.Server, attemptID string) error
	}

	// ServerLookup finds servers in the platform's list.
	ServerLookup interface {
		Lookup(id string) (backend.Server, bool)
	}

	// Canceller cancels requests at engines. It retries until the engine
	// confirms or has left the platform's list. It is safe for concurrent use.
	Canceller struct {
		engines   CancelEngines
		servers   ServerLookup
		confirmed *metrics.Counter
		retried   *metrics.Counter

		mu      sync.Mutex
		pending int
		group   sync.WaitGroup
		ctx     context.Context
		stop    context.CancelFunc
	}

	cancellation struct {
		owner     *Canceller
		server    backend.Server
		attemptID string
		confirmed func()
	}
)

// NewCanceller returns a canceller.
func NewCanceller(engines CancelEngines, servers ServerLookup, set *metrics.Set) *Canceller {
	ctx, stop := context.WithCancel(context.Background())
	c := &Canceller{
		engines:   engines,
		servers:   servers,
		confirmed: set.NewCounter(`hickoryfront_cancels_total{result="confirmed"}`),
		retried:   set.NewCounter(`hickoryfront_cancels_total{result="repeated"}`),
		ctx:       ctx,
		stop:      stop,
	}
	set.NewGauge(`hickoryfront_cancels_pending`, func() float64 { return float64(c.Pending()) })
	return c
}

// Cancel cancels a request in the background and calls confirmed, which may be
// nil, once the engine holds no state of the request.
func (c *Canceller) Cancel(server backend.Server, attemptID string, confirmed func()) {
	c.mu.Lock()
	c.pending++
	c.mu.Unlock()
	work := cancellation{owner: c, server: server, attemptID: attemptID, confirmed: confirmed}
	c.group.Go(work.run)
}

// Pending returns the number of unconfirmed cancellations.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// Close waits for pending cancellations until ctx ends and then drops them.
func (c *Canceller) Close(ctx context.Context) {
	ticker := time.NewTicker(cancelInterval)
	defer ticker.Stop()
	for c.Pending() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	c.stop()
	c.group.Wait()
}

func (w cancellation) run() {
	defer w.finish()
	policy := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(cancelInterval), backoff.WithMaxInterval(maxCancelInterval), backoff.WithMaxElapsedTime(0))
	for !w.attempt() {
		w.owner.retried.Inc()
		if timing.Sleep(w.owner.ctx, policy.NextBackOff()) != nil {
			return
		}
	}
	w.owner.confirmed.Inc()
	if w.confirmed != nil {
		w.confirmed()
	}
}

func (w cancellation) attempt() bool {
	ctx, cancel := context.WithTimeout(w.owner.ctx, cancelTimeout)
	defer cancel()
	if w.owner.engines.Cancel(ctx, w.server, w.attemptID) == nil {
		return true
	}
	_, isListed := w.owner.servers.Lookup(w.server.ID)
	return !isListed
}

func (w cancellation) finish() {
	w.owner.mu.Lock()
	defer w.owner.mu.Unlock()
	w.owner.pending--
}
