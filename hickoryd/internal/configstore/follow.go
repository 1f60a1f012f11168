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
	// watchWait is short, because a connection that has become silent is detected only
	// when the wait has passed.
	watchWait = 4 * time.Second
	// pollInterval applies to daemons that don't watch. Heartbeats announce new
	// revisions to them; the poll is the fallback.
	pollInterval = 30 * time.Second
	pollJitter   = 10 * time.Second
	// roleInterval is the time between checks of which daemon is the watcher.
	roleInterval  = 500 * time.Millisecond
	retryInterval = 500 * time.Millisecond
	// failedPollInterval is longer than retryInterval to reduce the load on a platform
	// that is down or slow.
	failedPollInterval = 5 * time.Second

	watcherKey = "configuration watcher"
)

// IsWatcher reports whether, according to the given live hosts, self is the daemon of
// its failure domain that watches the platform.
func IsWatcher(self member.Host, live []member.State) bool {
	names := []string{self.Name}
	for _, s := range live {
		if s.Host.FailureDomain == self.FailureDomain && !s.Draining {
			names = append(names, s.Host.Name)
		}
	}
	return rendezvous.New(names).Home(watcherKey) == self.Name
}

// follow watches the platform while this daemon is the watcher of its failure domain,
// and polls the platform at long intervals otherwise.
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
			_ = timing.Sleep(ctx, min(roleInterval, nextPoll.Sub(now))) // the loop checks ctx
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
	return failedPollInterval + jitter
}

// watch waits for one change after index and returns the index for the next call.
// Index 0 reads the present value.
func (s *Store) watch(ctx context.Context, index uint64) uint64 {
	value, next, err := s.kv.Watch(ctx, rootKey, index, watchWait)
	if err == nil {
		_, _, err = s.applyRoot(ctx, value)
	}
	if err != nil && !errors.Is(err, errStale) { // a peer may have sent a newer revision first
		_ = timing.Sleep(ctx, retryInterval) // the loop checks ctx
		return 0
	}
	if next < index {
		return 0 // the platform's indexes have been reset
	}
	return max(next, 1)
}
