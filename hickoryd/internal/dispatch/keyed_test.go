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

	// peersTimeout is the default of peers.timeout.
	peersTimeout = 3 * time.Second
	takeoverTime = 5 * time.Second
)

var (
	owner        = claim.Daemon{Host: "h1", Incarnation: 1}
	errReplyLost = errors.New("reply lost")
)

type (
	// fakeHome is the home of all keys.
	fakeHome struct {
		mu               sync.Mutex
		table            *claim.Table
		lostClaimReplies int // number of claims that take effect but get no reply
		// unreachableUntil is the time at which the next home has taken the
		// keys over.
		unreachableUntil time.Time
		lostSettles      int           // number of settles that have no effect and get no reply
		pauseAfterClaim  time.Duration // of the owner, after its claim was granted
	}

	// keyedWork writes a response after workTime and counts its runs.
	keyedWork struct {
		mu        sync.Mutex
		runs      int
		cancelled int
		refusal   *refusal.Refusal
	}
)

func (c *fakeHome) Claim(_ context.Context, now time.Time, wanted claim.Grant) (claim.Outcome, claim.Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.unreachableUntil) {
		return claim.Undecided, claim.Grant{}, errReplyLost
	}
	outcome, grant, err := c.table.Claim(now, wanted)
	if c.lostClaimReplies > 0 {
		c.lostClaimReplies--
		return claim.Undecided, claim.Grant{}, errReplyLost
	}
	time.Sleep(c.pauseAfterClaim)
	return outcome, grant, err
}

func (c *fakeHome) Settle(_ context.Context, _ time.Time, grant claim.Grant, withdraw bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostSettles > 0 {
		c.lostSettles--
		return errReplyLost
	}
	if withdraw {
		c.table.Withdraw(grant.Key, grant.RequestID)
	} else {
		c.table.Settle(grant.Key, grant.RequestID, grant.Response, grant.Unknown)
	}
	return nil
}

func (c *fakeHome) Attach(context.Context, claim.Daemon, string, int) (grpc.ServerStreamingClient[peerapi.AttachResponse], error) {
	return nil, errReplyLost
}

func (w *keyedWork) Run(ctx context.Context, to *dispatch.Recording) error {
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

func newKeyed(c *fakeHome) *dispatch.Keyed {
	return dispatch.NewKeyed(owner, c, c, dispatch.NewRecordings(1000), takeoverTime, metrics.NewSet())
}

func keyedRequest(id string, releasable bool) dispatch.KeyedRequest {
	return dispatch.KeyedRequest{
		ID: id, Key: claim.Key{Value: "k"}, Horizon: horizon, Timeout: time.Minute, Releasable: releasable,
	}
}

func sendKeyed(ctx context.Context, k *dispatch.Keyed, r dispatch.KeyedRequest, w *keyedWork) (claim.Response, error) {
	source, err := k.Open(ctx, r, w)
	if err != nil {
		return claim.Response{}, err
	}
	return dispatch.Collect(ctx, source)
}

// runWithHome runs a test with a home and a daemon in a synctest bubble, and
// waits for the executions that the test left running.
func runWithHome(t *testing.T, test func(t *testing.T, c *fakeHome, k *dispatch.Keyed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &fakeHome{table: claim.NewTable(10)}
		k := newKeyed(c)
		test(t, c, k)
		k.Close(t.Context())
	})
}

func wantResponse(t *testing.T, response claim.Response, err error) {
	t.Helper()
	if err != nil || response.Status != http.StatusCreated || string(response.Body) != "held" {
		t.Errorf("response %+v, %v", response, err)
	}
}

func wantRefusal(t *testing.T, err error, kind refusal.Kind, ran refusal.Ran) {
	t.Helper()
	if r := refusal.FromError(err); r == nil || r.Kind != kind || r.Ran != ran {
		t.Errorf("got %v, want a refusal of kind %s, ran %s", err, kind.Code, ran)
	}
}

