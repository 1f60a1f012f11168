package claim_test

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/claim"
)

var start = time.Unix(1_000_000, 0)

func daemonsOf(count int) []claim.Daemon {
	var daemons []claim.Daemon
	for i := range count {
		daemons = append(daemons, claim.Daemon{Host: fmt.Sprintf("h%d", i), Incarnation: 1})
	}
	return daemons
}

// keyOf returns a key whose home in the epoch is host, and whose home in the
// epoch before was former.
func keyOf(t *testing.T, e claim.Epoch, host, former string) claim.Key {
	t.Helper()
	for i := range 10_000 {
		key := claim.Key{Value: fmt.Sprintf("k%d", i)}
		if e.HostsOf(e.Number).Home(key.Text()) == host && e.HostsOf(e.Number-1).Home(key.Text()) == former {
			return key
		}
	}
	t.Fatalf("no key moves from %s to %s", former, host)
	return claim.Key{}
}

// newTakeover returns the home h0 in an epoch that h4, one of five homes, has
// left, and a key that moved from h4 to h0.
func newTakeover(t *testing.T) (*claim.Home, claim.Epoch, claim.Member, claim.Key) {
	t.Helper()
	first := claim.Epoch{}.Next(start, daemonsOf(5), nil, time.Hour, "")
	second := first.Next(start, daemonsOf(4), nil, time.Hour, "")
	h := claim.NewHome(daemonsOf(1)[0], 100)
	h.Enter(first)
	h.Enter(second)
	return h, second, first.Members[4], keyOf(t, second, "h0", "h4")
}

func listingOf(host int, modes ...claim.MemberMode) claim.Listing {
	return claim.Listing{Daemon: daemonsOf(5)[host], Epoch: 2, Modes: modes}
}

// membersOf returns members of the first epoch.
func membersOf(hosts ...int) []claim.Member {
	first := claim.Epoch{}.Next(start, daemonsOf(5), nil, time.Hour, "")
	var members []claim.Member
	for _, i := range hosts {
		members = append(members, first.Members[i])
	}
	return members
}

// TestTakeover checks what must be known of a failed home before its keys are
// granted again. A key that is granted too early may run twice.
//
// proof: daemon killed | claim | 5
// proof: platform down + daemon killed | claim | 5
func TestTakeover(t *testing.T) {
	outage := claim.Mode{Sequence: 1, Outage: true}
	tests := []struct {
		name     string
		journal  *claim.SealedJournal
		listings func(dead claim.Member) []claim.Listing
		want     error
	}{
		{name: "nothing known", want: claim.ErrTakeover},
		{name: "journal only", journal: &claim.SealedJournal{}, want: claim.ErrTakeover},
		{
			name: "listings without journal", want: claim.ErrTakeover,
			listings: func(claim.Member) []claim.Listing {
				return []claim.Listing{listingOf(1), listingOf(2), listingOf(3)}
			},
		},
		{
			name: "journal and takeover quorum", journal: &claim.SealedJournal{},
			listings: func(claim.Member) []claim.Listing { return []claim.Listing{listingOf(1)} },
		},
		{name: "journal sealed by the home itself", journal: &claim.SealedJournal{Complete: true}},
		{name: "journal complete through a later epoch", journal: &claim.SealedJournal{CompleteThrough: 2}},
		{name: "journal complete through the same epoch", journal: &claim.SealedJournal{CompleteThrough: 1}, want: claim.ErrTakeover},
		{
			name: "home in outage, one possible witness missing", journal: &claim.SealedJournal{}, want: claim.ErrTakeover,
			listings: func(dead claim.Member) []claim.Listing {
				return []claim.Listing{listingOf(1, claim.MemberMode{Member: dead, Mode: outage}), listingOf(2)}
			},
		},
		{
			name: "home in outage, all possible witnesses listed", journal: &claim.SealedJournal{},
			listings: func(dead claim.Member) []claim.Listing {
				return []claim.Listing{listingOf(1, claim.MemberMode{Member: dead, Mode: outage}), listingOf(2), listingOf(3)}
			},
		},
		{name: "one contributor", journal: &claim.SealedJournal{Contributors: membersOf(1)}},
		{name: "one contributor, home in outage", journal: &claim.SealedJournal{Contributors: membersOf(1), Outage: true}, want: claim.ErrTakeover},
		{name: "all possible witnesses are contributors, home in outage", journal: &claim.SealedJournal{Contributors: membersOf(1, 2, 3), Outage: true}},
		{
			name: "contributor and listings, home in outage", journal: &claim.SealedJournal{Contributors: membersOf(2), Outage: true},
			listings: func(claim.Member) []claim.Listing { return []claim.Listing{listingOf(1), listingOf(3)} },
		},
		{
			name: "the former home itself responds",
			listings: func(claim.Member) []claim.Listing {
				return []claim.Listing{listingOf(4)}
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			home, _, dead, key := newTakeover(t)
			if test.journal != nil {
				test.journal.Member = dead
				home.MergeJournal(*test.journal)
			}
			if test.listings != nil {
				for _, l := range test.listings(dead) {
					home.MergeListing(l)
				}
			}
			_, _, err := home.Claim(start, claim.Grant{Key: key, RequestID: "r", Horizon: time.Hour})
			if !errors.Is(err, test.want) {
				t.Errorf("claim: %v, want %v", err, test.want)
			}
		})
	}
}

