package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/core/eventstream"
)

const (
	// silenceTimeout is the time without an event after which another server is prepared
	// to resume a resumable stream. It is longer than the pauses of sound servers, and
	// shorter than the two seconds after which the least patient callers abandon a stream.
	silenceTimeout = 1800 * time.Millisecond
	// placementPause is the time between two attempts to prepare another server.
	placementPause = 150 * time.Millisecond
)

// errSilent means that a stream sent no event for silenceTimeout and that another server
// is ready to resume it.
var errSilent = fmt.Errorf("no stream event for %v", silenceTimeout)

// successor is the placement at the server that is to resume a silent stream, with the
// state of the generation that made it.
type successor struct {
	placement placement
	state     generation
	// isRelayed is set if another host is to resume the stream, in place of the placement.
	isRelayed bool
}

// silenceWatch prepares another server for a stream whose server sends no events. Silence
// alone does not end an attempt, since the server may go on: the watch cancels the attempt
// only once the other server has everything that it needs to resume the stream.
type silenceWatch struct {
	ctx context.Context
	// cancelAttempt ends the attempt at the silent server.
	cancelAttempt context.CancelCauseFunc
	// template is the state of the generation with which another server is prepared.
	template generation
	timer    *time.Timer

	mu sync.Mutex
	// relay is the position of the stream.
	relay eventstream.Relay
	// cancelPlacement ends a preparation in progress, or is nil.
	cancelPlacement context.CancelFunc
	isSuspended     bool
	isStopped       bool
	// successor is set once the attempt is canceled.
	successor *successor
}

// watchSilence starts the watch of an attempt. It returns nil if the stream can't be
// resumed on another server. ctx is the context of the request, cancelAttempt that of the
// attempt.
func (g *generation) watchSilence(ctx context.Context, cancelAttempt context.CancelCauseFunc) *silenceWatch {
	if !g.request.Route.IsResumable || !g.history.MayReplace() || g.number == maxStreamAttempts {
		return nil
	}
	w := &silenceWatch{ctx: ctx, cancelAttempt: cancelAttempt, template: *g, relay: *g.relay}
	// The request has been admitted and sent, so its placement is that of a stream that
	// has begun.
	w.template.isStarted, w.template.isSent = true, true
	w.template.unusedHandle = kvHandle{}
	// The attempt must not end before it is certain that another server takes the stream.
	w.template.isRelayRejected = true
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceTimeout, w.run)
	return w
}

// begin records that the response has started, so that the stream goes on at
// softwareVersion.
func (w *silenceWatch) begin(softwareVersion string) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.template.softwareVersion = softwareVersion
}

// suspend records that the server has sent an event. It ends a preparation in progress.
// The watch goes on with observe, because the time that the caller takes to read is no
// silence of the server.
func (w *silenceWatch) suspend() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isSuspended = true
	w.endPlacement()
	w.timer.Stop()
}

// observe resumes the watch of the stream, which is at the position of relay.
func (w *silenceWatch) observe(relay *eventstream.Relay) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.successor != nil {
		return
	}
	w.relay, w.isSuspended = *relay, false
	w.timer.Reset(silenceTimeout)
}

// stop ends the watch. It returns what is to resume the stream, or nil if the attempt was
// not canceled.
func (w *silenceWatch) stop() *successor {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isStopped = true
	w.timer.Stop()
	w.endPlacement()
	return w.successor
}

// endPlacement cancels a preparation in progress. The caller holds mu.
func (w *silenceWatch) endPlacement() {
	if w.cancelPlacement != nil {
		w.cancelPlacement()
		w.cancelPlacement = nil
	}
}

// run prepares another server and then cancels the attempt, unless the silent server has
// sent an event meanwhile.
func (w *silenceWatch) run() {
	w.mu.Lock()
	if w.isStopped || w.isSuspended {
		w.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	w.endPlacement()
	w.cancelPlacement = cancel
	state, relay := w.template, w.relay
	state.relay = &relay
	w.mu.Unlock()

	placed, err := state.place(ctx)
	state.releaseHandle(state.unusedHandle)

	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case errors.Is(err, errPathsLost) && ctx.Err() == nil:
		w.successor = &successor{isRelayed: true}
		w.cancelAttempt(errSilent)
	case err == nil && ctx.Err() == nil && w.template.allowsVersion(placed):
		w.successor = &successor{placement: placed, state: state}
		w.cancelAttempt(errSilent)
	case err == nil:
		state.discard(placed)
		if ctx.Err() == nil {
			w.timer.Reset(placementPause) // the response has started meanwhile, at another version
		}
	case ctx.Err() == nil && !errors.Is(err, context.DeadlineExceeded):
		w.timer.Reset(placementPause)
	}
}
