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
	queryTimeout = time.Second
	// maxParallelQueries bounds the number of hosts that are queried at once.
	maxParallelQueries = 16
)

type (
	// Fleet lists the live hosts, this one included.
	Fleet interface {
		Live(now time.Time) []member.State
	}

	// Peers provides clients of the other daemons.
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

	// query fetches the counts of one host into result.
	query struct {
		reporter *Reporter
		ctx      context.Context
		now      time.Time
		host     member.Host
		result   *burn.HostSnapshot
	}
)

// NewReporter returns a reporter that queries the live hosts and reads the
// snapshots that are stored on the platform.
func NewReporter(recorder *Recorder, self member.Host, fleet Fleet, peers Peers, kv KV) *Reporter {
	return &Reporter{recorder: recorder, self: self, fleet: fleet, peers: peers, kv: kv}
}

// Burn returns the report as of now. A stored snapshot stands in for a host that
// does not respond. The report lists hosts without either as missing.
func (r *Reporter) Burn(ctx context.Context, now time.Time) burn.Report {
	hosts := r.queryHosts(ctx, now)
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

// queryHosts fetches the counts of all live hosts.
func (r *Reporter) queryHosts(ctx context.Context, now time.Time) []burn.HostSnapshot {
	live := r.fleet.Live(now)
	hosts := make([]burn.HostSnapshot, len(live))
	var group errgroup.Group
	group.SetLimit(maxParallelQueries)
	for i, s := range live {
		hosts[i] = burn.HostSnapshot{Host: s.Host.Name, FailureDomain: s.Host.FailureDomain, Alive: true, Source: burn.SourceMissing}
		group.Go(query{reporter: r, ctx: ctx, now: now, host: s.Host, result: &hosts[i]}.run)
	}
	_ = group.Wait() // a host that does not respond keeps SourceMissing
	return hosts
}

// stored reads the snapshots on the platform that are recent enough for the
// longest burn window.
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

func (q query) run() error {
	snapshot, err := q.fetch()
	if err != nil {
		return err
	}
	q.result.Source = burn.SourceLive
	q.result.Snapshot = snapshot
	return nil
}

func (q query) fetch() (burn.Snapshot, error) {
	if q.host.Name == q.reporter.self.Name {
		return q.reporter.recorder.Snapshot(q.now), nil
	}
	client, err := q.reporter.peers.Client(q.host.PeerAddress)
	if err != nil {
		return burn.Snapshot{}, err
	}
	ctx, cancel := context.WithTimeout(q.ctx, queryTimeout)
	defer cancel()
	response, err := client.Burn(ctx, &peerapi.BurnRequest{})
	if err != nil {
		return burn.Snapshot{}, err
	}
	return burn.DecodeSnapshot(response.GetSnapshot())
}
