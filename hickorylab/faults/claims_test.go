package faults_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
	"github.com/hickoryfront/hickoryfront/hickorylab/platform"
)

const (
	codeOutcomeUnknown = "outcomeUnknown"
	ranNo              = "no"
	answerWait         = 30 * time.Second
	resendPause        = 100 * time.Millisecond
)

// holds sends cart holds and remembers what their callers were told.
type holds struct {
	t       *testing.T
	cluster *harness.Cluster

	mu      sync.Mutex
	replies map[string][]harness.Reply
}

func newHolds(t *testing.T, o harness.Options) *holds {
	t.Helper()
	h := &holds{t: t, cluster: harness.Start(t, binaries, o), replies: map[string][]harness.Reply{}}
	for _, host := range h.cluster.Hosts {
		h.awaitHomes(host, len(h.cluster.Hosts))
	}
	return h
}

// awaitHomes waits until a daemon knows the given number of homes.
func (h *holds) awaitHomes(host *harness.Process, count int) {
	h.t.Helper()
	h.awaitMetric(host, fmt.Sprintf("hickoryfront_claim_homes %d\n", count))
}

// awaitMetric waits until a daemon shows a line of metrics.
func (h *holds) awaitMetric(host *harness.Process, want string) {
	h.t.Helper()
	h.cluster.Await(want+" at "+host.Name, func() bool {
		response, err := http.Get("http://" + host.Operator + "/metrics")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		return err == nil && strings.Contains(string(data), want)
	})
}

func keys(prefix string, count int) []string {
	var keys []string
	for i := range count {
		keys = append(keys, fmt.Sprintf("%s-%d", prefix, i))
	}
	return keys
}

// send sends one hold and returns what its caller was told.
func (h *holds) send(host *harness.Process, key string) harness.Reply {
	ctx, cancel := context.WithTimeout(h.t.Context(), answerWait)
	defer cancel()
	reply := h.cluster.Call(ctx, host, http.MethodPost, "/holds", key, "hold "+key)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replies[key] = append(h.replies[key], reply)
	return reply
}

// sendAll sends each key through each of the hosts, all at once.
func (h *holds) sendAll(keys []string, hosts ...*harness.Process) {
	var group sync.WaitGroup
	for _, key := range keys {
		for _, host := range hosts {
			group.Go(func() { h.send(host, key) })
		}
	}
	group.Wait()
}

// resend sends a key until the answer is final, as a caller does that was told
// to ask again.
func (h *holds) resend(host *harness.Process, key string) harness.Reply {
	deadline := time.Now().Add(answerWait)
	for {
		reply := h.send(host, key)
		if reply.Status == http.StatusOK || reply.Code == codeOutcomeUnknown && reply.RetryAfter == "" {
			return reply
		}
		if time.Now().After(deadline) {
			h.t.Errorf("key %s: no final answer, last %+v", key, reply)
			return reply
		}
		time.Sleep(resendPause)
	}
}

func (h *holds) resendAll(keys []string, host *harness.Process) (answered int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for _, key := range keys {
		group.Go(func() {
			if reply := h.resend(host, key); reply.Status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				answered++
			}
		})
	}
	group.Wait()
	return answered
}

// runs returns how often the services ran each key.
func (h *holds) runs() map[string]int {
	runs := map[string]int{}
	for _, s := range h.cluster.Services {
		for _, run := range s.Runs() {
			runs[run.Key]++
		}
	}
	return runs
}

// check compares the services' own logs with what the callers were told.
func (h *holds) check() {
	h.t.Helper()
	runs := h.runs()
	for key, replies := range h.replies {
		if runs[key] > 1 {
			h.t.Errorf("key %s ran %d times", key, runs[key])
		}
		bodies := map[string]bool{}
		refused := 0
		for _, r := range replies {
			if r.Err == nil && r.Status == http.StatusOK {
				bodies[r.Body] = true
			}
			if r.Err == nil && r.Ran == ranNo {
				refused++
			}
		}
		if len(bodies) > 1 {
			h.t.Errorf("key %s got %d different answers", key, len(bodies))
		}
		if len(bodies) == 1 && runs[key] != 1 {
			h.t.Errorf("key %s was answered and ran %d times", key, runs[key])
		}
		if refused == len(replies) && runs[key] != 0 {
			h.t.Errorf("key %s: every caller was told that it was not run, and it ran", key)
		}
	}
}

