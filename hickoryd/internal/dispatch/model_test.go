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

func newModels(_ *testing.T, l *lab) *dispatch.Models {
	return newModelsWith(l, metrics.NewSet())
}

func newModelsWith(l *lab, set *metrics.Set) *dispatch.Models {
	return dispatch.NewModels("salt-lake", labPolicy{}, l, l, l, l, noCrashes{}, newCanceller(l, set), set)
}

// Whatever fails, the caller gets its whole answer once, and nothing is held.
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
func TestAnswerIsWholeAfterFailures(t *testing.T) {
	firstDecode := func(stream func() *fakeStream, err error) func(context.Context, string, int) (*fakeStream, error) {
		return func(_ context.Context, _ string, n int) (*fakeStream, error) {
			if n > 1 {
				return whole(), nil
			}
			if err != nil {
				return nil, err
			}
			return stream(), nil
		}
	}
	hangs := func(ctx context.Context, _ string, _ int) (*fakeStream, error) { return nil, hang(ctx) }
	tests := map[string]struct {
		prompt       string
		set          func(l *lab)
		wantPrefills int
		wantDecodes  int
		wantResumes  int
		within       time.Duration
	}{
		"nothing fails": {longPrompt, func(*lab) {}, 1, 1, 0, time.Second},
		"silent in the middle": {longPrompt, func(l *lab) {
			l.onDecode = firstDecode(func() *fakeStream { return stopsAt(3, nil) }, nil)
		}, 1, 1, 1, time.Second},
		"silent before the last token": {longPrompt, func(l *lab) {
			l.onDecode = firstDecode(func() *fakeStream { return stopsAt(answerTokens-1, nil) }, nil)
		}, 1, 1, 1, time.Second},
		"silent before the first token": {longPrompt, func(l *lab) {
			l.onDecode = firstDecode(func() *fakeStream { return stopsAt(0, nil) }, nil)
		}, 1, 1, 1, 4 * time.Second},
		"broken in the middle": {longPrompt, func(l *lab) {
			l.onDecode = firstDecode(func() *fakeStream { return stopsAt(3, io.EOF) }, nil)
		}, 1, 1, 1, time.Second},
		"silent, and the engine is frozen": {longPrompt, func(l *lab) {
			l.onDecode = firstDecode(func() *fakeStream { return stopsAt(3, nil) }, nil)
			l.onResume = hangs
		}, 2, 2, 2, 4 * time.Second},
		"broken, and the engine is gone": {longPrompt, func(l *lab) {
			l.onDecode = firstDecode(func() *fakeStream { return stopsAt(3, engine.ErrBroken) }, nil)
			l.onResume = func(context.Context, string, int) (*fakeStream, error) { return nil, engine.ErrNotSent }
		}, 2, 2, 0, time.Second},
		"cancelled by a home that took the daemon for dead": {longPrompt, func(l *lab) {
			l.onDecode = firstDecode(func() *fakeStream { return stopsAt(3, io.EOF) }, nil)
			l.onResume = gone
		}, 2, 2, 1, time.Second},
		"resumed streams break too": {longPrompt, func(l *lab) {
			l.onDecode = firstDecode(func() *fakeStream { return stopsAt(2, io.EOF) }, nil)
			l.onResume = func(_ context.Context, _ string, n int) (*fakeStream, error) { return stopsAt(2+n, io.EOF), nil }
		}, 1, 1, 6, time.Second},
		"transfer stalls": {longPrompt, func(l *lab) {
			l.onDecode = func(ctx context.Context, _ string, n int) (*fakeStream, error) {
				if n == 1 {
					return nil, hang(ctx)
				}
				return whole(), nil
			}
		}, 1, 2, 0, 4 * time.Second},
		"transfer fails":           {longPrompt, func(l *lab) { l.onDecode = firstDecode(nil, engine.ErrTransfer) }, 1, 2, 0, time.Second},
		"KV evicted":               {longPrompt, func(l *lab) { l.onDecode = firstDecode(nil, engine.ErrGone) }, 2, 2, 0, time.Second},
		"decode server leaving":    {longPrompt, func(l *lab) { l.onDecode = firstDecode(nil, engine.ErrLeaving) }, 1, 2, 0, time.Second},
		"decode server full":       {longPrompt, func(l *lab) { l.onDecode = firstDecode(nil, engine.ErrFull) }, 1, 2, 0, time.Second},
		"decode server not there":  {longPrompt, func(l *lab) { l.onDecode = firstDecode(nil, engine.ErrNotSent) }, 1, 1, 0, time.Second},
		"prefill server not there": {longPrompt, func(l *lab) { l.onPrefill = firstPrefill(engine.ErrNotSent) }, 1, 1, 0, time.Second},
		"prefill server leaving":   {longPrompt, func(l *lab) { l.onPrefill = firstPrefill(engine.ErrLeaving) }, 2, 1, 0, time.Second},
		"transfers stall, and the source is frozen": {longPrompt, func(l *lab) {
			l.onDecode = func(ctx context.Context, _ string, n int) (*fakeStream, error) {
				if n <= 2 {
					return nil, hang(ctx)
				}
				return whole(), nil
			}
		}, 2, 3, 0, 6 * time.Second},
		"transfer stalls until the KV is evicted": {longPrompt, func(l *lab) {
			l.onPrefill = func(_ context.Context, server string, _ int) error {
				l.source = server
				return nil
			}
			l.onDecode = func(ctx context.Context, _ string, n int) (*fakeStream, error) {
				switch {
				case l.source == "prefill-1" && n%2 == 1:
					return nil, hang(ctx)
				case l.source == "prefill-1":
					return nil, engine.ErrGone
				}
				return whole(), nil
			}
		}, 2, 3, 0, 4 * time.Second},
		"source of the KV died": {longPrompt, func(l *lab) {
			l.onDecode = firstDecode(nil, engine.ErrTransfer)
			l.onUptime = func(string) (time.Duration, error) { return 0, engine.ErrNotSent }
		}, 2, 2, 0, time.Second},
		"prefill connection silent": {longPrompt, func(l *lab) {
			l.onPrefill = func(ctx context.Context, _ string, n int) error {
				if n == 1 {
					return hang(ctx)
				}
				return nil
			}
		}, 2, 1, 0, 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLab()
				test.set(l)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
				defer cancel()
				sink := &sinkLog{}
				start := time.Now()
				if err := newModels(t, l).Run(ctx, request(test.prompt), sink); err != nil {
					t.Fatalf("no answer: %v", err)
				}
				took := time.Since(start)
				time.Sleep(time.Second)
				if got := sink.text.String(); got != wholeAnswer() {
					t.Errorf("answer %q, want %q", got, wholeAnswer())
				}
				if took > test.within {
					t.Errorf("took %v, want at most %v", took, test.within)
				}
				got := [3]int{len(l.ran("prefill")), len(l.ran("decode")), len(l.ran("resume"))}
				if want := [3]int{test.wantPrefills, test.wantDecodes, test.wantResumes}; got != want {
					t.Errorf("prefills, decodes, resumes: %v, want %v", got, want)
				}
				decodes := l.ran("decode")
				l.checkNothingHeld(t, map[string]bool{decodes[len(decodes)-1].id: true})
			})
		})
	}
}

