package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/core/tokenstream"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
)

const (
	tokenGap       = 10 * time.Millisecond
	responseTokens = 8
	shortPrompt    = "short"
)

var longPrompt = strings.Repeat("order history; ", 200)

type (
	// engineCall is one call that reached an engine.
	engineCall struct {
		kind   string
		server string
		id     string
		offset int
		kv     string
	}

	// fakeCluster fakes engines, homes and the directory. Hooks replace what a
	// call does.
	fakeCluster struct {
		onPrefill func(ctx context.Context, server string, n int) error
		onDecode  func(ctx context.Context, server string, n int) (*fakeStream, error)
		onResume  func(ctx context.Context, server string, n int) (*fakeStream, error)
		onReserve func(ctx context.Context, server string, n int) error
		onCancel  func(server string, n int) error

		onReservePrefill func(server string, n int) error

		onUptime func(server string) (time.Duration, error)

		mu           sync.Mutex
		calls        []engineCall
		callCounts   map[string]int
		reserved     map[string]string // server by attempt
		isolated     map[string]bool   // by attempt
		cancels      []engineCall
		leaving      map[string]bool
		forced       int
		released     map[string]bool // prefill reservations, by attempt
		queued       map[string]bool // places in prefill queues, by server and attempt
		unreserved   int             // prefills whose reservation was released before
		hasNoServers bool            // Candidates returns none
		onlyPrefill  string          // the only prefill server, or "" for both
		source       string          // server of the latest prefill, if a hook records it
	}

	// fakeStream returns the tokens from offset on, one each gap. In place of
	// token stopAt it returns ending, or stays silent.
	fakeStream struct {
		offset int
		stopAt int
		ending error // nil: stay silent
		gap    time.Duration
		closed chan struct{}
		once   sync.Once
	}

	// recordingSink is a caller that records its tokens. It disconnects after
	// limit tokens if limit is set.
	recordingSink struct {
		mu    sync.Mutex
		text  strings.Builder
		at    []time.Time
		limit int
	}

	fakePolicy struct{}
)

func newFakeCluster() *fakeCluster {
	return &fakeCluster{callCounts: map[string]int{}, reserved: map[string]string{}, isolated: map[string]bool{}, leaving: map[string]bool{}, released: map[string]bool{}, queued: map[string]bool{}}
}

func completeStream() *fakeStream { return &fakeStream{stopAt: responseTokens, ending: io.EOF} }

func streamStoppingAt(n int, ending error) *fakeStream { return &fakeStream{stopAt: n, ending: ending} }

func completeResponse() string {
	var text strings.Builder
	for i := range responseTokens {
		fmt.Fprintf(&text, "t%d ", i)
	}
	return text.String()
}

// blockUntilDone is a call that gets no response until ctx ends.
func blockUntilDone(ctx context.Context) error {
	<-ctx.Done()
	return fmt.Errorf("%w: %w", engine.ErrBroken, ctx.Err())
}

func (l *fakeCluster) count(kind string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callCounts[kind]++
	return l.callCounts[kind]
}

// log records a call unless it failed before a byte was sent.
func (l *fakeCluster) log(s engineCall, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil || !isNotSent(err) {
		l.calls = append(l.calls, s)
	}
}

func (l *fakeCluster) callsOf(kind string) []engineCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []engineCall
	for _, s := range l.calls {
		if s.kind == kind {
			found = append(found, s)
		}
	}
	return found
}

func (l *fakeCluster) Prefill(ctx context.Context, server backend.Server, request engine.PrefillRequest) (engine.PrefillReply, error) {
	var err error
	l.recordReservation(request.RequestID)
	if l.onPrefill != nil {
		err = l.onPrefill(ctx, server.ID, l.count("prefill"))
	} else {
		time.Sleep(tokenGap)
		err = ctx.Err()
	}
	l.log(engineCall{kind: "prefill", server: server.ID, id: request.RequestID}, err)
	return engine.PrefillReply{KV: engine.KVHandle{Source: server.ID, Handle: request.RequestID, Bytes: 1}, PromptTokens: 100, CachedTokens: 40}, err
}

