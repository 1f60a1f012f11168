package dispatch_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/retry"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
)

func newModels(_ *testing.T, l *fakeCluster) *dispatch.Models {
	return newModelsWith(l, metrics.NewSet())
}

func newModelsWith(l *fakeCluster, set *metrics.Set) *dispatch.Models {
	return dispatch.NewModels("salt-lake", fakePolicy{}, l, l, l, l, noCrashes{}, newCanceller(l, set), set)
}

// TestResponseIsCompleteAfterFailures injects failures of engines, connections and
// transfers. The caller must get its complete response once, and all slots and
// runs must be released.
//
// proof: silent connection | first token | 3
// proof: silent connection | stream | 3
// proof: silent connection | last token | 3
// proof: silent connection | prefill | 3
// proof: backend server killed | transfer | 3
// proof: backend server killed | stream | 3
// proof: transfer stalled | transfer | 3
// proof: KV evicted | transfer | 3
// proof: backend server leaving | transfer | 3
// proof: backend server leaving | prefill | 3
// proof: silent connection + backend server killed | stream | 3
func TestResponseIsCompleteAfterFailures(t *testing.T) {
	firstDecode := func(stream func() *fakeStream, err error) func(context.Context, string, int) (*fakeStream, error) {
		return func(_ context.Context, _ string, n int) (*fakeStream, error) {
			if n > 1 {
				return completeStream(), nil
			}
			if err != nil {
				return nil, err
			}
			return stream(), nil
		}
	}
	blocks := func(ctx context.Context, _ string, _ int) (*fakeStream, error) { return nil, blockUntilDone(ctx) }
	tests := map[string]struct {
		prompt       string
		set          func(l *fakeCluster)
		wantPrefills int
		wantDecodes  int
		wantResumes  int
		within       time.Duration
	}{
		"nothing fails": {longPrompt, func(*fakeCluster) {}, 1, 1, 0, time.Second},
		"silent in the middle": {longPrompt, func(l *fakeCluster) {
			l.onDecode = firstDecode(func() *fakeStream { return streamStoppingAt(3, nil) }, nil)
		}, 1, 1, 1, time.Second},
		"silent before the last token": {longPrompt, func(l *fakeCluster) {
			l.onDecode = firstDecode(func() *fakeStream { return streamStoppingAt(responseTokens-1, nil) }, nil)
		}, 1, 1, 1, time.Second},
		"silent before the first token": {longPrompt, func(l *fakeCluster) {
			l.onDecode = firstDecode(func() *fakeStream { return streamStoppingAt(0, nil) }, nil)
		}, 1, 1, 1, 4 * time.Second},
		"broken in the middle": {longPrompt, func(l *fakeCluster) {
			l.onDecode = firstDecode(func() *fakeStream { return streamStoppingAt(3, io.EOF) }, nil)
		}, 1, 1, 1, time.Second},
		"silent, and the engine does not respond": {longPrompt, func(l *fakeCluster) {
			l.onDecode = firstDecode(func() *fakeStream { return streamStoppingAt(3, nil) }, nil)
			l.onResume = blocks
		}, 2, 2, 2, 4 * time.Second},
		"broken, and the engine refuses connections": {longPrompt, func(l *fakeCluster) {
			l.onDecode = firstDecode(func() *fakeStream { return streamStoppingAt(3, engine.ErrBroken) }, nil)
			l.onResume = func(context.Context, string, int) (*fakeStream, error) { return nil, engine.ErrNotSent }
		}, 2, 2, 0, time.Second},
		"cancelled by a home that counts the daemon as failed": {longPrompt, func(l *fakeCluster) {
			l.onDecode = firstDecode(func() *fakeStream { return streamStoppingAt(3, io.EOF) }, nil)
			l.onResume = resumeNotFound
		}, 2, 2, 1, time.Second},
		"resumed streams break too": {longPrompt, func(l *fakeCluster) {
			l.onDecode = firstDecode(func() *fakeStream { return streamStoppingAt(2, io.EOF) }, nil)
			l.onResume = func(_ context.Context, _ string, n int) (*fakeStream, error) {
				return streamStoppingAt(2+n, io.EOF), nil
			}
		}, 1, 1, 6, time.Second},
		"transfer stalls": {longPrompt, func(l *fakeCluster) {
			l.onDecode = func(ctx context.Context, _ string, n int) (*fakeStream, error) {
				if n == 1 {
					return nil, blockUntilDone(ctx)
				}
				return completeStream(), nil
			}
		}, 1, 2, 0, 4 * time.Second},
		"transfer fails":             {longPrompt, func(l *fakeCluster) { l.onDecode = firstDecode(nil, engine.ErrTransfer) }, 1, 2, 0, time.Second},
		"KV evicted":                 {longPrompt, func(l *fakeCluster) { l.onDecode = firstDecode(nil, engine.ErrGone) }, 2, 2, 0, time.Second},
		"decode server leaving":      {longPrompt, func(l *fakeCluster) { l.onDecode = firstDecode(nil, engine.ErrLeaving) }, 1, 2, 0, time.Second},
		"decode server full":         {longPrompt, func(l *fakeCluster) { l.onDecode = firstDecode(nil, engine.ErrFull) }, 1, 2, 0, time.Second},
		"decode server unreachable":  {longPrompt, func(l *fakeCluster) { l.onDecode = firstDecode(nil, engine.ErrNotSent) }, 1, 1, 0, time.Second},
		"prefill server unreachable": {longPrompt, func(l *fakeCluster) { l.onPrefill = firstPrefill(engine.ErrNotSent) }, 1, 1, 0, time.Second},
		"prefill server leaving":     {longPrompt, func(l *fakeCluster) { l.onPrefill = firstPrefill(engine.ErrLeaving) }, 2, 1, 0, time.Second},
		"transfers stall, and the source does not respond": {longPrompt, func(l *fakeCluster) {
			l.onDecode = func(ctx context.Context, _ string, n int) (*fakeStream, error) {
				if n <= 2 {
					return nil, blockUntilDone(ctx)
				}
				return completeStream(), nil
			}
		}, 2, 3, 0, 6 * time.Second},
		"transfer stalls until the KV is evicted": {longPrompt, func(l *fakeCluster) {
			l.onPrefill = func(_ context.Context, server string, _ int) error {
				l.source = server
				return nil
			}
			l.onDecode = func(ctx context.Context, _ string, n int) (*fakeStream, error) {
				switch {
				case l.source == "prefill-1" && n%2 == 1:
					return nil, blockUntilDone(ctx)
				case l.source == "prefill-1":
					return nil, engine.ErrGone
				}
				return completeStream(), nil
			}
		}, 2, 3, 0, 4 * time.Second},
		"source of the KV failed": {longPrompt, func(l *fakeCluster) {
			l.onDecode = firstDecode(nil, engine.ErrTransfer)
			l.onUptime = func(string) (time.Duration, error) { return 0, engine.ErrNotSent }
		}, 2, 2, 0, time.Second},
		"prefill connection silent": {longPrompt, func(l *fakeCluster) {
			l.onPrefill = func(ctx context.Context, _ string, n int) error {
				if n == 1 {
					return blockUntilDone(ctx)
				}
				return nil
			}
		}, 2, 1, 0, 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newFakeCluster()
				test.set(l)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
				defer cancel()
				sink := &recordingSink{}
				start := time.Now()
				if err := newModels(t, l).Run(ctx, request(test.prompt), sink); err != nil {
					t.Fatalf("no response: %v", err)
				}
				took := time.Since(start)
				time.Sleep(time.Second)
				if got := sink.text.String(); got != completeResponse() {
					t.Errorf("response %q, want %q", got, completeResponse())
				}
				if took > test.within {
					t.Errorf("took %v, want at most %v", took, test.within)
				}
				got := [3]int{len(l.callsOf("prefill")), len(l.callsOf("decode")), len(l.callsOf("resume"))}
				if want := [3]int{test.wantPrefills, test.wantDecodes, test.wantResumes}; got != want {
					t.Errorf("prefills, decodes, resumes: %v, want %v", got, want)
				}
				decodes := l.callsOf("decode")
				l.checkAllReleased(t, map[string]bool{decodes[len(decodes)-1].id: true})
			})
		})
	}
}