// A home that does not answer costs no request: the slot is taken without it.
//
// proof: daemon killed | reserve | 3
// proof: daemon paused | reserve | 3
func TestReserveWithoutHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab()
		l.onReserve = func(context.Context, string, int) error { return slot.ErrHomeUnreachable }
		sink := &sinkLog{}
		if err := newModels(t, l).Run(t.Context(), request(longPrompt), sink); err != nil {
			t.Fatal(err)
		}
		if l.forced != 1 || sink.text.String() != wholeAnswer() {
			t.Errorf("%d slots forced, answer %q", l.forced, sink.text.String())
		}
		synctest.Wait()
		l.checkNothingHeld(t, map[string]bool{l.ran("decode")[0].id: true})
	})
}

// Retries stop when the service's budget is used up.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab()
		l.onDecode = func(context.Context, string, int) (*fakeStream, error) { return nil, engine.ErrBroken }
		models := newModels(t, l)
		const requests = 1000
		for range requests {
			if models.Run(t.Context(), request(shortPrompt), &sinkLog{}) == nil {
				t.Fatal("a request was answered by engines that all fail")
			}
		}
		most := requests + retry.Burst + requests/10
		if got := len(l.ran("decode")); got > most {
			t.Errorf("%d attempts for %d requests, want at most %d", got, requests, most)
		}
	})
}

