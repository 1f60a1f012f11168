// Package retrybudget bounds the repeats that a host sends to a service, as its
// share of a budget that all hosts keep together.
package retrybudget

import "time"

const (
	// Window is the time over which repeats are counted against requests.
	Window = 10 * time.Second
	// bucketPeriod is the resolution of the window.
	bucketPeriod = 500 * time.Millisecond
	buckets      = int(Window/bucketPeriod) + 1
	// reserve is the part of the budget that is never spent: arrivals that cross
	// the border of a window, and hosts whose share of the traffic shifts.
	reserve = 0.2
)

type (
	// Limits are the budget that all hosts keep together.
	Limits struct {
		// Ratio is the part of the requests that may be repeated.
		Ratio float64
		// Slack is the number of repeats allowed besides, of all hosts together.
		Slack float64
	}

	// Budget is one host's share for one service. It is not safe for concurrent
	// use.
	Budget struct {
		terms   Limits
		start   time.Time
		counts  [buckets]count
		current int64
	}

	// Usage is what was sent in one window.
	Usage struct {
		Requests int
		Retries  int
		// Allowed is the most repeats that may be sent.
		Allowed float64
	}

	count struct {
		requests int
		repeats  int
	}
)

// New returns a budget that is unspent at start.
func New(start time.Time, terms Limits) *Budget {
	return &Budget{terms: terms, start: start}
}

// RecordRequest counts a caller's request at now.
func (b *Budget) RecordRequest(now time.Time) {
	b.at(now).requests++
}

// Allow spends one repeat at now, where hosts hosts share the budget. It reports
// whether the repeat may be sent.
func (b *Budget) Allow(now time.Time, hosts int) bool {
	if !b.CanRetry(now, hosts) {
		return false
	}
	b.RecordRetry(now)
	return true
}

// CanRetry reports whether a repeat may be sent at now, where hosts hosts share the
// budget.
func (b *Budget) CanRetry(now time.Time, hosts int) bool {
	usage := b.Usage(now, hosts)
	return float64(usage.Retries+1) <= usage.Allowed
}

// Usage returns what was sent in the window that ends at now, where hosts hosts
// share the budget.
func (b *Budget) Usage(now time.Time, hosts int) Usage {
	b.at(now)
	var u Usage
	for _, c := range b.counts {
		u.Requests += c.requests
		u.Retries += c.repeats
	}
	u.Allowed = (1 - reserve) * (b.terms.Ratio*float64(u.Requests) + b.terms.Slack/float64(max(hosts, 1)))
	return u
}

// RecordRetry counts a repeat that was sent at now.
func (b *Budget) RecordRetry(now time.Time) {
	b.at(now).repeats++
}

// at returns the bucket of now and empties those that have left the window.
func (b *Budget) at(now time.Time) *count {
	number := int64(now.Sub(b.start) / bucketPeriod)
	first := max(b.current+1, number-int64(buckets)+1)
	for n := first; n <= number; n++ {
		b.counts[n%int64(buckets)] = count{}
	}
	b.current = max(b.current, number)
	return &b.counts[b.current%int64(buckets)]
}
