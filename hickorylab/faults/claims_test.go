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

	"github.com/hickoryfront/hickoryfront/hickorylab/consul"
	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

const (
	codeOutcomeUnknown = "outcomeUnknown"
	ranNo              = "no"
	responseTimeout    = 30 * time.Second
	retryInterval      = 100 * time.Millisecond
)

// holdRecorder sends cart holds to a cluster and records the responses that
// their callers get.
type holdRecorder struct {
	t       *testing.T
	cluster *harness.Cluster

	mu      sync.Mutex
	replies map[string][]harness.Reply
}

func newHoldRecorder(t *testing.T, o harness.Options) *holdRecorder {
	t.Helper()
	h := &holdRecorder{t: t, cluster: harness.Start(t, binaries, o), replies: map[string][]harness.Reply{}}
	for _, host := range h.cluster.Hosts {
		h.awaitHomes(host, len(h.cluster.Hosts))
	}
	return h
}

// awaitHomes waits until a daemon reports the given number of homes of keys.
func (h *holdRecorder) awaitHomes(host *harness.Process, count int) {
	h.t.Helper()
	h.awaitMetric(host, fmt.Sprintf("hickoryfront_claim_homes %d\n", count))
}

// awaitMetric waits until a daemon's metrics contain a text.
func (h *holdRecorder) awaitMetric(host *harness.Process, want string) {
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

// send sends one hold, records the reply and returns it.
func (h *holdRecorder) send(host *harness.Process, key string) harness.Reply {
	ctx, cancel := context.WithTimeout(h.t.Context(), responseTimeout)
	defer cancel()
	reply := h.cluster.Call(ctx, host, http.MethodPost, "/holds", key, "hold "+key)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replies[key] = append(h.replies[key], reply)
	return reply
}

// sendAll sends each key through each of the hosts, all concurrently.
func (h *holdRecorder) sendAll(keys []string, hosts ...*harness.Process) {
	var group sync.WaitGroup
	for _, key := range keys {
		for _, host := range hosts {
			group.Go(func() { h.send(host, key) })
		}
	}
	group.Wait()
}

// retry sends a key until the reply is final, as a caller does whose reply asks
// for a retry.
func (h *holdRecorder) retry(host *harness.Process, key string) harness.Reply {
	deadline := time.Now().Add(responseTimeout)
	for {
		reply := h.send(host, key)
		if reply.Status == http.StatusOK || reply.Code == codeOutcomeUnknown && reply.RetryAfter == "" {
			return reply
		}
		if time.Now().After(deadline) {
			h.t.Errorf("key %s: no final reply, last %+v", key, reply)
			return reply
		}
		time.Sleep(retryInterval)
	}
}

// retryAll retries all keys through a host and returns how many of them got
// status 200.
func (h *holdRecorder) retryAll(keys []string, host *harness.Process) (succeeded int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for _, key := range keys {
		group.Go(func() {
			if reply := h.retry(host, key); reply.Status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				succeeded++
			}
		})
	}
	group.Wait()
	return succeeded
}

// runs returns how many times the services ran each key.
func (h *holdRecorder) runs() map[string]int {
	runs := map[string]int{}
	for _, s := range h.cluster.Services {
		for _, run := range s.Runs() {
			runs[run.Key]++
		}
	}
	return runs
}

// check compares the services' run logs with the replies that callers got.
func (h *holdRecorder) check() {
	h.t.Helper()
	runs := h.runs()
	for key, replies := range h.replies {
		if runs[key] > 1 {
			h.t.Errorf("key %s ran %d times, want at most 1", key, runs[key])
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
			h.t.Errorf("key %s got %d different responses, want 1", key, len(bodies))
		}
		if len(bodies) == 1 && runs[key] != 1 {
			h.t.Errorf("key %s got a response with status 200 and ran %d times, want 1", key, runs[key])
		}
		if refused == len(replies) && runs[key] != 0 {
			h.t.Errorf("key %s ran, but every reply refuses it as not run", key)
		}
	}
}

