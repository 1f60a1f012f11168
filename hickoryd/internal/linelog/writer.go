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
	stop    chan struct{}
	written chan struct{}
}

// New returns a writer to out. Its lines are written until it is closed.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, pendingLines), stop: make(chan struct{}), written: make(chan struct{})}
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

// Close writes what waits, for at most the given time. Later lines may be lost.
func (w *Writer) Close(limit time.Duration) {
	close(w.stop)
	select {
	case <-w.written:
	case <-time.After(limit):
	}
}

func (w *Writer) run() {
	defer close(w.written)
	rate := rateLimit{}
	for {
		select {
		case line := <-w.lines:
			w.write(line, &rate)
			continue
		default:
		}
		select {
		case line := <-w.lines:
			w.write(line, &rate)
		case <-w.stop:
			if len(w.lines) == 0 {
				return
			}
		}
	}
}

// rateLimit counts the lines of a period.
type rateLimit struct {
	started time.Time
	count   int
	// told is the number of dropped lines that was written last.
	told int64
}

func (w *Writer) write(line []byte, rate *rateLimit) {
	if now := time.Now(); now.Sub(rate.started) > ratePeriod {
		rate.started, rate.count = now, 0
	}
	if rate.count++; rate.count > lineRate {
		w.dropped.Add(1)
		return
	}
	_, _ = w.out.Write(line) // nobody is left to tell
	if dropped := w.dropped.Load(); dropped != rate.told {
		fmt.Fprintf(w.out, `{"level":"warn","message":"log lines dropped","fields":{"total":%d}}`+"\n", dropped)
		rate.told = dropped
	}
}
