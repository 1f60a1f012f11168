package dispatch_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/core/retry"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
)

// pausingEngine is a decode server that stops sending at token stopAt for pause,
// and then goes on.
type pausingEngine struct {
	stopAt   int
	pause    time.Duration
	noHeader bool // pauses before the response header
	answers  bool // responds to resumes during the pause, but sends no token
	resumeAt time.Time
}

func (e *pausingEngine) decode(ctx context.Context) (*fakeStream, error) {
	e.resumeAt = time.Now().Add(time.Duration(e.stopAt)*tokenGap + e.pause)
	if e.noHeader {
		return e.resume(ctx)
	}
	return streamStoppingAt(e.stopAt, nil), nil
}

func (e *pausingEngine) resume(ctx context.Context) (*fakeStream, error) {
	left := time.Until(e.resumeAt)
	switch {
	case left <= 0:
		return completeStream(), nil
	case e.answers:
		return streamStoppingAt(e.stopAt, nil), nil
	}
	select {
	case <-ctx.Done():
		return nil, blockUntilDone(ctx)
	case <-time.After(left):
		return completeStream(), nil
	}
}

// TestSilentServerIsKeptWithoutReplacement guards against a response that is lost
// because the host gives up a server that is silent for a moment although no other
// server can take over.
//
// proof: silent connection | stream | 3
// proof: silent connection | first token | 3
// proof: silent connection | transfer | 3
func TestSilentServerIsKeptWithoutReplacement(t *testing.T) {
	noSecondSlot := func(err error) func(context.Context, string, int) error {
		return func(_ context.Context, _ string, n int) error {
			if n > 1 {
				return err
			}
			return nil
		}
	}
	tests := map[string]struct {
		set func(l *fakeCluster)
		// refusedDecodes is the number of decodes before the one that runs, all
		// refused with refusal.
		refusedDecodes int
		refusal        error
		requestsBefore int  // requests that fail and use up the retry budget
		needsPrefill   bool // possible only once a token was decoded from the KV cache
	}{
		"no other server has a slot": {set: func(l *fakeCluster) { l.onReserve = noSecondSlot(slot.ErrFull) }},
		"no prefill server takes the prompt": {needsPrefill: true, set: func(l *fakeCluster) {
			l.onReservePrefill = func(_ string, n int) error {
				if n > 1 {
					return slot.ErrBacklog
				}
				return nil
			}
		}},
		"no attempt is left":      {set: func(*fakeCluster) {}, refusedDecodes: 3, refusal: engine.ErrFull},
		"retry budget is used up": {set: func(*fakeCluster) {}, requestsBefore: 2 * retry.Burst, refusal: engine.ErrBroken},
	}
	engines := map[string]pausingEngine{
		"silent in the middle":                        {stopAt: 3, pause: 3 * time.Second},
		"silent in the middle, and accepts resumes":   {stopAt: 3, pause: 3 * time.Second, answers: true},
		"silent in the middle, 10 s":                  {stopAt: 3, pause: 10 * time.Second},
		"silent before the first token":               {pause: 5 * time.Second},
		"silent before the response header":           {pause: 5 * time.Second, noHeader: true},
		"silent before the response header, 20 s":     {pause: 20 * time.Second, noHeader: true},
		"silent before the first token, then resumes": {pause: 10 * time.Second, answers: true},
	}
	for name, test := range tests {
		for engineName, e := range engines {
			if test.needsPrefill && e.stopAt == 0 {
				continue
			}
			t.Run(name+"/"+engineName, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newFakeCluster()
					l.onDecode = func(context.Context, string, int) (*fakeStream, error) { return nil, test.refusal }
					models := newModels(t, l)
					for range test.requestsBefore {
						if models.Run(t.Context(), request(shortPrompt), &recordingSink{}) == nil {
							t.Fatal("a request was completed by engines that all fail")
						}
					}
					synctest.Wait()
					callsBefore := len(l.callsOf("decode"))
					l.callCounts = map[string]int{}
					test.set(l)
					l.onDecode = func(ctx context.Context, _ string, n int) (*fakeStream, error) {
						if n <= test.refusedDecodes {
							return nil, test.refusal
						}
						return e.decode(ctx)
					}
					l.onResume = func(ctx context.Context, _ string, _ int) (*fakeStream, error) { return e.resume(ctx) }
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					sink := &recordingSink{}
					r := request(longPrompt)
					r.Profile.MaxWait = 2 * time.Second // a server that has refused the request is avoided for 1 s
					if err := models.Run(ctx, r, sink); err != nil {
						t.Fatalf("no response: %v", err)
					}
					if late := time.Since(e.resumeAt); late > time.Second {
						t.Errorf("complete %v after the server went on", late)
					}
					if got := sink.text.String(); got != completeResponse() {
						t.Errorf("response %q, want %q", got, completeResponse())
					}
					decodes := l.callsOf("decode")
					if got := len(decodes) - callsBefore; got != test.refusedDecodes+1 {
						t.Errorf("%d decodes, want %d", got, test.refusedDecodes+1)
					}
					synctest.Wait()
					l.checkAllReleased(t, map[string]bool{decodes[len(decodes)-1].id: true})
				})
			})
		}
	}
}

