// Package member keeps one daemon's view of the other daemons: who is alive,
// in which life, at which configuration revision, and who drains. It decides
// when silence counts as death and what the daemons tell each other.
package member

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// StatusAlive hosts answer.
	StatusAlive Status = iota
	// StatusSuspect hosts did not answer a probe. They still count as alive and
	// have time to refute it.
	StatusSuspect
	// StatusDead hosts have not refuted a suspicion in time.
	StatusDead
	// StatusLeft hosts have said that they stop.
	StatusLeft
)

type (
	// Status is what is held to be true of a host. Of two statements with the
	// same sequence the higher status counts.
	Status uint8

	// Host is one life of one daemon.
	Host struct {
		Name            string
		Incarnation     uint64
		FailureDomain   string
		PeerAddress     netip.AddrPort
		OperatorAddress netip.AddrPort
	}

	// State is a statement about a host.
	State struct {
		Host           Host
		Sequence       uint64 // raised by the host itself with each change or refutation
		Status         Status
		ConfigRevision uint64
		Draining       bool
		LastSeen       time.Time // newest direct contact
	}

	// ID names one life of a host in digests.
	ID uint64
)

// ID returns the short name of this life.
func (h Host) ID() ID {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(h.Name) // never fails
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, h.Incarnation))
	return ID(digest.Sum64())
}

// IsLive reports whether the host counts as alive.
func (s State) IsLive() bool {
	return s.Status == StatusAlive || s.Status == StatusSuspect
}

// supersedes reports whether s is the newer statement about the same life.
func (s State) supersedes(held State) bool {
	if c := cmp.Compare(s.Sequence, held.Sequence); c != 0 {
		return c > 0
	}
	return s.Status > held.Status
}
