package peer

import (
	"net/netip"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// HostToWire converts a host. Addresses are sent as text.
func HostToWire(h member.Host) *peerapi.Host {
	return &peerapi.Host{
		Name:            h.Name,
		Incarnation:     h.Incarnation,
		FailureDomain:   h.FailureDomain,
		PeerAddress:     h.PeerAddress.String(),
		OperatorAddress: h.OperatorAddress.String(),
	}
}

// HostFromWire converts a host. An address that can't be parsed becomes the
// invalid zero address.
func HostFromWire(h *peerapi.Host) member.Host {
	peerAddress, _ := netip.ParseAddrPort(h.GetPeerAddress())
	operatorAddress, _ := netip.ParseAddrPort(h.GetOperatorAddress())
	return member.Host{
		Name:            h.GetName(),
		Incarnation:     h.GetIncarnation(),
		FailureDomain:   h.GetFailureDomain(),
		PeerAddress:     peerAddress,
		OperatorAddress: operatorAddress,
	}
}

func stateToWire(s member.State) *peerapi.HostState {
	return &peerapi.HostState{
		Host:           HostToWire(s.Host),
		ConfigRevision: s.ConfigRevision,
		Draining:       s.Draining,
		Sequence:       s.Sequence,
		Status:         peerapi.HostStatus(s.Status),
	}
}

func statesToWire(states []member.State) []*peerapi.HostState {
	wire := make([]*peerapi.HostState, 0, len(states))
	for _, s := range states {
		wire = append(wire, stateToWire(s))
	}
	return wire
}

func stateFromWire(s *peerapi.HostState) member.State {
	return member.State{
		Host:           HostFromWire(s.GetHost()),
		ConfigRevision: s.GetConfigRevision(),
		Draining:       s.GetDraining(),
		Sequence:       s.GetSequence(),
		Status:         member.Status(s.GetStatus()),
	}
}

// LoadToWire converts the load of a server.
func LoadToWire(l backend.Load) *peerapi.ServerLoad {
	return &peerapi.ServerLoad{
		ServerId:       l.ServerID,
		SlotsUsed:      uint32(max(0, l.SlotsUsed)),
		SlotsTotal:     uint32(max(0, l.SlotsTotal)),
		PrefillBacklog: durationpb.New(l.PrefillBacklog),
		ObservedAt:     timestamppb.New(l.ObservedAt),
		Leaving:        l.Leaving,
		PrefillRate:    l.PrefillRate,
		TokenGap:       durationpb.New(l.TokenGap),
		Unreachable:    l.Unreachable,
		LinkBacklog:    durationpb.New(l.LinkBacklog),
		Incarnation:    l.Incarnation,
	}
}

// LoadFromWire converts the load of a server.
func LoadFromWire(l *peerapi.ServerLoad) backend.Load {
	return backend.Load{
		ServerID:       l.GetServerId(),
		SlotsUsed:      int(l.GetSlotsUsed()),
		SlotsTotal:     int(l.GetSlotsTotal()),
		PrefillBacklog: l.GetPrefillBacklog().AsDuration(),
		ObservedAt:     l.GetObservedAt().AsTime(),
		Leaving:        l.GetLeaving(),
		PrefillRate:    l.GetPrefillRate(),
		TokenGap:       l.GetTokenGap().AsDuration(),
		Unreachable:    l.GetUnreachable(),
		LinkBacklog:    l.GetLinkBacklog().AsDuration(),
		Incarnation:    l.GetIncarnation(),
	}
}
