// Package crash recognizes requests that crash every backend server that runs
// them, by a fingerprint of what is run.
//
// A fingerprint is a suspect from the first failure of a server that was running a
// request with it. Requests of a suspect run in isolation, apart from other suspects,
// until the suspect is cleared by a success or refused after more failures.
package crash

import (
	"errors"
	"slices"
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
	// commonCauseWindow is the time within which failures with a common cause are noticed:
	// those of one server by several requests or hosts, and those of servers that are lost
	// together with their failure domain. Hosts notice a failure within some milliseconds if
	// they are not busy. Failures that are noticed further apart count as several.
	commonCauseWindow = time.Second
	// maxSkew is the largest difference between the clocks of two hosts.
	maxSkew = 5 * time.Second
	// shortRun is twice commonCauseWindow: a request that crashed a server after
	// running for shortRun does not crash the next one within commonCauseWindow.
	shortRun = 2 * commonCauseWindow
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
		// completions holds when a request with a fingerprint last completed.
		completions *lru.Cache[uint64, time.Time]
	}

	// Failure is one failure of a server with a fingerprint in flight.
	Failure struct {
		Server string
		// Started is when the server's incarnation started, or zero if that is not known.
		Started time.Time
		// Domain is the server's failure domain, or empty if that is not known.
		Domain string
		At     time.Time
	}

	suspect struct {
		failures []Failure // in the order of time
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

// RetryDelay returns how long a suspect waits before it runs again on a server of the
// failure domain of its previous one. sinceFailure is the time since that server failed, and
// longestFailedRun is the longest run of the request so far that ended with a failure of its
// server, or 0 if no server has failed. While all these runs are short, the next failure
// would not distinguish a crash from the failure of the domain.
func RetryDelay(sinceFailure, longestFailedRun time.Duration) time.Duration {
	if longestFailedRun == 0 || longestFailedRun >= shortRun {
		return 0
	}
	return max(0, commonCauseWindow-sinceFailure)
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
	completions, completionsErr := lru.New[uint64, time.Time](limit)
	if err := errors.Join(err, completionsErr); err != nil {
		panic(err) // only for a limit below 1
	}
	return &Table{suspects: suspects, completions: completions}
}

// Check returns how requests with a fingerprint may run at now.
func (t *Table) Check(now time.Time, fingerprint uint64) Decision {
	s, ok := t.suspects.Get(fingerprint)
	if !ok {
		return Clear
	}
	if now.Sub(s.failures[len(s.failures)-1].At) > Retention {
		t.suspects.Remove(fingerprint)
		return Clear
	}
	if len(s.failures) >= RefuseAfterCrashes {
		return Refuse
	}
	return Isolate
}

// Report counts the failure of a server with the fingerprint in flight. domain is the
// server's failure domain, or empty if that is not known. Within commonCauseWindow, the
// failures of a server or of a domain count once: several requests or daemons may report a
// failure, and a request may have waited at several servers of a domain that was lost.
func (t *Table) Report(now time.Time, fingerprint uint64, server, domain string) Decision {
	return t.Record(now, fingerprint, Failure{Server: server, Domain: domain, At: now})
}

// Record is Report for a failure that has just happened.
func (t *Table) Record(now time.Time, fingerprint uint64, f Failure) Decision {
	return t.count(now, fingerprint, f, 0)
}

// Merge counts a failure that another process has recorded by its own clock, which may differ
// from this one's by maxSkew. One of a server's incarnation still counts once.
func (t *Table) Merge(now time.Time, fingerprint uint64, f Failure) Decision {
	if now.Sub(f.At) > Retention {
		return t.Check(now, fingerprint)
	}
	if f.At.After(now) {
		f.At = now
	}
	return t.count(now, fingerprint, f, maxSkew)
}

// Refuse refuses a fingerprint as another process has done at the given time.
func (t *Table) Refuse(at time.Time, fingerprint uint64) {
	t.Check(at, fingerprint) // forgets old failures
	s := t.suspectOf(fingerprint)
	for len(s.failures) < RefuseAfterCrashes {
		s.add(Failure{At: at})
	}
}

// Failures returns the failures that count against a fingerprint at now, in the order of time.
func (t *Table) Failures(now time.Time, fingerprint uint64) []Failure {
	if t.Check(now, fingerprint) == Clear {
		return nil
	}
	s, _ := t.suspects.Get(fingerprint)
	return slices.Clone(s.failures)
}

// ReportSuccess clears a suspect after a request with it has run in isolation without
// a crash. A refused fingerprint stays refused.
func (t *Table) ReportSuccess(now time.Time, fingerprint uint64) {
	if t.Check(now, fingerprint) == Isolate {
		t.suspects.Remove(fingerprint)
	}
}

// RecordCompletion records that a server has completed a request with a fingerprint: failures
// before that had another cause. Many callers may send requests that are alike. It doesn't lift a
// refusal, as the request may have been sent before.
func (t *Table) RecordCompletion(now time.Time, fingerprint uint64) {
	t.completions.Add(fingerprint, now)
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int {
	return t.suspects.Len()
}

// count counts a failure unless it is counted already.
func (t *Table) count(now time.Time, fingerprint uint64, f Failure, skew time.Duration) Decision {
	decision := t.Check(now, fingerprint)
	completedAt, _ := t.completions.Get(fingerprint)
	if decision == Refuse || f.At.Before(completedAt) {
		return decision
	}
	s := t.suspectOf(fingerprint)
	s.failures = slices.DeleteFunc(s.failures, func(counted Failure) bool { return counted.At.Before(completedAt) })
	isCounted := slices.ContainsFunc(s.failures, func(counted Failure) bool { return f.isSame(counted, skew) })
	if !isCounted {
		s.add(f)
	}
	return t.Check(now, fingerprint)
}

func (t *Table) suspectOf(fingerprint uint64) *suspect {
	s, ok := t.suspects.Get(fingerprint)
	if !ok {
		s = &suspect{}
		t.suspects.Add(fingerprint, s)
	}
	return s
}

func (s *suspect) add(f Failure) {
	s.failures = append(s.failures, f)
	slices.SortStableFunc(s.failures, func(a, b Failure) int { return a.At.Compare(b.At) })
}

// isSame reports whether two failures count once, by clocks that may differ by skew.
func (f Failure) isSame(other Failure, skew time.Duration) bool {
	apart := f.At.Sub(other.At).Abs()
	hasRestarted := !f.Started.IsZero() && !other.Started.IsZero() && !f.Started.Equal(other.Started)
	if f.Server == other.Server && !hasRestarted {
		return apart < commonCauseWindow+skew
	}
	return (f.Server == other.Server || f.Domain == other.Domain) && apart < commonCauseWindow
}
