package faults_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	wire "github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/consul"
	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

const (
	// longPause is longer than the gap after which a daemon detects that it was
	// paused.
	longPause              = 6 * time.Second
	shortIsolationSettings = "[peers]\ntimeout = 2s\nisolation = 3s\n"
	drainText              = "[host]\ndrain = true\n"
	workspaceText          = "[workspace]\nshare = 2\n"
	workspaceCount         = 10
)

// isReady reports whether a daemon accepts requests.
func isReady(host *harness.Process) bool {
	response, err := http.Get("http://" + host.Operator + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// TestPausedDaemonDoesNotServeWhatWasUnbound guards against a daemon that serves a
// service on an outdated configuration: the service is unbound while the daemon is
// paused. After the daemon resumes, it must not run a single call of the service.
//
// proof: daemon paused | config spread | 8
// proof: daemon paused | accept | 8
func TestPausedDaemonDoesNotServeWhatWasUnbound(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{})
	paused := c.Hosts[2]
	paused.Pause()
	if status := c.SetEntry(c.Hosts[0], "service", harness.PlainService, "", c.Revision(c.Hosts[0])); status != http.StatusOK {
		t.Fatalf("the change got status %d, want 200", status)
	}
	time.Sleep(longPause)
	paused.Resume()
	for i := range 20 {
		reply := c.Call(t.Context(), paused, http.MethodPost, "/holds", fmt.Sprint("after-", i), "one")
		if reply.Err == nil && (reply.Status == http.StatusOK || reply.Ran != "no") {
			t.Errorf("call %d after the pause: %+v, want a refusal as not run", i, reply)
		}
	}
	if runs := c.Services[0].Runs(); len(runs) != 0 {
		t.Errorf("the unbound service ran %d calls, want 0", len(runs))
	}
	c.Await("the paused daemon to catch up", func() bool { return c.Revision(paused) == c.Revision(c.Hosts[0]) })
}

// TestDaemonReplacedInOutage guards against a daemon that serves without a
// configuration after it was replaced during an outage of the platform. A single new
// daemon takes the configuration from its peers. When all daemons are replaced, none
// has it, and they must refuse requests until the outage ends.
//
// proof: daemon killed + platform down | config spread | 8
// proof: platform down | config spread | 8
func TestDaemonReplacedInOutage(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{})
	before := c.Revision(c.Hosts[0])
	c.Platform.SetFaults(consul.Faults{Down: true})
	if status := c.SetEntry(c.Hosts[0], "workspace", "w", workspaceText, 0); status != http.StatusServiceUnavailable {
		t.Errorf("a change in an outage got status %d, want 503", status)
	}
	c.Hosts[1].Kill()
	c.Hosts[1].Start()
	c.Await("the new daemon to take the configuration from its peers", func() bool { return c.Revision(c.Hosts[1]) == before })

	for _, host := range c.Hosts {
		host.Kill()
	}
	for _, host := range c.Hosts {
		host.Start()
	}
	c.Await("all daemons to see each other", func() bool { return c.LiveHosts(c.Hosts[0]) == len(c.Hosts) })
	for _, host := range c.Hosts {
		reply := c.Call(t.Context(), host, http.MethodPost, "/holds", "in-outage", "one")
		if isReady(host) || reply.Status != http.StatusServiceUnavailable || reply.Ran != "no" {
			t.Errorf("%s has no configuration: reply %+v, want a 503 as not run and no readiness", host.Name, reply)
		}
	}
	c.Platform.SetFaults(consul.Faults{})
	for _, host := range c.Hosts {
		c.AwaitReady(host)
		if got := c.Revision(host); got != before {
			t.Errorf("%s is at revision %d after the outage, want %d", host.Name, got, before)
		}
	}
}

