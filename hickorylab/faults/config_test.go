package faults_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
	labengine "github.com/hickoryfront/hickoryfront/hickorylab/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
	"github.com/hickoryfront/hickoryfront/hickorylab/platform"
)

const (
	// pastStallLimit is longer than the silence after which a daemon knows that
	// it was paused.
	pastStallLimit  = 6 * time.Second
	shortIsolation  = "[peers]\ntimeout = 2s\nisolation = 3s\n"
	drainText       = "[host]\ndrain = true\n"
	workspaceText   = "[workspace]\nshare = 2\n"
	workspacesCount = 10
)

// ready reports whether a daemon takes requests.
func ready(host *harness.Process) bool {
	response, err := http.Get("http://" + host.Operator + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// TestPausedDaemonDoesNotServeWhatWasUnbound unbinds a service while a daemon
// is paused. When it resumes, it must not serve the service once.
//
// proof: daemon paused | config spread | 8
// proof: daemon paused | accept | 8
func TestPausedDaemonDoesNotServeWhatWasUnbound(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{})
	paused := c.Hosts[2]
	paused.Pause()
	if status := c.Set(c.Hosts[0], "service", harness.PlainService, "", c.Revision(c.Hosts[0])); status != http.StatusOK {
		t.Fatalf("the change was answered with status %d", status)
	}
	time.Sleep(pastStallLimit)
	paused.Resume()
	for i := range 20 {
		reply := c.Call(t.Context(), paused, http.MethodPost, "/holds", fmt.Sprint("after-", i), "one")
		if reply.Err == nil && (reply.Status == http.StatusOK || reply.Ran != "no") {
			t.Errorf("call %d after the pause: %+v, want a refusal as not run", i, reply)
		}
	}
	if runs := c.Services[0].Runs(); len(runs) != 0 {
		t.Errorf("the unbound service ran %d calls", len(runs))
	}
	c.Await("the paused daemon to catch up", func() bool { return c.Revision(paused) == c.Revision(c.Hosts[0]) })
}

// TestDaemonReplacedInOutage replaces one daemon, and then all of them, while
// the platform is down.
//
// proof: daemon killed + platform down | config spread | 8
// proof: platform down | config spread | 8
func TestDaemonReplacedInOutage(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{})
	before := c.Revision(c.Hosts[0])
	c.Platform.SetFaults(platform.Faults{Down: true})
	if status := c.Set(c.Hosts[0], "workspace", "w", workspaceText, 0); status != http.StatusServiceUnavailable {
		t.Errorf("a change in an outage was answered with status %d", status)
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
	c.Await("all daemons to hear each other", func() bool { return c.LiveHosts(c.Hosts[0]) == len(c.Hosts) })
	for _, host := range c.Hosts {
		reply := c.Call(t.Context(), host, http.MethodPost, "/holds", "in-outage", "one")
		if ready(host) || reply.Status != http.StatusServiceUnavailable || reply.Ran != "no" {
			t.Errorf("%s knows no configuration and answers %+v", host.Name, reply)
		}
	}
	c.Platform.SetFaults(platform.Faults{})
	for _, host := range c.Hosts {
		c.AwaitReady(host)
		if got := c.Revision(host); got != before {
			t.Errorf("%s is at revision %d after the outage, want %d", host.Name, got, before)
		}
	}
}

// TestOperatorsRaceThroughTwoDaemons sends conflicting changes and unrelated
// ones through all daemons at once.
//
// proof: operators race | config write | 8
func TestOperatorsRaceThroughTwoDaemons(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{})
	before := c.Revision(c.Hosts[0])
	statuses := make([]int, len(c.Hosts)+workspacesCount)
	var group sync.WaitGroup
	for i, host := range c.Hosts {
		group.Go(func() { statuses[i] = c.Set(host, "workspace", "contested", workspaceText, 0) })
	}
	for i := range workspacesCount {
		host := c.Hosts[i%len(c.Hosts)]
		group.Go(func() { statuses[len(c.Hosts)+i] = c.Set(host, "workspace", fmt.Sprint("w-", i), workspaceText, 0) })
	}
	group.Wait()
	won := 0
	for _, status := range statuses[:len(c.Hosts)] {
		switch status {
		case http.StatusOK:
			won++
		case http.StatusConflict:
		default:
			t.Errorf("a contested change was answered with status %d", status)
		}
	}
	if won != 1 {
		t.Errorf("%d of %d contested changes won, want one", won, len(c.Hosts))
	}
	for i, status := range statuses[len(c.Hosts):] {
		if status != http.StatusOK {
			t.Errorf("unrelated change %d was answered with status %d", i, status)
		}
	}
	want := before + 1 + workspacesCount
	for _, host := range c.Hosts {
		c.Await(host.Name+" to have all changes", func() bool { return c.Revision(host) == want })
	}
}

