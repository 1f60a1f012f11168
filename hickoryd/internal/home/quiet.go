package home

import (
	"sync"
	"time"
)

// quietPeriod is the time for which a home that did not answer is not asked
// again.
const quietPeriod = 300 * time.Millisecond

// quietHomes remembers the homes that did not answer, so that not every
// request waits for them. It is safe for concurrent use.
type quietHomes struct {
	mu    sync.Mutex
	until map[string]time.Time // by home
}

// add begins a quiet period.
func (q *quietHomes) add(now time.Time, home string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.until == nil {
		q.until = map[string]time.Time{}
	}
	for name, end := range q.until {
		if now.After(end) {
			delete(q.until, name)
		}
	}
	q.until[home] = now.Add(quietPeriod)
}

// holds reports whether the home is in its quiet period.
func (q *quietHomes) holds(now time.Time, home string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Before(q.until[home])
}