// TestResendAttachesToTheRunningCall guards against a second run of a call whose key
// arrives again through another host while the call runs. Each key is sent through
// all hosts concurrently; all callers must get the response of the one run.
//
// proof: none | claim | 5
// proof: none | answer | 2
func TestResendAttachesToTheRunningCall(t *testing.T) {
	h := newHoldRecorder(t, harness.Options{ServiceTime: 300 * time.Millisecond})
	h.sendAll(keys("attach", 10), h.cluster.Hosts...)
	for key, replies := range h.replies {
		for _, r := range replies {
			if r.Status != http.StatusOK {
				t.Errorf("key %s got %+v, want status 200", key, r)
			}
		}
	}
	h.check()
}

// TestHoldsSurviveHostFailure guards against lost and doubled grants when a home
// of keys is killed after it has granted keys. The next homes of the keys learn the
// grants from its journal.
//
// proof: daemon killed | claim | 5
// proof: daemon killed | answer | 2
// proof: daemon killed | claim | 4
func TestHoldsSurviveHostFailure(t *testing.T) {
	h := newHoldRecorder(t, harness.Options{Hosts: 4})
	before, after := keys("before", 24), keys("after", 24)
	h.sendAll(before, h.cluster.Hosts[0])
	h.cluster.Hosts[2].Kill()
	killed := time.Now()
	h.sendAll(before, h.cluster.Hosts[1])
	succeeded := h.retryAll(after, h.cluster.Hosts[1])
	t.Logf("all %d new keys got a final reply %v after the kill", len(after), time.Since(killed).Round(time.Millisecond))
	for _, i := range []int{0, 1, 3} {
		h.awaitMetric(h.cluster.Hosts[i], "hickoryfront_claim_homes_uncleared 0\n")
	}
	if succeeded != len(after) {
		t.Errorf("%d of %d new keys succeeded", succeeded, len(after))
	}
	if available := h.retryAll(before, h.cluster.Hosts[3]); available != len(before) {
		t.Errorf("%d of %d earlier keys got their response again, want all, because their owner is alive", available, len(before))
	}
	h.check()
}

// TestHoldIsNotRunAgainAfterOwnerFailure guards against a second run of a call when
// its owner, the host that runs it, is killed before the call ends.
//
// proof: daemon killed | prefill | 5
// proof: daemon killed | answer | 5
func TestHoldIsNotRunAgainAfterOwnerFailure(t *testing.T) {
	h := newHoldRecorder(t, harness.Options{ServiceTime: 20 * time.Second}) // longer than it takes to kill the owner
	owner, other := h.cluster.Hosts[0], h.cluster.Hosts[1]
	holdKeys := keys("owner", 12)
	var group sync.WaitGroup
	group.Go(func() { h.sendAll(holdKeys, owner) })
	h.cluster.Await("the calls to run", func() bool { return len(h.runs()) == len(holdKeys) })
	owner.Kill()
	group.Wait()
	if succeeded := h.retryAll(holdKeys, other); succeeded != 0 {
		t.Errorf("%d calls succeeded although their owner was killed", succeeded)
	}
	h.check()
}

// TestPausedHomeGrantsNothingTwice guards against a second grant by a home of keys
// that resumes with outdated state. The home is paused for longer than the other hosts
// wait for it, so the next homes of its keys grant them before it resumes.
//
// proof: daemon paused | claim | 5
// proof: daemon paused + lease lapsed | claim | 5
func TestPausedHomeGrantsNothingTwice(t *testing.T) {
	h := newHoldRecorder(t, harness.Options{Hosts: 4, ServiceTime: 50 * time.Millisecond})
	paused, other := h.cluster.Hosts[1], h.cluster.Hosts[2]
	holdKeys := keys("paused", 30)
	var group sync.WaitGroup
	group.Go(func() { h.sendAll(holdKeys[:15], paused, h.cluster.Hosts[0]) })
	paused.Pause()
	group.Go(func() { h.sendAll(holdKeys, other) })
	h.retryAll(holdKeys[15:], other)
	paused.Resume()
	h.sendAll(holdKeys, paused, other)
	group.Wait()
	h.check()
}

