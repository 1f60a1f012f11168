// Package journal keeps the claims of a home in the platform's key-value
// service: an append-only log for each membership of a home, which another
// home can seal, and the writer that groups grants into few writes.
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
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/hickoryd/platform"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	// Prefix holds all journals.
	Prefix = "hickoryfront/claims/journal/"

	// segmentBytes bounds one stored value: each write sends its segment anew.
	segmentBytes = 32 << 10
)

// ErrSealed means that the journal takes no further grants: another home has
// taken the keys over.
var ErrSealed = errors.New("claim journal is sealed")

type (
	// KV is what journals need of the platform.
	KV interface {
		Get(ctx context.Context, key string) (platform.Value, error)
		List(ctx context.Context, prefix string) ([]platform.Value, error)
		CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error)
		Delete(ctx context.Context, key string) error
	}

	// Log is the journal that this daemon writes in one membership. It is safe
	// for concurrent use.
	Log struct {
		kv     KV
		member claim.Member

		mu      sync.Mutex
		number  int                     // of the newest segment
		segment *peerapi.JournalSegment // as last written, or about to be
		index   uint64                  // platform's index of the newest segment; 0: none
		unread  bool                    // the index after the last write is not known
		closed  []closedSegment
	}

	closedSegment struct {
		key    string
		newest time.Time
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

// Append writes grants. complete says that no grant of an epoch before the
// given one is left out. The errors are ErrSealed, and platform.ErrUnavailable
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

// Prepare reads what the next Append needs, so that it takes one call only.
func (l *Log) Prepare(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refresh(ctx)
}

// Close seals the journal of a home that stops, with nothing left out.
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
	_, err := create(ctx, l.kv, key(l.member, l.number+1), next)
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

// next returns the newest segment with grants added, or a new segment when it
// would grow too large. The caller holds mu.
func (l *Log) next(grants []claim.Grant) *peerapi.JournalSegment {
	next := proto.CloneOf(l.segment)
	for _, g := range grants {
		next.Grants = append(next.Grants, peer.GrantToWire(g.WithoutResponse()))
	}
	held := l.segment.GetGrants()
	if len(held) == 0 || proto.Size(next) <= segmentBytes {
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
	l.segment, l.unread = next, true
	done, err := l.kv.CompareAndSwap(ctx, key(l.member, l.number), data, l.index)
	if err != nil {
		return l.refreshWritten(ctx)
	}
	if !done {
		return ErrSealed
	}
	return nil
}

// refreshWritten finds out whether a write whose answer was lost took effect.
func (l *Log) refreshWritten(ctx context.Context) error {
	before := l.index
	if err := l.refresh(ctx); err != nil {
		return err
	}
	if l.index == before {
		return fmt.Errorf("%w: the write had no effect", platform.ErrUnavailable)
	}
	return nil
}

// refresh learns the index of the newest segment after a write. A write that
// had no effect leaves the index as it was: the next Append writes the same
// grants again. The caller holds mu.
func (l *Log) refresh(ctx context.Context) error {
	if !l.unread {
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
	l.index, l.unread = value.Index, false
	return nil
}

func key(m claim.Member, number int) string {
	return fmt.Sprintf("%s%08d", folder(m), number)
}

// folder holds the segments of one journal.
func folder(m claim.Member) string {
	return fmt.Sprintf("%s%s/%d-%d/", Prefix, m.Host, m.Incarnation, m.Since)
}

func decode(value platform.Value) (*peerapi.JournalSegment, error) {
	segment := &peerapi.JournalSegment{}
	if value.Index == 0 {
		return segment, nil
	}
	if err := proto.Unmarshal(value.Data, segment); err != nil {
		return nil, fmt.Errorf("claim journal %s: %w", value.Key, err)
	}
	return segment, nil
}

// create writes an empty sealed segment that must not exist yet.
func create(ctx context.Context, kv KV, key string, last *peerapi.JournalSegment) (bool, error) {
	data, err := proto.Marshal(&peerapi.JournalSegment{
		Token: uuid.NewString(), Sealed: true, Complete: last.GetComplete(), CompleteThrough: last.GetCompleteThrough(),
	})
	if err != nil {
		return false, err
	}
	return kv.CompareAndSwap(ctx, key, data, 0)
}
