package crash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/crash"
)

var start = time.Unix(1000, 0)

// TestOnlyCrashingRequestIsRefused has two requests in flight
// when a server fails, and only one of them is the cause. Without isolation
// both would be refused, or neither. Reports of the same failure must count
// once, and a late success must not clear a refused fingerprint.
//
// proof: crashing request | stream | 2
func TestOnlyCrashingRequestIsRefused(t *testing.T) {
	table := crash.NewTable(100)
	culprit := crash.Fingerprint("catalogue", "culprit")
	bystander := crash.Fingerprint("catalogue", "innocent")
	for _, f := range []uint64{culprit, bystander} {
		if got := table.Report(start, f, "decode-1", "a"); got != crash.Isolate {
			t.Errorf("after one crash: %v, want Isolate", got)
		}
		if got := table.Report(start, f, "decode-1", "a"); got != crash.Isolate {
			t.Errorf("the same crash again: %v, want Isolate", got)
		}
	}
	table.ReportSuccess(start, bystander)
	if got := table.Check(start, bystander); got != crash.Clear {
		t.Errorf("bystander after its isolated run: %v, want Clear", got)
	}
	if got := table.Report(start, culprit, "decode-2", "b"); got != crash.Refuse {
		t.Errorf("culprit after two crashes: %v, want Refuse", got)
	}
	table.ReportSuccess(start, culprit)
	if got := table.Check(start, culprit); got != crash.Refuse {
		t.Errorf("culprit after a late success: %v, want Refuse", got)
	}
	if got := table.Check(start.Add(crash.Retention+1), culprit); got != crash.Clear {
		t.Errorf("after the retention: %v, want Clear", got)
	}
}

// TestSameServerFailsAgain checks that a server that restarts and fails again
// counts twice. The second failure must not be taken for a further report of
// the first.
func TestSameServerFailsAgain(t *testing.T) {
	table := crash.NewTable(100)
	culprit := crash.Fingerprint("catalogue", "culprit")
	table.Report(start, culprit, "decode-1", "a")
	if got := table.Report(start.Add(5*time.Second), culprit, "decode-1", "a"); got != crash.Refuse {
		t.Errorf("after the second failure: %v, want Refuse", got)
	}
}

// TestFailureDomainCountsOnce reports two failures of one or of two failure domains, and
// checks whether they refuse the request that waited at both servers.
func TestFailureDomainCountsOnce(t *testing.T) {
	const window = time.Second // as documented at Report
	for name, test := range map[string]struct {
		domain string // of the second server; the first one is in "a"
		apart  time.Duration
		want   crash.Decision
	}{
		"one domain, at once":               {domain: "a", want: crash.Isolate},
		"one domain, noticed apart":         {domain: "a", apart: window - 1, want: crash.Isolate},
		"one domain, one after the other":   {domain: "a", apart: window, want: crash.Refuse},
		"two domains, at once":              {domain: "b", want: crash.Refuse},
		"a domain of unknown name, at once": {domain: "", want: crash.Refuse},
	} {
		t.Run(name, func(t *testing.T) {
			table := crash.NewTable(100)
			table.Report(start, 1, "decode-1", "a")
			if got := table.Report(start.Add(test.apart), 1, "decode-2", test.domain); got != test.want {
				t.Errorf("decision %v, want %v", got, test.want)
			}
		})
	}
}

