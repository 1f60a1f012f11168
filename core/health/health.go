// Package health tracks the failure rates of backend servers from the results of
// requests, and ejects servers that fail: an ejected server gets no work for a while.
package health

import "time"

const (
	// failureWeight is the weight of the newest result in the failure rate. With
	// it, a server that begins to fail is ejected after about four results.
	failureWeight = 0.2
	// ejectRate is the failure rate above which a server is ejected. Errors that
	// callers cause themselves stay well below it.
	ejectRate = 0.55
	// firstEjection is the length of the first ejection. Each further one is twice
	// as long, up to maxEjection.
	firstEjection = 1 * time.Second
	maxEjection   = 8 * time.Second
	// resetPeriod is the time without a failure after which ejections start at
	// firstEjection again.
	resetPeriod = 10 * time.Second
)

// Results of a request at a server.
const (
	// Success is a usable response.
	Success Result = iota
	// Failure is a response that reports a failure of the server.
	Failure
	// Broken is a response that is missing, truncated or malformed.
	Broken
	// Unreachable is a failed connection attempt.
	Unreachable
)

type (
	// Result is the result of a request at a server.
	Result int

	// Table tracks the servers that one host sends requests to. It is not safe for
	// concurrent use.
	Table struct {
		servers map[string]*record
	}

	record struct {
		rate         float64
		ejection     time.Duration
		ejectedUntil time.Time
		lastFailure  time.Time
	}
)

// NewTable returns a table in which no server has failed.
func NewTable() *Table {
	return &Table{servers: make(map[string]*record)}
}

// Report records one result at now and ejects the server if its failure rate is too
// high.
func (t *Table) Report(now time.Time, server string, result Result) {
	r, ok := t.servers[server]
	if !ok {
		r = &record{}
		t.servers[server] = r
	}
	if result == Success {
		r.rate -= r.rate * failureWeight
		return
	}
	if now.Sub(r.lastFailure) > resetPeriod {
		r.ejection = 0
	}
	r.lastFailure = now
	r.rate += (1 - r.rate) * weightOf(result)
	if r.rate > ejectRate && !now.Before(r.ejectedUntil) {
		r.ejection = min(max(2*r.ejection, firstEjection), maxEjection)
		r.ejectedUntil = now.Add(r.ejection)
		r.rate = ejectRate // the next success takes the rate below ejectRate
	}
}

// IsEjected reports whether a server is ejected at now.
func (t *Table) IsEjected(now time.Time, server string) bool {
	r, ok := t.servers[server]
	return ok && now.Before(r.ejectedUntil)
}

// FailureRate returns the failure rate of a server, 0 to 1.
func (t *Table) FailureRate(server string) float64 {
	if r, ok := t.servers[server]; ok {
		return r.rate
	}
	return 0
}

// Forget removes a server, as if it had not failed.
func (t *Table) Forget(server string) {
	delete(t.servers, server)
}

// Retain removes all servers but those that are known.
func (t *Table) Retain(isKnown func(server string) bool) {
	for id := range t.servers {
		if !isKnown(id) {
			delete(t.servers, id)
		}
	}
}

func weightOf(result Result) float64 {
	switch result {
	case Unreachable:
		return 1
	case Broken:
		return 2 * failureWeight
	default:
		return failureWeight
	}
}