// Prefill work counts as wasted exactly when no token was decoded from it.
func TestWastedPrefillTokens(t *testing.T) {
	const computed = 60 // of each prefill of the fakes
	tests := map[string]struct {
		set  func(l *lab, leave func())
		want uint64
	}{
		"used": {func(*lab, func()) {}, 0},
		"used, then the stream moves on": {func(l *lab, _ func()) {
			l.onDecode = func(_ context.Context, _ string, n int) (*fakeStream, error) {
				if n == 1 {
					return stopsAt(3, io.EOF), nil
				}
				return whole(), nil
			}
			l.onResume = gone
		}, 0},
		"evicted once": {func(l *lab, _ func()) {
			l.onDecode = func(_ context.Context, _ string, n int) (*fakeStream, error) {
				if n == 1 {
					return nil, engine.ErrGone
				}
				return whole(), nil
			}
		}, computed},
		"caller leaves during the transfer": {func(l *lab, leave func()) {
			l.onDecode = func(ctx context.Context, _ string, _ int) (*fakeStream, error) {
				leave()
				return nil, hang(ctx)
			}
		}, computed},
		"caller leaves before the first token": {func(l *lab, leave func()) {
			l.onDecode = func(context.Context, string, int) (*fakeStream, error) {
				leave()
				return stopsAt(0, nil), nil
			}
		}, computed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLab()
				set := metrics.NewSet()
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				test.set(l, leave)
				_ = newModelsWith(l, set).Run(ctx, request(longPrompt), &sinkLog{}) // the counter is what counts
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

// A caller that goes leaves nothing behind, at whatever step it goes.
//
// proof: caller cancels | reserve | 1
// proof: caller cancels | prefill | 1
// proof: caller cancels | transfer | 1
// proof: caller cancels | first token | 1
// proof: caller cancels | stream | 1
func TestCallerLeaves(t *testing.T) {
	steps := map[string]func(l *lab, leave func()){
		"reserve": func(l *lab, leave func()) {
			l.onReserve = func(ctx context.Context, _ string, _ int) error {
				leave()
				<-ctx.Done()
				return ctx.Err()
			}
		},
		"prefill": func(l *lab, leave func()) {
			l.onPrefill = func(ctx context.Context, _ string, _ int) error {
				leave()
				return hang(ctx)
			}
		},
		"transfer": func(l *lab, leave func()) {
			l.onDecode = func(ctx context.Context, _ string, _ int) (*fakeStream, error) {
				leave()
				return nil, hang(ctx)
			}
		},
		"first token": func(l *lab, leave func()) {
			l.onDecode = func(context.Context, string, int) (*fakeStream, error) {
				leave()
				return whole(), nil
			}
		},
		"stream": func(l *lab, leave func()) {
			l.onDecode = func(context.Context, string, int) (*fakeStream, error) {
				time.AfterFunc(3*tokenGap, leave)
				return whole(), nil
			}
		},
		"resume": func(l *lab, leave func()) {
			l.onDecode = func(context.Context, string, int) (*fakeStream, error) { return stopsAt(3, nil), nil }
			l.onResume = func(ctx context.Context, _ string, _ int) (*fakeStream, error) {
				leave()
				return nil, hang(ctx)
			}
		},
	}
	for name, set := range steps {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLab()
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				set(l, leave)
				// The engine confirms a cancel only at the third try.
				l.onCancel = func(_ string, n int) error {
					if n < 3 {
						return engine.ErrBroken
					}
					return nil
				}
				err := newModels(t, l).Run(ctx, request(longPrompt), &sinkLog{})
				if !errors.Is(err, context.Canceled) {
					t.Errorf("got %v, want context.Canceled", err)
				}
				time.Sleep(10 * time.Second)
				l.checkNothingHeld(t, nil)
				for _, p := range l.ran("prefill") {
					if len(l.ran("decode")) == 0 && !wasCancelled(l, p) {
						t.Errorf("prefill on %s was not cancelled", p.server)
					}
				}
			})
		})
	}
}

func wasCancelled(l *lab, s step) bool {
	for _, c := range l.cancels {
		if c.server == s.server && c.id == s.id {
			return true
		}
	}
	return false
}
