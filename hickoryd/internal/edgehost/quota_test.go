package edgehost_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/quota"
)

// quotaHome is a home that records what it is asked.
type quotaHome struct {
	answer    quota.Answer
	err       error
	ask       quota.Ask
	workspace string
	units     float64
}

func (q *quotaHome) GrantQuota(_ time.Time, ask quota.Ask) (quota.Answer, error) {
	q.ask = ask
	return q.answer, q.err
}

func (q *quotaHome) ReturnQuota(_ time.Time, workspace string, units float64) {
	q.workspace, q.units = workspace, units
}

// TestAcquireQuota guards against fields that are lost between hosts, and against a host that
// takes a home of a previous build, or one that does not grant, for one that is down.
func TestAcquireQuota(t *testing.T) {
	ask := quota.Ask{Workspace: "w", Version: 7, Limit: quota.Limit{Rate: 8000, Burst: 4000}, Units: 3300, Ahead: 100}
	tests := []struct {
		name string
		home *quotaHome
		want quota.Answer
		err  error
	}{
		{name: "granted", home: &quotaHome{answer: quota.Answer{Granted: 3350}}, want: quota.Answer{Granted: 3350}},
		{name: "denied, with the wait rounded up", home: &quotaHome{answer: quota.Answer{Wait: 1500 * time.Microsecond}}, want: quota.Answer{Wait: 2 * time.Millisecond}},
		{name: "no home", home: &quotaHome{err: quota.ErrNoHome}, err: quota.ErrNoHome},
		{name: "previous build", err: quota.ErrNoHome},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &host{reported: make(chan struct{}, 10)}
			if tt.home != nil {
				h.quotas = tt.home
			}
			client, address := newClient(t), serve(t, h, nil)
			got, err := client.AcquireQuota(t.Context(), address, ask)
			if got != tt.want || !errors.Is(err, tt.err) {
				t.Fatalf("answer %+v, error %v", got, err)
			}
			if tt.home == nil {
				return
			}
			if diff := cmp.Diff(ask, tt.home.ask); diff != "" {
				t.Errorf("ask (-want +got):\n%s", diff)
			}
			if err := client.ReturnQuota(t.Context(), address, "w", 12); err != nil || tt.home.workspace != "w" || tt.home.units != 12 {
				t.Errorf("returned %v units of %q, error %v", tt.home.units, tt.home.workspace, err)
			}
		})
	}
}