// TestOperatorsRaceThroughAllDaemons guards against conflicting changes that are both
// accepted, and against lost changes, when operators race. Conflicting and unrelated
// changes are sent through all daemons concurrently.
//
// proof: operators race | config write | 8
func TestOperatorsRaceThroughAllDaemons(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{})
	before := c.Revision(c.Hosts[0])
	statuses := make([]int, len(c.Hosts)+workspaceCount)
	var group sync.WaitGroup
	for i, host := range c.Hosts {
		group.Go(func() { statuses[i] = c.SetEntry(host, "workspace", "contested", workspaceText, 0) })
	}
	for i := range workspaceCount {
		host := c.Hosts[i%len(c.Hosts)]
		group.Go(func() {
			statuses[len(c.Hosts)+i] = c.SetEntry(host, "workspace", fmt.Sprint("w-", i), workspaceText, 0)
		})
	}
	group.Wait()
	accepted := 0
	for _, status := range statuses[:len(c.Hosts)] {
		switch status {
		case http.StatusOK:
			accepted++
		case http.StatusConflict:
		default:
			t.Errorf("a conflicting change got status %d, want 200 or 409", status)
		}
	}
	if accepted != 1 {
		t.Errorf("%d of %d conflicting changes were accepted, want 1", accepted, len(c.Hosts))
	}
	for i, status := range statuses[len(c.Hosts):] {
		if status != http.StatusOK {
			t.Errorf("unrelated change %d got status %d, want 200", i, status)
		}
	}
	want := before + 1 + workspaceCount
	for _, host := range c.Hosts {
		c.Await(host.Name+" to have all changes", func() bool { return c.Revision(host) == want })
	}
}

// TestConfigWriteResponseLost guards against a change that fails, is lost or is applied
// twice because the platform loses the response to every write after the write took
// effect.
//
// proof: answer lost | config write | 8
// proof: answer lost | config spread | 8
func TestConfigWriteResponseLost(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{})
	before := c.Revision(c.Hosts[0])
	c.Platform.SetFaults(consul.Faults{LoseResponses: 1})
	for i := range 3 {
		if status := c.SetEntry(c.Hosts[i], "workspace", fmt.Sprint("w-", i), workspaceText, 0); status != http.StatusOK {
			t.Errorf("change %d got status %d, want 200", i, status)
		}
	}
	c.Platform.SetFaults(consul.Faults{})
	for _, host := range c.Hosts {
		c.Await(host.Name+" to have three changes", func() bool { return c.Revision(host) == before+3 })
	}
}

// TestConfigSpreadsWhilePlatformIsSlow guards against a change that fails or does not
// reach every daemon because each platform call takes long.
//
// proof: platform slow | config write | 8
// proof: platform slow | config spread | 8
func TestConfigSpreadsWhilePlatformIsSlow(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{})
	before := c.Revision(c.Hosts[0])
	c.Platform.SetFaults(consul.Faults{DelayMS: 800})
	if status := c.SetEntry(c.Hosts[1], "workspace", "w", workspaceText, 0); status != http.StatusOK {
		t.Errorf("the change got status %d, want 200", status)
	}
	for _, host := range c.Hosts {
		c.Await(host.Name+" to have the change", func() bool { return c.Revision(host) == before+1 })
	}
}

// TestDaemonCutFromPlatformAndPeers guards against a daemon that accepts new work
// while it reaches neither its peers nor the platform, and against one that does not
// recover by itself afterwards.
//
// proof: daemons cut off + platform down | accept | 8
// proof: daemons cut off + platform down | config spread | 8
func TestDaemonCutFromPlatformAndPeers(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{PeerProxies: true, Settings: shortIsolationSettings})
	cut, others := c.Hosts[2], c.Hosts[:2]
	c.Platform.SetFaults(consul.Faults{Down: true})
	for _, other := range others {
		c.SetLinkMode(cut, other, cutproxy.Refuse)
	}
	c.Await("the daemon to refuse new work", func() bool { return !isReady(cut) })
	reply := c.Call(t.Context(), cut, http.MethodPost, "/holds", "cut", "one")
	if reply.Status != http.StatusServiceUnavailable || reply.Ran != "no" {
		t.Errorf("the isolated daemon replies with %+v, want a 503 as not run", reply)
	}
	for _, other := range others {
		if !isReady(other) {
			t.Errorf("%s reaches a peer but is not ready", other.Name)
		}
	}
	c.Platform.SetFaults(consul.Faults{})
	if status := c.SetEntry(others[0], "workspace", "w", workspaceText, 0); status != http.StatusOK {
		t.Errorf("the change got status %d, want 200", status)
	}
	c.AwaitReady(cut)
	c.Await("the daemon to catch up", func() bool { return c.Revision(cut) == c.Revision(others[0]) })
}

