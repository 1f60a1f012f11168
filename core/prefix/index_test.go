package prefix_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/hickoryfront/hickoryfront/core/prefix"
)

func hashesOf(prompt int) []uint64 {
	return prefix.Hashes(strings.Repeat(fmt.Sprintf("prompt %06d with some text. ", prompt), 400))
}

func eventsOf(first uint64, hashes []uint64) []prefix.Event {
	events := make([]prefix.Event, 0, len(hashes))
	for i, h := range hashes {
		events = append(events, prefix.Event{Sequence: first + uint64(i), Block: h})
	}
	return events
}

func TestIndexAppliesEvents(t *testing.T) {
	x := prefix.NewIndex(10_000)
	hashes := hashesOf(1)
	newest := uint64(len(hashes))
	x.Apply("p", eventsOf(1, hashes), newest)
	got := x.MatchedBlocks("p", hashes)
	if missing := len(hashes) - got; missing < 0 || missing > 64 {
		t.Errorf("%d of %d blocks found", got, len(hashes))
	}
	if x.NeedsSnapshot("p") {
		t.Error("snapshot needed without a lost event")
	}
	if x.MatchedBlocks("p", hashesOf(2)) != 0 || x.MatchedBlocks("q", hashes) != 0 {
		t.Error("blocks of another prompt or server match")
	}
}

// TestLostEventNeedsSnapshot loses one event, after which the index may differ
// from the server's cache. The index must detect the loss by the sequence
// numbers, also where the last event is lost, and expect fewer blocks until a
// snapshot.
func TestLostEventNeedsSnapshot(t *testing.T) {
	tests := map[string]struct {
		lost      int    // index of the lost event; -1: none of the prompt's events
		lostAtEnd uint64 // number of lost events after those of the prompt
	}{
		"in the middle": {5, 0},
		"at the end":    {-1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := prefix.NewIndex(10_000)
			hashes := hashesOf(1)
			events := eventsOf(1, hashes)
			newest := uint64(len(hashes)) + test.lostAtEnd
			if test.lost >= 0 {
				events = append(events[:test.lost], events[test.lost+1:]...)
			}
			x.Apply("p", events, newest)
			if !x.NeedsSnapshot("p") {
				t.Fatal("no snapshot needed after a lost event")
			}
			if got := x.MatchedBlocks("p", hashes); got == 0 || got == len(hashes) {
				t.Errorf("%d of %d blocks matched after a lost event", got, len(hashes))
			}
			x.Restore("p", newest, hashes)
			if x.NeedsSnapshot("p") || x.Sequence("p") != newest {
				t.Errorf("after the snapshot: another needed %v, sequence %d", x.NeedsSnapshot("p"), x.Sequence("p"))
			}
		})
	}
}

func TestIndexMemoryIsBounded(t *testing.T) {
	const limit = 500
	x := prefix.NewIndex(limit)
	sequence := uint64(1)
	for prompt := range 100 {
		hashes := hashesOf(prompt)
		x.Apply("p", eventsOf(sequence, hashes), sequence+uint64(len(hashes))-1)
		sequence += uint64(len(hashes))
	}
	if got := x.BlockCount("p"); got > limit {
		t.Errorf("%d blocks in the index, limit %d", got, limit)
	}
	if x.MatchedBlocks("p", hashesOf(99)) == 0 {
		t.Error("no blocks of the newest prompt match")
	}
}

// FuzzCacheEvents checks that for any events from a server the index stays
// bounded, its sequence never decreases, and it never matches more blocks than
// the prompt has.
func FuzzCacheEvents(f *testing.F) {
	f.Add([]byte("0123456789abcdef0123456789abcdef0"), uint64(3))
	f.Add([]byte{}, uint64(0))
	hashes := hashesOf(7)
	f.Fuzz(func(t *testing.T, data []byte, newest uint64) {
		const limit, eventBytes = 32, 4
		x := prefix.NewIndex(limit)
		var events []prefix.Event
		for ; len(data) >= eventBytes; data = data[eventBytes:] {
			n := binary.LittleEndian.Uint16(data[1:])
			events = append(events, prefix.Event{Sequence: uint64(data[0]), Block: hashes[int(n)%len(hashes)], Evicted: data[3]&1 == 1})
		}
		for range 2 {
			before := x.Sequence("p")
			x.Apply("p", events, newest)
			if x.Sequence("p") < before {
				t.Fatalf("sequence decreased from %d to %d", before, x.Sequence("p"))
			}
			if got := x.MatchedBlocks("p", hashes); got < 0 || got > len(hashes) {
				t.Fatalf("%d of %d blocks match", got, len(hashes))
			}
			if x.BlockCount("p") > limit {
				t.Fatalf("%d blocks in the index, limit 32", x.BlockCount("p"))
			}
		}
		x.Restore("p", newest, hashes[:4])
		if x.NeedsSnapshot("p") {
			t.Fatal("snapshot needed right after one")
		}
	})
}

// BenchmarkIndexMemory measures the memory of one home with 33 servers and 5,000
// prompts of 64 blocks each.
func BenchmarkIndexMemory(b *testing.B) {
	const servers, prompts, blocks = 33, 5000, 64
	var before, after runtime.MemStats
	var x *prefix.Index
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		x = prefix.NewIndex(40_000)
		events := make([]prefix.Event, blocks)
		for server := range servers {
			id := fmt.Sprint(server)
			for prompt := range prompts {
				for i := range events {
					number := uint64(server*prompts+prompt)*blocks + uint64(i)
					events[i] = prefix.Event{Sequence: uint64(prompt*blocks+i) + 1, Block: number * 0x9E3779B97F4A7C15}
				}
				x.Apply(id, events, events[blocks-1].Sequence)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	held := 0
	for _, id := range x.Servers() {
		held += x.BlockCount(id)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
	b.ReportMetric(float64(held), "blocks")
}
