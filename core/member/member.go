// Package member holds one daemon's view of the other daemons: which are alive,
// in which incarnation, at which configuration revision, and which are draining.
// It decides when a silent daemon counts as dead and which updates the daemons
// send each other.
package member

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxPartners bounds the hosts with which one daemon exchanges heartbeats.
const MaxPartners = 32

const (
	// StatusAlive means that the host responds.
	StatusAlive Status = iota
	// StatusSuspect means that the host did not respond to a probe. It still
	// counts as alive and has time to refute the suspicion.
	StatusSuspect
	// StatusDead means that the host has not refuted a suspicion in time.
	StatusDead
	// StatusLeft means that the host has announced that it stops.
	StatusLeft
)

type (
	// Status is the assumed condition of a host. Of two updates with the same
	// sequence, the one with the higher status wins.
	Status uint8

	// Host is one incarnation of one daemon.
	Host struct {
		Name            string
		Incarnation     uint64
		FailureDomain   string
		PeerAddress     netip.AddrPort
		OperatorAddress netip.AddrPort
	}

	// State is what one update reports about a host.
	State struct {
		Host           Host
		Sequence       uint64 // increased by the host itself with each change or refutation
		Status         Status
		ConfigRevision uint64
		Draining       bool
		LastSeen       time.Time // most recent direct contact
	}

	// ID identifies one incarnation of a host in digests.
	ID uint64
)

// ID returns the short identifier of this incarnation.
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

// supersedes reports whether s is the newer update about the same incarnation.
func (s State) supersedes(held State) bool {
	if c := cmp.Compare(s.Sequence, held.Sequence); c != 0 {
		return c > 0
	}
	return s.Status > held.Status
}