// TestSendersOfOneKeyShareOneRun sends a key again while its request runs and
// after the request has ended. All callers must get the response of one run.
//
// proof: none | answer | 2
func TestSendersOfOneKeyShareOneRun(t *testing.T) {
	runWithHome(t, func(t *testing.T, _ *fakeHome, k *dispatch.Keyed) {
		var w keyedWork
		var group sync.WaitGroup
		for _, id := range []string{"1", "2", "3"} {
			group.Go(func() {
				response, err := sendKeyed(t.Context(), k, keyedRequest(id, false), &w)
				wantResponse(t, response, err)
			})
		}
		group.Wait()
		response, err := sendKeyed(t.Context(), k, keyedRequest("4", false), &w)
		wantResponse(t, response, err)
		if w.runs != 1 {
			t.Errorf("%d runs, want 1", w.runs)
		}
	})
}

// TestKeyedCallerDisconnects disconnects the caller while its request runs and sends
// the key again later. A call must run only once. A completion is cancelled and
// runs again only if the key is sent after the grace period.
//
// proof: caller cancels | stream | 1
// proof: caller cancels | stream | 2
// proof: caller cancels | answer | 5
func TestKeyedCallerDisconnects(t *testing.T) {
	tests := []struct {
		name       string
		releasable bool
		after      time.Duration
		wantRuns   int
		wantCancel int
	}{
		{name: "call, retried while it runs", after: time.Second, wantRuns: 1},
		{name: "call, retried after it ended", after: time.Minute, wantRuns: 1},
		{name: "completion, retried within the grace period", releasable: true, after: time.Second, wantRuns: 1},
		{name: "completion, retried after the grace period", releasable: true, after: 4 * time.Second, wantRuns: 2, wantCancel: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithHome(t, func(t *testing.T, _ *fakeHome, k *dispatch.Keyed) {
				var w keyedWork
				ctx, disconnect := context.WithTimeout(t.Context(), time.Second)
				defer disconnect()
				if _, err := sendKeyed(ctx, k, keyedRequest("1", test.releasable), &w); !errors.Is(err, context.Canceled) {
					t.Errorf("caller that disconnected got %v", err)
				}
				time.Sleep(test.after)
				response, err := sendKeyed(t.Context(), k, keyedRequest("2", test.releasable), &w)
				wantResponse(t, response, err)
				if w.runs != test.wantRuns || w.cancelled != test.wantCancel {
					t.Errorf("%d runs, %d cancelled; want %d, %d", w.runs, w.cancelled, test.wantRuns, test.wantCancel)
				}
			})
		})
	}
}

// TestClaimResponseLost loses the home's replies to claims. If they are lost for
// longer than the caller waits, the refusal must say "not run", and the key may
// be sent again.
//
// proof: answer lost | claim | 4
// proof: answer lost | claim | 5
func TestClaimResponseLost(t *testing.T) {
	for _, lost := range []int{1, 1000} {
		runWithHome(t, func(t *testing.T, c *fakeHome, k *dispatch.Keyed) {
			var w keyedWork
			c.lostClaimReplies = lost
			response, err := sendKeyed(t.Context(), k, keyedRequest("1", false), &w)
			if lost == 1 {
				wantResponse(t, response, err)
				return
			}
			wantRefusal(t, err, refusal.ClaimUndecided, refusal.RanNo)
			if w.runs != 0 {
				t.Errorf("%d runs of a call that was refused as not run", w.runs)
			}
			c.lostClaimReplies = 0
			response, err = sendKeyed(t.Context(), k, keyedRequest("2", false), &w)
			wantResponse(t, response, err)
		})
	}
}