// TestConfigWriteAnswerLost changes the configuration while the platform loses
// the answer of every write after its effect.
//
// proof: answer lost | config write | 8
// proof: answer lost | config spread | 8
func TestConfigWriteAnswerLost(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{})
	before := c.Revision(c.Hosts[0])
	c.Platform.SetFaults(platform.Faults{LoseResponses: 1})
	for i := range 3 {
		if status := c.Set(c.Hosts[i], "workspace", fmt.Sprint("w-", i), workspaceText, 0); status != http.StatusOK {
			t.Errorf("change %d was answered with status %d", i, status)
		}
	}
	c.Platform.SetFaults(platform.Faults{})
	for _, host := range c.Hosts {
		c.Await(host.Name+" to have three changes", func() bool { return c.Revision(host) == before+3 })
	}
}

// TestConfigSpreadsWhilePlatformIsSlow changes the configuration while each
// call of the platform takes long.
//
// proof: platform slow | config write | 8
// proof: platform slow | config spread | 8
func TestConfigSpreadsWhilePlatformIsSlow(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{})
	before := c.Revision(c.Hosts[0])
	c.Platform.SetFaults(platform.Faults{DelayMS: 800})
	if status := c.Set(c.Hosts[1], "workspace", "w", workspaceText, 0); status != http.StatusOK {
		t.Errorf("the change was answered with status %d", status)
	}
	for _, host := range c.Hosts {
		c.Await(host.Name+" to have the change", func() bool { return c.Revision(host) == before+1 })
	}
}

// TestDaemonCutFromPlatformAndPeers cuts a daemon off from its peers while the
// platform is down: it refuses new work, and comes back by itself.
//
// proof: daemons cut off + platform down | accept | 8
// proof: daemons cut off + platform down | config spread | 8
func TestDaemonCutFromPlatformAndPeers(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Cuttable: true, Settings: shortIsolation})
	cut, others := c.Hosts[2], c.Hosts[:2]
	c.Platform.SetFaults(platform.Faults{Down: true})
	for _, other := range others {
		c.Cut(cut, other, cutproxy.Refuse)
	}
	c.Await("the daemon to refuse new work", func() bool { return !ready(cut) })
	reply := c.Call(t.Context(), cut, http.MethodPost, "/holds", "cut", "one")
	if reply.Status != http.StatusServiceUnavailable || reply.Ran != "no" {
		t.Errorf("the daemon that is cut off answers %+v", reply)
	}
	for _, other := range others {
		if !ready(other) {
			t.Errorf("%s hears a peer and is not ready", other.Name)
		}
	}
	c.Platform.SetFaults(platform.Faults{})
	if status := c.Set(others[0], "workspace", "w", workspaceText, 0); status != http.StatusOK {
		t.Errorf("the change was answered with status %d", status)
	}
	c.AwaitReady(cut)
	c.Await("the daemon to catch up", func() bool { return c.Revision(cut) == c.Revision(others[0]) })
}

