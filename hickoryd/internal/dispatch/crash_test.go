package dispatch_test

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/core/tokenstream"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
)

const (
	crashingPrompt  = "crashing"
	crashingServers = 6
)

type (
	// crashingCluster is a set of engines that crash on one prompt, with the
	// slots and the crash table that all daemons share.
	crashingCluster struct {
		mu           sync.Mutex
		ledger       *slot.Ledger
		crashes      *crash.Table
		failed       map[string]chan struct{} // closed when the server has failed
		failures     int
		termsUpdates int
		// crashAfter is how long the runs of the crashing request last until
		// their servers fail, by the number of the run. The last value holds
		// for all further runs.
		crashAfter []time.Duration
		// domains is the number of failure domains of the servers, or 0 for one.
		domains      int
		crashingRuns int           // of the crashing request
		runs         []string      // servers in the order in which they began to run a request
		gap          time.Duration // between tokens, when set
	}

	crashingStream struct {
		*fakeStream
		failed chan struct{}
	}
)

func newCrashingCluster() *crashingCluster {
	f := &crashingCluster{crashAfter: []time.Duration{3 * tokenGap}, ledger: slot.NewLedger(), crashes: crash.NewTable(100), failed: map[string]chan struct{}{}}
	for i := range crashingServers {
		id := fmt.Sprintf("decode-%d", i)
		f.failed[id] = make(chan struct{})
		f.ledger.Track(backend.Server{ID: id, Slots: 20})
	}
	return f
}

func (f *crashingCluster) hasFailed(server string) bool {
	select {
	case <-f.failed[server]:
		return true
	default:
		return false
	}
}

func (f *crashingCluster) Prefill(context.Context, backend.Server, engine.PrefillRequest) (engine.PrefillReply, error) {
	return engine.PrefillReply{}, engine.ErrNotSent
}

func (f *crashingCluster) Decode(ctx context.Context, server backend.Server, request engine.DecodeRequest) (dispatch.TokenStream, error) {
	if f.hasFailed(server.ID) {
		return nil, engine.ErrNotSent
	}
	f.mu.Lock()
	f.runs = append(f.runs, server.ID)
	defer f.mu.Unlock()
	if strings.Contains(request.Prompt, crashingPrompt) {
		time.AfterFunc(f.crashAfter[min(f.crashingRuns, len(f.crashAfter)-1)], func() { f.failServer(server.ID) })
		f.crashingRuns++
	}
	stream := completeStream()
	stream.gap = f.gap
	return crashingStream{stream.open(ctx, request.Offset), f.failed[server.ID]}, nil
}

func (f *crashingCluster) Resume(_ context.Context, server backend.Server, _ engine.ResumeRequest) (dispatch.TokenStream, error) {
	if f.hasFailed(server.ID) {
		return nil, engine.ErrNotSent
	}
	return nil, engine.ErrGone
}

func (f *crashingCluster) Uptime(_ context.Context, server backend.Server) (time.Duration, error) {
	if f.hasFailed(server.ID) {
		return 0, engine.ErrNotSent
	}
	return time.Hour, nil
}

func (f *crashingCluster) Cancel(context.Context, backend.Server, string) error { return nil }

func (f *crashingCluster) Lookup(id string) (backend.Server, bool) {
	return backend.Server{ID: id}, true
}

func (f *crashingCluster) failServer(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasFailed(server) {
		f.failures++
		f.ledger.SetReachable(server, false)
		close(f.failed[server])
	}
}

// failLatestServer fails the server that began a run last.
func (f *crashingCluster) failLatestServer() {
	f.mu.Lock()
	last := f.runs[len(f.runs)-1]
	f.mu.Unlock()
	f.failServer(last)
}

func (f *crashingCluster) Holder() slot.Holder { return slot.Holder{Host: "host-1", Incarnation: 1} }

func (f *crashingCluster) Reserve(_ context.Context, now time.Time, server backend.Server, attemptID string, terms slot.Terms) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Reserve(now, server.ID, slot.Reservation{AttemptID: attemptID, Isolated: terms.Isolated, Deadline: now.Add(time.Hour)})
}

func (f *crashingCluster) ReservePrefill(context.Context, time.Time, backend.Server, slot.Prefill) error {
	return nil
}

func (f *crashingCluster) ReleasePrefill(string, string) {}

func (f *crashingCluster) CachedTokens(context.Context, time.Time, string, []backend.Server, []uint64) map[string]int {
	return nil
}

func (f *crashingCluster) Force(backend.Server, string, slot.Terms) {}

func (f *crashingCluster) UpdateTerms(_ backend.Server, _ string, terms slot.Terms) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !terms.Isolated {
		f.termsUpdates++
	}
}

