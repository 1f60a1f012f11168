// Package capacitywait decides how a request waits for memory at the decode servers:
// how often it searches for a server, how much memory it leaves free for other
// requests, and when it is refused.
//
// A request is on time while it can still meet its target latency, and late after
// that. Late requests yield to those that are on time: a late first attempt is refused
// and told when to retry, and a late retry searches less often and leaves memory free.
//
// Where the requests of a service have different priorities, Contention observes the service and
// Line orders the requests that wait on this host.
//
// The command hickoryd edge uses this package, for the decode servers of the users'
// platform. In hickoryd serve, core/admission decides which requests wait, and
// core/slot holds the memory of the decode servers.
package capacitywait

import "time"

const (
	// onTimeShare is the part of the target latency within which a request must
	// find memory to be on time. The rest is for the prefill and the transfer of the
	// prompt's KV cache.
	onTimeShare = 0.75
	// onTimePause is the time between two searches of a request that is on time.
	onTimePause = 40 * time.Millisecond
	// latePause is the time between two searches of a late retry.
	latePause = 150 * time.Millisecond
	// lateHeadroom is the memory that a late retry leaves free at its server, in
	// typical requests: enough for one that can still be on time.
	lateHeadroom = 1.0
	// lateWaitTargets is how long after its arrival a late retry waits, in target
	// latencies. Callers abandon a stream that has not begun after about four.
	lateWaitTargets = 2.5
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller
	// is told to retry: bursts last a few seconds, and callers retry within a third
	// of the time that they have left.
	minRetryAfter = 2 * time.Second
	maxRetryAfter = 4500 * time.Millisecond
	// maxRetryAfterShare bounds the delay as a part of the time that the caller
	// has left.
	maxRetryAfterShare = 0.32
)

type (
	// Request holds the times and limits of a waiting request.
	Request struct {
		// FirstArrived is when the caller's first attempt arrived, Arrived when this
		// attempt did. They are equal for a first attempt.
		FirstArrived time.Time
		Arrived      time.Time
		Deadline     time.Time
		// LatencyTarget is the time within which the first event of the stream is
		// due.
		LatencyTarget time.Duration
		// IsStreaming is set if the caller has received a part of the response.
		IsStreaming bool
		// Jitter, 0 to 1, keeps refused callers from retrying at the same time.
		Jitter float64
		// IsRanked is set if the requests of the service have different priorities. Rank is
		// then 0 for the most urgent of them to 1 for the least urgent.
		IsRanked bool
		Rank     float64
		// IsScarce is set while the service's memory is scarce.
		IsScarce bool
		// Lot, 0 to 1, is drawn for each attempt. It decides whether a ranked request yields.
		Lot float64
	}

	// Decision states how a request searches for a server and waits, or that it is
	// refused.
	Decision struct {
		// Pause is the time until the next search, if this one finds no server.
		Pause time.Duration
		// Headroom is the memory that must stay free at the server that takes this
		// request, in typical requests.
		Headroom float64
		// IsYielding is set if the request also leaves what Contention.Yield returns, for more
		// urgent ones.
		IsYielding bool
		// IsRefused is set if the request is refused. RetryAfter is then the delay
		// after which the caller should retry; 0 sets no delay.
		IsRefused  bool
		RetryAfter time.Duration
	}
)

// Decide returns how a request without a server searches for one at now, and how long
// it waits if the search finds none:
//
//   - A stream that has begun searches as if it were on time until its deadline.
//   - A request that is on time searches often and leaves no headroom.
//   - A late retry searches less often and leaves headroom, except in its last search.
//     At lateUntil it is refused without a delay after which to retry.
//   - A late first attempt is refused at once, with a delay after which to retry.
//
// Of a ranked service, the more urgent a request, the longer its first attempt waits, and a less
// urgent one leaves headroom and searches less often while memory is scarce, except in its last
// search and for a part of the attempts. Its retries wait as long as others and yield by rank only.
func Decide(now time.Time, r Request) Decision {
	if r.IsRanked {
		return decideRanked(now, r)
	}
	isRetry := r.isRetry()
	switch {
	case r.IsStreaming && now.Before(r.Deadline):
		return Decision{Pause: onTimePause}
	case r.isOnTime(now):
		return Decision{Pause: onTimePause}
	case isRetry && now.Before(lateUntil(r)):
		return Decision{Pause: latePause, Headroom: headroomAt(now, r)}
	case isRetry:
		return Decision{IsRefused: true}
	default:
		return Decision{IsRefused: true, RetryAfter: retryAfter(now, r)}
	}
}

// isOnTime reports whether a request can still meet its target latency.
func (r Request) isOnTime(now time.Time) bool {
	return now.Before(r.FirstArrived.Add(time.Duration(onTimeShare * float64(r.LatencyTarget))))
}

func (r Request) isRetry() bool {
	return r.FirstArrived.Before(r.Arrived)
}

// headroomAt returns the memory that a late retry leaves free at now. In its last
// search it leaves none: a request that needs most of a server's memory would find
// no server otherwise.
func headroomAt(now time.Time, r Request) float64 {
	if now.Add(latePause).After(lateUntil(r)) {
		return 0
	}
	return lateHeadroom
}

// lateUntil returns the time until which a late retry waits.
func lateUntil(r Request) time.Time {
	return r.Arrived.Add(time.Duration(lateWaitTargets * float64(r.LatencyTarget)))
}

// retryAfter returns the delay after which a refused caller should retry.
func retryAfter(now time.Time, r Request) time.Duration {
	after := minRetryAfter + time.Duration(r.Jitter*float64(maxRetryAfter-minRetryAfter))
	limit := time.Duration(maxRetryAfterShare * float64(r.Deadline.Sub(now)))
	return max(min(after, limit), 0)
}
