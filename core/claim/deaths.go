package claim

import "time"

const (
	// dropAfter is how long a home must be seen dead before it is dropped.
	dropAfter = 500 * time.Millisecond
	// stall is a pause of this process after which what it saw before counts
	// for nothing: all others look dead to a process that was stopped.
	stall = 2 * time.Second
	// listenAtLeast is how long a daemon listens after its start, or after a
	// stall, before it holds any other for dead.
	listenAtLeast = 4 * time.Second
)

// FailureDetector remembers since when hosts were seen dead, by a process that was awake
// all the time. It is not safe for concurrent use.
type FailureDetector struct {
	awakeSince time.Time
	lastTick   time.Time
	since      map[string]time.Time
}

// NewFailureDetector returns the memory of a process that has just started.
func NewFailureDetector() *FailureDetector {
	return &FailureDetector{since: map[string]time.Time{}}
}

// Tick says that the process is awake.
func (d *FailureDetector) Tick(now time.Time) {
	if now.Sub(d.lastTick) > stall {
		d.awakeSince = now
		d.since = map[string]time.Time{}
	}
	d.lastTick = now
}

// ReportAlive says that a host lives.
func (d *FailureDetector) ReportAlive(host string) {
	delete(d.since, host)
}

// ReportDead says that a host is not seen alive, and reports whether that has
// lasted for long enough.
func (d *FailureDetector) ReportDead(now time.Time, host string) bool {
	first, ok := d.since[host]
	if !ok {
		d.since[host] = now
		return false
	}
	return now.Sub(first) >= dropAfter && now.Sub(d.awakeSince) >= listenAtLeast
}
