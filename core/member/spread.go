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
	// transmitFactor times the binary logarithm of the number of known hosts is
	// the number of heartbeats that carry an update.
	transmitFactor = 2

	idBytes      = 8
	drainingFlag = 1 << 2
	statusMask   = drainingFlag - 1
)

// ErrBadDigest means that a digest cannot be decoded.
var ErrBadDigest = errors.New("membership digest can't be decoded")

// record is the part of a digest about one incarnation of a host.
type record struct {
	id       ID
	status   Status
	draining bool
	sequence uint64
	revision uint64
}

// Updates returns the updates that the next heartbeat to a host carries: those
// that the fewest heartbeats have carried, and one about the receiver when the
// receiver has to refute something.
func (t *Table) Updates(receiver string, limit int) []State {
	var pending []*entry
	for name, e := range t.entries {
		isReceiver := name == receiver
		if (isReceiver && e.state.Status != StatusAlive) || (!isReceiver && e.transmits < t.transmitLimit()) {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		if receiverFirst := cmp.Compare(receiverRank(a, receiver), receiverRank(b, receiver)); receiverFirst != 0 {
			return receiverFirst
		}
		return cmp.Or(cmp.Compare(a.transmits, b.transmits), b.changedAt.Compare(a.changedAt))
	})
	pending = pending[:min(limit, len(pending))]
	updates := make([]State, 0, len(pending))
	for _, e := range pending {
		e.transmits++
		updates = append(updates, e.state)
	}
	return updates
}

// Retransmit makes the next heartbeats carry the updates about the hosts with
// these ids again.
func (t *Table) Retransmit(ids []ID) {
	for _, id := range ids {
		if e, ok := t.byID[id]; ok {
			e.transmits = 0
		}
	}
}

// Digest returns a compact encoding of the complete table.
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

// MergeDigest merges the digest of another host. It returns the states that are
// newer here, at most limit, and the ids of live hosts that are not known here.
// The error is ErrBadDigest.
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
		received := r.state(held.Host)
		if held.supersedes(received) {
			newer = append(newer, held)
		}
		t.Observe(now, received)
	}
	for id, e := range t.byID {
		if !listed[id] && e.state.IsLive() {
			newer = append(newer, e.state)
		}
	}
	return newer[:min(limit, len(newer))], unknown, nil
}

// Partners returns the hosts with which this daemon exchanges heartbeats, at most
// limit. Half of them are from its own failure domain and half from the other
// failure domains; where one side has too few hosts, the other side provides the
// rest. They are picked by rendezvous hashing. The number of partners does not grow
// with the number of hosts, and every host is a partner of about as many others.
func (t *Table) Partners(limit int) []Host {
	var local, remote []Host
	for _, e := range t.entries {
		switch {
		case !e.state.IsLive():
		case e.state.Host.FailureDomain == t.self.Host.FailureDomain:
			local = append(local, e.state.Host)
		default:
			remote = append(remote, e.state.Host)
		}
	}
	local, remote = t.sample(limit, local, remote)
	return append(local, remote...)
}

// sample picks at most limit of the given hosts of this daemon's failure domain and of the
// others, as Partners states it.
func (t *Table) sample(limit int, local, remote []Host) (localSample, remoteSample []Host) {
	if len(local)+len(remote) <= limit {
		return local, remote
	}
	t.sortByRendezvous(local)
	t.sortByRendezvous(remote)
	localCount := min(len(local), max(limit/2, limit-len(remote)))
	return local[:localCount:localCount], remote[:limit-localCount]
}

// Dead returns the hosts that are regarded as dead. They may merely be cut off.
func (t *Table) Dead() []Host {
	var dead []Host
	for _, e := range t.entries {
		if e.state.Status == StatusDead {
			dead = append(dead, e.state.Host)
		}
	}
	return dead
}

// sortByRendezvous sorts hosts by their rendezvous hash with this host.
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

// receiverRank sorts the update about the receiver before all others.
func receiverRank(e *entry, receiver string) int {
	if e.state.Host.Name == receiver {
		return 0
	}
	return 1
}

// String returns the id in hexadecimal.
func (id ID) String() string {
	return strconv.FormatUint(uint64(id), 16)
}

// appendRecord appends one record: the id, the flags, the sequence, and the
// distance of the revision from the newest one.
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
