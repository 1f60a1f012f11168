// Package capacitywait decides how a request waits for memory at the decode servers:
// how often it looks, how much room it leaves to others, and when it is refused.
package capacitywait

import "time"

const (
	// timelyShare is the part of the target latency until which a request that
	// finds room can be on time: the rest reads and moves its prompt.
	timelyShare = 0.75
	// timelyPause is the time between two searches of a timely request.
	timelyPause = 40 * time.Millisecond
	// latePause is the time between two searches of a late request.
	latePause = 150 * time.Millisecond
	// lateHeadroom is what a late request leaves free where it takes room: what a
	// usual one needs that can still be on time.
	lateHeadroom = 1.0
	// lateTargets is how long a late request waits, in target latencies: callers
	// leave a stream that has not begun after four.
	lateTargets = 2.5
	// shortestReturn and longestReturn bound how long a refused caller stays away:
	// bursts last a few seconds, and callers come back within a third of the time
	// that they have left.
	shortestReturn = 2 * time.Second
	longestReturn  = 4500 * time.Millisecond
	// longestReturnShare is the part of the time left that callers stay away at
	// most.
	longestReturnShare = 0.32
)

type (
	// Request is what the caller of a request was promised.
	Request struct {
		// FirstArrived is when the caller asked for the first time, Arrived when this
		// attempt came.
		FirstArrived time.Time
		Arrived      time.Time
		Deadline     time.Time
		// LatencyTarget is the time in which the first event is due.
		LatencyTarget time.Duration
		// IsStreaming is set where the caller has a part of the answer.
		IsStreaming bool
		// Jitter, 0 to 1, keeps refused callers from coming back together.
		Jitter float64
	}

	// Decision says how a request goes on waiting.
	Decision struct {
		Pause time.Duration
		// Headroom is the memory that has to stay free at a server where this
		// request takes room, in usual requests.
		Headroom float64
		// IsRefused is set where the request is refused, and RetryAfter tells when
		// the caller should come back, unless it is zero.
		IsRefused  bool
		RetryAfter time.Duration
	}
)

// Decide returns how a request that has found no room waits at now.
func Decide(now time.Time, p Request) Decision {
	isReturned := p.FirstArrived.Before(p.Arrived)
	switch {
	case p.IsStreaming && now.Before(p.Deadline):
		return Decision{Pause: timelyPause}
	case now.Before(p.FirstArrived.Add(time.Duration(timelyShare * float64(p.LatencyTarget)))):
		return Decision{Pause: timelyPause}
	case isReturned && now.Before(lateUntil(p)):
		return Decision{Pause: latePause, Headroom: headroomAt(now, p)}
	case isReturned:
		return Decision{IsRefused: true}
	default:
		return Decision{IsRefused: true, RetryAfter: returnAfter(now, p)}
	}
}

// headroomAt returns what a late request leaves free at now. Its last search
// leaves nothing: one that needs most of a server's memory would find no room
// otherwise.
func headroomAt(now time.Time, p Request) float64 {
	if now.Add(latePause).After(lateUntil(p)) {
		return 0
	}
	return lateHeadroom
}

// lateUntil returns until when a late request waits.
func lateUntil(p Request) time.Time {
	return p.Arrived.Add(time.Duration(lateTargets * float64(p.LatencyTarget)))
}

// returnAfter returns how long a refused caller stays away.
func returnAfter(now time.Time, p Request) time.Duration {
	after := shortestReturn + time.Duration(p.Jitter*float64(longestReturn-shortestReturn))
	most := time.Duration(longestReturnShare * float64(p.Deadline.Sub(now)))
	return max(min(after, most), 0)
}