// TestOrdersSurviveTheirOwner changes a pool, ends the daemons one after the
// other while orders go out, and changes it again.
//
// proof: daemon killed | order | 8
func TestOrdersSurviveTheirOwner(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{EngineFlags: []string{"--fencing", "checked"}})
	pool := func(version int) string {
		return fmt.Sprintf("[pool]\nmodel = %s\nversion = %d\n", harness.Model, version)
	}
	survivor := c.Hosts[2]
	if status := c.Set(survivor, "pool", "p", pool(2), 0); status != http.StatusOK {
		t.Fatalf("the pool was answered with status %d", status)
	}
	revision := c.Revision(survivor)
	c.Hosts[0].Kill()
	c.Hosts[1].Kill()
	if status := c.Set(survivor, "pool", "p", pool(3), revision); status != http.StatusOK {
		t.Fatalf("the pool was answered with status %d", status)
	}
	for id, e := range c.Engines {
		c.Await(id+" to run version 3", func() bool { return versionOf(e) == "3" })
	}
}

// versionOf returns the version that an engine runs.
func versionOf(e *harness.Process) string {
	response, err := http.Get("http://" + e.Address + engine.PathState)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var state engine.StateReply
	if json.NewDecoder(response.Body).Decode(&state) != nil {
		return ""
	}
	return state.Version
}

// TestChangeReachesTheRest accepts a change while daemons die or lose each
// other. Every daemon that lives gets it. Each host is alone in its failure domain.
//
// proof: daemon killed | config write | 8
// proof: daemon killed | config spread | 8
// proof: failure domain lost | config write | 8
// proof: daemons cut off | config write | 8
// proof: daemons cut off | config spread | 8
// proof: silent connection | config spread | 8
// proof: silent connection + daemon killed | config spread | 8
func TestChangeReachesTheRest(t *testing.T) {
	tests := []struct {
		name   string
		before func(c *harness.Cluster)
		after  func(c *harness.Cluster)
		dead   int // hosts that are gone, from the first
	}{
		{name: "its writer is killed at once", after: func(c *harness.Cluster) { c.Hosts[0].Kill() }, dead: 1},
		{name: "the writer is cut off from its peers", before: func(c *harness.Cluster) { cutFirst(c, cutproxy.Refuse) }},
		{name: "the writer's connections go silent", before: func(c *harness.Cluster) { cutFirst(c, cutproxy.Silence) }},
		{
			name: "the writer's connections go silent and it is killed", before: func(c *harness.Cluster) { cutFirst(c, cutproxy.Silence) },
			after: func(c *harness.Cluster) { c.Hosts[0].Kill() }, dead: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := harness.Start(t, binaries, harness.Options{Cuttable: true})
			revision := c.Revision(c.Hosts[0]) + 1
			if tt.before != nil {
				tt.before(c)
			}
			if status := c.Set(c.Hosts[0], "workspace", "w", workspaceText, 0); status != http.StatusOK {
				t.Fatalf("the change was answered with status %d", status)
			}
			if tt.after != nil {
				tt.after(c)
			}
			for _, host := range c.Hosts[tt.dead:] {
				c.Await(host.Name+" to have the change", func() bool { return c.Revision(host) >= revision })
			}
		})
	}
}

func cutFirst(c *harness.Cluster, mode cutproxy.Mode) {
	for _, other := range c.Hosts[1:] {
		c.Cut(c.Hosts[0], other, mode)
	}
}