// TestHoldsGoOnWhileThePlatformIsDown guards against failed holds and double runs in
// an outage of the platform. Keys are sent twice during the outage, and a host is
// killed before the platform is available again.
//
// proof: platform down | claim | 5
// proof: platform down + daemon killed | claim | 5
func TestHoldsGoOnWhileThePlatformIsDown(t *testing.T) {
	h := newHoldRecorder(t, harness.Options{Hosts: 4})
	h.sendAll(keys("warm", 8), h.cluster.Hosts...)
	h.cluster.Platform.SetFaults(consul.Faults{Down: true})
	during := keys("during", 40)
	h.sendAll(during, h.cluster.Hosts[0], h.cluster.Hosts[1])
	succeeded := 0
	for _, key := range during {
		if h.replies[key][0].Status == http.StatusOK || h.replies[key][1].Status == http.StatusOK {
			succeeded++
		}
	}
	t.Logf("%d of %d keys succeeded at the first attempt in the outage; refusing all such calls would give 0", succeeded, len(during))
	if final := h.retryAll(during, h.cluster.Hosts[1]); final != len(during) {
		t.Errorf("%d of %d keys succeeded in the outage", final, len(during))
	}
	h.cluster.Hosts[3].Kill()
	h.sendAll(during, h.cluster.Hosts[2])
	h.cluster.Platform.SetFaults(consul.Faults{})
	h.retryAll(during, h.cluster.Hosts[2])
	h.retryAll(keys("afterwards", 20), h.cluster.Hosts[2])
	h.check()
}

// TestPlatformResponsesLost guards against double runs and keys without a final
// reply when half of the platform's writes take effect without a response.
//
// proof: answer lost | claim | 5
func TestPlatformResponsesLost(t *testing.T) {
	h := newHoldRecorder(t, harness.Options{})
	h.cluster.Platform.SetFaults(consul.Faults{LoseResponses: 0.5})
	holdKeys := keys("lost", 30)
	h.sendAll(holdKeys, h.cluster.Hosts[0], h.cluster.Hosts[1])
	if succeeded := h.retryAll(holdKeys, h.cluster.Hosts[2]); succeeded != len(holdKeys) {
		t.Errorf("%d of %d keys succeeded", succeeded, len(holdKeys))
	}
	h.check()
}

// TestSlowPlatform guards against double runs and keys without a final reply when
// every platform call takes longer than a journal write may take.
//
// proof: platform slow | claim | 5
func TestSlowPlatform(t *testing.T) {
	h := newHoldRecorder(t, harness.Options{})
	h.cluster.Platform.SetFaults(consul.Faults{DelayMS: 800})
	holdKeys := keys("slow", 20)
	h.sendAll(holdKeys, h.cluster.Hosts[0], h.cluster.Hosts[1])
	h.cluster.Platform.SetFaults(consul.Faults{})
	if succeeded := h.retryAll(holdKeys, h.cluster.Hosts[2]); succeeded != len(holdKeys) {
		t.Errorf("%d of %d keys succeeded", succeeded, len(holdKeys))
	}
	h.check()
}

// TestHoldsWithOneDaemonCutOff guards against double runs when a daemon is
// disconnected from its peers while all of them still reach the platform.
//
// proof: daemons cut off | claim | 5
func TestHoldsWithOneDaemonCutOff(t *testing.T) {
	h := newHoldRecorder(t, harness.Options{Hosts: 4, PeerProxies: true})
	a, b := h.cluster.Hosts[0], h.cluster.Hosts[1]
	holdKeys := keys("cut", 24)
	h.sendAll(holdKeys[:8], a, b)
	for _, other := range h.cluster.Hosts[1:] {
		h.cluster.SetLinkMode(a, other, cutproxy.Blackhole)
	}
	h.sendAll(holdKeys, a, b)
	h.retryAll(holdKeys, b)
	h.sendAll(holdKeys, a)
	for _, other := range h.cluster.Hosts[1:] {
		h.cluster.SetLinkMode(a, other, cutproxy.Forward)
	}
	h.retryAll(holdKeys, a)
	h.check()
}

