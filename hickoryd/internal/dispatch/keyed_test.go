package dispatch_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	horizon  = 10 * time.Minute
	workTime = 5 * time.Second

	// peersTimeout is the standard of peers.timeout.
	peersTimeout = 3 * time.Second
	takeoverTime = 5 * time.Second
)

var (
	owner   = claim.Owner{Host: "h1", Incarnation: 1}
	errLost = errors.New("answer lost")
)

type (
	// claims is the home of all keys.
	claims struct {
		mu         sync.Mutex
		table      *claim.Table
		loseClaims int // this many claims take effect and get no answer
		// unreachableUntil is when the next home has taken the keys over.
		unreachableUntil time.Time
		loseSettles      int           // this many settles get no answer and no effect
		pause            time.Duration // of the owner, after its claim was granted
	}

	// work writes an answer after some time and counts its runs.
	work struct {
		mu        sync.Mutex
		runs      int
		cancelled int
		refusal   *refusal.Refusal
	}
)

func (c *claims) Claim(_ context.Context, now time.Time, wanted claim.Grant) (claim.Outcome, claim.Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.unreachableUntil) {
		return claim.Undecided, claim.Grant{}, errLost
	}
	outcome, grant, err := c.table.Claim(now, wanted)
	if c.loseClaims > 0 {
		c.loseClaims--
		return claim.Undecided, claim.Grant{}, errLost
	}
	time.Sleep(c.pause)
	return outcome, grant, err
}

func (c *claims) Settle(_ context.Context, _ time.Time, grant claim.Grant, notRun bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loseSettles > 0 {
		c.loseSettles--
		return errLost
	}
	if notRun {
		c.table.Withdraw(grant.Key, grant.RequestID)
	} else {
		c.table.Settle(grant.Key, grant.RequestID, grant.Answer, grant.Unknown)
	}
	return nil
}

func (c *claims) Attach(context.Context, claim.Owner, string, int) (grpc.ServerStreamingClient[peerapi.AttachResponse], error) {
	return nil, errLost
}

func (w *work) Run(ctx context.Context, to *dispatch.Recording) error {
	w.mu.Lock()
	w.runs++
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		w.mu.Lock()
		defer w.mu.Unlock()
		w.cancelled++
		return refusal.MayHaveRun(refusal.OutcomeUnknown, "cancelled")
	case <-time.After(workTime):
	}
	if w.refusal != nil {
		return w.refusal
	}
	to.WriteHeader(http.StatusCreated)
	_, err := to.Write([]byte("held"))
	return err
}

func newKeyed(c *claims) *dispatch.Keyed {
	return dispatch.NewKeyed(owner, c, c, dispatch.NewRecordings(1000), takeoverTime, metrics.NewSet())
}

func keyedRequest(id string, releasable bool) dispatch.KeyedRequest {
	return dispatch.KeyedRequest{
		ID: id, Key: claim.Key{Value: "k"}, Horizon: horizon, Timeout: time.Minute, Releasable: releasable,
	}
}

func send(ctx context.Context, k *dispatch.Keyed, r dispatch.KeyedRequest, w *work) (claim.Answer, error) {
	source, err := k.Open(ctx, r, w)
	if err != nil {
		return claim.Answer{}, err
	}
	return dispatch.Collect(ctx, source)
}

// inBubble runs a test with a home and a daemon, and waits for what they left.
func inBubble(t *testing.T, test func(t *testing.T, c *claims, k *dispatch.Keyed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &claims{table: claim.NewTable(10)}
		k := newKeyed(c)
		test(t, c, k)
		k.Close(t.Context())
	})
}

func wantAnswer(t *testing.T, answer claim.Answer, err error) {
	t.Helper()
	if err != nil || answer.Status != http.StatusCreated || string(answer.Body) != "held" {
		t.Errorf("answer %+v, %v", answer, err)
	}
}

func wantRefusal(t *testing.T, err error, kind refusal.Kind, ran refusal.Ran) {
	t.Helper()
	if r := refusal.FromError(err); r == nil || r.Kind != kind || r.Ran != ran {
		t.Errorf("got %v, want a refusal of kind %s, ran %s", err, kind.Code, ran)
	}
}

// TestSendersOfOneKeyShareOneRun sends a key again while it runs and afterwards.
//
// proof: none | answer | 2
func TestSendersOfOneKeyShareOneRun(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *claims, k *dispatch.Keyed) {
		var w work
		var group sync.WaitGroup
		for _, id := range []string{"1", "2", "3"} {
			group.Go(func() {
				answer, err := send(t.Context(), k, keyedRequest(id, false), &w)
				wantAnswer(t, answer, err)
			})
		}
		group.Wait()
		answer, err := send(t.Context(), k, keyedRequest("4", false), &w)
		wantAnswer(t, answer, err)
		if w.runs != 1 {
			t.Errorf("%d runs", w.runs)
		}
	})
}

