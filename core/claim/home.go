package claim

import (
	"errors"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/rendezvous"
)

// maxListedResponseBytes limits the total size of the stored responses in one
// listing.
const maxListedResponseBytes = 16 << 20

var (
	// ErrNotHome means that another daemon is the home of the key.
	ErrNotHome = errors.New("not the home of this key")
	// ErrTakeover means that a former home of the key may have granted it and has
	// not been cleared yet.
	ErrTakeover = errors.New("a former home of this key is not cleared yet")
	// ErrStaleEpoch means that a newer epoch is in force.
	ErrStaleEpoch = errors.New("epoch is over")
	// ErrNotMember means that this daemon is not a home in the current epoch.
	ErrNotMember = errors.New("not a member of the epoch")
)

type (
	// Home decides on the keys whose home is this daemon in the current epoch. It
	// grants a key only when every daemon that may have granted the key in an
	// earlier epoch has been cleared. It is not safe for concurrent use.
	Home struct {
		self           Daemon
		table          *Table
		epoch          Epoch
		hostSets       map[uint64]*rendezvous.HostSet // by epoch number, for the epoch in force and those of its kept changes
		membersByEpoch map[uint64][]Member            // by epoch number, as for hostSets
		listedIn       map[Member][]uint64            // epochs in which a member listed its grants
		sealed         map[Member]seal
		uncleared      map[Member]bool // members to clear, because a key waits for them or may soon
		modes          map[Member]Mode // modes of other homes, as they or other homes reported them

		mode        Mode   // this home's own mode
		outageEpoch uint64 // epoch in which enough other homes have recorded the mode; 0: none
	}

	// Mode states whether a home grants without writing its journal. The mode with
	// the higher Sequence is the newer one.
	Mode struct {
		Sequence uint64
		Outage   bool
	}

	// MemberMode is the mode of one member.
	MemberMode struct {
		Member Member
		Mode   Mode
	}

	// Listing holds the grants that a member knows of the keys whose home is the
	// requester, and the modes that the member knows.
	Listing struct {
		Daemon Daemon // the daemon that responds
		Epoch  uint64
		Grants []Grant
		Modes  []MemberMode
	}

	// SealedJournal is the content of a journal after its seal: no further grant
	// of its member can be acknowledged through it.
	SealedJournal struct {
		Member Member
		// CompleteThrough is the last epoch in which the member recorded that all
		// its grants were journaled; 0 when it never did. Its grants of earlier
		// epochs are all in the journal; in this epoch it may have granted more
		// after that record.
		CompleteThrough uint64
		// Complete is set when the member sealed the journal itself with all its
		// grants in it.
		Complete bool
		Grants   []Grant
		// Contributors are other members that have added the grants that they
		// knew of, after they had entered an epoch without the member.
		Contributors []Member
		// Outage is set when a contributor knew that the member granted without
		// its journal.
		Outage bool
	}

	// seal is what a home keeps of a sealed journal besides its grants.
	seal struct {
		completeThrough uint64 // all grants of epochs before this one are in the journal
		complete        bool
		contributors    []Member
		outage          bool
	}
)