// TestMerge checks which failures that another host has recorded count beside a failure that this
// host has seen. Clocks differ, so one failure of a server may seem to be two.
func TestMerge(t *testing.T) {
	born := start.Add(-time.Hour)
	for name, test := range map[string]struct {
		failure crash.Failure // of the other host
		want    crash.Decision
	}{
		"another server, long ago":               {failure: crash.Failure{Server: "decode-2", Domain: "a", At: start.Add(-time.Minute)}, want: crash.Refuse},
		"another server of the domain, at once":  {failure: crash.Failure{Server: "decode-2", Domain: "a", At: start.Add(-500 * time.Millisecond)}, want: crash.Isolate},
		"another domain, at once":                {failure: crash.Failure{Server: "decode-2", Domain: "b", At: start}, want: crash.Refuse},
		"the same failure by a clock behind":     {failure: crash.Failure{Server: "decode-1", Started: born, Domain: "a", At: start.Add(-5 * time.Second)}, want: crash.Isolate},
		"the same failure by a clock ahead":      {failure: crash.Failure{Server: "decode-1", Started: born, Domain: "a", At: start.Add(5 * time.Second)}, want: crash.Isolate},
		"the server had started again meanwhile": {failure: crash.Failure{Server: "decode-1", Started: born.Add(-time.Minute), Domain: "a", At: start.Add(-3 * time.Second)}, want: crash.Refuse},
		"forgotten":                              {failure: crash.Failure{Server: "decode-2", Domain: "b", At: start.Add(-crash.Retention - 1)}, want: crash.Isolate},
	} {
		t.Run(name, func(t *testing.T) {
			table := crash.NewTable(100)
			table.Record(start, 1, crash.Failure{Server: "decode-1", Started: born, Domain: "a", At: start})
			if got := table.Merge(start, 1, test.failure); got != test.want {
				t.Errorf("decision %v, want %v", got, test.want)
			}
		})
	}
}

// TestCompletionBetweenFailures guards against the refusal of requests that are alike and sound,
// because servers have failed for other reasons while they ran some of them.
func TestCompletionBetweenFailures(t *testing.T) {
	for name, test := range map[string]struct {
		completed time.Duration // after the first failure
		want      crash.Decision
	}{
		"before both":  {completed: -time.Second, want: crash.Refuse},
		"between them": {completed: time.Second, want: crash.Isolate},
	} {
		t.Run(name, func(t *testing.T) {
			table := crash.NewTable(100)
			table.RecordCompletion(start.Add(test.completed), 1)
			table.Report(start, 1, "decode-1", "a")
			table.RecordCompletion(start.Add(test.completed), 1)
			if got := table.Report(start.Add(time.Minute), 1, "decode-2", "b"); got != test.want {
				t.Errorf("decision %v, want %v", got, test.want)
			}
			stored := crash.Failure{Server: "decode-3", Domain: "c", At: start.Add(-500 * time.Millisecond)}
			if got := table.Merge(start.Add(time.Minute), 1, stored); got != test.want {
				t.Errorf("with a failure that another host has recorded: %v, want %v", got, test.want)
			}
		})
	}
}

// TestRefusalOfAnotherHost checks how long a refusal is in force that was decided elsewhere.
func TestRefusalOfAnotherHost(t *testing.T) {
	table := crash.NewTable(100)
	table.Report(start.Add(-time.Hour), 1, "decode-1", "a") // forgotten
	table.Refuse(start.Add(-time.Minute), 1)
	for after, want := range map[time.Duration]crash.Decision{0: crash.Refuse, crash.Retention - time.Minute: crash.Refuse} {
		if got := table.Check(start.Add(after), 1); got != want {
			t.Errorf("after %v: %v, want %v", after, got, want)
		}
	}
	if got := len(table.Failures(start, 1)); got != crash.RefuseAfterCrashes {
		t.Errorf("%d failures, want %d", got, crash.RefuseAfterCrashes)
	}
	if got := table.Check(start.Add(crash.Retention), 1); got != crash.Clear {
		t.Errorf("after the retention: %v, want Clear", got)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := crash.NewTable(10)
	for i := range 1000 {
		table.Report(start, crash.Fingerprint("s", fmt.Sprint(i)), "decode-1", "a")
	}
	if table.Len() > 10 {
		t.Errorf("%d fingerprints in the table, limit 10", table.Len())
	}
}

// TestFingerprintSeparatesServices checks that the service and the prompt are
// not joined without a separator: "a" with "bc" and "ab" with "c" would share a
// fingerprint.
func TestFingerprintSeparatesServices(t *testing.T) {
	if crash.Fingerprint("a", "bc") == crash.Fingerprint("ab", "c") {
		t.Error("two services share a fingerprint")
	}
}