// TestCallerThatLeaves lets the caller go while its request runs, and sends the
// key again after some time.
//
// proof: caller cancels | stream | 1
// proof: caller cancels | stream | 2
// proof: caller cancels | answer | 5
func TestCallerThatLeaves(t *testing.T) {
	tests := []struct {
		name       string
		releasable bool
		after      time.Duration
		wantRuns   int
		wantCancel int
	}{
		{name: "call, resent while it runs", after: time.Second, wantRuns: 1},
		{name: "call, resent after it ended", after: time.Minute, wantRuns: 1},
		{name: "completion, resent at once", releasable: true, after: time.Second, wantRuns: 1},
		{name: "completion, resent too late", releasable: true, after: 4 * time.Second, wantRuns: 2, wantCancel: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, _ *claims, k *dispatch.Keyed) {
				var w work
				ctx, leave := context.WithTimeout(t.Context(), time.Second)
				defer leave()
				if _, err := send(ctx, k, keyedRequest("1", test.releasable), &w); !errors.Is(err, context.Canceled) {
					t.Errorf("caller that left got %v", err)
				}
				time.Sleep(test.after)
				answer, err := send(t.Context(), k, keyedRequest("2", test.releasable), &w)
				wantAnswer(t, answer, err)
				if w.runs != test.wantRuns || w.cancelled != test.wantCancel {
					t.Errorf("%d runs, %d cancelled; want %d, %d", w.runs, w.cancelled, test.wantRuns, test.wantCancel)
				}
			})
		})
	}
}

// TestLostClaimAnswer loses the home's answers for longer than the caller waits:
// it is told "not run", and its key may be sent again.
//
// proof: answer lost | claim | 4
// proof: answer lost | claim | 5
func TestLostClaimAnswer(t *testing.T) {
	for _, lost := range []int{1, 1000} {
		inBubble(t, func(t *testing.T, c *claims, k *dispatch.Keyed) {
			var w work
			c.loseClaims = lost
			answer, err := send(t.Context(), k, keyedRequest("1", false), &w)
			if lost == 1 {
				wantAnswer(t, answer, err)
				return
			}
			wantRefusal(t, err, refusal.ClaimUndecided, refusal.RanNo)
			if w.runs != 0 {
				t.Errorf("%d runs of a call that was refused as not run", w.runs)
			}
			c.loseClaims = 0
			answer, err = send(t.Context(), k, keyedRequest("2", false), &w)
			wantAnswer(t, answer, err)
		})
	}
}

// TestClaimWaitsForATakeover kills the home of a key before its claim is
// answered: the next home answers once the host counts as dead and its keys are
// taken over. The caller gets its answer, without sending the key again.
//
// proof: daemon killed | claim | 5
func TestClaimWaitsForATakeover(t *testing.T) {
	inBubble(t, func(t *testing.T, c *claims, k *dispatch.Keyed) {
		var w work
		c.unreachableUntil = time.Now().Add(peersTimeout + time.Second)
		answer, err := send(t.Context(), k, keyedRequest("1", false), &w)
		wantAnswer(t, answer, err)
		if w.runs != 1 {
			t.Errorf("%d runs", w.runs)
		}
	})
}

// TestHeldKeyOfARequestThatDidNotRun loses the withdrawal too: the resend finds
// the key held by a request that was not run, and takes it over.
//
// proof: answer lost | cancel | 4
func TestHeldKeyOfARequestThatDidNotRun(t *testing.T) {
	inBubble(t, func(t *testing.T, c *claims, k *dispatch.Keyed) {
		var w work
		c.loseClaims, c.loseSettles = 1000, 1000
		_, err := send(t.Context(), k, keyedRequest("1", false), &w)
		wantRefusal(t, err, refusal.ClaimUndecided, refusal.RanNo)
		c.mu.Lock()
		c.loseClaims, c.loseSettles = 0, 0
		c.mu.Unlock()
		answer, err := send(t.Context(), k, keyedRequest("2", false), &w)
		wantAnswer(t, answer, err)
		if w.runs != 1 {
			t.Errorf("%d runs", w.runs)
		}
	})
}

// TestRefusedKeyMayBeSentAgain withdraws the claim of a call that no server took.
//
// proof: none | answer | 4
func TestRefusedKeyMayBeSentAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *claims, k *dispatch.Keyed) {
		w := work{refusal: refusal.NotRun(refusal.Unavailable, "no server")}
		_, err := send(t.Context(), k, keyedRequest("1", false), &w)
		wantRefusal(t, err, refusal.Unavailable, refusal.RanNo)
		synctest.Wait()
		w.refusal = nil
		answer, err := send(t.Context(), k, keyedRequest("2", false), &w)
		wantAnswer(t, answer, err)
	})
}

// TestUnknownOutcomeStays sends a key again whose call may have run.
//
// proof: backend server killed | answer | 5
func TestUnknownOutcomeStays(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *claims, k *dispatch.Keyed) {
		w := work{refusal: refusal.MayHaveRun(refusal.BackendFailed, "broken")}
		_, err := send(t.Context(), k, keyedRequest("1", false), &w)
		wantRefusal(t, err, refusal.BackendFailed, refusal.RanUnknown)
		synctest.Wait()
		_, err = send(t.Context(), k, keyedRequest("2", false), &w)
		wantRefusal(t, err, refusal.OutcomeUnknown, refusal.RanUnknown)
		if w.runs != 1 {
			t.Errorf("%d runs", w.runs)
		}
	})
}

// TestPausedOwnerDoesNotSend pauses the owner between claim and sending for more
// than half of the horizon.
//
// proof: daemon paused | claim | 5
func TestPausedOwnerDoesNotSend(t *testing.T) {
	inBubble(t, func(t *testing.T, c *claims, k *dispatch.Keyed) {
		var w work
		c.pause = horizon/2 + time.Second
		_, err := send(t.Context(), k, keyedRequest("1", false), &w)
		wantRefusal(t, err, refusal.ClaimUndecided, refusal.RanNo)
		if w.runs != 0 {
			t.Errorf("%d runs", w.runs)
		}
	})
}
