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
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
	"github.com/hickoryfront/hickoryfront/hickorylab/platform"
)

const (
	// pastStallLimit is longer than the silence after which a daemon knows that
	// it was paused.
	pastStallLimit  = 6 * time.Second
	shortIsolation  = "[peers]\ntimeout = 2s\nisolation = 3s\n"
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
	c.Platform.SetFaults(platform.Faults{LoseAnswers: 1})
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
