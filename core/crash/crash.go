// Package crash recognises requests that crash every backend server that runs
// them, by a fingerprint of what is run.
package crash

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// RefuseAfterCrashes is the number of servers that one fingerprint may cost.
	RefuseAfterCrashes = 2
	// Retention is the time after which a crash no longer counts.
	Retention = 10 * time.Minute
	// sameLoss is the time in which reports about one server are taken for
	// reports of the same loss.
	sameLoss = time.Second
	// domainLoss is the time within which the servers of a failure domain die: the
	// lab's tests end processes one after the other within some ten ms.
	domainLoss = 250 * time.Millisecond
	// shortRun is twice that: a request that crashed a server after so long does not
	// crash the next within domainLoss.
	shortRun = 2 * domainLoss
)

const (
	// Clear means that nothing is known against the fingerprint.
	Clear Decision = iota
	// Isolate means that a server was lost with the fingerprint in flight. It
	// may run only where no other such request runs, so that the next crash
	// tells which one it was.
	Isolate
	// Refuse means that requests of this fingerprint are not run any more.
	Refuse
)

type (
	// Decision says how requests of a fingerprint are run.
	Decision int

	// Table counts crashes by fingerprint. It is bounded: beyond its limit the
	// fingerprint that was longest not asked for is forgotten. It is not safe
	// for concurrent use.
	Table struct {
		suspects *lru.Cache[uint64, *suspect]
	}

	suspect struct {
		losses []loss
	}

	// loss is one server lost with the fingerprint in flight.
	loss struct {
		server string
		at     time.Time
	}
)

// Fingerprint returns the fingerprint of what a service runs, such as a prompt, or
// the path and body of a request.
func Fingerprint[T string | []byte](service string, parts ...T) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	for _, part := range parts {
		_, _ = digest.Write([]byte{0})
		_, _ = digest.Write([]byte(part))
	}
	return digest.Sum64()
}

// IsolationPeriod returns how long a suspect must run in isolation until it counts as
// innocent, when its server was lost after the given time of running. A request
// that crashes servers does so again at about the same time.
func IsolationPeriod(lostAfter time.Duration) time.Duration {
	const margin = 500 * time.Millisecond
	return lostAfter + margin
}

// IsSameEvent reports whether a server was lost together with the one before,
// as those of one failure domain are: soon after it, while there the request had
// run for much longer. A request that crashes servers does so at about the same
// time.
func IsSameEvent(sinceLoss, lostAfter time.Duration) bool {
	return lostAfter >= shortRun && sinceLoss < domainLoss
}

// RetryDelay returns how long a suspect waits before it runs again. After a short run
// its next loss would not tell a crash from the end of a failure domain.
func RetryDelay(sinceLoss, lostAfter time.Duration) time.Duration {
	if lostAfter == 0 || lostAfter >= shortRun {
		return 0
	}
	return max(0, domainLoss-sinceLoss)
}

// String names the verdict in logs.
func (v Decision) String() string {
	switch v {
	case Refuse:
		return "refuse"
	case Isolate:
		return "isolate"
	default:
		return "clear"
	}
}

// NewTable returns an empty table of at most limit fingerprints, which must be
// above 0.
func NewTable(limit int) *Table {
	suspects, err := lru.New[uint64, *suspect](limit)
	if err != nil {
		panic(err) // only for a limit below 1
	}
	return &Table{suspects: suspects}
}

// Check returns how a fingerprint may run at now.
func (t *Table) Check(now time.Time, fingerprint uint64) Decision {
	s, ok := t.suspects.Get(fingerprint)
	if !ok {
		return Clear
	}
	if now.Sub(s.losses[len(s.losses)-1].at) > Retention {
		t.suspects.Remove(fingerprint)
		return Clear
	}
	if len(s.losses) >= RefuseAfterCrashes {
		return Refuse
	}
	return Isolate
}

// Report counts the loss of a server with the fingerprint in flight. Reports of
// the same loss, by several requests or daemons, count once.
func (t *Table) Report(now time.Time, fingerprint uint64, server string) Decision {
	verdict := t.Check(now, fingerprint)
	s, ok := t.suspects.Get(fingerprint)
	if !ok {
		s = &suspect{}
		t.suspects.Add(fingerprint, s)
	}
	if verdict == Refuse || s.holds(now, server) {
		return verdict
	}
	s.losses = append(s.losses, loss{server: server, at: now})
	return t.Check(now, fingerprint)
}

// ReportSuccess clears a suspect that has run in isolation to its end. A refused
// fingerprint stays refused.
func (t *Table) ReportSuccess(now time.Time, fingerprint uint64) {
	if t.Check(now, fingerprint) == Isolate {
		t.suspects.Remove(fingerprint)
	}
}

// Len returns the number of fingerprints held.
func (t *Table) Len() int {
	return t.suspects.Len()
}

func (s *suspect) holds(now time.Time, server string) bool {
	for _, held := range s.losses {
		if held.server == server && now.Sub(held.at) < sameLoss {
			return true
		}
	}
	return false
}
