package journal

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/hickoryd/platform"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// sealAttempts bounds the race with a home that still writes.
const sealAttempts = 10

// Seal ends the journal of another home and reads it. After it returns without
// an error, no Append of that home succeeds. It may be repeated.
func Seal(ctx context.Context, kv KV, member claim.Member) (claim.SealedJournal, error) {
	for range sealAttempts {
		segments, values, err := list(ctx, kv, member)
		if err != nil {
			return claim.SealedJournal{}, err
		}
		if isSealed(segments) {
			return read(member, segments), nil
		}
		if err := sealNewest(ctx, kv, member, segments, values); err != nil {
			return claim.SealedJournal{}, err
		}
	}
	return claim.SealedJournal{}, fmt.Errorf("%w: journal of %s could not be sealed", platform.ErrUnavailable, member.Host)
}

// AddContribution adds to a sealed journal what other homes know of its grants, and returns
// the journal. vouchers witness no grants for its home any more.
func AddContribution(ctx context.Context, kv KV, member claim.Member, vouchers []claim.Member, outage bool, grants []claim.Grant) (claim.SealedJournal, error) {
	for range sealAttempts {
		segments, values, err := list(ctx, kv, member)
		if err != nil || !isSealed(segments) {
			return claim.SealedJournal{}, fmt.Errorf("%w: journal of %s is not sealed: %w", platform.ErrUnavailable, member.Host, err)
		}
		known := read(member, segments)
		last, value := segments[len(segments)-1], values[len(values)-1]
		if !addTestimony(last, known, vouchers, outage, grants) {
			return known, nil
		}
		data, err := proto.Marshal(last)
		if err != nil {
			return claim.SealedJournal{}, err
		}
		done, err := kv.CompareAndSwap(ctx, value.Key, data, value.Index)
		if err != nil {
			return claim.SealedJournal{}, err
		}
		if done {
			return read(member, segments), nil
		}
	}
	return claim.SealedJournal{}, fmt.Errorf("%w: journal of %s was always changed by others", platform.ErrUnavailable, member.Host)
}

// addTestimony adds what is not in the journal yet and reports whether that is
// anything.
func addTestimony(last *peerapi.JournalSegment, known claim.SealedJournal, vouchers []claim.Member, outage bool, grants []claim.Grant) bool {
	added := false
	for _, v := range vouchers {
		if !slices.Contains(known.Contributors, v) {
			last.Vouchers = append(last.Vouchers, peer.MemberToWire(v))
			added = true
		}
	}
	if !added {
		return false
	}
	last.Outage = last.Outage || outage
	held := map[string]bool{}
	for _, g := range known.Grants {
		held[g.RequestID] = true
	}
	for _, g := range grants {
		if !held[g.RequestID] {
			last.Grants = append(last.Grants, peer.GrantToWire(g.WithoutResponse()))
		}
	}
	return true
}

// Remove deletes a journal whose grants are all past their horizon.
func Remove(ctx context.Context, kv KV, member claim.Member) error {
	_, values, err := list(ctx, kv, member)
	if err != nil {
		return err
	}
	for _, value := range values {
		if err := kv.Delete(ctx, value.Key); err != nil {
			return err
		}
	}
	return nil
}

// sealNewest seals the newest segment and puts an empty sealed one behind it, so
// that the home can neither change the one nor begin the other. A lost race is
// no error: the caller lists again.
func sealNewest(ctx context.Context, kv KV, member claim.Member, segments []*peerapi.JournalSegment, values []platform.Value) error {
	if len(segments) == 0 {
		_, err := create(ctx, kv, key(member, 0), &peerapi.JournalSegment{})
		return err
	}
	newest, value := segments[len(segments)-1], values[len(values)-1]
	if !newest.GetSealed() {
		newest.Sealed = true
		newest.Token = uuid.NewString() // the home must not take the seal for its own write
		data, err := proto.Marshal(newest)
		if err != nil {
			return err
		}
		if done, err := kv.CompareAndSwap(ctx, value.Key, data, value.Index); err != nil || !done {
			return err
		}
	}
	var number int
	if _, err := fmt.Sscanf(strings.TrimPrefix(value.Key, folder(member)), "%d", &number); err != nil {
		return fmt.Errorf("claim journal key %q: %w", value.Key, err)
	}
	_, err := create(ctx, kv, key(member, number+1), newest)
	return err
}

// isSealed reports whether the last segment is the one that ends a journal: it
// is empty, or holds what others have added.
func isSealed(segments []*peerapi.JournalSegment) bool {
	if len(segments) == 0 {
		return false
	}
	last := segments[len(segments)-1]
	return last.GetSealed() && (len(last.GetGrants()) == 0 || len(last.GetVouchers()) > 0)
}

func list(ctx context.Context, kv KV, member claim.Member) ([]*peerapi.JournalSegment, []platform.Value, error) {
	values, err := kv.List(ctx, folder(member))
	if err != nil {
		return nil, nil, err
	}
	slices.SortFunc(values, func(a, b platform.Value) int { return strings.Compare(a.Key, b.Key) })
	segments := make([]*peerapi.JournalSegment, 0, len(values))
	for _, value := range values {
		segment, err := decode(value)
		if err != nil {
			return nil, nil, err
		}
		segments = append(segments, segment)
	}
	return segments, values, nil
}

func read(member claim.Member, segments []*peerapi.JournalSegment) claim.SealedJournal {
	journal := claim.SealedJournal{Member: member}
	for _, segment := range segments {
		journal.Grants = append(journal.Grants, peer.GrantsFromWire(segment.GetGrants())...)
		journal.CompleteThrough = max(journal.CompleteThrough, segment.GetCompleteThrough())
		journal.Complete = journal.Complete || segment.GetComplete()
		journal.Outage = journal.Outage || segment.GetOutage()
		for _, v := range segment.GetVouchers() {
			journal.Contributors = append(journal.Contributors, peer.MemberFromWire(v))
		}
	}
	return journal
}
