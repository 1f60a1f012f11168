package telemetry_test

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"

	"github.com/hickoryfront/hickoryfront/core/burn"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/caller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/telemetry"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

var errDown = errors.New("down")

type (
	// fakeKV is an in-memory key-value store that can be down or lose the responses
	// of its writes.
	fakeKV struct {
		mu           sync.Mutex
		values       map[string]consul.Value
		index        uint64
		down         bool
		loseResponse bool
	}

	fakePeers map[netip.AddrPort]*telemetry.Recorder

	fakeClient struct {
		peerapi.PeerClient
		recorder *telemetry.Recorder
	}

	fleet []member.State

	homes struct{ name string }
)

func newKV() *fakeKV { return &fakeKV{values: map[string]consul.Value{}} }

func (f *fakeKV) Get(_ context.Context, key string) (consul.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return consul.Value{}, errDown
	}
	return f.values[key], nil
}

func (f *fakeKV) List(_ context.Context, prefix string) ([]consul.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errDown
	}
	var found []consul.Value
	for key, value := range f.values {
		if strings.HasPrefix(key, prefix) {
			found = append(found, value)
		}
	}
	return found, nil
}

func (f *fakeKV) CompareAndSwap(_ context.Context, key string, data []byte, index uint64) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return false, errDown
	}
	if f.values[key].Index != index {
		return false, nil
	}
	f.index++
	f.values[key] = consul.Value{Key: key, Data: data, Index: f.index}
	if f.loseResponse {
		return false, errDown
	}
	return true, nil
}

func (f *fakeKV) Delete(_ context.Context, key string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.values, key)
	return nil
}

func (f *fakeKV) set(down, loseResponse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.loseResponse = down, loseResponse
}

func (f fakePeers) Client(address netip.AddrPort) (peerapi.PeerClient, error) {
	return fakeClient{recorder: f[address]}, nil
}

func (f fakeClient) Burn(context.Context, *peerapi.BurnRequest, ...grpc.CallOption) (*peerapi.BurnResponse, error) {
	if f.recorder == nil {
		return nil, errDown
	}
	data, err := f.recorder.EncodedSnapshot(time.Now())
	return &peerapi.BurnResponse{Snapshot: data}, err
}

func (f fleet) Live(time.Time) []member.State { return f }

func (h homes) HomeHosts(time.Time) *rendezvous.HostSet { return rendezvous.New([]string{h.name}) }

func hostOf(name string, incarnation uint64) member.Host {
	return member.Host{
		Name: name, Incarnation: incarnation, FailureDomain: "howrah",
		PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+len(name))),
	}
}

// daemon is one incarnation of a daemon, reduced to its counts and its snapshot
// store.
type daemon struct {
	recorder  *telemetry.Recorder
	snapshots *telemetry.SnapshotStore
	stop      context.CancelFunc
	done      chan struct{}
}

func start(t *testing.T, kv *fakeKV, name string, incarnation uint64) *daemon {
	t.Helper()
	set := metrics.NewSet()
	self := hostOf(name, incarnation)
	recorder := telemetry.New(self, set)
	logger := &log.Logger{Handler: json.New(io.Discard), Level: log.InfoLevel}
	ctx, cancel := context.WithCancel(t.Context())
	d := &daemon{
		recorder: recorder, snapshots: telemetry.NewSnapshotStore(recorder, self, kv, homes{name}, logger, set),
		stop: cancel, done: make(chan struct{}),
	}
	go d.run(ctx)
	synctest.Wait()
	return d
}

func (d *daemon) run(ctx context.Context) {
	defer close(d.done)
	d.snapshots.Run(ctx)
}

func (d *daemon) shutdown() {
	d.stop()
	<-d.done
}

func (d *daemon) recordCalls(n int) {
	for range n {
		d.recorder.Call(time.Now(), config.Profile{Objective: 0.99, ResponseTarget: time.Second}, "cart", time.Millisecond, true)
	}
}

// reportedCalls returns the good calls of service cart in the report of a host
// that has counted nothing itself, and the report.
func reportedCalls(t *testing.T, kv *fakeKV, live fleet, peers fakePeers) (uint64, burn.Report) {
	t.Helper()
	self := hostOf("reader", 1)
	reporter := telemetry.NewReporter(telemetry.New(self, metrics.NewSet()), self, live, peers, kv)
	report := reporter.Burn(t.Context(), time.Now())
	if len(report.Rows) == 0 {
		return 0, report
	}
	return report.Rows[0].Windows[2].Count.Good, report
}