// TestResendAttachesToTheRunningCall sends each key through all hosts at once:
// all callers get the answer of the one run.
//
// proof: none | claim | 5
// proof: none | answer | 2
func TestResendAttachesToTheRunningCall(t *testing.T) {
	h := newHolds(t, harness.Options{ServiceTime: 300 * time.Millisecond})
	h.sendAll(keys("attach", 10), h.cluster.Hosts...)
	for key, replies := range h.replies {
		for _, r := range replies {
			if r.Status != http.StatusOK {
				t.Errorf("key %s: %+v", key, r)
			}
		}
	}
	h.check()
}

// TestHoldsOutliveTheDeathOfAHost kills one host after its keys were granted.
// The next homes know the grants from its journal.
//
// proof: daemon killed | claim | 5
// proof: daemon killed | answer | 2
// proof: daemon killed | claim | 4
func TestHoldsOutliveTheDeathOfAHost(t *testing.T) {
	h := newHolds(t, harness.Options{Hosts: 4})
	before, after := keys("before", 24), keys("after", 24)
	h.sendAll(before, h.cluster.Hosts[0])
	h.cluster.Hosts[2].Kill()
	died := time.Now()
	h.sendAll(before, h.cluster.Hosts[1])
	answered := h.resendAll(after, h.cluster.Hosts[1])
	t.Logf("trial: all of %d new keys final %v after the kill", len(after), time.Since(died).Round(time.Millisecond))
	for _, i := range []int{0, 1, 3} {
		h.awaitMetric(h.cluster.Hosts[i], "hickoryfront_claim_homes_uncleared 0\n")
	}
	if answered != len(after) {
		t.Errorf("%d of %d new keys were answered", answered, len(after))
	}
	if again := h.resendAll(before, h.cluster.Hosts[3]); again != len(before) {
		t.Errorf("%d of %d earlier keys got their answer again: their owner lives", again, len(before))
	}
	h.check()
}

// TestHoldIsNotRunAgainAfterItsOwnerDied kills the host that runs the calls.
//
// proof: daemon killed | prefill | 5
// proof: daemon killed | answer | 5
func TestHoldIsNotRunAgainAfterItsOwnerDied(t *testing.T) {
	h := newHolds(t, harness.Options{ServiceTime: 20 * time.Second}) // runs when its owner dies
	owner, other := h.cluster.Hosts[0], h.cluster.Hosts[1]
	held := keys("owner", 12)
	var group sync.WaitGroup
	group.Go(func() { h.sendAll(held, owner) })
	h.cluster.Await("the calls to run", func() bool { return len(h.runs()) == len(held) })
	owner.Kill()
	group.Wait()
	if answered := h.resendAll(held, other); answered != 0 {
		t.Errorf("%d calls were answered though their owner died", answered)
	}
	h.check()
}

// TestPausedHomeGrantsNothingTwice stops a host for longer than the others wait
// for it, lets its keys be granted by the next homes and resumes it.
//
// proof: daemon paused | claim | 5
// proof: daemon paused + lease lapsed | claim | 5
func TestPausedHomeGrantsNothingTwice(t *testing.T) {
	h := newHolds(t, harness.Options{Hosts: 4, ServiceTime: 50 * time.Millisecond})
	paused, other := h.cluster.Hosts[1], h.cluster.Hosts[2]
	held := keys("paused", 30)
	var group sync.WaitGroup
	group.Go(func() { h.sendAll(held[:15], paused, h.cluster.Hosts[0]) })
	paused.Pause()
	group.Go(func() { h.sendAll(held, other) })
	h.resendAll(held[15:], other)
	paused.Resume()
	h.sendAll(held, paused, other)
	group.Wait()
	h.check()
}

