package retrybudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/retrybudget"
)

var start = time.Unix(1000, 0)

func TestAllow(t *testing.T) {
	limits := retrybudget.Limits{Ratio: 0.2, Slack: 70}
	tests := []struct {
		name     string
		requests int
		hosts    int
		after    time.Duration
		want     int
	}{
		{name: "hosts share the slack", hosts: 7, want: 8},
		{name: "a single host has all of the slack", hosts: 1, want: 56},
		{name: "a host that does not know the number of hosts has no slack", requests: 100, hosts: 0, want: 16},
		{name: "requests add their ratio", requests: 100, hosts: 7, want: 24},
		{name: "requests leave the window", requests: 100, hosts: 7, after: retrybudget.Window + time.Second, want: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := retrybudget.New(start, limits)
			for range tt.requests {
				b.RecordRequest(start)
			}
			now := start.Add(tt.after)
			got := 0
			for b.Allow(now, tt.hosts) {
				got++
			}
			if got != tt.want {
				t.Errorf("%d retries allowed, want %d", got, tt.want)
			}
		})
	}
}

// TestNoWindowExceedsTheBudget checks that all hosts together do not exceed the
// budget in any window of ten seconds, whenever they start to retry. Each host
// counts for itself and in buckets of time, so their shares could add up to
// more.
func TestNoWindowExceedsTheBudget(t *testing.T) {
	const hosts = 7
	limits := retrybudget.Limits{Ratio: 0.2, Slack: 54}
	var retries []time.Duration
	requests := 0
	shares := make([]*retrybudget.Budget, hosts)
	for i := range shares {
		shares[i] = retrybudget.New(start, limits)
	}
	for step := range 600 {
		at := time.Duration(step) * 50 * time.Millisecond
		for i, b := range shares {
			if step%10 == i {
				b.RecordRequest(start.Add(at))
				requests++
			}
			for b.Allow(start.Add(at), hosts) {
				retries = append(retries, at)
			}
		}
	}
	perWindow := float64(requests) / 30 * 10
	allowed := limits.Ratio*perWindow + limits.Slack
	for i, first := range retries {
		count := 0
		for _, at := range retries[i:] {
			if at-first < retrybudget.Window {
				count++
			}
		}
		if float64(count) > allowed {
			t.Fatalf("%d retries in the window from %v, allowed %.0f", count, first, allowed)
		}
	}
}

// TestReturnRetry checks that a retry that was not sent may be taken again, and that the
// return of one that has left the window adds nothing to the budget.
func TestReturnRetry(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		want  int
	}{
		{name: "returned at once", want: 1},
		{name: "returned later", after: 700 * time.Millisecond, want: 1},
		{name: "returned at the end of the window", after: retrybudget.Window - time.Second, want: 1},
		{name: "returned after the window", after: retrybudget.Window + time.Second, want: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := retrybudget.New(start, retrybudget.Limits{Slack: 10})
			for b.Allow(start, 1) {
			}
			now := start.Add(tt.after)
			b.CanRetry(now, 1)
			b.ReturnRetry(start)
			got := 0
			for b.Allow(now, 1) {
				got++
			}
			if got != tt.want {
				t.Errorf("%d retries allowed after the return, want %d", got, tt.want)
			}
		})
	}
}

// TestRecordRetryBeyondTheBudget exceeds the budget by RecordRetry, which
// counts retries that are sent without a check. Further retries must then be
// denied until the window has passed, and no longer.
func TestRecordRetryBeyondTheBudget(t *testing.T) {
	b := retrybudget.New(start, retrybudget.Limits{Slack: 10})
	for range 9 {
		b.RecordRetry(start)
	}
	if b.CanRetry(start, 1) {
		t.Error("an exceeded budget allows a retry")
	}
	if !b.CanRetry(start.Add(retrybudget.Window+time.Second), 1) {
		t.Error("a budget allows no retry after the window in which it was exceeded")
	}
}

