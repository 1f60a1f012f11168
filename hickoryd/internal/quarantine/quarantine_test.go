package quarantine_test

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
	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/quarantine"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	service = "model"
	// testTimeout ends a wait whose condition never becomes true. It is no bound on
	// speed.
	testTimeout = 20 * time.Second
)

// peers are fake hosts that have seen servers begin to answer the parts in ages.
type peers struct {
	ages map[string]time.Duration

	mu       sync.Mutex
	losses   int
	refusals []crash.PartRefusal
	lifted   []crash.PartRefusal
}

func (p *peers) ReportPartLoss(context.Context, crash.PartLoss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses++
}

func (p *peers) ReportRefusal(_ context.Context, refusal crash.PartRefusal, isLifted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isLifted {
		p.lifted = append(p.lifted, refusal)
	} else {
		p.refusals = append(p.refusals, refusal)
	}
}

func (p *peers) FindStarts(context.Context, string, []string) map[string]time.Duration {
	return p.ages
}

func (p *peers) reported() (losses int, refusals, lifted []crash.PartRefusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.losses, p.refusals, p.lifted
}

// registry is a store that does not respond.
type registry struct {
	isUnreachable bool
}

func (r registry) IsStoreUnreachable() bool { return r.isUnreachable }

func (registry) FollowedRefusals() (uint64, <-chan struct{}, bool) { return 0, nil, false }

func (registry) HostCount() int { return 0 }

func (registry) NotifyRefusals() {}

func (registry) AwaitRole(context.Context, time.Duration) {}

func (registry) IsFirstStart() bool { return false }

func (registry) List(context.Context, string) ([]platform.Item, serverlist.Position, error) {
	return nil, serverlist.Position{}, errors.New("no store")
}

func newQuarantine(t *testing.T, p *peers, isStoreUnreachable bool) *quarantine.Quarantine {
	store := platform.NewStore(http.DefaultClient, netip.MustParseAddrPort("127.0.0.1:1"))
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	return quarantine.New(t.Context(), store, p, registry{isStoreUnreachable}, logger, metrics.NewSet())
}

func loss(server string, parts ...string) crash.PartLoss {
	return crash.PartLoss{Service: service, Parts: parts, RequestID: "r-" + server, Server: server}
}

// The hosts together must have seen enough failures, wherever these happened, and no host
// may have seen that servers can answer the parts.
func TestDecision(t *testing.T) {
	tests := []struct {
		name     string
		reported []crash.PartLoss // by other hosts
		own      []crash.PartLoss
		ages     map[string]time.Duration
		want     []string
	}{
		{name: "own losses", own: []crash.PartLoss{loss("a", "p", "x"), loss("b", "p", "x"), loss("c", "p", "x")}, want: []string{"p", "x"}},
		{name: "losses of other hosts", reported: []crash.PartLoss{loss("a", "p", "x"), loss("b", "p", "x")}, own: []crash.PartLoss{loss("c", "p", "x")}, want: []string{"p", "x"}},
		{name: "only losses of other hosts", reported: []crash.PartLoss{loss("a", "x"), loss("b", "x"), loss("c", "x")}},
		{
			name: "another host has seen a start of one part",
			own:  []crash.PartLoss{loss("a", "p", "x"), loss("b", "p", "x"), loss("c", "p", "x")},
			ages: map[string]time.Duration{"p": time.Minute}, want: []string{"x"},
		},
		{
			name: "another host has seen starts of all parts",
			own:  []crash.PartLoss{loss("a", "p", "x"), loss("b", "p", "x"), loss("c", "p", "x")},
			ages: map[string]time.Duration{"p": time.Minute, "x": 0},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &peers{ages: tt.ages}
			q := newQuarantine(t, p, false)
			for _, l := range tt.reported {
				q.ReportPartLoss(time.Now(), l)
			}
			for _, l := range tt.own {
				q.RecordLoss(t.Context(), time.Now(), l)
			}
			losses, refusals, _ := p.reported()
			if losses != len(tt.own) {
				t.Errorf("%d losses reported to other hosts, want %d", losses, len(tt.own))
			}
			var got []string
			for _, refusal := range refusals {
				got = append(got, refusal.Parts...)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("refused parts reported to other hosts (-want +got):\n%s", diff)
			}
			if _, isRefused := q.Check(time.Now(), service, []string{"p", "x"}); isRefused != (tt.want != nil) {
				t.Errorf("refused: %t, want %t", isRefused, tt.want != nil)
			}
		})
	}
}

// While no host can write its losses to the store, each host decides on those that have
// been reported to it.
func TestDecisionWithoutStore(t *testing.T) {
	q := newQuarantine(t, &peers{}, true)
	for _, server := range []string{"a", "b", "c"} {
		q.ReportPartLoss(time.Now(), loss(server, "x"))
	}
	await(t, "the part is refused", func() bool {
		_, isRefused := q.Check(time.Now(), service, []string{"x"})
		return isRefused
	})
}

// A refusal that a running request refutes must end on all hosts.
func TestStartLiftsRefusal(t *testing.T) {
	p := &peers{}
	q := newQuarantine(t, p, false)
	q.ReportRefusal(time.Now(), crash.PartRefusal{Service: service, Parts: []string{"x"}, Duration: time.Minute}, false)
	if _, isRefused := q.Check(time.Now(), service, []string{"x"}); !isRefused {
		t.Fatal("another host's refusal is not in force")
	}
	q.RecordStart(time.Now(), service, []string{"x"})
	if _, isRefused := q.Check(time.Now(), service, []string{"x"}); isRefused {
		t.Error("refused after a server has begun to answer")
	}
	await(t, "the other hosts have ended the refusal", func() bool {
		_, _, lifted := p.reported()
		return len(lifted) == 1
	})
	if ages := q.FindStarts(time.Now(), service, []string{"x", "y"}); len(ages) != 1 || ages["x"] < 0 {
		t.Errorf("starts %v, want one of x", ages)
	}
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
