// Package memoryledger counts the memory that peers make a host hold, while it is taken, against
// a bound, so that what arrives together can't exceed the memory of the host. A ledger may be
// divided into parts. The commands hickoryd edge and hickoryd serve use it.
package memoryledger

import "sync/atomic"

// Ledger counts bytes. It is safe for concurrent use.
type Ledger struct {
	parent *Ledger // or nil
	limit  int64
	used   atomic.Int64
	denied atomic.Int64
	// relief tries to make peers give up n bytes, and reports whether some did.
	relief atomic.Pointer[func(n int64) bool]
}

// New returns a ledger that allows limit bytes at a time.
func New(limit int64) *Ledger {
	return &Ledger{limit: limit}
}

// Part returns a ledger for a part of l. What it takes is taken from l too. The limits of all
// parts may add up to more than that of l.
func (l *Ledger) Part(limit int64) *Ledger {
	return &Ledger{parent: l, limit: limit}
}

// SetRelief sets what Acquire calls when fewer than n bytes are left. It reports whether it has
// freed memory, in which case Acquire tries again.
func (l *Ledger) SetRelief(relief func(n int64) bool) {
	l.relief.Store(&relief)
}

// Acquire takes n bytes. It reports false, and takes none, if fewer are left.
func (l *Ledger) Acquire(n int64) bool {
	if n < 0 {
		return false
	}
	for !l.TryAcquire(n) {
		relief := l.relief.Load()
		if n > l.limit || relief == nil || !(*relief)(n) {
			l.denied.Add(1)
			return false
		}
	}
	return true
}

// TryAcquire is like Acquire, without relief.
func (l *Ledger) TryAcquire(n int64) bool {
	for {
		used := l.used.Load()
		if n < 0 || n > l.limit-used {
			return false
		}
		if l.used.CompareAndSwap(used, used+n) {
			break
		}
	}
	if l.parent != nil && !l.parent.TryAcquire(n) {
		l.used.Add(-n)
		return false
	}
	return true
}

// Take takes n bytes even if fewer are left, for memory that is held already.
func (l *Ledger) Take(n int64) {
	l.Release(-n)
}

// Release returns n bytes that were taken.
func (l *Ledger) Release(n int64) {
	for ; l != nil; l = l.parent {
		l.used.Add(-n)
	}
}

// Used returns the bytes that are taken.
func (l *Ledger) Used() int64 {
	return l.used.Load()
}

// Limit returns the bytes that may be taken at a time.
func (l *Ledger) Limit() int64 {
	return l.limit
}

// Denied returns how often bytes were not left.
func (l *Ledger) Denied() int64 {
	return l.denied.Load()
}
