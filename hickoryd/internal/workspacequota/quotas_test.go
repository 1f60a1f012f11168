package workspacequota_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/identity"
	"github.com/hickoryfront/hickoryfront/core/quota"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/workspacequota"
)

type (
	hostList []netip.AddrPort

	// homes are other hosts that grant units.
	homes struct {
		respond  func(ctx context.Context, call int) (quota.Answer, error)
		returned chan float64

		mu    sync.Mutex
		calls int
	}
)

var (
	self      = netip.MustParseAddrPort("127.0.0.1:1")
	others    = hostList{netip.MustParseAddrPort("127.0.0.2:1"), netip.MustParseAddrPort("127.0.0.3:1"), netip.MustParseAddrPort("127.0.0.4:1")}
	workspace = &identity.Workspace{Name: "w", Quota: quota.Limit{Rate: 8000, Burst: 8000}}
	bounds    = quota.Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 140_000}

	errSilent = errors.New("no response")
)

func (h hostList) Hosts() []netip.AddrPort { return h }

func (h hostList) AreHostsSettled() bool    { return true }
func (h hostList) IsHostListComplete() bool { return true }

func (h *homes) AcquireQuota(ctx context.Context, _ netip.AddrPort, _ quota.Ask) (quota.Answer, error) {
	h.mu.Lock()
	h.calls++
	call := h.calls
	h.mu.Unlock()
	return h.respond(ctx, call)
}

func (h *homes) ReturnQuota(_ context.Context, _ netip.AddrPort, _ string, units float64) error {
	h.returned <- units
	return nil
}

// newQuotas returns the quotas of a host that has run for a minute.
func newQuotas(t *testing.T, hosts hostList, b quota.Bounds, h *homes) *workspacequota.Quotas {
	logger := &log.Logger{Handler: discard.New(), Level: log.DebugLevel}
	options := workspacequota.Options{Self: self, Bounds: b, IsFirstStart: true}
	return workspacequota.New(t.Context(), time.Now().Add(-time.Minute), options, hosts, h, logger, metrics.NewSet())
}

func granted(context.Context, int) (quota.Answer, error) { return quota.Answer{Granted: 100}, nil }

func denied(context.Context, int) (quota.Answer, error) {
	return quota.Answer{Wait: time.Minute}, nil
}

func silent(context.Context, int) (quota.Answer, error) { return quota.Answer{}, errSilent }

func hanging(ctx context.Context, _ int) (quota.Answer, error) {
	<-ctx.Done()
	return quota.Answer{}, ctx.Err()
}

func firstThen(first, then func(context.Context, int) (quota.Answer, error)) func(context.Context, int) (quota.Answer, error) {
	return func(ctx context.Context, call int) (quota.Answer, error) {
		if call == 1 {
			return first(ctx, call)
		}
		return then(ctx, call)
	}
}

// TestAdmit guards against requests that are refused because of one home, that are admitted
// without units, or that wait for homes which did not answer a moment ago. Each case admits the
// same request twice.
func TestAdmit(t *testing.T) {
	unlimited := &identity.Workspace{Name: "w"}
	tests := []struct {
		name      string
		respond   func(context.Context, int) (quota.Answer, error)
		workspace *identity.Workspace
		bounds    quota.Bounds
		// statuses are those of the two responses, 0 if the request is admitted, and calls the
		// number of calls to homes.
		statuses [2]int
		calls    int
	}{
		{name: "granted", respond: granted, calls: 2},
		{name: "no workspace", respond: denied, workspace: &identity.Workspace{}},
		{name: "no limit", respond: denied, workspace: unlimited},
		{name: "one home refuses", respond: firstThen(denied, granted), calls: 3},
		{name: "one home does not respond", respond: firstThen(silent, granted), calls: 3},
		{name: "one home hangs", respond: firstThen(hanging, granted), calls: 3},
		{name: "all refuse, which is known for the second request", respond: denied, statuses: [2]int{429, 429}, calls: 3},
		{name: "one home does not respond, the others refuse", respond: firstThen(silent, denied), statuses: [2]int{429, 429}, calls: 3},
		{name: "none responds, without bounds", respond: silent, statuses: [2]int{503, 503}, calls: 3},
		{name: "all hang, within the allowance", respond: hanging, bounds: bounds, calls: 3},
		{name: "none is a home", respond: func(context.Context, int) (quota.Answer, error) { return quota.Answer{}, quota.ErrNoHome }, bounds: bounds, calls: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &homes{respond: tt.respond}
			q := newQuotas(t, others, tt.bounds, h)
			w := tt.workspace
			if w == nil {
				w = workspace
			}
			for i, want := range tt.statuses {
				giveBack, refusal := q.Admit(t.Context(), w, 1, 100)
				switch {
				case want == 0 && (refusal != nil || giveBack == nil):
					t.Errorf("request %d refused: %+v", i, refusal)
				case want != 0 && (refusal == nil || refusal.Status != want || refusal.RetryAfter < 200*time.Millisecond):
					t.Errorf("request %d: refusal %+v, want status %d", i, refusal, want)
				}
			}
			if h.calls != tt.calls {
				t.Errorf("%d calls, want %d", h.calls, tt.calls)
			}
		})
	}
}

