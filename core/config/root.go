package config

import (
	"encoding/json"
	"time"
)

const (
	// MaxRecentChanges bounds the changes carried in the root value.
	MaxRecentChanges = 32
	// MaxRecentBytes bounds the size of the changes carried in the root value.
	MaxRecentBytes = 32 << 10
)

type (
	// Root is the one value through which every change is committed. It
	// carries the newest changes itself, so that a watcher seldom reads more.
	Root struct {
		Revision         uint64   `json:"revision"`
		SnapshotRevision uint64   `json:"snapshotRevision"`
		Recent           []Change `json:"recent"` // SnapshotRevision+1 to Revision
	}

	// Snapshot is the stored form of a whole document.
	Snapshot struct {
		Revision uint64    `json:"revision"`
		TakenAt  time.Time `json:"takenAt"`
		Entries  []Entry   `json:"entries"`
	}
)

// DecodeRoot parses a root value. Empty data is the root at revision 0.
func DecodeRoot(data []byte) (Root, error) {
	var root Root
	if len(data) == 0 {
		return root, nil
	}
	if err := json.Unmarshal(data, &root); err != nil {
		return root, invalid.New("root value: %v", err)
	}
	if root.Revision != root.SnapshotRevision+uint64(len(root.Recent)) {
		return root, invalid.New("root value: %d changes between revisions %d and %d",
			len(root.Recent), root.SnapshotRevision, root.Revision)
	}
	return root, nil
}

// Encode returns the stored form of the root.
func (r Root) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Append returns the root with one more change.
func (r Root) Append(change Change) Root {
	recent := make([]Change, 0, len(r.Recent)+1)
	recent = append(recent, r.Recent...)
	recent = append(recent, change)
	return Root{Revision: change.Revision, SnapshotRevision: r.SnapshotRevision, Recent: recent}
}

// NeedsSnapshot reports whether the changes in the root have outgrown it.
func (r Root) NeedsSnapshot() bool {
	if len(r.Recent) >= MaxRecentChanges {
		return true
	}
	size := 0
	for _, c := range r.Recent {
		for _, e := range c.Edits {
			size += len(e.Text)
		}
	}
	return size >= MaxRecentBytes
}

// Folded returns the root after a snapshot at its own revision.
func (r Root) Folded() Root {
	return Root{Revision: r.Revision, SnapshotRevision: r.Revision}
}

// Contains reports whether the change with this attempt token is in the root.
func (r Root) Contains(attempt string) bool {
	for _, c := range r.Recent {
		if c.Attempt == attempt {
			return true
		}
	}
	return false
}

// ChangesAfter returns the changes that lead from revision to the root, and
// false when they are no longer in the root and a snapshot must be read.
func (r Root) ChangesAfter(revision uint64) ([]Change, bool) {
	if revision < r.SnapshotRevision {
		return nil, false
	}
	if revision >= r.Revision {
		return nil, true
	}
	return r.Recent[revision-r.SnapshotRevision:], true
}

// TakeSnapshot returns the stored form of the document.
func (d *Document) TakeSnapshot(now time.Time) Snapshot {
	return Snapshot{Revision: d.Revision, TakenAt: now, Entries: d.List()}
}

// Encode returns the stored form of the snapshot.
func (s Snapshot) Encode() ([]byte, error) {
	return json.Marshal(s)
}

// DecodeSnapshot parses the stored form of a snapshot into a document.
func DecodeSnapshot(data []byte) (*Document, error) {
	var s Snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, invalid.New("snapshot: %v", err)
	}
	return FromEntries(s.Revision, s.Entries)
}
