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
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/node"
)

var errPlatformDown = errors.New("down")

type (
	// fakeLeases is an in-memory platform whose leases can expire.
	fakeLeases struct {
		mu     sync.Mutex
		values map[string]consul.Value
		down   bool
		lists  int
		grants int
	}

	// membership guards a member.Table with a mutex and implements node.Observer.
	membership struct {
		mu    sync.Mutex
		table *member.Table
	}
)

func (l *fakeLeases) List(_ context.Context, prefix string) ([]consul.Value, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errPlatformDown
	}
	l.lists++
	var found []consul.Value
	for key, value := range l.values {
		if strings.HasPrefix(key, prefix) {
			found = append(found, value)
		}
	}
	return found, nil
}

func (l *fakeLeases) Acquire(_ context.Context, key string, data []byte, lease string) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values[key] = consul.Value{Key: key, Data: data, Lease: lease}
	return true, nil
}

func (l *fakeLeases) GrantLease(context.Context, string, time.Duration) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return "", errPlatformDown
	}
	l.grants++
	return fmt.Sprintf("lease-%d", l.grants), nil
}

func (l *fakeLeases) KeepLease(_ context.Context, lease string) error {
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
	return consul.ErrLeaseExpired
}

func (l *fakeLeases) RevokeLease(context.Context, string) error { return nil }

// expireAll deletes all registrations, as the platform does after an outage, and
// sets whether the platform is down.
func (l *fakeLeases) expireAll(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.values)
	l.down = down
}

func (l *fakeLeases) counts() (lists, grants int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lists, l.grants
}

func (v *membership) Self() member.Host { return v.table.Self(time.Now()).Host }

func (v *membership) Observe(now time.Time, s member.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.Observe(now, s)
}

func (v *membership) Live(now time.Time) []member.State {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Live(now)
}

func startRegistration(t *testing.T, l *fakeLeases, others int) *membership {
	t.Helper()
	v := &membership{table: member.NewTable(member.Host{Name: "host-0", Incarnation: 1}, 3*time.Second)}
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

// TestOutageKeepsHostsWithExpiredLeases guards against hosts that are dropped from the
// membership because their leases expired while the platform was down. It also
// checks that the daemon registers again after the outage.
//
// proof: platform down + lease lapsed | reserve | 1
func TestOutageKeepsHostsWithExpiredLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLeases{values: map[string]consul.Value{}}
		v := startRegistration(t, l, 6)
		time.Sleep(time.Minute)
		l.expireAll(true)
		time.Sleep(10 * time.Minute)
		if got := len(v.Live(time.Now())); got != 7 {
			t.Errorf("%d hosts are alive in the outage, want 7", got)
		}
		l.expireAll(false)
		time.Sleep(time.Minute)
		if _, grants := l.counts(); grants != 2 || len(v.Live(time.Now())) != 7 {
			t.Errorf("%d leases were granted and %d hosts are alive, want 2 and 7", grants, len(v.Live(time.Now())))
		}
	})
}

// TestListReadsDoNotGrowWithTheFleet guards against list reads that overload the
// platform in a large fleet: the rate at which all hosts together read the list
// stays below a bound that does not depend on the number of hosts.
func TestListReadsDoNotGrowWithTheFleet(t *testing.T) {
	const maxReadsPerSecond = 2 // by all hosts together
	for _, size := range []int{7, 40, 360} {
		t.Run(fmt.Sprintf("%d hosts", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &fakeLeases{values: map[string]consul.Value{}}
				startRegistration(t, l, size-1)
				const period = time.Hour
				time.Sleep(period)
				lists, _ := l.counts()
				if rate := float64(lists*size) / period.Seconds(); rate > maxReadsPerSecond {
					t.Errorf("%.2f reads/s by all hosts together", rate)
				}
			})
		})
	}
}