func (f *crashingCluster) Release(serverID, attemptID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledger.Release(time.Now(), serverID, attemptID)
}

func (f *crashingCluster) Candidate(id string) (placement.Candidate, bool) {
	for _, c := range f.Candidates("") {
		if c.Server.ID == id {
			return c, true
		}
	}
	return placement.Candidate{}, false
}

func (f *crashingCluster) Candidates(string) []placement.Candidate {
	var candidates []placement.Candidate
	for i := range crashingServers {
		id := fmt.Sprintf("decode-%d", i)
		server := backend.Server{ID: id, Role: backend.RoleDecode, State: backend.StateLive, FailureDomain: fmt.Sprint("domain-", i%max(f.domains, 1))}
		candidates = append(candidates, placement.Candidate{Server: server})
	}
	return candidates
}

func (f *crashingCluster) SetLeaving(string) {}

func (f *crashingCluster) Check(_ context.Context, now time.Time, fingerprint uint64) crash.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes.Check(now, fingerprint)
}

func (f *crashingCluster) Report(_ context.Context, now time.Time, fingerprint uint64, server backend.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes.Report(now, fingerprint, server.ID, server.FailureDomain)
}

func (f *crashingCluster) ReportSuccess(_ context.Context, now time.Time, fingerprint uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes.ReportSuccess(now, fingerprint)
}

func (s crashingStream) Next() (tokenstream.Token, error) {
	token, err := s.fakeStream.Next()
	select {
	case <-s.failed:
		return tokenstream.Token{}, engine.ErrBroken
	default:
		return token, err
	}
}

func (f *crashingCluster) models() *dispatch.Models {
	set := metrics.NewSet()
	return dispatch.NewModels("salt-lake", fakePolicy{}, f, f, f, f, f, dispatch.NewCanceller(f, f, set), set)
}

// testCaller sends one request and records the outcome.
type testCaller struct {
	models *dispatch.Models
	prompt string
	id     string
	// gapTarget is the target for the time between tokens, or 0 for that of request.
	gapTarget time.Duration
	sink      recordingSink
	err       error
}

func (c *testCaller) run(ctx context.Context) {
	r := request(c.prompt)
	r.ID = c.id
	r.Profile.MaxWait = 5 * time.Second
	r.Profile.TokenGapTarget = cmp.Or(c.gapTarget, r.Profile.TokenGapTarget)
	c.err = c.models.Run(ctx, r, &c.sink)
}

// TestRequestCrashesAtMostTwoServers sends a request five times, through
// different daemons, while other requests run beside it. The request crashes
// every server that runs it. At most RefuseAfterCrashes servers may fail, and
// all other requests must be completed.
//
// proof: crashing request | first token | 2
// proof: crashing request | stream | 3
// proof: crashing request | stream | 4
func TestRequestCrashesAtMostTwoServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashingCluster()
		hosts := []*dispatch.Models{f.models(), f.models(), f.models()}
		var harmless []*testCaller
		var group sync.WaitGroup
		for i := range 30 {
			c := &testCaller{models: hosts[i%len(hosts)], prompt: fmt.Sprintf("harmless %d", i), id: fmt.Sprint("harmless-", i)}
			harmless = append(harmless, c)
			group.Go(func() { c.run(t.Context()) })
		}
		for i := range 5 {
			c := &testCaller{models: hosts[i%len(hosts)], prompt: crashingPrompt, id: fmt.Sprint("crashing-", i)}
			c.run(t.Context())
			r := refusal.FromError(c.err)
			if r == nil || r.Kind != refusal.CrashesServers {
				t.Fatalf("send %d: %v, want a refusal as crashesServers", i, c.err)
			}
			if wantRan := i == 0; (r.Ran == refusal.RanUnknown) != wantRan {
				t.Errorf("send %d says ran=%s", i, r.Ran)
			}
		}
		group.Wait()
		if f.failures > crash.RefuseAfterCrashes {
			t.Errorf("%d servers failed, want at most %d", f.failures, crash.RefuseAfterCrashes)
		}
		for _, c := range harmless {
			if c.err != nil || c.sink.text.String() != completeResponse() {
				t.Errorf("%s: %q, %v", c.id, c.sink.text.String(), c.err)
			}
		}
	})
}

// TestProbationEnds fails a server for a reason other than its requests. These
// requests are suspects only for as long as they had run on that server, and a
// little longer.
//
// proof: backend server killed | stream | 3
func TestProbationEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashingCluster()
		f.gap = 200 * time.Millisecond
		harmless := &testCaller{models: f.models(), prompt: "harmless", id: "harmless"}
		time.AfterFunc(f.gap+f.gap/2, func() { f.failServer("decode-0") })
		harmless.run(t.Context())
		if harmless.err != nil || harmless.sink.text.String() != completeResponse() {
			t.Errorf("%q, %v", harmless.sink.text.String(), harmless.err)
		}
		if f.termsUpdates != 1 || f.crashes.Len() != 0 {
			t.Errorf("terms of the slot updated %d times, %d suspects left; want 1 and 0", f.termsUpdates, f.crashes.Len())
		}
	})
}

