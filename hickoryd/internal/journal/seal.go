package journal

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// maxChangeAttempts limits the attempts to seal a journal, or to add a contribution to
// it, while its home or other homes are changing it.
const maxChangeAttempts = 10

// Seal seals the journal of another home and reads it. After Seal has returned
// without an error, no Append of that home succeeds. Sealing twice has no effect.
func Seal(ctx context.Context, kv KV, member claim.Member) (claim.SealedJournal, error) {
	for range maxChangeAttempts {
		segments, values, err := listSegments(ctx, kv, member)
		if err != nil {
			return claim.SealedJournal{}, err
		}
		if isSealed(segments) {
			return joinSegments(member, segments), nil
		}
		if err := sealNewest(ctx, kv, member, segments, values); err != nil {
			return claim.SealedJournal{}, err
		}
	}
	return claim.SealedJournal{}, fmt.Errorf("%w: journal of %s was not sealed: it was changed concurrently on every attempt", consul.ErrUnavailable, member.Host)
}

// AddContribution adds the grants that other homes have recorded to a sealed journal,
// and returns the journal. contributors are the memberships of these other homes; they
// record no further grants for the journal's home. outage reports that the home
// granted without its journal.
func AddContribution(ctx context.Context, kv KV, member claim.Member, contributors []claim.Member, outage bool, grants []claim.Grant) (claim.SealedJournal, error) {
	for range maxChangeAttempts {
		segments, values, err := listSegments(ctx, kv, member)
		if err != nil || !isSealed(segments) {
			return claim.SealedJournal{}, fmt.Errorf("%w: journal of %s is not sealed: %w", consul.ErrUnavailable, member.Host, err)
		}
		known := joinSegments(member, segments)
		last, value := segments[len(segments)-1], values[len(values)-1]
		if !mergeContribution(last, known, contributors, outage, grants) {
			return known, nil
		}
		data, err := proto.Marshal(last)
		if err != nil {
			return claim.SealedJournal{}, err
		}
		swapped, err := kv.CompareAndSwap(ctx, value.Key, data, value.Index)
		if err != nil {
			return claim.SealedJournal{}, err
		}
		if swapped {
			return joinSegments(member, segments), nil
		}
	}
	return claim.SealedJournal{}, fmt.Errorf("%w: journal of %s was changed by other homes on every attempt", consul.ErrUnavailable, member.Host)
}

// mergeContribution adds the contributors and grants that the journal does not contain
// yet to its last segment. It reports whether it added any contributor; otherwise it
// changes nothing.
func mergeContribution(last *peerapi.JournalSegment, known claim.SealedJournal, contributors []claim.Member, outage bool, grants []claim.Grant) bool {
	added := false
	for _, m := range contributors {
		if !slices.Contains(known.Contributors, m) {
			last.Vouchers = append(last.Vouchers, peer.MemberToWire(m))
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

// Remove deletes a journal. All of its grants must be past their horizon.
func Remove(ctx context.Context, kv KV, member claim.Member) error {
	_, values, err := listSegments(ctx, kv, member)
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

// sealNewest seals the newest segment and writes an empty sealed segment behind it, so
// that the home can neither change the newest segment nor create the next one. It
// returns no error when a concurrent write prevents this: the caller lists the
// segments again.
func sealNewest(ctx context.Context, kv KV, member claim.Member, segments []*peerapi.JournalSegment, values []consul.Value) error {
	if len(segments) == 0 {
		_, err := createSeal(ctx, kv, key(member, 0), &peerapi.JournalSegment{})
		return err
	}
	newest, value := segments[len(segments)-1], values[len(values)-1]
	if !newest.GetSealed() {
		newest.Sealed = true
		newest.Token = uuid.NewString() // keeps the home from taking the seal for its own write
		data, err := proto.Marshal(newest)
		if err != nil {
			return err
		}
		if swapped, err := kv.CompareAndSwap(ctx, value.Key, data, value.Index); err != nil || !swapped {
			return err
		}
	}
	var number int
	if _, err := fmt.Sscanf(strings.TrimPrefix(value.Key, keyPrefix(member)), "%d", &number); err != nil {
		return fmt.Errorf("can't parse claim journal key %q: %w", value.Key, err)
	}
	_, err := createSeal(ctx, kv, key(member, number+1), newest)
	return err
}

// isSealed reports whether the last segment is the one that ends a journal: a sealed
// segment that is empty or contains the contributions of other homes.
func isSealed(segments []*peerapi.JournalSegment) bool {
	if len(segments) == 0 {
		return false
	}
	last := segments[len(segments)-1]
	return last.GetSealed() && (len(last.GetGrants()) == 0 || len(last.GetVouchers()) > 0)
}

// listSegments returns the segments of a journal in order, and their stored values.
func listSegments(ctx context.Context, kv KV, member claim.Member) ([]*peerapi.JournalSegment, []consul.Value, error) {
	values, err := kv.List(ctx, keyPrefix(member))
	if err != nil {
		return nil, nil, err
	}
	slices.SortFunc(values, func(a, b consul.Value) int { return strings.Compare(a.Key, b.Key) })
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

// joinSegments returns the contents of the segments as one journal.
func joinSegments(member claim.Member, segments []*peerapi.JournalSegment) claim.SealedJournal {
	journal := claim.SealedJournal{Member: member}
	for _, segment := range segments {
		journal.Grants = append(journal.Grants, peer.GrantsFromWire(segment.GetGrants())...)
		journal.CompleteThrough = max(journal.CompleteThrough, segment.GetCompleteThrough())
		journal.Complete = journal.Complete || segment.GetComplete()
		journal.Outage = journal.Outage || segment.GetOutage()
		for _, m := range segment.GetVouchers() {
			journal.Contributors = append(journal.Contributors, peer.MemberFromWire(m))
		}
	}
	return journal
}