// TestSilentServerIsKeptUntilTheCallerLeaves guards against a server that is kept
// although its caller has left, against resumes in a tight loop, and against a
// search for a replacement that uses up the retry budget.
//
// proof: caller cancels | stream | 1
func TestSilentServerIsKeptUntilTheCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeCluster()
		set := metrics.NewSet()
		l.onReserve = func(_ context.Context, _ string, n int) error {
			if n > 1 {
				return slot.ErrFull
			}
			return nil
		}
		l.onDecode = func(context.Context, string, int) (*fakeStream, error) { return streamStoppingAt(3, nil), nil }
		l.onResume = func(context.Context, string, int) (*fakeStream, error) { return streamStoppingAt(3, nil), nil }
		const patience = 30 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		started := time.Now()
		err := newModelsWith(l, set).Run(ctx, request(shortPrompt), &recordingSink{})
		if took := time.Since(started); !errors.Is(err, context.DeadlineExceeded) || took < patience {
			t.Errorf("%v after %v, want the caller's deadline after %v", err, took, patience)
		}
		if got, most := len(l.callsOf("resume")), int(patience/(250*time.Millisecond)); got > most {
			t.Errorf("%d resumes in %v, want at most %d", got, patience, most)
		}
		if got := set.GetOrCreateCounter(`hickoryfront_retries_over_budget_total`).Get(); got != 0 {
			t.Errorf("the retry budget refused %d retries of a request that made none", got)
		}
		synctest.Wait()
		l.checkAllReleased(t, nil)
	})
}

// becomesSuspect is a crash table in which the request becomes a suspect after its
// first attempt.
type becomesSuspect struct {
	noCrashes
	checks atomic.Int32
}

func (s *becomesSuspect) Check(context.Context, time.Time, uint64) crash.Decision {
	if s.checks.Add(1) == 1 {
		return crash.Clear
	}
	return crash.Isolate
}

// TestSilentServerIsReplaced guards against a response that waits for a server that
// stays silent although another has become free, and against slots and places in
// prefill queues that are lost or released early when that server takes over.
//
// proof: silent connection | stream | 3
func TestSilentServerIsReplaced(t *testing.T) {
	tests := map[string]struct {
		crashes      dispatch.Crashes
		wantIsolated bool
	}{
		"by another server":                          {crashes: noCrashes{}},
		"by an isolated run, as it became a suspect": {crashes: &becomesSuspect{}, wantIsolated: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const freeAfter = 5 * time.Second
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				l := newFakeCluster()
				started := time.Now()
				l.onReserve = func(_ context.Context, _ string, n int) error {
					if n > 1 && time.Since(started) < freeAfter {
						return slot.ErrFull
					}
					return nil
				}
				l.onDecode = func(_ context.Context, _ string, n int) (*fakeStream, error) {
					if n == 1 {
						return streamStoppingAt(3, nil), nil
					}
					return completeStream(), nil
				}
				l.onResume = func(ctx context.Context, _ string, _ int) (*fakeStream, error) { return nil, blockUntilDone(ctx) }
				set := metrics.NewSet()
				models := dispatch.NewModels("salt-lake", fakePolicy{}, l, l, l, l, test.crashes, newCanceller(l, set), set)
				sink := &recordingSink{}
				if err := models.Run(ctx, request(longPrompt), sink); err != nil {
					t.Fatalf("no response: %v", err)
				}
				if took := time.Since(started); took > freeAfter+3*time.Second {
					t.Errorf("complete after %v, want at most 3s after %v", took, freeAfter)
				}
				if got := sink.text.String(); got != completeResponse() {
					t.Errorf("response %q, want %q", got, completeResponse())
				}
				if l.unreserved > 0 {
					t.Errorf("%d places in prefill queues were released before their prefills", l.unreserved)
				}
				decodes := l.callsOf("decode")
				if len(decodes) != 2 || decodes[0].server == decodes[1].server {
					t.Fatalf("decodes %v, want two on different servers", decodes)
				}
				if got := l.isolated[decodes[1].id]; got != test.wantIsolated {
					t.Errorf("second run isolated: %v, want %v", got, test.wantIsolated)
				}
				synctest.Wait()
				l.checkAllReleased(t, map[string]bool{decodes[1].id: true})
			})
		})
	}
}

