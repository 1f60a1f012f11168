package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
)

func isNotSent(err error) bool { return errors.Is(err, engine.ErrNotSent) }

// TestRefusalsTellWhetherTheRequestRan checks for every kind of refusal that it
// says "no" exactly when no byte of the request reached an engine.
//
// proof: backend server killed | reserve | 4
// proof: backend server killed | prefill | 4
// proof: backend server killed | transfer | 4
// proof: backend server killed | first token | 4
// proof: backend server killed | stream | 4
// proof: backend server leaving | prefill | 4
// proof: KV evicted | transfer | 4
func TestRefusalsTellWhetherTheRequestRan(t *testing.T) {
	failWith := func(err error) func(context.Context, string, int) error {
		return func(context.Context, string, int) error { return err }
	}
	decodeWith := func(stream *fakeStream, err error) func(context.Context, string, int) (*fakeStream, error) {
		return func(context.Context, string, int) (*fakeStream, error) {
			if stream == nil {
				return nil, err
			}
			return streamStoppingAt(stream.stopAt, stream.ending), err
		}
	}
	noSlotAfterFirst := func(_ context.Context, _ string, n int) error {
		if n > 1 {
			return slot.ErrFull
		}
		return nil
	}
	tests := map[string]struct {
		prompt string
		set    func(l *fakeCluster)
		want   refusal.Kind
	}{
		"no slot":   {longPrompt, func(l *fakeCluster) { l.onReserve = failWith(slot.ErrFull) }, refusal.Overloaded},
		"no server": {longPrompt, func(l *fakeCluster) { l.hasNoServers = true }, refusal.Unavailable},
		"no slot after a prefill connection broke": {longPrompt, func(l *fakeCluster) {
			l.onReserve = noSlotAfterFirst
			l.onPrefill = failWith(engine.ErrBroken)
		}, refusal.Overloaded},
		"no slot after a decode server was unreachable": {shortPrompt, func(l *fakeCluster) {
			l.onReserve = noSlotAfterFirst
			l.onDecode = decodeWith(nil, engine.ErrNotSent)
		}, refusal.Overloaded},
		"prefill servers unreachable":                {longPrompt, func(l *fakeCluster) { l.onPrefill = failWith(engine.ErrNotSent) }, refusal.BackendFailed},
		"prefill servers leaving":                    {longPrompt, func(l *fakeCluster) { l.onPrefill = failWith(engine.ErrLeaving) }, refusal.BackendFailed},
		"prefill connection breaks":                  {longPrompt, func(l *fakeCluster) { l.onPrefill = failWith(engine.ErrBroken) }, refusal.BackendFailed},
		"decode servers unreachable":                 {shortPrompt, func(l *fakeCluster) { l.onDecode = decodeWith(nil, engine.ErrNotSent) }, refusal.BackendFailed},
		"decode servers unreachable after a prefill": {longPrompt, func(l *fakeCluster) { l.onDecode = decodeWith(nil, engine.ErrNotSent) }, refusal.BackendFailed},
		"KV never found":                             {longPrompt, func(l *fakeCluster) { l.onDecode = decodeWith(nil, engine.ErrGone) }, refusal.BackendFailed},
		"transfer always fails":                      {longPrompt, func(l *fakeCluster) { l.onDecode = decodeWith(nil, engine.ErrTransfer) }, refusal.BackendFailed},
		"engine refuses the request":                 {shortPrompt, func(l *fakeCluster) { l.onDecode = decodeWith(nil, engine.ErrInvalid) }, refusal.InvalidRequest},
		"stream breaks before the first token": {shortPrompt, func(l *fakeCluster) {
			l.onDecode = decodeWith(streamStoppingAt(0, engine.ErrBroken), nil)
			l.onResume = resumeNotFound
		}, refusal.BackendFailed},
		"silent before the first token": {shortPrompt, func(l *fakeCluster) {
			l.onDecode = decodeWith(streamStoppingAt(0, nil), nil)
			l.onResume = resumeNotFound
		}, refusal.BackendFailed},
		"stream breaks in the middle": {shortPrompt, func(l *fakeCluster) {
			l.onDecode = decodeWith(streamStoppingAt(3, engine.ErrBroken), nil)
			l.onResume = resumeNotFound
		}, refusal.BackendFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newFakeCluster()
				test.set(l)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
				defer cancel()
				err := newModels(t, l).Run(ctx, request(test.prompt), &recordingSink{})
				synctest.Wait()
				r := refusal.FromError(err)
				if r == nil {
					t.Fatalf("got %v, want a refusal", err)
				}
				if r.Kind != test.want {
					t.Errorf("refused as %s, want %s", r.Kind.Code, test.want.Code)
				}
				want := refusal.RanNo
				if len(l.calls) > 0 {
					want = refusal.RanUnknown
				}
				if r.Ran != want {
					t.Errorf("the refusal says ran=%s, the engines' log has %d calls", r.Ran, len(l.calls))
				}
				l.checkAllReleased(t, nil)
			})
		})
	}
}

func resumeNotFound(context.Context, string, int) (*fakeStream, error) { return nil, engine.ErrGone }
