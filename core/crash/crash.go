// Package crash recognizes requests that crash every backend server that runs
// them, by a fingerprint of what is run.
//
// A fingerprint is a suspect from the first failure of a server that was running a
// request with it. Requests of a suspect run in isolation, apart from other suspects,
// until the suspect is cleared by a success or refused after more failures.
package crash

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// RefuseAfterCrashes is the number of server failures after which a
	// fingerprint is refused.
	RefuseAfterCrashes = 2
	// Retention is the time since the newest crash of a fingerprint after which all
	// its crashes are forgotten.
	Retention = 10 * time.Minute
	// sameFailureWindow is the time within which reports about one server count as
	// reports of the same failure.
	sameFailureWindow = time.Second
	// domainFailureWindow is the time within which the servers of a failure domain
	// fail. The tests in hickorylab end a domain's processes one after the other
	// within some ten milliseconds.
	domainFailureWindow = 250 * time.Millisecond
	// shortRun is twice domainFailureWindow: a request that crashed a server after
	// running for shortRun does not crash the next one within domainFailureWindow.
	shortRun = 2 * domainFailureWindow
)

const (
	// Clear means that the fingerprint is no suspect.
	Clear Decision = iota
	// Isolate means that a server failed with the fingerprint in flight. Requests
	// with the fingerprint may run only on a server that runs no other suspect, so
	// that the next crash shows which suspect is the cause.
	Isolate
	// Refuse means that requests with this fingerprint are no longer run.
	Refuse
)

type (
	// Decision states how requests with a fingerprint are run.
	Decision int

	// Table counts crashes by fingerprint. Its size is bounded: beyond its limit the
	// least recently used fingerprint is evicted. It is not safe for concurrent use.
	Table struct {
		suspects *lru.Cache[uint64, *suspect]
	}

	suspect struct {
		failures []failure
	}

	// failure is one failure of a server with the fingerprint in flight.
	failure struct {
		server string
		at     time.Time
	}
)

// Fingerprint returns the fingerprint of what a service runs: a prompt, for example,
// or the path and body of a request.
func Fingerprint[T string | []byte](service string, parts ...T) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	for _, part := range parts {
		_, _ = digest.Write([]byte{0})
		_, _ = digest.Write([]byte(part))
	}
	return digest.Sum64()
}

// IsolationPeriod returns how long a request must run in isolation until its
// fingerprint is cleared. longestFailedRun is the longest run of the request so far that
// ended with a failure of its server: a request that crashes servers does so again after
// about the same time.
func IsolationPeriod(longestFailedRun time.Duration) time.Duration {
	const margin = 500 * time.Millisecond
	return longestFailedRun + margin
}

// IsSameEvent reports whether a server that ran a request failed in the same event as
// the request's previous server, such as the failure of their failure domain.
// sinceFailure is the time since the previous failure, and longestFailedRun is the
// longest run of the request so far that ended with a failure of its server. If
// longestFailedRun is much longer than sinceFailure, the request did not crash both
// servers: a request that crashes servers does so after about the same time on each.
func IsSameEvent(sinceFailure, longestFailedRun time.Duration) bool {
	return longestFailedRun >= shortRun && sinceFailure < domainFailureWindow
}

// RetryDelay returns how long a suspect waits before it runs again. sinceFailure is the
// time since the request's previous server failed, and longestFailedRun is the longest
// run of the request so far that ended with a failure of its server, or 0 if no server
// has failed. While all these runs are short, the next failure would not distinguish a
// crash from the failure of a failure domain.
func RetryDelay(sinceFailure, longestFailedRun time.Duration) time.Duration {
	if longestFailedRun == 0 || longestFailedRun >= shortRun {
		return 0
	}
	return max(0, domainFailureWindow-sinceFailure)
}

// String returns the name of the decision for logs.
func (d Decision) String() string {
	switch d {
	case Refuse:
		return "refuse"
	case Isolate:
		return "isolate"
	default:
		return "clear"
	}
}

// NewTable returns an empty table of at most limit fingerprints. limit must be above 0.
func NewTable(limit int) *Table {
	suspects, err := lru.New[uint64, *suspect](limit)
	if err != nil {
		panic(err) // only for a limit below 1
	}
	return &Table{suspects: suspects}
}

// Check returns how requests with a fingerprint may run at now.
func (t *Table) Check(now time.Time, fingerprint uint64) Decision {
	s, ok := t.suspects.Get(fingerprint)
	if !ok {
		return Clear
	}
	if now.Sub(s.failures[len(s.failures)-1].at) > Retention {
		t.suspects.Remove(fingerprint)
		return Clear
	}
	if len(s.failures) >= RefuseAfterCrashes {
		return Refuse
	}
	return Isolate
}

// Report counts the failure of a server with the fingerprint in flight. Reports of the
// same failure, by several requests or daemons, count once.
func (t *Table) Report(now time.Time, fingerprint uint64, server string) Decision {
	decision := t.Check(now, fingerprint)
	s, ok := t.suspects.Get(fingerprint)
	if !ok {
		s = &suspect{}
		t.suspects.Add(fingerprint, s)
	}
	if decision == Refuse || s.hasReported(now, server) {
		return decision
	}
	s.failures = append(s.failures, failure{server: server, at: now})
	return t.Check(now, fingerprint)
}

// ReportSuccess clears a suspect after a request with it has run in isolation without
// a crash. A refused fingerprint stays refused.
func (t *Table) ReportSuccess(now time.Time, fingerprint uint64) {
	if t.Check(now, fingerprint) == Isolate {
		t.suspects.Remove(fingerprint)
	}
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int {
	return t.suspects.Len()
}

// hasReported reports whether the failure of a server at now has been counted already.
func (s *suspect) hasReported(now time.Time, server string) bool {
	for _, reported := range s.failures {
		if reported.server == server && now.Sub(reported.at) < sameFailureWindow {
			return true
		}
	}
	return false
}
