package quota_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/quota"
)

// BenchmarkRequest decides about requests of 890 workspaces with 360 hosts, as a host and as a
// home, and reports the memory of a workspace in both roles.
func BenchmarkRequest(b *testing.B) {
	const workspaces, hosts = 890, 360
	var before, after runtime.MemStats
	s := newSimulation(1, hosts)
	names := make([]string, workspaces)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%d", i)
	}
	home := quota.Home{Count: quota.HomeCount, From: start}
	requester := quota.NewRequester(s.hosts[0].address, bounds, start, rand.New(rand.NewPCG(1, 1)))
	ledger, groups := quota.NewLedger(start, false, bounds.Window), s.hosts[0].groups
	now := start.Add(time.Minute)
	request := func(name string) {
		now = now.Add(time.Microsecond)
		ask := quota.Ask{Workspace: name, Version: 1, Limit: quota.Limit{Rate: 318_000, Burst: 318_000}, Units: 3_300}
		requester.Begin(now, ask, groups.Homes(groups.Group(name)))
		if answer := ledger.Take(now, ask, home); answer.Granted > 0 {
			requester.Grant(now, ask, s.hosts[1].address, answer.Granted)
		} else {
			requester.TakeAllowance(now, ask, hosts)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range 40 { // until the buckets are empty, so that allowances are in use as well
		for _, name := range names {
			request(name)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		request(names[i%workspaces])
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/workspaces, "B/workspace")
	runtime.KeepAlive(ledger)
	runtime.KeepAlive(requester)
}
