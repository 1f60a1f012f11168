package faults_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

// TestHoldRunsOnceWhenHostsAreCutOff guards against double runs when all daemons
// are disconnected from each other while each still reaches the platform. Each hold
// is sent through all daemons concurrently, before and after the daemons mark each
// other as failed.
//
// proof: daemons cut off | claim | 5
// proof: daemons cut off | claim | 4
func TestHoldRunsOnceWhenHostsAreCutOff(t *testing.T) {
	tests := []struct {
		name string
		mode cutproxy.Mode
	}{
		{"connections refused", cutproxy.Refuse},
		{"connections silent", cutproxy.Blackhole},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := harness.Start(t, binaries, harness.Options{PeerProxies: true})
			disconnectAll(c, tt.mode)
			sendHoldsEverywhere(t, c, "before")
			c.Await("the daemons to mark each other as failed", func() bool { return areAllIsolated(c) })
			sendHoldsEverywhere(t, c, "after")
			checkRunsOnce(t, c)
		})
	}
}

func disconnectAll(c *harness.Cluster, mode cutproxy.Mode) {
	for i, a := range c.Hosts {
		for _, b := range c.Hosts[i+1:] {
			c.SetLinkMode(a, b, mode)
		}
	}
}

func areAllIsolated(c *harness.Cluster) bool {
	for _, host := range c.Hosts {
		if c.LiveHosts(host) != 1 {
			return false
		}
	}
	return true
}

// sendHoldsEverywhere sends some holds, each through all hosts concurrently, and
// checks that a hold that every host refused as not run was not run.
func sendHoldsEverywhere(t *testing.T, c *harness.Cluster, name string) {
	t.Helper()
	const holds = 6
	for i := range holds {
		key := fmt.Sprintf("%s-%d", name, i)
		replies := make([]harness.Reply, len(c.Hosts))
		var group sync.WaitGroup
		for h, host := range c.Hosts {
			group.Go(func() { replies[h] = c.Call(t.Context(), host, http.MethodPost, "/holds", key, "one") })
		}
		group.Wait()
		checkNotRun(t, c, key, replies)
	}
}

// checkNotRun checks that a hold that every host refused as not run was not run.
func checkNotRun(t *testing.T, c *harness.Cluster, key string, replies []harness.Reply) {
	t.Helper()
	for _, r := range replies {
		if r.Err != nil || r.Ran != "no" {
			return
		}
	}
	if runs := runsOf(c, key); runs != 0 {
		t.Errorf("hold %s ran %d times, but every host refused it as not run", key, runs)
	}
}

// checkRunsOnce checks that no key ran more than once.
func checkRunsOnce(t *testing.T, c *harness.Cluster) {
	t.Helper()
	runs := map[string]int{}
	for _, s := range c.Services {
		for _, r := range s.Runs() {
			runs[r.Key]++
		}
	}
	for key, count := range runs {
		if count > 1 {
			t.Errorf("hold %s ran %d times, want at most 1", key, count)
		}
	}
}

func runsOf(c *harness.Cluster, key string) int {
	count := 0
	for _, s := range c.Services {
		for _, r := range s.Runs() {
			if r.Key == key {
				count++
			}
		}
	}
	return count
}
