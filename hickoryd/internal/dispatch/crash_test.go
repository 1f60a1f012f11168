package dispatch_test

import (
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
	culpritPrompt  = "culprit"
	fragileServers = 6
)

type (
	// fragile is a fleet of engines that die of one prompt, with the slots and
	// the crash table that all daemons share.
	fragile struct {
		mu      sync.Mutex
		ledger  *slot.Ledger
		crashes *crash.Table
		dead    map[string]chan struct{} // closed when the server has died
		lost    int
		relaxed int
		// crashAfter is when the culprit's runs kill their servers: the first, the
		// second, and so on; the last holds for all further ones.
		crashAfter []time.Duration
		culprits   int           // runs of the culprit
		runs       []string      // servers that have begun to run a request, in order
		gap        time.Duration // between tokens, when set
	}

	fragileStream struct {
		*fakeStream
		dead chan struct{}
	}
)

func newFragile() *fragile {
	f := &fragile{crashAfter: []time.Duration{3 * tokenGap}, ledger: slot.NewLedger(), crashes: crash.NewTable(100), dead: map[string]chan struct{}{}}
	for i := range fragileServers {
		id := fmt.Sprintf("decode-%d", i)
		f.dead[id] = make(chan struct{})
		f.ledger.Track(backend.Server{ID: id, Slots: 20})
	}
	return f
}

func (f *fragile) isDead(server string) bool {
	select {
	case <-f.dead[server]:
		return true
	default:
		return false
	}
}

func (f *fragile) Prefill(context.Context, backend.Server, engine.PrefillRequest) (engine.PrefillReply, error) {
	return engine.PrefillReply{}, engine.ErrNotSent
}

func (f *fragile) Decode(ctx context.Context, server backend.Server, request engine.DecodeRequest) (dispatch.TokenStream, error) {
	if f.isDead(server.ID) {
		return nil, engine.ErrNotSent
	}
	f.mu.Lock()
	f.runs = append(f.runs, server.ID)
	defer f.mu.Unlock()
	if strings.Contains(request.Prompt, culpritPrompt) {
		time.AfterFunc(f.crashAfter[min(f.culprits, len(f.crashAfter)-1)], func() { f.kill(server.ID) })
		f.culprits++
	}
	stream := whole()
	stream.gap = f.gap
	return fragileStream{stream.open(ctx, request.Offset), f.dead[server.ID]}, nil
}

func (f *fragile) Resume(_ context.Context, server backend.Server, _ engine.ResumeRequest) (dispatch.TokenStream, error) {
	if f.isDead(server.ID) {
		return nil, engine.ErrNotSent
	}
	return nil, engine.ErrGone
}

func (f *fragile) Uptime(_ context.Context, server backend.Server) (time.Duration, error) {
	if f.isDead(server.ID) {
		return 0, engine.ErrNotSent
	}
	return time.Hour, nil
}

func (f *fragile) Cancel(context.Context, backend.Server, string) error { return nil }

func (f *fragile) Lookup(id string) (backend.Server, bool) { return backend.Server{ID: id}, true }

func (f *fragile) kill(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isDead(server) {
		f.lost++
		f.ledger.SetReachable(server, false)
		close(f.dead[server])
	}
}

// killLast kills the server that has begun a run last.
func (f *fragile) killLast() {
	f.mu.Lock()
	last := f.runs[len(f.runs)-1]
	f.mu.Unlock()
	f.kill(last)
}

func (f *fragile) Holder() slot.Holder { return slot.Holder{Host: "host-1", Incarnation: 1} }

func (f *fragile) Reserve(_ context.Context, now time.Time, server backend.Server, requestID string, terms slot.Terms) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Reserve(now, server.ID, slot.Reservation{RequestID: requestID, Isolated: terms.Isolated, Deadline: now.Add(time.Hour)})
}

func (f *fragile) ReservePrefill(context.Context, time.Time, backend.Server, slot.Prefill) error {
	return nil
}

func (f *fragile) ReleasePrefill(string, string) {}

func (f *fragile) CachedTokens(context.Context, time.Time, string, []backend.Server, []uint64) map[string]int {
	return nil
}

func (f *fragile) Force(backend.Server, string, slot.Terms) {}

func (f *fragile) UpdateTerms(_ backend.Server, _ string, terms slot.Terms) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !terms.Isolated {
		f.relaxed++
	}
}

func (f *fragile) Release(serverID, requestID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledger.Release(time.Now(), serverID, requestID)
}

func (f *fragile) Candidate(id string) (placement.Candidate, bool) {
	for _, c := range f.Candidates("") {
		if c.Server.ID == id {
			return c, true
		}
	}
	return placement.Candidate{}, false
}

func (f *fragile) Candidates(string) []placement.Candidate {
	var candidates []placement.Candidate
	for i := range fragileServers {
		id := fmt.Sprintf("decode-%d", i)
		candidates = append(candidates, placement.Candidate{Server: backend.Server{ID: id, Role: backend.RoleDecode, State: backend.StateLive}})
	}
	return candidates
}

func (f *fragile) SetLeaving(string) {}

func (f *fragile) Check(_ context.Context, now time.Time, fingerprint uint64) crash.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes.Check(now, fingerprint)
}

func (f *fragile) Report(_ context.Context, now time.Time, fingerprint uint64, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes.Report(now, fingerprint, server)
}

