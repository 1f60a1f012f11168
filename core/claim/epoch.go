package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/rendezvous"
)

// clockSkew is the largest assumed difference between the clocks of two hosts. It
// extends the horizon of every grant, because a grant may be checked on another
// host than the one on which its horizon began.
const clockSkew = 30 * time.Second

type (
	// Member is one membership of a home in the epochs. A host that leaves and
	// joins again is another member, even in the same incarnation.
	Member struct {
		Host        string `json:"host"`
		Incarnation uint64 `json:"incarnation"`
		Since       uint64 `json:"since"` // number of the epoch in which the member joined
	}

	// Epoch is the numbered list of homes on which all daemons agree. It is
	// immutable: Next returns a new one.
	Epoch struct {
		Number  uint64   `json:"number"`
		Members []Member `json:"members"` // sorted by host
		Past    []Change `json:"past"`    // newest last
		WriteID string   `json:"attempt"` // identifies this write, so that it is recognized when the response to it was lost
	}

	// Change records the end of one epoch. It is kept until no grant of that
	// epoch can still be within its horizon.
	Change struct {
		Number  uint64        `json:"number"` // epoch that ended
		Added   []Member      `json:"added"`
		Removed []Member      `json:"removed"`
		At      time.Time     `json:"at"`
		Horizon time.Duration `json:"horizon"` // longest horizon of the ended epoch's grants
	}
)

// Daemon returns the incarnation of the daemon that holds this membership.
func (m Member) Daemon() Daemon {
	return Daemon{Host: m.Host, Incarnation: m.Incarnation}
}

// Next returns the epoch after e with the given homes. Homes that stay keep their
// membership, except those in fenced: they get a new one.
func (e Epoch) Next(now time.Time, homes []Daemon, fenced map[Member]bool, horizon time.Duration, writeID string) Epoch {
	next := Epoch{Number: e.Number + 1, WriteID: writeID}
	for _, d := range homes {
		held, ok := e.Member(d)
		if !ok || fenced[held] {
			held = Member{Host: d.Host, Incarnation: d.Incarnation, Since: next.Number}
		}
		next.Members = append(next.Members, held)
	}
	slices.SortFunc(next.Members, compareMembers)
	change := Change{
		Number: e.Number, Added: subtract(next.Members, e.Members), Removed: subtract(e.Members, next.Members),
		At: now, Horizon: horizon,
	}
	next.Past = append(e.ActiveChanges(now), change)
	if e.Number == 0 {
		next.Past = nil
	}
	return next
}

// ActiveChanges returns the changes whose grants may still be within their
// horizon.
func (e Epoch) ActiveChanges(now time.Time) []Change {
	return slices.Clone(e.Past[e.expiredCount(now):])
}

// Retired returns the members that left by changes whose horizon has passed.
// Their journals must be sealed before these changes are dropped.
func (e Epoch) Retired(now time.Time) []Member {
	var retired []Member
	for _, c := range e.Past[:e.expiredCount(now)] {
		retired = append(retired, c.Removed...)
	}
	return retired
}

// Member returns the membership of a daemon.
func (e Epoch) Member(d Daemon) (Member, bool) {
	for _, m := range e.Members {
		if m.Daemon() == d {
			return m, true
		}
	}
	return Member{}, false
}

// MembersOf returns the members of the epoch with the given number, which lies
// between the oldest kept change and e.
func (e Epoch) MembersOf(number uint64) []Member {
	members := e.Members
	for i := len(e.Past) - 1; i >= 0 && e.Past[i].Number >= number; i-- {
		members = append(subtract(members, e.Past[i].Added), e.Past[i].Removed...)
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// PickHomes returns at most limit of the live hosts. Live members remain homes.
// Free places are filled by rendezvous hashing, so that all daemons pick the same
// hosts. A member is never replaced by an earlier incarnation of its host: a
// daemon that has received no updates for some time may still regard that
// incarnation as alive.
func (e Epoch) PickHomes(live []Daemon, limit int) []Daemon {
	newest := map[string]Daemon{}
	for _, m := range e.Members {
		newest[m.Host] = m.Daemon()
	}
	homes := []Daemon{}
	rest := map[string]Daemon{}
	for _, d := range live {
		held, isMember := newest[d.Host]
		switch {
		case isMember && held.Incarnation >= d.Incarnation && !slices.Contains(homes, held) && len(homes) < limit:
			homes = append(homes, held)
		case !isMember || held.Incarnation < d.Incarnation:
			rest[d.Host] = d
		}
	}
	for len(homes) < limit && len(rest) > 0 {
		names := make([]string, 0, len(rest))
		for name := range rest {
			names = append(names, name)
		}
		picked := rendezvous.New(names).Home("claim homes")
		homes = append(homes, rest[picked])
		delete(rest, picked)
	}
	return homes
}

// Differs reports whether homes is another set of daemons than the members of e.
func (e Epoch) Differs(homes []Daemon) bool {
	if len(homes) != len(e.Members) {
		return true
	}
	for _, d := range homes {
		if _, ok := e.Member(d); !ok {
			return true
		}
	}
	return false
}

// HostsOf returns the set of hosts among which the keys of an epoch are
// distributed.
func (e Epoch) HostsOf(number uint64) *rendezvous.HostSet {
	members := e.MembersOf(number)
	hosts := make([]string, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, m.Host)
	}
	return rendezvous.New(hosts)
}

// Text returns the key as one string for hashing.
func (k Key) Text() string {
	return k.Workspace + "\x00" + k.Service + "\x00" + k.Value
}

// expiredCount returns how many of the oldest changes have expired.
func (e Epoch) expiredCount(now time.Time) int {
	count := 0
	for count < len(e.Past) && e.Past[count].expired(now) {
		count++
	}
	return count
}

// expired reports whether every grant of the ended epoch is past its horizon. One
// clockSkew is that of Grant.expired, the other is for the clock that set At, which
// may differ from the clocks that set GrantedAt.
func (c Change) expired(now time.Time) bool {
	return now.Sub(c.At) > c.Horizon+2*clockSkew
}

func subtract(members, dropped []Member) []Member {
	var rest []Member
	for _, m := range members {
		if !slices.Contains(dropped, m) {
			rest = append(rest, m)
		}
	}
	return rest
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Since, b.Since))
}
