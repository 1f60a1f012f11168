package claim

import (
	"slices"
	"time"
)

// TakeoverQuorum returns how many of others must have been heard before a dead
// home counts as one that journaled everything.
func TakeoverQuorum(others int) int {
	return others - OutageQuorum(others) + 1
}

// MarkUncleared marks the members whose keys may have moved here, so that they are
// cleared before the first key waits for them.
func (h *Home) MarkUncleared(now time.Time) {
	self, err := h.Member()
	if err != nil {
		return
	}
	for _, c := range h.epoch.ActiveChanges(now) {
		former := c.Removed
		if self.Since == c.Number+1 {
			former = h.past[c.Number]
		}
		for _, m := range former {
			if !h.isSelf(m) && h.isMissing(now, m) {
				h.wanted[m] = true
			}
		}
	}
}

// Uncleared returns the members that keys wait for.
func (h *Home) Uncleared(now time.Time) []Member {
	var members []Member
	for m := range h.wanted {
		if h.isMissing(now, m) {
			members = append(members, m)
		} else {
			delete(h.wanted, m)
		}
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// MergeListing takes in the listing of a daemon that was asked. Listings of another
// epoch than the one in force change nothing.
func (h *Home) MergeListing(listing Listing) {
	if listing.Epoch != h.epoch.Number {
		return
	}
	for _, g := range listing.Grants {
		h.table.Merge(g)
	}
	for _, f := range listing.Modes {
		h.setFlag(f.Member, f.Mode)
	}
	for m := range h.known() {
		if m.Owner() == listing.Owner && !slices.Contains(h.heard[m], listing.Epoch) {
			h.heard[m] = append(h.heard[m], listing.Epoch)
		}
	}
}

// MergeJournal takes in a journal that was sealed and read to its end.
func (h *Home) MergeJournal(j SealedJournal) {
	for _, g := range j.Grants {
		h.table.Merge(g)
	}
	h.sealed[j.Member] = seal{
		completeThrough: j.CompleteThrough, complete: j.Complete, vouchers: j.Contributors, outage: j.Outage,
	}
}

// IsSealed reports whether a member's journal was sealed and read.
func (h *Home) IsSealed(m Member) bool {
	_, ok := h.sealed[m]
	return ok
}

// PossibleWitnesses returns the other members of the epochs in which a member may have
// granted without its journal: its witnesses are among them.
func (h *Home) PossibleWitnesses(m Member) []Member {
	var companions []Member
	for number, members := range h.past {
		if !slices.Contains(members, m) || number < h.sealed[m].completeThrough {
			continue
		}
		for _, other := range members {
			if other != m && !h.isSelf(other) && !slices.Contains(companions, other) {
				companions = append(companions, other)
			}
		}
	}
	slices.SortFunc(companions, compareMembers)
	return companions
}

// IsCleared reports whether all that former homes may tell of a key is known. If
// not, they are asked.
func (h *Home) IsCleared(now time.Time, key Key) bool {
	missing := h.missing(now, key)
	for _, m := range missing {
		h.wanted[m] = true
	}
	return len(missing) == 0
}

// missing returns the former homes of a key that are not cleared.
func (h *Home) missing(now time.Time, key Key) []Member {
	var missing []Member
	for _, c := range h.epoch.ActiveChanges(now) {
		former, ok := h.member(c.Number, h.home(c.Number, key))
		if ok && !h.isSelf(former) && !h.isCleared(former, c.Number, key) {
			missing = append(missing, former)
		}
	}
	return missing
}

// isCleared reports whether every grant of a key that a member acknowledged in
// an epoch is known here, and none can be acknowledged any more.
func (h *Home) isCleared(m Member, epoch uint64, key Key) bool {
	if h.listed(m, epoch, key) {
		return true
	}
	s, ok := h.sealed[m]
	if !ok {
		return false
	}
	if s.complete || epoch < s.completeThrough {
		return true
	}
	return h.isVouched(m, epoch, key)
}

// isVouched reports whether enough companions of a sealed member were heard to
// know all that it granted without its journal in an epoch.
func (h *Home) isVouched(m Member, epoch uint64, key Key) bool {
	others, heard := 0, 0
	for _, other := range h.past[epoch] {
		if other == m {
			continue
		}
		others++
		if h.isSelf(other) || h.listed(other, epoch, key) || slices.Contains(h.sealed[m].vouchers, other) {
			heard++
		}
	}
	return h.isEnough(m, others, heard)
}

// listed reports whether a member listed its grants of a key after an epoch.
func (h *Home) listed(m Member, epoch uint64, key Key) bool {
	for _, asked := range h.heard[m] {
		if asked > epoch && h.rings[asked] != nil && h.home(asked, key) == h.self.Host {
			return true
		}
	}
	return false
}

// isMissing reports whether some key of this home may wait for a member.
func (h *Home) isMissing(now time.Time, m Member) bool {
	if slices.Contains(h.heard[m], h.epoch.Number) {
		return false
	}
	s, ok := h.sealed[m]
	for _, c := range h.epoch.ActiveChanges(now) {
		if !slices.Contains(h.past[c.Number], m) || ok && (s.complete || c.Number < s.completeThrough) {
			continue
		}
		if !ok || !h.isVouchedNow(m, c.Number) {
			return true
		}
	}
	return false
}

// isVouchedNow reports whether a sealed member is vouched for in an epoch by
// listings for the epoch in force, which cover all keys of this home.
func (h *Home) isVouchedNow(m Member, epoch uint64) bool {
	others, heard := 0, 0
	for _, other := range h.past[epoch] {
		if other == m {
			continue
		}
		others++
		if h.isSelf(other) || slices.Contains(h.heard[other], h.epoch.Number) || slices.Contains(h.sealed[m].vouchers, other) {
			heard++
		}
	}
	return h.isEnough(m, others, heard)
}

// isEnough reports whether so many companions know all that a sealed member
// granted without its journal.
func (h *Home) isEnough(m Member, others, heard int) bool {
	if h.flags[m].Outage || h.sealed[m].outage {
		return heard == others
	}
	return heard >= TakeoverQuorum(others)
}

// Contribution returns what this daemon can add to the journal of a sealed member:
// its own memberships beside that member, the grants that it knows of, and
// whether the member granted without its journal. No memberships: nothing.
func (h *Home) Contribution(now time.Time, m Member) (vouchers []Member, grants []Grant, outage bool) {
	if _, err := h.Member(); err != nil || !h.IsSealed(m) || slices.Contains(h.epoch.Members, m) {
		return nil, nil, false
	}
	for _, members := range h.past {
		for _, other := range members {
			if h.isSelf(other) && slices.Contains(members, m) && !slices.Contains(vouchers, other) {
				vouchers = append(vouchers, other)
			}
		}
	}
	if len(vouchers) == 0 {
		return nil, nil, false
	}
	for _, g := range h.table.Grants(now) {
		if h.wasHome(m, g.Key) {
			grants = append(grants, g)
		}
	}
	return vouchers, grants, h.flags[m].Outage
}

// wasHome reports whether a member was the home of a key in some kept epoch.
func (h *Home) wasHome(m Member, key Key) bool {
	for number, members := range h.past {
		if slices.Contains(members, m) && h.home(number, key) == m.Host {
			return true
		}
	}
	return false
}