// TestDrainUnderFaults drains a host that streams an answer. The answer is
// whole, the daemon ends, and the other hosts serve on.
//
// proof: none | drain | 7
// proof: platform slow | drain | 7
// proof: platform down | drain | 7
// proof: operators race | drain | 7
// proof: daemons cut off | drain | 7
// proof: daemon paused | drain | 7
// proof: failure domain lost | drain | 7
func TestDrainUnderFaults(t *testing.T) {
	byEntry := func(t *testing.T, c *harness.Cluster) {
		if status := c.Set(c.Hosts[1], "host", c.Hosts[2].Name, drainText, 0); status != http.StatusOK {
			t.Errorf("the drain was answered with status %d", status)
		}
	}
	tests := []struct {
		name  string
		fault func(c *harness.Cluster)
		drain func(t *testing.T, c *harness.Cluster)
	}{
		{name: "no fault", drain: byEntry},
		{name: "platform slow", fault: func(c *harness.Cluster) { c.Platform.SetFaults(platform.Faults{DelayMS: 300}) }, drain: byEntry},
		{
			name: "platform down, by signal", fault: func(c *harness.Cluster) { c.Platform.SetFaults(platform.Faults{Down: true}) },
			drain: func(_ *testing.T, c *harness.Cluster) { c.Hosts[2].Terminate() },
		},
		{name: "operators race", drain: drainByAll},
		{
			name: "cut off from its peers", drain: byEntry,
			fault: func(c *harness.Cluster) {
				c.Cut(c.Hosts[2], c.Hosts[0], cutproxy.Refuse)
				c.Cut(c.Hosts[2], c.Hosts[1], cutproxy.Refuse)
			},
		},
		{
			name: "paused", fault: func(c *harness.Cluster) { c.Hosts[2].Pause() },
			drain: func(t *testing.T, c *harness.Cluster) {
				byEntry(t, c)
				c.Hosts[2].Resume()
			},
		},
		{name: "another failure domain is lost", fault: func(c *harness.Cluster) { c.Hosts[0].Kill() }, drain: byEntry},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			drainWhileStreaming(t, tt.fault, tt.drain)
		})
	}
}

func drainWhileStreaming(t *testing.T, fault func(c *harness.Cluster), drain func(t *testing.T, c *harness.Cluster)) {
	const tokens = 200
	c := harness.Start(t, binaries, harness.Options{Cuttable: true})
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
	if want := labengine.ResponseText(prompt, tokens); reply.Text != want || !reply.Whole {
		t.Errorf("the answer in flight was cut: %d of %d bytes, whole %v, error %v", len(reply.Text), len(want), reply.Whole, reply.Err)
	}
	<-c.Hosts[2].Exited()
	c.Platform.SetFaults(platform.Faults{})
	next := harness.Completion{Prompt: harness.Prompt("next", 80), MaxTokens: 4}
	if answer := c.Complete(t.Context(), c.Hosts[1], next); !answer.Whole {
		t.Errorf("after the drain another host answers %+v", answer)
	}
}

// drainByAll drains a host through all daemons at once: one change wins.
func drainByAll(t *testing.T, c *harness.Cluster) {
	statuses := make([]int, len(c.Hosts))
	var group sync.WaitGroup
	for i, host := range c.Hosts {
		group.Go(func() { statuses[i] = c.Set(host, "host", c.Hosts[2].Name, drainText, 0) })
	}
	group.Wait()
	won := 0
	for _, status := range statuses {
		if status == http.StatusOK {
			won++
		}
	}
	if won != 1 {
		t.Errorf("the drains were answered with %v, want one accepted", statuses)
	}
}

// TestMinorityRefusesWhileTheRestServes cuts two of five daemons off, together,
// while the platform is down.
//
// proof: daemons cut off + platform down | accept | 4
func TestMinorityRefusesWhileTheRestServes(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Hosts: 5, Cuttable: true, Settings: shortIsolation})
	minority, majority := c.Hosts[:2], c.Hosts[2:]
	c.Platform.SetFaults(platform.Faults{Down: true})
	for _, a := range minority {
		for _, b := range majority {
			c.Cut(a, b, cutproxy.Refuse)
		}
	}
	for _, host := range minority {
		c.Await(host.Name+" to refuse new work", func() bool { return !ready(host) })
		if reply := c.Call(t.Context(), host, http.MethodGet, "/stock", "", ""); reply.Ran != "no" {
			t.Errorf("%s of the minority answers %+v", host.Name, reply)
		}
	}
	for _, host := range majority {
		if !ready(host) {
			t.Errorf("%s of the majority is not ready", host.Name)
		}
	}
	c.Platform.SetFaults(platform.Faults{})
	for _, host := range minority {
		c.AwaitReady(host)
	}
}