// TestOrdersSurviveOwnerFailure guards against orders that are lost with the daemon
// that sends them. A pool is changed, two of three daemons are killed while the
// orders are sent, and the pool is changed again: every engine must get the last
// version.
//
// proof: daemon killed | order | 8
func TestOrdersSurviveOwnerFailure(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{EngineFlags: []string{"--fencing", "checked"}})
	pool := func(version int) string {
		return fmt.Sprintf("[pool]\nmodel = %s\nversion = %d\n", harness.Model, version)
	}
	survivor := c.Hosts[2]
	if status := c.SetEntry(survivor, "pool", "p", pool(2), 0); status != http.StatusOK {
		t.Fatalf("the change of the pool got status %d, want 200", status)
	}
	revision := c.Revision(survivor)
	c.Hosts[0].Kill()
	c.Hosts[1].Kill()
	if status := c.SetEntry(survivor, "pool", "p", pool(3), revision); status != http.StatusOK {
		t.Fatalf("the change of the pool got status %d, want 200", status)
	}
	for id, e := range c.Engines {
		c.Await(id+" to run version 3", func() bool { return versionOf(e) == "3" })
	}
}

// versionOf returns the version that an engine runs.
func versionOf(e *harness.Process) string {
	response, err := http.Get("http://" + e.Address + wire.PathState)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var state wire.StateReply
	if json.NewDecoder(response.Body).Decode(&state) != nil {
		return ""
	}
	return state.Version
}

// TestChangeReachesLiveDaemons guards against an accepted change that does not reach
// every live daemon because its writer is killed or loses the connections to its
// peers. Each host is alone in its failure domain.
//
// proof: daemon killed | config write | 8
// proof: daemon killed | config spread | 8
// proof: failure domain lost | config write | 8
// proof: daemons cut off | config write | 8
// proof: daemons cut off | config spread | 8
// proof: silent connection | config spread | 8
// proof: silent connection + daemon killed | config spread | 8
func TestChangeReachesLiveDaemons(t *testing.T) {
	tests := []struct {
		name   string
		before func(c *harness.Cluster)
		after  func(c *harness.Cluster)
		killed int // number of hosts that are killed, from the first
	}{
		{name: "writer killed at once", after: func(c *harness.Cluster) { c.Hosts[0].Kill() }, killed: 1},
		{name: "writer's peer connections refused", before: func(c *harness.Cluster) { disconnectFirst(c, cutproxy.Refuse) }},
		{name: "writer's peer connections silent", before: func(c *harness.Cluster) { disconnectFirst(c, cutproxy.Blackhole) }},
		{
			name: "writer's peer connections silent and writer killed", before: func(c *harness.Cluster) { disconnectFirst(c, cutproxy.Blackhole) },
			after: func(c *harness.Cluster) { c.Hosts[0].Kill() }, killed: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := harness.Start(t, binaries, harness.Options{PeerProxies: true})
			revision := c.Revision(c.Hosts[0]) + 1
			if tt.before != nil {
				tt.before(c)
			}
			if status := c.SetEntry(c.Hosts[0], "workspace", "w", workspaceText, 0); status != http.StatusOK {
				t.Fatalf("the change got status %d, want 200", status)
			}
			if tt.after != nil {
				tt.after(c)
			}
			for _, host := range c.Hosts[tt.killed:] {
				c.Await(host.Name+" to have the change", func() bool { return c.Revision(host) >= revision })
			}
		})
	}
}

// disconnectFirst sets the mode of the connections between the first host and all
// others.
func disconnectFirst(c *harness.Cluster, mode cutproxy.Mode) {
	for _, other := range c.Hosts[1:] {
		c.SetLinkMode(c.Hosts[0], other, mode)
	}
}

// TestDrainUnderFaults guards against a drain that truncates a stream, never ends or
// disturbs other hosts. A host is drained while it streams a response: the
// response must be complete, the daemon must exit, and the other hosts must still
// serve.
//
// proof: none | drain | 7
// proof: platform slow | drain | 7
// proof: platform down | drain | 7
// proof: operators race | drain | 7
// proof: daemons cut off | drain | 7
// proof: daemon paused | drain | 7
// proof: failure domain lost | drain | 7
func TestDrainUnderFaults(t *testing.T) {
	drainByEntry := func(t *testing.T, c *harness.Cluster) {
		if status := c.SetEntry(c.Hosts[1], "host", c.Hosts[2].Name, drainText, 0); status != http.StatusOK {
			t.Errorf("the drain got status %d, want 200", status)
		}
	}
	tests := []struct {
		name  string
		fault func(c *harness.Cluster)
		drain func(t *testing.T, c *harness.Cluster)
	}{
		{name: "no fault", drain: drainByEntry},
		{name: "platform slow", fault: func(c *harness.Cluster) { c.Platform.SetFaults(consul.Faults{DelayMS: 300}) }, drain: drainByEntry},
		{
			name: "platform down, by signal", fault: func(c *harness.Cluster) { c.Platform.SetFaults(consul.Faults{Down: true}) },
			drain: func(_ *testing.T, c *harness.Cluster) { c.Hosts[2].Terminate() },
		},
		{name: "operators race", drain: drainThroughAll},
		{
			name: "cut off from its peers", drain: drainByEntry,
			fault: func(c *harness.Cluster) {
				c.SetLinkMode(c.Hosts[2], c.Hosts[0], cutproxy.Refuse)
				c.SetLinkMode(c.Hosts[2], c.Hosts[1], cutproxy.Refuse)
			},
		},
		{
			name: "paused", fault: func(c *harness.Cluster) { c.Hosts[2].Pause() },
			drain: func(t *testing.T, c *harness.Cluster) {
				drainByEntry(t, c)
				c.Hosts[2].Resume()
			},
		},
		{name: "another failure domain lost", fault: func(c *harness.Cluster) { c.Hosts[0].Kill() }, drain: drainByEntry},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			drainWhileStreaming(t, tt.fault, tt.drain)
		})
	}
}

