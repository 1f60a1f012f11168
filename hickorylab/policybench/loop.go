// Package policybench compares placement policies in virtual time. It runs the
// placement and admission code of hickoryfront against a simple model of engines,
// links and delayed load reports. The model covers only the inputs and the effects
// of placement and admission decisions.
package policybench

import (
	"container/heap"
	"time"
)

type (
	// loop runs events in the order of their virtual time, and events at the
	// same time in the order of scheduling.
	loop struct {
		now    time.Time
		events eventHeap
		order  uint64
	}

	event struct {
		at    time.Time
		order uint64
		run   func()
	}

	eventHeap []event
)

// epoch is the virtual time at which each run starts.
var epoch = time.Date(2026, 7, 1, 0, 0, 0, 0, time.UTC)

func newLoop() *loop {
	return &loop{now: epoch}
}

func (l *loop) after(d time.Duration, run func()) {
	l.order++
	heap.Push(&l.events, event{at: l.now.Add(max(0, d)), order: l.order, run: run})
}

// runUntil runs events until none is left, done returns true or the next event is
// after end.
func (l *loop) runUntil(end time.Time, done func() bool) {
	for len(l.events) > 0 && !done() {
		e := heap.Pop(&l.events).(event)
		if e.at.After(end) {
			return
		}
		l.now = e.at
		e.run()
	}
}

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
