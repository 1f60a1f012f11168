package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"time"
)

const (
	// MaxRecentChanges bounds the number of changes in the root value.
	MaxRecentChanges = 32
	// MaxRecentBytes bounds the texts of the changes in the root value.
	MaxRecentBytes = 32 << 10
	// MaxChangeBytes bounds the text of one change.
	MaxChangeBytes = 256 << 10
	// MaxSnapshotBytes bounds the stored form of a document, so that it fits
	// one value of the platform.
	MaxSnapshotBytes = 900 << 10
	// MaxSegments bounds the number of history segments that are kept.
	MaxSegments = 256
	// MaxSegmentChanges bounds the number of changes in one history segment.
	MaxSegmentChanges = 1024
	// MaxSegmentBytes bounds the texts in one history segment.
	MaxSegmentBytes = 512 << 10

	// maxDecodedBytes bounds the decompressed size of a stored value.
	maxDecodedBytes = 256 << 20
)

type (
	// Root is the one stored value through which every change is committed. It
	// holds the newest changes itself, so that a watcher seldom reads another
	// key. Older changes are kept in history segments: with each snapshot, the
	// changes up to it become a segment or extend the newest one.
	Root struct {
		Revision         uint64   `json:"revision"`
		SnapshotRevision uint64   `json:"snapshotRevision"`
		Recent           []Change `json:"recent"`                  // SnapshotRevision+1 to Revision
		Segments         []uint64 `json:"segments,omitempty"`      // newest revision of each history segment, oldest segment first
		StaleSegments    []uint64 `json:"staleSegments,omitempty"` // not needed any more; to be deleted
		StaleSnapshots   []uint64 `json:"staleSnapshots,omitempty"`
	}

	// Segment is the stored form of consecutive older changes.
	Segment struct {
		Changes []Change `json:"changes"`
	}

	// Snapshot is the stored form of a complete document.
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

// Append returns the root with further changes, which must follow its revision.
func (r Root) Append(changes ...Change) Root {
	r.Recent = slices.Concat(r.Recent, changes)
	r.Revision += uint64(len(changes))
	return r
}

// NeedsSnapshot reports whether the changes in the root have reached
// MaxRecentChanges or MaxRecentBytes.
func (r Root) NeedsSnapshot() bool {
	if len(r.Recent) >= MaxRecentChanges {
		return true
	}
	size := 0
	for _, c := range r.Recent {
		size += c.TextBytes()
	}
	return size >= MaxRecentBytes
}

// Compact returns the root after a snapshot of its revision was stored and its
// recent changes were moved to a history segment. merged means that this segment
// also holds the changes of the segment that was the newest before. Segments and
// snapshots that no reader of the returned root needs are listed as stale and
// are deleted at the next compaction; cleaned means that those listed in r have
// been deleted.
func (r Root) Compact(merged, cleaned bool) Root {
	compacted := Root{Revision: r.Revision, SnapshotRevision: r.Revision, Segments: slices.Clone(r.Segments)}
	if !cleaned {
		compacted.StaleSegments = slices.Clone(r.StaleSegments)
		compacted.StaleSnapshots = slices.Clone(r.StaleSnapshots)
	}
	if newest := len(compacted.Segments) - 1; merged && newest >= 0 {
		compacted.StaleSegments = append(compacted.StaleSegments, compacted.Segments[newest])
		compacted.Segments = compacted.Segments[:newest]
	}
	compacted.Segments = append(compacted.Segments, r.Revision)
	if over := len(compacted.Segments) - MaxSegments; over > 0 {
		compacted.StaleSegments = append(compacted.StaleSegments, compacted.Segments[:over]...)
		compacted.Segments = compacted.Segments[over:]
	}
	if r.SnapshotRevision > 0 {
		compacted.StaleSnapshots = append(compacted.StaleSnapshots, r.SnapshotRevision)
	}
	return compacted
}

// Find returns the revision of the change with this write ID, if the root
// holds it.
func (r Root) Find(writeID string) (uint64, bool) {
	return findWrite(r.Recent, writeID)
}

// SegmentsAfter returns the segments that hold changes after revision, oldest
// first.
func (r Root) SegmentsAfter(revision uint64) []uint64 {
	first := slices.IndexFunc(r.Segments, func(s uint64) bool { return s > revision })
	if first < 0 {
		return nil
	}
	return r.Segments[first:]
}

// ChangesAfter returns the changes that lead from revision to the root's
// revision. It reports false when the root no longer holds all of them, so that
// the snapshot must be read.
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
	return encodeCompressed(s)
}

// DecodeSnapshot parses the stored form of a snapshot into a document.
func DecodeSnapshot(data []byte) (*Document, error) {
	var s Snapshot
	if err := decodeCompressed(data, &s); err != nil {
		return nil, invalid.New("snapshot: %v", err)
	}
	return FromEntries(s.Revision, s.Entries)
}

// Find returns the revision of the change with this write ID, if the
// segment holds it.
func (s Segment) Find(writeID string) (uint64, bool) {
	return findWrite(s.Changes, writeID)
}

// Merge returns the segment with later changes. It reports false when the result
// exceeds MaxSegmentChanges or MaxSegmentBytes.
func (s Segment) Merge(changes []Change) (Segment, bool) {
	merged := Segment{Changes: slices.Concat(s.Changes, changes)}
	size := 0
	for _, c := range merged.Changes {
		size += c.TextBytes()
	}
	return merged, len(merged.Changes) <= MaxSegmentChanges && size <= MaxSegmentBytes
}

// Encode returns the stored form of the segment.
func (s Segment) Encode() ([]byte, error) {
	return encodeCompressed(s)
}

// DecodeSegment parses the stored form of a segment.
func DecodeSegment(data []byte) (Segment, error) {
	var s Segment
	if err := decodeCompressed(data, &s); err != nil {
		return s, invalid.New("segment: %v", err)
	}
	return s, nil
}

func findWrite(changes []Change, writeID string) (uint64, bool) {
	for _, c := range changes {
		if c.WriteID == writeID {
			return c.Revision, true
		}
	}
	return 0, false
}

// encodeCompressed returns compressed JSON. Compression pays because profiles
// repeat the same keys.
func encodeCompressed(value any) ([]byte, error) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

func decodeCompressed(data []byte, value any) error {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(r, maxDecodedBytes)).Decode(value)
}