// drainWhileStreaming drains the third host while it streams a response and
// checks that the response is complete, the daemon exits and another host serves.
func drainWhileStreaming(t *testing.T, fault func(c *harness.Cluster), drain func(t *testing.T, c *harness.Cluster)) {
	const tokens = 200
	c := harness.Start(t, binaries, harness.Options{PeerProxies: true})
	prompt := harness.Prompt("drained", 80)
	started := make(chan struct{})
	var reply harness.Reply
	var group sync.WaitGroup
	group.Go(func() {
		reply = c.Complete(t.Context(), c.Hosts[2], harness.Completion{
			Prompt: prompt, MaxTokens: tokens, Stream: true,
			OnToken: func(number int) {
				if number == 0 {
					close(started)
				}
			},
		})
	})
	<-started
	if fault != nil {
		fault(c)
	}
	drain(t, c)
	group.Wait()
	if want := engine.ResponseText(prompt, tokens); reply.Text != want || !reply.IsComplete {
		t.Errorf("the response in progress was truncated: %d of %d bytes, complete %v, error %v", len(reply.Text), len(want), reply.IsComplete, reply.Err)
	}
	<-c.Hosts[2].Exited()
	c.Platform.SetFaults(consul.Faults{})
	next := harness.Completion{Prompt: harness.Prompt("next", 80), MaxTokens: 4}
	if nextReply := c.Complete(t.Context(), c.Hosts[1], next); !nextReply.IsComplete {
		t.Errorf("after the drain another host replies with %+v, want a complete response", nextReply)
	}
}

// drainThroughAll drains a host through all daemons concurrently. Exactly one of
// the changes must be accepted.
func drainThroughAll(t *testing.T, c *harness.Cluster) {
	statuses := make([]int, len(c.Hosts))
	var group sync.WaitGroup
	for i, host := range c.Hosts {
		group.Go(func() { statuses[i] = c.SetEntry(host, "host", c.Hosts[2].Name, drainText, 0) })
	}
	group.Wait()
	accepted := 0
	for _, status := range statuses {
		if status == http.StatusOK {
			accepted++
		}
	}
	if accepted != 1 {
		t.Errorf("the drains got statuses %v, want one accepted", statuses)
	}
}

// TestMinorityRefusesWhileMajorityServes guards against a minority of the hosts that
// accepts work on its own. Two of five daemons, which still reach each other, are
// disconnected from the others while the platform is down.
//
// proof: daemons cut off + platform down | accept | 4
func TestMinorityRefusesWhileMajorityServes(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Hosts: 5, PeerProxies: true, Settings: shortIsolationSettings})
	minority, majority := c.Hosts[:2], c.Hosts[2:]
	c.Platform.SetFaults(consul.Faults{Down: true})
	for _, a := range minority {
		for _, b := range majority {
			c.SetLinkMode(a, b, cutproxy.Refuse)
		}
	}
	for _, host := range minority {
		c.Await(host.Name+" to refuse new work", func() bool { return !isReady(host) })
		if reply := c.Call(t.Context(), host, http.MethodGet, "/stock", "", ""); reply.Ran != "no" {
			t.Errorf("%s of the minority replies with %+v, want a refusal as not run", host.Name, reply)
		}
	}
	for _, host := range majority {
		if !isReady(host) {
			t.Errorf("%s of the majority is not ready", host.Name)
		}
	}
	c.Platform.SetFaults(consul.Faults{})
	for _, host := range minority {
		c.AwaitReady(host)
	}
}