// TestHoldsGoOnWhileThePlatformIsDown sends keys twice in an outage and kills a
// host before the platform is back.
//
// proof: platform down | claim | 5
// proof: platform down + daemon killed | claim | 5
func TestHoldsGoOnWhileThePlatformIsDown(t *testing.T) {
	h := newHolds(t, harness.Options{Hosts: 4})
	h.sendAll(keys("warm", 8), h.cluster.Hosts...)
	h.cluster.Platform.SetFaults(platform.Faults{Down: true})
	during := keys("during", 40)
	h.sendAll(during, h.cluster.Hosts[0], h.cluster.Hosts[1])
	answered := 0
	for _, key := range during {
		if h.replies[key][0].Status == http.StatusOK || h.replies[key][1].Status == http.StatusOK {
			answered++
		}
	}
	t.Logf("trial: goodput in the outage %d of %d keys at first; refusing all such calls: 0", answered, len(during))
	if final := h.resendAll(during, h.cluster.Hosts[1]); final != len(during) {
		t.Errorf("%d of %d keys were answered in the outage", final, len(during))
	}
	h.cluster.Hosts[3].Kill()
	h.sendAll(during, h.cluster.Hosts[2])
	h.cluster.Platform.SetFaults(platform.Faults{})
	h.resendAll(during, h.cluster.Hosts[2])
	h.resendAll(keys("afterwards", 20), h.cluster.Hosts[2])
	h.check()
}

// TestLostAnswersOfThePlatform lets half of the writes take effect without an
// answer.
//
// proof: answer lost | claim | 5
func TestLostAnswersOfThePlatform(t *testing.T) {
	h := newHolds(t, harness.Options{})
	h.cluster.Platform.SetFaults(platform.Faults{LoseResponses: 0.5})
	held := keys("lost", 30)
	h.sendAll(held, h.cluster.Hosts[0], h.cluster.Hosts[1])
	if answered := h.resendAll(held, h.cluster.Hosts[2]); answered != len(held) {
		t.Errorf("%d of %d keys were answered", answered, len(held))
	}
	h.check()
}

// TestSlowPlatform lets every call of the platform take longer than a journal
// write may.
//
// proof: platform slow | claim | 5
func TestSlowPlatform(t *testing.T) {
	h := newHolds(t, harness.Options{})
	h.cluster.Platform.SetFaults(platform.Faults{DelayMS: 800})
	held := keys("slow", 20)
	h.sendAll(held, h.cluster.Hosts[0], h.cluster.Hosts[1])
	h.cluster.Platform.SetFaults(platform.Faults{})
	if answered := h.resendAll(held, h.cluster.Hosts[2]); answered != len(held) {
		t.Errorf("%d of %d keys were answered", answered, len(held))
	}
	h.check()
}

// TestDaemonsCutOffFromEachOther cuts two daemons while both reach the platform.
//
// proof: daemons cut off | claim | 5
func TestDaemonsCutOffFromEachOther(t *testing.T) {
	h := newHolds(t, harness.Options{Hosts: 4, Cuttable: true})
	a, b := h.cluster.Hosts[0], h.cluster.Hosts[1]
	held := keys("cut", 24)
	h.sendAll(held[:8], a, b)
	for _, other := range h.cluster.Hosts[1:] {
		h.cluster.Cut(a, other, cutproxy.Silence)
	}
	h.sendAll(held, a, b)
	h.resendAll(held, b)
	h.sendAll(held, a)
	for _, other := range h.cluster.Hosts[1:] {
		h.cluster.Cut(a, other, cutproxy.Pass)
	}
	h.resendAll(held, a)
	h.check()
}

