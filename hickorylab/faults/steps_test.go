package faults_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

const (
	stepTokens       = 20
	stepPromptTokens = 600
	resendLimit      = 30 * time.Second
)

type (
	// step is a moment of a completion at which a fault strikes: some time
	// after its start, or when a token has arrived.
	step struct {
		name  string
		after time.Duration
		token int
	}

	// struck is one completion that a fault strikes.
	struck struct {
		cluster *harness.Cluster
		prompt  string
		key     string
		step    step
		strike  func()
		done    chan struct{} // closed after the strike
	}
)

var (
	// stepEngines makes each step of a completion take about a second: 600
	// tokens of prompt, 79 MB of KV cache, 20 tokens of answer.
	stepEngines = []string{"--prefillRate", "500", "--linkRate", "79000000", "--tokenGap", "50ms"}

	stepProfile = "[targets]\nfirstToken = 5s\n\n[admission]\nmaxWait = 10s\nclass = deferrable\n\n[retry]\nratio = 1\n"

	// completionSteps begin after about 0, 1.2 and 2.2 s.
	completionSteps = []step{
		{name: "prefill", after: 600 * time.Millisecond},
		{name: "prefill done", after: 1250 * time.Millisecond},
		{name: "transfer", after: 1700 * time.Millisecond},
		{name: "first token", token: 1},
		{name: "stream", token: stepTokens / 2},
		{name: "last token", token: stepTokens - 1},
	}
)

// TestServersKilledAtEachStep kills the engines of a role while a completion is
// at each of its steps. The caller gets its whole answer all the same.
//
// proof: backend server killed | prefill | 3
// proof: backend server killed | prefill done | 3
// proof: backend server killed | transfer | 3
// proof: backend server killed | first token | 3
// proof: backend server killed | stream | 3
// proof: backend server killed | last token | 3
func TestServersKilledAtEachStep(t *testing.T) {
	for _, victim := range []string{"prefill-1", "decode-1"} {
		t.Run(victim, func(t *testing.T) {
			t.Parallel()
			c := harness.Start(t, binaries, harness.Options{EngineFlags: stepEngines, Profile: stepProfile})
			for _, s := range completionSteps {
				one := newStruck(c, s, c.Engines[victim].Kill)
				if reply := one.run(t.Context(), c.Hosts[0]); reply.Text != one.want() || !reply.Whole {
					t.Errorf("%s: got %+v, want %q", s.name, reply, one.want())
				}
				c.Engines[victim].Start()
				awaitReadyServers(t, c)
			}
			c.Await("the engines to hold nothing", func() bool { return heldSlots(c) == 0 })
		})
	}
}

// TestDaemonStruckAtEachStep kills or pauses the daemon that serves a completion
// with a key, at each of its steps, and sends the key again through another
// daemon. What callers get is the beginning of the right answer, the whole of
// it, or word that the outcome is unknown; engines hold nothing in the end.
//
// proof: daemon killed | prefill | 1
// proof: daemon killed | prefill done | 1
// proof: daemon killed | transfer | 1
// proof: daemon killed | first token | 2
// proof: daemon killed | last token | 2
// proof: daemon paused | prefill | 1
// proof: daemon paused | prefill done | 1
// proof: daemon paused | transfer | 1
// proof: daemon paused | first token | 2
// proof: daemon paused | last token | 2
// proof: daemon paused | answer | 2
func TestDaemonStruckAtEachStep(t *testing.T) {
	const pause = 5 * time.Second // longer than peers.timeout
	tests := []struct {
		name   string
		strike func(*harness.Process)
		mend   func(*harness.Process)
	}{
		{"killed", (*harness.Process).Kill, (*harness.Process).Start},
		{"paused", (*harness.Process).Pause, func(p *harness.Process) {
			time.Sleep(pause)
			p.Resume()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := harness.Start(t, binaries, harness.Options{EngineFlags: stepEngines, Profile: stepProfile})
			victim, other := c.Hosts[0], c.Hosts[1]
			for _, s := range completionSteps {
				one := newStruck(c, s, func() { tt.strike(victim) })
				ctx, cancel := context.WithTimeout(t.Context(), resendLimit)
				first := make(chan harness.Reply, 1)
				go one.send(ctx, victim, first)
				again := one.resend(t, other)
				tt.mend(victim)
				one.check(t, <-first)
				one.check(t, again)
				cancel()
				c.AwaitReady(victim)
				awaitReadyServers(t, c)
			}
			c.Await("the engines to hold nothing", func() bool { return heldSlots(c) == 0 })
		})
	}
}

