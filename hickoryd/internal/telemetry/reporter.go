package telemetry

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hickoryfront/hickoryfront/core/burn"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	burnTimeout = time.Second
	// burnParallel bounds the hosts that are asked at once.
	burnParallel = 16
)

type (
	// Fleet lists the live hosts, this one included.
	Fleet interface {
		Live(now time.Time) []member.State
	}

	// Peers gives clients of the other daemons.
	Peers interface {
		Client(address netip.AddrPort) (peerapi.PeerClient, error)
	}

	// Reporter merges the counts of all hosts. It is safe for concurrent use.
	Reporter struct {
		recorder *Recorder
		self     member.Host
		fleet    Fleet
		peers    Peers
		kv       KV
	}

	// question asks one host for its counts.
	question struct {
		reporter *Reporter
		ctx      context.Context
		now      time.Time
		host     member.Host
		answer   *burn.HostSnapshot
	}
)

// NewReporter returns a reporter that asks the fleet and reads the platform.
func NewReporter(recorder *Recorder, self member.Host, fleet Fleet, peers Peers, kv KV) *Reporter {
	return &Reporter{recorder: recorder, self: self, fleet: fleet, peers: peers, kv: kv}
}

// Burn returns the report as of now. Hosts that do not answer are named in it.
func (r *Reporter) Burn(ctx context.Context, now time.Time) burn.Report {
	hosts := r.ask(ctx, now)
	stored, err := r.stored(ctx, now)
	for i, h := range hosts {
		snapshot, ok := stored[h.Host]
		if h.Source == burn.SourceMissing && ok {
			hosts[i].Source = burn.SourceSnapshot
			hosts[i].Snapshot = snapshot
		}
		delete(stored, h.Host)
	}
	for _, snapshot := range stored {
		hosts = append(hosts, burn.HostSnapshot{
			Host: snapshot.Host, FailureDomain: snapshot.FailureDomain, Source: burn.SourceSnapshot, Snapshot: snapshot,
		})
	}
	return burn.Merge(now.UTC(), hosts, err == nil)
}

// ask reads the counts of the live hosts.
func (r *Reporter) ask(ctx context.Context, now time.Time) []burn.HostSnapshot {
	live := r.fleet.Live(now)
	hosts := make([]burn.HostSnapshot, len(live))
	var group errgroup.Group
	group.SetLimit(burnParallel)
	for i, s := range live {
		hosts[i] = burn.HostSnapshot{Host: s.Host.Name, FailureDomain: s.Host.FailureDomain, Alive: true, Source: burn.SourceMissing}
		group.Go(question{reporter: r, ctx: ctx, now: now, host: s.Host, answer: &hosts[i]}.run)
	}
	_ = group.Wait() // a host that does not answer is reported as missing
	return hosts
}

// stored reads the counts that hosts have left on the platform and that still
// reach into a window.
func (r *Reporter) stored(ctx context.Context, now time.Time) (map[string]burn.Snapshot, error) {
	snapshots := map[string]burn.Snapshot{}
	values, err := r.kv.List(ctx, SnapshotKeyPrefix)
	if err != nil {
		return snapshots, err
	}
	for _, value := range values {
		snapshot, err := burn.DecodeSnapshot(value.Data)
		if err == nil && now.Sub(snapshot.TakenAt) <= burn.LongestWindow() {
			snapshots[snapshot.Host] = snapshot
		}
	}
	return snapshots, nil
}

func (q question) run() error {
	snapshot, err := q.read()
	if err != nil {
		return err
	}
	q.answer.Source = burn.SourceLive
	q.answer.Snapshot = snapshot
	return nil
}

func (q question) read() (burn.Snapshot, error) {
	if q.host.Name == q.reporter.self.Name {
		return q.reporter.recorder.Snapshot(q.now), nil
	}
	client, err := q.reporter.peers.Client(q.host.PeerAddress)
	if err != nil {
		return burn.Snapshot{}, err
	}
	ctx, cancel := context.WithTimeout(q.ctx, burnTimeout)
	defer cancel()
	response, err := client.Burn(ctx, &peerapi.BurnRequest{})
	if err != nil {
		return burn.Snapshot{}, err
	}
	return burn.DecodeSnapshot(response.GetSnapshot())
}