// TestCompletionResendGetsTheSameBytes sends a streamed completion with one key
// through all hosts: one runs, the others attach, a late one gets it stored.
//
// proof: none | stream | 2
// proof: none | stream | 3
func TestCompletionResendGetsTheSameBytes(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Profile: "[admission]\nmaxWait = 30s\n"})
	request := harness.Completion{Prompt: harness.Prompt("brief", 100), MaxTokens: 20, Key: "brief-1"}
	replies := make([]harness.Reply, len(c.Hosts))
	var group sync.WaitGroup
	for i, host := range c.Hosts {
		group.Go(func() { replies[i] = c.Complete(t.Context(), host, request) })
	}
	group.Wait()
	replies = append(replies, c.Complete(t.Context(), c.Hosts[0], request))
	for i, r := range replies {
		if r.Status != http.StatusOK || !r.Whole || r.Body != replies[0].Body {
			t.Errorf("reply %d: %+v, want the bytes of the first: %s", i, r, replies[0].Body)
		}
	}
}

// TestHoldsThroughRandomFaults kills, pauses and restarts hosts and takes the
// platform away while keys are sent through two hosts each.
//
// proof: platform down + daemon killed | claim | 5
// proof: platform down + daemon paused | claim | 5
// proof: answer lost + daemon killed | claim | 5
func TestHoldsThroughRandomFaults(t *testing.T) {
	h := newHolds(t, harness.Options{Hosts: 5, Services: 2, ServiceTime: 20 * time.Millisecond})
	const rounds = 12
	random := rand.New(rand.NewPCG(4, 2))
	all := keys("random", 10*rounds)
	var group sync.WaitGroup
	for round := range rounds {
		sent := all[10*round : 10*round+10]
		hosts := h.cluster.Hosts
		first, second := hosts[random.IntN(len(hosts))], hosts[random.IntN(len(hosts))]
		group.Go(func() { h.sendAll(sent, first, second) })
		h.fault(random)
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	}
	h.cluster.Platform.SetFaults(platform.Faults{})
	for _, host := range h.cluster.Hosts {
		host.Resume()
	}
	group.Wait()
	for _, host := range h.cluster.Hosts {
		h.awaitHomes(host, len(h.cluster.Hosts))
	}
	h.sendAll(all, h.cluster.Hosts[0])
	h.sendAll(all, h.cluster.Hosts[1])
	h.logOutcomes(all)
	h.check()
}

// logOutcomes counts what the last sender of each key was told.
func (h *holds) logOutcomes(keys []string) {
	last := map[string]int{}
	for _, key := range keys {
		reply := h.replies[key][len(h.replies[key])-1]
		last[fmt.Sprintf("%d %s", reply.Status, reply.Code)]++
	}
	h.t.Logf("last answers of %d keys: %v", len(keys), last)
}

// fault breaks or mends something.
func (h *holds) fault(random *rand.Rand) {
	host := h.cluster.Hosts[1+random.IntN(len(h.cluster.Hosts)-1)]
	switch random.IntN(6) {
	case 0:
		host.Resume()
		host.Kill()
		host.Start()
	case 1:
		host.Pause()
	case 2:
		host.Resume()
	case 3:
		h.cluster.Platform.SetFaults(platform.Faults{Down: true})
	case 4:
		h.cluster.Platform.SetFaults(platform.Faults{LoseResponses: 0.3})
	case 5:
		h.cluster.Platform.SetFaults(platform.Faults{})
	}
}

// TestRollingReplacementKeepsKeysAndAnswers stops and starts every host in turn,
// as an operator does, and sends all keys again.
//
// proof: none | drain | 5
// proof: none | drain | 2
func TestRollingReplacementKeepsKeysAndAnswers(t *testing.T) {
	h := newHolds(t, harness.Options{})
	held := keys("rolling", 20)
	h.sendAll(held, h.cluster.Hosts[0])
	for _, host := range h.cluster.Hosts {
		host.Terminate()
		<-host.Exited()
		host.Start()
		h.cluster.AwaitReady(host)
		for _, known := range h.cluster.Hosts {
			h.awaitHomes(known, len(h.cluster.Hosts))
		}
	}
	answered := h.resendAll(held, h.cluster.Hosts[1])
	t.Logf("trial: %d of %d stored answers outlived the replacement of every host", answered, len(held))
	if answered != len(held) {
		t.Errorf("%d of %d keys got their answer again", answered, len(held))
	}
	h.check()
}