func (l *fakeCluster) Decode(ctx context.Context, server backend.Server, request engine.DecodeRequest) (dispatch.TokenStream, error) {
	stream, err := completeStream(), error(nil)
	if l.onDecode != nil {
		stream, err = l.onDecode(ctx, server.ID, l.count("decode"))
	}
	s := engineCall{kind: "decode", server: server.ID, id: request.RequestID, offset: request.Offset}
	if request.KV != nil {
		s.kv = request.KV.Handle
	}
	l.log(s, err)
	if err != nil {
		return nil, err
	}
	return stream.open(ctx, request.Offset), nil
}

func (l *fakeCluster) Resume(ctx context.Context, server backend.Server, request engine.ResumeRequest) (dispatch.TokenStream, error) {
	stream, err := completeStream(), error(nil)
	if l.onResume != nil {
		stream, err = l.onResume(ctx, server.ID, l.count("resume"))
	}
	l.log(engineCall{kind: "resume", server: server.ID, id: request.RequestID, offset: request.Offset}, err)
	if err != nil {
		return nil, err
	}
	return stream.open(ctx, request.Offset), nil
}

func (l *fakeCluster) Cancel(_ context.Context, server backend.Server, attemptID string) error {
	l.mu.Lock()
	l.cancels = append(l.cancels, engineCall{kind: "cancel", server: server.ID, id: attemptID})
	n := len(l.cancels)
	l.mu.Unlock()
	if l.onCancel != nil {
		return l.onCancel(server.ID, n)
	}
	return nil
}

func (l *fakeCluster) Uptime(_ context.Context, server backend.Server) (time.Duration, error) {
	if l.onUptime != nil {
		return l.onUptime(server.ID)
	}
	return time.Hour, nil
}

func (l *fakeCluster) Holder() slot.Holder { return slot.Holder{Host: "host-1", Incarnation: 1} }

func (l *fakeCluster) Reserve(ctx context.Context, _ time.Time, server backend.Server, attemptID string, terms slot.Terms) error {
	if l.onReserve != nil {
		if err := l.onReserve(ctx, server.ID, l.count("reserve")); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved[attemptID] = server.ID
	l.isolated[attemptID] = terms.Isolated
	return nil
}

func (l *fakeCluster) Force(server backend.Server, attemptID string, _ slot.Terms) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved[attemptID] = server.ID
	l.forced++
}

func (l *fakeCluster) UpdateTerms(backend.Server, string, slot.Terms) {}

func (l *fakeCluster) Release(_, attemptID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reserved, attemptID)
}

func (l *fakeCluster) ReservePrefill(_ context.Context, _ time.Time, server backend.Server, p slot.Prefill) error {
	if l.onReservePrefill != nil {
		if err := l.onReservePrefill(server.ID, l.count("reservePrefill")); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued[server.ID+" "+p.AttemptID] = true
	return nil
}

func (l *fakeCluster) ReleasePrefill(serverID, attemptID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.queued, serverID+" "+attemptID)
	l.released[attemptID] = true
}

// recordReservation counts a prefill whose reservation was released before.
func (l *fakeCluster) recordReservation(attemptID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released[attemptID] {
		l.unreserved++
	}
}

func (l *fakeCluster) CachedTokens(context.Context, time.Time, string, []backend.Server, []uint64) map[string]int {
	return nil
}

func (l *fakeCluster) Candidate(id string) (placement.Candidate, bool) {
	for _, c := range l.Candidates("") {
		if c.Server.ID == id {
			return c, true
		}
	}
	return placement.Candidate{}, false
}

func (l *fakeCluster) Candidates(string) []placement.Candidate {
	var candidates []placement.Candidate
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasNoServers {
		return nil
	}
	for _, id := range []string{"decode-1", "decode-2", "decode-3"} {
		candidates = append(candidates, placement.Candidate{Server: backend.Server{ID: id, Role: backend.RoleDecode, State: backend.StateLive, Slots: 20}})
	}
	for _, id := range []string{"prefill-1", "prefill-2"} {
		if l.onlyPrefill != "" && id != l.onlyPrefill {
			continue
		}
		candidates = append(candidates, placement.Candidate{Server: backend.Server{ID: id, Role: backend.RolePrefill, State: backend.StateLive}})
	}
	return candidates
}

