package journal

import (
	"context"
	"errors"

	"golang.org/x/time/rate"

	"github.com/hickoryfront/hickoryfront/core/claim"
)

const (
	// maxGroup bounds the grants of one write.
	maxGroup = 256
	// maxWaiting bounds the grants that wait for a write.
	maxWaiting = 4096
)

// ErrBusy means that too many grants wait for a write already.
var ErrBusy = errors.New("too many claims wait for the journal")

type (
	// Store makes grants durable, all or none of them.
	Store interface {
		Store(ctx context.Context, grants []claim.Grant) error
		// Prepare is called after a group was answered.
		Prepare(ctx context.Context)
	}

	// Writer groups grants: a write goes out at once when none is in flight,
	// grants that come meanwhile share the next one, and a limit bounds the
	// rate of writes. It is safe for concurrent use.
	Writer struct {
		store   Store
		limiter *rate.Limiter
		waiting chan entry
	}

	entry struct {
		grant claim.Grant
		done  chan error
	}
)

// NewWriter returns a writer; Run must be called.
func NewWriter(store Store, limiter *rate.Limiter) *Writer {
	return &Writer{store: store, limiter: limiter, waiting: make(chan entry, maxWaiting)}
}

// Commit returns when the grant is durable. After any error the grant must not
// be acknowledged.
func (w *Writer) Commit(ctx context.Context, grant claim.Grant) error {
	e := entry{grant: grant, done: make(chan error, 1)}
	select {
	case w.waiting <- e:
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

// Run writes groups until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.waiting:
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

// collect returns first and all that wait behind it.
func (w *Writer) collect(first entry) []entry {
	group := []entry{first}
	for len(group) < maxGroup {
		select {
		case e := <-w.waiting:
			group = append(group, e)
		default:
			return group
		}
	}
	return group
}
