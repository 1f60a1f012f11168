package faults_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/consul"
	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

const (
	faultRounds       = 8
	faultDuration     = 1500 * time.Millisecond
	recoveryDuration  = 500 * time.Millisecond
	holdSenders       = 4
	completionSenders = 6
	responseTokens    = 24
	callTimeout       = 20 * time.Second
)

type (
	// fault is a kind of fault. Its inject function returns how to end the fault.
	fault struct {
		name   string
		inject func(c *harness.Cluster, random *rand.Rand) (repair func())
	}

	// record holds the replies that callers got while faults were injected.
	record struct {
		mu          sync.Mutex
		holds       map[string][]harness.Reply
		completions int
		complete    int
	}
)

var randomFaults = []fault{
	{"daemon killed", func(c *harness.Cluster, random *rand.Rand) func() {
		host := c.Hosts[random.IntN(len(c.Hosts))]
		host.Kill()
		return host.Start
	}},
	{"daemon paused", func(c *harness.Cluster, random *rand.Rand) func() {
		host := c.Hosts[random.IntN(len(c.Hosts))]
		host.Pause()
		return host.Resume
	}},
	{"decode server killed", func(c *harness.Cluster, random *rand.Rand) func() {
		server := c.Engines[fmt.Sprintf("decode-%d", 1+random.IntN(2))]
		server.Kill()
		return server.Start
	}},
	{"prefill server killed", func(c *harness.Cluster, random *rand.Rand) func() {
		server := c.Engines[fmt.Sprintf("prefill-%d", 1+random.IntN(2))]
		server.Kill()
		return server.Start
	}},
	{"streams of a decode server silent", func(c *harness.Cluster, random *rand.Rand) func() {
		server := c.Engines[fmt.Sprintf("decode-%d", 1+random.IntN(2))]
		server.SetSwitches(engine.Switches{Silent: true})
		return func() { server.SetSwitches(engine.Switches{}) }
	}},
	{"transfers stalled", func(c *harness.Cluster, random *rand.Rand) func() {
		server := c.Engines[fmt.Sprintf("prefill-%d", 1+random.IntN(2))]
		server.SetSwitches(engine.Switches{StallExports: true})
		return func() { server.SetSwitches(engine.Switches{}) }
	}},
	{"platform down", func(c *harness.Cluster, _ *rand.Rand) func() {
		c.Platform.SetFaults(consul.Faults{Down: true})
		return func() { c.Platform.SetFaults(consul.Faults{}) }
	}},
	{"platform responses lost", func(c *harness.Cluster, _ *rand.Rand) func() {
		c.Platform.SetFaults(consul.Faults{LoseResponses: 0.5})
		return func() { c.Platform.SetFaults(consul.Faults{}) }
	}},
	{"platform slow", func(c *harness.Cluster, _ *rand.Rand) func() {
		c.Platform.SetFaults(consul.Faults{DelayMS: 700})
		return func() { c.Platform.SetFaults(consul.Faults{}) }
	}},
}

// TestHoldsAndCompletionsUnderRandomFaults guards against double runs and wrong or contradictory
// replies while two faults at a time are active. Holds and completions are sent
// through all hosts, the seed selects the faults, and the replies are compared with
// what the servers ran.
//
// proof: daemon killed + platform down | claim | 5
// proof: daemon paused + answer lost | claim | 5
// proof: backend server killed + silent connection | stream | 3
func TestHoldsAndCompletionsUnderRandomFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := harness.Start(t, binaries, harness.Options{Profile: "[admission]\nmaxWait = 5s\n"})
			r := &record{holds: map[string][]harness.Reply{}}
			ctx, stop := context.WithCancel(t.Context())
			var group sync.WaitGroup
			for i := range holdSenders {
				group.Go(func() { r.sendHolds(ctx, c, rand.New(rand.NewPCG(seed, uint64(i))), i) })
			}
			for i := range completionSenders {
				group.Go(func() { r.sendCompletions(ctx, t, c, rand.New(rand.NewPCG(seed, uint64(100+i))), i) })
			}
			injectFaults(t, c, rand.New(rand.NewPCG(seed, 1000)))
			stop()
			group.Wait()
			r.check(t, c)
		})
	}
}

