package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// watchdog closes a stream that stays silent for longer than its limit.
type watchdog struct {
	timer    *time.Timer
	close    func()
	silences *metrics.Histogram
	limit    time.Duration
}

func newWatchdog(closeStream func(), silences *metrics.Histogram) *watchdog {
	return &watchdog{close: closeStream, silences: silences}
}

// start begins to wait for a sign of life.
func (w *watchdog) start(limit time.Duration) {
	if w.timer == nil {
		w.limit = limit
		w.timer = time.AfterFunc(limit, w.bark)
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

func (w *watchdog) bark() {
	w.silences.Update(w.limit.Seconds())
	w.close()
}
