package prefillqueue_test

import (
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/prefillqueue"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

var (
	start   = time.Unix(1000, 0)
	servers = []serverlist.Server{{ID: "a", FailureDomain: "x"}, {ID: "b", FailureDomain: "y"}}
)

// TestPick checks that a prompt goes to the server with the shortest expected
// wait. A pick that ignores this host's queue, other hosts' load or a refusal
// makes the prompt wait behind others.
func TestPick(t *testing.T) {
	tests := []struct {
		name    string
		arrange func(e *prefillqueue.Estimator)
		want    string
	}{
		{name: "own failure domain when both are idle", arrange: func(*prefillqueue.Estimator) {}, want: "a"},
		{name: "the other server while a long prompt is prefilled", arrange: func(e *prefillqueue.Estimator) { e.Enqueue(start, "a", 6000) }, want: "b"},
		{
			name: "the other server after a wait behind other hosts' prompts",
			arrange: func(e *prefillqueue.Estimator) {
				e.Complete(start, e.Enqueue(start.Add(-400*time.Millisecond), "a", 3000))
			},
			want: "b",
		},
		{
			name: "an observed wait decays",
			arrange: func(e *prefillqueue.Estimator) {
				e.Complete(start.Add(-4*time.Second), e.Enqueue(start.Add(-4400*time.Millisecond), "a", 3000))
			},
			want: "a",
		},
		{
			name:    "the other server after a refusal",
			arrange: func(e *prefillqueue.Estimator) { e.Fail(start, e.Enqueue(start, "a", 3000), true) },
			want:    "b",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := prefillqueue.NewEstimator()
			tt.arrange(e)
			got, _, ok := e.Pick(start, servers, "x")
			if !ok || got.ID != tt.want {
				t.Errorf("picked %q, want %q", got.ID, tt.want)
			}
		})
	}
}

func TestPickWithoutServers(t *testing.T) {
	if _, _, ok := prefillqueue.NewEstimator().Pick(start, nil, "x"); ok {
		t.Error("picked a server from an empty list")
	}
}

// TestOwnQueueIsNotCountedAsOtherHostsLoad completes two prompts, of which the second
// waited behind the first, both of this host. If that wait were counted as
// other hosts' load, the server would still seem busy when its queue is empty.
func TestOwnQueueIsNotCountedAsOtherHostsLoad(t *testing.T) {
	e := prefillqueue.NewEstimator()
	first := e.Enqueue(start, "a", 3000)
	second := e.Enqueue(start, "a", 3000)
	e.Complete(start.Add(100*time.Millisecond), first)
	e.Complete(start.Add(200*time.Millisecond), second)
	_, wait, _ := e.Pick(start.Add(200*time.Millisecond), servers[:1], "x")
	if wait > 5*time.Millisecond {
		t.Errorf("expected wait %v at an idle server, want at most 5ms", wait)
	}
}
