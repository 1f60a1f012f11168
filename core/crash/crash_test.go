package crash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/crash"
)

var start = time.Unix(1000, 0)

// proof: crashing request | stream | 2
func TestSuspicionConcentratesOnTheCommonFingerprint(t *testing.T) {
	table := crash.NewTable(100)
	culprit := crash.Fingerprint("catalogue", "culprit")
	innocent := crash.Fingerprint("catalogue", "innocent")
	for _, f := range []uint64{culprit, innocent} {
		if got := table.Report(start, f, "decode-1"); got != crash.Isolate {
			t.Errorf("after one crash: %v, want Isolate", got)
		}
		if got := table.Report(start, f, "decode-1"); got != crash.Isolate {
			t.Errorf("the same crash again: %v, want Isolate", got)
		}
	}
	table.ReportSuccess(start, innocent)
	if got := table.Check(start, innocent); got != crash.Clear {
		t.Errorf("innocent after its isolated run: %v, want Clear", got)
	}
	if got := table.Report(start, culprit, "decode-2"); got != crash.Refuse {
		t.Errorf("culprit after two crashes: %v, want Refuse", got)
	}
	table.ReportSuccess(start, culprit)
	if got := table.Check(start, culprit); got != crash.Refuse {
		t.Errorf("a late success cleared the culprit: %v", got)
	}
	if got := table.Check(start.Add(crash.Retention+1), culprit); got != crash.Clear {
		t.Errorf("after the retention: %v, want Clear", got)
	}
}

// A server that came back and was lost again counts twice.
func TestSameServerLostAgain(t *testing.T) {
	table := crash.NewTable(100)
	culprit := crash.Fingerprint("catalogue", "culprit")
	table.Report(start, culprit, "decode-1")
	if got := table.Report(start.Add(5*time.Second), culprit, "decode-1"); got != crash.Refuse {
		t.Errorf("got %v, want Refuse", got)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := crash.NewTable(10)
	for i := range 1000 {
		table.Report(start, crash.Fingerprint("s", fmt.Sprint(i)), "decode-1")
	}
	if table.Len() > 10 {
		t.Errorf("%d fingerprints are held, limit 10", table.Len())
	}
}

func TestFingerprintSeparatesServices(t *testing.T) {
	if crash.Fingerprint("a", "bc") == crash.Fingerprint("ab", "c") {
		t.Error("two services share a fingerprint")
	}
}
