package edgehost_test

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlimit"
)

// transferTime is the time that a call to another host may take in a test.
const transferTime = 5 * time.Second

// isSameLimit reports whether two statements are equal up to the time that a call takes.
func isSameLimit(a, b serverlimit.Statement) bool {
	isNear := func(a, b time.Time) bool {
		return a.IsZero() == b.IsZero() && math.Abs(a.Sub(b).Seconds()) < transferTime.Seconds()
	}
	return a.Server == b.Server && a.ServerStarted.Equal(b.ServerStarted) && a.IsLimited == b.IsLimited && a.Rate == b.Rate &&
		isNear(a.At, b.At) && isNear(a.Since, b.Since)
}

func TestReportLimit(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name      string
		statement serverlimit.Statement
	}{
		{name: "limit", statement: serverlimit.Statement{Server: "s1", ServerStarted: time.UnixMilli(1_700_000_000_123), IsLimited: true, Rate: 1.9, At: now.Add(-time.Minute), Since: now.Add(-time.Hour)}},
		{name: "no limit any more", statement: serverlimit.Statement{Server: "s1", At: now.Add(-time.Minute)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, client := newPair(t)
			client.ReportLimit(context.Background(), nil, tt.statement)
			<-h.reported
			if !isSameLimit(h.limits[0], tt.statement) {
				t.Errorf("reported %+v, want %+v", h.limits[0], tt.statement)
			}
		})
	}
}

func TestAcquirePermit(t *testing.T) {
	now := time.Now()
	limit := serverlimit.Statement{Server: "s1", IsLimited: true, Rate: 1.9, At: now, Since: now.Add(-time.Hour)}
	newest := limit
	newest.Rate = 4
	tests := []struct {
		name   string
		permit serverlimit.Permit
	}{
		{name: "granted", permit: serverlimit.Permit{IsGranted: true, Newest: newest}},
		{name: "denied", permit: serverlimit.Permit{Wait: 1200 * time.Millisecond, Newest: newest}},
		{name: "the limit has ended", permit: serverlimit.Permit{IsGranted: true, Newest: serverlimit.Statement{Server: "s1", At: now}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &host{reported: make(chan struct{}, 10), permit: tt.permit}
			address := serve(t, h, nil)
			got, err := newClient(t).AcquirePermit(t.Context(), address, limit)
			if err != nil {
				t.Fatal(err)
			}
			if got.IsGranted != tt.permit.IsGranted || got.Wait != tt.permit.Wait || !isSameLimit(got.Newest, tt.permit.Newest) {
				t.Errorf("permit %+v, want %+v", got, tt.permit)
			}
			if !isSameLimit(h.limits[0], limit) {
				t.Errorf("the home received %+v, want %+v", h.limits[0], limit)
			}
		})
	}
}