// TestCallerLeavesAtEachStep ends the caller's connection at each step.
//
// proof: caller cancels | prefill done | 1
// proof: caller cancels | last token | 1
func TestCallerLeavesAtEachStep(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, binaries, harness.Options{EngineFlags: stepEngines, Profile: stepProfile})
	for _, s := range completionSteps {
		ctx, leave := context.WithCancel(t.Context())
		one := newStruck(c, s, leave)
		one.key = "" // another caller could still want the answer to a key
		one.check(t, one.run(ctx, c.Hosts[0]))
		c.Await("the engines to hold nothing", func() bool { return heldSlots(c) == 0 })
	}
}

// TestFailureDomainLostAtEachStep kills a daemon and the engines beside it at
// once, at each step of a completion through another daemon. KNOWN-RED.txt lists
// it, so it proves nothing yet.
func TestFailureDomainLostAtEachStep(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, binaries, harness.Options{EngineFlags: stepEngines, Profile: stepProfile})
	lost := []*harness.Process{c.Hosts[2], c.Engines["prefill-1"], c.Engines["decode-1"]}
	for _, s := range completionSteps {
		one := newStruck(c, s, func() { killAtOnce(lost) })
		if reply := one.run(t.Context(), c.Hosts[0]); reply.Text != one.want() || !reply.Whole {
			t.Errorf("%s: got %+v, want %q", s.name, reply, one.want())
		}
		each(lost, (*harness.Process).Start)
		c.AwaitReady(c.Hosts[2])
		awaitReadyServers(t, c)
	}
}

func newStruck(c *harness.Cluster, s step, strike func()) *struck {
	name := fmt.Sprintf("%s struck at %s", c.Hosts[0].Address, s.name)
	return &struck{cluster: c, prompt: harness.Prompt(name, stepPromptTokens), key: name, step: s, strike: strike, done: make(chan struct{})}
}

func (o *struck) want() string {
	return engine.ResponseText(o.prompt, stepTokens)
}

// run sends the completion through a daemon and strikes at its step, or after
// the answer when that came sooner.
func (o *struck) run(ctx context.Context, host *harness.Process) harness.Reply {
	if o.step.token == 0 {
		time.AfterFunc(o.step.after, o.strikeOnce)
	}
	reply := o.cluster.Complete(ctx, host, harness.Completion{
		Prompt: o.prompt, MaxTokens: stepTokens, Stream: true, Key: o.key, OnToken: func(number int) {
			if number == o.step.token-1 {
				o.strikeOnce()
			}
		},
	})
	if o.step.token > 0 && !o.struck() {
		o.strikeOnce()
	}
	<-o.done
	return reply
}

func (o *struck) strikeOnce() {
	o.strike()
	close(o.done)
}

func (o *struck) struck() bool {
	select {
	case <-o.done:
		return true
	default:
		return false
	}
}

func (o *struck) send(ctx context.Context, host *harness.Process, reply chan<- harness.Reply) {
	reply <- o.run(ctx, host)
}

// resend sends the key again until the answer is final.
func (o *struck) resend(t *testing.T, host *harness.Process) harness.Reply {
	t.Helper()
	<-o.done
	deadline := time.Now().Add(resendLimit)
	for {
		reply := o.cluster.Complete(t.Context(), host, harness.Completion{Prompt: o.prompt, MaxTokens: stepTokens, Stream: true, Key: o.key})
		if reply.RetryAfter == "" || time.Now().After(deadline) {
			return reply
		}
		time.Sleep(time.Second)
	}
}

// check accepts the whole answer, the beginning of it before the connection
// ended, and a refusal.
func (o *struck) check(t *testing.T, reply harness.Reply) {
	t.Helper()
	if !strings.HasPrefix(o.want(), reply.Text) {
		t.Errorf("%s: got %q, want a beginning of %q", o.step.name, reply.Text, o.want())
	}
	if reply.Whole && reply.Code == "" && reply.Text != o.want() {
		t.Errorf("%s: an answer that claims to be whole is %q", o.step.name, reply.Text)
	}
	if reply.Err == nil && reply.Status == http.StatusOK && !reply.Whole && reply.Code == "" {
		t.Errorf("%s: the stream ended without its end and without an error: %+v", o.step.name, reply)
	}
}

// killAtOnce kills processes without waiting for one before the next.
func killAtOnce(processes []*harness.Process) {
	var group sync.WaitGroup
	for _, p := range processes {
		group.Go(p.Kill)
	}
	group.Wait()
}

func each(processes []*harness.Process, do func(*harness.Process)) {
	for _, p := range processes {
		do(p)
	}
}

// awaitReadyServers waits until every engine answers.
func awaitReadyServers(t *testing.T, c *harness.Cluster) {
	t.Helper()
	for name, server := range c.Engines {
		c.Await(name, func() bool { return server.Answers() })
	}
}