// TestCallerLeavesAsAnotherServerTakesOver guards against a slot that stays
// reserved when the caller leaves between the end of a silent run and the run that
// replaces it.
//
// proof: caller cancels | stream | 1
func TestCallerLeavesAsAnotherServerTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeCluster()
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		l.onDecode = func(context.Context, string, int) (*fakeStream, error) { return streamStoppingAt(3, nil), nil }
		l.onResume = func(ctx context.Context, _ string, _ int) (*fakeStream, error) { return nil, blockUntilDone(ctx) }
		l.onUptime = func(string) (time.Duration, error) {
			leave()
			return time.Hour, nil
		}
		if err := newModels(t, l).Run(ctx, request(longPrompt), &recordingSink{}); !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want context.Canceled", err)
		}
		if got := len(l.callsOf("decode")); got != 1 {
			t.Errorf("%d decodes, want 1", got)
		}
		synctest.Wait()
		l.checkAllReleased(t, nil)
	})
}

// TestSilentServerThatIsNoLongerListed guards against a caller that waits for a server
// that the platform has removed.
//
// proof: backend server killed | stream | 3
func TestSilentServerThatIsNoLongerListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const removedAfter = 5 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		l := newFakeCluster()
		l.onDecode = func(context.Context, string, int) (*fakeStream, error) { return streamStoppingAt(3, nil), nil }
		l.onResume = func(ctx context.Context, _ string, _ int) (*fakeStream, error) { return nil, blockUntilDone(ctx) }
		l.onReserve = func(_ context.Context, _ string, n int) error {
			if n > 1 {
				return slot.ErrFull
			}
			return nil
		}
		started := time.Now()
		time.AfterFunc(removedAfter, func() { l.removeServers() })
		err := newModels(t, l).Run(ctx, request(shortPrompt), &recordingSink{})
		took := time.Since(started)
		if r := refusal.FromError(err); r == nil || r.Ran != refusal.RanUnknown {
			t.Errorf("got %v, want a refusal that says that the request may have run", err)
		}
		if took < removedAfter || took > removedAfter+3*time.Second {
			t.Errorf("refused after %v, want within 3s after %v", took, removedAfter)
		}
		synctest.Wait()
		l.checkAllReleased(t, nil)
	})
}

// TestSilentPrefillIsKeptWithoutReplacement guards against a request that is refused
// because the host gives up a prefill that is silent for a moment although nothing
// can replace it.
//
// proof: silent connection | prefill | 3
func TestSilentPrefillIsKeptWithoutReplacement(t *testing.T) {
	const pause = 20 * time.Second
	prefillLater := func(ctx context.Context, _ string, _ int) error {
		select {
		case <-ctx.Done():
			return blockUntilDone(ctx)
		case <-time.After(pause):
			return nil
		}
	}
	tests := map[string]struct {
		set            func(l *fakeCluster)
		requestsBefore int // requests that fail and use up the retry budget
		wantPrefills   int
	}{
		"no attempt is left": {set: func(l *fakeCluster) {
			l.onPrefill = func(ctx context.Context, server string, n int) error {
				if n < 4 {
					return nil
				}
				return prefillLater(ctx, server, n)
			}
			l.onDecode = func(_ context.Context, _ string, n int) (*fakeStream, error) {
				if n < 4 {
					return streamStoppingAt(n, engine.ErrBroken), nil
				}
				return completeStream(), nil
			}
			l.onResume = resumeNotFound
			l.onlyPrefill = "prefill-1"
		}, wantPrefills: 4},
		"retry budget is used up": {set: func(l *fakeCluster) {
			l.onPrefill = prefillLater
		}, requestsBefore: 2 * retry.Burst, wantPrefills: 1},
		"no slot for another attempt": {set: func(l *fakeCluster) {
			l.onPrefill = prefillLater
			l.onReserve = func(_ context.Context, _ string, n int) error {
				if n > 1 {
					return slot.ErrFull
				}
				return nil
			}
			l.onlyPrefill = "prefill-1"
		}, wantPrefills: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				l := newFakeCluster()
				l.onDecode = func(context.Context, string, int) (*fakeStream, error) { return nil, engine.ErrBroken }
				models := newModels(t, l)
				for range test.requestsBefore {
					if models.Run(ctx, request(shortPrompt), &recordingSink{}) == nil {
						t.Fatal("a request was completed by engines that all fail")
					}
				}
				synctest.Wait()
				l.callCounts = map[string]int{}
				l.onDecode = nil
				test.set(l)
				sink := &recordingSink{}
				r := request(longPrompt)
				r.Profile.MaxWait = 2 * time.Second
				if err := models.Run(ctx, r, sink); err != nil {
					t.Fatalf("no response: %v", err)
				}
				if got := sink.text.String(); got != completeResponse() {
					t.Errorf("response %q, want %q", got, completeResponse())
				}
				if got := len(l.callsOf("prefill")); got != test.wantPrefills {
					t.Errorf("%d prefills, want %d", got, test.wantPrefills)
				}
				synctest.Wait()
				decodes := l.callsOf("decode")
				l.checkAllReleased(t, map[string]bool{decodes[len(decodes)-1].id: true})
			})
		})
	}
}

