// Package memoryledger counts the memory that callers make a host hold, while it is taken,
// against a bound, so that what arrives together can't exceed the memory of the host. The command
// hickoryd edge uses it.
package memoryledger

import "sync/atomic"

// Ledger counts bytes. It is safe for concurrent use.
type Ledger struct {
	limit int64
	used  atomic.Int64
}

// New returns a ledger that allows limit bytes at a time.
func New(limit int64) *Ledger {
	return &Ledger{limit: limit}
}

// Acquire takes n bytes. It reports false, and takes none, if fewer are left.
func (l *Ledger) Acquire(n int64) bool {
	for {
		used := l.used.Load()
		if n < 0 || n > l.limit-used {
			return false
		}
		if l.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release returns n bytes that were taken.
func (l *Ledger) Release(n int64) {
	l.used.Add(-n)
}

// Used returns the bytes that are taken.
func (l *Ledger) Used() int64 {
	return l.used.Load()
}