// TestHosts checks that a host list that has lost hosts does not enlarge the shares of the
// slack at once: the hosts may still be there.
func TestHosts(t *testing.T) {
	type observation struct {
		after  time.Duration
		number int
	}
	tests := []struct {
		name string
		seen []observation
		want int
	}{
		{name: "never read"},
		{name: "not read yet", seen: []observation{{0, 0}}},
		{name: "grows", seen: []observation{{0, 3}, {time.Second, 7}}, want: 7},
		{name: "shrinks", seen: []observation{{0, 7}, {time.Second, 3}, {2 * time.Second, 4}}, want: 7},
		{name: "shrinks for good", seen: []observation{{0, 7}, {time.Second, 5}, {2 * time.Second, 3}, {2*time.Minute + 1500*time.Millisecond, 3}}, want: 3},
		{name: "shrinks in steps", seen: []observation{{0, 7}, {time.Minute, 5}, {2*time.Minute + time.Second, 3}}, want: 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var hosts retrybudget.Hosts
			for _, o := range tt.seen {
				hosts.Observe(start.Add(o.after), o.number)
			}
			if got := hosts.Max(); got != tt.want {
				t.Errorf("%d hosts, want %d", got, tt.want)
			}
		})
	}
}

// TestHostsThatCannotHearEachOther checks that 63 hosts stay within the budget in every
// window, though for some seconds a part of them sees few of the others or none, some are
// started again, and others join. Each retry of a stream costs two arrivals, a prefill and
// a run, and many are in progress at the same time.
func TestHostsThatCannotHearEachOther(t *testing.T) {
	const (
		first, joining = 63, 15
		steps          = 500
		step           = 100 * time.Millisecond
		cutFrom, cutTo = 5 * time.Second, 15 * time.Second
		joinAt         = 20 * time.Second
		listPeriod     = 10 * time.Second
		sendTime       = 300 * time.Millisecond // from the take of a retry to its second arrival
	)
	limits := retrybudget.Limits{Ratio: 0.2, Slack: 166}
	type host struct {
		budget *retrybudget.Budget
		hosts  retrybudget.Hosts
	}
	hosts := make([]*host, first+joining)
	for i := range hosts {
		hosts[i] = &host{budget: retrybudget.New(start, limits)}
	}
	random := rand.New(rand.NewPCG(19, 1))
	var arrivals []time.Duration
	requests := make([]int, steps)
	for n := range steps {
		at := time.Duration(n) * step
		now := start.Add(at)
		for i, h := range hosts {
			if i >= first && at < joinAt {
				continue
			}
			isCut := i%3 == 0 && at >= cutFrom && at < cutTo
			if isCut && i%9 == 0 && at == cutFrom+step {
				h.budget, h.hosts = retrybudget.New(now, limits), retrybudget.Hosts{} // started again
			}
			listed := first
			switch {
			case isCut && i%2 == 0:
				listed = 0
			case isCut:
				listed = first / 3
			case at >= joinAt+listPeriod:
				listed = first + joining
			}
			h.hosts.Observe(now, listed)
			if random.IntN(7) == 0 {
				h.budget.RecordRequest(now)
				requests[n]++
			}
			for h.budget.Allow(now, h.hosts.Max()) {
				arrivals = append(arrivals, at)
				if h.budget.Allow(now, h.hosts.Max()) {
					arrivals = append(arrivals, at+sendTime)
				}
			}
		}
	}
	sum := func(from, to int) int {
		total := 0
		for n := max(from, 0); n < min(to, steps); n++ {
			total += requests[n]
		}
		return total
	}
	const window = int(retrybudget.Window / step)
	for n := range steps - window {
		from := time.Duration(n) * step
		count := 0
		for _, at := range arrivals {
			if at >= from && at < from+retrybudget.Window {
				count++
			}
		}
		most := max(sum(n, n+window), sum(n-window, n), sum(n-window/2, n+window/2))
		if allowed := limits.Ratio*float64(most) + limits.Slack; float64(count) > allowed {
			t.Fatalf("%d arrivals in the window from %v, allowed %.0f", count, from, allowed)
		}
	}
}