// TestLastRetryReplacesSilentPrefill guards against a retry that is charged twice: when
// the silent prefill is given up, and when the next one begins.
//
// proof: silent connection | prefill | 3
func TestLastRetryReplacesSilentPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		l := newFakeCluster()
		models := newModels(t, l)
		r := request(shortPrompt)
		r.Profile.RetryRatio = 0
		for range retry.Burst - 1 {
			l.callCounts = map[string]int{}
			l.onDecode = func(_ context.Context, _ string, n int) (*fakeStream, error) {
				if n == 1 {
					return nil, engine.ErrBroken
				}
				return nil, engine.ErrInvalid
			}
			if models.Run(ctx, r, &recordingSink{}) == nil {
				t.Fatal("a request was completed by engines that all fail")
			}
		}
		l.onDecode = nil
		l.onPrefill = func(ctx context.Context, _ string, n int) error {
			if n == 1 {
				return blockUntilDone(ctx)
			}
			return nil
		}
		sink := &recordingSink{}
		r.Prompt = longPrompt
		r.ArrivedAt = time.Now()
		if err := models.Run(ctx, r, sink); err != nil {
			t.Fatalf("no response: %v", err)
		}
		if got := sink.text.String(); got != completeResponse() {
			t.Errorf("response %q, want %q", got, completeResponse())
		}
		if got := len(l.callsOf("prefill")); got != 2 {
			t.Errorf("%d prefills, want 2", got)
		}
	})
}

// TestPrefillOverDeadConnection guards against a request that waits for a prefill
// whose connection is dead although its server, the only one, is sound.
//
// proof: silent connection | prefill | 3
func TestPrefillOverDeadConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		l := newFakeCluster()
		l.onlyPrefill = "prefill-1"
		l.onPrefill = func(ctx context.Context, _ string, n int) error {
			if n == 1 {
				return blockUntilDone(ctx)
			}
			return nil
		}
		sink := &recordingSink{}
		started := time.Now()
		if err := newModels(t, l).Run(ctx, request(longPrompt), sink); err != nil {
			t.Fatalf("no response: %v", err)
		}
		if took := time.Since(started); took > 8*time.Second {
			t.Errorf("complete after %v, want at most 8s", took)
		}
		if got := sink.text.String(); got != completeResponse() {
			t.Errorf("response %q, want %q", got, completeResponse())
		}
		synctest.Wait()
		l.checkAllReleased(t, map[string]bool{l.callsOf("decode")[0].id: true})
	})
}

// TestDecodeOverDeadConnection guards against a request that waits for a call whose
// connection is dead although its server, the only one with a free slot, is sound.
//
// proof: silent connection | transfer | 3
func TestDecodeOverDeadConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		l := newFakeCluster()
		l.onReserve = func(_ context.Context, server string, _ int) error {
			if server != "decode-1" {
				return slot.ErrFull
			}
			return nil
		}
		l.onDecode = func(ctx context.Context, _ string, n int) (*fakeStream, error) {
			if n == 1 {
				return nil, blockUntilDone(ctx)
			}
			return completeStream(), nil
		}
		sink := &recordingSink{}
		started := time.Now()
		if err := newModels(t, l).Run(ctx, request(longPrompt), sink); err != nil {
			t.Fatalf("no response: %v", err)
		}
		if took := time.Since(started); took > 5*time.Second {
			t.Errorf("complete after %v, want at most 5s", took)
		}
		if got := sink.text.String(); got != completeResponse() {
			t.Errorf("response %q, want %q", got, completeResponse())
		}
		synctest.Wait()
		l.checkAllReleased(t, map[string]bool{l.callsOf("decode")[1].id: true})
	})
}
