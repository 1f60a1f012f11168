package peer

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	classInteractive = 0
	classDeferrable  = 1
)

// SlotRequest returns the request to a home for a decode slot.
func SlotRequest(serverID, attemptID string, terms slot.Terms, holder member.Host) *peerapi.ReserveRequest {
	return &peerapi.ReserveRequest{
		ServerId: serverID, RequestId: attemptID, Holder: HostToWire(holder),
		Lifetime: durationpb.New(terms.Lifetime), Isolated: terms.Isolated, Class: classOf(terms.Deferrable),
		Lead: durationpb.New(terms.Lead), Overcommit: terms.Overcommit, Aged: terms.Aged, TokenGap: durationpb.New(terms.TokenGapTarget),
	}
}

// PrefillRequest returns the request to a home for a place in the queue of a
// prefill server.
func PrefillRequest(serverID string, p slot.Prefill, holder member.Host) *peerapi.ReserveRequest {
	return &peerapi.ReserveRequest{
		ServerId: serverID, RequestId: p.AttemptID, Holder: HostToWire(holder), Class: classOf(p.Deferrable),
		Prefill: &peerapi.PrefillWork{Work: durationpb.New(p.Work), MaxBacklog: durationpb.New(p.MaxBacklog), Transfer: durationpb.New(p.Transfer)},
	}
}

// ReservationFromWire returns the reservation of a slot that a peer requests.
func ReservationFromWire(now time.Time, request *peerapi.ReserveRequest) slot.Reservation {
	return slot.Reservation{
		AttemptID:      request.GetRequestId(),
		Holder:         holderFromWire(request.GetHolder()),
		Deadline:       now.Add(request.GetLifetime().AsDuration()),
		KVBytes:        request.GetKvBytes(),
		Isolated:       request.GetIsolated(),
		Deferrable:     request.GetClass() == classDeferrable,
		Aged:           request.GetAged(),
		Lead:           request.GetLead().AsDuration(),
		Overcommit:     min(1, max(0, request.GetOvercommit())),
		TokenGapTarget: request.GetTokenGap().AsDuration(),
	}
}

// PrefillFromWire returns the reservation of a prefill that a peer requests.
func PrefillFromWire(request *peerapi.ReserveRequest) slot.Prefill {
	return slot.Prefill{
		AttemptID:  request.GetRequestId(),
		Holder:     holderFromWire(request.GetHolder()),
		Work:       max(0, request.GetPrefill().GetWork().AsDuration()),
		Transfer:   max(0, request.GetPrefill().GetTransfer().AsDuration()),
		MaxBacklog: request.GetPrefill().GetMaxBacklog().AsDuration(),
		Deferrable: request.GetClass() == classDeferrable,
	}
}

func holderFromWire(host *peerapi.Host) slot.Holder {
	return slot.Holder{Host: host.GetName(), Incarnation: host.GetIncarnation()}
}

func classOf(deferrable bool) uint32 {
	if deferrable {
		return classDeferrable
	}
	return classInteractive
}
