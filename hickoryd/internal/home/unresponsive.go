package home

import (
	"sync"
	"time"
)

// unresponsivePeriod is the time for which no further request is sent to a home
// that did not respond.
const unresponsivePeriod = 300 * time.Millisecond

// unresponsiveHomes holds the homes that recently did not respond, so that not
// every request waits for their timeout. It is safe for concurrent use.
type unresponsiveHomes struct {
	mu    sync.Mutex
	until map[string]time.Time // by home
}

// add marks a home as unresponsive for unresponsivePeriod.
func (u *unresponsiveHomes) add(now time.Time, home string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.until == nil {
		u.until = map[string]time.Time{}
	}
	for name, end := range u.until {
		if now.After(end) {
			delete(u.until, name)
		}
	}
	u.until[home] = now.Add(unresponsivePeriod)
}

// contains reports whether the home is marked as unresponsive.
func (u *unresponsiveHomes) contains(now time.Time, home string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.until[home])
}