// TestCompletionResendGetsTheSameBytes guards against a retried completion that gets
// a different response. A streamed completion is sent with one key through all hosts:
// one host runs it, the others attach to the run, and a late retry gets the stored
// response.
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
		if r.Status != http.StatusOK || !r.IsComplete || r.Body != replies[0].Body {
			t.Errorf("reply %d: %+v, want a complete one with the bytes of the first: %s", i, r, replies[0].Body)
		}
	}
}

// TestHoldsUnderRandomFaults guards against double runs and contradictory replies
// while hosts are killed, paused and restarted and the platform fails. Each key is
// sent through two hosts.
//
// proof: platform down + daemon killed | claim | 5
// proof: platform down + daemon paused | claim | 5
// proof: answer lost + daemon killed | claim | 5
func TestHoldsUnderRandomFaults(t *testing.T) {
	h := newHoldRecorder(t, harness.Options{Hosts: 5, Services: 2, ServiceTime: 20 * time.Millisecond})
	const rounds = 12
	random := rand.New(rand.NewPCG(4, 2))
	all := keys("random", 10*rounds)
	var group sync.WaitGroup
	for round := range rounds {
		sent := all[10*round : 10*round+10]
		hosts := h.cluster.Hosts
		first, second := hosts[random.IntN(len(hosts))], hosts[random.IntN(len(hosts))]
		group.Go(func() { h.sendAll(sent, first, second) })
		h.changeFault(random)
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	}
	h.cluster.Platform.SetFaults(consul.Faults{})
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

// logOutcomes logs how many keys got each kind of last reply.
func (h *holdRecorder) logOutcomes(keys []string) {
	last := map[string]int{}
	for _, key := range keys {
		reply := h.replies[key][len(h.replies[key])-1]
		last[fmt.Sprintf("%d %s", reply.Status, reply.Code)]++
	}
	h.t.Logf("last replies to %d keys: %v", len(keys), last)
}

// changeFault injects or ends a random fault.
func (h *holdRecorder) changeFault(random *rand.Rand) {
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
		h.cluster.Platform.SetFaults(consul.Faults{Down: true})
	case 4:
		h.cluster.Platform.SetFaults(consul.Faults{LoseResponses: 0.3})
	case 5:
		h.cluster.Platform.SetFaults(consul.Faults{})
	}
}

// TestRollingReplacementKeepsKeysAndResponses guards against lost responses and second
// runs in a rolling replacement: every host is stopped and started in turn, as by an
// operator, and then all keys are sent again.
//
// proof: none | drain | 5
// proof: none | drain | 2
func TestRollingReplacementKeepsKeysAndResponses(t *testing.T) {
	h := newHoldRecorder(t, harness.Options{})
	holdKeys := keys("rolling", 20)
	h.sendAll(holdKeys, h.cluster.Hosts[0])
	for _, host := range h.cluster.Hosts {
		host.Terminate()
		<-host.Exited()
		host.Start()
		h.cluster.AwaitReady(host)
		for _, known := range h.cluster.Hosts {
			h.awaitHomes(known, len(h.cluster.Hosts))
		}
	}
	succeeded := h.retryAll(holdKeys, h.cluster.Hosts[1])
	t.Logf("%d of %d stored responses are available after the replacement of every host", succeeded, len(holdKeys))
	if succeeded != len(holdKeys) {
		t.Errorf("%d of %d keys got their stored response", succeeded, len(holdKeys))
	}
	h.check()
}