// TestHeldKeyIsNotKnownBeforeTheTakeover reads a key from a journal while a
// possible witness that holds the response has not listed it yet. The key must
// not count as cleared until then.
//
// proof: none | drain | 2
func TestHeldKeyIsNotKnownBeforeTheTakeover(t *testing.T) {
	home, _, dead, key := newTakeover(t)
	held := claim.Grant{Key: key, RequestID: "first", GrantedAt: start, Horizon: time.Hour}
	home.MergeJournal(claim.SealedJournal{Member: dead, Grants: []claim.Grant{held}})
	wanted := claim.Grant{Key: key, RequestID: "second", Horizon: time.Hour}
	if outcome, _, err := home.Claim(start, wanted); outcome != claim.Running || err != nil || home.IsCleared(start, key) {
		t.Errorf("before the listing: outcome %d, error %v, cleared %v", outcome, err, home.IsCleared(start, key))
	}
	settled := held
	settled.Settled, settled.Response = true, &claim.Response{Status: 200}
	listing := listingOf(1)
	listing.Grants = []claim.Grant{settled}
	home.MergeListing(listing)
	if outcome, _, err := home.Claim(start, wanted); outcome != claim.Settled || err != nil || !home.IsCleared(start, key) {
		t.Errorf("after the listing: outcome %d, error %v, cleared %v", outcome, err, home.IsCleared(start, key))
	}
}

// TestListingCountsOnlyForTheKeysItCovered guards against a listing that is used
// for keys outside it. h4 lists the keys that moved from it to h0; a key that
// first moved from h4 to h3 then moves to h0. The listing must not clear h4 for
// that key.
func TestListingCountsOnlyForTheKeysItCovered(t *testing.T) {
	home, second, _, _ := newTakeover(t)
	home.MergeListing(listingOf(4))
	third := second.Next(start, daemonsOf(3), nil, time.Hour, "")
	home.Enter(third)
	listing := listingOf(3)
	listing.Epoch = third.Number
	home.MergeListing(listing)
	for i := range 10_000 {
		key := claim.Key{Value: fmt.Sprintf("k%d", i)}
		if third.HostsOf(1).Home(key.Text()) != "h4" || third.HostsOf(2).Home(key.Text()) != "h3" || third.HostsOf(3).Home(key.Text()) != "h0" {
			continue
		}
		_, _, err := home.Claim(start, claim.Grant{Key: key, RequestID: "r", Horizon: time.Hour})
		if !errors.Is(err, claim.ErrTakeover) {
			t.Errorf("claim: %v, want %v", err, claim.ErrTakeover)
		}
		return
	}
	t.Fatal("no key moved twice")
}

// TestTakeoverEndsWithTheHorizon checks that the keys of a former home that never
// responds can be granted once its grants are past their horizon.
func TestTakeoverEndsWithTheHorizon(t *testing.T) {
	home, _, _, key := newTakeover(t)
	wanted := claim.Grant{Key: key, RequestID: "r", Horizon: time.Hour}
	if _, _, err := home.Claim(start.Add(time.Hour), wanted); !errors.Is(err, claim.ErrTakeover) {
		t.Errorf("claim within the horizon: %v, want %v", err, claim.ErrTakeover)
	}
	if _, _, err := home.Claim(start.Add(time.Hour+2*time.Minute), wanted); err != nil {
		t.Errorf("claim after the horizon: %v", err)
	}
}

