package slot

import (
	"math"
	"time"
)

const (
	// headroomTime is the time within which arriving interactive requests must
	// find a slot.
	headroomTime = 250 * time.Millisecond
	// headroomDeviations is the number of standard deviations of their arrivals
	// in that time that deferrable requests leave room for.
	headroomDeviations = 2
	// minExpected is the number of arrivals in that time below which no slot is
	// left free.
	minExpected = 0.01
	// agedTurn is the number of interactive grants after which an aged request
	// may use the headroom.
	agedTurn = 16
	// rateWindow is the time over which rates are averaged.
	rateWindow = 5 * time.Second
)

// eventRate measures how often something happens, as an exponential average.
type eventRate struct {
	rate float64 // per second
	at   time.Time
}

// SetBatchLimit bounds the requests of a server to what keeps its token gap in
// target. Zero or less lifts the bound.
func (l *Ledger) SetBatchLimit(serverID string, limit int) {
	if a, ok := l.servers[serverID]; ok {
		a.limit = max(0, limit)
	}
}

// capacity is the number of requests that the server may run at once.
func (a *account) capacity() int {
	if a.limit == 0 {
		return a.server.Slots
	}
	return min(a.limit, a.server.Slots)
}

// room is the number of slots that a reservation may choose from.
func (a *account) room(now time.Time, r Reservation) int {
	capacity := a.capacity()
	room := capacity - a.used() + a.predictedFree(now, r)
	if r.Deferrable && !a.isTurnOf(r) {
		room -= a.headroom(now)
	}
	return room
}

// isTurnOf reports whether an aged request may use the headroom: it is never
// overtaken for ever.
func (a *account) isTurnOf(r Reservation) bool {
	return r.Aged && a.overtaken >= agedTurn
}

func (a *account) noteGrant(now time.Time, r Reservation) {
	switch {
	case !r.Deferrable:
		a.interactive.add(now)
		a.overtaken++
	case r.Aged:
		a.overtaken = 0
	}
}

// headroom is the number of slots that deferrable requests leave free, by the
// square-root rule for random arrivals.
func (a *account) headroom(now time.Time) int {
	expected := a.interactive.perSecond(now) * headroomTime.Seconds()
	if expected < minExpected {
		return 0
	}
	return int(math.Ceil(headroomDeviations * math.Sqrt(expected)))
}

// predictedFree is the number of slots that a reservation may count on to
// become free before it needs one.
func (a *account) predictedFree(now time.Time, r Reservation) int {
	return int(a.released.perSecond(now) * r.Lead.Seconds() * r.Overcommit)
}

func (d *eventRate) add(now time.Time) {
	d.rate = d.perSecond(now) + 1/rateWindow.Seconds()
	d.at = now
}

func (d *eventRate) perSecond(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/rateWindow.Seconds())
}
