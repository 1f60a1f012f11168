package claim

import (
	"errors"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/rendezvous"
)

// maxListedAnswers bounds the stored answers in one listing.
const maxListedAnswers = 16 << 20

var (
	// ErrNotHome means that another daemon is the home of the key.
	ErrNotHome = errors.New("not the home of this key")
	// ErrTakeover means that a former home of the key may have granted it and
	// has not been cleared yet.
	ErrTakeover = errors.New("a former home of this key is not cleared yet")
	// ErrStaleEpoch means that a newer epoch is in force.
	ErrStaleEpoch = errors.New("epoch is over")
	// ErrNotMember means that this daemon is no home in the current epoch.
	ErrNotMember = errors.New("not a member of the epoch")
)

type (
	// Home decides on the keys of one daemon in the current epoch. It grants a
	// key only when every daemon that may have granted it in an earlier epoch
	// has been cleared. It is not safe for concurrent use.
	Home struct {
		self   Owner
		table  *Table
		epoch  Epoch
		rings  map[uint64]*rendezvous.HostSet // by epoch number, within the window
		past   map[uint64][]Member            // members by epoch number
		heard  map[Member][]uint64            // epochs in which a member listed its grants
		sealed map[Member]seal
		wanted map[Member]bool // members that a key waited for
		flags  map[Member]Mode // modes of other homes, as told by them

		mode        Mode   // this home's own
		outageEpoch uint64 // epoch in which enough others know the mode; 0: none
	}

	// Mode says whether a home grants without its journal. A higher Sequence
	// is newer.
	Mode struct {
		Sequence uint64
		Outage   bool
	}

	// MemberMode is the mode of one member.
	MemberMode struct {
		Member Member
		Mode   Mode
	}

	// Listing is what a member knows of the keys whose home is the asker.
	Listing struct {
		Owner  Owner // the daemon that answers
		Epoch  uint64
		Grants []Grant
		Modes  []MemberMode
	}

	// SealedJournal is what a sealed journal says: no further grant of its member
	// can be acknowledged through it.
	SealedJournal struct {
		Member Member
		// CompleteThrough is the last epoch in which the member had written
		// that all its grants are journaled; 0 when it never did.
		CompleteThrough uint64
		// Complete says that the member sealed the journal itself with
		// nothing left out.
		Complete bool
		Grants   []Grant
		// Contributors are other members that have added what they knew, after
		// they had entered an epoch without the member.
		Contributors []Member
		// Outage says that a voucher knew of grants without the journal.
		Outage bool
	}

	seal struct {
		completeThrough uint64
		complete        bool
		vouchers        []Member
		outage          bool
	}
)

// NewHome returns a home without an epoch; it grants nothing.
func NewHome(self Owner, limit int) *Home {
	return &Home{
		self: self, table: NewTable(limit), rings: map[uint64]*rendezvous.HostSet{}, past: map[uint64][]Member{},
		heard: map[Member][]uint64{}, sealed: map[Member]seal{}, wanted: map[Member]bool{}, flags: map[Member]Mode{},
	}
}

// Epoch returns the epoch in force.
func (h *Home) Epoch() Epoch {
	return h.epoch
}

// Member returns this daemon's membership in the epoch in force.
func (h *Home) Member() (Member, error) {
	m, ok := h.epoch.Member(h.self)
	if !ok {
		return m, ErrNotMember
	}
	return m, nil
}

// Enter takes in an epoch. From then on nothing is granted under earlier ones.
// Older epochs change nothing.
func (h *Home) Enter(epoch Epoch) bool {
	if epoch.Number <= h.epoch.Number {
		return false
	}
	h.epoch = epoch
	h.rings = map[uint64]*rendezvous.HostSet{epoch.Number: epoch.HostsOf(epoch.Number)}
	h.past = map[uint64][]Member{epoch.Number: epoch.Members}
	for _, c := range epoch.Past {
		h.rings[c.Number] = epoch.HostsOf(c.Number)
		h.past[c.Number] = epoch.MembersOf(c.Number)
	}
	h.forget()
	return true
}

// Claim decides on one key. The errors are ErrNotHome, ErrTakeover and
// ErrTableFull; nothing was granted then. A grant may be acknowledged only
// after it was journaled or recorded at a witness.
func (h *Home) Claim(now time.Time, wanted Grant) (Outcome, Grant, error) {
	if _, err := h.Member(); err != nil || h.home(h.epoch.Number, wanted.Key) != h.self.Host {
		return NotHome, Grant{}, ErrNotHome
	}
	if _, held := h.table.Lookup(now, wanted.Key); !held && !h.IsCleared(now, wanted.Key) {
		return Undecided, Grant{}, ErrTakeover
	}
	return h.table.Claim(now, wanted)
}

// HomeOf returns the host that decides on a key, or "" before the first epoch.
func (h *Home) HomeOf(key Key) string {
	if h.epoch.Number == 0 {
		return ""
	}
	return h.home(h.epoch.Number, key)
}

