package edgesoak_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/metastore"
	"github.com/hickoryfront/hickoryfront/hickorylab/worker"
)

const (
	// settledTime is the time after a change in which it is known everywhere, and written to
	// the store.
	settledTime = 2500 * time.Millisecond
	// firstStartPause is the time in which callers read streams before the first event.
	firstStartPause = time.Second
	// restartPause is the pause of a caller whose host does not respond.
	restartPause = 200 * time.Millisecond
)

// versionChange is a case in which all hosts fail while the software of the decode servers
// changes.
type versionChange struct {
	name string
	run  func(r *replacement)
	// minShare is the least part of the streams that must go on of those that are taken up
	// again while servers of their version serve.
	minShare float64
}

// TestStreamsWhenAllHostsFail guards against streams that join two software versions, and
// against streams that are refused although their version serves, after all hosts have been
// killed at the same time: then no host knows any more what began a stream.
func TestStreamsWhenAllHostsFail(t *testing.T) {
	t.Parallel()
	tests := []versionChange{
		{name: "one version", minShare: 0.5, run: func(r *replacement) {
			r.killHosts(0, 1, 2)
			time.Sleep(settledTime)
		}},
		{name: "both versions serve", minShare: 0.5, run: func(r *replacement) {
			r.startVersions(2)
			time.Sleep(settledTime)
			r.killHosts(0, 1, 2)
			time.Sleep(settledTime)
		}},
		{name: "killed twice", minShare: 0.5, run: func(r *replacement) {
			r.startVersions(2)
			time.Sleep(settledTime)
			r.killHosts(0, 1, 2)
			time.Sleep(700 * time.Millisecond)
			r.killHosts(0, 1, 2)
			time.Sleep(settledTime)
		}},
		{name: "some hosts and then the others", minShare: 0.5, run: func(r *replacement) {
			r.startVersions(2)
			time.Sleep(settledTime)
			r.killHosts(0, 1)
			time.Sleep(300 * time.Millisecond)
			r.killHosts(2)
			time.Sleep(settledTime)
		}},
		{name: "the old version has just left", run: func(r *replacement) {
			r.startVersions(3)
			time.Sleep(settledTime)
			r.endOldVersion()
			r.killHosts(0, 1, 2)
			time.Sleep(settledTime)
		}},
		{name: "the old version leaves while the hosts are away", run: func(r *replacement) {
			r.startVersions(3)
			time.Sleep(settledTime)
			r.stopHosts(0, 1, 2)
			r.endOldVersion()
			r.startHosts(0, 1, 2)
			time.Sleep(settledTime)
		}},
		{name: "all software is replaced while the hosts are away", run: func(r *replacement) {
			r.stopHosts(0, 1, 2)
			r.startVersions(3)
			r.endOldVersion()
			r.startHosts(0, 1, 2)
			time.Sleep(settledTime)
		}},
		{name: "the store is set back", run: func(r *replacement) {
			older := r.environment.store.Copy()
			r.startVersions(3)
			time.Sleep(settledTime)
			r.stopHosts(0, 1, 2)
			r.endOldVersion()
			r.environment.restoreStore(older)
			r.startHosts(0, 1, 2)
			time.Sleep(settledTime)
		}},
		{name: "the store does not respond", run: func(r *replacement) {
			r.startVersions(3)
			time.Sleep(settledTime)
			r.stopHosts(0, 1, 2)
			r.endOldVersion()
			r.environment.store.SetMode(netip.Addr{}, metastore.Refuse)
			r.startHosts(0, 1, 2)
			time.Sleep(time.Second)
			r.environment.store.SetMode(netip.Addr{}, metastore.Serve)
			time.Sleep(settledTime)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.play(t)
		})
	}
}

func (c versionChange) play(t *testing.T) {
	t.Helper()
	e := startEnvironment(t, retrySlacks[0])
	r := &replacement{callers: &callers{environment: e, stop: make(chan struct{})}, servers: e.modelServers, restartPause: restartPause}
	time.Sleep(settledTime)
	for i := range hostCount * callersPerHost {
		r.group.Go(func() { r.loop(i, rand.New(rand.NewPCG(7, uint64(i)))) })
	}
	time.Sleep(firstStartPause)
	c.run(r)
	close(r.stop)
	r.group.Wait()
	r.checkOutcomes(t)
	r.checkServed(t, r.firstAttempts())
	r.checkVersions(t, c.minShare)
}

// startVersions starts decode servers of the new version.
func (r *replacement) startVersions(count int) {
	e := r.environment
	for i := range count {
		s, err := e.workers.StartVersion("model", "decode", e.address(50+i, 19000), newVersion)
		if err != nil {
			e.tb.Fatal(err)
		}
		e.tb.Cleanup(s.Crash)
		r.mu.Lock()
		r.servers = append(r.servers, s)
		r.mu.Unlock()
	}
}

// endOldVersion ends the decode servers of the old version, whose registrations vanish.
func (r *replacement) endOldVersion() {
	for _, s := range r.environment.decodeServers() {
		s.Drain()
		s.Crash()
	}
}

// killHosts kills hosts at the same time and starts them again.
func (r *replacement) killHosts(hosts ...int) {
	r.stopHosts(hosts...)
	r.startHosts(hosts...)
}

func (r *replacement) stopHosts(hosts ...int) {
	var group sync.WaitGroup
	for _, i := range hosts {
		group.Go(func() { r.environment.killHost(i) })
	}
	group.Wait()
}

func (r *replacement) startHosts(hosts ...int) {
	for _, i := range hosts {
		r.environment.hosts[i].Start()
	}
}

// firstAttempts returns the attempts that take up no stream. A stream whose version has left is
// refused as often as its caller takes it up.
func (r *replacement) firstAttempts() []outcome {
	var first []outcome
	for _, s := range r.streams {
		if len(s.attempts) > 0 {
			first = append(first, s.attempts[0])
		}
	}
	return first
}

// checkVersions requires that no stream joins two versions, and that at least a part of those
// goes on that are taken up again while servers of their version serve.
func (r *replacement) checkVersions(t *testing.T, minShare float64) {
	t.Helper()
	joined, couldGoOn, wentOn := 0, 0, 0
	for _, s := range r.streams {
		for i, e := range s.events {
			if e.version != s.version() {
				joined++
				t.Errorf("stream %s went on with %s at event %d of %s; its attempts:%s", s.request.target, e.version, i+1, s.version(), r.describe(s))
				break
			}
			if want := worker.Event(s.request.target, s.request.body, uint64(i)+1); e.text != want {
				t.Errorf("stream %s has event %q in place of %q", s.request.target, e.text, want)
				break
			}
		}
		if s.couldGoOn {
			couldGoOn++
		}
		if s.wentOn {
			wentOn++
		}
	}
	summary := fmt.Sprintf("%d streams, %d joined two versions; %d were taken up while servers of their version served, %d went on", len(r.streams), joined, couldGoOn, wentOn)
	t.Log(summary)
	if float64(wentOn) < minShare*float64(couldGoOn) {
		t.Errorf("%s; want at least %.0f%%", summary, 100*minShare)
	}
}
