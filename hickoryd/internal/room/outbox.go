package room

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/core/room"
)

const (
	// batchPeriod is the least time between two reports to a home, unless batchSize ended
	// requests wait for the report.
	batchPeriod = 50 * time.Millisecond
	batchSize   = 16
	// reportTimeout limits a report to a home.
	reportTimeout = time.Second
)

// outbox holds the reports of ended requests to one home.
type outbox struct {
	rooms *Rooms
	home  netip.AddrPort

	mu      sync.Mutex
	pending map[room.Pool][]room.Released
	count   int
	sentAt  time.Time
	// isScheduled is set while run is about to send what is pending.
	isScheduled bool
}

// add adds a report at now. It is sent at once if none was sent within batchPeriod.
func (o *outbox) add(now time.Time, pool room.Pool, released room.Released) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending == nil {
		o.pending = make(map[room.Pool][]room.Released)
	}
	o.pending[pool] = append(o.pending[pool], released)
	o.count++
	wait := batchPeriod - now.Sub(o.sentAt)
	switch {
	case wait <= 0 || o.count >= batchSize:
		o.sentAt = now
		go o.run()
	case !o.isScheduled:
		o.isScheduled = true
		time.AfterFunc(wait, o.run)
	}
}

// run sends what is pending. A report that doesn't arrive is not repeated: the grants expire.
func (o *outbox) run() {
	for pool, released := range o.take(time.Now()) {
		ctx, cancel := context.WithTimeout(o.rooms.background, reportTimeout)
		if err := o.rooms.peers.ReleaseRoom(ctx, o.home, pool, released); err != nil {
			o.rooms.logger.WithError(err).WithField("host", o.home.String()).Debug("report of ended requests to a home failed")
		}
		cancel()
	}
}

func (o *outbox) take(now time.Time) map[room.Pool][]room.Released {
	o.mu.Lock()
	defer o.mu.Unlock()
	pending := o.pending
	if o.count > 0 {
		o.sentAt = now
	}
	o.pending, o.count, o.isScheduled = nil, 0, false
	return pending
}

// isIdle reports whether nothing was sent lately and nothing is pending.
func (o *outbox) isIdle(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count == 0 && now.Sub(o.sentAt) > idlePeriod
}

// dropOutboxes drops those that are not used any more. The caller holds mu.
func (r *Rooms) dropOutboxes(now time.Time) {
	for home, o := range r.outboxes {
		if o.isIdle(now) {
			delete(r.outboxes, home)
		}
	}
}
