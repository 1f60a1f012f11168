package memoryledger_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/memoryledger"
)

// TestLimitHolds takes and returns memory at random: never more is taken than the limit, and
// nothing is refused that fits.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 100).Draw(t, "limit")
		l := memoryledger.New(limit)
		var held []int64
		var used int64
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(t, "isReleased") {
				l.Release(held[0])
				used -= held[0]
				held = held[1:]
				continue
			}
			n := rapid.Int64Range(-1, 120).Draw(t, "bytes")
			want := n >= 0 && used+n <= limit
			if got := l.Acquire(n); got != want {
				t.Fatalf("%d bytes with %d of %d taken: %t, want %t", n, used, limit, got, want)
			}
			if want {
				held, used = append(held, n), used+n
			}
		}
		if l.Used() != used {
			t.Fatalf("%d bytes are taken, want %d", l.Used(), used)
		}
	})
}
