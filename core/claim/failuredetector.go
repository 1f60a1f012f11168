package claim

import "time"

const (
	// confirmAfter is how long a home must continuously be seen as dead before it
	// is removed from the homes.
	confirmAfter = 500 * time.Millisecond
	// pauseThreshold is the length of a pause of this process after which its
	// earlier observations are discarded: to a process that was stopped, all
	// other hosts look dead.
	pauseThreshold = 2 * time.Second
	// minRunningTime is how long a daemon must have been running since its start,
	// or since a pause, before it treats any other host as failed.
	minRunningTime = 4 * time.Second
)

// FailureDetector decides when a host has been seen as dead for long enough to be
// treated as failed. It counts only the time during which this process was
// running without a pause. It is not safe for concurrent use.
type FailureDetector struct {
	runningSince time.Time
	lastTick     time.Time
	deadSince    map[string]time.Time
}

// NewFailureDetector returns the detector of a process that has just started.
func NewFailureDetector() *FailureDetector {
	return &FailureDetector{deadSince: map[string]time.Time{}}
}

// Tick records that this process is running. A gap between ticks of more than
// pauseThreshold counts as a pause.
func (d *FailureDetector) Tick(now time.Time) {
	if now.Sub(d.lastTick) > pauseThreshold {
		d.runningSince = now
		d.deadSince = map[string]time.Time{}
	}
	d.lastTick = now
}

// ReportAlive records that a host is seen as alive.
func (d *FailureDetector) ReportAlive(host string) {
	delete(d.deadSince, host)
}

// ReportDead records that a host is not seen as alive, and reports whether that
// has lasted long enough to treat the host as failed.
func (d *FailureDetector) ReportDead(now time.Time, host string) bool {
	first, ok := d.deadSince[host]
	if !ok {
		d.deadSince[host] = now
		return false
	}
	return now.Sub(first) >= confirmAfter && now.Sub(d.runningSince) >= minRunningTime
}
