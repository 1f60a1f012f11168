package claim

import (
	"slices"
	"time"
)

// TakeoverQuorum returns how many of the other homes must have reported the grants
// that they know, by a listing or as contributors to the sealed journal of a failed
// home, before the failed home counts as one that journaled every grant. It applies
// as long as no outage of the failed home is known.
func TakeoverQuorum(others int) int {
	return others - OutageQuorum(others) + 1
}

// MarkUncleared marks the members whose keys may have moved to this home, so that
// they are cleared before the first key waits for them.
func (h *Home) MarkUncleared(now time.Time) {
	self, err := h.Member()
	if err != nil {
		return
	}
	for _, c := range h.epoch.ActiveChanges(now) {
		former := c.Removed
		if self.Since == c.Number+1 {
			former = h.membersByEpoch[c.Number]
		}
		for _, m := range former {
			if !h.isSelf(m) && h.isUncleared(now, m) {
				h.uncleared[m] = true
			}
		}
	}
}

// Uncleared returns the members that still have to be cleared, sorted by host.
func (h *Home) Uncleared(now time.Time) []Member {
	var members []Member
	for m := range h.uncleared {
		if h.isUncleared(now, m) {
			members = append(members, m)
		} else {
			delete(h.uncleared, m)
		}
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// MergeListing adds the grants and modes of a listing that another daemon
// returned. A listing of another epoch than the one in force changes nothing.
func (h *Home) MergeListing(listing Listing) {
	if listing.Epoch != h.epoch.Number {
		return
	}
	for _, g := range listing.Grants {
		h.table.Merge(g)
	}
	for _, reported := range listing.Modes {
		h.setMode(reported.Member, reported.Mode)
	}
	for m := range h.knownMembers() {
		if m.Daemon() == listing.Daemon && !slices.Contains(h.listedIn[m], listing.Epoch) {
			h.listedIn[m] = append(h.listedIn[m], listing.Epoch)
		}
	}
}

// MergeJournal adds the grants of a journal that was sealed and read to its end.
func (h *Home) MergeJournal(j SealedJournal) {
	for _, g := range j.Grants {
		h.table.Merge(g)
	}
	h.sealed[j.Member] = seal{
		completeThrough: j.CompleteThrough, complete: j.Complete, contributors: j.Contributors, outage: j.Outage,
	}
}

// IsSealed reports whether a member's journal was sealed and read.
func (h *Home) IsSealed(m Member) bool {
	_, ok := h.sealed[m]
	return ok
}

// PossibleWitnesses returns the other members of the epochs in which a member may
// have granted without its journal. The witnesses of those grants are among them.
func (h *Home) PossibleWitnesses(m Member) []Member {
	var witnesses []Member
	for number, members := range h.membersByEpoch {
		if !slices.Contains(members, m) || number < h.sealed[m].completeThrough {
			continue
		}
		for _, other := range members {
			if other != m && !h.isSelf(other) && !slices.Contains(witnesses, other) {
				witnesses = append(witnesses, other)
			}
		}
	}
	slices.SortFunc(witnesses, compareMembers)
	return witnesses
}

// IsCleared reports whether all former homes of a key are cleared. Those that are
// not are marked for clearing.
func (h *Home) IsCleared(now time.Time, key Key) bool {
	homes := h.unclearedHomes(now, key)
	for _, m := range homes {
		h.uncleared[m] = true
	}
	return len(homes) == 0
}

// unclearedHomes returns the former homes of a key that are not cleared.
func (h *Home) unclearedHomes(now time.Time, key Key) []Member {
	var homes []Member
	for _, c := range h.epoch.ActiveChanges(now) {
		former, ok := h.member(c.Number, h.home(c.Number, key))
		if ok && !h.isSelf(former) && !h.isFormerHomeCleared(former, c.Number, key) {
			homes = append(homes, former)
		}
	}
	return homes
}

// isFormerHomeCleared reports whether every grant of a key that a member
// acknowledged in an epoch is known here, and the member can acknowledge no
// further one.
func (h *Home) isFormerHomeCleared(m Member, epoch uint64, key Key) bool {
	if h.hasListed(m, epoch, key) {
		return true
	}
	s, ok := h.sealed[m]
	if !ok {
		return false
	}
	if s.complete || epoch < s.completeThrough {
		return true
	}
	return h.knowsWitnessedGrants(m, epoch, key)
}

// knowsWitnessedGrants reports whether every grant of a key that a sealed member
// made without its journal in an epoch is known here, because enough possible
// witnesses have reported the grants that they know, by a listing that covers the
// key or as contributors.
func (h *Home) knowsWitnessedGrants(m Member, epoch uint64, key Key) bool {
	others, reported := 0, 0
	for _, other := range h.membersByEpoch[epoch] {
		if other == m {
			continue
		}
		others++
		if h.isSelf(other) || h.hasListed(other, epoch, key) || slices.Contains(h.sealed[m].contributors, other) {
			reported++
		}
	}
	return h.haveEnoughReported(m, others, reported)
}

// hasListed reports whether a member listed its grants of a key for this home in
// a later epoch.
func (h *Home) hasListed(m Member, epoch uint64, key Key) bool {
	for _, listedEpoch := range h.listedIn[m] {
		if listedEpoch > epoch && h.hostSets[listedEpoch] != nil && h.home(listedEpoch, key) == h.self.Host {
			return true
		}
	}
	return false
}

// isUncleared reports whether some key of this home may have to wait for a
// member.
func (h *Home) isUncleared(now time.Time, m Member) bool {
	if slices.Contains(h.listedIn[m], h.epoch.Number) {
		return false
	}
	s, ok := h.sealed[m]
	for _, c := range h.epoch.ActiveChanges(now) {
		if !slices.Contains(h.membersByEpoch[c.Number], m) || ok && (s.complete || c.Number < s.completeThrough) {
			continue
		}
		if !ok || !h.knowsAllWitnessedGrants(m, c.Number) {
			return true
		}
	}
	return false
}

// knowsAllWitnessedGrants reports whether every grant of this home's keys that a
// sealed member made without its journal in an epoch is known here, because enough
// possible witnesses have reported the grants that they know, by listings for the
// epoch in force, which cover all keys of this home, or as contributors.
func (h *Home) knowsAllWitnessedGrants(m Member, epoch uint64) bool {
	others, reported := 0, 0
	for _, other := range h.membersByEpoch[epoch] {
		if other == m {
			continue
		}
		others++
		if h.isSelf(other) || slices.Contains(h.listedIn[other], h.epoch.Number) || slices.Contains(h.sealed[m].contributors, other) {
			reported++
		}
	}
	return h.haveEnoughReported(m, others, reported)
}

// haveEnoughReported reports whether enough of the possible witnesses have reported
// the grants that they know, so that all that a sealed member granted without its
// journal is known. All of them are needed when the member is known to have been in
// an outage.
func (h *Home) haveEnoughReported(m Member, others, reported int) bool {
	if h.modes[m].Outage || h.sealed[m].outage {
		return reported == others
	}
	return reported >= TakeoverQuorum(others)
}

// Contribution returns what this daemon can add to the journal of a sealed
// member: its own memberships in the epochs of that member, the grants that it
// knows of, and whether the member granted without its journal. Without
// contributors there is nothing to add.
func (h *Home) Contribution(now time.Time, m Member) (contributors []Member, grants []Grant, outage bool) {
	if _, err := h.Member(); err != nil || !h.IsSealed(m) || slices.Contains(h.epoch.Members, m) {
		return nil, nil, false
	}
	for _, members := range h.membersByEpoch {
		for _, other := range members {
			if h.isSelf(other) && slices.Contains(members, m) && !slices.Contains(contributors, other) {
				contributors = append(contributors, other)
			}
		}
	}
	if len(contributors) == 0 {
		return nil, nil, false
	}
	for _, g := range h.table.Grants(now) {
		if h.wasHome(m, g.Key) {
			grants = append(grants, g)
		}
	}
	return contributors, grants, h.modes[m].Outage
}

// wasHome reports whether a member was the home of a key in some kept epoch.
func (h *Home) wasHome(m Member, key Key) bool {
	for number, members := range h.membersByEpoch {
		if slices.Contains(members, m) && h.home(number, key) == m.Host {
			return true
		}
	}
	return false
}