// TestAllowanceEnds guards against a host without homes that admits more than its part.
func TestAllowanceEnds(t *testing.T) {
	q := newQuotas(t, others, bounds, &homes{respond: silent})
	admitted := 0.0
	for range 100 {
		if _, refusal := q.Admit(t.Context(), workspace, 1, 1000); refusal == nil {
			admitted += 1000
		}
	}
	if most := (0.1*(8000*8+8000) + 140_000) / 3; admitted == 0 || admitted > most {
		t.Errorf("%v units admitted, allowed %v", admitted, most)
	}
}

// unsettledList is the list of a host that has read it only once.
type unsettledList struct{ hostList }

func (unsettledList) AreHostsSettled() bool    { return false }
func (unsettledList) IsHostListComplete() bool { return false }

// TestUnsettledList guards against a host that takes the parts of hosts which have not registered
// again yet, as after a loss of power that has ended all registrations.
func TestUnsettledList(t *testing.T) {
	logger := &log.Logger{Handler: discard.New(), Level: log.DebugLevel}
	options := workspacequota.Options{Self: self, Bounds: bounds}
	q := workspacequota.New(t.Context(), time.Now(), options, unsettledList{hostList{self}}, &homes{respond: silent}, logger, metrics.NewSet())
	if _, refusal := q.Admit(t.Context(), workspace, 1, 100); refusal == nil || refusal.Status != http.StatusServiceUnavailable {
		t.Errorf("refusal %+v, want status 503", refusal)
	}
}

// TestCallerLeaves guards against a home that is taken for silent because a caller has left.
func TestCallerLeaves(t *testing.T) {
	h := &homes{respond: firstThen(hanging, granted)}
	q := newQuotas(t, others, quota.Bounds{}, h)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, refusal := q.Admit(ctx, workspace, 1, 100); refusal == nil {
		t.Error("request of a caller that has left was admitted")
	}
	h.respond = silent // all three homes are still asked
	if _, refusal := q.Admit(t.Context(), workspace, 1, 100); refusal == nil || refusal.Status != http.StatusServiceUnavailable || h.calls != 4 {
		t.Errorf("refusal %+v after %d calls", refusal, h.calls)
	}
}

// TestUnitsAreReturned guards against units of requests that have not run which are lost.
func TestUnitsAreReturned(t *testing.T) {
	h := &homes{respond: granted, returned: make(chan float64, 1)}
	giveBack, refusal := newQuotas(t, others, quota.Bounds{}, h).Admit(t.Context(), workspace, 1, 100)
	if refusal != nil {
		t.Fatal(refusal)
	}
	giveBack()
	if units := <-h.returned; units != 100 {
		t.Errorf("%v units returned", units)
	}
}

// TestOwnHostIsHome guards against calls to other hosts for a workspace that this host can
// grant itself, and against a host that grants while an earlier home does.
func TestOwnHostIsHome(t *testing.T) {
	h := &homes{respond: silent}
	q := newQuotas(t, hostList{self}, quota.Bounds{}, h)
	ask := quota.Ask{Workspace: "w", Version: 1, Limit: workspace.Quota, Units: 100}
	if _, err := q.GrantQuota(time.Now(), ask); !errors.Is(err, quota.ErrNoHome) {
		t.Errorf("error %v before it was confirmed that no earlier home grants", err)
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		giveBack, refusal := q.Admit(t.Context(), workspace, 1, 100)
		if refusal == nil {
			giveBack()
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("refused: %+v", refusal)
		}
	}
	if h.calls != 0 {
		t.Errorf("%d calls to other hosts", h.calls)
	}
}
