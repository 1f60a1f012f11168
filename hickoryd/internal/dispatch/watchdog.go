package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// watchdog closes a stream that stays silent for longer than its limit.
type watchdog struct {
	timer          *time.Timer
	close          func()
	silenceSeconds *metrics.Histogram
	limit          time.Duration
	expired        atomic.Bool
}

func newWatchdog(closeStream func(), silenceSeconds *metrics.Histogram) *watchdog {
	return &watchdog{close: closeStream, silenceSeconds: silenceSeconds}
}

// start starts the wait for the next token.
func (w *watchdog) start(limit time.Duration) {
	if w.timer == nil {
		w.limit = limit
		w.timer = time.AfterFunc(limit, w.expire)
		return
	}
	w.timer.Reset(limit)
}

// stop ends the wait.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) expire() {
	w.expired.Store(true)
	w.silenceSeconds.Update(w.limit.Seconds())
	w.close()
}
