// Package linelog writes log lines without blocking the goroutine that logs. When
// the output is too slow or the rate of lines is too high, lines are dropped and
// counted.
package linelog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLength bounds the lines that wait to be written.
	queueLength = 512
	// maxLinesPerPeriod bounds the lines that are written in one ratePeriod.
	maxLinesPerPeriod = 2000
	// ratePeriod is the period to which maxLinesPerPeriod applies.
	ratePeriod = time.Second
)

// Writer queues lines and writes them to another writer in the background. It is safe
// for concurrent use.
type Writer struct {
	out      io.Writer
	lines    chan []byte
	dropped  atomic.Int64
	stop     chan struct{}
	finished chan struct{}
}

// New returns a writer to out. It writes lines until it is closed.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), stop: make(chan struct{}), finished: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops the line if the queue is full. It never blocks and
// never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the queued lines and waits for the writes for at most limit. Lines that
// are logged later may be lost.
func (w *Writer) Close(limit time.Duration) {
	close(w.stop)
	select {
	case <-w.finished:
	case <-time.After(limit):
	}
}

func (w *Writer) run() {
	defer close(w.finished)
	counter := rateCounter{}
	for {
		select {
		case line := <-w.lines:
			w.write(line, &counter)
			continue
		default:
		}
		select {
		case line := <-w.lines:
			w.write(line, &counter)
		case <-w.stop:
			if len(w.lines) == 0 {
				return
			}
		}
	}
}

// rateCounter counts the lines of the current period.
type rateCounter struct {
	started time.Time
	count   int
	// reported is the number of dropped lines that was logged last.
	reported int64
}

// write writes one line, or drops the line if maxLinesPerPeriod is reached. It logs the
// number of dropped lines when that has changed.
func (w *Writer) write(line []byte, counter *rateCounter) {
	if now := time.Now(); now.Sub(counter.started) > ratePeriod {
		counter.started, counter.count = now, 0
	}
	if counter.count++; counter.count > maxLinesPerPeriod {
		w.dropped.Add(1)
		return
	}
	_, _ = w.out.Write(line) // a failed write can't be logged anywhere
	if dropped := w.dropped.Load(); dropped != counter.reported {
		fmt.Fprintf(w.out, `{"level":"warn","message":"log lines dropped","fields":{"total":%d}}`+"\n", dropped)
		counter.reported = dropped
	}
}