// TestReserveWithoutHomes checks that a home that does not respond fails no
// request: the slot is taken without a grant.
//
// proof: daemon killed | reserve | 3
// proof: daemon paused | reserve | 3
func TestReserveWithoutHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeCluster()
		l.onReserve = func(context.Context, string, int) error { return slot.ErrHomeUnreachable }
		sink := &recordingSink{}
		if err := newModels(t, l).Run(t.Context(), request(longPrompt), sink); err != nil {
			t.Fatal(err)
		}
		if l.forced != 1 || sink.text.String() != completeResponse() {
			t.Errorf("%d slots forced, response %q", l.forced, sink.text.String())
		}
		synctest.Wait()
		l.checkAllReleased(t, map[string]bool{l.callsOf("decode")[0].id: true})
	})
}

// TestRetryBudget checks that retries stop when the service's retry budget is
// used up.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeCluster()
		l.onDecode = func(context.Context, string, int) (*fakeStream, error) { return nil, engine.ErrBroken }
		models := newModels(t, l)
		const requests = 1000
		for range requests {
			if models.Run(t.Context(), request(shortPrompt), &recordingSink{}) == nil {
				t.Fatal("a request was completed by engines that all fail")
			}
		}
		maxAttempts := requests + retry.Burst + requests/10
		if got := len(l.callsOf("decode")); got > maxAttempts {
			t.Errorf("%d attempts for %d requests, want at most %d", got, requests, maxAttempts)
		}
	})
}