// TestClaimWaitsForATakeover makes the home of a key fail before it replies to
// the claim. The next home replies once the host counts as failed and its keys
// are taken over. The caller must get its response without sending the key
// again.
//
// proof: daemon killed | claim | 5
func TestClaimWaitsForATakeover(t *testing.T) {
	runWithHome(t, func(t *testing.T, c *fakeHome, k *dispatch.Keyed) {
		var w keyedWork
		c.unreachableUntil = time.Now().Add(peersTimeout + time.Second)
		response, err := sendKeyed(t.Context(), k, keyedRequest("1", false), &w)
		wantResponse(t, response, err)
		if w.runs != 1 {
			t.Errorf("%d runs, want 1", w.runs)
		}
	})
}

// TestHeldKeyOfARequestThatDidNotRun loses the withdrawal of a claim as well as
// the claim's reply. The retry finds the key held by a request that did not run
// and must take the key over.
//
// proof: answer lost | cancel | 4
func TestHeldKeyOfARequestThatDidNotRun(t *testing.T) {
	runWithHome(t, func(t *testing.T, c *fakeHome, k *dispatch.Keyed) {
		var w keyedWork
		c.lostClaimReplies, c.lostSettles = 1000, 1000
		_, err := sendKeyed(t.Context(), k, keyedRequest("1", false), &w)
		wantRefusal(t, err, refusal.ClaimUndecided, refusal.RanNo)
		c.mu.Lock()
		c.lostClaimReplies, c.lostSettles = 0, 0
		c.mu.Unlock()
		response, err := sendKeyed(t.Context(), k, keyedRequest("2", false), &w)
		wantResponse(t, response, err)
		if w.runs != 1 {
			t.Errorf("%d runs, want 1", w.runs)
		}
	})
}

// TestRefusedKeyMayBeSentAgain sends a key again after no server took its call:
// the claim must have been withdrawn.
//
// proof: none | answer | 4
func TestRefusedKeyMayBeSentAgain(t *testing.T) {
	runWithHome(t, func(t *testing.T, _ *fakeHome, k *dispatch.Keyed) {
		w := keyedWork{refusal: refusal.NotRun(refusal.Unavailable, "no server")}
		_, err := sendKeyed(t.Context(), k, keyedRequest("1", false), &w)
		wantRefusal(t, err, refusal.Unavailable, refusal.RanNo)
		synctest.Wait()
		w.refusal = nil
		response, err := sendKeyed(t.Context(), k, keyedRequest("2", false), &w)
		wantResponse(t, response, err)
	})
}

// TestCallWithUnknownOutcomeIsNotRunAgain sends a key again whose call may have run. The call
// must not run a second time.
//
// proof: backend server killed | answer | 5
func TestCallWithUnknownOutcomeIsNotRunAgain(t *testing.T) {
	runWithHome(t, func(t *testing.T, _ *fakeHome, k *dispatch.Keyed) {
		w := keyedWork{refusal: refusal.MayHaveRun(refusal.BackendFailed, "broken")}
		_, err := sendKeyed(t.Context(), k, keyedRequest("1", false), &w)
		wantRefusal(t, err, refusal.BackendFailed, refusal.RanUnknown)
		synctest.Wait()
		_, err = sendKeyed(t.Context(), k, keyedRequest("2", false), &w)
		wantRefusal(t, err, refusal.OutcomeUnknown, refusal.RanUnknown)
		if w.runs != 1 {
			t.Errorf("%d runs, want 1", w.runs)
		}
	})
}

// TestPausedOwnerDoesNotSend pauses the owner between claim and sending for more
// than half of the horizon. The owner must not send the call after that pause.
//
// proof: daemon paused | claim | 5
func TestPausedOwnerDoesNotSend(t *testing.T) {
	runWithHome(t, func(t *testing.T, c *fakeHome, k *dispatch.Keyed) {
		var w keyedWork
		c.pauseAfterClaim = horizon/2 + time.Second
		_, err := sendKeyed(t.Context(), k, keyedRequest("1", false), &w)
		wantRefusal(t, err, refusal.ClaimUndecided, refusal.RanNo)
		if w.runs != 0 {
			t.Errorf("%d runs, want 0", w.runs)
		}
	})
}
