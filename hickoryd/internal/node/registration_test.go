package node_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/node"
	"github.com/hickoryfront/hickoryfront/hickoryd/platform"
)

var errPlatformDown = errors.New("down")

type (
	// leases is a platform in memory whose leases can lapse.
	leases struct {
		mu     sync.Mutex
		values map[string]platform.Value
		down   bool
		lists  int
		grants int
	}

	// view is the membership as the registration sees it.
	view struct {
		mu    sync.Mutex
		table *member.Table
	}
)

func (l *leases) List(_ context.Context, prefix string) ([]platform.Value, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errPlatformDown
	}
	l.lists++
	var found []platform.Value
	for key, value := range l.values {
		if strings.HasPrefix(key, prefix) {
			found = append(found, value)
		}
	}
	return found, nil
}

func (l *leases) Acquire(_ context.Context, key string, data []byte, lease string) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values[key] = platform.Value{Key: key, Data: data, Lease: lease}
	return true, nil
}

func (l *leases) GrantLease(context.Context, string, time.Duration) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return "", errPlatformDown
	}
	l.grants++
	return fmt.Sprintf("lease-%d", l.grants), nil
}

func (l *leases) KeepLease(_ context.Context, lease string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return errPlatformDown
	}
	for _, value := range l.values {
		if value.Lease == lease {
			return nil
		}
	}
	return platform.ErrLeaseLost
}

func (l *leases) RevokeLease(context.Context, string) error { return nil }

// lapse deletes all registrations, as the platform does after an outage.
func (l *leases) lapse(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.values)
	l.down = down
}

func (l *leases) counts() (lists, grants int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lists, l.grants
}

func (v *view) Self() member.Host { return v.table.Self(time.Now()).Host }

func (v *view) Observe(now time.Time, s member.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.Observe(now, s)
}

func (v *view) Live(now time.Time) []member.State {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Live(now)
}

func startRegistration(t *testing.T, l *leases, others int) *view {
	t.Helper()
	v := &view{table: member.NewTable(member.Host{Name: "host-0", Incarnation: 1}, 3*time.Second)}
	for i := range others {
		v.Observe(time.Now(), member.State{Host: member.Host{Name: fmt.Sprintf("other-%d", i), Incarnation: 1}})
	}
	logger := &log.Logger{Handler: json.New(io.Discard), Level: log.InfoLevel}
	registration := node.NewRegistration(l, v, 30*time.Second, logger)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go registration.Run(ctx)
	return v
}

// TestLapseInAnOutageProvesNothing lets all leases lapse while the platform is
// down: nobody is given up, and the lease is taken again afterwards.
//
// proof: platform down + lease lapsed | reserve | 1
func TestLapseInAnOutageProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leases{values: map[string]platform.Value{}}
		v := startRegistration(t, l, 6)
		time.Sleep(time.Minute)
		l.lapse(true)
		time.Sleep(10 * time.Minute)
		if got := len(v.Live(time.Now())); got != 7 {
			t.Errorf("%d hosts are alive in the outage, want 7", got)
		}
		l.lapse(false)
		time.Sleep(time.Minute)
		if _, grants := l.counts(); grants != 2 || len(v.Live(time.Now())) != 7 {
			t.Errorf("%d leases were granted and %d hosts are alive, want 2 and 7", grants, len(v.Live(time.Now())))
		}
	})
}

// TestListsDoNotGrowWithTheFleet checks that reads of all hosts stay below a
// bound that does not depend on their number.
func TestListsDoNotGrowWithTheFleet(t *testing.T) {
	const maxReads = 2 // each second, by the whole fleet
	for _, size := range []int{7, 40, 360} {
		t.Run(fmt.Sprintf("%d hosts", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &leases{values: map[string]platform.Value{}}
				startRegistration(t, l, size-1)
				const period = time.Hour
				time.Sleep(period)
				lists, _ := l.counts()
				if rate := float64(lists*size) / period.Seconds(); rate > maxReads {
					t.Errorf("%.2f reads/s by the whole fleet", rate)
				}
			})
		})
	}
}
