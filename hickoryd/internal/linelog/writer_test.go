package linelog_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/linelog"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func TestLinesAreWritten(t *testing.T) {
	out := &lockedBuffer{}
	w := linelog.New(out)
	for range 3 {
		_, _ = io.WriteString(w, "a line\n")
	}
	w.Close(time.Minute)
	if got := out.String(); got != strings.Repeat("a line\n", 3) {
		t.Errorf("wrote %q", got)
	}
	_, _ = io.WriteString(w, "too late\n") // must not panic
}

// If the reader of the log stops reading, writes to the pipe block. Logging must then
// drop lines and not block.
func TestStuckReaderDropsLines(t *testing.T) {
	reader, stuck := io.Pipe()
	defer reader.Close()
	w := linelog.New(stuck)
	const lines = 10000
	for range lines {
		_, _ = io.WriteString(w, "a line\n")
	}
	if w.Dropped() < lines-1000 {
		t.Errorf("%d of %d lines were dropped", w.Dropped(), lines)
	}
}

func BenchmarkStuckReader(b *testing.B) {
	reader, stuck := io.Pipe()
	defer reader.Close()
	w := linelog.New(stuck)
	line := []byte(strings.Repeat("x", 300) + "\n")
	for b.Loop() {
		_, _ = w.Write(line)
	}
}

// BenchmarkStreamLine writes the longest typical line, with the fields of 'stream
// ended', through the logging library.
func BenchmarkStreamLine(b *testing.B) {
	w := linelog.New(io.Discard)
	defer w.Close(time.Minute)
	var logger log.Interface = &log.Logger{Handler: json.New(w), Level: log.InfoLevel}
	logger = logger.WithField("host", "host-1")
	for b.Loop() {
		logger.WithFields(log.Fields{
			"request": "7156336abf8b1cc6", "route": "r-xu6h7bp", "configVersion": 12, "age": "3.4s",
			"promptTokens": 3646, "maxOutputTokens": 2080, "outputHint": 1109, "servers": []string{"i-8b33f8ed99"}, "runs": 1, "prefills": 1,
			"events": 59, "askedBefore": "0s", "room": "5ms", "prompt": "140ms", "first": "156ms", "last": "3.4s", "longestGap": "67ms",
		}).Info("stream ended")
	}
}
