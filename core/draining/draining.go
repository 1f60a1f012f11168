// Package draining decides what a host that stops still does for the requests that it has: which
// ones it lets start at a server, and when the others get their answers. The command hickoryd
// edge uses it.
package draining

import "time"

const (
	// typicalStreamTime is the time in which nearly all streams end: 160 events of 13
	// tokens, at a few milliseconds a token.
	typicalStreamTime = 5 * time.Second
	// answerTime is the time that the last answers have to reach their callers before the
	// connections are closed.
	answerTime = 250 * time.Millisecond
)

// RetryAfter is the time after which a refused caller should retry. It is short, since the retry
// goes to another host.
const RetryAfter = 20 * time.Millisecond

// Stop is the planned end of a host.
type Stop struct {
	// OutOfRotation is when the load balancer sends the host no new connections any more.
	OutOfRotation time.Time
	// End is when the host ends.
	End time.Time
}

// CanFinish reports whether a request that arrived at arrived and starts at a server at now ends
// before the host does. deadline is the time at which the request is over in any case. Most
// streams end sooner, but one that arrives when its caller would reach another host at once isn't
// put at risk.
func (s Stop) CanFinish(now, arrived, deadline time.Time, isStream bool) bool {
	finish := deadline
	if typicalEnd := now.Add(typicalStreamTime); isStream && arrived.Before(s.OutOfRotation) && typicalEnd.Before(finish) {
		finish = typicalEnd
	}
	return finish.Before(s.End)
}

// LastAnswers returns when the requests that are still in flight get their answers.
func (s Stop) LastAnswers() time.Time {
	return s.End.Add(-answerTime)
}
