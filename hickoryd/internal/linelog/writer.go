// Package linelog writes log lines without ever blocking who logs. Lines that
// the reader does not take in time are dropped and counted.
package linelog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// pendingLines bounds the lines that wait for the reader.
	pendingLines = 512
	// lineRate bounds the lines in one period.
	lineRate = 2000
	// ratePeriod is the period of lineRate.
	ratePeriod = time.Second
)

// Writer passes lines to another writer. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	written chan struct{}
}

// New returns a writer to out. Its lines are written until it is closed.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, pendingLines), written: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes what waits, for at most the given time.
func (w *Writer) Close(limit time.Duration) {
	close(w.lines)
	select {
	case <-w.written:
	case <-time.After(limit):
	}
}

func (w *Writer) run() {
	defer close(w.written)
	var started time.Time
	count := 0
	var told int64
	for line := range w.lines {
		if now := time.Now(); now.Sub(started) > ratePeriod {
			started, count = now, 0
		}
		if count++; count > lineRate {
			w.dropped.Add(1)
			continue
		}
		_, _ = w.out.Write(line) // nobody is left to tell
		if dropped := w.dropped.Load(); dropped != told {
			fmt.Fprintf(w.out, `{"level":"warn","message":"log lines dropped","fields":{"total":%d}}`+"\n", dropped)
			told = dropped
		}
	}
}
