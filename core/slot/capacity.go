package slot

import (
	"math"
	"time"
)

const (
	// headroomShare is the share of a server's slots that deferrable requests
	// leave free for interactive ones.
	headroomShare = 0.05
	// departureWindow is the time over which departures are averaged.
	departureWindow = 5 * time.Second
)

// departures measures how often slots become free, as an exponential average.
type departures struct {
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
	if r.Deferrable {
		room -= int(math.Ceil(float64(capacity) * headroomShare))
	}
	return room
}

// predictedFree is the number of slots that a reservation may count on to
// become free before it needs one.
func (a *account) predictedFree(now time.Time, r Reservation) int {
	return int(a.released.perSecond(now) * r.Lead.Seconds() * r.Overcommit)
}

func (d *departures) add(now time.Time) {
	d.rate = d.perSecond(now) + 1/departureWindow.Seconds()
	d.at = now
}

func (d *departures) perSecond(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/departureWindow.Seconds())
}
