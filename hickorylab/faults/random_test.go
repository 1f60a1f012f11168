package faults_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
	"github.com/hickoryfront/hickoryfront/hickorylab/platform"
)

const (
	faultSteps    = 8
	faultDuration = 1500 * time.Millisecond
	healDuration  = 500 * time.Millisecond
	holdSenders   = 4
	askers        = 6
	answerTokens  = 24
	callTimeout   = 20 * time.Second
)

type (
	// fault breaks something and returns how to mend it.
	fault struct {
		name  string
		cause func(c *harness.Cluster, random *rand.Rand) (mend func())
	}

	// record is what callers saw while faults were caused.
	record struct {
		mu          sync.Mutex
		holds       map[string][]harness.Reply
		completions int
		whole       int
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
	{"decode server silent", func(c *harness.Cluster, random *rand.Rand) func() {
		server := c.Engines[fmt.Sprintf("decode-%d", 1+random.IntN(2))]
		server.Switch(engine.Switches{Silent: true})
		return func() { server.Switch(engine.Switches{}) }
	}},
	{"transfers stalled", func(c *harness.Cluster, random *rand.Rand) func() {
		server := c.Engines[fmt.Sprintf("prefill-%d", 1+random.IntN(2))]
		server.Switch(engine.Switches{StallExports: true})
		return func() { server.Switch(engine.Switches{}) }
	}},
	{"platform down", func(c *harness.Cluster, _ *rand.Rand) func() {
		c.Platform.SetFaults(platform.Faults{Down: true})
		return func() { c.Platform.SetFaults(platform.Faults{}) }
	}},
	{"platform loses answers", func(c *harness.Cluster, _ *rand.Rand) func() {
		c.Platform.SetFaults(platform.Faults{LoseResponses: 0.5})
		return func() { c.Platform.SetFaults(platform.Faults{}) }
	}},
	{"platform slow", func(c *harness.Cluster, _ *rand.Rand) func() {
		c.Platform.SetFaults(platform.Faults{DelayMS: 700})
		return func() { c.Platform.SetFaults(platform.Faults{}) }
	}},
}

// TestPromisesUnderRandomFaults sends holds and completions through all hosts
// while two faults at a time are caused in an order that the seed gives, and
// checks the promises against what the servers ran.
//
// proof: daemon killed + platform down | claim | 5
// proof: daemon paused + answer lost | claim | 5
// proof: backend server killed + silent connection | stream | 3
func TestPromisesUnderRandomFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := harness.Start(t, binaries, harness.Options{Profile: "[admission]\nmaxWait = 5s\n"})
			r := &record{holds: map[string][]harness.Reply{}}
			ctx, stop := context.WithCancel(t.Context())
			var group sync.WaitGroup
			for i := range holdSenders {
				group.Go(func() { r.sendHolds(ctx, c, rand.New(rand.NewPCG(seed, uint64(i))), i) })
			}
			for i := range askers {
				group.Go(func() { r.ask(ctx, t, c, rand.New(rand.NewPCG(seed, uint64(100+i))), i) })
			}
			causeFaults(t, c, rand.New(rand.NewPCG(seed, 1000)))
			stop()
			group.Wait()
			r.check(t, c)
		})
	}
}

func causeFaults(t *testing.T, c *harness.Cluster, random *rand.Rand) {
	t.Helper()
	for range faultSteps {
		first := random.IntN(len(randomFaults))
		second := (first + 1 + random.IntN(len(randomFaults)-1)) % len(randomFaults)
		t.Logf("causing: %s, %s", randomFaults[first].name, randomFaults[second].name)
		mendFirst := randomFaults[first].cause(c, random)
		mendSecond := randomFaults[second].cause(c, random)
		time.Sleep(faultDuration)
		mendSecond()
		mendFirst()
		time.Sleep(healDuration)
	}
}

// sendHolds sends each hold through two hosts, one after the other or at once.
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

// ask sends completions, some of which their callers give up, and compares
// what comes back with what the prompt must give.
func (r *record) ask(ctx context.Context, t *testing.T, c *harness.Cluster, random *rand.Rand, asker int) {
	for i := 0; ctx.Err() == nil; i++ {
		prompt := harness.Prompt(fmt.Sprintf("asker %d question %d", asker, i), 100+random.IntN(200))
		limit := callTimeout
		if random.IntN(4) == 0 {
			limit = time.Duration(random.IntN(300)) * time.Millisecond
		}
		host := c.Hosts[random.IntN(len(c.Hosts))]
		request, cancel := context.WithTimeout(context.Background(), limit)
		reply := c.Complete(request, host, harness.Completion{Prompt: prompt, MaxTokens: answerTokens, Stream: random.IntN(2) == 0})
		cancel()
		r.compare(t, prompt, reply)
	}
}

func (r *record) compare(t *testing.T, prompt string, reply harness.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completions++
	want := engine.ResponseText(prompt, answerTokens)
	if reply.Whole && reply.Code == "" {
		r.whole++
		if reply.Text != want {
			t.Errorf("%.30s: whole answer is %q, want %q", prompt, reply.Text, want)
		}
	}
	if len(reply.Text) > len(want) || reply.Text != want[:len(reply.Text)] {
		t.Errorf("%.30s: part of an answer is %q, want a beginning of %q", prompt, reply.Text, want)
	}
}

func (r *record) check(t *testing.T, c *harness.Cluster) {
	t.Helper()
	for _, host := range c.Hosts {
		c.AwaitReady(host)
	}
	c.Await("the engines to hold nothing", func() bool { return heldSlots(c) == 0 })
	checkRunsOnce(t, c)
	answered := 0
	for key, replies := range r.holds {
		answered += r.checkHold(t, c, key, replies)
	}
	t.Logf("%d holds, %d answered; %d completions, %d whole", len(r.holds), answered, r.completions, r.whole)
	if answered == 0 || r.whole == 0 {
		t.Error("nothing was answered at all")
	}
}

// checkHold compares what callers were told of a hold with what was run and
// returns 1 if it was answered.
func (r *record) checkHold(t *testing.T, c *harness.Cluster, key string, replies []harness.Reply) int {
	t.Helper()
	checkNotRun(t, c, key, replies)
	body := ""
	for _, reply := range replies {
		if reply.Err != nil || reply.Status != http.StatusOK {
			continue
		}
		if body != "" && reply.Body != body {
			t.Errorf("hold %s was answered with %q and with %q", key, body, reply.Body)
		}
		body = reply.Body
	}
	if body == "" {
		return 0
	}
	if runs := runsOf(c, key); runs != 1 {
		t.Errorf("hold %s was answered and ran %d times", key, runs)
	}
	return 1
}

// heldSlots returns the number of requests that the engines hold.
func heldSlots(c *harness.Cluster) int {
	held := 0
	for _, server := range c.Engines {
		held += server.Held()
	}
	return held
}
