package member

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// transmitFactor times the logarithm of the fleet is the number of
	// heartbeats that carry a statement.
	transmitFactor = 2

	idBytes      = 8
	drainingFlag = 1 << 2
	statusMask   = drainingFlag - 1
)

// ErrBadDigest marks a digest that can't be decoded.
var ErrBadDigest = errors.New("membership digest can't be decoded")

// record is what a digest says of one life of a host.
type record struct {
	id       ID
	status   Status
	draining bool
	sequence uint64
	revision uint64
}

// Updates returns the statements that the next heartbeat to a host carries: those
// that the fewest heartbeats have carried, and one about the receiver when it
// has to refute something.
func (t *Table) Updates(receiver string, limit int) []State {
	var fresh []*entry
	for name, e := range t.entries {
		about := name == receiver
		if (about && e.state.Status != StatusAlive) || (!about && e.transmits < t.transmitLimit()) {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		if receiverFirst := cmp.Compare(rank(a, receiver), rank(b, receiver)); receiverFirst != 0 {
			return receiverFirst
		}
		return cmp.Or(cmp.Compare(a.transmits, b.transmits), b.changedAt.Compare(a.changedAt))
	})
	fresh = fresh[:min(limit, len(fresh))]
	news := make([]State, 0, len(fresh))
	for _, e := range fresh {
		e.transmits++
		news = append(news, e.state)
	}
	return news
}

// Retransmit makes the statements about the hosts with these ids news again.
func (t *Table) Retransmit(ids []ID) {
	for _, id := range ids {
		if e, ok := t.byID[id]; ok {
			e.transmits = 0
		}
	}
}

// Digest returns a compact form of the whole table.
func (t *Table) Digest() []byte {
	newest := t.self.ConfigRevision
	for _, e := range t.entries {
		newest = max(newest, e.state.ConfigRevision)
	}
	digest := binary.AppendUvarint(nil, newest)
	digest = appendRecord(digest, t.self, newest)
	for _, e := range t.entries {
		digest = appendRecord(digest, e.state, newest)
	}
	return digest
}

// MergeDigest takes in the digest of another host. It returns the states that
// are newer here, at most limit, and the ids of live hosts that are not known
// here. The error is ErrBadDigest.
func (t *Table) MergeDigest(now time.Time, digest []byte, limit int) ([]State, []ID, error) {
	records, err := decodeDigest(digest)
	if err != nil {
		return nil, nil, err
	}
	var newer []State
	var unknown []ID
	listed := make(map[ID]bool, len(records))
	for _, r := range records {
		listed[r.id] = true
		held, ok := t.lookupID(r.id)
		if !ok {
			if r.state(Host{}).IsLive() {
				unknown = append(unknown, r.id)
			}
			continue
		}
		told := r.state(held.Host)
		if held.supersedes(told) {
			newer = append(newer, held)
		}
		t.Observe(now, told)
	}
	for id, e := range t.byID {
		if !listed[id] && e.state.IsLive() {
			newer = append(newer, e.state)
		}
	}
	return newer[:min(limit, len(newer))], unknown, nil
}

// Partners returns the hosts that this daemon exchanges heartbeats with, at
// most limit: half of them from its own failure domain while that has enough,
// the others from the whole fleet, by rendezvous. Their number does not grow
// with the fleet, and every host is a partner of about as many others.
func (t *Table) Partners(limit int) []Host {
	var near, far []Host
	for _, e := range t.entries {
		switch {
		case !e.state.IsLive():
		case e.state.Host.FailureDomain == t.self.Host.FailureDomain:
			near = append(near, e.state.Host)
		default:
			far = append(far, e.state.Host)
		}
	}
	if len(near)+len(far) <= limit {
		return append(near, far...)
	}
	t.sortByRendezvous(near)
	t.sortByRendezvous(far)
	nearCount := min(len(near), max(limit/2, limit-len(far)))
	return append(near[:nearCount:nearCount], far[:limit-nearCount]...)
}

// Dead returns the hosts that are held for dead and may be cut off only.
func (t *Table) Dead() []Host {
	var dead []Host
	for _, e := range t.entries {
		if e.state.Status == StatusDead {
			dead = append(dead, e.state.Host)
		}
	}
	return dead
}

func (t *Table) sortByRendezvous(hosts []Host) {
	weights := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		weights[h.Name] = xxhash.Sum64String(t.self.Host.Name + "\x00" + h.Name)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(weights[a.Name], weights[b.Name]) })
}

func (t *Table) transmitLimit() int {
	return transmitFactor * bits.Len(uint(len(t.entries)+1))
}

func (t *Table) lookupID(id ID) (State, bool) {
	if id == t.self.Host.ID() {
		return t.self, true
	}
	e, ok := t.byID[id]
	if !ok {
		return State{}, false
	}
	return e.state, true
}

func rank(e *entry, receiver string) int {
	if e.state.Host.Name == receiver {
		return 0
	}
	return 1
}

// String returns the id in hexadecimal.
func (id ID) String() string {
	return strconv.FormatUint(uint64(id), 16)
}

// appendRecord adds one record: id, flags, sequence and how far the revision
// is behind the newest.
func appendRecord(digest []byte, s State, newest uint64) []byte {
	flags := byte(s.Status)
	if s.Draining {
		flags |= drainingFlag
	}
	digest = binary.LittleEndian.AppendUint64(digest, uint64(s.Host.ID()))
	digest = append(digest, flags)
	digest = binary.AppendUvarint(digest, s.Sequence)
	return binary.AppendUvarint(digest, newest-s.ConfigRevision)
}

func decodeDigest(digest []byte) ([]record, error) {
	newest, digest, err := readUvarint(digest)
	if err != nil {
		return nil, err
	}
	var records []record
	for len(digest) > 0 {
		var r record
		if r, digest, err = readRecord(digest, newest); err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

func readRecord(digest []byte, newest uint64) (record, []byte, error) {
	if len(digest) <= idBytes {
		return record{}, nil, ErrBadDigest
	}
	r := record{id: ID(binary.LittleEndian.Uint64(digest))}
	flags := digest[idBytes]
	r.status = Status(flags & statusMask)
	r.draining = flags&drainingFlag != 0
	var err error
	if r.sequence, digest, err = readUvarint(digest[idBytes+1:]); err != nil {
		return record{}, nil, err
	}
	behind, digest, err := readUvarint(digest)
	if err != nil || behind > newest || flags > drainingFlag|statusMask {
		return record{}, nil, ErrBadDigest
	}
	r.revision = newest - behind
	return r, digest, nil
}

func readUvarint(data []byte) (uint64, []byte, error) {
	value, size := binary.Uvarint(data)
	if size <= 0 {
		return 0, nil, ErrBadDigest
	}
	return value, data[size:], nil
}

func (r record) state(host Host) State {
	return State{Host: host, Sequence: r.sequence, Status: r.status, ConfigRevision: r.revision, Draining: r.draining}
}
