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

// TestParts guards against parts that take more than the whole together, or that keep bytes of the
// whole after a refusal, and against a relief that is not asked before bytes are denied.
func TestParts(t *testing.T) {
	whole := memoryledger.New(10)
	a, b := whole.Part(8), whole.Part(8)
	if !a.Acquire(8) || b.Acquire(3) || !b.Acquire(2) {
		t.Error("want 8 and 2 bytes of 10 taken, and 3 denied")
	}
	if whole.Used() != 10 || b.Used() != 2 || b.Denied() != 1 {
		t.Errorf("%d of the whole and %d of the part taken, %d denied; want 10, 2 and 1", whole.Used(), b.Used(), b.Denied())
	}
	b.SetRelief(func(n int64) bool {
		a.Release(n)
		return a.Used() >= 0
	})
	if !b.Acquire(4) || a.Used() != 4 || whole.Used() != 10 {
		t.Errorf("after relief %d, %d of %d taken", a.Used(), b.Used(), whole.Used())
	}
	if b.Acquire(9) {
		t.Error("a part takes more than its limit")
	}
}
