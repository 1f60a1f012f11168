// Package callerretry distinguishes first attempts of callers from retries by the
// time that the caller has left until its timeout. Callers of one route have about
// equal timeouts; how far the timeouts differ is estimated from the requests.
package callerretry

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of requests that the timeout is estimated from: the
	// last half minute of a route with two requests per second.
	windowSize = 64
	// minSamples is the number of recorded requests below which no request counts
	// as a retry.
	minSamples = 8
	// timeoutQuantile is the quantile of the times left that is taken as the
	// timeout. It is not the maximum because single callers have much longer
	// timeouts, and not the median because up to half of the requests are retries.
	timeoutQuantile = 0.9
	// equalShare is the part of the timeout by which the times left of first
	// attempts differ where all callers have the same timeout: the network delay.
	equalShare = 0.01
	// spreadShare is the part of the timeout by which the times left of first
	// attempts differ where timeouts vary, as they do in deployments that have
	// grown: 15 % between callers, and the network delay. Callers that were told to
	// retry later have used up more.
	spreadShare = 0.17
)

// Estimator estimates the timeout of one route's callers. It is not safe for
// concurrent use.
type Estimator struct {
	left []time.Duration // the last windowSize times left, as a ring buffer
	next int
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{}
}

// Observe records the time that a caller has left and returns the time since the
// caller's first attempt, or 0 if this is the first attempt. A caller that states no
// time left is not recorded and counts as a first attempt.
func (e *Estimator) Observe(left time.Duration) time.Duration {
	if left <= 0 {
		return 0 // the caller states no timeout
	}
	e.record(left)
	if len(e.left) < minSamples {
		return 0
	}
	timeout := e.typicalTimeout()
	elapsed := timeout - left
	if elapsed <= e.margin(timeout) {
		return 0
	}
	return elapsed
}

func (e *Estimator) record(left time.Duration) {
	if len(e.left) < windowSize {
		e.left = append(e.left, left)
		return
	}
	e.left[e.next] = left
	e.next = (e.next + 1) % windowSize
}

// typicalTimeout returns the timeoutQuantile of the recorded times left, which must not
// be empty.
func (e *Estimator) typicalTimeout() time.Duration {
	sorted := slices.Sorted(slices.Values(e.left))
	return sorted[int(timeoutQuantile*float64(len(sorted)))]
}

// margin returns the elapsed part of the timeout up to which a request counts as a
// first attempt. The margin is wide if more requests lie in the range of varying
// timeouts than at the timeout itself.
func (e *Estimator) margin(timeout time.Duration) time.Duration {
	equal := time.Duration(equalShare * float64(timeout))
	spread := time.Duration(spreadShare * float64(timeout))
	atTimeout, below := 0, 0
	for _, left := range e.left {
		switch elapsed := timeout - left; {
		case elapsed <= equal:
			atTimeout++
		case elapsed <= spread:
			below++
		}
	}
	if below > atTimeout {
		return spread
	}
	return equal
}
