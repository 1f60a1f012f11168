// Package journal stores the grants of a home in the platform's key-value service.
//
// A home writes one journal for each of its memberships, that is, for each
// uninterrupted time in which it is listed in the epochs. A journal is an append-only
// log of segments, each of which is one stored value. Another home that takes the
// keys over seals the journal: it marks the newest segment as sealed and writes an
// empty sealed segment behind it, so that no later Append succeeds. Package claim
// explains the terms home, epoch, grant and witness.
//
// Writer groups the grants of concurrent claims into few writes.
package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	// Prefix is the common key prefix of all journals.
	Prefix = "hickoryfront/claims/journal/"

	// maxSegmentBytes limits the size of one stored value, because each write sends
	// its complete segment.
	maxSegmentBytes = 32 << 10
)

// ErrSealed means that the journal accepts no further grants, because another home
// has taken the keys over.
var ErrSealed = errors.New("claim journal is sealed")

type (
	// KV is the part of the platform's key-value service that journals use.
	KV interface {
		Get(ctx context.Context, key string) (consul.Value, error)
		List(ctx context.Context, prefix string) ([]consul.Value, error)
		CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error)
		Delete(ctx context.Context, key string) error
	}

	// Log is the journal that this daemon writes in one membership. It is safe
	// for concurrent use.
	Log struct {
		kv     KV
		member claim.Member

		mu           sync.Mutex
		number       int                     // number of the newest segment
		segment      *peerapi.JournalSegment // newest segment as of the last write, which may have failed
		index        uint64                  // the platform's modification index of the newest segment; 0: not stored yet
		isIndexStale bool                    // the index was not read after the last write
		closed       []closedSegment
	}

	// closedSegment is a stored segment that gets no further grants.
	closedSegment struct {
		key    string
		newest time.Time // time of its newest grant
	}
)

// NewLog returns the empty journal of a membership that has just begun.
func NewLog(kv KV, member claim.Member) *Log {
	return &Log{kv: kv, member: member, segment: &peerapi.JournalSegment{}}
}

// Member returns the membership whose journal this is.
func (l *Log) Member() claim.Member {
	return l.member
}

// Append writes grants. complete marks the journal as containing every grant of the
// epochs before the given one. The errors are ErrSealed, and consul.ErrUnavailable
// when the write may or may not have taken effect.
func (l *Log) Append(ctx context.Context, epoch uint64, complete bool, grants []claim.Grant) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.refresh(ctx); err != nil {
		return err
	}
	if l.segment.GetSealed() {
		return ErrSealed
	}
	next := l.next(grants)
	if complete {
		next.CompleteThrough = max(next.GetCompleteThrough(), epoch)
	}
	return l.write(ctx, next)
}

// Prepare reads the index that the next Append needs, so that Append needs only one
// call to the platform.
func (l *Log) Prepare(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refresh(ctx)
}

// Close seals the journal of a stopping home and marks it as complete.
func (l *Log) Close(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.refresh(ctx); err != nil {
		return err
	}
	next := proto.CloneOf(l.segment)
	next.Sealed, next.Complete = true, true
	if err := l.write(ctx, next); err != nil {
		return err
	}
	_, err := createSeal(ctx, l.kv, key(l.member, l.number+1), next)
	return err
}

// Expire deletes the segments whose grants are all older than before.
func (l *Log) Expire(ctx context.Context, before time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.closed) > 0 && l.closed[0].newest.Before(before) {
		if err := l.kv.Delete(ctx, l.closed[0].key); err != nil {
			return err
		}
		l.closed = l.closed[1:]
	}
	return nil
}

// next returns the newest segment with grants added, or a new segment when the
// newest one would exceed maxSegmentBytes. The caller holds mu.
func (l *Log) next(grants []claim.Grant) *peerapi.JournalSegment {
	next := proto.CloneOf(l.segment)
	for _, g := range grants {
		next.Grants = append(next.Grants, peer.GrantToWire(g.WithoutResponse()))
	}
	held := l.segment.GetGrants()
	if len(held) == 0 || proto.Size(next) <= maxSegmentBytes {
		return next
	}
	l.closed = append(l.closed, closedSegment{key: key(l.member, l.number), newest: held[len(held)-1].GetGrantedAt().AsTime()})
	l.number++
	l.index = 0
	next.Grants = next.Grants[len(held):]
	return next
}

// write stores a segment. The caller holds mu.
func (l *Log) write(ctx context.Context, next *peerapi.JournalSegment) error {
	next.Token = uuid.NewString()
	data, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	l.segment, l.isIndexStale = next, true
	swapped, err := l.kv.CompareAndSwap(ctx, key(l.member, l.number), data, l.index)
	if err != nil {
		return l.resolveWrite(ctx)
	}
	if !swapped {
		return ErrSealed
	}
	return nil
}

// resolveWrite determines whether a write whose response was lost took effect. The
// caller holds mu.
func (l *Log) resolveWrite(ctx context.Context) error {
	before := l.index
	if err := l.refresh(ctx); err != nil {
		return err
	}
	if l.index == before {
		return fmt.Errorf("%w: the write had no effect", consul.ErrUnavailable)
	}
	return nil
}

// refresh reads the index of the newest segment after a write. A write that had no
// effect leaves the index unchanged; the next Append then writes the same grants
// again. The caller holds mu.
func (l *Log) refresh(ctx context.Context) error {
	if !l.isIndexStale {
		return nil
	}
	value, err := l.kv.Get(ctx, key(l.member, l.number))
	if err != nil {
		return err
	}
	if value.Index != l.index {
		stored, err := decode(value)
		if err != nil {
			return err
		}
		if stored.GetToken() != l.segment.GetToken() {
			return ErrSealed
		}
	}
	l.index, l.isIndexStale = value.Index, false
	return nil
}

func key(m claim.Member, number int) string {
	return fmt.Sprintf("%s%08d", keyPrefix(m), number)
}

// keyPrefix returns the common key prefix of the segments of one journal.
func keyPrefix(m claim.Member) string {
	return fmt.Sprintf("%s%s/%d-%d/", Prefix, m.Host, m.Incarnation, m.Since)
}

func decode(value consul.Value) (*peerapi.JournalSegment, error) {
	segment := &peerapi.JournalSegment{}
	if value.Index == 0 {
		return segment, nil
	}
	if err := proto.Unmarshal(value.Data, segment); err != nil {
		return nil, fmt.Errorf("can't decode claim journal %s: %w", value.Key, err)
	}
	return segment, nil
}

// createSeal writes an empty sealed segment behind the last one. It returns false
// when the key exists already.
func createSeal(ctx context.Context, kv KV, key string, last *peerapi.JournalSegment) (bool, error) {
	data, err := proto.Marshal(&peerapi.JournalSegment{
		Token: uuid.NewString(), Sealed: true, Complete: last.GetComplete(), CompleteThrough: last.GetCompleteThrough(),
	})
	if err != nil {
		return false, err
	}
	return kv.CompareAndSwap(ctx, key, data, 0)
}
