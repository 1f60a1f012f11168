package edgedispatch

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hickoryfront/hickoryfront/core/draining"
)

// errStopping ends the requests in flight of a host that is about to end.
var errStopping = errors.New("host is stopping")

// stop is the stop of the host. It is safe for concurrent use.
type stop struct {
	// planned is the planned end of the host, or nil before the drain.
	planned atomic.Pointer[draining.Stop]
	// isOver ends when the requests in flight get their answers.
	isOver context.Context
	finish context.CancelFunc
}

func newStop() *stop {
	isOver, finish := context.WithCancel(context.Background())
	return &stop{isOver: isOver, finish: finish}
}

// bind returns a context that also ends when the requests in flight get their answers.
func (s *stop) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	bound, cancel := context.WithCancelCause(ctx)
	unbind := context.AfterFunc(s.isOver, func() { cancel(errStopping) })
	return bound, func() {
		unbind()
		cancel(nil)
	}
}

// Drain prepares for the end of the host. Generations that have no server by the time at which
// they could no longer end before the host does are refused, so that their callers go to another
// host. Shortly before the end, the requests that are still in flight end, and those whose response
// has not started are answered.
func (d *Dispatcher) Drain(planned draining.Stop) {
	d.stop.planned.Store(&planned)
	time.AfterFunc(time.Until(planned.LastAnswers()), d.stop.finish)
}

// checkDraining returns a *Failure if the request has no server, may be refused, and can't end
// any more before the host does.
func (g *generation) checkDraining(now time.Time) error {
	planned := g.stop.planned.Load()
	if planned == nil || g.isStarted || !g.history.MayRefuse() || planned.CanFinish(now, g.request.Arrived, g.request.Deadline, true) {
		return nil
	}
	return &Failure{Status: http.StatusServiceUnavailable, RetryAfter: draining.RetryAfter, Reason: "host is leaving, and no decode server has room"}
}
