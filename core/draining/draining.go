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

// CanFinish reports whether a request that starts at a server at now ends before end, when the
// host ends. deadline is the time at which the request is over in any case.
func CanFinish(now, deadline, end time.Time, isStream bool) bool {
	finish := deadline
	if streamEnd := now.Add(typicalStreamTime); isStream && streamEnd.Before(finish) {
		finish = streamEnd
	}
	return finish.Before(end)
}

// LastAnswers returns when the requests in flight get their answers at a host that ends at end.
func LastAnswers(end time.Time) time.Time {
	return end.Add(-answerTime)
}
