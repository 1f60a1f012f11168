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
	// CancelEngines is what the canceller needs of the engines.
	CancelEngines interface {
		Cancel(ctx context.Context, server backend.Server, requestID string) error
	}

	// ServerLookup tells whether a server is still in the platform's list.
	ServerLookup interface {
		Lookup(id string) (backend.Server, bool)
	}

	// Canceller ends requests at engines and repeats that until the engine
	// confirms or has left the list. It is safe for concurrent use.
	Canceller struct {
		engines   CancelEngines
		listed    ServerLookup
		confirmed *metrics.Counter
		repeated  *metrics.Counter

		mu      sync.Mutex
		pending int
		group   sync.WaitGroup
		ctx     context.Context
		stop    context.CancelFunc
	}

	cancellation struct {
		owner     *Canceller
		server    backend.Server
		requestID string
		confirmed func()
	}
)

// NewCanceller returns a canceller.
func NewCanceller(engines CancelEngines, listed ServerLookup, set *metrics.Set) *Canceller {
	ctx, stop := context.WithCancel(context.Background())
	c := &Canceller{
		engines:   engines,
		listed:    listed,
		confirmed: set.NewCounter(`hickoryfront_cancels_total{result="confirmed"}`),
		repeated:  set.NewCounter(`hickoryfront_cancels_total{result="repeated"}`),
		ctx:       ctx,
		stop:      stop,
	}
	set.NewGauge(`hickoryfront_cancels_pending`, func() float64 { return float64(c.Pending()) })
	return c
}

// Cancel ends a request in the background and calls confirmed when the engine
// holds nothing of it any more.
func (c *Canceller) Cancel(server backend.Server, requestID string, confirmed func()) {
	c.mu.Lock()
	c.pending++
	c.mu.Unlock()
	work := cancellation{owner: c, server: server, requestID: requestID, confirmed: confirmed}
	c.group.Go(work.run)
}

// Pending returns the number of cancellations not yet confirmed.
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
	pauses := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(cancelInterval), backoff.WithMaxInterval(maxCancelInterval), backoff.WithMaxElapsedTime(0))
	for !w.try() {
		w.owner.repeated.Inc()
		if timing.Sleep(w.owner.ctx, pauses.NextBackOff()) != nil {
			return
		}
	}
	w.owner.confirmed.Inc()
	if w.confirmed != nil {
		w.confirmed()
	}
}

func (w cancellation) try() bool {
	ctx, cancel := context.WithTimeout(w.owner.ctx, cancelTimeout)
	defer cancel()
	if w.owner.engines.Cancel(ctx, w.server, w.requestID) == nil {
		return true
	}
	_, listed := w.owner.listed.Lookup(w.server.ID)
	return !listed
}

func (w cancellation) finish() {
	w.owner.mu.Lock()
	defer w.owner.mu.Unlock()
	w.owner.pending--
}
