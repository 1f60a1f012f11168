package config

import (
	"time"
)

type (
	// Update brings a daemon from one revision to a newer one: by the changes
	// between both, or by a snapshot when the sender no longer holds all of them.
	Update struct {
		Changes  []Change  `json:"changes,omitempty"`
		Snapshot *Snapshot `json:"snapshot,omitempty"`
	}

	// Log keeps the newest changes that led to a document, so that peers receive
	// changes instead of complete snapshots. It is not safe for concurrent use.
	Log struct {
		limit   int
		changes []Change
	}
)

// NewLog returns an empty log of at most limit changes.
func NewLog(limit int) *Log {
	return &Log{limit: limit}
}

// Add appends changes. A change that does not follow the newest one in the log
// replaces all earlier ones.
func (l *Log) Add(changes ...Change) {
	for _, c := range changes {
		if n := len(l.changes); n > 0 && l.changes[n-1].Revision+1 != c.Revision {
			l.changes = nil
		}
		l.changes = append(l.changes, c)
	}
	if over := len(l.changes) - l.limit; over > 0 {
		l.changes = append([]Change(nil), l.changes[over:]...)
	}
}

// Reset removes all changes.
func (l *Log) Reset() {
	l.changes = nil
}

// After returns the changes that lead from revision to the newest one in the
// log. It reports false when the log does not hold all of them.
func (l *Log) After(revision uint64) ([]Change, bool) {
	if len(l.changes) == 0 || l.changes[0].Revision > revision+1 {
		return nil, false
	}
	first := revision + 1 - l.changes[0].Revision
	if first > uint64(len(l.changes)) {
		return nil, false
	}
	return l.changes[first:], true
}

// UpdateFrom returns the update that brings a daemon at revision to the document
// d.
func (d *Document) UpdateFrom(revision uint64, log *Log, now time.Time) Update {
	if changes, ok := log.After(revision); ok && len(changes) > 0 && changes[len(changes)-1].Revision == d.Revision {
		return Update{Changes: changes}
	}
	snapshot := d.TakeSnapshot(now)
	return Update{Snapshot: &snapshot}
}

// Encode returns the form in which daemons send the update.
func (u Update) Encode() ([]byte, error) {
	return encodeCompressed(u)
}

// DecodeUpdate parses an update.
func DecodeUpdate(data []byte) (Update, error) {
	var u Update
	if err := decodeCompressed(data, &u); err != nil {
		return u, invalid.New("update: %v", err)
	}
	return u, nil
}

// Apply returns d with the update applied, and the changes that were applied.
// Changes up to the revision of d are skipped; an update that is not newer than
// d returns d itself.
func (u Update) Apply(d *Document) (*Document, []Change, error) {
	if u.Snapshot != nil {
		if u.Snapshot.Revision <= d.Revision {
			return d, nil, nil
		}
		next, err := FromEntries(u.Snapshot.Revision, u.Snapshot.Entries)
		return next, nil, err
	}
	return d.applyNewer(u.Changes)
}

// Advance returns the document at the root's revision, and the changes that were
// applied to d. It reports false when the root no longer holds all changes since
// d, so that the root's snapshot must be read.
func (d *Document) Advance(root Root) (*Document, []Change, bool, error) {
	changes, ok := root.ChangesAfter(d.Revision)
	if !ok {
		return nil, nil, false, nil
	}
	next, applied, err := d.applyNewer(changes)
	return next, applied, true, err
}

func (d *Document) applyNewer(changes []Change) (*Document, []Change, error) {
	next := d
	var applied []Change
	for _, c := range changes {
		if c.Revision <= next.Revision {
			continue
		}
		var err error
		if next, err = next.Apply(c); err != nil {
			return nil, nil, err
		}
		applied = append(applied, c)
	}
	return next, applied, nil
}
