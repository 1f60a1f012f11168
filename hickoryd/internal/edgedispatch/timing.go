package edgedispatch

import (
	"time"

	"github.com/apex/log"
)

// streamTiming is how a stream reached the caller.
type streamTiming struct {
	roomAt, promptAt, firstAt, lastAt time.Time
	longestGap                        time.Duration
	events                            int
}

func (t *streamTiming) event(now time.Time) {
	if t.events == 0 {
		t.firstAt = now
	} else {
		t.longestGap = max(t.longestGap, now.Sub(t.lastAt))
	}
	t.lastAt = now
	t.events++
}

// logStream writes how the stream went.
func (g *generation) logStream() {
	since := func(at time.Time) string {
		if at.IsZero() {
			return ""
		}
		return at.Sub(g.order.Arrived).Round(time.Millisecond).String()
	}
	r := g.order.Metadata
	g.logger.WithFields(g.order.fields()).WithFields(log.Fields{
		"promptTokens": r.PromptTokens, "maxOutputTokens": r.MaxOutputTokens, "outputHint": r.OutputHint,
		"servers": g.tried, "runs": g.runs, "prefills": g.prefills, "events": g.timing.events,
		"askedBefore": g.order.Arrived.Sub(g.asked).Round(time.Millisecond).String(),
		"room":        since(g.timing.roomAt), "prompt": since(g.timing.promptAt), "first": since(g.timing.firstAt), "last": since(g.timing.lastAt),
		"longestGap": g.timing.longestGap.Round(time.Millisecond).String(),
	}).Info("stream ended")
}
