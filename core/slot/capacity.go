package slot

import (
	"math"
	"time"
)

const (
	// headroomTime is the time within which arriving interactive requests must
	// find a slot.
	headroomTime = 250 * time.Millisecond
	// headroomDeviations is the number of standard deviations of the interactive
	// arrivals in headroomTime for which deferrable requests leave slots free.
	headroomDeviations = 2
	// minExpectedArrivals is the number of interactive arrivals expected in
	// headroomTime below which no slot is left free.
	minExpectedArrivals = 0.01
	// maxOvertakes is the number of interactive grants after which an aged
	// deferrable request may use the headroom.
	maxOvertakes = 16
	// rateWindow is the time over which rates are averaged.
	rateWindow = 5 * time.Second
)

// eventRate measures the rate of events as an exponential moving average.
type eventRate struct {
	rate      float64 // per second
	updatedAt time.Time
}

// SetBatchLimit limits the number of requests that a server runs at once, so
// that its token gap stays within the target. Zero or less removes the limit.
func (l *Ledger) SetBatchLimit(serverID string, limit int) {
	if s, ok := l.servers[serverID]; ok {
		s.batchLimit = max(0, limit)
	}
}

// capacity returns the number of requests that the server may run at once.
func (s *serverSlots) capacity() int {
	if s.batchLimit == 0 {
		return s.server.Slots
	}
	return min(s.batchLimit, s.server.Slots)
}

// free returns the number of slots that are available to a reservation.
func (s *serverSlots) free(now time.Time, r Reservation) int {
	capacity := s.capacity()
	free := capacity - s.used() + s.predictedReleases(now, r)
	if r.Deferrable && !s.mayUseHeadroom(r) {
		free -= s.headroom(now)
	}
	return free
}

// mayUseHeadroom reports whether a deferrable request has aged and enough
// interactive requests have overtaken such requests. It prevents starvation.
func (s *serverSlots) mayUseHeadroom(r Reservation) bool {
	return r.Aged && s.overtakes >= maxOvertakes
}

func (s *serverSlots) recordGrant(now time.Time, r Reservation) {
	switch {
	case !r.Deferrable:
		s.interactiveGrants.add(now)
		s.overtakes++
	case r.Aged:
		s.overtakes = 0
	}
}

// headroom returns the number of slots that deferrable requests leave free, by
// the square-root staffing rule for random arrivals.
func (s *serverSlots) headroom(now time.Time) int {
	expected := s.interactiveGrants.perSecond(now) * headroomTime.Seconds()
	if expected < minExpectedArrivals {
		return 0
	}
	return int(math.Ceil(headroomDeviations * math.Sqrt(expected)))
}

// predictedReleases returns the number of slots that a reservation may count on
// to become free before its request needs one.
func (s *serverSlots) predictedReleases(now time.Time, r Reservation) int {
	return int(s.releases.perSecond(now) * r.Lead.Seconds() * r.Overcommit)
}

func (e *eventRate) add(now time.Time) {
	e.rate = e.perSecond(now) + 1/rateWindow.Seconds()
	e.updatedAt = now
}

func (e *eventRate) perSecond(now time.Time) float64 {
	if e.updatedAt.IsZero() {
		return 0
	}
	return e.rate * math.Exp(-now.Sub(e.updatedAt).Seconds()/rateWindow.Seconds())
}
