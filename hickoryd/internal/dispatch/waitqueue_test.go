package dispatch_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
)

// slotReleaseOffset falls between the polls of waiting requests.
const slotReleaseOffset = 7 * time.Millisecond

// reservationLimit grants only as many reservations as were allowed.
type reservationLimit struct {
	mu      sync.Mutex
	allowed int
}

func (g *reservationLimit) allow(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowed += n
}

func (g *reservationLimit) reserve(context.Context, string, int) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.allowed == 0 {
		return slot.ErrFull
	}
	g.allowed--
	return nil
}

// waitingCaller runs one request and appends its name to done once it has its
// response.
type waitingCaller struct {
	models  *dispatch.Models
	name    string
	request dispatch.ModelRequest
	done    *[]string
	mu      *sync.Mutex
}

func (c waitingCaller) run() {
	if c.models.Run(context.Background(), c.request, &recordingSink{}) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	*c.done = append(*c.done, c.name)
}

func waitingRequest(class config.Class, maxWait time.Duration) dispatch.ModelRequest {
	r := request(longPrompt)
	r.ArrivedAt = time.Now()
	r.Profile.Class = class
	r.Profile.MaxWait = maxWait
	r.Profile.AgeAfter = time.Minute
	return r
}

func TestInteractiveIsPlacedBeforeDeferrable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeCluster()
		slots := &reservationLimit{}
		l.onReserve = slots.reserve
		models := newModels(t, l)
		var done []string
		var mu sync.Mutex
		var group sync.WaitGroup
		start := func(name string, class config.Class) {
			r := waitingRequest(class, 10*time.Second)
			r.ID = name
			group.Go(waitingCaller{models, name, r, &done, &mu}.run)
			time.Sleep(100 * time.Millisecond)
		}
		start("first brief", config.ClassDeferrable)
		start("second brief", config.ClassDeferrable)
		start("ping", config.ClassInteractive)
		// The slot becomes free between two polls: at the very time of a poll,
		// either request could be the first to try.
		time.Sleep(slotReleaseOffset)
		for range 3 {
			slots.allow(1)
			time.Sleep(time.Second)
		}
		group.Wait()
		if want := []string{"ping", "first brief", "second brief"}; !slices.Equal(done, want) {
			t.Errorf("completed in the order %v, want %v", done, want)
		}
	})
}

// TestAgedRequestDoesNotBlockInteractive guards against interactive requests
// that wait behind an aged deferrable one for which no server is free.
func TestAgedRequestDoesNotBlockInteractive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeCluster()
		l.onReservePrefill = func(string, int) error { return slot.ErrBacklog }
		models := newModels(t, l)
		var done []string
		var mu sync.Mutex
		var group sync.WaitGroup
		aged := waitingRequest(config.ClassDeferrable, 10*time.Second)
		aged.ID = "aged"
		aged.Profile.AgeAfter = time.Millisecond
		group.Go(waitingCaller{models, "aged", aged, &done, &mu}.run)
		time.Sleep(time.Second)
		ping := waitingRequest(config.ClassInteractive, time.Second)
		ping.ID, ping.Prompt = "ping", shortPrompt
		group.Go(waitingCaller{models, "ping", ping, &done, &mu}.run)
		group.Wait()
		if want := []string{"ping"}; !slices.Equal(done, want) {
			t.Errorf("completed %v, want %v", done, want)
		}
	})
}

// TestNoPrefillWithoutPrefillReservation checks that no prefill starts without
// a place in its server's queue, and that the slot reserved in the meantime is
// released.
func TestNoPrefillWithoutPrefillReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeCluster()
		l.onReservePrefill = func(string, int) error { return slot.ErrBacklog }
		start := time.Now()
		err := newModels(t, l).Run(t.Context(), waitingRequest(config.ClassInteractive, 500*time.Millisecond), &recordingSink{})
		var refused *refusal.Refusal
		if !errors.As(err, &refused) || refused.Kind != refusal.Overloaded || refused.Ran != refusal.RanNo {
			t.Fatalf("got %v, want an overloaded refusal of a request that was not run", err)
		}
		if refused.RetryAfter < time.Second {
			t.Errorf("retry after %v, want at least 1 s", refused.RetryAfter)
		}
		if waited := time.Since(start); waited > 600*time.Millisecond {
			t.Errorf("refused after %v with 500 ms allowed", waited)
		}
		if prefills := l.callsOf("prefill"); len(prefills) != 0 {
			t.Errorf("prefills were started: %v", prefills)
		}
		if len(l.reserved) != 0 {
			t.Errorf("slots still held: %v", l.reserved)
		}
	})
}

// TestDisconnectRemovesQueueEntry guards against a queue entry that stays behind when
// its caller disconnects and blocks the next request.
//
// proof: caller cancels | reserve | 1
func TestDisconnectRemovesQueueEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeCluster()
		slots := &reservationLimit{}
		l.onReserve = slots.reserve
		models := newModels(t, l)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		if err := models.Run(ctx, waitingRequest(config.ClassInteractive, time.Minute), &recordingSink{}); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v, want the error of the caller's context", err)
		}
		slots.allow(1)
		next := waitingRequest(config.ClassInteractive, time.Minute)
		next.ID = "next"
		if err := models.Run(t.Context(), next, &recordingSink{}); err != nil {
			t.Errorf("the next request: %v", err)
		}
	})
}
