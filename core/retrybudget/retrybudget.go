// Package retrybudget bounds the retries that a host sends to a service, to the host's
// share of a budget that all hosts keep to together. The command hickoryd edge uses it,
// for the backend servers of the users' platform. In hickoryd serve, core/retry limits
// the retries.
//
// Hosts exchange nothing about their retries. Each takes a retry from its share before it
// sends anything that may count as one, and returns it if it turns out not to count. The
// shares add up to at most the budget as long as no host assumes too few hosts.
package retrybudget

import "time"

const (
	// Window is the time over which retries are counted against requests.
	Window = 10 * time.Second
	// bucketPeriod is the resolution of the window.
	bucketPeriod = 500 * time.Millisecond
	buckets      = int(Window/bucketPeriod) + 1
	// reserve is the part of the budget that no host uses. It is the share of the hosts
	// that have joined since the others last read the host list: up to a quarter of the
	// hosts before.
	reserve = 0.2
	// hostRetention is how long a number of hosts counts after the host list has become
	// shorter. In an outage the registration of a running host may lapse.
	hostRetention = 2 * time.Minute
)

type (
	// Limits bound the retries that all hosts together send to one service in a
	// window.
	Limits struct {
		// Ratio is the number of retries allowed per request.
		Ratio float64
		// Slack is the number of retries allowed in addition.
		Slack float64
	}

	// Budget is one host's share of the retry budget of one service. It is not safe
	// for concurrent use.
	Budget struct {
		limits  Limits
		start   time.Time
		counts  [buckets]count
		current int64
	}

	// Hosts is the number of hosts that share a budget, as far as this host has seen them.
	// The zero value has seen none. It is not safe for concurrent use.
	Hosts struct {
		// counts are numbers of hosts that were seen, from the highest to the newest.
		counts []hostCount
	}

	hostCount struct {
		number int
		seenAt time.Time
	}

	// Usage is the use of a budget in one window.
	Usage struct {
		Requests int
		Retries  int
		// Allowed is the number of retries that may be sent in the window.
		Allowed float64
	}

	count struct {
		requests int
		retries  int
	}
)

// New returns an unused budget that starts at start.
func New(start time.Time, limits Limits) *Budget {
	return &Budget{limits: limits, start: start}
}

// Observe records at now that the host list has the given number of hosts, or 0 if it was
// never read.
func (h *Hosts) Observe(now time.Time, number int) {
	for len(h.counts) > 0 && h.counts[len(h.counts)-1].number <= number {
		h.counts = h.counts[:len(h.counts)-1]
	}
	h.counts = append(h.counts, hostCount{number, now})
	for len(h.counts) > 1 && now.Sub(h.counts[0].seenAt) > hostRetention {
		h.counts = h.counts[1:]
	}
}

// Max returns the highest number of hosts observed lately, or 0 if none was.
func (h *Hosts) Max() int {
	if len(h.counts) == 0 {
		return 0
	}
	return h.counts[0].number
}

// RecordRequest counts a request of a caller at now.
func (b *Budget) RecordRequest(now time.Time) {
	b.bucketAt(now).requests++
}

// Allow reports whether a retry may be sent at now, and counts the retry if so. hosts
// is the number of hosts that share the budget, or 0 if that is not known.
func (b *Budget) Allow(now time.Time, hosts int) bool {
	if !b.CanRetry(now, hosts) {
		return false
	}
	b.RecordRetry(now)
	return true
}

// CanRetry reports whether a retry may be sent at now, and does not count it. hosts is
// the number of hosts that share the budget, or 0 if that is not known.
func (b *Budget) CanRetry(now time.Time, hosts int) bool {
	usage := b.Usage(now, hosts)
	return float64(usage.Retries+1) <= usage.Allowed
}

// Usage returns the use of the budget in the window that ends at now. hosts is the
// number of hosts that share the budget. While that is 0, since it is not known, the host
// has no share of the slack.
func (b *Budget) Usage(now time.Time, hosts int) Usage {
	b.bucketAt(now)
	var u Usage
	for _, c := range b.counts {
		u.Requests += c.requests
		u.Retries += c.retries
	}
	u.Allowed = (1 - reserve) * b.limits.Ratio * float64(u.Requests)
	if hosts > 0 {
		u.Allowed += (1 - reserve) * b.limits.Slack / float64(hosts)
	}
	return u
}

// RecordRetry counts a retry that was sent at now without a check.
func (b *Budget) RecordRetry(now time.Time) {
	b.bucketAt(now).retries++
}

// ReturnRetry takes back a retry that was counted at counted and never reached a server.
func (b *Budget) ReturnRetry(counted time.Time) {
	number := int64(counted.Sub(b.start) / bucketPeriod)
	if number >= 0 && number <= b.current && number > b.current-int64(buckets) {
		b.counts[number%int64(buckets)].retries--
	}
}

// bucketAt returns the bucket of now and empties the buckets that have left the window.
func (b *Budget) bucketAt(now time.Time) *count {
	number := int64(now.Sub(b.start) / bucketPeriod)
	first := max(b.current+1, number-int64(buckets)+1)
	for n := first; n <= number; n++ {
		b.counts[n%int64(buckets)] = count{}
	}
	b.current = max(b.current, number)
	return &b.counts[b.current%int64(buckets)]
}