// injectFaults injects two different random faults at a time and ends both before
// the next pair.
func injectFaults(t *testing.T, c *harness.Cluster, random *rand.Rand) {
	t.Helper()
	for range faultRounds {
		first := random.IntN(len(randomFaults))
		second := (first + 1 + random.IntN(len(randomFaults)-1)) % len(randomFaults)
		t.Logf("injecting faults: %s, %s", randomFaults[first].name, randomFaults[second].name)
		repairFirst := randomFaults[first].inject(c, random)
		repairSecond := randomFaults[second].inject(c, random)
		time.Sleep(faultDuration)
		repairSecond()
		repairFirst()
		time.Sleep(recoveryDuration)
	}
}

// sendHolds sends each hold twice, each time through a random host, one after the
// other or concurrently.
func (r *record) sendHolds(ctx context.Context, c *harness.Cluster, random *rand.Rand, sender int) {
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("hold-%d-%d", sender, i)
		var group sync.WaitGroup
		for range 2 {
			host := c.Hosts[random.IntN(len(c.Hosts))]
			send := func() { r.hold(c, host, key) }
			if random.IntN(2) == 0 {
				group.Go(send)
			} else {
				send()
			}
		}
		group.Wait()
	}
}

func (r *record) hold(c *harness.Cluster, host *harness.Process, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := c.Call(ctx, host, http.MethodPost, "/holds", key, key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds[key] = append(r.holds[key], reply)
}

// sendCompletions sends completions, some of which their callers cancel, and
// compares each reply with the expected text of its prompt.
func (r *record) sendCompletions(ctx context.Context, t *testing.T, c *harness.Cluster, random *rand.Rand, sender int) {
	for i := 0; ctx.Err() == nil; i++ {
		prompt := harness.Prompt(fmt.Sprintf("asker %d question %d", sender, i), 100+random.IntN(200))
		limit := callTimeout
		if random.IntN(4) == 0 {
			limit = time.Duration(random.IntN(300)) * time.Millisecond
		}
		host := c.Hosts[random.IntN(len(c.Hosts))]
		callCtx, cancel := context.WithTimeout(context.Background(), limit)
		reply := c.Complete(callCtx, host, harness.Completion{Prompt: prompt, MaxTokens: responseTokens, Stream: random.IntN(2) == 0})
		cancel()
		r.compare(t, prompt, reply)
	}
}

func (r *record) compare(t *testing.T, prompt string, reply harness.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completions++
	want := engine.ResponseText(prompt, responseTokens)
	if reply.IsComplete && reply.Code == "" {
		r.complete++
		if reply.Text != want {
			t.Errorf("%.30s: complete response is %q, want %q", prompt, reply.Text, want)
		}
	}
	if len(reply.Text) > len(want) || reply.Text != want[:len(reply.Text)] {
		t.Errorf("%.30s: partial response is %q, want a prefix of %q", prompt, reply.Text, want)
	}
}

// check waits until the cluster has recovered and compares the recorded replies
// with the runs of the services.
func (r *record) check(t *testing.T, c *harness.Cluster) {
	t.Helper()
	for _, host := range c.Hosts {
		c.AwaitReady(host)
	}
	c.Await("the engines to hold no requests", func() bool { return heldRequests(c) == 0 })
	checkRunsOnce(t, c)
	succeeded := 0
	for key, replies := range r.holds {
		succeeded += r.checkHold(t, c, key, replies)
	}
	t.Logf("%d holds, %d succeeded; %d completions, %d complete", len(r.holds), succeeded, r.completions, r.complete)
	if succeeded == 0 || r.complete == 0 {
		t.Error("no hold succeeded or no completion was complete")
	}
}

// checkHold compares the replies to a hold with the runs of the services and
// returns 1 if the hold succeeded, else 0.
func (r *record) checkHold(t *testing.T, c *harness.Cluster, key string, replies []harness.Reply) int {
	t.Helper()
	checkNotRun(t, c, key, replies)
	body := ""
	for _, reply := range replies {
		if reply.Err != nil || reply.Status != http.StatusOK {
			continue
		}
		if body != "" && reply.Body != body {
			t.Errorf("hold %s got the responses %q and %q, want the same one", key, body, reply.Body)
		}
		body = reply.Body
	}
	if body == "" {
		return 0
	}
	if runs := runsOf(c, key); runs != 1 {
		t.Errorf("hold %s succeeded and ran %d times, want 1", key, runs)
	}
	return 1
}

// heldRequests returns the number of requests that the engines hold.
func heldRequests(c *harness.Cluster) int {
	held := 0
	for _, server := range c.Engines {
		held += server.HeldRequests()
	}
	return held
}
