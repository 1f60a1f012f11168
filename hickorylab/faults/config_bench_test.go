package faults_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/consul"
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

const (
	inForcePollInterval = 2 * time.Millisecond
	idlePeriod          = 20 * time.Second
	singleChanges       = 60
	burstChanges        = 50
)

// configClient calls the administration API of a cluster's daemons.
type configClient struct {
	tb      testing.TB
	cluster *harness.Cluster
}

// BenchmarkConfigInForce measures the time from sending a change until every
// daemon has it in force, the platform calls of idle daemons, and a burst of
// changes.
func BenchmarkConfigInForce(b *testing.B) {
	for _, daemons := range []int{3, 7, 40} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			c := &configClient{b, harness.Start(b, binaries, harness.Options{Hosts: daemons, Prefill: 1, Decode: 1})}
			for b.Loop() {
				reportIdleCalls(b, c.cluster.Platform)
				reportSingle(b, c)
				reportBurst(b, c)
			}
		})
	}
}

func reportIdleCalls(b *testing.B, p *consul.Platform) {
	time.Sleep(idlePeriod)
	before := p.Counts()
	time.Sleep(idlePeriod)
	after := p.Counts()
	perSecond := func(before, after uint64) float64 { return float64(after-before) / idlePeriod.Seconds() }
	b.ReportMetric(perSecond(before.Reads, after.Reads), "reads/s")
	b.ReportMetric(perSecond(before.Watches, after.Watches), "watches/s")
	b.ReportMetric(perSecond(before.Writes+before.Leases, after.Writes+after.Leases), "writes/s")
}

func reportSingle(b *testing.B, c *configClient) {
	var times []time.Duration
	for i := range singleChanges {
		start := time.Now()
		revision := c.change(c.cluster.Hosts[i%len(c.cluster.Hosts)], fmt.Sprint("single-", i))
		c.awaitRevision(revision)
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	milliseconds := func(quantile float64) float64 {
		return float64(times[int(quantile*float64(len(times)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(milliseconds(0.5), "p50-ms")
	b.ReportMetric(milliseconds(0.99), "p99-ms")
	b.ReportMetric(milliseconds(1), "worst-ms")
}

func reportBurst(b *testing.B, c *configClient) {
	before, start := c.cluster.Platform.Counts(), time.Now()
	var group sync.WaitGroup
	revisions := make([]uint64, burstChanges)
	for i := range burstChanges {
		group.Go(func() { revisions[i] = c.change(c.cluster.Hosts[i%len(c.cluster.Hosts)], fmt.Sprint("burst-", i)) })
	}
	group.Wait()
	accepted := time.Since(start)
	c.awaitRevision(slices.Max(revisions))
	b.ReportMetric(float64(accepted.Milliseconds()), "burst-accepted-ms")
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "burst-inforce-ms")
	b.ReportMetric(float64(c.cluster.Platform.Counts().Writes-before.Writes), "burst-writes")
}

// change creates a workspace through a daemon and returns the new revision, or 0
// if the change failed.
func (c *configClient) change(host *harness.Process, name string) uint64 {
	body := fmt.Sprintf(`{"author":"bench","edits":[{"kind":"workspace","name":%q,"text":"[workspace]\nshare = 1\n"}]}`, name)
	request, err := http.NewRequest(http.MethodPost, "http://"+host.Operator+"/admin/v1/changes", bytes.NewBufferString(body))
	if err != nil {
		c.tb.Error(err)
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+harness.OperatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.tb.Error(err)
		return 0
	}
	defer response.Body.Close()
	var reply struct {
		Revision uint64 `json:"revision"`
		Message  string `json:"message"`
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil || response.StatusCode != http.StatusOK {
		c.tb.Errorf("change through %s: status %d: %s %v", host.Name, response.StatusCode, reply.Message, err)
	}
	return reply.Revision
}

// revisionOf returns the revision that is in force on a daemon, or 0.
func (c *configClient) revisionOf(host *harness.Process) uint64 {
	request, err := http.NewRequest(http.MethodGet, "http://"+host.Operator+"/admin/v1/entries/host/none", nil)
	if err != nil {
		c.tb.Error(err)
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+harness.OperatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the header is used
	revision, _ := strconv.ParseUint(response.Header.Get("X-Config-Revision"), 10, 64)
	return revision
}

// awaitRevision waits until every daemon has a revision in force.
func (c *configClient) awaitRevision(revision uint64) {
	waiting := slices.Clone(c.cluster.Hosts)
	deadline := time.Now().Add(time.Minute) // ends the wait if a daemon does not get the revision
	for len(waiting) > 0 {
		waiting = slices.DeleteFunc(waiting, func(h *harness.Process) bool { return c.revisionOf(h) >= revision })
		if time.Now().After(deadline) {
			c.tb.Fatalf("%d daemons did not get revision %d in time", len(waiting), revision)
		}
		if len(waiting) > 0 {
			time.Sleep(inForcePollInterval)
		}
	}
}
