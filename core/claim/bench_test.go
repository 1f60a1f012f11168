package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/claim"
)

func benchGrant(number int) claim.Grant {
	return claim.Grant{
		Key:       claim.Key{Workspace: "boipara", Service: "cart", Value: fmt.Sprintf("%036d", number)},
		RequestID: fmt.Sprintf("%036d", number), Owner: claim.Daemon{Host: "h0", Incarnation: 1}, Horizon: time.Hour,
	}
}

// BenchmarkMemory reports the memory that a home uses per held key.
func BenchmarkMemory(b *testing.B) {
	const keys = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := claim.NewTable(keys)
		for i := range keys {
			if _, _, err := table.Claim(start, benchGrant(i)); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(table)
	}
}

// BenchmarkClaim measures one decision of a home among 16 homes, with the given
// number of epoch changes within the horizon.
func BenchmarkClaim(b *testing.B) {
	for _, changes := range []int{0, 32} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			epoch := claim.Epoch{}.Next(start, daemonsOf(16), nil, time.Hour, "")
			for i := range changes {
				epoch = epoch.Next(start, daemonsOf(15+i%2), nil, time.Hour, "")
			}
			home := claim.NewHome(daemonsOf(1)[0], 10_000_000)
			home.Enter(epoch)
			number := 0
			for b.Loop() {
				number++
				_, _, _ = home.Claim(start, benchGrant(number)) // of any outcome
			}
		})
	}
}