// TestCountsSurviveHostFailure guards against counts that are lost or counted twice
// when a host fails, restarts under its name, or can't reach the platform.
func TestCountsSurviveHostFailure(t *testing.T) {
	tests := map[string]struct {
		run  func(t *testing.T, kv *fakeKV)
		want uint64
	}{
		"host failed": {func(t *testing.T, kv *fakeKV) {
			first := start(t, kv, "host-1", 1)
			first.recordCalls(3)
			first.shutdown()
		}, 3},
		"host replaced under its name": {func(t *testing.T, kv *fakeKV) {
			first := start(t, kv, "host-1", 1)
			first.recordCalls(3)
			first.shutdown()
			second := start(t, kv, "host-1", 2)
			second.recordCalls(4)
			second.shutdown()
		}, 7},
		"host replaced while the platform is down": {func(t *testing.T, kv *fakeKV) {
			first := start(t, kv, "host-1", 1)
			first.recordCalls(3)
			first.shutdown()
			kv.set(true, false)
			second := start(t, kv, "host-1", 2)
			second.recordCalls(4)
			time.Sleep(time.Minute)
			kv.set(false, false)
			time.Sleep(10 * time.Minute)
			second.shutdown()
		}, 7},
		"response of a write lost": {func(t *testing.T, kv *fakeKV) {
			first := start(t, kv, "host-1", 1)
			kv.set(false, true)
			first.recordCalls(3)
			time.Sleep(4 * time.Minute)
			kv.set(false, false)
			first.recordCalls(1)
			time.Sleep(10 * time.Minute)
			first.shutdown()
		}, 4},
		"older incarnation that still runs does not overwrite": {func(t *testing.T, kv *fakeKV) {
			first := start(t, kv, "host-1", 1)
			first.recordCalls(3)
			time.Sleep(4 * time.Minute)
			second := start(t, kv, "host-1", 2)
			second.recordCalls(4)
			second.shutdown()
			first.shutdown()
		}, 7},
		"host failed for longer than any window": {func(t *testing.T, kv *fakeKV) {
			first := start(t, kv, "host-1", 1)
			first.recordCalls(3)
			first.shutdown()
			time.Sleep(7 * time.Hour)
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := newKV()
				test.run(t, kv)
				if got, report := reportedCalls(t, kv, nil, nil); got != test.want {
					t.Errorf("counted %d calls, want %d: %+v", got, test.want, report.Hosts)
				}
			})
		})
	}
}

// TestSweepBoundsStoredCounts guards against snapshots of removed hosts that
// accumulate on the platform.
func TestSweepBoundsStoredCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newKV()
		first := start(t, kv, "host-1", 1)
		first.shutdown()
		time.Sleep(13 * time.Hour)
		second := start(t, kv, "host-2", 1)
		second.shutdown()
		if len(kv.values) != 1 {
			t.Errorf("%d snapshots are stored, want the live host's only", len(kv.values))
		}
	})
}

// TestReportListsMissingHosts guards against a report that silently leaves a host
// out. It merges the counts of a live host, stored snapshots of hosts that do not
// respond, and a host without either.
func TestReportListsMissingHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newKV()
		failed, unresponsive := start(t, kv, "a", 1), start(t, kv, "bb", 1)
		failed.recordCalls(2)
		unresponsive.recordCalls(3)
		failed.shutdown()
		unresponsive.shutdown()
		alive := start(t, kv, "ccc", 1)
		alive.recordCalls(4)
		defer alive.shutdown()
		live := fleet{{Host: hostOf("bb", 1)}, {Host: hostOf("ccc", 1)}, {Host: hostOf("dddd", 1)}}
		peers := fakePeers{hostOf("ccc", 1).PeerAddress: alive.recorder}

		got, report := reportedCalls(t, kv, live, peers)
		sources := map[string]burn.Source{}
		for _, h := range report.Hosts {
			sources[h.Host] = h.Source
		}
		want := map[string]burn.Source{"a": burn.SourceSnapshot, "bb": burn.SourceSnapshot, "ccc": burn.SourceLive, "dddd": burn.SourceMissing}
		if diff := cmp.Diff(want, sources); diff != "" || got != 9 || !report.PlatformRead {
			t.Errorf("counted %d, platform read %v, sources: %s", got, report.PlatformRead, diff)
		}

		kv.set(true, false)
		got, report = reportedCalls(t, kv, live, peers)
		if diff := cmp.Diff([]string{"bb", "dddd"}, report.Missing()); diff != "" || got != 4 || report.PlatformRead {
			t.Errorf("platform down: counted %d, platform read %v, missing: %s", got, report.PlatformRead, diff)
		}
	})
}

// TestCompletionCountsEachObjective guards against a completion that counts as
// good or bad for the wrong objective.
func TestCompletionCountsEachObjective(t *testing.T) {
	profile := config.Profile{Objective: 0.95, FirstTokenTarget: 2 * time.Second, TokenGapTarget: 29 * time.Millisecond}
	tests := map[string]struct {
		timing caller.Timing
		want   map[burn.Objective]burn.Count
	}{
		"all targets met":      {caller.Timing{FirstToken: time.Second, WorstGap: 9 * time.Millisecond, Tokens: 3, OK: true}, map[burn.Objective]burn.Count{"answer": {Good: 1}, "firstToken": {Good: 1}, "tokenGap": {Good: 1}}},
		"late first token":     {caller.Timing{FirstToken: 3 * time.Second, WorstGap: 9 * time.Millisecond, Tokens: 3, OK: true}, map[burn.Objective]burn.Count{"answer": {Good: 1}, "firstToken": {Bad: 1}, "tokenGap": {Good: 1}}},
		"stalled":              {caller.Timing{FirstToken: time.Second, WorstGap: time.Second, Tokens: 3, OK: true}, map[burn.Objective]burn.Count{"answer": {Good: 1}, "firstToken": {Good: 1}, "tokenGap": {Bad: 1}}},
		"no complete response": {caller.Timing{}, map[burn.Objective]burn.Count{"answer": {Bad: 1}, "firstToken": {Bad: 1}, "tokenGap": {Bad: 1}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			recorder := telemetry.New(hostOf("host-1", 1), metrics.NewSet())
			now := time.Now()
			recorder.Completion(now, profile, "catalogue", test.timing)
			got := map[burn.Objective]burn.Count{}
			for _, keyed := range recorder.Snapshot(now).Series {
				got[keyed.Key.Objective] = keyed.Series.Counts(now)[0]
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