// TestWastedPrefillTokens checks that prefilled tokens count as wasted exactly
// when no token was decoded from them.
func TestWastedPrefillTokens(t *testing.T) {
	const computed = 60 // of each prefill of the fakes
	tests := map[string]struct {
		set  func(l *fakeCluster, disconnect func())
		want uint64
	}{
		"used": {func(*fakeCluster, func()) {}, 0},
		"used, then the stream is retried on another server": {func(l *fakeCluster, _ func()) {
			l.onDecode = func(_ context.Context, _ string, n int) (*fakeStream, error) {
				if n == 1 {
					return streamStoppingAt(3, io.EOF), nil
				}
				return completeStream(), nil
			}
			l.onResume = resumeNotFound
		}, 0},
		"evicted once": {func(l *fakeCluster, _ func()) {
			l.onDecode = func(_ context.Context, _ string, n int) (*fakeStream, error) {
				if n == 1 {
					return nil, engine.ErrGone
				}
				return completeStream(), nil
			}
		}, computed},
		"caller disconnects during the transfer": {func(l *fakeCluster, disconnect func()) {
			l.onDecode = func(ctx context.Context, _ string, _ int) (*fakeStream, error) {
				disconnect()
				return nil, blockUntilDone(ctx)
			}
		}, computed},
		"caller disconnects before the first token": {func(l *fakeCluster, disconnect func()) {
			l.onDecode = func(context.Context, string, int) (*fakeStream, error) {
				disconnect()
				return streamStoppingAt(0, nil), nil
			}
		}, computed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newFakeCluster()
				set := metrics.NewSet()
				ctx, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				test.set(l, disconnect)
				_ = newModelsWith(l, set).Run(ctx, request(longPrompt), &recordingSink{}) // the test reads only the counter
				if got := set.GetOrCreateCounter(`hickoryfront_prefill_wasted_tokens_total`).Get(); got != test.want {
					t.Errorf("%d tokens wasted, want %d", got, test.want)
				}
			})
		})
	}
}

func firstPrefill(err error) func(context.Context, string, int) error {
	return func(_ context.Context, _ string, n int) error {
		if n == 1 {
			return err
		}
		return nil
	}
}

// TestCallerDisconnects disconnects the caller at each step. All slots must be
// released and all runs cancelled.
//
// proof: caller cancels | reserve | 1
// proof: caller cancels | prefill | 1
// proof: caller cancels | transfer | 1
// proof: caller cancels | first token | 1
// proof: caller cancels | stream | 1
func TestCallerDisconnects(t *testing.T) {
	steps := map[string]func(l *fakeCluster, disconnect func()){
		"reserve": func(l *fakeCluster, disconnect func()) {
			l.onReserve = func(ctx context.Context, _ string, _ int) error {
				disconnect()
				<-ctx.Done()
				return ctx.Err()
			}
		},
		"prefill": func(l *fakeCluster, disconnect func()) {
			l.onPrefill = func(ctx context.Context, _ string, _ int) error {
				disconnect()
				return blockUntilDone(ctx)
			}
		},
		"transfer": func(l *fakeCluster, disconnect func()) {
			l.onDecode = func(ctx context.Context, _ string, _ int) (*fakeStream, error) {
				disconnect()
				return nil, blockUntilDone(ctx)
			}
		},
		"first token": func(l *fakeCluster, disconnect func()) {
			l.onDecode = func(context.Context, string, int) (*fakeStream, error) {
				disconnect()
				return completeStream(), nil
			}
		},
		"stream": func(l *fakeCluster, disconnect func()) {
			l.onDecode = func(context.Context, string, int) (*fakeStream, error) {
				time.AfterFunc(3*tokenGap, disconnect)
				return completeStream(), nil
			}
		},
		"resume": func(l *fakeCluster, disconnect func()) {
			l.onDecode = func(context.Context, string, int) (*fakeStream, error) { return streamStoppingAt(3, nil), nil }
			l.onResume = func(ctx context.Context, _ string, _ int) (*fakeStream, error) {
				disconnect()
				return nil, blockUntilDone(ctx)
			}
		},
	}
	for name, set := range steps {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newFakeCluster()
				ctx, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				set(l, disconnect)
				// The engine confirms a cancellation only at the third attempt.
				l.onCancel = func(_ string, n int) error {
					if n < 3 {
						return engine.ErrBroken
					}
					return nil
				}
				err := newModels(t, l).Run(ctx, request(longPrompt), &recordingSink{})
				if !errors.Is(err, context.Canceled) {
					t.Errorf("got %v, want context.Canceled", err)
				}
				time.Sleep(10 * time.Second)
				l.checkAllReleased(t, nil)
				for _, p := range l.callsOf("prefill") {
					if len(l.callsOf("decode")) == 0 && !wasCancelled(l, p) {
						t.Errorf("prefill on %s was not cancelled", p.server)
					}
				}
			})
		})
	}
}

func wasCancelled(l *fakeCluster, s engineCall) bool {
	for _, c := range l.cancels {
		if c.server == s.server && c.id == s.id {
			return true
		}
	}
	return false
}
