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

// Every way to refuse says "no" exactly when no byte reached an engine.
//
// proof: backend server killed | reserve | 4
// proof: backend server killed | prefill | 4
// proof: backend server killed | transfer | 4
// proof: backend server killed | first token | 4
// proof: backend server killed | stream | 4
// proof: backend server leaving | prefill | 4
// proof: KV evicted | transfer | 4
func TestRefusalsTellWhetherTheRequestRan(t *testing.T) {
	fails := func(err error) func(context.Context, string, int) error {
		return func(context.Context, string, int) error { return err }
	}
	decodes := func(stream *fakeStream, err error) func(context.Context, string, int) (*fakeStream, error) {
		return func(context.Context, string, int) (*fakeStream, error) {
			if stream == nil {
				return nil, err
			}
			return stopsAt(stream.stopAt, stream.ending), err
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
		set    func(l *lab)
		want   refusal.Kind
	}{
		"no slot":   {longPrompt, func(l *lab) { l.onReserve = fails(slot.ErrFull) }, refusal.Overloaded},
		"no server": {longPrompt, func(l *lab) { l.empty = true }, refusal.Unavailable},
		"no slot after a prefill was cut": {longPrompt, func(l *lab) {
			l.onReserve = noSlotAfterFirst
			l.onPrefill = fails(engine.ErrBroken)
		}, refusal.Overloaded},
		"no slot after a decode server was not reached": {shortPrompt, func(l *lab) {
			l.onReserve = noSlotAfterFirst
			l.onDecode = decodes(nil, engine.ErrNotSent)
		}, refusal.Overloaded},
		"prefill servers not reached":   {longPrompt, func(l *lab) { l.onPrefill = fails(engine.ErrNotSent) }, refusal.BackendFailed},
		"prefill servers leaving":       {longPrompt, func(l *lab) { l.onPrefill = fails(engine.ErrLeaving) }, refusal.BackendFailed},
		"prefill cut":                   {longPrompt, func(l *lab) { l.onPrefill = fails(engine.ErrBroken) }, refusal.BackendFailed},
		"decode servers not reached":    {shortPrompt, func(l *lab) { l.onDecode = decodes(nil, engine.ErrNotSent) }, refusal.BackendFailed},
		"not reached after a prefill":   {longPrompt, func(l *lab) { l.onDecode = decodes(nil, engine.ErrNotSent) }, refusal.BackendFailed},
		"KV always gone":                {longPrompt, func(l *lab) { l.onDecode = decodes(nil, engine.ErrGone) }, refusal.BackendFailed},
		"transfer always fails":         {longPrompt, func(l *lab) { l.onDecode = decodes(nil, engine.ErrTransfer) }, refusal.BackendFailed},
		"engine refuses the request":    {shortPrompt, func(l *lab) { l.onDecode = decodes(nil, engine.ErrInvalid) }, refusal.InvalidRequest},
		"cut before the first token":    {shortPrompt, func(l *lab) { l.onDecode = decodes(stopsAt(0, engine.ErrBroken), nil); l.onResume = gone }, refusal.BackendFailed},
		"silent before the first token": {shortPrompt, func(l *lab) { l.onDecode = decodes(stopsAt(0, nil), nil); l.onResume = gone }, refusal.BackendFailed},
		"cut in the middle":             {shortPrompt, func(l *lab) { l.onDecode = decodes(stopsAt(3, engine.ErrBroken), nil); l.onResume = gone }, refusal.BackendFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLab()
				test.set(l)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
				defer cancel()
				err := newModels(t, l).Run(ctx, request(test.prompt), &sinkLog{})
				synctest.Wait()
				r := refusal.FromError(err)
				if r == nil {
					t.Fatalf("got %v, want a refusal", err)
				}
				if r.Kind != test.want {
					t.Errorf("refused as %s, want %s", r.Kind.Code, test.want.Code)
				}
				want := refusal.RanNo
				if len(l.steps) > 0 {
					want = refusal.RanUnknown
				}
				if r.Ran != want {
					t.Errorf("the refusal says ran=%s, the engines' log has %d calls", r.Ran, len(l.steps))
				}
				l.checkNothingHeld(t, nil)
			})
		})
	}
}

func gone(context.Context, string, int) (*fakeStream, error) { return nil, engine.ErrGone }
