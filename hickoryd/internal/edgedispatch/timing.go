package edgedispatch

import (
	"time"

	"github.com/apex/log"
)

// streamTiming records when a stream had its reservation and its prefill, and when
// its events were sent to the caller.
type streamTiming struct {
	reservedAt, prefilledAt, firstAt, lastAt time.Time
	longestGap                               time.Duration
	events                                   int
}

// recordEvent records an event that is sent to the caller at now.
func (t *streamTiming) recordEvent(now time.Time) {
	if t.events == 0 {
		t.firstAt = now
	} else {
		t.longestGap = max(t.longestGap, now.Sub(t.lastAt))
	}
	t.lastAt = now
	t.events++
}

// logStream logs the timing and the attempts of a stream that has ended.
func (g *generation) logStream() {
	since := func(at time.Time) string {
		if at.IsZero() {
			return ""
		}
		return at.Sub(g.request.Arrived).Round(time.Millisecond).String()
	}
	r := g.request.Metadata
	if len(g.sentVersions) > 1 {
		g.counters.mixed.Inc()
	}
	g.logger.WithFields(g.request.logFields()).WithFields(log.Fields{
		"promptTokens": r.PromptTokens, "maxOutputTokens": r.MaxOutputTokens, "outputHint": r.OutputHint,
		"resumes": r.ResumesID, "resumesAfter": r.LastEventID, "phase": g.phase, "version": g.softwareVersion, "softwareVersions": g.sentVersions,
		"servers": g.tried, "runs": g.history.Runs(), "silences": g.silences, "prefills": g.prefills, "events": g.timing.events,
		"askedBefore": g.request.Arrived.Sub(g.firstAttempt).Round(time.Millisecond).String(),
		"room":        since(g.timing.reservedAt), "prompt": since(g.timing.prefilledAt), "first": since(g.timing.firstAt), "last": since(g.timing.lastAt),
		"longestGap": g.timing.longestGap.Round(time.Millisecond).String(),
	}).Info("stream ended")
}
