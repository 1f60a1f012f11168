package capacitywait

import "time"

const (
	// urgentWaitTargets is how long the first attempt of the most urgent kind waits, in target
	// latencies; the least urgent kind waits for onTimeShare. The kinds with shorter targets
	// would otherwise have less time to find memory than less urgent ones.
	urgentWaitTargets = 1.25
	// urgentRetryTargets and leastRetryTargets are the same for retries.
	urgentRetryTargets = 2.0
	leastRetryTargets  = 1.0
	// yieldPause is the time between two searches of the least urgent kind while memory is
	// scarce.
	yieldPause = 200 * time.Millisecond
	// exemptShare is the part of the less urgent attempts that yield to none, so that the least
	// urgent kind is still served at least a quarter as often as all.
	exemptShare = 0.25
)

// decideRanked is Decide for a request of a service whose requests have different priorities.
func decideRanked(now time.Time, r Request) Decision {
	if r.IsStreaming && now.Before(r.Deadline) {
		return Decision{Pause: onTimePause}
	}
	until := rankedUntil(r)
	if !now.Before(until) {
		if r.isRetry() {
			return Decision{IsRefused: true}
		}
		return Decision{IsRefused: true, RetryAfter: rankedRetryAfter(now, r)}
	}
	decision := Decision{Pause: onTimePause}
	if !r.IsScarce {
		return decision
	}
	if r.Rank > 0 && r.Lot >= 1-r.Rank*(1-exemptShare) {
		decision.Pause, decision.IsYielding = between(onTimePause, yieldPause, r.Rank), true
	}
	if !r.isOnTime(now) {
		decision.Pause, decision.Headroom = max(decision.Pause, latePause), lateHeadroom
	}
	if now.Add(decision.Pause).After(until) { // the last search
		decision.Headroom = 0
	}
	return decision
}

// rankedUntil returns the time until which a ranked request waits.
func rankedUntil(r Request) time.Time {
	urgent, least := urgentWaitTargets, onTimeShare
	if r.isRetry() {
		urgent, least = urgentRetryTargets, leastRetryTargets
	}
	return r.Arrived.Add(time.Duration((urgent + r.Rank*(least-urgent)) * float64(r.LatencyTarget)))
}

// rankedRetryAfter returns the delay after which a refused caller should retry: a quarter to a half
// of the longest delay for the most urgent kind, three quarters to all of it for the least urgent.
func rankedRetryAfter(now time.Time, r Request) time.Duration {
	longest := min(maxRetryAfter, time.Duration(maxRetryAfterShare*float64(r.Deadline.Sub(now))))
	return max(time.Duration((0.25+0.5*r.Rank+0.25*r.Jitter)*float64(longest)), 0)
}

// between returns the duration at a share of the way from one to the other.
func between(from, to time.Duration, share float64) time.Duration {
	return from + time.Duration(share*float64(to-from))
}