func (f *fragile) ReportSuccess(_ context.Context, now time.Time, fingerprint uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes.ReportSuccess(now, fingerprint)
}

func (s fragileStream) Next() (tokenstream.Token, error) {
	token, err := s.fakeStream.Next()
	select {
	case <-s.dead:
		return tokenstream.Token{}, engine.ErrBroken
	default:
		return token, err
	}
}

func (f *fragile) models() *dispatch.Models {
	set := metrics.NewSet()
	return dispatch.NewModels("salt-lake", labPolicy{}, f, f, f, f, f, dispatch.NewCanceller(f, f, set), set)
}

// caller sends one request and keeps what came of it.
type caller struct {
	models *dispatch.Models
	prompt string
	id     string
	sink   sinkLog
	err    error
}

func (c *caller) run(ctx context.Context) {
	r := request(c.prompt)
	r.ID = c.id
	r.Profile.MaxWait = 5 * time.Second
	c.err = c.models.Run(ctx, r, &c.sink)
}

// One request kills every server that runs it; it is sent five times through
// different daemons while others run beside it.
//
// proof: crashing request | first token | 2
// proof: crashing request | stream | 3
// proof: crashing request | stream | 4
func TestCrashingRequestCostsTwoServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFragile()
		hosts := []*dispatch.Models{f.models(), f.models(), f.models()}
		var innocents []*caller
		var group sync.WaitGroup
		for i := range 30 {
			c := &caller{models: hosts[i%len(hosts)], prompt: fmt.Sprintf("innocent %d", i), id: fmt.Sprint("innocent-", i)}
			innocents = append(innocents, c)
			group.Go(func() { c.run(t.Context()) })
		}
		for i := range 5 {
			c := &caller{models: hosts[i%len(hosts)], prompt: culpritPrompt, id: fmt.Sprint("culprit-", i)}
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
		if f.lost > crash.RefuseAfterCrashes {
			t.Errorf("%d servers lost, want at most %d", f.lost, crash.RefuseAfterCrashes)
		}
		for _, c := range innocents {
			if c.err != nil || c.sink.text.String() != wholeAnswer() {
				t.Errorf("%s: %q, %v", c.id, c.sink.text.String(), c.err)
			}
		}
	})
}

// A server dies without any request's fault. Its requests are suspects only as
// long as it had run them, and a little longer.
//
// proof: backend server killed | stream | 3
func TestProbationEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFragile()
		f.gap = 200 * time.Millisecond
		innocent := &caller{models: f.models(), prompt: "innocent", id: "innocent"}
		time.AfterFunc(f.gap+f.gap/2, func() { f.kill("decode-0") })
		innocent.run(t.Context())
		if innocent.err != nil || innocent.sink.text.String() != wholeAnswer() {
			t.Errorf("%q, %v", innocent.sink.text.String(), innocent.err)
		}
		if f.relaxed != 1 || f.crashes.Len() != 0 {
			t.Errorf("slot relaxed %d times, %d suspects left; want 1 and 0", f.relaxed, f.crashes.Len())
		}
	})
}

// Servers of one failure domain die together: the second takes the request that
// was just moved to it along. That is no evidence against the request.
//
// proof: failure domain lost | stream | 3
func TestServersLostTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFragile()
		f.gap = 100 * time.Millisecond
		innocent := &caller{models: f.models(), prompt: "innocent", id: "innocent"}
		noticed := 5 * f.gap
		time.AfterFunc(noticed-f.gap/2, f.killLast)
		time.AfterFunc(noticed+f.gap/10, f.killLast)
		innocent.run(t.Context())
		if innocent.err != nil || innocent.sink.text.String() != wholeAnswer() {
			t.Errorf("%q, %v", innocent.sink.text.String(), innocent.err)
		}
		if f.lost != 2 {
			t.Errorf("%d servers lost, want 2", f.lost)
		}
	})
}

// The same, where the first is lost just after the request was sent to it.
//
// proof: failure domain lost | first token | 3
func TestServersLostTogetherAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFragile()
		f.gap = 20 * time.Millisecond
		innocent := &caller{models: f.models(), prompt: "innocent", id: "innocent"}
		time.AfterFunc(f.gap/2, f.killLast)
		time.AfterFunc(2*f.gap+f.gap/2, func() {
			for i := range fragileServers / 2 {
				f.kill(fmt.Sprintf("decode-%d", i))
			}
		})
		innocent.run(t.Context())
		if innocent.err != nil || innocent.sink.text.String() != wholeAnswer() {
			t.Errorf("%q, %v", innocent.sink.text.String(), innocent.err)
		}
	})
}

// The second run of a request that crashes servers ends much sooner than the
// first, as on a busy machine: it still costs two servers.
//
// proof: crashing request | stream | 3
func TestCrashingRequestThatCrashesSooner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFragile()
		f.crashAfter = []time.Duration{6 * tokenGap, tokenGap}
		c := &caller{models: f.models(), prompt: culpritPrompt, id: "culprit"}
		c.run(t.Context())
		if r := refusal.FromError(c.err); r == nil || r.Kind != refusal.CrashesServers {
			t.Errorf("%v, want a refusal as crashesServers", c.err)
		}
		if f.lost > crash.RefuseAfterCrashes {
			t.Errorf("%d servers lost, want at most %d", f.lost, crash.RefuseAfterCrashes)
		}
	})
}
