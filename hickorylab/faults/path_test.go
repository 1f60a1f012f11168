package faults_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

// TestEveryCallerGetsItsOwnResponse guards against a caller that gets another caller's
// response. Prompts that share a prefix are sent through all hosts concurrently, and
// each response is compared with the expected one of its prompt.
//
// proof: none | answer | 3
func TestEveryCallerGetsItsOwnResponse(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Profile: "[admission]\nmaxWait = 30s\n"})
	const requests, tokens = 24, 12
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			prompt := harness.Prompt(fmt.Sprintf("caller %d", i), 80+i)
			reply := c.Complete(t.Context(), c.Hosts[i%len(c.Hosts)], harness.Completion{Prompt: prompt, MaxTokens: tokens, Stream: i%2 == 0})
			if want := engine.ResponseText(prompt, tokens); reply.Text != want || !reply.IsComplete {
				t.Errorf("request %d: got %+v, want text %q", i, reply, want)
			}
		})
	}
	group.Wait()
}

// TestHoldSentThroughEveryHostRunsOnce guards against a second run of a cart hold
// that is sent with one key through all hosts concurrently.
//
// proof: none | claim | 5
func TestHoldSentThroughEveryHostRunsOnce(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{})
	var group sync.WaitGroup
	for _, host := range c.Hosts {
		group.Go(func() {
			reply := c.Call(t.Context(), host, http.MethodPost, "/holds", "hold-1", "one")
			if reply.Err != nil || (reply.Status != http.StatusOK && reply.Status != http.StatusConflict) {
				t.Errorf("the hold through %s got %+v, want status 200 or 409", host.Name, reply)
			}
		})
	}
	group.Wait()
	if runs := c.Services[0].Runs(); len(runs) != 1 {
		t.Errorf("the hold ran %d times, want 1", len(runs))
	}
}
