package journal

import (
	"context"
	"errors"

	"golang.org/x/time/rate"

	"github.com/hickoryfront/hickoryfront/core/claim"
)

const (
	// maxGroupSize limits the grants in one write.
	maxGroupSize = 256
	// maxQueued limits the grants that wait for a write.
	maxQueued = 4096
)

// ErrBusy means that maxQueued grants are waiting for a write already.
var ErrBusy = errors.New("too many claims are waiting for a journal write")

type (
	// Store makes a group of grants durable, either all of them or none.
	Store interface {
		Store(ctx context.Context, grants []claim.Grant) error
		// Prepare is called after the results of a group were returned, to prepare
		// the next call of Store.
		Prepare(ctx context.Context)
	}

	// Writer groups grants into writes. It starts a write at once when none is in
	// flight. Grants that arrive during a write share the next one. A limiter limits
	// the rate of writes. It is safe for concurrent use.
	Writer struct {
		store   Store
		limiter *rate.Limiter
		queue   chan entry
	}

	// entry is a grant whose Commit call is waiting.
	entry struct {
		grant claim.Grant
		done  chan error
	}
)

// NewWriter returns a writer. It writes nothing until Run is called.
func NewWriter(store Store, limiter *rate.Limiter) *Writer {
	return &Writer{store: store, limiter: limiter, queue: make(chan entry, maxQueued)}
}

// Commit waits until the grant is durable. After an error the caller must not
// acknowledge the grant.
func (w *Writer) Commit(ctx context.Context, grant claim.Grant) error {
	e := entry{grant: grant, done: make(chan error, 1)}
	select {
	case w.queue <- e:
	default:
		return ErrBusy
	}
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run writes groups of grants until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.queue:
			if w.limiter.Wait(ctx) != nil {
				return
			}
			w.write(ctx, w.collect(first))
		}
	}
}

func (w *Writer) write(ctx context.Context, group []entry) {
	grants := make([]claim.Grant, 0, len(group))
	for _, e := range group {
		grants = append(grants, e.grant)
	}
	err := w.store.Store(ctx, grants)
	for _, e := range group {
		e.done <- err
	}
	w.store.Prepare(ctx)
}

// collect returns first and the entries queued behind it, at most maxGroupSize.
func (w *Writer) collect(first entry) []entry {
	group := []entry{first}
	for len(group) < maxGroupSize {
		select {
		case e := <-w.queue:
			group = append(group, e)
		default:
			return group
		}
	}
	return group
}