// IsHomeOf reports whether the keys of all grants still have their home here.
func (h *Home) IsHomeOf(grants []Grant) bool {
	for _, g := range grants {
		if h.HomeOf(g.Key) != h.self.Host {
			return false
		}
	}
	return true
}

// Lookup returns the grant of a key that is within its horizon.
func (h *Home) Lookup(now time.Time, key Key) (Grant, bool) {
	return h.table.Lookup(now, key)
}

// Mode returns this home's own mode.
func (h *Home) Mode() Mode {
	return h.mode
}

// Settle stores how a call ended.
func (h *Home) Settle(key Key, requestID string, answer *Response, unknown bool) {
	h.table.Settle(key, requestID, answer, unknown)
}

// Withdraw drops a grant whose call did not and will not reach any server.
func (h *Home) Withdraw(key Key, requestID string) {
	h.table.Withdraw(key, requestID)
}

// List answers a home of the epoch that asks for the grants of its keys. The
// caller has entered the asker's epoch before; ErrStaleEpoch means that a newer
// one is in force.
func (h *Home) List(now time.Time, epoch uint64, asker string) (Listing, error) {
	if epoch != h.epoch.Number {
		return Listing{}, ErrStaleEpoch
	}
	listing := Listing{Owner: h.self, Epoch: epoch}
	answers := 0
	for _, g := range h.table.Grants(now) {
		if h.home(epoch, g.Key) != asker {
			continue
		}
		if g.Response != nil {
			answers += g.Response.size()
		}
		if answers > maxListedAnswers {
			g.Response = nil
		}
		listing.Grants = append(listing.Grants, g)
	}
	for m, mode := range h.flags {
		listing.Modes = append(listing.Modes, MemberMode{Member: m, Mode: mode})
	}
	return listing, nil
}

// Witness records grants that another home makes without its journal, and its
// mode. ErrStaleEpoch means that the home's epoch is not the one in force here;
// it must not acknowledge the grants.
func (h *Home) Witness(member Member, epoch uint64, mode Mode, grants []Grant) error {
	if epoch != h.epoch.Number || !slices.Contains(h.epoch.Members, member) {
		return ErrStaleEpoch
	}
	h.setFlag(member, mode)
	for _, g := range grants {
		h.table.Merge(g)
	}
	return nil
}

// Others returns the other members of the epoch in force.
func (h *Home) Others() []Member {
	return slices.DeleteFunc(slices.Clone(h.epoch.Members), h.isSelf)
}

// BeginOutage returns the mode to tell the others before any grant is made
// without the journal.
func (h *Home) BeginOutage() Mode {
	h.mode = Mode{Sequence: h.mode.Sequence + 1, Outage: true}
	h.outageEpoch = 0
	return h.mode
}

// ConfirmOutage takes in how many others have recorded the mode in an epoch. A
// mode that is over changes nothing.
func (h *Home) ConfirmOutage(mode Mode, epoch uint64, recorded int) {
	others := len(h.Others())
	if mode == h.mode && epoch == h.epoch.Number && others > 0 && recorded >= OutageQuorum(others) {
		h.outageEpoch = epoch
	}
}

// InOutage reports whether grants may be made with a witness instead of the
// journal. It ends with the epoch: the others are told again in the next.
func (h *Home) InOutage() bool {
	return h.outageEpoch != 0 && h.outageEpoch == h.epoch.Number
}

// EndOutage returns the mode to tell the others once all grants are journaled.
func (h *Home) EndOutage() Mode {
	h.mode = Mode{Sequence: h.mode.Sequence + 1}
	h.outageEpoch = 0
	return h.mode
}

// OutageQuorum returns how many of others must know that a home grants without
// its journal before it may. Any takeover quorum meets it in one member.
func OutageQuorum(others int) int {
	return others/2 + 1
}

// Expire drops the keys whose horizon has passed.
func (h *Home) Expire(now time.Time) {
	h.table.Expire(now)
}

// Len returns the number of held keys.
func (h *Home) Len() int {
	return h.table.Len()
}

func (h *Home) home(epoch uint64, key Key) string {
	return h.rings[epoch].Home(key.Text())
}

func (h *Home) member(epoch uint64, host string) (Member, bool) {
	for _, m := range h.past[epoch] {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

func (h *Home) isSelf(m Member) bool {
	return m.Owner() == h.self
}

func (h *Home) setFlag(m Member, mode Mode) {
	if mode.Sequence > h.flags[m].Sequence {
		h.flags[m] = mode
	}
}

// known returns the members of all kept epochs.
func (h *Home) known() map[Member]bool {
	known := map[Member]bool{}
	for _, members := range h.past {
		for _, m := range members {
			known[m] = true
		}
	}
	return known
}

// forget drops what concerns members that are in no kept epoch.
func (h *Home) forget() {
	known := h.known()
	for m := range h.heard {
		if !known[m] {
			delete(h.heard, m)
		}
	}
	for m := range h.sealed {
		if !known[m] {
			delete(h.sealed, m)
		}
	}
	for m := range h.flags {
		if !known[m] {
			delete(h.flags, m)
		}
	}
	for m := range h.wanted {
		if !known[m] {
			delete(h.wanted, m)
		}
	}
}
