package configstore

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/config"
)

// maxSegmentReads bounds the history segments that one call of History reads.
const maxSegmentReads = 64

// History returns the changes for which keep returns true, newest first, at most
// limit. It reads them from the platform.
func (s *Store) History(ctx context.Context, limit int, keep func(config.Change) bool) ([]config.Change, error) {
	value, err := s.kv.Get(ctx, rootKey)
	if err != nil {
		return nil, err
	}
	root, err := config.DecodeRoot(value.Data)
	if err != nil {
		return nil, err
	}
	found := newestFirst(nil, root.Recent, limit, keep)
	for i, reads := len(root.Segments)-1, 0; i >= 0 && reads < maxSegmentReads && len(found) < limit; i, reads = i-1, reads+1 {
		segment, err := s.readSegment(ctx, root.Segments[i])
		if err != nil {
			return nil, err
		}
		found = newestFirst(found, segment.Changes, limit, keep)
	}
	return found, nil
}

func newestFirst(found, changes []config.Change, limit int, keep func(config.Change) bool) []config.Change {
	for _, c := range slices.Backward(changes) {
		if len(found) < limit && keep(c) {
			found = append(found, c)
		}
	}
	return found
}

// findWrite returns the revision of the change with the write ID. It searches
// the root and the history after revision since.
func (s *Store) findWrite(ctx context.Context, root config.Root, writeID string, since uint64) (uint64, bool, error) {
	if revision, ok := root.Find(writeID); ok {
		return revision, true, nil
	}
	for _, r := range root.SegmentsAfter(since) {
		segment, err := s.readSegment(ctx, r)
		if err != nil {
			return 0, false, err
		}
		if revision, ok := segment.Find(writeID); ok {
			return revision, true, nil
		}
	}
	return 0, false, nil
}

func (s *Store) readSegment(ctx context.Context, revision uint64) (config.Segment, error) {
	value, err := s.kv.Get(ctx, segmentKey(revision))
	if err != nil {
		return config.Segment{}, err
	}
	if value.Index == 0 {
		return config.Segment{}, fmt.Errorf("%w: history segment %d is gone", errChanged, revision)
	}
	return config.DecodeSegment(value.Data)
}

// compact writes a snapshot of the document at the root's revision and moves the
// root's changes into the history. Every daemon that compacts the same root writes
// equivalent values, so compact leaves a value that already exists.
func (s *Store) compact(ctx context.Context, root config.Root, document *config.Document, now time.Time) (config.Root, error) {
	segment, merged, err := s.nextSegment(ctx, root)
	if err != nil {
		return root, err
	}
	snapshot, err := document.TakeSnapshot(now).Encode()
	if err != nil {
		return root, err
	}
	if err := s.create(ctx, snapshotKey(root.Revision), snapshot); err != nil {
		return root, err
	}
	data, err := segment.Encode()
	if err != nil {
		return root, err
	}
	if err := s.create(ctx, segmentKey(root.Revision), data); err != nil {
		return root, err
	}
	return root.Compact(merged, s.deleteStale(ctx, root)), nil
}

// nextSegment returns the history segment for the root's changes and whether it is
// merged with the newest segment, which happens while that one is small.
func (s *Store) nextSegment(ctx context.Context, root config.Root) (config.Segment, bool, error) {
	own := config.Segment{Changes: root.Recent}
	if len(root.Segments) == 0 {
		return own, false, nil
	}
	newest, err := s.readSegment(ctx, root.Segments[len(root.Segments)-1])
	if err != nil {
		return own, false, err
	}
	if merged, ok := newest.Merge(root.Recent); ok {
		return merged, true, nil
	}
	return own, false, nil
}

// create writes a value that never changes, unless the key already exists.
func (s *Store) create(ctx context.Context, key string, data []byte) error {
	_, err := s.kv.CompareAndSwap(ctx, key, data, 0)
	return err
}

// deleteStale deletes the segments and snapshots that no reader of the root needs. It
// reports whether all of them were deleted.
func (s *Store) deleteStale(ctx context.Context, root config.Root) bool {
	deleted := true
	for _, revision := range root.StaleSegments {
		deleted = s.kv.Delete(ctx, segmentKey(revision)) == nil && deleted
	}
	for _, revision := range root.StaleSnapshots {
		deleted = s.kv.Delete(ctx, snapshotKey(revision)) == nil && deleted
	}
	return deleted
}