// TestQuorumsIntersect checks that a takeover quorum always includes a home that has
// recorded the outage. Otherwise a takeover could miss grants that only a witness
// holds.
func TestQuorumsIntersect(t *testing.T) {
	for others := 1; others < 40; others++ {
		outage, takeover := claim.OutageQuorum(others), claim.TakeoverQuorum(others)
		if outage+takeover <= others || outage > others || takeover > others {
			t.Errorf("%d others: outage quorum %d, takeover quorum %d", others, outage, takeover)
		}
	}
}

// TestOutageEndsWithItsEpoch checks that the other homes must record an outage
// again in each epoch. The homes of a new epoch may not have recorded it, and a
// takeover among them could then miss grants that only a witness holds.
func TestOutageEndsWithItsEpoch(t *testing.T) {
	first := claim.Epoch{}.Next(start, daemonsOf(5), nil, time.Hour, "")
	home := claim.NewHome(daemonsOf(1)[0], 100)
	home.Enter(first)
	mode := home.BeginOutage()
	home.ConfirmOutage(mode, first.Number, claim.OutageQuorum(4)-1)
	if home.InOutage() {
		t.Error("outage began without its quorum")
	}
	home.ConfirmOutage(mode, first.Number, claim.OutageQuorum(4))
	if !home.InOutage() {
		t.Error("outage did not begin with its quorum")
	}
	home.Enter(first.Next(start, daemonsOf(4), nil, time.Hour, ""))
	if home.InOutage() {
		t.Error("outage lasts beyond its epoch")
	}
}

// TestMembersOfPastEpochs checks that the members of past epochs are derived
// correctly from the kept changes. A takeover would otherwise skip a former home.
func TestMembersOfPastEpochs(t *testing.T) {
	e := claim.Epoch{}.Next(start, daemonsOf(5), nil, time.Hour, "")
	epochs := []claim.Epoch{e}
	for _, count := range []int{4, 2, 5, 3} {
		e = e.Next(start, daemonsOf(count), nil, time.Hour, "")
		epochs = append(epochs, e)
	}
	for _, past := range epochs {
		if got := fmt.Sprint(e.MembersOf(past.Number)); got != fmt.Sprint(past.Members) {
			t.Errorf("members of epoch %d: %s, want %v", past.Number, got, past.Members)
		}
	}
}

// TestPickHomes picks the homes of the next epoch from the current members and
// the live hosts. Live members must stay, and an earlier incarnation must not
// replace a later one.
func TestPickHomes(t *testing.T) {
	later := func(d claim.Daemon) claim.Daemon { return claim.Daemon{Host: d.Host, Incarnation: d.Incarnation + 1} }
	three := daemonsOf(3)
	tests := []struct {
		name    string
		members []claim.Daemon
		live    []claim.Daemon
		limit   int
		want    []claim.Daemon
	}{
		{name: "all live", members: three, live: three, limit: 5, want: three},
		{name: "one dead", members: three, live: three[:2], limit: 5, want: three[:2]},
		{name: "one joins", members: three[:2], live: three, limit: 5, want: three},
		{name: "one restarted", members: three, live: []claim.Daemon{three[0], three[1], later(three[2])}, limit: 5, want: []claim.Daemon{three[0], three[1], later(three[2])}},
		{name: "an earlier incarnation is regarded as alive", members: []claim.Daemon{three[0], later(three[1])}, live: three[:2], limit: 5, want: []claim.Daemon{three[0], later(three[1])}},
		{name: "both incarnations are regarded as alive", members: []claim.Daemon{three[0], later(three[1])}, live: []claim.Daemon{three[0], three[1], later(three[1])}, limit: 5, want: []claim.Daemon{three[0], later(three[1])}},
		{name: "members keep their places when the limit leaves out other hosts", members: three[1:], live: three, limit: 2, want: three[1:]},
		{name: "none live", members: three, limit: 5, want: []claim.Daemon{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			epoch := claim.Epoch{}.Next(start, test.members, nil, time.Hour, "")
			got := epoch.PickHomes(test.live, test.limit)
			slices.SortFunc(got, func(a, b claim.Daemon) int { return cmp.Compare(a.Host, b.Host) })
			if !slices.Equal(got, test.want) {
				t.Errorf("picked %v, want %v", got, test.want)
			}
		})
	}
}
