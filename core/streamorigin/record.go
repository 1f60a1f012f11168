package streamorigin

import (
	"slices"
	"time"
)

// RecordRetention is how long a version stays in a record after the last of its servers has
// vanished from the list. Until then each new stream is written to the store as well. It is
// much longer than a stream: a server of the version may come back at any moment, and some
// hosts see that seconds later than others.
const RecordRetention = 10 * time.Minute

type (
	// Record states which software versions of a service may have begun streams that still
	// go on. It is kept in the store, where it outlives all hosts. No host begins a stream at
	// a version before the record has it.
	Record struct {
		// Versions are sorted.
		Versions []string
		// IsComplete is set if no version is missing. A record that is new, or that an older
		// copy of the store has brought back, is not complete until a host has observed the
		// server list for a window of time.
		IsComplete bool
		// Era is the era of the store in which the record was written.
		Era uint64
	}

	// Observation is what a host knows of the versions of a service.
	Observation struct {
		// Listed are the versions of the servers that are listed now.
		Listed []string
		// Recent are the versions that were listed during the longest time for which a
		// stream goes on, with the lag of the list: the window. It includes Listed.
		Recent []string
		// CoversWindow is set if the host has observed the list during the whole window, in
		// the present era of the store. An older copy lacks versions that hosts have used
		// just before, and not all of the hosts have seen them.
		CoversWindow bool
		// Era is the era of the store, or 0 if it states none.
		Era uint64
		// IsFirstStart is set if no host has run before, so that no stream has begun.
		IsFirstStart bool
	}

	// RecordTracker keeps one host's copy of the record of a service and decides how it has
	// to change. It is not safe for concurrent use.
	RecordTracker struct {
		record *Record
		// absentSince is the time since when versions of the record have not been listed.
		absentSince map[string]time.Time
	}
)

// NewRecordTracker returns a tracker without a record.
func NewRecordTracker() *RecordTracker {
	return &RecordTracker{absentSince: make(map[string]time.Time)}
}

// SetRecord sets the record that the store has, or nil if it has none.
func (t *RecordTracker) SetRecord(r *Record) {
	t.record = r
}

// IsMixed reports whether several versions may have begun streams.
func (t *RecordTracker) IsMixed() bool {
	return t.record != nil && len(t.record.Versions) > 1
}

// IsRecorded reports whether the record has a version, so that streams may begin at it.
func (t *RecordTracker) IsRecorded(version string) bool {
	return t.record != nil && slices.Contains(t.record.Versions, version)
}

// Next returns the record that the store should have at now, and whether it differs from the
// one that it has. Next must be called every second or so.
func (t *RecordTracker) Next(now time.Time, o Observation) (next Record, isChange bool) {
	next.Era = o.Era
	if t.record == nil {
		if len(o.Recent) == 0 {
			return next, false
		}
		next.Versions, next.IsComplete = sorted(o.Recent), o.CoversWindow || o.IsFirstStart
		return next, true
	}
	versions := slices.Clone(t.record.Versions)
	for _, version := range o.Recent {
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	t.observeAbsence(now, o.Listed)
	next.Versions = sorted(slices.DeleteFunc(versions, func(version string) bool {
		since, isAbsent := t.absentSince[version]
		return isAbsent && now.Sub(since) >= RecordRetention && o.CoversWindow
	}))
	next.IsComplete = o.CoversWindow || t.record.IsComplete && t.record.Era == o.Era
	isChange = !slices.Equal(next.Versions, t.record.Versions) || next.IsComplete != t.record.IsComplete || next.Era != t.record.Era
	return next, isChange
}

// observeAbsence updates absentSince.
func (t *RecordTracker) observeAbsence(now time.Time, listed []string) {
	for version := range t.absentSince {
		if slices.Contains(listed, version) || !slices.Contains(t.record.Versions, version) {
			delete(t.absentSince, version)
		}
	}
	for _, version := range t.record.Versions {
		if _, isAbsent := t.absentSince[version]; !isAbsent && !slices.Contains(listed, version) {
			t.absentSince[version] = now
		}
	}
}

func sorted(versions []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(versions)))
}