// TestServersLostTogether fails two servers of one failure domain together: the
// second fails while it runs the request that was just rescheduled from the
// first. The two failures are no evidence against the request, which must be
// completed.
//
// proof: failure domain lost | stream | 3
func TestServersLostTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashingCluster()
		f.gap = 400 * time.Millisecond // the first run is long enough to be retried at once
		harmless := &testCaller{models: f.models(), prompt: "harmless", id: "harmless", gapTarget: f.gap}
		failureTime := 5 * f.gap
		time.AfterFunc(failureTime-f.gap/2, f.failLatestServer)
		time.AfterFunc(failureTime+f.gap/10, f.failLatestServer)
		harmless.run(t.Context())
		if harmless.err != nil || harmless.sink.text.String() != completeResponse() {
			t.Errorf("%q, %v", harmless.sink.text.String(), harmless.err)
		}
		if f.failures != 2 {
			t.Errorf("%d servers failed, want 2", f.failures)
		}
	})
}

// TestServersLostTogetherAtTheStart is TestServersLostTogether with a first
// server that fails just after the request was sent to it.
//
// proof: failure domain lost | first token | 3
func TestServersLostTogetherAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashingCluster()
		f.gap = 20 * time.Millisecond
		harmless := &testCaller{models: f.models(), prompt: "harmless", id: "harmless"}
		time.AfterFunc(f.gap/2, f.failLatestServer)
		time.AfterFunc(2*f.gap+f.gap/2, func() {
			for i := range crashingServers / 2 {
				f.failServer(fmt.Sprintf("decode-%d", i))
			}
		})
		harmless.run(t.Context())
		if harmless.err != nil || harmless.sink.text.String() != completeResponse() {
			t.Errorf("%q, %v", harmless.sink.text.String(), harmless.err)
		}
	})
}

// TestDomainLossNoticedApart guards against a request that is refused because two servers of a
// failure domain that is lost were noticed to have failed almost a second apart.
//
// proof: failure domain lost | stream | 3
func TestDomainLossNoticedApart(t *testing.T) {
	for _, apart := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(apart.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashingCluster()
				f.gap = 20 * time.Millisecond
				harmless := &testCaller{models: f.models(), prompt: "harmless", id: "harmless"}
				time.AfterFunc(f.gap/2, f.failLatestServer)
				time.AfterFunc(f.gap/2+apart, func() {
					for i := range crashingServers / 2 {
						f.failServer(fmt.Sprintf("decode-%d", i))
					}
				})
				harmless.run(t.Context())
				if harmless.err != nil || harmless.sink.text.String() != completeResponse() {
					t.Errorf("%q, %v", harmless.sink.text.String(), harmless.err)
				}
			})
		})
	}
}

// TestRetryInAnotherDomainDoesNotWait fails the server of a request that has hardly begun,
// while servers of another failure domain are there.
//
// proof: backend server killed | first token | 3
func TestRetryInAnotherDomainDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashingCluster()
		f.domains = 2
		f.gap = 20 * time.Millisecond
		harmless := &testCaller{models: f.models(), prompt: "harmless", id: "harmless"}
		began := time.Now()
		time.AfterFunc(f.gap/2, f.failLatestServer)
		harmless.run(t.Context())
		if harmless.err != nil || harmless.sink.text.String() != completeResponse() {
			t.Errorf("%q, %v", harmless.sink.text.String(), harmless.err)
		}
		if took, limit := time.Since(began), (responseTokens+10)*f.gap; took > limit {
			t.Errorf("took %v, want at most %v", took, limit)
		}
	})
}

// TestCrashingRequestThatCrashesSooner guards against a request that costs more
// than two servers because its second run ends much sooner than the first, as
// happens on a busy machine.
//
// proof: crashing request | stream | 3
func TestCrashingRequestThatCrashesSooner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashingCluster()
		f.crashAfter = []time.Duration{6 * tokenGap, tokenGap}
		c := &testCaller{models: f.models(), prompt: crashingPrompt, id: "crashing"}
		c.run(t.Context())
		if r := refusal.FromError(c.err); r == nil || r.Kind != refusal.CrashesServers {
			t.Errorf("%v, want a refusal as crashesServers", c.err)
		}
		if f.failures > crash.RefuseAfterCrashes {
			t.Errorf("%d servers failed, want at most %d", f.failures, crash.RefuseAfterCrashes)
		}
	})
}
