// Package health judges backend servers by the results of requests and keeps
// work away from those that fail.
package health

import "time"

const (
	// failureWeight is the weight of the newest result in the failure rate: a
	// server that turns bad is known after about four results.
	failureWeight = 0.2
	// ejectRate is the failure rate above which a server gets no work for a
	// while. Callers' own errors stay well below it.
	ejectRate = 0.55
	// firstEjection doubles with each further one up to lastEjection.
	firstEjection = 1 * time.Second
	lastEjection  = 8 * time.Second
	// forgetPeriod without a failure ends the doubling.
	forgetPeriod = 10 * time.Second
)

// Results of a request at a server.
const (
	// Success is an answer that could be used.
	Success Result = iota
	// Failure is an answer that says that the server failed.
	Failure
	// Broken is an answer that is missing, cut off or not an answer.
	Broken
	// Unreachable is a connection that could not be made.
	Unreachable
)

type (
	// Result is how a request went at a server.
	Result int

	// Table judges the servers of one host. It is not safe for concurrent use.
	Table struct {
		servers map[string]*record
	}

	record struct {
		rate         float64
		ejection     time.Duration
		ejectedUntil time.Time
		lastBad      time.Time
	}
)

// NewTable returns a table in which all servers are good.
func NewTable() *Table {
	return &Table{servers: make(map[string]*record)}
}

// Report takes in one result at now.
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
	if now.Sub(r.lastBad) > forgetPeriod {
		r.ejection = 0
	}
	r.lastBad = now
	r.rate += (1 - r.rate) * weightOf(result)
	if r.rate > ejectRate && !now.Before(r.ejectedUntil) {
		r.ejection = min(max(2*r.ejection, firstEjection), lastEjection)
		r.ejectedUntil = now.Add(r.ejection)
		r.rate = ejectRate // one good result after the ejection brings it back
	}
}

// IsEjected reports whether a server gets no work at now.
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

// Retain forgets all servers but those given.
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
