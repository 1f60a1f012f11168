package configstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	// watchWait is short, because a silent connection is only noticed when it
	// has passed.
	watchWait = 4 * time.Second
	// pollInterval is for daemons that don't watch: news reach them by
	// heartbeats, and the poll backs those up.
	pollInterval = 30 * time.Second
	pollJitter   = 10 * time.Second
	// roleInterval is the time between looks at who watches.
	roleInterval  = 500 * time.Millisecond
	retryInterval = 500 * time.Millisecond
	// failedPoll spares a platform that is down or slow.
	failedPoll = 5 * time.Second

	watcherKey = "configuration watcher"
)

// IsWatcher reports whether self is the daemon of its failure domain that
// watches the platform, by the given view of the fleet.
func IsWatcher(self member.Host, live []member.State) bool {
	names := []string{self.Name}
	for _, s := range live {
		if s.Host.FailureDomain == self.FailureDomain && !s.Draining {
			names = append(names, s.Host.Name)
		}
	}
	return rendezvous.New(names).Home(watcherKey) == self.Name
}

// follow watches the platform while this daemon is its failure domain's
// watcher, and polls it seldom otherwise.
func (s *Store) follow(ctx context.Context) {
	index := uint64(0)
	nextPoll := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		switch {
		case IsWatcher(s.fleet.Self(), s.fleet.Live(now)):
			index = s.watch(ctx, index)
			nextPoll = time.Now().Add(pollInterval)
		case !now.Before(nextPoll):
			index = 0
			nextPoll = time.Now().Add(s.poll(ctx))
		default:
			index = 0
			_ = timing.Sleep(ctx, min(roleInterval, nextPoll.Sub(now))) // the loop sees the end of ctx
		}
	}
}

// poll reads the platform once and returns the time to the next poll.
func (s *Store) poll(ctx context.Context) time.Duration {
	err := s.Refresh(ctx)
	jitter := rand.N(pollJitter)
	switch {
	case err == nil:
		return pollInterval + jitter
	case s.lastRead.Load() == 0:
		return retryInterval
	}
	return failedPoll + jitter
}

// watch waits for one change after index and returns the index to go on from;
// index 0 reads the present value.
func (s *Store) watch(ctx context.Context, index uint64) uint64 {
	value, next, err := s.kv.Watch(ctx, rootKey, index, watchWait)
	if err == nil {
		_, _, err = s.take(ctx, value)
	}
	if err != nil && !errors.Is(err, errStale) { // a newer one may come from a peer first
		_ = timing.Sleep(ctx, retryInterval) // the loop sees the end of ctx
		return 0
	}
	if next < index {
		return 0 // the platform's numbers started again
	}
	return max(next, 1)
}