// removeServers makes the platform list no server.
func (l *fakeCluster) removeServers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasNoServers = true
}

func (l *fakeCluster) SetLeaving(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[id] = true
}

func (l *fakeCluster) Lookup(id string) (backend.Server, bool) { return backend.Server{ID: id}, true }

// checkAllReleased fails the test when a slot or a place in a prefill queue is
// still reserved, or when a request that was sent to a decode engine has neither finished nor been
// cancelled.
func (l *fakeCluster) checkAllReleased(t *testing.T, finished map[string]bool) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, server := range l.reserved {
		t.Errorf("slot on %s is still reserved by %s", server, id)
	}
	for place := range l.queued {
		t.Errorf("place in a prefill queue is still reserved: %s", place)
	}
	cancelled := map[string]bool{}
	for _, c := range l.cancels {
		cancelled[c.server+" "+c.id] = true
	}
	for _, s := range l.calls {
		if s.kind == "decode" && !finished[s.id] && !cancelled[s.server+" "+s.id] {
			t.Errorf("%s on %s was not cancelled", s.id, s.server)
		}
	}
}

func (fakePolicy) Plan(_ time.Time, request placement.Request, candidates []placement.Candidate) placement.Plan {
	plan := placement.Plan{Direct: request.PromptTokens <= request.DirectPrompt}
	for _, c := range candidates {
		if c.Server.Role == backend.RoleDecode {
			plan.Decode = append(plan.Decode, c.Server)
		} else {
			plan.Prefill = append(plan.Prefill, c.Server)
		}
	}
	return plan
}

func (s *fakeStream) open(ctx context.Context, offset int) *fakeStream {
	s.offset = offset
	s.closed = make(chan struct{})
	context.AfterFunc(ctx, s.Close)
	if s.gap == 0 {
		s.gap = tokenGap
	}
	return s
}

func (s *fakeStream) Next() (tokenstream.Token, error) {
	if s.offset >= s.stopAt {
		if s.ending != nil {
			return tokenstream.Token{}, s.ending
		}
		<-s.closed
		return tokenstream.Token{}, engine.ErrBroken
	}
	select {
	case <-s.closed:
		return tokenstream.Token{}, engine.ErrBroken
	case <-time.After(s.gap):
	}
	token := tokenstream.Token{Offset: s.offset, Text: fmt.Sprintf("t%d ", s.offset), Last: s.offset == responseTokens-1}
	s.offset++
	return token, nil
}

func (s *fakeStream) Pending() bool { return false }

func (s *fakeStream) Close() { s.once.Do(func() { close(s.closed) }) }

func (s *recordingSink) Flush() error { return nil }

func (s *recordingSink) Token(token tokenstream.Token) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit > 0 && len(s.at) >= s.limit {
		return io.ErrClosedPipe
	}
	s.text.WriteString(token.Text)
	s.at = append(s.at, time.Now())
	return nil
}

func request(prompt string) dispatch.ModelRequest {
	return dispatch.ModelRequest{
		ID: "request-1", Service: config.Service{Name: "catalogue", Model: "m"}, Prompt: prompt, MaxTokens: responseTokens, ArrivedAt: time.Now(),
		Profile: config.Profile{
			FirstTokenTarget: 2 * time.Second, TokenGapTarget: 29 * time.Millisecond, MaxSilentGaps: 8,
			MaxWait: 100 * time.Millisecond, DirectPrompt: 64, RetryRatio: 0.1, SlowReaderTimeout: 30 * time.Second,
		},
	}
}

// noCrashes reports no crash.
type noCrashes struct{}

func (noCrashes) Check(context.Context, time.Time, uint64) crash.Decision   { return crash.Clear }
func (noCrashes) Report(context.Context, time.Time, uint64, backend.Server) {}
func (noCrashes) ReportSuccess(context.Context, time.Time, uint64)          {}

func newCanceller(l *fakeCluster, set *metrics.Set) *dispatch.Canceller {
	return dispatch.NewCanceller(l, l, set)
}