// NewHome returns a home without an epoch. It grants nothing until it enters one.
func NewHome(self Daemon, limit int) *Home {
	return &Home{
		self: self, table: NewTable(limit), hostSets: map[uint64]*rendezvous.HostSet{}, membersByEpoch: map[uint64][]Member{},
		listedIn: map[Member][]uint64{}, sealed: map[Member]seal{}, uncleared: map[Member]bool{}, modes: map[Member]Mode{},
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

// Enter puts an epoch in force and reports whether it is newer than the one
// before. From then on nothing is granted under earlier epochs. An epoch that is
// not newer changes nothing.
func (h *Home) Enter(epoch Epoch) bool {
	if epoch.Number <= h.epoch.Number {
		return false
	}
	h.epoch = epoch
	h.hostSets = map[uint64]*rendezvous.HostSet{epoch.Number: epoch.HostsOf(epoch.Number)}
	h.membersByEpoch = map[uint64][]Member{epoch.Number: epoch.Members}
	for _, c := range epoch.Past {
		h.hostSets[c.Number] = epoch.HostsOf(c.Number)
		h.membersByEpoch[c.Number] = epoch.MembersOf(c.Number)
	}
	h.dropUnknownMembers()
	return true
}

// Claim decides on one key. The errors are ErrNotHome, ErrTakeover and
// ErrTableFull; with an error nothing was granted. The caller may acknowledge a
// grant only after the grant was written to the journal or recorded at a witness.
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

// IsHomeOf reports whether this daemon is still the home of the keys of all
// grants.
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
func (h *Home) Settle(key Key, requestID string, response *Response, unknown bool) {
	h.table.Settle(key, requestID, response, unknown)
}

// Withdraw removes a grant whose call did not and will not reach any backend
// server.
func (h *Home) Withdraw(key Key, requestID string) {
	h.table.Withdraw(key, requestID)
}

// List returns the grants of the keys whose home is the requester. The caller has
// entered the requester's epoch before; ErrStaleEpoch means that a newer one is
// in force.
func (h *Home) List(now time.Time, epoch uint64, requester string) (Listing, error) {
	if epoch != h.epoch.Number {
		return Listing{}, ErrStaleEpoch
	}
	listing := Listing{Daemon: h.self, Epoch: epoch}
	responseBytes := 0
	for _, g := range h.table.Grants(now) {
		if h.home(epoch, g.Key) != requester {
			continue
		}
		if g.Response != nil {
			responseBytes += g.Response.size()
		}
		if responseBytes > maxListedResponseBytes {
			g.Response = nil
		}
		listing.Grants = append(listing.Grants, g)
	}
	for m, mode := range h.modes {
		listing.Modes = append(listing.Modes, MemberMode{Member: m, Mode: mode})
	}
	return listing, nil
}

// Witness records the mode of another home, and the grants that the other home
// makes without its journal. ErrStaleEpoch means that the epoch of the other home
// is not the one in force here; the other home must not acknowledge the grants.
func (h *Home) Witness(member Member, epoch uint64, mode Mode, grants []Grant) error {
	if epoch != h.epoch.Number || !slices.Contains(h.epoch.Members, member) {
		return ErrStaleEpoch
	}
	h.setMode(member, mode)
	for _, g := range grants {
		h.table.Merge(g)
	}
	return nil
}

// Others returns the other members of the epoch in force.
func (h *Home) Others() []Member {
	return slices.DeleteFunc(slices.Clone(h.epoch.Members), h.isSelf)
}

// BeginOutage starts an outage. It returns the mode that the other homes must
// record before this home makes any grant without the journal.
func (h *Home) BeginOutage() Mode {
	h.mode = Mode{Sequence: h.mode.Sequence + 1, Outage: true}
	h.outageEpoch = 0
	return h.mode
}

// ConfirmOutage records how many other homes have recorded the mode in an epoch.
// A mode or an epoch that is no longer current changes nothing.
func (h *Home) ConfirmOutage(mode Mode, epoch uint64, recorded int) {
	others := len(h.Others())
	if mode == h.mode && epoch == h.epoch.Number && others > 0 && recorded >= OutageQuorum(others) {
		h.outageEpoch = epoch
	}
}

// InOutage reports whether grants may be made with a witness instead of the
// journal. The permission ends with the epoch: in the next epoch the other homes
// must record the mode again.
func (h *Home) InOutage() bool {
	return h.outageEpoch != 0 && h.outageEpoch == h.epoch.Number
}

// EndOutage ends the outage once all grants are journaled. It returns the mode to
// report to the other homes.
func (h *Home) EndOutage() Mode {
	h.mode = Mode{Sequence: h.mode.Sequence + 1}
	h.outageEpoch = 0
	return h.mode
}

// OutageQuorum returns how many of the other homes must have recorded that a home
// grants without its journal before that home may do so. Every takeover quorum
// has at least one member in common with every outage quorum.
func OutageQuorum(others int) int {
	return others/2 + 1
}

// Expire removes the keys whose horizon has passed.
func (h *Home) Expire(now time.Time) {
	h.table.Expire(now)
}

// Len returns the number of held keys.
func (h *Home) Len() int {
	return h.table.Len()
}

func (h *Home) home(epoch uint64, key Key) string {
	return h.hostSets[epoch].Home(key.Text())
}

func (h *Home) member(epoch uint64, host string) (Member, bool) {
	for _, m := range h.membersByEpoch[epoch] {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

func (h *Home) isSelf(m Member) bool {
	return m.Daemon() == h.self
}

func (h *Home) setMode(m Member, mode Mode) {
	if mode.Sequence > h.modes[m].Sequence {
		h.modes[m] = mode
	}
}

// knownMembers returns the members of all kept epochs.
func (h *Home) knownMembers() map[Member]bool {
	known := map[Member]bool{}
	for _, members := range h.membersByEpoch {
		for _, m := range members {
			known[m] = true
		}
	}
	return known
}

// dropUnknownMembers removes the records of members that are in no kept epoch.
func (h *Home) dropUnknownMembers() {
	known := h.knownMembers()
	for m := range h.listedIn {
		if !known[m] {
			delete(h.listedIn, m)
		}
	}
	for m := range h.sealed {
		if !known[m] {
			delete(h.sealed, m)
		}
	}
	for m := range h.modes {
		if !known[m] {
			delete(h.modes, m)
		}
	}
	for m := range h.uncleared {
		if !known[m] {
			delete(h.uncleared, m)
		}
	}
}
